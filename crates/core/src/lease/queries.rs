//! Queries of a lease's state.

use std::time;

use super::{Lease, LeaseObject, LeaseUpdate};
use crate::id;

impl Lease {
    /// Returns the fencing number for orders, while this process holds the lease.
    #[must_use]
    pub fn fencing(&self, now: time::Instant) -> Option<id::FencingNumber> {
        let held = self.held.filter(|held| now < held.until)?;
        Some(held.fencing)
    }

    /// Returns the highest fencing number seen.
    #[must_use]
    pub fn fencing_seen(&self) -> Option<id::FencingNumber> {
        self.seen.as_ref().map(|seen| seen.object.fencing)
    }

    /// Returns the holder of the lease when it was last read.
    #[must_use]
    pub fn holder_seen(&self) -> Option<&id::EntryId> {
        self.seen.as_ref()?.object.holder.as_ref()
    }

    /// Returns the update that is due: a renewal, or an acquisition if the lease was released or
    /// its holder has stopped renewing it.
    #[must_use]
    pub fn due_update(&self, now: time::Instant) -> Option<LeaseUpdate> {
        let seen = self.seen.as_ref()?;
        let object = if self.fencing(now).is_some() {
            let due = self.held.is_some_and(|held| now >= held.renew_at);
            due.then(|| LeaseObject {
                renewal: seen.object.renewal + 1,
                ..seen.object.clone()
            })?
        } else {
            let unchanged_for = now.duration_since(seen.unchanged_since);
            let expired = unchanged_for > self.limits.term + self.limits.margin;
            let free = seen.object.holder.is_none() || expired;
            free.then(|| LeaseObject {
                holder: Some(self.me.clone()),
                fencing: seen.object.fencing.next(),
                renewal: seen.object.renewal + 1,
            })?
        };
        let started_at = now;
        Some(LeaseUpdate { object, started_at })
    }
}
