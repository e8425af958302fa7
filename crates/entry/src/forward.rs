//! Forwards an agent's response to the caller.
//!
//! Its log lines have the part `relay`, which operators search for.

use std::{sync, time};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, body::Frame};
use pimentohook_core::{id, report::commands::Outcome as RequestOutcome, routing::score};
use pimentohook_wire::public;
use tokio::sync::mpsc;

use crate::{caller_response, stream};

const BUFFERED_FRAMES_MAX: usize = 16;

/// Counts a request as in flight at an agent until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    stats: sync::Arc<score::UpstreamStats>,
}

impl InFlightGuard {
    /// Counts the request as in flight.
    pub fn start(stats: sync::Arc<score::UpstreamStats>) -> Self {
        stats.record_start();
        Self { stats }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.stats.record_end();
    }
}

/// What is counted when a response has been forwarded or was interrupted.
#[derive(Debug)]
pub struct OutcomeCounter {
    /// The service.
    pub service: id::ServiceName,
    /// The time from the request's arrival to the first data of its response.
    pub latency: time::Duration,
    /// Counts the request as in flight at its agent.
    pub in_flight: Option<InFlightGuard>,
}

/// Builds the response that forwards a stream without its first `skip` bytes.
#[must_use]
pub fn respond(
    response_stream: stream::ResponseStream,
    request_id: &id::RequestId,
    first: Option<Bytes>,
    skip: u64,
    counter: Option<OutcomeCounter>,
) -> Response<Body> {
    let location = format!(
        "{}:{}",
        response_stream.location.vm, response_stream.location.incarnation
    );
    let (sender, receiver) = mpsc::channel(BUFFERED_FRAMES_MAX);
    tokio::spawn(forward(response_stream, first, skip, sender, counter));
    let frames = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let frame: Result<Frame<Bytes>, std::io::Error> = receiver.recv().await?;
        Some((frame, receiver))
    });
    let response = Response::builder()
        .header(public::REQUEST_ID_HEADER, request_id.as_str())
        .header(public::RESUME_HEADER, location)
        .body(StreamBody::new(frames).boxed_unsync());
    response.unwrap_or_else(|_| caller_response::outcome_unknown("the answer's head can't be made"))
}

/// Forwards data until the response ends or is interrupted, or its caller disconnects.
async fn forward(
    mut response_stream: stream::ResponseStream,
    first: Option<Bytes>,
    mut skip: u64,
    sender: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
    counter: Option<OutcomeCounter>,
) {
    let app = response_stream.app();
    let mut next: Result<Option<Bytes>, stream::StreamError> = Ok(first);
    loop {
        let bytes = match next {
            Ok(Some(bytes)) => bytes,
            Ok(None) => {
                response_stream.release(true);
                if let Some(counter) = counter {
                    app.count(&counter.service, RequestOutcome::Answered(counter.latency));
                }
                return;
            }
            Err(error) => {
                log::warn!("relay: response to the caller was interrupted: {error}.");
                // The error ends the body without its terminator, so the caller doesn't take the
                // response for complete.
                let stream_error = std::io::Error::other(error.to_string());
                let _ = sender.send(Err(stream_error)).await;
                response_stream.release(false);
                if let Some(counter) = counter {
                    app.count(&counter.service, RequestOutcome::Failed);
                }
                return;
            }
        };
        let skipped = skip.min(bytes.len() as u64);
        skip -= skipped;
        let rest = bytes.slice(usize::try_from(skipped).unwrap_or(0)..);
        if !rest.is_empty() && sender.send(Ok(Frame::data(rest))).await.is_err() {
            response_stream.release(false);
            return;
        }
        next = tokio::select! {
            next = response_stream.next() => next,
            () = sender.closed() => {
                response_stream.release(false);
                return;
            }
        };
    }
}
