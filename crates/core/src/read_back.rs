//! How long what was read back of staged chunks holds.
//!
//! An engine takes the staged chunks as they are when it accepts a load order, and any of them may
//! turn bad at any time. So what was read back says something about the load only if the order is
//! accepted soon after the first of the reads began, whatever stood still in between.
//!
//! ```
//! use std::time;
//!
//! use pimentohook_core::{clock, read_back};
//!
//! let at = |s| clock::BootInstant::from_boot(time::Duration::from_secs(s));
//! let read_back = read_back::ReadBack::begin(at(10));
//! assert!(read_back.may_order(at(11)));
//! assert!(!read_back.may_order(at(14)), "read too long ago");
//! ```

use std::time;

use crate::clock;

/// A chunk that has turned bad no longer ago than this may be loaded, as some time always passes
/// between reading it back and the load.
const TOLERANCE: time::Duration = time::Duration::from_secs(3);
/// How long an order may take until the engine accepts it. One that is answered later may have been
/// accepted later.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// How much an instant may be off, as it is read from the clock before or after what it dates.
const CLOCK_MARGIN: time::Duration = time::Duration::from_millis(250);

/// The reading back of all staged chunks of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadBack {
    began_at: clock::BootInstant,
}

impl ReadBack {
    /// Records that the first chunk is read from `began_at` on.
    #[must_use]
    pub const fn begin(began_at: clock::BootInstant) -> Self {
        Self { began_at }
    }

    /// Returns whether a load order that is sent now is accepted while what was read holds, if it is
    /// answered within [`ORDER_TIMEOUT`].
    #[must_use]
    pub fn may_order(self, now: clock::BootInstant) -> bool {
        self.age(now) + ORDER_TIMEOUT + CLOCK_MARGIN <= TOLERANCE
    }

    /// Returns whether what was read still held for a load order that was accepted no later than
    /// `accepted_by`: no chunk had been bad for longer than is excused.
    #[must_use]
    pub fn holds_for(self, accepted_by: clock::BootInstant) -> bool {
        self.age(accepted_by) + CLOCK_MARGIN <= TOLERANCE
    }

    /// Returns whether the first chunk was read at or after an instant.
    #[must_use]
    pub fn began_after(self, instant: clock::BootInstant) -> bool {
        self.began_at >= instant
    }

    /// Returns the time since the first chunk was read.
    #[must_use]
    pub fn age(self, now: clock::BootInstant) -> time::Duration {
        now.saturating_duration_since(self.began_at)
    }
}
