//! The clock, which is passed to code that needs the time so that tests can control it.

use std::{ops, time};

use nix::time as os_time;

/// A source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the current instant, which does not advance while the VM is suspended.
    fn now(&self) -> time::Instant;

    /// Returns the current instant of a clock that advances while the VM is suspended.
    ///
    /// For bounds that others measure too, such as the grace period of an announcement.
    fn boot_now(&self) -> BootInstant;
}

/// An instant of a clock that advances while the VM is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant {
    since_epoch: time::Duration,
}

/// The time from the epoch to the start of the VM, so that instants before that can be stated.
const EPOCH_TO_BOOT: time::Duration = time::Duration::from_secs(1 << 32);

impl BootInstant {
    /// Creates the instant that is this long after the start of the VM.
    #[must_use]
    pub fn from_boot(since_boot: time::Duration) -> Self {
        Self {
            since_epoch: EPOCH_TO_BOOT.saturating_add(since_boot),
        }
    }

    /// Returns the time since an earlier instant; zero if that is later than this one.
    #[must_use]
    pub const fn saturating_duration_since(self, earlier: Self) -> time::Duration {
        self.since_epoch.saturating_sub(earlier.since_epoch)
    }

    /// Returns the instant that is this much earlier, or the earliest one.
    #[must_use]
    pub const fn saturating_sub(self, duration: time::Duration) -> Self {
        Self {
            since_epoch: self.since_epoch.saturating_sub(duration),
        }
    }
}

impl ops::Add<time::Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        Self {
            since_epoch: self.since_epoch.saturating_add(duration),
        }
    }
}

/// The operating system's monotonic clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> time::Instant {
        time::Instant::now()
    }

    fn boot_now(&self) -> BootInstant {
        let since_boot = os_time::clock_gettime(os_time::ClockId::CLOCK_BOOTTIME)
            .unwrap_or_else(|error| unreachable!("the system has a boot clock: {error}"));
        BootInstant::from_boot(since_boot.into())
    }
}
