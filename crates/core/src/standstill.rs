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

use std::{collections::VecDeque, time};

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

/// What a process knows of its recent standstills.
#[derive(Clone, Debug)]
pub struct Monitor {
    last_tick_at: clock::BootInstant,
    /// The end of the last standstill before the last tick, or the start.
    ran_since: clock::BootInstant,
    /// Those that ended within [`BACKLOG_TIME_MAX`] before the last tick, the oldest first.
    recent: VecDeque<Standstill>,
}

impl Monitor {
    /// Creates the monitor of a process that runs at `now`.
    #[must_use]
    pub const fn new(now: clock::BootInstant) -> Self {
        Self {
            last_tick_at: now,
            ran_since: now,
            recent: VecDeque::new(),
        }
    }

    /// Records that the process runs at `now`.
    pub fn tick(&mut self, now: clock::BootInstant) {
        let current = self.current(now);
        let ran_until = current.map_or(now, |standstill| standstill.from);
        self.recent
            .retain(|standstill| is_recent(standstill, ran_until));
        self.recent.extend(current);
        self.ran_since = self.ran_since(now);
        self.last_tick_at = now;
    }

    /// Returns since when what is read at `now` may have waited to be read; `None` if the process has
    /// run all the while.
    #[must_use]
    pub fn backlog_since(&self, now: clock::BootInstant) -> Option<clock::BootInstant> {
        let current = self.current(now);
        let ran_until = current.map_or(now, |standstill| standstill.from);
        let mut earlier = self.recent.iter().copied();
        let earliest = earlier.find(|standstill| is_recent(standstill, ran_until));
        earliest.or(current).map(|standstill| standstill.from)
    }

    /// Returns since when the process has run without standing still.
    #[must_use]
    pub fn ran_since(&self, now: clock::BootInstant) -> clock::BootInstant {
        self.current(now)
            .map_or(self.ran_since, |standstill| standstill.until)
    }

    /// Returns the standstill that ends at `now`, before which there was no tick.
    fn current(&self, now: clock::BootInstant) -> Option<Standstill> {
        let is_late = now.saturating_duration_since(self.last_tick_at) > TICK_GAP_MAX;
        is_late.then_some(Standstill {
            from: self.last_tick_at,
            until: now,
        })
    }
}

fn is_recent(standstill: &Standstill, now: clock::BootInstant) -> bool {
    now.saturating_duration_since(standstill.until) <= BACKLOG_TIME_MAX
}
