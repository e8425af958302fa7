//! Forwards an event stream to the caller and resumes it at another upstream if its upstream fails.

use std::{sync, time};

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, body};
use pimentohook_core::at_most_once;
use snafu::Snafu;

use super::{
    app,
    attempt::{self, Outcome},
    crash_evidence, ending, engine_silence, limited_upstream, open_stream, permits, placement,
    prompt_admission, proxy, request_timeout, retries, stream_evidence,
};

/// An upstream that sends no event for this long is treated as failed.
const EVENT_TIMEOUT: time::Duration = time::Duration::from_millis(1_600);
/// Like [`EVENT_TIMEOUT`], for an upstream that stands still.
const SILENT_EVENT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// How often a stream that pauses is looked at; less and less often while nobody else takes it.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
const CHECK_INTERVAL_MAX: time::Duration = time::Duration::from_millis(800);

/// Why a stream can't go on; if it can't be completed, its body ends without a terminator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
enum Interruption {
    #[snafu(display("deadline"))]
    Deadline,
    /// This entry can't wait for its end.
    #[snafu(display("leaving"))]
    Leaving,
    #[snafu(display("not_resumable"))]
    NotResumable,
    #[snafu(display("attempts_spent"))]
    AttemptsSpent,
    #[snafu(display("retry_budget_spent"))]
    RetryBudgetSpent,
    /// Engines crash on a part of its prompt, or may do so.
    #[snafu(display("held_back"))]
    HeldBack,
    /// No other upstream can take it.
    #[snafu(display("upstreams_{denial}"))]
    NoUpstream { denial: placement::Denial },
    /// The other upstream did not go on with it.
    #[snafu(display("attempt_{fault}"))]
    AttemptFailed { fault: at_most_once::Fault },
}

/// Returns why a stream can't go on whose request may not be sent again.
const fn interruption(no_permit: at_most_once::NoPermit) -> Interruption {
    match no_permit {
        at_most_once::NoPermit::AttemptsSpent => Interruption::AttemptsSpent,
        at_most_once::NoPermit::Answered | at_most_once::NoPermit::Once => {
            Interruption::NotResumable
        }
    }
}

/// Builds the response for a stream that has started.
///
/// `record` says that its upstream may have run the request.
#[must_use]
pub fn respond(
    app: sync::Arc<app::App>,
    request: sync::Arc<proxy::ProxiedRequest>,
    open: Box<open_stream::OpenStream>,
    record: at_most_once::RunRecord,
) -> Response<Body> {
    let head = open.head.clone();
    let unfinished =
        ending::UnfinishedGuard::new(app.clone(), request.clone(), ending::Phase::Stream);
    let forwarded = ForwardedStream {
        app,
        request,
        open,
        record,
        is_failed: false,
        unfinished,
    };
    let event_batches = stream::unfold(forwarded, |mut forwarded| async move {
        let events = forwarded.next().await?;
        Some((events, forwarded))
    });
    let frames = events_to_frames(event_batches);
    attempt::respond(&head, StreamBody::new(frames).boxed_unsync())
}

/// Returns why a stream can't go on if its time is over.
fn check_time(app: &app::App, request: &proxy::ProxiedRequest) -> Result<(), Interruption> {
    request_timeout::follow_configuration(app, request);
    snafu::ensure!(!request.is_cut_short(), LeavingSnafu);
    snafu::ensure!(!request.remaining().is_zero(), DeadlineSnafu);
    Ok(())
}

fn events_to_frames<S>(
    event_batches: S,
) -> impl stream::Stream<Item = Result<body::Frame<Bytes>, std::io::Error>>
where
    S: stream::Stream<Item = Result<Bytes, Interruption>>,
{
    use futures_util::StreamExt as _;
    event_batches.map(|events| events.map(body::Frame::data).map_err(std::io::Error::other))
}

/// A pause of a stream.
struct Silence {
    since: tokio::time::Instant,
    check_after: time::Duration,
}

impl Silence {
    fn new() -> Self {
        Self {
            since: tokio::time::Instant::now(),
            check_after: CHECK_INTERVAL,
        }
    }
}

struct ForwardedStream {
    app: sync::Arc<app::App>,
    request: sync::Arc<proxy::ProxiedRequest>,
    open: Box<open_stream::OpenStream>,
    record: at_most_once::RunRecord,
    is_failed: bool,
    unfinished: ending::UnfinishedGuard,
}

impl ForwardedStream {
    /// Returns the next complete events; `None` at the regular end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, Interruption>> {
        if self.is_failed {
            return None;
        }
        let next = self.next_events_in_time().await;
        match &next {
            None => {
                self.unfinished.finish();
                self.record_time();
            }
            Some(Ok(_)) => {}
            Some(Err(interruption)) => {
                self.record_interruption(*interruption);
                // An error of the body drops the head and the events that have not been written.
                tokio::task::yield_now().await;
            }
        }
        next
    }

    /// Returns the next events, or that the deadline has passed.
    ///
    /// The deadline is later if another configuration that holds for the request has a longer timeout.
    async fn next_events_in_time(&mut self) -> Option<Result<Bytes, Interruption>> {
        let (app, request) = (self.app.clone(), self.request.clone());
        let mut next = std::pin::pin!(self.next_events());
        loop {
            tokio::select! {
                biased;
                next = next.as_mut() => return next,
                () = request.until_over() => {}
            }
            if let Err(interruption) = check_time(&app, &request) {
                return Some(Err(interruption));
            }
        }
    }

    /// Records how long the request took.
    fn record_time(&self) {
        let time = self.request.arrived_at.elapsed();
        let route = &self.request.route.name;
        self.app.leaving.record_time(route, time);
    }

    fn record_interruption(&mut self, interruption: Interruption) {
        self.is_failed = true;
        self.unfinished.finish();
        self.record_time();
        self.app.count("broken_off");
        log::warn!(
            "stream: event=broken request={} route={} instance={} last_event={:?} why={interruption} \
             runs={} {}",
            self.request.id(),
            self.request.route.name,
            self.open.instance(),
            self.open.events.last_id(),
            self.record.run_count(),
            ending::Timing::new(&self.app, &self.request)
        );
    }

    async fn next_events(&mut self) -> Option<Result<Bytes, Interruption>> {
        let mut silence = Silence::new();
        loop {
            match tokio::time::timeout(silence.check_after, self.open.fill(&self.app)).await {
                Ok(true) => {
                    let events = self.open.take_events();
                    let is_whole = events.is_empty();
                    let open = &mut self.open;
                    stream_evidence::record_served(&self.app, &self.request, open, is_whole);
                    return (!events.is_empty()).then_some(Ok(events));
                }
                Ok(false) => {
                    let stats = &self.open.candidate.state.stats;
                    stats.record_failure(self.app.now_ms());
                    let progress = crash_evidence::Progress::Events;
                    stream_evidence::record_cut(&self.app, &self.request, &self.open, progress);
                    if let Err(interruption) = self.replace_upstream().await {
                        return Some(Err(interruption));
                    }
                    silence = Silence::new();
                }
                // Without another upstream, this one may still go on.
                Err(_) => {
                    if self.is_to_be_left(&mut silence) {
                        let mut excluded = vec![String::from(self.open.instance())];
                        if self.resume(true, &mut excluded).await.is_ok() {
                            silence = Silence::new();
                        }
                    }
                }
            }
        }
    }

    /// Returns whether another upstream should go on with a stream that has paused.
    fn is_to_be_left(&self, silence: &mut Silence) -> bool {
        let paused = silence.since.elapsed();
        let candidate = &self.open.candidate;
        let is_silent = engine_silence::is_silent(&self.app, candidate);
        if paused < EVENT_TIMEOUT && !(is_silent && paused >= SILENT_EVENT_TIMEOUT) {
            return false;
        }
        if silence.check_after == CHECK_INTERVAL && !is_silent {
            candidate.state.stats.record_failure(self.app.now_ms());
        }
        silence.check_after = (silence.check_after * 2).min(CHECK_INTERVAL_MAX);
        true
    }

    /// Resumes a stream whose upstream has failed at the first other upstream that goes on with it.
    async fn replace_upstream(&mut self) -> Result<(), Interruption> {
        let mut excluded = vec![String::from(self.open.instance())];
        loop {
            let result = self.resume(false, &mut excluded).await;
            let Err(Interruption::AttemptFailed { fault }) = result else {
                return result;
            };
            log::info!(
                "stream: event=resume_failed request={} fault={fault} tried={excluded:?}",
                self.request.id()
            );
        }
    }

    /// Resumes the stream at another upstream after the last event that was forwarded, and adds that
    /// upstream to `excluded`.
    ///
    /// If the present upstream is still connected (`is_open`) and goes on first, it is kept.
    async fn resume(
        &mut self,
        is_open: bool,
        excluded: &mut Vec<String>,
    ) -> Result<(), Interruption> {
        check_time(&self.app, &self.request)?;
        let route = &self.request.route;
        let is_resumable = route.resumable && self.open.events.is_resumable();
        snafu::ensure!(is_resumable, NotResumableSnafu);
        let rule = retries::repeat_rule(&self.app, &self.request);
        self.record.check(rule).map_err(interruption)?;
        let may_resume = prompt_admission::may_resume(&self.app, &self.request, is_open).await;
        snafu::ensure!(may_resume, HeldBackSnafu);
        let service = self.request.table.services.get(&self.request.service);
        let placement_request = placement::PlacementRequest {
            service: &self.request.service,
            profile: service.and_then(|service| service.engine.as_ref()),
            model: self.request.caller.model.as_deref(),
            prompt_tokens: self.request.caller.prompt_tokens,
            answer_tokens: self.request.caller.answer_tokens,
            first_token_max: route.goal,
            spare_only: false,
            priority: self.request.shared_priority(&self.app),
            organisation: self.request.sharing_organisation(&self.app),
            may_probe: false,
            regions: &retries::allowed_regions(&self.app, &self.request),
            excluded,
        };
        let placement = placement::choose(&self.app, &placement_request)
            .await
            .map_err(|denial| Interruption::NoUpstream { denial })?;
        let service = &self.request.service;
        if !retries::try_withdraw(&self.app, service, retries::Reason::Resumed) {
            permits::give_back(&self.app, &placement.candidate.upstream.instance);
            return RetryBudgetSpentSnafu.fail();
        }
        if prompt_admission::held_back(&self.app, &self.request).is_some() {
            permits::give_back(&self.app, &placement.candidate.upstream.instance);
            return HeldBackSnafu.fail();
        }
        let instance = &placement.candidate.upstream.instance;
        let rule = retries::repeat_rule(&self.app, &self.request);
        let permit = self.record.permit(instance, rule).map_err(|no_permit| {
            permits::give_back(&self.app, instance);
            interruption(no_permit)
        })?;
        excluded.push(instance.clone());
        let last = self.open.events.last_id();
        let reason = limited_upstream::SendReason::Resume;
        let outcome = tokio::select! {
            biased;
            outcome = attempt::run(
                &self.app, &self.request, &placement, permit, reason, last,
            ) => outcome,
            true = self.open.fill(&self.app), if is_open => return Ok(()),
            _ = prompt_admission::until_held_back(&self.app, &self.request) => {
                return HeldBackSnafu.fail();
            }
        };
        let open = match outcome {
            Outcome::Stream(open) => open,
            Outcome::Fault(fault) => return AttemptFailedSnafu { fault }.fail(),
            Outcome::Complete(_) | Outcome::ServerError(_) => {
                let fault = at_most_once::Fault::MayHaveRun;
                return AttemptFailedSnafu { fault }.fail();
            }
        };
        self.app.count("resumed");
        log::info!(
            "stream: event=resumed request={} from={} to={} last_event={last:?}",
            self.request.id(),
            self.open.instance(),
            open.instance()
        );
        self.open = open;
        Ok(())
    }
}
