//! Grants to VMs whose peers have used up their upload credit.

use std::time;

use super::{ChunkAvailability, GrantTimes, Ledger};
use crate::burst::{ORIGIN_LIMIT_PERCENT, chunks};

impl Ledger {
    /// Grants one missing chunk to each starved VM, within the limit.
    pub(super) fn grant_to_starved(
        &mut self,
        now: time::Instant,
        availability: &ChunkAvailability,
        times: &mut GrantTimes,
        grant_timeout: time::Duration,
    ) {
        // Without a grant for a full timeout, the policy's limit is used up and the starved VMs
        // would wait for each other forever. The hard limit still applies.
        let latest = times.granted_at.values().max();
        let is_stalled = latest.is_some_and(|at| now.duration_since(*at) > grant_timeout);
        let max = if is_stalled {
            self.percent_of_chunks(ORIGIN_LIMIT_PERCENT)
        } else {
            self.grant_max()
        };
        for participant in availability
            .participants
            .iter()
            .filter(|participant| participant.starved)
        {
            if self.grants.len() >= max {
                return;
            }
            let granted_recently = |chunk: u32| {
                let at = times.granted_at.get(&chunk);
                let recently = at.is_some_and(|at| now.duration_since(*at) <= grant_timeout);
                let latest_first = self.grants.iter().rev();
                recently
                    && latest_first
                        .clone()
                        .any(|grant| grant.chunk == chunk && grant.vm == participant.vm)
            };
            let full = chunks::ChunkSet::full(self.chunk_count);
            let missing: Vec<u32> = full.difference(&participant.held).collect();
            if missing.iter().any(|chunk| granted_recently(*chunk)) {
                continue;
            }
            let has_holder =
                |chunk: &&u32| availability.holder_counts.get(**chunk as usize) > Some(&0);
            let next = missing.iter().find(has_holder).copied();
            if let Some(chunk) = next {
                self.push(now, chunk, participant, times);
            }
        }
    }
}
