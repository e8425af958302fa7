//! Transfers of weights: chunks are downloaded from peers and the origin, verified, and uploaded to
//! peers.
//!
//! A small number of sets is held, among them the one that the engine serves and the target of
//! downloads. Complete sets stay held for VMs that join later, which then need nothing from the
//! origin.

mod content;
mod download;
mod upload;

use std::{fmt, sync, time};

use bytes::Bytes;
use indexmap::IndexMap;
use pimentohook_core::{
    burst::{self, activation, chunks, downloader, uploader},
    clock, id, size,
};
use pimentohook_runtime::{client, process, rate_limiter};
use tokio::sync::{Notify, watch};

pub use self::{
    content::{Content, OriginDownload, OriginError, Verifier},
    upload::upload,
};
use crate::mutex::lock;

const PEERS_MAX: usize = 32;
const BUSY_BACKOFF: time::Duration = time::Duration::from_millis(30);
const FAILURE_BACKOFF: time::Duration = time::Duration::from_secs(1);
const OVERDRAFT_DELAY: time::Duration = time::Duration::from_secs(3);
const ORIGIN_BACKOFF: time::Duration = time::Duration::from_millis(200);
/// How long a grant may be used; later the chunk may have been granted to another agent.
const GRANT_LIFETIME: time::Duration = time::Duration::from_millis(1_400);
/// How often backoffs are checked while the target is incomplete.
const DOWNLOADING_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The limits and dependencies of transfers over this VM's link.
pub struct Link {
    /// The source of the current time.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// The client for calls to other agents.
    pub client: sync::Arc<client::Client>,
    /// The failure domain of this VM.
    pub failure_domain: id::FailureDomain,
    /// The rate limit of uploads.
    pub outgoing_rate: size::ByteRate,
    /// The rate limit of downloads; `None` if they are limited elsewhere.
    pub incoming_rate: Option<size::ByteRate>,
    /// The maximum of what is downloaded and uploaded together during a burst, in percent of a
    /// copy.
    pub link_percent_max: u32,
    /// The maximum number of concurrent uploads.
    pub upload_slots: u32,
    /// The maximum number of sets that are held.
    pub sets_max: usize,
    /// How long a transfer may make no progress until it fails.
    pub stall_max: time::Duration,
    /// Whether peers in the same failure domain are preferred to all others.
    pub prefer_same_domain: bool,
    /// How fast credit for uploads is refilled after the burst.
    pub credit_refill: uploader::CreditRefill,
    /// Called each time a set becomes complete.
    pub on_complete: Box<dyn Fn() + Send + Sync>,
    /// Called each time the download of a granted chunk from the origin has ended.
    pub on_grant_used: Box<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("failure_domain", &self.failure_domain)
            .field("outgoing_rate", &self.outgoing_rate)
            .finish_non_exhaustive()
    }
}

/// A set of weights that is held or being downloaded.
#[derive(Debug)]
struct WeightSet {
    content: sync::Arc<Content>,
    downloader: downloader::Downloader,
    uploader: uploader::Uploader,
    chunks: Vec<Option<Bytes>>,
    /// When the last chunk was verified.
    last_chunk_at: Option<time::Instant>,
    /// When the set last became the target.
    target_since: time::Instant,
}

/// The sets of weights that the agent holds or downloads; the last one is the target of downloads.
#[derive(Debug)]
pub struct Transfers {
    sets: sync::Mutex<IndexMap<id::Digest, WeightSet>>,
    /// The manifest of the target; `None` before there is one.
    target: watch::Sender<Option<id::Digest>>,
    changed: Notify,
    link: Link,
    incoming: Option<rate_limiter::RateLimiter>,
    outgoing: rate_limiter::RateLimiter,
}

impl Transfers {
    /// Creates transfers without any sets.
    #[must_use]
    pub fn new(link: Link) -> Self {
        Self {
            sets: sync::Mutex::new(IndexMap::new()),
            target: watch::Sender::new(None),
            changed: Notify::new(),
            incoming: link.incoming_rate.map(rate_limiter::RateLimiter::new),
            outgoing: rate_limiter::RateLimiter::new(link.outgoing_rate),
            link,
        }
    }

    /// Returns the digests of the weights that are held or being downloaded.
    #[must_use]
    pub fn known_weights(&self) -> Vec<activation::WeightsId> {
        let sets = lock(&self.sets);
        sets.values().map(|set| set.content.weights).collect()
    }

    /// Opens a set and makes it the target; the set with the manifest `serving` is not dropped to
    /// make room for it.
    pub fn open(&self, content: Content, serving: Option<id::Digest>) {
        let limits = downloader::DownloaderLimits {
            busy_backoff: BUSY_BACKOFF,
            fault_backoff: FAILURE_BACKOFF,
            overdraft_after: OVERDRAFT_DELAY,
            origin_backoff: ORIGIN_BACKOFF,
            grant_lifetime: GRANT_LIFETIME,
            concurrent_downloads_max: content.downloads_max,
            peers_max: PEERS_MAX,
            prefer_same_domain: self.link.prefer_same_domain,
        };
        let chunk_count = content.chunk_count;
        let failure_domain = self.link.failure_domain.clone();
        log::info!(
            "transfer: {} begins, {chunk_count} chunks.",
            content.version
        );
        let set = WeightSet {
            downloader: downloader::Downloader::new(limits, failure_domain, chunk_count),
            uploader: uploader::Uploader::new(
                chunk_count,
                self.link.link_percent_max,
                self.link.upload_slots,
                self.link.credit_refill,
            ),
            chunks: vec![None; chunk_count as usize],
            last_chunk_at: None,
            target_since: self.link.clock.now(),
            content: sync::Arc::new(content),
        };
        self.insert(set, serving);
    }

    /// Records a chunk that is staged at the engine; returns false if the set isn't open or the
    /// bytes are not those of the chunk.
    pub fn record_staged(&self, manifest: id::Digest, chunk: u32, bytes: &Bytes) -> bool {
        let mut sets = lock(&self.sets);
        let Some(set) = sets.get_mut(&manifest) else {
            return false;
        };
        if !(set.content.verify)(chunk, bytes) {
            return false;
        }
        if let Some(slot) = set.chunks.get_mut(chunk as usize) {
            *slot = Some(bytes.clone());
            set.downloader.record_held(chunk);
        }
        true
    }

    /// Returns a verified chunk.
    #[must_use]
    pub fn chunk(&self, manifest: id::Digest, chunk: u32) -> Option<Bytes> {
        let sets = lock(&self.sets);
        sets.get(&manifest)?.chunks.get(chunk as usize)?.clone()
    }

    /// Returns the progress of the set with the given manifest.
    #[must_use]
    pub fn progress_of(&self, manifest: id::Digest) -> Option<burst::Progress> {
        let sets = lock(&self.sets);
        let target = sets.last().map(|(target, _)| *target);
        let set = sets.get(&manifest)?;
        Some(set.progress(manifest, target == Some(manifest)))
    }

    /// Returns the chunks held of the set with the given manifest.
    #[must_use]
    pub fn held_chunks(&self, manifest: id::Digest) -> Option<chunks::ChunkSet> {
        let sets = lock(&self.sets);
        sets.get(&manifest).map(|set| set.downloader.held().clone())
    }

    /// Returns when the last chunk of the set with the given manifest was verified.
    #[must_use]
    pub fn last_chunk_at(&self, manifest: id::Digest) -> Option<time::Instant> {
        lock(&self.sets).get(&manifest)?.last_chunk_at
    }

    /// Returns the progress of the target.
    #[must_use]
    pub fn target_progress(&self) -> Option<burst::Progress> {
        let sets = lock(&self.sets);
        let (manifest, set) = sets.last()?;
        Some(set.progress(*manifest, true))
    }

    /// Returns whether the set with the given manifest is the target.
    #[must_use]
    pub fn is_target(&self, manifest: id::Digest) -> bool {
        let sets = lock(&self.sets);
        sets.last().is_some_and(|(target, _)| *target == manifest)
    }

    /// Returns whether the target is incomplete.
    #[must_use]
    pub fn is_downloading(&self) -> bool {
        let sets = lock(&self.sets);
        sets.last()
            .is_some_and(|(_, set)| !set.downloader.is_complete())
    }

    /// Records the state of a peer; ignores it if the set is no longer held.
    pub fn record_peer(&self, manifest: id::Digest, vm: id::VmId, info: downloader::PeerInfo) {
        if let Some(set) = lock(&self.sets).get_mut(&manifest) {
            set.downloader.record_peer(vm, info);
        }
        self.changed.notify_one();
    }

    /// Records a grant; ignores it if the set is no longer held.
    pub fn record_grant(&self, manifest: id::Digest, chunk: u32, serial: u32) {
        if let Some(set) = lock(&self.sets).get_mut(&manifest) {
            let now = self.link.clock.now();
            set.downloader.record_grant(now, chunk, serial);
        }
        self.changed.notify_one();
    }

    /// Returns whether the set with the given manifest is complete.
    #[must_use]
    pub fn is_complete(&self, manifest: id::Digest) -> bool {
        let sets = lock(&self.sets);
        sets.get(&manifest)
            .is_some_and(|set| set.downloader.is_complete())
    }

    /// Returns the verified chunks of the set with the given manifest, if it is complete.
    #[must_use]
    pub fn complete_chunks(&self, manifest: id::Digest) -> Option<Vec<Bytes>> {
        let sets = lock(&self.sets);
        sets.get(&manifest)?.chunks.iter().cloned().collect()
    }

    /// Drops complete sets that were opened before a complete one, which no VM downloads any more.
    pub fn drop_superseded(&self) {
        let mut sets = lock(&self.sets);
        let newest = sets.values().rposition(|set| set.downloader.is_complete());
        let Some(newest) = newest else {
            return;
        };
        let mut index = 0;
        sets.retain(|_, set| {
            let is_kept = index >= newest || !set.downloader.is_complete();
            index += 1;
            is_kept
        });
    }

    fn insert(&self, set: WeightSet, serving: Option<id::Digest>) {
        let mut sets = lock(&self.sets);
        let target = set.content.weights.manifest;
        sets.insert(target, set);
        while sets.len() > self.link.sets_max {
            let dropped = sets
                .keys()
                .position(|digest| *digest != target && Some(*digest) != serving);
            sets.shift_remove_index(dropped.unwrap_or(0));
        }
        drop(sets);
        self.target.send_replace(Some(target));
        self.changed.notify_one();
    }

    /// Makes a set the target; returns false if it has to be opened first.
    pub fn set_target(&self, manifest: id::Digest) -> bool {
        let mut sets = lock(&self.sets);
        let Some(position) = sets.get_index_of(&manifest) else {
            return false;
        };
        // A rollback returns to a set that was opened before another one.
        let last = sets.len() - 1;
        sets.move_index(position, last);
        let is_replaced = self.target.send_replace(Some(manifest)) != Some(manifest);
        if is_replaced {
            sets[last].target_since = self.link.clock.now();
        }
        drop(sets);
        if is_replaced {
            self.changed.notify_one();
        }
        true
    }

    /// Returns when a set last became the target of downloads; `None` if it isn't open.
    #[must_use]
    pub fn target_since(&self, manifest: id::Digest) -> Option<time::Instant> {
        let sets = lock(&self.sets);
        sets.get(&manifest).map(|set| set.target_since)
    }

    /// Waits until the set with the given manifest is not the target.
    async fn wait_until_replaced(&self, manifest: id::Digest) {
        let mut target = self.target.subscribe();
        let is_replaced = |target: &Option<id::Digest>| *target != Some(manifest);
        if target.wait_for(is_replaced).await.is_err() {
            log::debug!("transfer: the transfers have ended.");
        }
    }
}

impl WeightSet {
    fn progress(&self, manifest: id::Digest, is_target: bool) -> burst::Progress {
        burst::Progress {
            manifest,
            held: self.downloader.held().clone(),
            given_count: self.uploader.uploaded_count(),
            starved: self.downloader.is_starved(),
            failed_grants: self.downloader.failed_grants().to_vec(),
            grants: self.downloader.grants().collect(),
            is_downloading: is_target && !self.downloader.is_complete(),
        }
    }
}

impl Transfers {
    async fn limit_incoming(&self, bytes: &Bytes) {
        if let Some(incoming) = &self.incoming {
            incoming.acquire(byte_count_of(bytes)).await;
        }
    }

    /// Starts the downloads that are due and waits until more may be.
    pub async fn poll_downloads(self: &sync::Arc<Self>, stop: &process::StopSignal) {
        download::start_due(self);
        let pause = if self.is_downloading() {
            DOWNLOADING_POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        };
        tokio::select! {
            () = self.changed.notified() => {}
            _ = stop.sleep(pause) => {}
        }
    }
}

fn byte_count_of(bytes: &Bytes) -> size::ByteCount {
    size::ByteCount::new(bytes.len() as u64)
}
