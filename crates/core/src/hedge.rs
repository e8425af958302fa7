//! When a process asks other sources beside the one that it follows.
//!
//! ```
//! use std::time;
//!
//! use pimentohook_core::{clock, follow_timing, hedge};
//!
//! let confirmed_at = clock::BootInstant::from_boot(time::Duration::from_secs(60));
//! let knowledge = hedge::Knowledge {
//!     confirmed_at: Some(confirmed_at),
//!     ..hedge::Knowledge::default()
//! };
//! let timing = follow_timing::HedgeTiming::within(time::Duration::from_secs(2));
//! assert_eq!(knowledge.reason(&timing, confirmed_at), None);
//! let later = confirmed_at + timing.after;
//! assert_eq!(knowledge.reason(&timing, later), Some(hedge::Reason::OldCopy));
//! ```

use std::time;

use crate::{clock::BootInstant, follow_timing::HedgeTiming, reported_version::Neighbour};

/// What a process knows of its copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Knowledge<'a> {
    /// The latest instant at which the copy was the state of the store; `None` before the first copy,
    /// which has a loop of its own.
    pub confirmed_at: Option<BootInstant>,
    /// Since when a newer state has been received, if one is being received.
    pub transfer_since: Option<BootInstant>,
    /// A neighbour that has reported a newer version.
    pub newer_at: Option<&'a Neighbour>,
}

/// Why other sources are asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The neighbour of this name has a newer version.
    NewerAt(String),
    /// The copy has not been confirmed for long.
    OldCopy,
}

impl Knowledge<'_> {
    /// Returns why other sources are to be asked at `now`; `None` if they are not.
    #[must_use]
    pub fn reason(&self, timing: &HedgeTiming, now: BootInstant) -> Option<Reason> {
        let confirmed_at = self.confirmed_at?;
        let is_late = |neighbour: &&Neighbour| {
            let since = self.transfer_since.unwrap_or(neighbour.since);
            now >= since.max(neighbour.since) + timing.neighbour_delay
        };
        if let Some(neighbour) = self.newer_at.filter(is_late) {
            return Some(Reason::NewerAt(neighbour.entry.clone()));
        }
        let age_max = match self.transfer_since {
            Some(_) => timing.transfer_max,
            None => timing.after,
        };
        (now >= confirmed_at + age_max).then_some(Reason::OldCopy)
    }
}

/// The answer to a watch of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchAnswer {
    /// When it was requested.
    pub requested_at: BootInstant,
    /// How long the store was to wait for a change.
    pub wait: time::Duration,
    /// Whether there were changes.
    pub is_changed: bool,
    /// When it had been read.
    pub read_at: BootInstant,
}

impl WatchAnswer {
    /// Returns the latest instant at which the answer held for sure: one without changes is given after
    /// the wait, and any other may have been on its way since the request.
    #[must_use]
    pub fn held_at(&self) -> BootInstant {
        let end = self.requested_at + self.wait;
        if self.is_changed || self.read_at < end {
            self.requested_at
        } else {
            end
        }
    }
}
