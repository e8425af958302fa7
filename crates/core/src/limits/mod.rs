//! Limits: fair sharing of slots among organisations, and the retry budget.
//!
//! Agents use [`FairSlots`] for admission. Most slots go to any organisation; the last few are
//! reserved for organisations that hold less than their equal share. A large organisation therefore
//! can't starve small ones, and no slot stays idle while an organisation may use it.
//! Entries use [`RetryBudget`], which bounds the attempts per request when every upstream is slow.

pub mod commands;
pub mod queries;

use std::{sync::atomic, time};

use indexmap::IndexMap;

use crate::id;

/// Why no slot was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDenial {
    /// Every slot is in use.
    Full,
    /// The organisation already holds its share and only reserved slots are left.
    OverShare,
}

/// Slots of one engine, shared fairly among organisations.
#[derive(Debug)]
pub struct FairSlots {
    slot_count: usize,
    active_window: time::Duration,
    usage: IndexMap<id::OrganisationName, Usage>,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    in_use_count: usize,
    requested_at: time::Instant,
}

impl FairSlots {
    /// Creates slots that are all free. An organisation counts as active for `active_window` after
    /// it last requested a slot.
    #[must_use]
    pub fn new(slot_count: usize, active_window: time::Duration) -> Self {
        Self {
            slot_count,
            active_window,
            usage: IndexMap::new(),
        }
    }
}

/// A budget of retries, proportional to the number of first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    balance_hundredths: atomic::AtomicU64,
    deposit_percent: u64,
    burst_count: atomic::AtomicU64,
}

impl RetryBudget {
    /// Creates a budget to which each first attempt adds `percent` hundredths of a retry. It starts
    /// with its maximum of `burst_count` retries.
    #[must_use]
    pub fn new(percent: u64, burst_count: u64) -> Self {
        Self {
            balance_hundredths: atomic::AtomicU64::new(burst_count * queries::HUNDREDTHS),
            deposit_percent: percent,
            burst_count: atomic::AtomicU64::new(burst_count),
        }
    }
}
