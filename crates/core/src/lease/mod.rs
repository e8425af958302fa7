//! Leases: which entry performs a duty.
//!
//! A lease is one object of the platform, changed by conditional update. Its fencing number grows
//! with each taking, so agents can refuse a holder that was replaced without noticing. Nobody
//! compares clocks of two VMs: a holder stops by its own clock, counted from before its last
//! renewal was sent; a contender waits until it has seen the object unchanged for longer than
//! that, by its own clock.

pub mod commands;
pub mod queries;

use std::time;

use serde::{Deserialize, Serialize};

use crate::id;

/// The object that is kept at the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseObject {
    /// Who holds it; `None` after it was given up.
    pub holder: Option<id::EntryId>,
    /// Grows with each taking.
    pub fencing: id::FencingNumber,
    /// Grows with each renewal.
    pub renewal: u64,
}

/// How long a lease lasts.
#[derive(Clone, Copy, Debug)]
pub struct LeaseLimits {
    /// How long a holder may act after it began its last renewal.
    pub term: time::Duration,
    /// How much longer a contender waits, for clocks that run at different speeds.
    pub margin: time::Duration,
    /// How often it is renewed.
    pub renew_every: time::Duration,
}

/// What one process knows of a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    me: id::EntryId,
    limits: LeaseLimits,
    seen: Option<Seen>,
    held: Option<Held>,
}

#[derive(Clone, Debug)]
struct Seen {
    object: LeaseObject,
    unchanged_since: time::Instant,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fencing: id::FencingNumber,
    until: time::Instant,
    renew_at: time::Instant,
}

/// A conditional update to be sent to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseUpdate {
    /// The object as it is to be.
    pub object: LeaseObject,
    /// When the update was begun, from which the term counts.
    pub begun_at: time::Instant,
}

impl Lease {
    /// Creates the knowledge of a process that has not read the lease yet.
    #[must_use]
    pub const fn new(me: id::EntryId, limits: LeaseLimits) -> Self {
        Self {
            me,
            limits,
            seen: None,
            held: None,
        }
    }
}
