//! The origin ledger: which machine may pull which chunk from the origin.
//!
//! Each grant allows one pull. The ledger is one object of the platform, changed by conditional
//! update, so the bound on grants holds whoever makes them and whoever dies. A grant counts as
//! used from the moment that it is recorded, whatever becomes of it.

use std::time;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{GrantId, ORIGIN_LIMIT_PERCENT, Policy};
use crate::id;

const HUNDRED: u64 = 100;
const SPREAD_HOLDERS: u32 = 2;

/// One permission to pull one chunk from the origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The chunk.
    pub chunk: u32,
    /// The machine that may pull it.
    pub vm: id::VmId,
    /// The life of its agent; a restarted one has forgotten what it pulled.
    pub incarnation: id::Incarnation,
    /// How many grants of this chunk came before.
    pub serial: u32,
}

impl Grant {
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

/// What the fleet holds, as the grantor sees it.
#[derive(Clone, Debug, Default)]
pub struct ChunkAvailability {
    receivers: Vec<Participant>,
    /// For each chunk, how many machines hold it.
    holder_counts: Vec<u32>,
}

impl ChunkAvailability {
    /// Adds a live machine, unless it is leaving: what it holds goes with it.
    pub fn add(&mut self, receiver: Participant) {
        if receiver.leaving {
            return;
        }
        let chunk_count = receiver.held.range() as usize;
        if self.holder_counts.len() < chunk_count {
            self.holder_counts.resize(chunk_count, 0);
        }
        for chunk in receiver.held.iter() {
            self.holder_counts[chunk as usize] += 1;
        }
        self.receivers.push(receiver);
    }

    /// Returns how many machines take part.
    #[must_use]
    pub const fn participant_count(&self) -> usize {
        self.receivers.len()
    }
}

/// One machine that takes part.
#[derive(Clone, Debug)]
pub struct Participant {
    /// The machine.
    pub vm: id::VmId,
    /// The life of its agent.
    pub incarnation: id::Incarnation,
    /// Whether no peer can give it what it lacks.
    pub starved: bool,
    /// Its grants that were used in vain.
    pub failed_grants: Vec<GrantId>,
    /// Whether it is about to go.
    pub leaving: bool,
    /// The chunks that it holds.
    pub held: super::chunks::ChunkSet,
}

/// How fast grants follow each other.
#[derive(Clone, Copy, Debug)]
pub struct GrantLimits {
    /// How long a granted chunk may take until somebody holds it.
    pub grant_timeout: time::Duration,
    /// How many granted chunks may be outstanding; the origin has to send so many within the
    /// patience.
    pub open_grants_max: u32,
}

impl GrantLimits {
    /// Creates the pace that a policy stands for.
    #[must_use]
    pub const fn new(policy: Policy, grant_timeout: time::Duration) -> Self {
        Self {
            grant_timeout,
            open_grants_max: policy.open_grants_max(),
        }
    }
}

/// When grants were made, known only to the present grantor; a new one starts anew.
#[derive(Clone, Debug, Default)]
pub struct GrantTimes {
    granted_at: IndexMap<u32, time::Instant>,
}

impl Ledger {
    /// Creates a ledger without grants.
    #[must_use]
    pub const fn new(chunk_count: u32, policy: Policy) -> Self {
        Self {
            chunk_count,
            policy,
            grants: Vec::new(),
        }
    }

    /// Returns all grants in their order.
    #[must_use]
    pub fn grants(&self) -> &[Grant] {
        &self.grants
    }

    /// Returns the grants of one life of a machine's agent.
    pub fn grants_of<'a>(
        &'a self,
        vm: &'a id::VmId,
        incarnation: id::Incarnation,
    ) -> impl Iterator<Item = &'a Grant> {
        let mine = move |grant: &&Grant| grant.vm == *vm && grant.incarnation == incarnation;
        self.grants.iter().filter(mine)
    }

    /// Returns how many chunks may be granted while each of them is held somewhere.
    #[must_use]
    pub fn grant_max(&self) -> usize {
        let percent = self.policy.origin_percent().min(ORIGIN_LIMIT_PERCENT);
        self.percent_of_chunks(percent)
    }

    /// Adds the grants that the supply calls for; returns how many were added.
    ///
    /// A chunk is granted where nobody holds it, again where its grant has not made it spread
    /// within the pace's patience, and, once every chunk has its grants, to machines that are starved.
    pub fn extend(
        &mut self,
        now: time::Instant,
        supply: &ChunkAvailability,
        clock: &mut GrantTimes,
        limits: GrantLimits,
    ) -> usize {
        let patience = limits.grant_timeout;
        let before = self.grants.len();
        let counts = self.counts();
        let mut open = self.open_count(now, supply, clock, &counts, patience);
        for chunk in 0..self.chunk_count {
            if open >= limits.open_grants_max {
                break;
            }
            if self.needs_grant(now, chunk, supply, clock, &counts, patience)
                && self.may_grant(chunk, supply, &counts)
                && let Some(receiver) = self.choose_receiver(chunk, supply)
            {
                self.push(now, chunk, receiver, clock);
                open += 1;
            }
        }
        let everywhere = counts.iter().all(|count| *count > 0);
        if everywhere {
            self.relieve_starved(now, supply, clock, patience);
        }
        self.grants.len() - before
    }

    /// Returns whether the limits leave room for a grant of a chunk.
    ///
    /// A repeated grant leaves room for the first one of each chunk. The policy's share gives way
    /// to the hard limit for a chunk that is held nowhere, which nobody could get otherwise:
    /// grants that an origin did not answer may have used up the share.
    fn may_grant(&self, chunk: u32, supply: &ChunkAvailability, counts: &[u32]) -> bool {
        let index = chunk as usize;
        let repeated = counts.get(index) > Some(&0);
        let held_nowhere = supply.holder_counts.get(index) == Some(&0);
        let max = if held_nowhere {
            self.percent_of_chunks(ORIGIN_LIMIT_PERCENT)
        } else {
            self.grant_max()
        };
        let reserved = if repeated {
            counts.iter().filter(|count| **count == 0).count()
        } else {
            0
        };
        self.grants.len() + reserved < max
    }

    fn percent_of_chunks(&self, percent: u32) -> usize {
        let max = u64::from(self.chunk_count) * u64::from(percent) / HUNDRED;
        usize::try_from(max).unwrap_or(usize::MAX)
    }

    fn push(
        &mut self,
        now: time::Instant,
        chunk: u32,
        receiver: &Participant,
        clock: &mut GrantTimes,
    ) {
        let earlier = self.grants.iter().filter(|grant| grant.chunk == chunk);
        let serial = u32::try_from(earlier.count()).unwrap_or(u32::MAX);
        clock.granted_at.insert(chunk, now);
        self.grants.push(Grant {
            chunk,
            vm: receiver.vm.clone(),
            incarnation: receiver.incarnation,
            serial,
        });
    }

    fn counts(&self) -> Vec<u32> {
        let mut counts = vec![0; self.chunk_count as usize];
        for grant in &self.grants {
            if let Some(count) = counts.get_mut(grant.chunk as usize) {
                *count += 1;
            }
        }
        counts
    }

    fn needs_grant(
        &self,
        now: time::Instant,
        chunk: u32,
        supply: &ChunkAvailability,
        clock: &mut GrantTimes,
        counts: &[u32],
        patience: time::Duration,
    ) -> bool {
        let index = chunk as usize;
        let granted = counts.get(index).copied().unwrap_or(0);
        let holders = supply.holder_counts.get(index).copied().unwrap_or(0);
        if granted == 0 {
            return holders == 0;
        }
        if holders == 0 && self.is_lost(chunk, supply) {
            return true;
        }
        // A grantor that took over does not know the time of earlier grants and waits once more.
        let at = *clock.granted_at.entry(chunk).or_insert(now);
        let overdue = now.duration_since(at) > patience;
        let receivers = u32::try_from(supply.receivers.len()).unwrap_or(u32::MAX);
        // A single holder that passes nothing on after that long may never do so.
        let stuck = holders < receivers.min(SPREAD_HOLDERS);
        let planned = holders > 0 && granted < self.policy.grants_per_chunk();
        planned || (overdue && stuck)
    }

    /// Returns whether each grant of a chunk was used in vain or is of a machine that takes no part
    /// any more.
    fn is_lost(&self, chunk: u32, supply: &ChunkAvailability) -> bool {
        let is_good = |grant: &Grant| {
            let is_same =
                |one: &&Participant| one.vm == grant.vm && one.incarnation == grant.incarnation;
            let receiver = supply.receivers.iter().find(is_same);
            receiver.is_some_and(|one| !one.failed_grants.contains(&grant.id()))
        };
        let mut granted = self.grants.iter().filter(|grant| grant.chunk == chunk);
        !granted.any(is_good)
    }

    fn open_count(
        &self,
        now: time::Instant,
        supply: &ChunkAvailability,
        clock: &mut GrantTimes,
        counts: &[u32],
        patience: time::Duration,
    ) -> u32 {
        let waiting = |chunk: &u32| {
            let index = *chunk as usize;
            let granted = counts.get(index).copied().unwrap_or(0);
            let holders = supply.holder_counts.get(index).copied().unwrap_or(0);
            let at = *clock.granted_at.entry(*chunk).or_insert(now);
            granted > holders && now.duration_since(at) <= patience
        };
        let count = (0..self.chunk_count).filter(waiting).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Spreads grants evenly: the machine with the fewest, by rendezvous among equals.
    fn choose_receiver<'a>(
        &self,
        chunk: u32,
        supply: &'a ChunkAvailability,
    ) -> Option<&'a Participant> {
        let key = format!("origin-{chunk}");
        let mut granted: IndexMap<&id::VmId, u32> = IndexMap::new();
        let mut here: Vec<&id::VmId> = Vec::new();
        for grant in &self.grants {
            *granted.entry(&grant.vm).or_insert(0) += 1;
            if grant.chunk == chunk {
                here.push(&grant.vm);
            }
        }
        let lacking = |receiver: &&Participant| {
            !receiver.held.contains(chunk) && !here.contains(&&receiver.vm)
        };
        let lacking = supply.receivers.iter().filter(lacking);
        lacking.min_by_key(|receiver| {
            let count = granted.get(&receiver.vm).copied().unwrap_or(0);
            let score = id::rendezvous_score(&key, receiver.vm.as_str());
            (count, std::cmp::Reverse(score))
        })
    }

    /// Grants one missing chunk to each starved machine, within the limit.
    fn relieve_starved(
        &mut self,
        now: time::Instant,
        supply: &ChunkAvailability,
        clock: &mut GrantTimes,
        patience: time::Duration,
    ) {
        // Where nothing was granted for so long, the policy's share has run out and the machines
        // would wait for each other; the hard limit holds all the same.
        let latest = clock.granted_at.values().max();
        let stuck = latest.is_some_and(|at| now.duration_since(*at) > patience);
        let max = if stuck {
            self.percent_of_chunks(ORIGIN_LIMIT_PERCENT)
        } else {
            self.grant_max()
        };
        for receiver in supply.receivers.iter().filter(|one| one.starved) {
            if self.grants.len() >= max {
                return;
            }
            let granted_lately = |chunk: u32| {
                let at = clock.granted_at.get(&chunk);
                let lately = at.is_some_and(|at| now.duration_since(*at) <= patience);
                let mine = self.grants.iter().rev();
                lately
                    && mine
                        .clone()
                        .any(|one| one.chunk == chunk && one.vm == receiver.vm)
            };
            let full = super::chunks::ChunkSet::full(self.chunk_count);
            let missing: Vec<u32> = full.difference(&receiver.held).collect();
            if missing.iter().any(|chunk| granted_lately(*chunk)) {
                continue;
            }
            let held = |chunk: &&u32| supply.holder_counts.get(**chunk as usize) > Some(&0);
            let next = missing.iter().find(held).copied();
            if let Some(chunk) = next {
                self.push(now, chunk, receiver, clock);
            }
        }
    }
}
