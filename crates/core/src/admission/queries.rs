//! Reads of the table of requests.

use std::time;

use super::{Phase, RequestTable, ViewStamp};
use crate::id;

impl RequestTable {
    /// Returns this life of the agent.
    #[must_use]
    pub const fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.slots.in_use_count()
    }

    /// Returns how many request ids are remembered.
    #[must_use]
    pub fn remembered_count(&self) -> usize {
        self.phases.len()
    }

    /// Returns the stamp of the present moment, to be sent with heartbeats.
    #[must_use]
    pub fn view_stamp(&self, now: time::Instant) -> ViewStamp {
        ViewStamp::new(now.duration_since(self.started_at))
    }

    /// Returns how long ago a view with this stamp was taken.
    #[must_use]
    pub fn view_age(&self, now: time::Instant, view_stamp: ViewStamp) -> time::Duration {
        now.duration_since(self.started_at)
            .saturating_sub(view_stamp.since_start())
    }

    /// Returns when a request ended or was last revoked.
    pub(super) fn ended_at(&self, request_id: &id::RequestId) -> Option<time::Instant> {
        match self.phases.get(request_id)? {
            Phase::Revoked { at, .. } | Phase::Finished { at, .. } => Some(*at),
            Phase::Running { .. } => None,
        }
    }
}
