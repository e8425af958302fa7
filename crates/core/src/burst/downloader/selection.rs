//! The selection of the next download: granted chunks first, then the rarest chunk of the peer with the
//! fewest uploads.

use std::time;

use rand::{Rng, RngExt as _};

use super::{Downloader, Fetch, Peer, PendingGrant, Source};
use crate::burst::chunks;

impl Downloader {
    /// Selects a granted chunk. Its grant is kept until the download has ended, so that its failure
    /// can be reported even if the grant has expired in the meantime.
    pub(super) fn next_granted(&mut self, now: time::Instant) -> Option<Fetch> {
        let lifetime = self.limits.grant_lifetime;
        let (held, open) = (&self.held, &self.open);
        self.grants.retain(|chunk, grant| {
            let is_valid = now.duration_since(grant.granted_at) < lifetime;
            (is_valid || open.contains(*chunk)) && !held.contains(*chunk)
        });
        let is_due = |(chunk, grant): &(&u32, &PendingGrant)| {
            grant.not_before <= now && !open.contains(**chunk)
        };
        let (chunk, _) = self.grants.iter().find(is_due)?;
        Some(Fetch {
            chunk: *chunk,
            source: Source::Origin,
            overdraft: false,
        })
    }

    /// Selects a chunk that a peer has, and the peer.
    pub(super) fn next_from_peers<R>(&self, now: time::Instant, rng: &mut R) -> Option<Fetch>
    where
        R: Rng,
    {
        let mut excluded = self.held.clone();
        self.open.iter().for_each(|chunk| excluded.insert(chunk));
        let usable = |peer: &&Peer| {
            let in_backoff = peer.backoff_until.is_some_and(|until| until > now);
            !peer.open && !in_backoff && peer.info.held.exceeds(&excluded)
        };
        let candidates = self.peers.iter().filter(|(_, peer)| usable(peer));
        let (vm, peer) = candidates.min_by_key(|(_, peer)| {
            let other_domain = peer.info.failure_domain != self.failure_domain;
            let deferred = self.limits.prefer_same_domain && other_domain;
            (
                deferred,
                peer.info.uploaded_count,
                other_domain,
                rng.random::<u32>(),
            )
        })?;
        let chunk = self.rarest_of(peer, &excluded, rng)?;
        Some(Fetch {
            chunk,
            source: Source::Peer(vm.clone()),
            overdraft: self.overdraft,
        })
    }

    /// Returns the chunk of a peer that the fewest known peers have.
    fn rarest_of<R>(&self, peer: &Peer, excluded: &chunks::ChunkSet, rng: &mut R) -> Option<u32>
    where
        R: Rng,
    {
        let holder_count = |chunk: u32| {
            let holds = |peer: &&Peer| peer.info.held.contains(chunk);
            self.peers.values().filter(holds).count()
        };
        let missing = peer.info.held.difference(excluded);
        missing.min_by_key(|chunk| (holder_count(*chunk), rng.random::<u32>()))
    }
}
