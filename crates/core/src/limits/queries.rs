//! Reads of slots and budgets.

use super::FairSlots;

/// One in so many slots is kept for organisations below their share.
const KEPT_SHARE: usize = 4;

/// Hundredths in one retry.
pub(super) const HUNDREDTHS: u64 = 100;

impl FairSlots {
    /// Returns how many slots are taken.
    #[must_use]
    pub fn in_use_count(&self) -> usize {
        self.users.values().map(|usage| usage.taken).sum()
    }

    /// Returns whether only the slots are left that are kept for organisations below their share.
    #[must_use]
    pub fn is_scarce(&self) -> bool {
        let kept = (self.slot_count / KEPT_SHARE).max(1);
        self.in_use_count() + kept >= self.slot_count
    }

    /// Returns how many slots one organisation may hold at present.
    ///
    /// One that is alone may hold all; among several, each may hold its equal part and one more,
    /// so that the last slots do not stay empty through rounding.
    #[must_use]
    pub fn share(&self) -> usize {
        let active = self.users.len().max(1);
        if active == 1 {
            return self.slot_count;
        }
        (self.slot_count / active + 1)
            .min(self.slot_count - 1)
            .max(1)
    }
}
