//! Weights: pulled from peers and the origin, verified, and passed on.
//!
//! Few sets are held, among them the one in service and the one that is wanted. What is held whole stays for machines that join later, so that they need nothing from the origin.

mod give;
mod pull;

use std::{fmt, sync, time};

use bytes::Bytes;
use futures_util::future;
use indexmap::IndexMap;
use pimentohook_core::{
    burst::{self, activation, chunks, downloader, uploader},
    clock, id, size,
};
use pimentohook_runtime::{client, process, rate_limiter};
use tokio::sync::Notify;

pub use self::give::give;
use crate::app::lock;

const PEERS_MAX: usize = 32;
const BUSY_PAUSE: time::Duration = time::Duration::from_millis(30);
const FAULT_PAUSE: time::Duration = time::Duration::from_secs(1);
const OVERDRAFT_AFTER: time::Duration = time::Duration::from_secs(3);
const ORIGIN_PAUSE: time::Duration = time::Duration::from_millis(200);
/// After it the chunk may have been granted to somebody else.
const GRANT_LIFE: time::Duration = time::Duration::from_millis(1_400);
const IDLE_POLL: time::Duration = time::Duration::from_millis(20);

/// A chunk on its way from the origin.
pub type OriginPull = future::BoxFuture<'static, Result<Bytes, OriginFault>>;

/// Why a chunk did not come from the origin.
#[derive(Clone, Debug)]
pub struct OriginFault {
    /// Whether the origin may have sent something.
    pub reached: bool,
    /// What happened.
    pub reason: String,
}

/// Says whether bytes are the content of a chunk.
pub type Verifier = dyn Fn(u32, &[u8]) -> bool + Send + Sync;

/// What a set of weights consists of, and how its chunks are checked and pulled from the origin.
pub struct Content {
    /// The manifest and the content.
    pub weights: activation::WeightsId,
    /// The version, for logs.
    pub version: String,
    /// How many chunks there are.
    pub chunk_count: u32,
    /// The size of the largest chunk.
    pub chunk_bytes: usize,
    /// How many chunks are pulled from peers at once.
    pub open_max: usize,
    /// Returns whether bytes are the content of a chunk.
    pub verifies: Box<Verifier>,
    /// Starts to pull a chunk from the origin.
    pub pull_origin: Box<dyn Fn(u32) -> OriginPull + Send + Sync>,
}

impl fmt::Debug for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Content")
            .field("version", &self.version)
            .field("chunk_count", &self.chunk_count)
            .finish_non_exhaustive()
    }
}

/// What transfers need of their process.
pub struct Link {
    /// The clock.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Connections to other agents.
    pub client: sync::Arc<client::Client>,
    /// The failure domain of this VM.
    pub failure_domain: id::FailureDomain,
    /// What is passed on at most.
    pub outgoing_rate: size::ByteRate,
    /// What is taken in at most, where nothing else holds it to a rate.
    pub incoming_rate: Option<size::ByteRate>,
    /// What may go in and out together during a burst, in hundredths of a copy.
    pub link_percent_max: u32,
    /// How many chunks are passed on at once.
    pub upload_slots: u32,
    /// How many sets are held.
    pub sets_max: usize,
    /// How long a chunk may stall.
    pub stall_max: time::Duration,
    /// Whether peers of the same failure domain go before all others.
    pub near_first: bool,
    /// How soon more than in the burst may be passed on.
    pub refill: uploader::CreditRefill,
    /// Called each time that a set has become whole.
    pub on_whole: Box<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("failure_domain", &self.failure_domain)
            .field("outgoing_rate", &self.outgoing_rate)
            .finish_non_exhaustive()
    }
}

/// One set of weights, held or under way.
#[derive(Debug)]
struct Set {
    content: sync::Arc<Content>,
    receiver: downloader::Downloader,
    giver: uploader::Uploader,
    chunks: Vec<Option<Bytes>>,
    /// When the last chunk came.
    progressed_at: Option<time::Instant>,
}

/// All sets of the agent.
#[derive(Debug)]
pub struct Transfers {
    sets: sync::Mutex<IndexMap<id::Digest, Set>>,
    changed: Notify,
    link: Link,
    incoming: Option<rate_limiter::RateLimiter>,
    outgoing: rate_limiter::RateLimiter,
}

impl Transfers {
    /// Creates a store without any weights.
    #[must_use]
    pub fn new(link: Link) -> Self {
        Self {
            sets: sync::Mutex::new(IndexMap::new()),
            changed: Notify::new(),
            incoming: link.incoming_rate.map(rate_limiter::RateLimiter::new),
            outgoing: rate_limiter::RateLimiter::new(link.outgoing_rate),
            link,
        }
    }

    /// Returns the weights that are held or under way.
    #[must_use]
    pub fn known_weights(&self) -> Vec<activation::WeightsId> {
        let sets = lock(&self.sets);
        sets.values().map(|set| set.content.weights).collect()
    }

    /// Opens a set, which becomes the one that is pulled; `serving` is kept whatever is dropped.
    pub fn open(&self, content: Content, serving: Option<id::Digest>) {
        let limits = downloader::DownloaderLimits {
            busy_backoff: BUSY_PAUSE,
            fault_backoff: FAULT_PAUSE,
            overdraft_after: OVERDRAFT_AFTER,
            origin_backoff: ORIGIN_PAUSE,
            grant_lifetime: GRANT_LIFE,
            concurrent_downloads_max: content.open_max,
            peers_max: PEERS_MAX,
            prefer_same_domain: self.link.near_first,
        };
        let count = content.chunk_count;
        let domain = self.link.failure_domain.clone();
        log::info!("transfer: {} begins, {count} chunks.", content.version);
        let set = Set {
            receiver: downloader::Downloader::new(limits, domain, count),
            giver: uploader::Uploader::new(
                count,
                self.link.link_percent_max,
                self.link.upload_slots,
                self.link.refill,
            ),
            chunks: vec![None; count as usize],
            progressed_at: None,
            content: sync::Arc::new(content),
        };
        self.begin(set, serving);
    }

    /// Takes in a chunk that this VM held already; false where its bytes are not those.
    pub fn record_staged(&self, manifest: id::Digest, chunk: u32, bytes: &Bytes) -> bool {
        let mut sets = lock(&self.sets);
        let Some(set) = sets.get_mut(&manifest) else {
            return false;
        };
        if !(set.content.verifies)(chunk, bytes) {
            return false;
        }
        if let Some(slot) = set.chunks.get_mut(chunk as usize) {
            *slot = Some(bytes.clone());
            set.receiver.record_held(chunk);
        }
        true
    }

    /// Returns a verified chunk.
    #[must_use]
    pub fn chunk(&self, manifest: id::Digest, chunk: u32) -> Option<Bytes> {
        let sets = lock(&self.sets);
        sets.get(&manifest)?.chunks.get(chunk as usize)?.clone()
    }

    /// Returns what is held of one set.
    #[must_use]
    pub fn progress_of(&self, manifest: id::Digest) -> Option<burst::Progress> {
        let sets = lock(&self.sets);
        sets.get(&manifest).map(|set| set.progress(manifest))
    }

    /// Returns the chunks held of one set.
    #[must_use]
    pub fn held_of(&self, manifest: id::Digest) -> Option<chunks::ChunkSet> {
        let sets = lock(&self.sets);
        sets.get(&manifest).map(|set| set.receiver.held().clone())
    }

    /// Returns when the last chunk of one set came.
    #[must_use]
    pub fn progressed_at(&self, manifest: id::Digest) -> Option<time::Instant> {
        lock(&self.sets).get(&manifest)?.progressed_at
    }

    /// Returns what is held of the set that is wanted, which is the last one.
    #[must_use]
    pub fn progress(&self) -> Option<burst::Progress> {
        let sets = lock(&self.sets);
        let (manifest, set) = sets.last()?;
        Some(set.progress(*manifest))
    }

    /// Returns whether the wanted set is not whole yet.
    #[must_use]
    pub fn is_under_way(&self) -> bool {
        let sets = lock(&self.sets);
        sets.last()
            .is_some_and(|(_, set)| !set.receiver.is_complete())
    }

    /// Takes in what is said of a peer; news of a set that is no longer held is dropped.
    pub fn record_peer(&self, manifest: id::Digest, vm: id::VmId, info: downloader::PeerInfo) {
        if let Some(set) = lock(&self.sets).get_mut(&manifest) {
            set.receiver.record_peer(vm, info);
        }
        self.changed.notify_one();
    }

    /// Takes in a grant; one for a set that is no longer held is dropped.
    pub fn record_grant(&self, manifest: id::Digest, chunk: u32, serial: u32) {
        if let Some(set) = lock(&self.sets).get_mut(&manifest) {
            let now = self.link.clock.now();
            set.receiver.record_grant(now, chunk, serial);
        }
        self.changed.notify_one();
    }

    /// Returns whether weights are held whole.
    #[must_use]
    pub fn is_held_whole(&self, manifest: id::Digest) -> bool {
        let sets = lock(&self.sets);
        sets.get(&manifest)
            .is_some_and(|set| set.receiver.is_complete())
    }

    /// Returns the verified chunks of weights that are held whole.
    #[must_use]
    pub fn whole_content(&self, manifest: id::Digest) -> Option<Vec<Bytes>> {
        let sets = lock(&self.sets);
        sets.get(&manifest)?.chunks.iter().cloned().collect()
    }

    fn begin(&self, set: Set, serving: Option<id::Digest>) {
        let mut sets = lock(&self.sets);
        let target = set.content.weights.manifest;
        sets.insert(target, set);
        while sets.len() > self.link.sets_max {
            let dropped = sets
                .keys()
                .position(|digest| *digest != target && Some(*digest) != serving);
            sets.shift_remove_index(dropped.unwrap_or(0));
        }
    }

    /// Makes a set the one that is pulled and reported; false where it has to be opened first.
    pub fn aim(&self, manifest: id::Digest) -> bool {
        let mut sets = lock(&self.sets);
        let Some(position) = sets.get_index_of(&manifest) else {
            return false;
        };
        // A rollback names a set that was opened before another one.
        let last = sets.len() - 1;
        sets.move_index(position, last);
        true
    }
}

impl Set {
    fn progress(&self, manifest: id::Digest) -> burst::Progress {
        burst::Progress {
            manifest,
            held: self.receiver.held().clone(),
            given_count: self.giver.uploaded_count(),
            starved: self.receiver.is_starved(),
            failed_grants: self.receiver.failed_grants().to_vec(),
        }
    }
}

impl Transfers {
    async fn pace_incoming(&self, bytes: &Bytes) {
        if let Some(incoming) = &self.incoming {
            incoming.acquire(size_of(bytes)).await;
        }
    }

    /// Starts the pulls that are due and waits until more may be.
    pub async fn pull_once(self: &sync::Arc<Self>, stop: &process::StopSignal) {
        pull::start_due(self);
        tokio::select! {
            () = self.changed.notified() => {}
            _ = stop.sleep(IDLE_POLL) => {}
        }
    }
}

fn size_of(bytes: &Bytes) -> size::ByteCount {
    size::ByteCount::new(bytes.len() as u64)
}
