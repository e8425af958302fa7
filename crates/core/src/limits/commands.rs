//! Changes to slots and retry budgets.

use std::{sync::atomic::Ordering, time};

use super::{FairSlots, RetryBudget, SlotDenial, Usage, queries};
use crate::id;

impl FairSlots {
    /// Acquires a slot for an organisation.
    ///
    /// # Errors
    ///
    /// Returns a [`SlotDenial`] if the engine is full or the organisation is over its share.
    pub fn try_acquire(
        &mut self,
        now: time::Instant,
        organisation: &id::OrganisationName,
    ) -> Result<(), SlotDenial> {
        self.remove_inactive(now);
        let usage = Usage {
            in_use_count: 0,
            requested_at: now,
        };
        let requester = self.usage.entry(organisation.clone()).or_insert(usage);
        requester.requested_at = now;
        let in_use_count = requester.in_use_count;
        if self.in_use_count() >= self.slot_count {
            return Err(SlotDenial::Full);
        }
        // While slots are plentiful, every organisation may acquire one; only the last few are
        // reserved for organisations below their share.
        if self.is_scarce() && in_use_count >= self.share() {
            return Err(SlotDenial::OverShare);
        }
        if let Some(usage) = self.usage.get_mut(organisation) {
            usage.in_use_count += 1;
        }
        Ok(())
    }

    /// Releases a slot of an organisation.
    pub fn release(&mut self, organisation: &id::OrganisationName) {
        if let Some(usage) = self.usage.get_mut(organisation) {
            usage.in_use_count = usage.in_use_count.saturating_sub(1);
        }
    }

    fn remove_inactive(&mut self, now: time::Instant) {
        let window = self.active_window;
        self.usage.retain(|_, usage| {
            usage.in_use_count > 0 || now.duration_since(usage.requested_at) <= window
        });
    }
}

impl RetryBudget {
    /// Deposits the fraction of a retry that a first attempt adds.
    pub fn deposit(&self) {
        let max = self.balance_max_hundredths();
        let deposit = self.deposit_percent;
        self.balance_hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some((balance + deposit).min(max))
            })
            .ok();
    }

    /// Changes the maximum of the balance. A lower one takes effect at once; with a higher one, the
    /// balance grows by deposits.
    pub fn set_burst(&self, burst_count: u64) {
        self.burst_count.store(burst_count, Ordering::Relaxed);
        let max = self.balance_max_hundredths();
        self.balance_hundredths.fetch_min(max, Ordering::Relaxed);
    }

    /// Withdraws one retry; returns `false` if the balance is too low.
    pub fn try_withdraw(&self) -> bool {
        self.balance_hundredths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                balance.checked_sub(queries::HUNDREDTHS)
            })
            .is_ok()
    }
}
