//! Forwards an event stream to the caller and resumes it at another upstream if its upstream fails.

use std::{sync, time};

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, body};
use snafu::Snafu;

use super::{
    app,
    attempt::{self, OpenStream, Outcome},
    limited_upstream, placement, proxy,
};

/// An upstream that sends no event for this long is treated as failed.
const EVENT_TIMEOUT: time::Duration = time::Duration::from_millis(1_600);

/// The stream can't be completed; its body ends without a terminator.
#[derive(Debug, Snafu)]
#[snafu(display("the stream broke off"))]
struct InterruptedStream;

/// Builds the response for a stream that has started.
///
/// `run_count` is the number of upstreams that may have run the request before.
#[must_use]
pub fn respond(
    app: sync::Arc<app::App>,
    request: sync::Arc<proxy::ProxiedRequest>,
    open: Box<OpenStream>,
    run_count: u32,
) -> Response<Body> {
    let head = open.head.clone();
    let forwarded = ForwardedStream {
        app,
        request,
        open,
        run_count: run_count + 1,
        is_failed: false,
    };
    let event_batches = stream::unfold(forwarded, |mut forwarded| async move {
        let events = forwarded.next().await?;
        Some((events, forwarded))
    });
    let frames = events_to_frames(event_batches);
    attempt::respond(&head, StreamBody::new(frames).boxed_unsync())
}

fn events_to_frames<S>(
    event_batches: S,
) -> impl stream::Stream<Item = Result<body::Frame<Bytes>, std::io::Error>>
where
    S: stream::Stream<Item = Result<Bytes, InterruptedStream>>,
{
    use futures_util::StreamExt as _;
    event_batches.map(|events| events.map(body::Frame::data).map_err(std::io::Error::other))
}

struct ForwardedStream {
    app: sync::Arc<app::App>,
    request: sync::Arc<proxy::ProxiedRequest>,
    open: Box<OpenStream>,
    run_count: u32,
    is_failed: bool,
}

impl ForwardedStream {
    /// Returns the next complete events; `None` at the regular end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, InterruptedStream>> {
        if self.is_failed {
            return None;
        }
        let deadline = tokio::time::Instant::from_std(self.request.deadline);
        let next = tokio::time::timeout_at(deadline, self.next_events()).await;
        let next = next.unwrap_or(Some(Err(InterruptedStream)));
        if let Some(Err(_)) = &next {
            self.is_failed = true;
            self.app.count("broken_off");
            log::warn!(
                "stream: event=broken request={} route={} instance={} last_event={:?} after_ms={}",
                self.request.id(),
                self.request.route.name,
                self.open.instance,
                self.open.events.last_id(),
                self.request.arrived_at.elapsed().as_millis()
            );
        }
        next
    }

    async fn next_events(&mut self) -> Option<Result<Bytes, InterruptedStream>> {
        loop {
            let filled = tokio::time::timeout(EVENT_TIMEOUT, self.open.fill()).await;
            if !matches!(filled, Ok(true)) {
                if self.resume().await {
                    continue;
                }
                return Some(Err(InterruptedStream));
            }
            let events = self.open.take_events();
            if events.is_empty() {
                return None;
            }
            return Some(Ok(events));
        }
    }

    /// Resumes the stream at another upstream after the last event that was forwarded; returns
    /// false if that is impossible.
    async fn resume(&mut self) -> bool {
        self.open.state.stats.record_failure(self.app.now_ms());
        let route = &self.request.route;
        let may_resume = route.resumable && self.run_count < route.attempts_max;
        let budget = self.app.retry_budget(&self.request.service);
        if !may_resume || !budget.try_withdraw() {
            return false;
        }
        let excluded = [self.open.instance.clone()];
        let service = self.request.table.services.get(&self.request.service);
        let placement_request = placement::PlacementRequest {
            service: &self.request.service,
            profile: service.and_then(|service| service.engine.as_ref()),
            model: self.request.caller.model.as_deref(),
            prompt_tokens: self.request.caller.prompt_tokens,
            answer_tokens: self.request.caller.answer_tokens,
            first_token_max: route.goal,
            spare_only: false,
            excluded: &excluded,
        };
        let Ok(placement) = placement::choose(&self.app, &placement_request).await else {
            return false;
        };
        self.run_count += 1;
        let last = self.open.events.last_id();
        let reason = limited_upstream::SendReason::Resume;
        let outcome = attempt::run(&self.app, &self.request, &placement, reason, last).await;
        let Outcome::Stream(open) = outcome else {
            return false;
        };
        self.app.count("resumed");
        log::info!(
            "stream: event=resumed request={} from={} to={} last_event={last:?}",
            self.request.id(),
            self.open.instance,
            open.instance
        );
        self.open = open;
        true
    }
}
