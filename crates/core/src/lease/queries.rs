//! Reads of what is known of a lease.

use std::time;

use super::{Lease, LeaseObject, LeaseUpdate};
use crate::id;

impl Lease {
    /// Returns the fencing number to act with, while the lease is held.
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

    /// Returns who held the lease when it was last read.
    #[must_use]
    pub fn holder_seen(&self) -> Option<&id::EntryId> {
        self.seen.as_ref()?.object.holder.as_ref()
    }

    /// Returns the update that is due: a renewal, or a taking where the holder has fallen silent.
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
            let silence = now.duration_since(seen.unchanged_since);
            let lapsed = silence > self.limits.term + self.limits.margin;
            let free = seen.object.holder.is_none() || lapsed;
            free.then(|| LeaseObject {
                holder: Some(self.me.clone()),
                fencing: seen.object.fencing.next(),
                renewal: seen.object.renewal + 1,
            })?
        };
        let begun_at = now;
        Some(LeaseUpdate { object, begun_at })
    }
}
