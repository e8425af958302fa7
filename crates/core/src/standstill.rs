//! Detects that the process did not run for a while, because it was not scheduled or its VM was
//! suspended or stood still.
//!
//! What arrives meanwhile waits in sockets and is read when the process goes on, so its arrival says
//! nothing of when it was sent. A [`Monitor`] is ticked at short intervals; a late tick shows a
//! standstill, and so does a question that comes before it.
//!
//! ```
//! use std::time::Duration;
//!
//! use pimentohook_core::{clock::BootInstant, standstill::Monitor};
//!
//! let at = |ms| BootInstant::from_boot(Duration::from_millis(ms));
//! let mut monitor = Monitor::new(at(0));
//! monitor.tick(at(100));
//! assert_eq!(monitor.backlog_since(at(150)), None);
//! assert_eq!(monitor.backlog_since(at(3_000)), Some(at(100)));
//! ```

use std::time;

use crate::clock;

/// The interval at which a [`Monitor`] is to be ticked.
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A process whose ticks are further apart than this stood still between them.
const TICK_GAP_MAX: time::Duration = time::Duration::from_millis(200);

/// What is read within this time after a standstill may have arrived during it.
const BACKLOG_TIME_MAX: time::Duration = time::Duration::from_millis(500);

/// A span of time in which the process did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Standstill {
    from: clock::BootInstant,
    until: clock::BootInstant,
}

/// What a process knows of its last standstill.
#[derive(Clone, Copy, Debug)]
pub struct Monitor {
    last_tick_at: clock::BootInstant,
    last: Option<Standstill>,
}

impl Monitor {
    /// Creates the monitor of a process that runs at `now`.
    #[must_use]
    pub const fn new(now: clock::BootInstant) -> Self {
        Self {
            last_tick_at: now,
            last: None,
        }
    }

    /// Records that the process runs at `now`.
    pub fn tick(&mut self, now: clock::BootInstant) {
        self.last = self.standstill_at(now);
        self.last_tick_at = now;
    }

    /// Returns since when what is read at `now` may have waited to be read; `None` if the process has
    /// run all the while.
    #[must_use]
    pub fn backlog_since(&self, now: clock::BootInstant) -> Option<clock::BootInstant> {
        let standstill = self.standstill_at(now)?;
        let elapsed = now.saturating_duration_since(standstill.until);
        (elapsed <= BACKLOG_TIME_MAX).then_some(standstill.from)
    }

    /// Returns the last standstill, which may have ended just now. Two that follow each other closely
    /// count as one.
    fn standstill_at(&self, now: clock::BootInstant) -> Option<Standstill> {
        if now.saturating_duration_since(self.last_tick_at) <= TICK_GAP_MAX {
            return self.last;
        }
        let before = self.backlog_of_last(self.last_tick_at);
        Some(Standstill {
            from: before.unwrap_or(self.last_tick_at),
            until: now,
        })
    }

    fn backlog_of_last(&self, at: clock::BootInstant) -> Option<clock::BootInstant> {
        let last = self.last?;
        let elapsed = at.saturating_duration_since(last.until);
        (elapsed <= BACKLOG_TIME_MAX).then_some(last.from)
    }
}
