//! The clock, which is passed to code that needs the time so that tests can control it.

use std::time;

/// A source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the current instant.
    fn now(&self) -> time::Instant;
}

/// The operating system's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> time::Instant {
        time::Instant::now()
    }
}
