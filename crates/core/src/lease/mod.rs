//! Leases: which entry performs a duty.
//!
//! A lease is one object of the platform that is changed by conditional update. Its fencing number
//! grows with each acquisition, so agents can refuse a holder that was replaced without noticing.
//! Clocks of different VMs are never compared: a holder stops by its own clock, with the term
//! counted from before it sent its last renewal, and a contender waits by its own clock until it
//! has seen the object unchanged for longer than that.

pub mod commands;
pub mod queries;

use std::time;

use serde::{Deserialize, Serialize};

use crate::id;

/// The lease object stored at the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseObject {
    /// The holder; `None` after the lease was released.
    pub holder: Option<id::EntryId>,
    /// Grows with each acquisition.
    pub fencing: id::FencingNumber,
    /// Grows with each renewal.
    pub renewal: u64,
}

/// The times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseLimits {
    /// How long a holder may act after it started its last renewal.
    pub term: time::Duration,
    /// How much longer a contender waits, to allow for clocks that run at different speeds.
    pub margin: time::Duration,
    /// The interval between renewals.
    pub renew_every: time::Duration,
}

/// The state of a lease as known to one process.
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
    /// The new object.
    pub object: LeaseObject,
    /// When the update was started, before it is sent; the term counts from this time.
    pub started_at: time::Instant,
}

impl Lease {
    /// Creates the state of a process that has not read the lease yet.
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
