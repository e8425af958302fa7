//! Weights: pulled from peers and the origin, verified, and passed on.
//!
//! Few sets are held, among them the one in service and the one that is wanted. What is held whole stays for machines that join later, so that they need nothing from the origin.

use std::{fmt, net, sync, time};

use bytes::Bytes;
use futures_util::{StreamExt as _, future, stream};
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, StatusCode, body};
use indexmap::IndexMap;
use pimentohook_core::{
    burst::{self, activation, chunks, giver, manifest, receiver},
    clock, id, intent, size,
};
use pimentohook_platform::weights;
use pimentohook_runtime::{client, pacer, process, server};
use pimentohook_wire::{frames, messages};
use tokio::sync::Notify;

use crate::app::{self, lock};

const OPEN_MAX: usize = 3;
const PEERS_MAX: usize = 32;
const BUSY_PAUSE: time::Duration = time::Duration::from_millis(30);
const FAULT_PAUSE: time::Duration = time::Duration::from_secs(1);
const OVERDRAFT_AFTER: time::Duration = time::Duration::from_secs(3);
const ORIGIN_PAUSE: time::Duration = time::Duration::from_millis(200);
/// After it the chunk may have been granted to somebody else.
const GRANT_LIFE: time::Duration = time::Duration::from_millis(1_400);
const IDLE_POLL: time::Duration = time::Duration::from_millis(20);
const MANIFEST_RETRY: time::Duration = time::Duration::from_millis(300);
const MESSAGE_MAX_BYTES: usize = 1 << 16;
/// Small pieces keep the queue at the link short for the messages that share it.
const PIECE_BYTES: usize = 8 << 10;

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
    pub refill: giver::Refill,
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
    receiver: receiver::Receiver,
    giver: giver::Giver,
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
    incoming: Option<pacer::Pacer>,
    outgoing: pacer::Pacer,
}

impl Transfers {
    /// Creates a store without any weights.
    #[must_use]
    pub fn new(link: Link) -> Self {
        Self {
            sets: sync::Mutex::new(IndexMap::new()),
            changed: Notify::new(),
            incoming: link.incoming_rate.map(pacer::Pacer::new),
            outgoing: pacer::Pacer::new(link.outgoing_rate),
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
        let limits = receiver::ReceiverLimits {
            busy_pause: BUSY_PAUSE,
            fault_pause: FAULT_PAUSE,
            overdraft_after: OVERDRAFT_AFTER,
            origin_pause: ORIGIN_PAUSE,
            grant_life: GRANT_LIFE,
            open_max: content.open_max,
            peers_max: PEERS_MAX,
            near_first: self.link.near_first,
        };
        let count = content.chunk_count;
        let domain = self.link.failure_domain.clone();
        log::info!("transfer: {} begins, {count} chunks.", content.version);
        let set = Set {
            receiver: receiver::Receiver::new(limits, domain, count),
            giver: giver::Giver::new(
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
    pub fn record_peer(&self, manifest: id::Digest, vm: id::VmId, info: receiver::PeerInfo) {
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
            given_count: self.giver.given_count(),
            starved: self.receiver.is_starved(),
            failed_grants: self.receiver.failed_grants().to_vec(),
        }
    }
}

/// Follows the configuration and pulls what it names, until the agent stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::Stop) {
    while !stop.is_set() {
        if let Some(target) = target(&app)
            && !app.transfers.aim(target.manifest)
            && !begin(&app, &target).await
        {
            stop.sleep(MANIFEST_RETRY).await;
            continue;
        }
        app.transfers.pull_once(&stop).await;
    }
}

fn target(app: &app::App) -> Option<intent::WeightsRef> {
    let config = app.config.load();
    config.services.get(&app.service())?.weights.clone()
}

/// Reads the manifest of weights and opens a set for them; false where that failed.
async fn begin(app: &app::App, target: &intent::WeightsRef) -> bool {
    let Some(store) = &app.store else {
        return false;
    };
    let manifest = match store.manifest(&target.version).await {
        Ok(manifest) => manifest,
        Err(error) => {
            log::warn!("transfer: {error}.");
            return false;
        }
    };
    if let Err(error) = manifest.check_named(target.manifest) {
        log::error!("transfer: {error}.");
        return false;
    }
    let serving = lock(&app.activation).serving();
    let content = content(store, manifest, target.manifest, app.settings.stall_max);
    app.transfers
        .open(content, serving.map(|weights| weights.manifest));
    true
}

fn content(
    store: &weights::StoreClient,
    manifest: manifest::Manifest,
    digest: id::Digest,
    stall_max: time::Duration,
) -> Content {
    let chunk_bytes = usize::try_from(manifest.chunk_bytes.get()).unwrap_or(usize::MAX);
    let store = store.clone();
    let version = manifest.version.clone();
    let weights = activation::WeightsId {
        manifest: digest,
        content: manifest.content,
    };
    Content {
        weights,
        version: version.to_string(),
        chunk_count: manifest.chunk_count(),
        chunk_bytes,
        open_max: OPEN_MAX,
        verifies: Box::new(move |chunk, bytes| manifest.verifies(chunk, bytes)),
        pull_origin: Box::new(move |chunk| {
            let (store, version) = (store.clone(), version.clone());
            Box::pin(async move {
                // The origin serves many at once, so a chunk of its waits longer than one of a peer.
                let pulled = store
                    .chunk(&version, chunk, chunk_bytes, stall_max * 4)
                    .await;
                pulled.map_err(|error| OriginFault {
                    reached: error.may_have_sent(),
                    reason: error.to_string(),
                })
            })
        }),
    }
}

impl Transfers {
    async fn pace_incoming(&self, bytes: &Bytes) {
        if let Some(incoming) = &self.incoming {
            incoming.pass(size_of(bytes)).await;
        }
    }

    /// Starts the pulls that are due and waits until more may be.
    pub async fn pull_once(self: &sync::Arc<Self>, stop: &process::Stop) {
        start_pulls(self);
        tokio::select! {
            () = self.changed.notified() => {}
            _ = stop.sleep(IDLE_POLL) => {}
        }
    }
}

fn start_pulls(transfers: &sync::Arc<Transfers>) {
    let mut sets = lock(&transfers.sets);
    let Some((digest, set)) = sets.last_mut() else {
        return;
    };
    let now = transfers.link.clock.now();
    while let Some(fetch) = set.receiver.start_next(now, &mut rand::rng()) {
        let address = match &fetch.source {
            receiver::Source::Origin => None,
            receiver::Source::Peer(vm) => set.receiver.peer_address(vm),
        };
        let pull = Pull {
            digest: *digest,
            content: set.content.clone(),
            fetch,
            address,
        };
        tokio::spawn(pull.run(transfers.clone()));
    }
}

/// One chunk on its way in.
struct Pull {
    digest: id::Digest,
    content: sync::Arc<Content>,
    fetch: receiver::Fetch,
    address: Option<net::SocketAddr>,
}

impl Pull {
    async fn run(self, transfers: sync::Arc<Transfers>) {
        let pulled = match (&self.fetch.source, self.address) {
            (receiver::Source::Origin, _) => self.pull_origin(&transfers).await,
            (receiver::Source::Peer(vm), Some(address)) => {
                self.pull_peer(&transfers, vm, address).await
            }
            (receiver::Source::Peer(_), None) => Err(receiver::FetchFailure::Stalled),
        };
        let verified = pulled.and_then(|bytes| {
            if (self.content.verifies)(self.fetch.chunk, &bytes) {
                Ok(bytes)
            } else {
                log::warn!("transfer: chunk {} came corrupt.", self.fetch.chunk);
                Err(receiver::FetchFailure::Corrupt)
            }
        });
        self.settle(&transfers, verified);
        transfers.changed.notify_one();
    }

    fn settle(&self, transfers: &Transfers, verified: Result<Bytes, receiver::FetchFailure>) {
        let mut sets = lock(&transfers.sets);
        // The set is gone where the configuration has moved on; the bytes are of no use then.
        let Some(set) = sets.get_mut(&self.digest) else {
            return;
        };
        if !matches!(verified, Err(receiver::FetchFailure::Denied(_))) {
            set.giver.record_received();
        }
        match verified {
            Ok(bytes) => {
                if let Some(slot) = set.chunks.get_mut(self.fetch.chunk as usize) {
                    *slot = Some(bytes);
                }
                set.receiver.record_verified(&self.fetch);
                set.progressed_at = Some(transfers.link.clock.now());
                if set.receiver.is_complete() {
                    (transfers.link.on_whole)();
                    log::info!("transfer: {} is whole.", self.content.version);
                }
            }
            Err(failure) => {
                set.receiver
                    .record_failure(transfers.link.clock.now(), &self.fetch, failure);
            }
        }
    }

    async fn pull_origin(&self, transfers: &Transfers) -> Result<Bytes, receiver::FetchFailure> {
        match (self.content.pull_origin)(self.fetch.chunk).await {
            Ok(bytes) => {
                transfers.pace_incoming(&bytes).await;
                Ok(bytes)
            }
            Err(fault) => {
                log::warn!(
                    "transfer: chunk {} did not come: {}.",
                    self.fetch.chunk,
                    fault.reason
                );
                Err(if fault.reached {
                    receiver::FetchFailure::Stalled
                } else {
                    receiver::FetchFailure::Unreached
                })
            }
        }
    }

    async fn pull_peer(
        &self,
        transfers: &Transfers,
        vm: &id::VmId,
        address: net::SocketAddr,
    ) -> Result<Bytes, receiver::FetchFailure> {
        let request = messages::ChunkRequest {
            manifest: self.digest,
            chunk: self.fetch.chunk,
            overdraft: self.fetch.overdraft,
        };
        let stalled = |_| receiver::FetchFailure::Stalled;
        let request = client::message_request(address, "/v1/chunks", &request).map_err(stalled)?;
        let stall_max = transfers.link.stall_max;
        let sent = transfers
            .link
            .client
            .send(address, request, stall_max)
            .await;
        let response = sent.map_err(stalled)?;
        if response.status() != StatusCode::OK {
            return Err(receiver::FetchFailure::Denied(giver::Denial::NotHeld));
        }
        let mut body = response.into_body();
        let mut decoder = frames::Decoder::new();
        let mut content = Vec::new();
        let mut reply: Option<messages::ChunkReply> = None;
        while let Some(bytes) = next_piece(&mut body, stall_max).await? {
            transfers.pace_incoming(&bytes).await;
            if reply.is_some() {
                content.extend_from_slice(&bytes);
            } else {
                decoder.push(&bytes);
                reply = decoder
                    .try_next()
                    .map_err(|_| receiver::FetchFailure::Corrupt)?;
                if reply.is_some() {
                    content.extend_from_slice(&decoder.take_rest());
                }
            }
            if content.len() > self.content.chunk_bytes {
                return Err(receiver::FetchFailure::Corrupt);
            }
        }
        let reply = reply.ok_or(receiver::FetchFailure::Stalled)?;
        self.note_giver(transfers, vm, &reply);
        match reply.denial {
            Some(denial) => Err(receiver::FetchFailure::Denied(denial)),
            None => Ok(Bytes::from(content)),
        }
    }

    /// What a giver says of itself is newer than any heartbeat.
    fn note_giver(&self, transfers: &Transfers, vm: &id::VmId, reply: &messages::ChunkReply) {
        if let Some(set) = lock(&transfers.sets).get_mut(&self.digest) {
            set.receiver
                .record_progress(vm, &reply.held, reply.given_count);
        }
    }
}

fn size_of(bytes: &Bytes) -> size::ByteCount {
    size::ByteCount::new(bytes.len() as u64)
}

/// Returns the next piece of a body; `None` at its clean end.
async fn next_piece(
    body: &mut body::Incoming,
    stall_max: time::Duration,
) -> Result<Option<Bytes>, receiver::FetchFailure> {
    loop {
        let frame = tokio::time::timeout(stall_max, body.frame()).await;
        match frame {
            Ok(None) => return Ok(None),
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
            Ok(Some(Err(_))) | Err(_) => return Err(receiver::FetchFailure::Stalled),
        }
    }
}

/// Handles a peer's request for a chunk.
pub async fn give(transfers: sync::Arc<Transfers>, call: server::Call) -> Response<Body> {
    let request: messages::ChunkRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let mut sets = lock(&transfers.sets);
    let Some(set) = sets.get_mut(&request.manifest) else {
        return server::respond_text(StatusCode::NOT_FOUND, "no such manifest here");
    };
    let held = set.receiver.held().clone();
    let started = set.giver.try_start(
        transfers.link.clock.now(),
        &held,
        request.chunk,
        request.overdraft,
    );
    let reply = messages::ChunkReply {
        denial: started.err(),
        held,
        given_count: set.giver.given_count(),
    };
    let chunk = set.chunks.get(request.chunk as usize).cloned().flatten();
    drop(sets);
    let Ok(header) = frames::to_framed(&reply) else {
        return server::respond_text(StatusCode::INTERNAL_SERVER_ERROR, "can't encode");
    };
    match chunk {
        Some(bytes) if reply.denial.is_none() => {
            let upload = Upload {
                transfers,
                manifest: request.manifest,
                header: Some(header),
                rest: bytes,
            };
            upload.into_response()
        }
        _ => server::respond(StatusCode::OK, pimentohook_wire::CONTENT_TYPE, header),
    }
}

/// One chunk on its way out; its slot is given back when it is dropped.
struct Upload {
    transfers: sync::Arc<Transfers>,
    manifest: id::Digest,
    header: Option<Bytes>,
    rest: Bytes,
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(set) = lock(&self.transfers.sets).get_mut(&self.manifest) {
            set.giver.stop();
        }
    }
}

impl Upload {
    fn into_response(self) -> Response<Body> {
        let pieces = stream::unfold(self, |mut upload| async move {
            let piece = upload.next_piece().await?;
            Some((piece, upload))
        });
        let frames = pieces.map(|piece| Ok::<_, std::io::Error>(body::Frame::data(piece)));
        Response::new(StreamBody::new(frames).boxed_unsync())
    }

    async fn next_piece(&mut self) -> Option<Bytes> {
        if let Some(header) = self.header.take() {
            return Some(header);
        }
        if self.rest.is_empty() {
            return None;
        }
        let piece = self.rest.split_to(self.rest.len().min(PIECE_BYTES));
        self.transfers.outgoing.pass(size_of(&piece)).await;
        Some(piece)
    }
}

/// Returns the sets of weights that the agent can name by their content.
#[must_use]
pub fn known_weights(app: &app::App) -> Vec<activation::WeightsId> {
    let config = app.config.load();
    let service = app.service();
    let configured = config.allowed_weights(&service).into_iter();
    let mut known: Vec<_> = configured
        .map(|weights| activation::WeightsId {
            manifest: weights.manifest,
            content: weights.content,
        })
        .collect();
    known.extend(app.transfers.known_weights());
    known
}
