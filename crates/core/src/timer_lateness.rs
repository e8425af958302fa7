//! How late the timers of a process fire.
//!
//! A process that is short of processor time, or works for long without a pause, decides in time and
//! acts late. [`TimerLateness`] keeps the largest lateness of the timers of each interval.
//!
//! ```
//! use std::time::Duration;
//!
//! use pimentohook_core::{clock::BootInstant, timer_lateness};
//!
//! let at = |ms| BootInstant::from_boot(Duration::from_millis(ms));
//! let mut lateness = timer_lateness::TimerLateness::new(at(0));
//! lateness.record(at(100), at(130));
//! assert_eq!(lateness.of_interval(at(130)), None);
//! let over = at(0) + timer_lateness::INTERVAL;
//! assert_eq!(lateness.of_interval(over), Some(Duration::from_millis(30)));
//! ```

use std::time;

use crate::clock;

/// The interval of which the largest lateness is stated.
pub const INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Timers that are later than this make a process act later than the times of its messages allow for.
const LATENESS_MAX: time::Duration = time::Duration::from_millis(100);

/// The largest lateness of the timers in an interval.
#[derive(Clone, Copy, Debug)]
pub struct TimerLateness {
    started_at: clock::BootInstant,
    largest: time::Duration,
}

impl TimerLateness {
    /// Begins an interval.
    #[must_use]
    pub const fn new(now: clock::BootInstant) -> Self {
        Self {
            started_at: now,
            largest: time::Duration::ZERO,
        }
    }

    /// Records that a timer that was due at `due_at` has fired at `now`.
    pub fn record(&mut self, due_at: clock::BootInstant, now: clock::BootInstant) {
        let lateness = now.saturating_duration_since(due_at);
        self.largest = self.largest.max(lateness);
    }

    /// Returns the largest lateness in the interval; `None` until it is over.
    #[must_use]
    pub fn of_interval(&self, now: clock::BootInstant) -> Option<time::Duration> {
        let is_over = now.saturating_duration_since(self.started_at) >= INTERVAL;
        is_over.then_some(self.largest)
    }
}

/// Returns whether timers are too late for what the process is to do in time.
#[must_use]
pub fn is_too_late(lateness: time::Duration) -> bool {
    lateness > LATENESS_MAX
}
