//! What a machine pulls next, and from whom.
//!
//! A receiver knows a sample of peers, from heartbeats that are late and from each peer it has
//! dealt with. Of the peers that hold something it lacks it takes the one that has passed on
//! least, which spreads uploads evenly, and from it the chunk that is rarest in the sample.
//! Chunks that the origin ledger granted to it come first, since others wait for them.

use std::{net, time};

use indexmap::{IndexMap, IndexSet};
use rand::{Rng, RngExt};

use super::{GrantId, chunks, uploader};
use crate::id;

const FAULT_DOUBLINGS_MAX: u32 = 6;

/// How long a source is left alone.
#[derive(Clone, Copy, Debug)]
pub struct DownloaderLimits {
    /// After it refused because of other uploads.
    pub busy_backoff: time::Duration,
    /// After it stalled, broke off or sent corrupt bytes; doubled each time it does so again.
    pub fault_backoff: time::Duration,
    /// After spent peers have kept it waiting for this long, it asks for more than their share.
    pub overdraft_after: time::Duration,
    /// After the origin could not be reached.
    pub origin_backoff: time::Duration,
    /// How long a grant is good for while the origin can't be reached.
    pub grant_lifetime: time::Duration,
    /// How many chunks are pulled from peers at once; granted ones come in addition.
    pub concurrent_downloads_max: usize,
    /// How many peers are kept.
    pub peers_max: usize,
    /// Whether peers of the same failure domain go before all others, where links between failure
    /// domains are narrow or dear.
    pub prefer_same_domain: bool,
}

/// What is known of a peer.
#[derive(Clone, Debug)]
pub struct PeerInfo {
    /// Where its agent listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: id::FailureDomain,
    /// The chunks that it holds, as far as is known.
    pub held: chunks::ChunkSet,
    /// How many chunks it has passed on, as far as is known.
    pub uploaded_count: u32,
}

#[derive(Clone, Debug)]
struct Peer {
    info: PeerInfo,
    paused_until: Option<time::Instant>,
    fault_count: u32,
    spent: bool,
    open: bool,
}

/// A grant that has not been used yet.
#[derive(Clone, Copy, Debug)]
struct Permit {
    serial: u32,
    granted_at: time::Instant,
    not_before: time::Instant,
}

/// Where a chunk is pulled from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The origin, under a grant.
    Origin,
    /// Another machine.
    Peer(id::VmId),
}

/// A pull to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The chunk.
    pub chunk: u32,
    /// The source.
    pub source: Source,
    /// Whether peers that are spent have kept the receiver waiting for so long that they may pass
    /// on a little more than their share.
    pub overdraft: bool,
}

/// How a pull ended without its chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// The peer refused.
    Denied(uploader::UploadDenial),
    /// No connection to the source could be made, so it sent nothing.
    Unreachable,
    /// The source stalled or broke off.
    Stalled,
    /// The bytes are not those of the chunk.
    Corrupt,
}

/// The download side of one machine for one manifest.
#[derive(Clone, Debug)]
pub struct Downloader {
    limits: DownloaderLimits,
    failure_domain: id::FailureDomain,
    held: chunks::ChunkSet,
    open: chunks::ChunkSet,
    peers: IndexMap<id::VmId, Peer>,
    grants: IndexMap<u32, Permit>,
    used_grants: IndexSet<GrantId>,
    failed_grants: Vec<GrantId>,
    open_count: usize,
    /// When a peer was first found spent since the last chunk came.
    refused_since: Option<time::Instant>,
    overdraft: bool,
}

impl Downloader {
    /// Creates the download side of a machine that holds nothing yet.
    #[must_use]
    pub fn new(
        limits: DownloaderLimits,
        failure_domain: id::FailureDomain,
        chunk_count: u32,
    ) -> Self {
        Self {
            limits,
            failure_domain,
            held: chunks::ChunkSet::new(chunk_count),
            open: chunks::ChunkSet::new(chunk_count),
            peers: IndexMap::new(),
            grants: IndexMap::new(),
            used_grants: IndexSet::new(),
            failed_grants: Vec::new(),
            open_count: 0,
            refused_since: None,
            overdraft: false,
        }
    }

    /// Returns the chunks held.
    #[must_use]
    pub const fn held(&self) -> &chunks::ChunkSet {
        &self.held
    }

    /// Records a chunk that was there already.
    pub fn record_held(&mut self, chunk: u32) {
        self.held.insert(chunk);
    }

    /// Returns whether every chunk is held.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.held.is_full()
    }

    /// Returns the grants that were used in vain.
    #[must_use]
    pub fn failed_grants(&self) -> &[GrantId] {
        &self.failed_grants
    }

    /// Returns where a peer listens.
    #[must_use]
    pub fn peer_address(&self, vm: &id::VmId) -> Option<net::SocketAddr> {
        self.peers.get(vm).map(|peer| peer.info.address)
    }

    /// Takes in what is said of a peer.
    pub fn record_peer(&mut self, vm: id::VmId, info: PeerInfo) {
        if info.held.range() != self.held.range() {
            return;
        }
        if let Some(known) = self.peers.get_mut(&vm) {
            known.info.address = info.address;
            self.record_progress(&vm, &info.held, info.uploaded_count);
            return;
        }
        if self.peers.len() >= self.limits.peers_max {
            self.drop_oldest_peer();
        }
        let peer = Peer {
            info,
            paused_until: None,
            fault_count: 0,
            spent: false,
            open: false,
        };
        self.peers.insert(vm, peer);
    }

    /// Takes in how far a known peer has come; older news changes nothing.
    pub fn record_progress(&mut self, vm: &id::VmId, held: &chunks::ChunkSet, uploaded_count: u32) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.info.uploaded_count = peer.info.uploaded_count.max(uploaded_count);
            held.iter().for_each(|chunk| peer.info.held.insert(chunk));
        }
    }

    /// Takes in a grant of the origin ledger; `serial` tells repeated grants of a chunk apart.
    ///
    /// The same grant said again changes nothing, so each is used at most once.
    pub fn record_grant(&mut self, now: time::Instant, chunk: u32, serial: u32) {
        if self.used_grants.insert(GrantId { chunk, serial }) && !self.held.contains(chunk) {
            let permit = Permit {
                serial,
                granted_at: now,
                not_before: now,
            };
            self.grants.insert(chunk, permit);
        }
    }

    /// Chooses the next pull and marks it as open; `None` where nothing can be pulled now.
    pub fn start_next<R>(&mut self, now: time::Instant, rng: &mut R) -> Option<Fetch>
    where
        R: Rng,
    {
        if let Some(fetch) = self.next_granted(now) {
            self.open.insert(fetch.chunk);
            return Some(fetch);
        }
        if self.open_count >= self.limits.concurrent_downloads_max {
            return None;
        }
        let fetch = self.next_from_peers(now, rng)?;
        self.open.insert(fetch.chunk);
        self.open_count += 1;
        if let Source::Peer(vm) = &fetch.source
            && let Some(peer) = self.peers.get_mut(vm)
        {
            peer.open = true;
        }
        Some(fetch)
    }

    /// Records that a chunk came and was verified.
    pub fn record_verified(&mut self, fetch: &Fetch) {
        self.close(fetch);
        self.held.insert(fetch.chunk);
        self.refused_since = None;
        if let Source::Peer(vm) = &fetch.source
            && let Some(peer) = self.peers.get_mut(vm)
        {
            peer.info.uploaded_count += 1;
            peer.fault_count = 0;
            peer.spent = false;
        }
    }

    /// Records that a pull ended without its chunk.
    pub fn record_failure(&mut self, now: time::Instant, fetch: &Fetch, failure: FetchFailure) {
        self.close(fetch);
        let limits = self.limits;
        let Source::Peer(vm) = &fetch.source else {
            if failure == FetchFailure::Unreachable {
                self.postpone_grant(now, fetch.chunk);
            } else {
                self.give_up_grant(fetch.chunk);
            }
            return;
        };
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        match failure {
            FetchFailure::Denied(uploader::UploadDenial::NotHeld) => {
                peer.info.held.remove(fetch.chunk)
            }
            FetchFailure::Denied(uploader::UploadDenial::Spent) => {
                // It may pass on more once some time has gone by.
                peer.spent = true;
                let since = *self.refused_since.get_or_insert(now);
                // Kept until all is held, so that not every missing chunk waits as long again.
                self.overdraft |= now.duration_since(since) >= limits.overdraft_after;
                peer.paused_until = Some(now + limits.fault_backoff);
            }
            FetchFailure::Denied(uploader::UploadDenial::Busy) => {
                peer.paused_until = Some(now + limits.busy_backoff);
            }
            FetchFailure::Unreachable | FetchFailure::Stalled | FetchFailure::Corrupt => {
                // A dead peer is known to have passed on little, so it would be chosen again at
                // the end of each pause; doubling the pause keeps that from taking all the time.
                let doublings = peer.fault_count.min(FAULT_DOUBLINGS_MAX);
                peer.fault_count += 1;
                peer.paused_until = Some(now + limits.fault_backoff * (1 << doublings));
            }
        }
    }

    /// The grantor is told, so that the chunk is granted again.
    fn give_up_grant(&mut self, chunk: u32) {
        if let Some(Permit { serial, .. }) = self.grants.shift_remove(&chunk) {
            self.failed_grants.push(GrantId { chunk, serial });
        }
    }

    /// An origin that was not reached has sent nothing, so the grant is still good.
    fn postpone_grant(&mut self, now: time::Instant, chunk: u32) {
        let pause = self.limits.origin_backoff;
        if let Some(permit) = self.grants.get_mut(&chunk) {
            permit.not_before = now + pause;
        }
    }

    /// Returns whether everybody known who holds a missing chunk has passed on all it may.
    ///
    /// A machine that knows nobody with a missing chunk is not starved: it waits for news.
    #[must_use]
    pub fn is_starved(&self) -> bool {
        let useful = |peer: &&Peer| peer.info.held.exceeds(&self.held);
        let mut useful = self.peers.values().filter(useful).peekable();
        self.open_count == 0 && useful.peek().is_some() && useful.all(|peer| peer.spent)
    }

    fn close(&mut self, fetch: &Fetch) {
        self.open.remove(fetch.chunk);
        let Source::Peer(vm) = &fetch.source else {
            return;
        };
        self.open_count = self.open_count.saturating_sub(1);
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.open = false;
        }
    }

    /// A granted chunk stays granted until it is known whether its origin was reached.
    fn next_granted(&mut self, now: time::Instant) -> Option<Fetch> {
        let life = self.limits.grant_lifetime;
        let held = &self.held;
        self.grants.retain(|chunk, permit| {
            now.duration_since(permit.granted_at) < life && !held.contains(*chunk)
        });
        let open = &self.open;
        let is_due =
            |(chunk, permit): &(&u32, &Permit)| permit.not_before <= now && !open.contains(**chunk);
        let (chunk, _) = self.grants.iter().find(is_due)?;
        Some(Fetch {
            chunk: *chunk,
            source: Source::Origin,
            overdraft: false,
        })
    }

    fn next_from_peers<R>(&self, now: time::Instant, rng: &mut R) -> Option<Fetch>
    where
        R: Rng,
    {
        let mut wanted_not = self.held.clone();
        self.open.iter().for_each(|chunk| wanted_not.insert(chunk));
        let usable = |peer: &&Peer| {
            let paused = peer.paused_until.is_some_and(|until| until > now);
            !peer.open && !paused && peer.info.held.exceeds(&wanted_not)
        };
        let candidates = self.peers.iter().filter(|(_, peer)| usable(peer));
        let (vm, peer) = candidates.min_by_key(|(_, peer)| {
            let elsewhere = peer.info.failure_domain != self.failure_domain;
            let far = self.limits.prefer_same_domain && elsewhere;
            (
                far,
                peer.info.uploaded_count,
                elsewhere,
                rng.random::<u32>(),
            )
        })?;
        let chunk = self.rarest_of(peer, &wanted_not, rng)?;
        Some(Fetch {
            chunk,
            source: Source::Peer(vm.clone()),
            overdraft: self.overdraft,
        })
    }

    fn rarest_of<R>(&self, peer: &Peer, wanted_not: &chunks::ChunkSet, rng: &mut R) -> Option<u32>
    where
        R: Rng,
    {
        let holders = |chunk: u32| {
            let holds = |peer: &&Peer| peer.info.held.contains(chunk);
            self.peers.values().filter(holds).count()
        };
        let wanted = peer.info.held.difference(wanted_not);
        wanted.min_by_key(|chunk| (holders(*chunk), rng.random::<u32>()))
    }

    /// Makes room by dropping the peer that was heard of first.
    ///
    /// Keeping those that hold most would lead every receiver to the same few givers.
    fn drop_oldest_peer(&mut self) {
        if let Some(oldest) = self.peers.values().position(|peer| !peer.open) {
            self.peers.shift_remove_index(oldest);
        }
    }
}
