//! A stream of events on its way to the caller, resumed elsewhere where its upstream fails.

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
    placement, proxy,
};

/// An upstream that shows no event for this long counts as failed.
const SILENCE_MAX: time::Duration = time::Duration::from_millis(1_600);

/// A stream that can't be completed; its body ends without a terminator.
#[derive(Debug, Snafu)]
#[snafu(display("the stream broke off"))]
struct BrokenStream;

/// Builds the answer of a stream that has begun; `ran_count` upstreams may have run it before.
#[must_use]
pub fn respond(
    app: sync::Arc<app::App>,
    job: sync::Arc<proxy::Job>,
    open: Box<OpenStream>,
    ran_count: u32,
) -> Response<Body> {
    let head = open.head.clone();
    let relay = Relay {
        app,
        job,
        open,
        ran_count: ran_count + 1,
        last_event_id: None,
        failed: false,
    };
    let pieces = stream::unfold(relay, |mut relay| async move {
        let piece = relay.next().await?;
        Some((piece, relay))
    });
    let frames = pieces_to_frames(pieces);
    attempt::respond(&head, StreamBody::new(frames).boxed_unsync())
}

fn pieces_to_frames<S>(
    pieces: S,
) -> impl stream::Stream<Item = Result<body::Frame<Bytes>, std::io::Error>>
where
    S: stream::Stream<Item = Result<Bytes, BrokenStream>>,
{
    use futures_util::StreamExt as _;
    pieces.map(|piece| piece.map(body::Frame::data).map_err(std::io::Error::other))
}

struct Relay {
    app: sync::Arc<app::App>,
    job: sync::Arc<proxy::Job>,
    open: Box<OpenStream>,
    ran_count: u32,
    last_event_id: Option<String>,
    failed: bool,
}

impl Relay {
    /// Returns the next whole events; `None` at the clean end.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenStream>> {
        if self.failed {
            return None;
        }
        let deadline = tokio::time::Instant::from_std(self.job.deadline);
        let next = tokio::time::timeout_at(deadline, self.next_events()).await;
        let next = next.unwrap_or(Some(Err(BrokenStream)));
        if let Some(Err(_)) = &next {
            self.failed = true;
            self.app.count("broken_off");
            log::warn!(
                "stream: event=broken request={} route={} instance={} last_event={:?} after_ms={}",
                self.job.id(),
                self.job.route.name,
                self.open.instance,
                self.last_event_id,
                self.job.arrived_at.elapsed().as_millis()
            );
        }
        next
    }

    async fn next_events(&mut self) -> Option<Result<Bytes, BrokenStream>> {
        loop {
            let filled = tokio::time::timeout(SILENCE_MAX, self.open.fill()).await;
            if !matches!(filled, Ok(true)) {
                if self.resume().await {
                    continue;
                }
                return Some(Err(BrokenStream));
            }
            let events = self.open.take_events();
            if events.is_empty() {
                return None;
            }
            if let Some(last) = last_event_id(&events) {
                self.last_event_id = Some(last);
            }
            return Some(Ok(events));
        }
    }

    /// Goes on at another upstream after the last event passed on; false where that can't be.
    async fn resume(&mut self) -> bool {
        self.open.live.record.record_failure(self.app.now_ms());
        let route = &self.job.route;
        let may_resume = route.resumable && self.ran_count < route.attempts_max;
        let budget = self.app.budget(&self.job.service);
        if !may_resume || !budget.try_withdraw() {
            return false;
        }
        let excluded = [self.open.instance.clone()];
        let service = self.job.table.services.get(&self.job.service);
        let need = placement::Need {
            service: &self.job.service,
            figures: service.and_then(|service| service.engine.as_ref()),
            model: self.job.caller.model.as_deref(),
            prompt_tokens: self.job.caller.prompt_tokens,
            answer_tokens: self.job.caller.answer_tokens,
            first_token_max: route.goal,
            spare_only: false,
            excluded: &excluded,
        };
        let Ok(place) = placement::choose(&self.app, &need).await else {
            return false;
        };
        self.ran_count += 1;
        let last = self.last_event_id.as_deref();
        let outcome = attempt::run(&self.app, &self.job, &place, last).await;
        let Outcome::Stream(open) = outcome else {
            return false;
        };
        self.app.count("resumed");
        log::info!(
            "stream: event=resumed request={} from={} to={} last_event={last:?}",
            self.job.id(),
            self.open.instance,
            open.instance
        );
        self.open = open;
        true
    }
}

/// Returns the id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let mut ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    ids.next_back().map(|id| String::from(id.trim()))
}
