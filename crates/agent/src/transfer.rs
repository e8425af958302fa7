//! Weights: pulled from peers and the origin, verified, and passed on.
//!
//! At most two sets are held: the one in service and the one that the configuration names. What
//! is held whole stays for machines that join later, so that they need nothing from the origin.

use std::{sync, time};

use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, StatusCode, body};
use indexmap::IndexMap;
use pimentohook_core::{
    burst::{self, activation, giver, manifest, receiver},
    clock::Clock as _,
    id, intent, size,
};
use pimentohook_runtime::{client, process, server};
use pimentohook_wire::{frames, messages};
use tokio::sync::Notify;

use crate::app::{self, lock};

const LINK_PERCENT_MAX: u32 = 200;
const REFILL: giver::Refill = giver::Refill {
    delay: time::Duration::from_mins(2),
    per_copy: time::Duration::from_mins(10),
};
const UPLOAD_SLOTS: u32 = 3;
const OPEN_MAX: usize = 3;
const PEERS_MAX: usize = 32;
const BUSY_PAUSE: time::Duration = time::Duration::from_millis(30);
const FAULT_PAUSE: time::Duration = time::Duration::from_secs(1);
const OVERDRAFT_AFTER: time::Duration = time::Duration::from_secs(3);
const IDLE_POLL: time::Duration = time::Duration::from_millis(20);
const MANIFEST_RETRY: time::Duration = time::Duration::from_millis(300);
const MESSAGE_MAX_BYTES: usize = 1 << 16;
const PIECE_BYTES: usize = 64 << 10;
const SETS_MAX: usize = 2;

/// One set of weights, held or under way.
#[derive(Debug)]
struct Set {
    manifest: sync::Arc<manifest::Manifest>,
    weights: activation::WeightsId,
    receiver: receiver::Receiver,
    giver: giver::Giver,
    chunks: Vec<Option<Bytes>>,
}

/// All sets of the agent.
#[derive(Debug)]
pub struct Transfers {
    sets: sync::Mutex<IndexMap<id::Digest, Set>>,
    changed: Notify,
}

impl Default for Transfers {
    fn default() -> Self {
        Self::new()
    }
}

impl Transfers {
    /// Creates a store without any weights.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sets: sync::Mutex::new(IndexMap::new()),
            changed: Notify::new(),
        }
    }

    /// Returns what is held of the set that is wanted, which is the last one.
    #[must_use]
    pub fn progress(&self) -> Option<burst::Progress> {
        let sets = lock(&self.sets);
        let (manifest, set) = sets.last()?;
        Some(burst::Progress {
            manifest: *manifest,
            held: set.receiver.held().clone(),
            given_count: set.giver.given_count(),
            starved: set.receiver.is_starved(),
        })
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
            set.receiver.record_grant(chunk, serial);
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
        let target = set.weights.manifest;
        sets.insert(target, set);
        while sets.len() > SETS_MAX {
            let dropped = sets
                .keys()
                .position(|digest| *digest != target && Some(*digest) != serving);
            sets.shift_remove_index(dropped.unwrap_or(0));
        }
    }

    /// Makes a set the one that is pulled and reported; false where it has to be opened first.
    fn aim(&self, manifest: id::Digest) -> bool {
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
        start_pulls(&app);
        tokio::select! {
            () = app.transfers.changed.notified() => {}
            _ = stop.sleep(IDLE_POLL) => {}
        }
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
    let limits = receiver::ReceiverLimits {
        busy_pause: BUSY_PAUSE,
        fault_pause: FAULT_PAUSE,
        overdraft_after: OVERDRAFT_AFTER,
        open_max: OPEN_MAX,
        peers_max: PEERS_MAX,
    };
    let count = manifest.chunk_count();
    let domain = app.settings.failure_domain.clone();
    let set = Set {
        weights: activation::WeightsId {
            manifest: target.manifest,
            content: manifest.content,
        },
        receiver: receiver::Receiver::new(limits, domain, count),
        giver: giver::Giver::new(count, LINK_PERCENT_MAX, UPLOAD_SLOTS, REFILL),
        chunks: vec![None; manifest.chunks.len()],
        manifest: sync::Arc::new(manifest),
    };
    log::info!("transfer: {} begins, {count} chunks.", target.version);
    app.transfers
        .begin(set, serving.map(|weights| weights.manifest));
    true
}

fn start_pulls(app: &sync::Arc<app::App>) {
    let mut sets = lock(&app.transfers.sets);
    let Some((digest, set)) = sets.last_mut() else {
        return;
    };
    let now = app.clock.now();
    while let Some(fetch) = set.receiver.start_next(now, &mut rand::rng()) {
        let address = match &fetch.source {
            receiver::Source::Origin => None,
            receiver::Source::Peer(vm) => set.receiver.peer_address(vm),
        };
        let pull = Pull {
            digest: *digest,
            manifest: set.manifest.clone(),
            fetch,
            address,
        };
        tokio::spawn(pull.run(app.clone()));
    }
}

/// One chunk on its way in.
struct Pull {
    digest: id::Digest,
    manifest: sync::Arc<manifest::Manifest>,
    fetch: receiver::Fetch,
    address: Option<std::net::SocketAddr>,
}

impl Pull {
    async fn run(self, app: sync::Arc<app::App>) {
        let pulled = match (&self.fetch.source, self.address) {
            (receiver::Source::Origin, _) => self.pull_origin(&app).await,
            (receiver::Source::Peer(vm), Some(address)) => self.pull_peer(&app, vm, address).await,
            (receiver::Source::Peer(_), None) => Err(receiver::FetchFailure::Stalled),
        };
        let verified = pulled.and_then(|bytes| {
            if self.manifest.verifies(self.fetch.chunk, &bytes) {
                Ok(bytes)
            } else {
                log::warn!("transfer: chunk {} came corrupt.", self.fetch.chunk);
                Err(receiver::FetchFailure::Corrupt)
            }
        });
        self.settle(&app, verified);
        app.transfers.changed.notify_one();
    }

    fn settle(&self, app: &app::App, verified: Result<Bytes, receiver::FetchFailure>) {
        let mut sets = lock(&app.transfers.sets);
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
                if set.receiver.is_complete() {
                    app.tell_entries();
                    log::info!("transfer: {} is whole.", self.manifest.version);
                }
            }
            Err(failure) => set
                .receiver
                .record_failure(app.clock.now(), &self.fetch, failure),
        }
    }

    fn chunk_bytes(&self) -> usize {
        usize::try_from(self.manifest.chunk_bytes.get()).unwrap_or(usize::MAX)
    }

    async fn pull_origin(&self, app: &app::App) -> Result<Bytes, receiver::FetchFailure> {
        let Some(store) = &app.store else {
            return Err(receiver::FetchFailure::Stalled);
        };
        let version = &self.manifest.version;
        let chunk = self.fetch.chunk;
        // The origin serves many at once, so a chunk of its waits longer than one of a peer.
        let timeout = app.settings.stall_max * 4;
        let pulled = store
            .chunk(version, chunk, self.chunk_bytes(), timeout)
            .await;
        match pulled {
            Ok(bytes) => {
                app.incoming.pass(size_of(&bytes)).await;
                Ok(bytes)
            }
            Err(error) => {
                log::warn!("transfer: {error}.");
                Err(receiver::FetchFailure::Stalled)
            }
        }
    }

    async fn pull_peer(
        &self,
        app: &app::App,
        vm: &id::VmId,
        address: std::net::SocketAddr,
    ) -> Result<Bytes, receiver::FetchFailure> {
        let request = messages::ChunkRequest {
            manifest: self.digest,
            chunk: self.fetch.chunk,
            overdraft: self.fetch.overdraft,
        };
        let stalled = |_| receiver::FetchFailure::Stalled;
        let request = client::message_request(address, "/v1/chunks", &request).map_err(stalled)?;
        let stall_max = app.settings.stall_max;
        let sent = app.client.send(address, request, stall_max).await;
        let response = sent.map_err(stalled)?;
        if response.status() != StatusCode::OK {
            return Err(receiver::FetchFailure::Denied(giver::Denial::NotHeld));
        }
        let mut body = response.into_body();
        let mut decoder = frames::Decoder::new();
        let mut content = Vec::new();
        let mut reply: Option<messages::ChunkReply> = None;
        while let Some(bytes) = next_piece(&mut body, stall_max).await? {
            app.incoming.pass(size_of(&bytes)).await;
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
            if content.len() > self.chunk_bytes() {
                return Err(receiver::FetchFailure::Corrupt);
            }
        }
        let reply = reply.ok_or(receiver::FetchFailure::Stalled)?;
        self.note_giver(app, vm, &reply);
        match reply.denial {
            Some(denial) => Err(receiver::FetchFailure::Denied(denial)),
            None => Ok(Bytes::from(content)),
        }
    }

    /// What a giver says of itself is newer than any heartbeat.
    fn note_giver(&self, app: &app::App, vm: &id::VmId, reply: &messages::ChunkReply) {
        if let Some(set) = lock(&app.transfers.sets).get_mut(&self.digest) {
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
pub async fn give(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::ChunkRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let mut sets = lock(&app.transfers.sets);
    let Some(set) = sets.get_mut(&request.manifest) else {
        return server::respond_text(StatusCode::NOT_FOUND, "no such manifest here");
    };
    let held = set.receiver.held().clone();
    let started = set
        .giver
        .try_start(app.clock.now(), &held, request.chunk, request.overdraft);
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
                app,
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
    app: sync::Arc<app::App>,
    manifest: id::Digest,
    header: Option<Bytes>,
    rest: Bytes,
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(set) = lock(&self.app.transfers.sets).get_mut(&self.manifest) {
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
        self.app.outgoing.pass(size_of(&piece)).await;
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
    known.extend(lock(&app.transfers.sets).values().map(|set| set.weights));
    known
}
