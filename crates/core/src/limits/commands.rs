//! Changes to slots and budgets.

use std::{sync::atomic::Ordering, time};

use super::{FairSlots, RetryBudget, SlotDenial, Usage, queries};
use crate::id;

impl FairSlots {
    /// Takes a slot for an organisation.
    ///
    /// # Errors
    ///
    /// [`SlotDenial`] says whether the engine is full or the organisation is over its share.
    pub fn try_acquire(
        &mut self,
        now: time::Instant,
        organisation: &id::OrganisationName,
    ) -> Result<(), SlotDenial> {
        self.forget_idle(now);
        let usage = Usage {
            taken: 0,
            asked_at: now,
        };
        let asking = self.users.entry(organisation.clone()).or_insert(usage);
        asking.asked_at = now;
        let taken = asking.taken;
        if self.in_use_count() >= self.slot_count {
            return Err(SlotDenial::Full);
        }
        // While slots are plentiful anybody may have one; only the last are kept for those who
        // have not had their share.
        if self.is_scarce() && taken >= self.share() {
            return Err(SlotDenial::OverShare);
        }
        if let Some(usage) = self.users.get_mut(organisation) {
            usage.taken += 1;
        }
        Ok(())
    }

    /// Gives a slot back.
    pub fn release(&mut self, organisation: &id::OrganisationName) {
        if let Some(usage) = self.users.get_mut(organisation) {
            usage.taken = usage.taken.saturating_sub(1);
        }
    }

    fn forget_idle(&mut self, now: time::Instant) {
        let window = self.active_window;
        self.users
            .retain(|_, usage| usage.taken > 0 || now.duration_since(usage.asked_at) <= window);
    }
}

impl RetryBudget {
    /// Earns the share of a retry that a first attempt brings.
    pub fn deposit(&self) {
        let max = self.burst_count * queries::HUNDREDTHS;
        let earned = self.earned_percent;
        self.saved_hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |saved| {
                Some((saved + earned).min(max))
            })
            .ok();
    }

    /// Spends one retry; false where the budget is used up.
    pub fn try_withdraw(&self) -> bool {
        self.saved_hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |saved| {
                saved.checked_sub(queries::HUNDREDTHS)
            })
            .is_ok()
    }
}
