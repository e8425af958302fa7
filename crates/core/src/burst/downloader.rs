//! Chunk and source selection: which chunk a VM downloads next, and from whom.
//!
//! A VM knows a sample of its peers, from heartbeats, which arrive late, and from each transfer.
//! Among the peers that have a missing chunk it selects the one with the fewest uploads, which
//! balances the upload load, and from that peer the chunk that is rarest in the sample
//! (rarest-first). Chunks that the origin ledger granted to this VM come first, since peers wait
//! for them.

mod selection;

use std::{net, time};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use super::{GrantId, chunks, uploader};
use crate::id;

const BACKOFF_DOUBLINGS_MAX: u32 = 6;

/// Limits and backoff times of a downloader.
#[derive(Clone, Copy, Debug)]
pub struct DownloaderLimits {
    /// The backoff after a peer had no free upload slot.
    pub busy_backoff: time::Duration,
    /// The initial backoff after a peer failed or sent corrupt bytes, doubled with each further
    /// failure; also the fixed backoff after a peer had no upload credit.
    pub fault_backoff: time::Duration,
    /// How long peers without upload credit may delay this VM before it requests an overdraft.
    pub overdraft_after: time::Duration,
    /// The backoff after the origin could not be reached.
    pub origin_backoff: time::Duration,
    /// How long a grant stays valid while the origin can't be reached.
    pub grant_lifetime: time::Duration,
    /// The maximum number of concurrent downloads from peers; granted chunks are not counted.
    pub concurrent_downloads_max: usize,
    /// The maximum number of known peers.
    pub peers_max: usize,
    /// Whether peers of the same failure domain are preferred over all others, for links between
    /// failure domains that are low-bandwidth or expensive.
    pub prefer_same_domain: bool,
}

/// The last known state of a peer.
#[derive(Clone, Debug)]
pub struct PeerInfo {
    /// The address of its agent.
    pub address: net::SocketAddr,
    /// The failure domain of its VM.
    pub failure_domain: id::FailureDomain,
    /// The chunks that it is known to have.
    pub held: chunks::ChunkSet,
    /// The number of chunks that it is known to have uploaded.
    pub uploaded_count: u32,
}

#[derive(Clone, Debug)]
struct Peer {
    info: PeerInfo,
    backoff_until: Option<time::Instant>,
    fault_count: u32,
    out_of_credit: bool,
    open: bool,
}

/// A grant whose download is not finished.
#[derive(Clone, Copy, Debug)]
struct PendingGrant {
    serial: u32,
    granted_at: time::Instant,
    not_before: time::Instant,
}

/// Where a chunk is downloaded from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The origin, under a grant.
    Origin,
    /// Another VM.
    Peer(id::VmId),
}

/// A download to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The chunk.
    pub chunk: u32,
    /// The source.
    pub source: Source,
    /// Whether the peer may exceed its link limit slightly, because peers without upload credit
    /// have delayed this VM for too long.
    pub overdraft: bool,
}

/// Why a download failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// The peer denied the upload.
    Denied(uploader::UploadDenial),
    /// No connection to the source could be made, so no bytes were sent.
    Unreachable,
    /// The transfer stalled or was interrupted.
    Stalled,
    /// The bytes do not match the digest of the chunk.
    Corrupt,
    /// The download was ended because another version is downloaded now.
    Cancelled,
}

/// The download side of one VM for one manifest.
#[derive(Clone, Debug)]
pub struct Downloader {
    limits: DownloaderLimits,
    failure_domain: id::FailureDomain,
    held: chunks::ChunkSet,
    open: chunks::ChunkSet,
    peers: IndexMap<id::VmId, Peer>,
    grants: IndexMap<u32, PendingGrant>,
    used_grants: IndexSet<GrantId>,
    failed_grants: Vec<GrantId>,
    open_count: usize,
    /// When a peer first had no upload credit since the last verified chunk.
    no_credit_since: Option<time::Instant>,
    overdraft: bool,
}

impl Downloader {
    /// Creates the download side of a VM without any chunks.
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
            no_credit_since: None,
            overdraft: false,
        }
    }

    /// Returns the chunks that are downloaded and verified.
    #[must_use]
    pub const fn held(&self) -> &chunks::ChunkSet {
        &self.held
    }

    /// Records a verified chunk that was on this VM before the download.
    pub fn record_held(&mut self, chunk: u32) {
        self.held.insert(chunk);
    }

    /// Returns whether every chunk is downloaded and verified.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.held.is_full()
    }

    /// Returns all grants that were recorded, also those that were used.
    pub fn grants(&self) -> impl Iterator<Item = GrantId> + '_ {
        self.used_grants.iter().copied()
    }

    /// Returns the grants whose download from the origin failed.
    #[must_use]
    pub fn failed_grants(&self) -> &[GrantId] {
        &self.failed_grants
    }

    /// Returns the address of a peer's agent.
    #[must_use]
    pub fn peer_address(&self, vm: &id::VmId) -> Option<net::SocketAddr> {
        self.peers.get(vm).map(|peer| peer.info.address)
    }

    /// Records the reported state of a peer. A report for another number of chunks is ignored.
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
            backoff_until: None,
            fault_count: 0,
            out_of_credit: false,
            open: false,
        };
        self.peers.insert(vm, peer);
    }

    /// Records the progress of a known peer. Reports may arrive out of order, so they are merged:
    /// an older one changes nothing.
    pub fn record_progress(&mut self, vm: &id::VmId, held: &chunks::ChunkSet, uploaded_count: u32) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.info.uploaded_count = peer.info.uploaded_count.max(uploaded_count);
            held.iter().for_each(|chunk| peer.info.held.insert(chunk));
        }
    }

    /// Records a grant of the origin ledger; `serial` distinguishes repeated grants of a chunk.
    ///
    /// Idempotent: a grant that was recorded before is ignored, so each is used at most once.
    pub fn record_grant(&mut self, now: time::Instant, chunk: u32, serial: u32) {
        if self.used_grants.insert(GrantId { chunk, serial }) && !self.held.contains(chunk) {
            let grant = PendingGrant {
                serial,
                granted_at: now,
                not_before: now,
            };
            self.grants.insert(chunk, grant);
        }
    }

    /// Selects the next download and marks it as open; `None` if none can start now.
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

    /// Records that a chunk was downloaded and verified.
    pub fn record_verified(&mut self, fetch: &Fetch) {
        self.close(fetch);
        self.held.insert(fetch.chunk);
        self.no_credit_since = None;
        if let Source::Peer(vm) = &fetch.source
            && let Some(peer) = self.peers.get_mut(vm)
        {
            peer.info.uploaded_count += 1;
            peer.fault_count = 0;
            peer.out_of_credit = false;
        }
    }

    /// Records that a download failed.
    pub fn record_failure(&mut self, now: time::Instant, fetch: &Fetch, failure: FetchFailure) {
        self.close(fetch);
        let limits = self.limits;
        let Source::Peer(vm) = &fetch.source else {
            let may_retry = failure == FetchFailure::Unreachable;
            if may_retry && self.is_grant_valid(now, fetch.chunk) {
                self.postpone_grant(now, fetch.chunk);
            } else {
                self.fail_grant(fetch.chunk);
            }
            return;
        };
        let Some(peer) = self.peers.get_mut(vm) else {
            return;
        };
        match failure {
            FetchFailure::Denied(uploader::UploadDenial::NotHeld) => {
                peer.info.held.remove(fetch.chunk);
            }
            FetchFailure::Denied(uploader::UploadDenial::Spent) => {
                // Its credit may be refilled later.
                peer.out_of_credit = true;
                let since = *self.no_credit_since.get_or_insert(now);
                // Stays set until completion; otherwise every missing chunk would wait this long.
                self.overdraft |= now.duration_since(since) >= limits.overdraft_after;
                peer.backoff_until = Some(now + limits.fault_backoff);
            }
            FetchFailure::Cancelled => {}
            FetchFailure::Denied(uploader::UploadDenial::Busy) => {
                peer.backoff_until = Some(now + limits.busy_backoff);
            }
            FetchFailure::Unreachable | FetchFailure::Stalled | FetchFailure::Corrupt => {
                // A dead peer keeps its low upload count, so it would be selected first after every
                // backoff. Doubling the backoff limits the time that these attempts take.
                let doublings = peer.fault_count.min(BACKOFF_DOUBLINGS_MAX);
                peer.fault_count += 1;
                peer.backoff_until = Some(now + limits.fault_backoff * (1 << doublings));
            }
        }
    }

    fn is_grant_valid(&self, now: time::Instant, chunk: u32) -> bool {
        let lifetime = self.limits.grant_lifetime;
        let grant = self.grants.get(&chunk);
        grant.is_some_and(|grant| now.duration_since(grant.granted_at) < lifetime)
    }

    /// Reports the grant as failed to the grantor, which then grants the chunk again.
    fn fail_grant(&mut self, chunk: u32) {
        if let Some(PendingGrant { serial, .. }) = self.grants.shift_remove(&chunk) {
            self.failed_grants.push(GrantId { chunk, serial });
        }
    }

    /// Keeps the grant for a retry: an origin that was not reached has sent no bytes.
    fn postpone_grant(&mut self, now: time::Instant, chunk: u32) {
        let backoff = self.limits.origin_backoff;
        if let Some(grant) = self.grants.get_mut(&chunk) {
            grant.not_before = now + backoff;
        }
    }

    /// Returns whether every known peer with a missing chunk has used up its upload credit, and no
    /// download from a peer is open.
    ///
    /// A VM that knows no peer with a missing chunk is not starved: it waits for reports.
    #[must_use]
    pub fn is_starved(&self) -> bool {
        let useful = |peer: &&Peer| peer.info.held.exceeds(&self.held);
        let mut useful = self.peers.values().filter(useful).peekable();
        self.open_count == 0 && useful.peek().is_some() && useful.all(|peer| peer.out_of_credit)
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

    /// Drops the peer that was added first and has no open download.
    ///
    /// Keeping the peers with the most chunks would direct all VMs to the same few uploaders.
    fn drop_oldest_peer(&mut self) {
        if let Some(oldest) = self.peers.values().position(|peer| !peer.open) {
            self.peers.shift_remove_index(oldest);
        }
    }
}
