//! Graceful shutdown: which requests a process that is shutting down still accepts, and until when
//! those that it has accepted get their responses.
//!
//! The process keeps listening until it exits at a fixed instant, because callers may not know yet
//! that it is shutting down. For a while it accepts requests that end in time by themselves; all
//! others are refused, so that their callers go elsewhere at once. What is still under way shortly
//! before the exit gets a response of the process itself instead of a connection that is cut off.

use std::time;

/// The part of the period after which the last responses are made; they have yet to be written, sent
/// and read.
const RESPONSES_PERCENT: u32 = 95;
/// The part of the period after which idle connections are closed.
const CLOSE_PERCENT: u32 = 98;

/// The period of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When the process was asked to stop.
    pub since: time::Instant,
    /// How long requests are still accepted.
    pub delay: time::Duration,
    /// After how long the process exits.
    pub timeout: time::Duration,
}

impl Shutdown {
    /// Returns when the process exits.
    #[must_use]
    pub fn ends_at(&self) -> time::Instant {
        self.since + self.timeout
    }

    /// Returns when requests that are still under way get a response of the process itself.
    #[must_use]
    pub fn responds_at(&self) -> time::Instant {
        self.since + self.timeout * RESPONSES_PERCENT / 100
    }

    /// Returns when the process stops listening and closes idle connections.
    #[must_use]
    pub fn closes_at(&self) -> time::Instant {
        self.since + self.timeout * CLOSE_PERCENT / 100
    }

    /// Returns whether a request that may last until `deadline` ends before the process does.
    #[must_use]
    pub fn outlasts(&self, deadline: time::Instant) -> bool {
        deadline <= self.responds_at()
    }

    /// Returns whether a request that arrives and may last until `deadline` is accepted.
    #[must_use]
    pub fn accepts(&self, now: time::Instant, deadline: time::Instant) -> bool {
        now.saturating_duration_since(self.since) < self.delay && self.outlasts(deadline)
    }

    /// Returns until when a request may last that was accepted before the shutdown.
    #[must_use]
    pub fn limit(&self, deadline: time::Instant) -> time::Instant {
        deadline.min(self.responds_at())
    }
}
