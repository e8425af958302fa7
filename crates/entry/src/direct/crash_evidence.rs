//! Which parts of prompts crash engines: what this entry sees and hears of it.
//!
//! [`CrashEvidence`] weighs the evidence. This module feeds it, publishes the parts that are kept
//! from engines for the path of a request, and tells other entries.

use std::{fmt, sync, sync::atomic, time};

use arc_swap::ArcSwap;
use futures_util::future;
use pimentohook_core::crash_evidence::{
    CrashEvidence, RESTART_MIN,
    change::{Belief, Change},
    kept, prompt, report, suspect_id,
};
use pimentohook_platform::request;
use pimentohook_runtime::{acceptance, client};
use tokio::time as tokio_time;

use super::{app, end_questions, peers, proxy};

/// The number of a prompt's first parts in a log line.
const LOGGED_PARTS_MAX: usize = 8;
/// The shortest time between two log lines about lists of parts that can't be read.
const INVALID_LOG_INTERVAL_MS: u64 = 1_000;
/// How often the evidence is told that time has passed.
const ADVANCE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The shortest time between two rounds of early heartbeats.
const EARLY_HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// How an upstream that lives on accepts a connection. It lasts as long as an end may take.
const ACCEPTANCE: acceptance::Bounds = acceptance::Bounds {
    established_max: time::Duration::from_millis(100),
    kept_min: time::Duration::from_millis(30),
};
/// Stands for the start of an engine run that is not listed yet.
const NEXT_RUN: &str = "next";
/// The source of evidence that this entry has seen itself.
const OWN: &str = "own";

/// What this entry knows of suspects: parts of prompts and requests.
#[derive(Debug, Default)]
pub struct KnownSuspects {
    evidence: sync::Mutex<CrashEvidence>,
    /// Whether there is evidence against any part, so that responses need no lock if there is none.
    has_evidence: atomic::AtomicBool,
    kept: ArcSwap<kept::KeptParts>,
    kept_changed: tokio::sync::Notify,
    /// Notified when there is evidence that other entries should hear at once.
    news: tokio::sync::Notify,
    /// Notified when there is evidence after there was none.
    begun: tokio::sync::Notify,
    questions: end_questions::Questions,
    /// When an invalid list may be logged again, in milliseconds since the entry started.
    invalid_logged_again_at_ms: atomic::AtomicU64,
}

impl KnownSuspects {
    /// Returns the parts that are kept from engines.
    pub(super) fn kept(&self) -> sync::Arc<kept::KeptParts> {
        self.kept.load_full()
    }

    pub(super) fn lock(&self) -> sync::MutexGuard<'_, CrashEvidence> {
        self.evidence
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Changes the evidence and publishes what follows from it; returns the changes of belief.
    fn update<F>(&self, change: F) -> Vec<Change>
    where
        F: FnOnce(&mut CrashEvidence) -> Vec<Change>,
    {
        let mut evidence = self.lock();
        let changes = change(&mut evidence);
        if !changes.is_empty() {
            self.kept.store(sync::Arc::new(evidence.kept_parts()));
            self.kept_changed.notify_waiters();
        }
        let has_evidence = !evidence.is_empty();
        let ordering = atomic::Ordering::Relaxed;
        let was_set = self.has_evidence.swap(has_evidence, ordering);
        if has_evidence && !was_set {
            self.begun.notify_one();
        }
        changes
    }

    fn has_evidence(&self) -> bool {
        self.has_evidence.load(atomic::Ordering::Relaxed)
    }

    /// Waits until one of a prompt's parts is kept from engines.
    pub(super) async fn until_kept(&self, prompt: &prompt::Prompt) -> suspect_id::SuspectId {
        loop {
            let changed = self.kept_changed.notified();
            if let Some(part) = self.kept.load().find(prompt) {
                return part;
            }
            changed.await;
        }
    }
}

/// How far a response had come when its upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Progress {
    /// Nothing had arrived.
    NoResponse,
    /// The head had arrived, but not the whole body or the first event.
    Begun,
    /// Events had arrived.
    Events,
}

/// Formats the first parts of a prompt for a log line.
pub(super) struct LoggedParts<'a>(pub(super) &'a prompt::Prompt);

impl fmt::Display for LoggedParts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = self.0.parts().iter().copied();
        let (requests, parts): (Vec<_>, Vec<_>) =
            all.partition(|part: &suspect_id::SuspectId| part.is_request());
        for (index, part) in parts.iter().take(LOGGED_PARTS_MAX).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        write!(f, " part_count={}", parts.len())?;
        for request in requests {
            write!(f, " fingerprint={request}")?;
        }
        Ok(())
    }
}

/// Returns the listed run of an engine.
fn engine_run(candidate: &app::Candidate) -> prompt::EngineRun {
    let started = candidate.upstream.started_unix_ms;
    let started = started.map_or_else(String::new, |started| started.to_string());
    prompt::EngineRun::of(&candidate.upstream.instance, &started)
}

/// Returns the run that answered a request sent at `sent_at`: the listed one, or the next one that
/// is not listed yet.
fn answering_run(
    evidence: &CrashEvidence,
    candidate: &app::Candidate,
    sent_at: time::Instant,
) -> prompt::EngineRun {
    let run = engine_run(candidate);
    let is_next = |ended_at| sent_at.saturating_duration_since(ended_at) > RESTART_MIN;
    if evidence.ended_at(run).is_some_and(is_next) {
        prompt::EngineRun::of(&candidate.upstream.instance, NEXT_RUN)
    } else {
        run
    }
}

/// Records that the connection to an upstream broke while a request was under way there.
pub fn record_ended(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    candidate: &app::Candidate,
    progress: Progress,
) {
    app.count("upstream_ended");
    log::warn!(
        "prompt: event=upstream_ended request={} instance={} started_unix_ms={:?} \
         progress={progress} after_ms={} parts={}",
        request.id(),
        candidate.upstream.instance,
        candidate.upstream.started_unix_ms,
        request.arrived_at.elapsed().as_millis(),
        LoggedParts(&request.caller.prompt)
    );
    let run = engine_run(candidate);
    let now = app.clock.now();
    let changes = app.suspects.update(|evidence| {
        if !evidence.has_ended(run) {
            app.suspects.news.notify_one();
        }
        evidence.record_ended(run, &request.caller.prompt, now)
    });
    log_changes(app, &changes, OWN);
}

/// Like [`record_ended`], if a request failed because its connection broke.
pub fn record_failure(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    candidate: &app::Candidate,
    error: &client::ClientError,
    progress: Progress,
) {
    if matches!(error, client::ClientError::Broken { .. }) {
        record_ended(app, request, candidate, progress);
    }
}

/// Returns whether a response of this class comes from the instance that the request was sent to.
#[must_use]
pub const fn shows_life(class: request::ResponseClass) -> bool {
    matches!(
        class,
        request::ResponseClass::Answer | request::ResponseClass::NotRun
    )
}

/// Records that something of a response to a request sent at `sent_at` has come from an upstream.
pub fn record_alive(app: &app::App, candidate: &app::Candidate, sent_at: time::Instant) {
    if !app.suspects.has_evidence() {
        return;
    }
    let now = app.clock.now();
    let changes = app.suspects.update(|evidence| {
        let run = answering_run(evidence, candidate, sent_at);
        if evidence.has_ended(run) {
            evidence.record_alive(run, sent_at, now)
        } else {
            Vec::new()
        }
    });
    log_changes(app, &changes, OWN);
}

/// Finds out which of the ends that forbid to send a request again were ends of upstreams. They are
/// asked by a connection on which nothing is sent, since the request may be what crashes them.
pub(super) async fn settle_doubts(app: &sync::Arc<app::App>, prompt: &prompt::Prompt) {
    let now = app.clock.now();
    let questions: Vec<end_questions::Answered> = {
        let evidence = app.suspects.lock();
        let doubts = evidence.doubts(prompt, now).into_iter();
        let doubts = doubts.filter_map(|run| Some((run, evidence.asked_from(run, now)?)));
        let questions = &app.suspects.questions;
        doubts
            .map(|(run, asked_from)| {
                questions.get_or_ask(run, asked_from, now, ask(app.clone(), run))
            })
            .collect()
    };
    future::join_all(questions).await;
}

async fn ask(app: sync::Arc<app::App>, run: prompt::EngineRun) {
    let candidates = app.candidates.load_full();
    let mut candidates = candidates.values().flatten();
    let Some(candidate) = candidates.find(|candidate| engine_run(candidate) == run) else {
        return;
    };
    let (upstream, local) = (&candidate.upstream, app.settings.callers.ip());
    // Connections to it may go on breaking meanwhile.
    while let Some(begun_at) = until_asked(&app, run).await {
        let is_accepted = acceptance::is_accepted(local, upstream.address, &ACCEPTANCE).await;
        app.count("upstream_end_asked");
        let instance = &upstream.instance;
        log::info!("prompt: event=end_asked instance={instance} is_accepted={is_accepted}");
        if !is_accepted {
            return;
        }
        let now = app.clock.now();
        let record = |evidence: &mut CrashEvidence| evidence.record_accepted(run, begun_at, now);
        let changes = app.suspects.update(record);
        app.suspects.news.notify_one();
        log_changes(&app, &changes, OWN);
    }
}

/// Waits until an upstream may be asked, and returns when that is; `None` if its end is in doubt no
/// longer.
async fn until_asked(app: &app::App, run: prompt::EngineRun) -> Option<time::Instant> {
    loop {
        let now = app.clock.now();
        let asked_from = app.suspects.lock().asked_from(run, now)?;
        if asked_from <= now {
            return Some(now);
        }
        tokio_time::sleep(asked_from - now).await;
    }
}

/// Records that a response to a request sent at `sent_at` is whole.
pub fn record_served(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    candidate: &app::Candidate,
    sent_at: time::Instant,
) {
    let now = app.clock.now();
    let prompt = &request.caller.prompt;
    let changes = app.suspects.update(|evidence| {
        let run = answering_run(evidence, candidate, sent_at);
        evidence.record_served(run, prompt, sent_at, now)
    });
    log_changes(app, &changes, OWN);
}

/// Returns the evidence for other entries.
#[must_use]
pub fn report(app: &app::App) -> report::Report {
    app.suspects.lock().report(app.clock.now())
}

/// Merges the evidence of another entry.
pub fn merge(app: &app::App, entry: &str, report: &report::Report) {
    if report.is_empty() {
        return;
    }
    let now = app.clock.now();
    let changes = app.suspects.update(|evidence| evidence.merge(report, now));
    if !changes.is_empty() {
        app.suspects.news.notify_one();
    }
    log_changes(app, &changes, entry);
}

/// Tells other entries of news, and the evidence that time passes, until the process exits.
pub async fn run(app: sync::Arc<app::App>) {
    tokio::spawn(send_news(app.clone()));
    loop {
        if !app.suspects.has_evidence() {
            app.suspects.begun.notified().await;
        }
        tokio_time::sleep(ADVANCE_INTERVAL).await;
        let now = app.clock.now();
        let changes = app.suspects.update(|evidence| evidence.advance(now));
        log_changes(&app, &changes, OWN);
    }
}

async fn send_news(app: sync::Arc<app::App>) {
    loop {
        app.suspects.news.notified().await;
        peers::send_heartbeats(&app);
        tokio_time::sleep(EARLY_HEARTBEAT_INTERVAL).await;
    }
}

/// Logs and counts changes of what is believed of parts; `told_by` is the entry whose evidence
/// caused them.
fn log_changes(app: &app::App, changes: &[Change], told_by: &str) {
    for change in changes {
        let belief: &str = change.belief.into();
        app.count(&format!("prompt_part_{belief}"));
        let Change {
            part,
            crash_count,
            moment_count,
            ..
        } = change;
        let line = format!(
            "prompt: event={belief} part={part} crashes={crash_count} moments={moment_count} \
             told_by={told_by}"
        );
        match change.belief {
            Belief::Kept => log::warn!("{line}"),
            _ => log::info!("{line}"),
        }
    }
}

/// Logs that the list of a request's parts can't be read.
pub fn record_invalid(app: &app::App, request: &proxy::ProxiedRequest) {
    let Some(invalid) = &request.caller.invalid_prompt else {
        return;
    };
    app.count("prompt_invalid");
    let ordering = atomic::Ordering::Relaxed;
    let now_ms = app.now_ms();
    let due = |again_at_ms| (again_at_ms <= now_ms).then(|| now_ms + INVALID_LOG_INTERVAL_MS);
    let again_at_ms = &app.suspects.invalid_logged_again_at_ms;
    if again_at_ms.fetch_update(ordering, ordering, due).is_ok() {
        log::warn!(
            "prompt: event=invalid request={} reason=\"{invalid}\"",
            request.id()
        );
    }
}
