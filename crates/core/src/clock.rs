//! The clock, handed to whatever needs the time so that tests can set it.

use std::time;

/// A source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the present instant.
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
