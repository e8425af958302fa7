//! The origin ledger: which VM may download which chunk from the origin.
//!
//! Each grant allows one download. The ledger is one object of the platform that is changed by
//! conditional update, so the limit on grants holds even if several grantors write at once or a
//! grantor dies. A grant counts as used from the moment that it is recorded, whether its download
//! succeeds or not.

mod availability;
mod starved;

use std::time;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

pub use self::availability::{ChunkAvailability, Participant};
use super::{GrantId, ORIGIN_LIMIT_PERCENT, Policy};
use crate::id;

const PERCENT_SCALE: u64 = 100;
/// A granted chunk with fewer holders than this may be granted again after the timeout.
const REPLICATED_HOLDERS_MIN: u32 = 2;

/// A permission for one download of one chunk from the origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The chunk.
    pub chunk: u32,
    /// The VM that may download it.
    pub vm: id::VmId,
    /// The incarnation of its agent; a restarted agent has lost what it downloaded.
    pub incarnation: id::Incarnation,
    /// Distinguishes the grants of a chunk; each later one has a higher number.
    pub serial: u32,
}

impl Grant {
    /// Creates the record of a grant that an agent received.
    #[must_use]
    pub const fn new(id: GrantId, vm: id::VmId, incarnation: id::Incarnation) -> Self {
        Self {
            chunk: id.chunk,
            vm,
            incarnation,
            serial: id.serial,
        }
    }

    const fn id(&self) -> GrantId {
        GrantId {
            chunk: self.chunk,
            serial: self.serial,
        }
    }
}

/// All grants for one manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    chunk_count: u32,
    policy: Policy,
    grants: Vec<Grant>,
}

/// Limits on the rate of grants.
#[derive(Clone, Copy, Debug)]
pub struct GrantLimits {
    /// How long a granted chunk may take until a participant has it.
    pub grant_timeout: time::Duration,
    /// How many granted chunks may be outstanding. The origin has to send this many within
    /// `grant_timeout`.
    pub open_grants_max: u32,
    /// How many of them one VM may have. If the first VM to report were granted all chunks, the
    /// credit for its uploads would not suffice to pass them on.
    pub vm_grants_max: u32,
}

impl GrantLimits {
    /// Returns the limits of a policy.
    #[must_use]
    pub const fn new(policy: Policy, grant_timeout: time::Duration) -> Self {
        Self {
            grant_timeout,
            open_grants_max: policy.open_grants_max(),
            vm_grants_max: policy.open_grants_max(),
        }
    }

    /// Limits the grants of one VM to its share among `vm_count` VMs.
    #[must_use]
    pub fn shared_by(self, vm_count: u32) -> Self {
        Self {
            vm_grants_max: self.open_grants_max.div_ceil(vm_count.max(1)),
            ..self
        }
    }
}

/// When chunks were last granted. Only the current grantor knows this; a new one starts empty.
#[derive(Clone, Debug, Default)]
pub struct GrantTimes {
    granted_at: IndexMap<u32, time::Instant>,
    vm_granted_at: IndexMap<(u32, id::VmId), time::Instant>,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub const fn new(chunk_count: u32, policy: Policy) -> Self {
        Self {
            chunk_count,
            policy,
            grants: Vec::new(),
        }
    }

    /// Returns the number of chunks of the manifest.
    #[must_use]
    pub const fn chunk_count(&self) -> u32 {
        self.chunk_count
    }

    /// Returns all grants, oldest first.
    #[must_use]
    pub fn grants(&self) -> &[Grant] {
        &self.grants
    }

    /// Returns the grants of one incarnation of a VM's agent.
    pub fn grants_of<'a>(
        &'a self,
        vm: &'a id::VmId,
        incarnation: id::Incarnation,
    ) -> impl Iterator<Item = &'a Grant> {
        let is_own = move |grant: &&Grant| grant.vm == *vm && grant.incarnation == incarnation;
        self.grants.iter().filter(is_own)
    }

    /// Returns the number of chunks that were not granted yet.
    #[must_use]
    pub fn ungranted_count(&self) -> usize {
        let counts = self.grant_counts();
        counts.iter().filter(|count| **count == 0).count()
    }

    /// Returns the policy's limit on grants, which applies while every chunk is held by a
    /// participant.
    #[must_use]
    pub fn grant_max(&self) -> usize {
        let percent = self.policy.origin_percent().min(ORIGIN_LIMIT_PERCENT);
        self.percent_of_chunks(percent)
    }

    /// Adds grants that were recorded before the store was restored from a copy; returns how many
    /// were added.
    ///
    /// `known` are those that a grantor remembers and that agents received. For each chunk that a
    /// participant has although no grant is known, one is added, as it came from the origin.
    pub fn recover(&mut self, known: &[Grant], availability: &ChunkAvailability) -> usize {
        let before = self.grants.len();
        for grant in known {
            if grant.chunk < self.chunk_count && !self.grants.contains(grant) {
                self.grants.push(grant.clone());
            }
        }
        let grant_counts = self.grant_counts();
        for (chunk, count) in (0..self.chunk_count).zip(grant_counts) {
            let mut participants = availability.participants.iter();
            let holder = participants.find(|participant| participant.held.contains(chunk));
            if let Some(holder) = holder.filter(|_| count == 0) {
                let id = GrantId { chunk, serial: 0 };
                let grant = Grant::new(id, holder.vm.clone(), holder.incarnation);
                self.grants.push(grant);
            }
        }
        self.grants.len() - before
    }

    /// Adds the grants that are due; returns how many were added.
    ///
    /// A chunk is granted if no participant has it; the further grants that the policy plans for it
    /// follow once a participant has it. It is granted again at once if no participant has it and
    /// all its grants have failed, and otherwise if it is still held by too few participants after
    /// [`GrantLimits::grant_timeout`]. Once every chunk was granted, starved VMs are granted
    /// chunks too.
    pub fn extend(
        &mut self,
        now: time::Instant,
        availability: &ChunkAvailability,
        times: &mut GrantTimes,
        limits: GrantLimits,
    ) -> usize {
        let grant_timeout = limits.grant_timeout;
        let before = self.grants.len();
        let grant_counts = self.grant_counts();
        let mut outstanding =
            self.outstanding_counts(now, availability, times, &grant_counts, grant_timeout);
        for chunk in 0..self.chunk_count {
            if outstanding.values().sum::<u32>() >= limits.open_grants_max {
                break;
            }
            let has_room = |vm: &id::VmId| {
                let count = outstanding.get(vm).copied().unwrap_or(0);
                count < limits.vm_grants_max
            };
            if self.needs_grant(
                now,
                chunk,
                availability,
                times,
                &grant_counts,
                grant_timeout,
            ) && self.may_grant(chunk, availability, &grant_counts)
                && let Some(participant) = self.choose_participant(chunk, availability, has_room)
            {
                self.push(now, chunk, participant, times);
                *outstanding.entry(participant.vm.clone()).or_insert(0) += 1;
            }
        }
        let all_granted = grant_counts.iter().all(|count| *count > 0);
        if all_granted {
            self.grant_to_starved(now, availability, times, grant_timeout);
        }
        self.grants.len() - before
    }

    /// Returns whether the limits allow a grant of a chunk.
    ///
    /// A repeated grant is allowed only if the first grant of every other chunk still fits in the
    /// limit. For a chunk that no participant has, the hard limit replaces the policy's:
    /// grants during an outage of the origin may have used up the policy's limit, and the chunk
    /// can't be obtained in another way.
    fn may_grant(
        &self,
        chunk: u32,
        availability: &ChunkAvailability,
        grant_counts: &[u32],
    ) -> bool {
        let index = chunk as usize;
        let repeated = grant_counts.get(index) > Some(&0);
        let has_no_holder = availability.holder_counts.get(index) == Some(&0);
        let max = if has_no_holder {
            self.percent_of_chunks(ORIGIN_LIMIT_PERCENT)
        } else {
            self.grant_max()
        };
        let reserved = if repeated {
            grant_counts.iter().filter(|count| **count == 0).count()
        } else {
            0
        };
        self.grants.len() + reserved < max
    }

    fn percent_of_chunks(&self, percent: u32) -> usize {
        let max = u64::from(self.chunk_count) * u64::from(percent) / PERCENT_SCALE;
        usize::try_from(max).unwrap_or(usize::MAX)
    }

    fn push(
        &mut self,
        now: time::Instant,
        chunk: u32,
        participant: &Participant,
        times: &mut GrantTimes,
    ) {
        let chunk_grants = self.grants.iter().filter(|grant| grant.chunk == chunk);
        // Some serial numbers may be missing after the store was restored.
        let last_serial = chunk_grants.map(|grant| grant.serial).max();
        let serial = last_serial.map_or(0, |last| last.saturating_add(1));
        times.granted_at.insert(chunk, now);
        times
            .vm_granted_at
            .insert((chunk, participant.vm.clone()), now);
        self.grants.push(Grant {
            chunk,
            vm: participant.vm.clone(),
            incarnation: participant.incarnation,
            serial,
        });
    }

    fn grant_counts(&self) -> Vec<u32> {
        let mut grant_counts = vec![0; self.chunk_count as usize];
        for grant in &self.grants {
            if let Some(count) = grant_counts.get_mut(grant.chunk as usize) {
                *count += 1;
            }
        }
        grant_counts
    }

    fn needs_grant(
        &self,
        now: time::Instant,
        chunk: u32,
        availability: &ChunkAvailability,
        times: &mut GrantTimes,
        grant_counts: &[u32],
        grant_timeout: time::Duration,
    ) -> bool {
        let index = chunk as usize;
        let grant_count = grant_counts.get(index).copied().unwrap_or(0);
        let holder_count = availability.holder_counts.get(index).copied().unwrap_or(0);
        if grant_count == 0 {
            return holder_count == 0;
        }
        if holder_count == 0 && self.is_lost(chunk, availability) {
            return true;
        }
        // A new grantor does not know when earlier chunks were granted and waits a full timeout.
        let at = *times.granted_at.entry(chunk).or_insert(now);
        let overdue = now.duration_since(at) > grant_timeout;
        let participants = u32::try_from(availability.participants.len()).unwrap_or(u32::MAX);
        // A single holder that has uploaded nothing by the timeout may never do so.
        let under_replicated = holder_count < participants.min(REPLICATED_HOLDERS_MIN);
        let more_planned = holder_count > 0 && grant_count < self.policy.grants_per_chunk();
        more_planned || (overdue && under_replicated)
    }

    /// Returns whether each grant of a chunk has failed or belongs to a VM or an incarnation that
    /// no longer takes part.
    fn is_lost(&self, chunk: u32, availability: &ChunkAvailability) -> bool {
        let is_active = |grant: &Grant| {
            let is_same = |other: &&Participant| {
                other.vm == grant.vm && other.incarnation == grant.incarnation
            };
            let participant = availability.participants.iter().find(is_same);
            participant.is_some_and(|found| !found.failed_grants.contains(&grant.id()))
        };
        let mut chunk_grants = self.grants.iter().filter(|grant| grant.chunk == chunk);
        !chunk_grants.any(is_active)
    }

    /// Returns how many granted chunks are outstanding, by the VM that was granted them last. Lost
    /// grants occupy nothing at the origin.
    fn outstanding_counts(
        &self,
        now: time::Instant,
        availability: &ChunkAvailability,
        times: &mut GrantTimes,
        grant_counts: &[u32],
        grant_timeout: time::Duration,
    ) -> IndexMap<id::VmId, u32> {
        let mut latest: IndexMap<u32, &id::VmId> = IndexMap::new();
        for grant in &self.grants {
            latest.insert(grant.chunk, &grant.vm);
        }
        let mut outstanding = IndexMap::new();
        for (chunk, vm) in latest {
            let index = chunk as usize;
            let grant_count = grant_counts.get(index).copied().unwrap_or(0);
            let holder_count = availability.holder_counts.get(index).copied().unwrap_or(0);
            let at = *times.granted_at.entry(chunk).or_insert(now);
            let is_open = grant_count > holder_count && now.duration_since(at) <= grant_timeout;
            if is_open && !self.is_lost(chunk, availability) {
                *outstanding.entry(vm.clone()).or_insert(0) += 1;
            }
        }
        outstanding
    }

    /// Selects the participant with the fewest grants that has room for one more, which balances
    /// them; ties are broken by rendezvous hashing.
    fn choose_participant<'a, F>(
        &self,
        chunk: u32,
        availability: &'a ChunkAvailability,
        has_room: F,
    ) -> Option<&'a Participant>
    where
        F: Fn(&id::VmId) -> bool,
    {
        let key = format!("origin-{chunk}");
        let mut grant_counts: IndexMap<&id::VmId, u32> = IndexMap::new();
        let mut chunk_grantees: Vec<&id::VmId> = Vec::new();
        for grant in &self.grants {
            *grant_counts.entry(&grant.vm).or_insert(0) += 1;
            if grant.chunk == chunk {
                chunk_grantees.push(&grant.vm);
            }
        }
        let lacks_chunk = |participant: &&Participant| {
            !participant.held.contains(chunk)
                && !chunk_grantees.contains(&&participant.vm)
                && has_room(&participant.vm)
        };
        let candidates = availability.participants.iter().filter(lacks_chunk);
        candidates.min_by_key(|participant| {
            let count = grant_counts.get(&participant.vm).copied().unwrap_or(0);
            let score = id::rendezvous_score(&key, participant.vm.as_str());
            (count, std::cmp::Reverse(score))
        })
    }
}
