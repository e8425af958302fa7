//! Weights into the engine: staged chunks, orders, and what the engine reports.

use std::{sync, sync::atomic, time};

use futures_util::future;
use pimentohook_core::{engine_admission, rolling_update};
use pimentohook_platform::{origin, runner};
use pimentohook_runtime::process;
use pimentohook_wire::direct;

use super::{app, swarm};
use crate::app::lock;

const REPORT_EVERY: time::Duration = time::Duration::from_millis(50);
const NOTICE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// The version that a model has before one is named.
const FIRST_VERSION: u64 = 1;

/// Follows the engine's report and brings it to the wanted version, until the process ends.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    let mut loader = Loader::default();
    while stop.sleep(REPORT_EVERY).await {
        let asked_at = app.clock.now();
        match app.runner.report().await {
            Ok(report) => {
                loader.record(&app, asked_at, &report);
                loader.step(&app, &report).await;
            }
            Err(error) => loader.record_silence(&error),
        }
    }
}

#[derive(Debug, Default)]
struct Loader {
    /// The version whose chunks all lie beside the engine.
    staged: Option<app::Version>,
    /// The version that was ordered.
    ordered: Option<app::Version>,
    silent: bool,
}

impl Loader {
    fn record_silence(&mut self, error: &runner::RunnerError) {
        if !self.silent {
            log::warn!("loader: event=engine_lost error={error:?}");
        }
        self.silent = true;
        // An engine that comes back may be another one, with nothing beside it.
        self.staged = None;
    }

    fn record(&mut self, app: &app::App, asked_at: time::Instant, report: &runner::Report) {
        if self.silent {
            log::info!("loader: event=engine_regained weights={:?}", report.weights);
        }
        self.silent = false;
        let engine = engine_admission::EngineReport {
            weights: report.weights.clone(),
            active_count: report.active_count,
            queued_count: report.queued_count,
        };
        let mut gate = lock(&app.gate);
        let mut changed = gate.record_report(asked_at, engine);
        if gate.is_loading() && !report.busy && self.is_done(report) {
            gate.set_loading(false);
            self.ordered = None;
            changed = true;
        }
        drop(gate);
        if changed {
            log::info!("loader: event=engine_serves weights={:?}", report.weights);
            app.notice.notify_one();
        }
    }

    /// Returns whether the engine serves what was ordered.
    fn is_done(&self, report: &runner::Report) -> bool {
        let Some((model, version)) = &self.ordered else {
            return true;
        };
        report.weights.get(model) == Some(version)
    }

    async fn step(&mut self, app: &sync::Arc<app::App>, report: &runner::Report) {
        let Some(service) = app.service.load_full() else {
            return;
        };
        if app.target.load().is_none() {
            want_default(app, &service, report);
        }
        if report.busy {
            return;
        }
        close_in_time(app, report);
        let Some(target) = next_target(app, report) else {
            return;
        };
        let is_empty = !report.weights.contains_key(&target.model);
        let version = (target.model.clone(), target.version);
        let Some(manifest) = app.manifest(&version) else {
            return;
        };
        if self.staged.as_ref() != Some(&version) && !stage(app, &manifest).await {
            return;
        }
        self.staged = Some(version.clone());
        if !is_empty && !is_due(app, &target) {
            return;
        }
        lock(&app.gate).set_loading(true);
        app.notice.notify_one();
        self.ordered = Some(version);
        if check_staged(app, &manifest).await {
            order(app, &target, report).await;
        } else {
            self.staged = None;
        }
    }
}

/// Returns the newest version that is here whole, if the engine serves an earlier one or none.
///
/// One that was replaced while it came is loaded too where it is whole first, since requests may
/// not begin on the one before it for much longer.
fn next_target(app: &app::App, report: &runner::Report) -> Option<app::Target> {
    let named = app.named.load();
    let newest = named.iter().rev().find(|one| swarm::is_whole(app, one))?;
    let served = report.weights.get(&newest.model).copied();
    (served < Some(newest.version)).then(|| newest.clone())
}

/// Before a version is named, engines have the first one.
fn want_default(app: &app::App, service: &app::Service, report: &runner::Report) {
    let served = report.weights.first();
    match (served, service.figures.models.first()) {
        (Some((model, version)), _) => app.want(model, *version),
        (None, Some(model)) if app.weights_read.load(atomic::Ordering::Relaxed) => {
            app.want(model, FIRST_VERSION);
        }
        (None, _) => {}
    }
}

/// Lets the gate know when the wanted version is to be loaded.
fn close_in_time(app: &app::App, report: &runner::Report) {
    let named = app.named.load();
    let served = |one: &app::Target| report.weights.get(&one.model).copied();
    let next = named.iter().find(|one| served(one) < Some(one.version));
    let now = app.clock.now();
    // While its turn has come and the chunks can't be expected, the engine serves on.
    let closes_at = next
        .and_then(|one| Some(one.since + turn(app, one).max(whole_after(app, one)?)))
        .map(|at| at.max(now));
    lock(&app.gate).set_next_load_at(closes_at);
}

/// Returns how long after its naming a version is expected to be here whole.
fn whole_after(app: &app::App, target: &app::Target) -> Option<time::Duration> {
    let manifest = app.manifest(&(target.model.clone(), target.version))?;
    let held = app.transfers.held_of(manifest.digest())?;
    if held.is_full() {
        return Some(time::Duration::ZERO);
    }
    let now = app.clock.now();
    let progressed_at = app.transfers.progressed_at(manifest.digest());
    let idle = now.duration_since(progressed_at.unwrap_or(target.since));
    let age = now.duration_since(target.since);
    rolling_update::estimated_completion(age, idle, held.len(), held.range())
}

/// Returns whether it is this engine's turn.
fn is_due(app: &app::App, target: &app::Target) -> bool {
    app.clock.now().duration_since(target.since) >= turn(app, target)
}

/// Returns when it is this engine's turn, after the version was named.
fn turn(app: &app::App, target: &app::Target) -> time::Duration {
    let count = u32::try_from(app.others.load().len() + 1).unwrap_or(u32::MAX);
    let rank = u32::try_from(app.rank(target)).unwrap_or(u32::MAX);
    rolling_update::load_delay(app.settings.weights_grace, rank, count)
}

/// Puts all chunks beside the engine; false where one was not taken.
async fn stage(app: &app::App, manifest: &origin::Manifest) -> bool {
    let digest = manifest.digest();
    for chunk in 0..manifest.chunk_count() {
        let Some(bytes) = app.transfers.chunk(digest, chunk) else {
            return false;
        };
        if let Err(error) = app.runner.stage(&manifest.model, chunk, bytes).await {
            log::warn!("loader: event=stage_failed chunk={chunk} error={error:?}");
            return false;
        }
    }
    log::info!(
        "loader: event=staged model={} version={}",
        manifest.model,
        manifest.version
    );
    true
}

/// Reads the staged chunks back and puts spoilt ones again; false where that failed.
async fn check_staged(app: &app::App, manifest: &origin::Manifest) -> bool {
    let model = &manifest.model;
    for chunk in 0..manifest.chunk_count() {
        let is_good = match app.runner.staged(model, chunk).await {
            Ok(bytes) => bytes.is_some_and(|bytes| manifest.verifies(chunk, &bytes)),
            Err(error) => {
                log::warn!("loader: event=check_failed chunk={chunk} error={error:?}");
                return false;
            }
        };
        if is_good {
            continue;
        }
        app.count("chunk_spoilt");
        log::warn!("loader: event=chunk_spoilt chunk={chunk}");
        let Some(bytes) = app.transfers.chunk(manifest.digest(), chunk) else {
            return false;
        };
        if let Err(error) = app.runner.stage(model, chunk, bytes).await {
            log::warn!("loader: event=stage_failed chunk={chunk} error={error:?}");
            return false;
        }
    }
    true
}

async fn order(app: &app::App, target: &app::Target, report: &runner::Report) {
    let (model, version) = (&target.model, target.version);
    let ordered = app.runner.load(model, version, report.order_count).await;
    let since_ms = app.clock.now().duration_since(target.since).as_millis();
    app.count("ordered");
    match ordered {
        Ok(outcome) => log::info!(
            "loader: event=ordered model={model} version={version} outcome={outcome} \
             since_named_ms={since_ms} active={}",
            report.active_count
        ),
        Err(error) => log::warn!("loader: event=order_failed version={version} error={error:?}"),
    }
}

/// Tells entries what the engine serves, at each change.
pub async fn notify_entries(app: sync::Arc<app::App>, stop: process::StopSignal) {
    loop {
        tokio::select! {
            () = app.notice.notified() => {}
            () = stop.wait() => return,
        }
        let notice = app.state();
        let entries = app.entries.load_full();
        let calls = entries.iter().map(|entry| tell(&app, entry.peers, &notice));
        future::join_all(calls).await;
    }
}

async fn tell(app: &app::App, entry: std::net::SocketAddr, notice: &direct::EngineState) {
    let message =
        pimentohook_runtime::client::message_request(entry, direct::ENGINE_STATE_PATH, notice);
    let sent = match message {
        Ok(message) => {
            app.client
                .send_and_read_body(entry, message, NOTICE_TIMEOUT)
                .await
        }
        Err(error) => Err(error),
    };
    if let Err(error) = sent {
        log::debug!("loader: event=entry_not_told entry={entry} error={error:?}");
    }
}
