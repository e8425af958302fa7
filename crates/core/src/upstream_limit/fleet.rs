//! The coordinator of an upstream, and the shares of a limit that it and each entry may use.
//!
//! An entry that is not heard may have stopped, or may be cut off and still send requests with its
//! own share of a limit. So a coordinator keeps back the shares of entries that it does not hear. If
//! it hears a majority, it uses most of them after a while; those that are cut off are in the
//! minority then, whose coordinators and entries go on keeping them back for longer.

use std::time;

use indexmap::{IndexMap, IndexSet};

use super::bucket;
use crate::id;

/// The number of entries among which coordinators are chosen, so that a choice costs the same in a
/// larger fleet.
const COORDINATORS_MAX: usize = 64;
/// The key by which these entries are chosen.
const COORDINATORS_KEY: &str = "upstream-limits";
/// How long a majority keeps back the share of an entry that it does not hear.
const MAJORITY_PATIENCE: time::Duration = time::Duration::from_secs(5);
/// The share of a limit that a majority uses after that.
const MAJORITY_SHARE: f64 = 0.9;
/// After this long without being heard, an entry is treated as stopped.
const ABSENCE_MAX: time::Duration = time::Duration::from_secs(20);

/// Returns the entries that may be coordinators; all entries that know the same `live` entries
/// agree on them.
#[must_use]
pub fn coordinators<'a, I>(live: I) -> Vec<String>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut names: Vec<&str> = live.into_iter().collect();
    if names.len() > COORDINATORS_MAX {
        names.sort_by_cached_key(|name| id::rendezvous_score(COORDINATORS_KEY, name));
        names.drain(..names.len() - COORDINATORS_MAX);
    }
    names.into_iter().map(String::from).collect()
}

/// Returns the coordinator of an upstream.
#[must_use]
pub fn coordinator<'a>(instance: &str, coordinators: &'a [String]) -> Option<&'a str> {
    let score = |name: &&String| id::rendezvous_score(instance, name);
    coordinators.iter().max_by_key(score).map(String::as_str)
}

/// The shares of a limit that an entry may use, between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// For all permits that it grants as a coordinator.
    pub as_coordinator: f64,
    /// For its own requests while it can't reach the coordinator.
    pub alone: f64,
}

impl Shares {
    /// Returns how many slots of an engine each entry may use while its agent does not respond; at
    /// least one.
    #[must_use]
    pub fn of_slots(&self, slot_count: u32) -> u32 {
        let share = f64::from(slot_count) * self.alone;
        // The share of all slots is a whole number, but for rounding.
        bucket::whole((share - ROUNDING).ceil()).max(1)
    }
}

/// More than the error of a product of a share and a number of slots.
const ROUNDING: f64 = 1e-6;

impl Default for Shares {
    /// Returns the shares of the only entry of a fleet.
    fn default() -> Self {
        Self {
            as_coordinator: 1.0,
            alone: 1.0,
        }
    }
}

/// The heartbeats that ended in a round, of those sent to entries that were heard lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heartbeats {
    /// The number of those that were answered.
    pub answered_count: u32,
    /// The number of those that were not.
    pub unanswered_count: u32,
}

/// The other entries that an entry knows of.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    others: IndexMap<String, Other>,
    /// The heartbeats of the last two rounds.
    heartbeats: [Heartbeats; 2],
}

#[derive(Clone, Copy, Debug)]
struct Other {
    /// Since when it has not been heard; `None` while it is.
    absent_since: Option<time::Instant>,
    is_registered: bool,
}

impl Fleet {
    /// Updates which other entries are heard and which are registered in the store.
    ///
    /// An entry that is not registered any more and not heard has shut down. One that never was
    /// registered may be heard while the store is unavailable. An entry may be heard through others
    /// although it can't be reached, so `heartbeats` shows what share of the heard entries can be.
    pub fn update(
        &mut self,
        now: time::Instant,
        heard: &IndexSet<String>,
        registered: &IndexSet<String>,
        heartbeats: Heartbeats,
    ) {
        self.heartbeats = [heartbeats, self.heartbeats[0]];
        for name in heard.union(registered) {
            let other = self.others.entry(name.clone()).or_insert(Other {
                absent_since: Some(now),
                is_registered: false,
            });
            if heard.contains(name) {
                other.absent_since = None;
            }
        }
        self.others.retain(|name, other| {
            let was_registered = other.is_registered;
            other.is_registered = registered.contains(name);
            if heard.contains(name) {
                return true;
            }
            let absent_since = *other.absent_since.get_or_insert(now);
            let is_gone = now.saturating_duration_since(absent_since) >= ABSENCE_MAX;
            other.is_registered || !(was_registered || is_gone)
        });
    }

    /// Returns the number of entries that may be running, this one included. One that is registered
    /// counts however long it has not been heard, as it may be cut off.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        u32::try_from(self.others.len())
            .unwrap_or(u32::MAX)
            .saturating_add(1)
    }

    /// Returns the shares of a limit that this entry may use.
    #[must_use]
    pub fn shares(&self, now: time::Instant) -> Shares {
        let mut heard_count = 0.0;
        let mut silent_count = 0.0;
        let mut lost_count = 0.0;
        for other in self.others.values() {
            let absence = other
                .absent_since
                .map(|since| now.saturating_duration_since(since));
            match absence {
                None => heard_count += 1.0,
                Some(absence) if absence < MAJORITY_PATIENCE => silent_count += 1.0,
                Some(absence) if absence < ABSENCE_MAX => lost_count += 1.0,
                Some(_) => {}
            }
        }
        let reached_count = heard_count * self.reached_share();
        shares(Counts {
            present: 1.0 + reached_count,
            silent: silent_count + heard_count - reached_count,
            lost: lost_count,
        })
    }

    /// Returns the share of the heard entries that can be reached.
    fn reached_share(&self) -> f64 {
        let sum = |count: fn(&Heartbeats) -> u32| self.heartbeats.iter().map(count).sum::<u32>();
        let answered_count = sum(|heartbeats| heartbeats.answered_count);
        let ended_count = answered_count + sum(|heartbeats| heartbeats.unanswered_count);
        if ended_count == 0 {
            return 1.0;
        }
        f64::from(answered_count) / f64::from(ended_count)
    }
}

/// The number of entries, estimated by whether they can be reached.
#[derive(Clone, Copy, Debug)]
struct Counts {
    /// Entries that can be reached, and this entry.
    present: f64,
    /// Entries that can't be reached, or have not been heard for a moment.
    silent: f64,
    /// Entries that have not been heard for longer.
    lost: f64,
}

fn shares(counts: Counts) -> Shares {
    let known = counts.present + counts.silent + counts.lost;
    let kept_back = counts.present / known;
    let is_majority = 2.0 * counts.present > known;
    let as_coordinator = if is_majority {
        let without_lost = counts.present / (counts.present + counts.silent);
        kept_back.max(MAJORITY_SHARE * without_lost)
    } else {
        kept_back
    };
    Shares {
        as_coordinator,
        alone: 1.0 / known,
    }
}
