//! Updates of a lease's state.

use std::time;

use super::{Held, Lease, LeaseObject, LeaseUpdate, Seen};

impl Lease {
    /// Records the object as it was read.
    pub fn record_read(&mut self, now: time::Instant, object: LeaseObject) {
        let replaced = self.held.is_some_and(|held| {
            object.holder.as_ref() != Some(&self.me) || object.fencing != held.fencing
        });
        if replaced {
            self.held = None;
        }
        let unchanged = self.seen.as_ref().is_some_and(|seen| seen.object == object);
        if !unchanged {
            self.seen = Some(Seen {
                object,
                unchanged_since: now,
            });
        }
    }

    /// Records that an update took effect.
    pub fn record_updated(&mut self, now: time::Instant, update: &LeaseUpdate) {
        let is_holder = update.object.holder.as_ref() == Some(&self.me);
        self.held = is_holder.then(|| Held {
            fencing: update.object.fencing,
            until: update.started_at + self.limits.term,
            renew_at: update.started_at + self.limits.renew_every,
        });
        self.record_read(now, update.object.clone());
    }

    /// Releases the lease; returns the update that makes it available to contenders at once.
    pub fn release(&mut self, now: time::Instant) -> Option<LeaseUpdate> {
        self.held.take()?;
        let seen = self.seen.as_ref()?;
        let object = LeaseObject {
            holder: None,
            fencing: seen.object.fencing,
            renewal: seen.object.renewal + 1,
        };
        Some(LeaseUpdate {
            object,
            started_at: now,
        })
    }
}
