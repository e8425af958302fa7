//! How announced versions are read from a source, which tells when a new one was announced.

use std::time;

use super::Announcements;
use crate::clock;

/// How a process read the announced versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// The source reported a change at this instant, as soon as it was made.
    Pushed(clock::BootInstant),
    /// The source was asked, and stated what held at this instant or later.
    Fetched(clock::BootInstant),
}

impl Read {
    /// Describes the read of what a source stated to have held `age` ago; `None` if it never knew.
    #[must_use]
    pub fn fetched_ago(age: Option<time::Duration>, clock: &dyn clock::Clock) -> Self {
        let age = age.unwrap_or(time::Duration::MAX);
        Self::Fetched(clock.boot_now().saturating_sub(age))
    }
}

/// A watch that starts longer than this after the last read may report at once what was announced
/// in between.
const PUSH_GAP_MAX: time::Duration = time::Duration::from_millis(250);

/// In a process that was not suspended, the clocks differ by less than this.
const SUSPENSION_MIN: time::Duration = time::Duration::from_millis(50);

/// The span of a watch of the announced versions, which tells how what it reports was read.
#[derive(Clone, Copy, Debug)]
pub struct WatchSpan {
    started_at: time::Instant,
    started_boot_at: clock::BootInstant,
    /// Whether the versions were read right before.
    is_continued: bool,
}

impl WatchSpan {
    /// Starts the span of a watch that continues what was read last.
    #[must_use]
    pub fn start(clock: &dyn clock::Clock, announcements: &Announcements) -> Self {
        let started_boot_at = clock.boot_now();
        let is_recent = |read_at| {
            let gap = started_boot_at.saturating_duration_since(read_at);
            gap <= PUSH_GAP_MAX
        };
        Self {
            started_at: clock.now(),
            started_boot_at,
            is_continued: announcements.read_at.is_some_and(is_recent),
        }
    }

    /// Ends the span when the watch responds, after `transfer` from the first byte to the last.
    #[must_use]
    pub fn end(self, clock: &dyn clock::Clock, transfer: time::Duration) -> Read {
        if self.is_continued && !self.is_suspended(clock) {
            Read::Pushed(clock.boot_now().saturating_sub(transfer))
        } else {
            Read::Fetched(self.started_boot_at)
        }
    }

    /// Returns an instant at or after which the response was made.
    ///
    /// What was received while the VM was suspended may have been sent any time before.
    #[must_use]
    pub fn responded_at(
        self,
        clock: &dyn clock::Clock,
        transfer: time::Duration,
    ) -> clock::BootInstant {
        if self.is_suspended(clock) {
            self.started_boot_at
        } else {
            clock.boot_now().saturating_sub(transfer)
        }
    }

    fn is_suspended(self, clock: &dyn clock::Clock) -> bool {
        let elapsed = clock.now().duration_since(self.started_at);
        let boot_elapsed = clock
            .boot_now()
            .saturating_duration_since(self.started_boot_at);
        boot_elapsed.saturating_sub(elapsed) > SUSPENSION_MIN
    }
}
