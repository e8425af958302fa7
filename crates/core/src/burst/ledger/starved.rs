//! Grants to VMs whose peers have used up their upload credit.

use std::time;

use super::{ChunkAvailability, Grant, GrantTimes, Ledger};
use crate::{
    burst::{ORIGIN_LIMIT_PERCENT, chunks},
    id,
};

impl Ledger {
    /// Grants one missing chunk to each starved VM, within the limit.
    ///
    /// Each is granted another chunk where possible, so that they can pass them on to each other.
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
            let is_recent = |at: Option<&time::Instant>| {
                at.is_some_and(|at| now.duration_since(*at) <= grant_timeout)
            };
            let granted_recently =
                |chunk: u32| is_recent(self.last_granted_at(chunk, &participant.vm, times));
            let full = chunks::ChunkSet::full(self.chunk_count);
            let missing: Vec<u32> = full.difference(&participant.held).collect();
            if missing.iter().any(|chunk| granted_recently(*chunk)) {
                continue;
            }
            let holder_count = |chunk: u32| {
                let count = availability.holder_counts.get(chunk as usize);
                count.copied().unwrap_or(0)
            };
            let candidates = missing.into_iter().filter(|chunk| holder_count(*chunk) > 0);
            let next = candidates.min_by_key(|chunk| {
                let at = times.granted_at.get(chunk);
                (is_recent(at), holder_count(*chunk), *chunk)
            });
            if let Some(chunk) = next {
                self.push(now, chunk, participant, times);
            }
        }
    }

    /// Returns when a VM was last granted a chunk. A new grantor knows only when it first saw a
    /// grant of the chunk.
    fn last_granted_at<'a>(
        &self,
        chunk: u32,
        vm: &id::VmId,
        times: &'a GrantTimes,
    ) -> Option<&'a time::Instant> {
        let is_same = |grant: &&Grant| grant.chunk == chunk && grant.vm == *vm;
        self.grants.iter().find(is_same)?;
        let known = times.vm_granted_at.get(&(chunk, vm.clone()));
        known.or_else(|| times.granted_at.get(&chunk))
    }
}
