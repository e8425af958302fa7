//! Reads of slots and retry budgets.

use std::sync::atomic;

use super::{FairSlots, RetryBudget};

/// One in this many slots is reserved for organisations below their share.
const RESERVED_DIVISOR: usize = 4;

/// Hundredths in one retry.
pub(super) const HUNDREDTHS: u64 = 100;

impl FairSlots {
    /// Returns how many slots are in use.
    #[must_use]
    pub fn in_use_count(&self) -> usize {
        self.usage.values().map(|usage| usage.in_use_count).sum()
    }

    /// Returns whether the only free slots are those reserved for organisations below their share.
    #[must_use]
    pub fn is_scarce(&self) -> bool {
        let reserved = (self.slot_count / RESERVED_DIVISOR).max(1);
        self.in_use_count() + reserved >= self.slot_count
    }

    /// Returns how many slots one organisation may hold at present.
    ///
    /// An organisation that is active alone may hold all slots. Among several, each may hold one
    /// more than its equal share rounded down, so that rounding leaves no slot idle, but not all
    /// slots unless there is only one.
    #[must_use]
    pub fn share(&self) -> usize {
        let active = self.usage.len().max(1);
        if active == 1 {
            return self.slot_count;
        }
        (self.slot_count / active + 1)
            .min(self.slot_count - 1)
            .max(1)
    }
}

impl RetryBudget {
    pub(super) fn balance_max_hundredths(&self) -> u64 {
        self.burst_count.load(atomic::Ordering::Relaxed) * HUNDREDTHS
    }
}
