//! Limits: the share of slots that each organisation gets, and the budget for retries.
//!
//! [`FairSlots`] is used by the agent at admission. Most slots go to whoever asks; the last few go
//! only to organisations that hold less than their equal share, so that a large one can't starve
//! small ones, and no slot stays empty while somebody may have it.
//! [`RetryBudget`] is used by the entry and bounds attempts per request when everything is slow.

pub mod commands;
pub mod queries;

use std::{sync::atomic, time};

use indexmap::IndexMap;

use crate::id;

/// Why no slot was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDenial {
    /// Every slot is taken.
    Full,
    /// The organisation has its share already while others are active.
    OverShare,
}

/// Slots of one engine, shared fairly among organisations.
#[derive(Debug)]
pub struct FairSlots {
    slot_count: usize,
    active_window: time::Duration,
    users: IndexMap<id::OrganisationName, Usage>,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    taken: usize,
    asked_at: time::Instant,
}

impl FairSlots {
    /// Creates slots; an organisation counts as active for `active_window` after it last asked.
    #[must_use]
    pub fn new(slot_count: usize, active_window: time::Duration) -> Self {
        Self {
            slot_count,
            active_window,
            users: IndexMap::new(),
        }
    }
}

/// A budget of retries as a share of first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    saved_hundredths: atomic::AtomicU64,
    earned_percent: u64,
    burst_count: u64,
}

impl RetryBudget {
    /// Creates a budget that earns `percent` of a retry with each first attempt and saves up at
    /// most `burst_count` retries.
    #[must_use]
    pub fn new(percent: u64, burst_count: u64) -> Self {
        Self {
            saved_hundredths: atomic::AtomicU64::new(burst_count * queries::HUNDREDTHS),
            earned_percent: percent,
            burst_count,
        }
    }
}
