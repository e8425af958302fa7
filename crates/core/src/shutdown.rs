//! Graceful shutdown: which requests a process that is shutting down still accepts.
//!
//! The process keeps serving for a while, because callers may not know yet that it is shutting
//! down, and exits at a fixed instant even if requests are still running. Late in that period it
//! refuses requests that the exit could cut off, so that their callers can go elsewhere at once.

use std::time;

/// How long after the start of the shutdown every request is accepted; only the longest ones would
/// be cut off.
const ACCEPT_ALL: time::Duration = time::Duration::from_millis(2_500);

/// The period of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When the process was asked to stop.
    pub since: time::Instant,
    /// When the process exits.
    pub ends_at: time::Instant,
}

impl Shutdown {
    /// Returns whether a request that may run until `deadline` is still accepted.
    #[must_use]
    pub fn accepts(&self, now: time::Instant, deadline: time::Instant) -> bool {
        now.saturating_duration_since(self.since) <= ACCEPT_ALL || deadline < self.ends_at
    }
}
