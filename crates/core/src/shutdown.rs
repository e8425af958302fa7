//! What a process that was told to stop still takes.
//!
//! It serves on for a while, since callers may not know yet that it leaves, and ends at a fixed
//! instant, whatever runs. Answers that could be cut off then are not begun late; the caller is
//! told at once and goes elsewhere.

use std::time;

/// For this long everything is still taken: only the longest answers would be cut off.
const TAKE_ALL: time::Duration = time::Duration::from_millis(2_500);

/// When a process began to leave and when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// When it was told to stop.
    pub since: time::Instant,
    /// When it ends.
    pub ends_at: time::Instant,
}

impl Shutdown {
    /// Returns whether a request that may last until `deadline` is still taken.
    #[must_use]
    pub fn accepts(&self, now: time::Instant, deadline: time::Instant) -> bool {
        now.saturating_duration_since(self.since) <= TAKE_ALL || deadline < self.ends_at
    }
}
