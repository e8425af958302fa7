//! How announced versions are read from a source, which tells when a new one was announced.

use std::time;

use super::Announcements;
use crate::{clock, standstill};

/// How a process read the announced versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// The source reported a change at this instant, as soon as it was made.
    Pushed(clock::BootInstant),
    /// The source reported a change at this instant or later; the process stood still and read it
    /// when it went on.
    PushedSince(clock::BootInstant),
    /// The source was asked, and stated what held at this instant or later.
    Fetched(clock::BootInstant),
}

impl Read {
    /// Describes the read of what a source stated, in a reply to a request sent at `requested_at`, to
    /// have held `age` ago; `None` if it never knew.
    ///
    /// The reply may have been on its way for any time since the request.
    #[must_use]
    pub fn fetched_ago(age: Option<time::Duration>, requested_at: clock::BootInstant) -> Self {
        let age = age.unwrap_or(time::Duration::MAX);
        Self::Fetched(requested_at.saturating_sub(age))
    }
}

/// A watch that starts longer than this after the last read does not continue it.
const PUSH_GAP_MAX: time::Duration = time::Duration::from_millis(250);

/// A watch that responds within this time may report what was announced before it started; a slow
/// source takes some time for that.
const AT_ONCE_MAX: time::Duration = time::Duration::from_millis(500);

/// The span of a watch of the announced versions, which tells how what it reports was read.
#[derive(Clone, Copy, Debug)]
pub struct WatchSpan {
    started_at: clock::BootInstant,
    /// Whether the versions were read right before.
    is_continued: bool,
}

impl WatchSpan {
    /// Starts the span of a watch that continues what was read last.
    #[must_use]
    pub fn start(clock: &dyn clock::Clock, announcements: &Announcements) -> Self {
        let started_at = clock.boot_now();
        let is_recent = |read_at| {
            let gap = started_at.saturating_duration_since(read_at);
            gap <= PUSH_GAP_MAX
        };
        Self {
            started_at,
            is_continued: announcements.read_at.is_some_and(is_recent),
        }
    }

    /// Ends the span when the watch responds, after `transfer` from the first byte to the last.
    #[must_use]
    pub fn end(
        self,
        clock: &dyn clock::Clock,
        standstills: &standstill::Monitor,
        transfer: time::Duration,
    ) -> Read {
        let now = clock.boot_now();
        let standstill_from = standstills.backlog_since(now);
        let waited = standstill_from
            .unwrap_or(now)
            .saturating_duration_since(self.started_at);
        if !self.is_continued || waited < AT_ONCE_MAX {
            return Read::Fetched(self.started_at);
        }
        match standstill_from {
            Some(from) => Read::PushedSince(from),
            None => Read::Pushed(now.saturating_sub(transfer)),
        }
    }

    /// Returns an instant at or after which the response was made.
    ///
    /// What was received while the process stood still may have been sent any time before.
    #[must_use]
    pub fn responded_at(
        self,
        clock: &dyn clock::Clock,
        standstills: &standstill::Monitor,
        transfer: time::Duration,
    ) -> clock::BootInstant {
        let now = clock.boot_now();
        match standstills.backlog_since(now) {
            Some(since) => since.max(self.started_at),
            None => now.saturating_sub(transfer),
        }
    }
}
