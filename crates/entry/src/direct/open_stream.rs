//! The event stream of an upstream, while it is read.

use std::fmt;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{StatusCode, body::Incoming, http};
use pimentohook_core::event_stream;

use super::{app, attempt, placement, stream_evidence};

/// How far the body of an event stream has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// More may come.
    Open,
    /// It has ended after a complete event, or with a mark that there is none.
    Ended,
    /// It was cut off or is not valid, which stays so: a body ends after its error.
    Broken,
    /// It has ended as its framing says, but within an event, so its upstream has not crashed.
    Incomplete,
}

/// An event stream whose first event has been received.
#[derive(Debug)]
pub struct OpenStream {
    /// The head of the response.
    pub head: http::response::Parts,
    /// The remaining body.
    pub body: Incoming,
    /// Whether the end of the body can be told from the end of its connection.
    pub has_marked_end: bool,
    /// The events that have been read.
    pub events: event_stream::EventReader,
    /// How far the body has been read.
    pub body_state: BodyState,
    /// The upstream.
    pub candidate: app::Candidate,
    /// Counts the request as in flight at the upstream.
    pub in_flight: placement::InFlightGuard,
    /// What the stream says of the parts of its prompt.
    pub evidence: stream_evidence::StreamEvidence,
}

impl OpenStream {
    /// Reads until there are complete events or the body has ended; returns false if the body was
    /// cut off or is not valid.
    pub async fn fill(&mut self, app: &app::App) -> bool {
        while !self.events.has_events() {
            match self.body_state {
                BodyState::Open => self.read_frame(app).await,
                BodyState::Ended => return true,
                BodyState::Broken | BodyState::Incomplete => return false,
            }
        }
        true
    }

    async fn read_frame(&mut self, app: &app::App) {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                attempt::record_sign(app, &self.candidate);
                if let Ok(bytes) = frame.into_data() {
                    self.events.push(&bytes);
                }
            }
            Some(Err(error)) => self.record_break("stream_cut_off", &error),
            None if !self.events.is_at_boundary() => {
                self.record_break("stream_cut_off", &"ended within an event");
                if self.has_marked_end {
                    self.body_state = BodyState::Incomplete;
                }
            }
            None if !self.has_marked_end && !self.events.has_begun() => {
                self.record_break("stream_cut_off", &"ended before an event");
            }
            None => self.body_state = BodyState::Ended,
        }
        if let Some(violation) = self.events.violation() {
            self.record_break("stream_not_valid", &violation);
        }
    }

    fn record_break<R>(&mut self, event: &str, reason: &R)
    where
        R: fmt::Display,
    {
        self.body_state = BodyState::Broken;
        log::warn!(
            "attempt: event={event} instance={} last_event={:?} reason={reason}",
            self.instance(),
            self.events.last_id()
        );
    }

    /// Returns the upstream's instance.
    #[must_use]
    pub fn instance(&self) -> &str {
        &self.candidate.upstream.instance
    }

    /// Removes the complete events and returns them.
    pub fn take_events(&mut self) -> Bytes {
        Bytes::from(self.events.take())
    }

    /// Returns whether a response with this status may be resumed at another upstream.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.head.status == StatusCode::OK
    }
}
