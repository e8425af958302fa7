//! A test double of the weight store, which is the origin of weights, with a rate limit.

use std::{net, sync};

use bytes::Bytes;
use gotham::{
    helpers::http::Body,
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use pimentohook_core::{burst::manifest, id, size};
use pimentohook_runtime::{rate_limiter, server};
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};

use crate::lock;

const BODY_MAX_BYTES: usize = 1 << 16;

/// Faults that can be injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every request fails with status 503.
    pub down: bool,
    /// How many of the next chunks are sent with one flipped bit.
    pub corrupt_count: u32,
}

#[derive(Debug)]
struct Weights {
    manifest: manifest::Manifest,
    content: Bytes,
}

/// A weight store that holds its versions in memory.
#[derive(Debug)]
pub struct Store {
    versions: sync::Mutex<IndexMap<String, Weights>>,
    faults: sync::Mutex<Faults>,
    rate_limiter: rate_limiter::RateLimiter,
    sent_bytes: sync::Mutex<IndexMap<(String, net::IpAddr), u64>>,
}

impl Store {
    /// Creates a store that sends chunks at no more than `rate`.
    #[must_use]
    pub fn new(rate: size::ByteRate) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            versions: sync::Mutex::new(IndexMap::new()),
            faults: sync::Mutex::new(Faults::default()),
            rate_limiter: rate_limiter::RateLimiter::new(rate),
            sent_bytes: sync::Mutex::new(IndexMap::new()),
        })
    }

    /// Publishes a version with pseudo-random content, which the seed determines.
    pub fn publish(
        &self,
        version: &id::WeightsVersion,
        total_bytes: size::ByteCount,
        chunk_bytes: u32,
        seed: u64,
    ) -> manifest::Manifest {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let length = usize::try_from(total_bytes.get()).unwrap_or(0);
        let mut content = vec![0; length];
        rng.fill(&mut content[..]);
        let manifest = manifest::Manifest::of(version.clone(), &content, chunk_bytes);
        let weights = Weights {
            manifest: manifest.clone(),
            content: Bytes::from(content),
        };
        lock(&self.versions).insert(version.to_string(), weights);
        manifest
    }

    /// Returns the number of bytes of a version's chunks that were sent, by client IP address.
    #[must_use]
    pub fn sent_bytes(&self, version: &id::WeightsVersion) -> IndexMap<net::IpAddr, u64> {
        let sent_bytes = lock(&self.sent_bytes);
        let version_bytes = sent_bytes
            .iter()
            .filter(|((name, _), _)| name == version.as_str());
        version_bytes
            .map(|((_, client), bytes)| (*client, *bytes))
            .collect()
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }
}

/// Returns the HTTP routes of a store.
#[must_use]
pub fn router(store: &sync::Arc<Store>) -> router::Router {
    router::build_simple_router(|route| {
        route
            .get("/manifests/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(store, manifest));
        route
            .get("/chunks/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(store, chunk));
        route
            .post("/faults")
            .to_new_handler(server::endpoint(store, set_faults));
    })
}

fn is_down(store: &Store) -> bool {
    lock(&store.faults).down
}

async fn manifest(store: sync::Arc<Store>, call: server::Call) -> Response<Body> {
    if is_down(&store) {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    match lock(&store.versions).get(&call.name) {
        Some(weights) => server::respond_json(StatusCode::OK, &weights.manifest),
        None => server::respond_text(StatusCode::NOT_FOUND, "no such version"),
    }
}

async fn chunk(store: sync::Arc<Store>, call: server::Call) -> Response<Body> {
    if is_down(&store) {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    let index = call
        .query("chunk")
        .and_then(|text| text.parse::<usize>().ok());
    let Some(bytes) = index.and_then(|index| chunk_content(&store, &call.name, index)) else {
        return server::respond_text(StatusCode::NOT_FOUND, "no such chunk");
    };
    let length = bytes.len() as u64;
    if let Some(peer) = call.peer {
        let key = (call.name.clone(), peer.ip());
        *lock(&store.sent_bytes).entry(key).or_insert(0) += length;
    }
    store
        .rate_limiter
        .acquire(size::ByteCount::new(length))
        .await;
    let bytes = apply_corruption(&store, bytes);
    server::respond(StatusCode::OK, "application/octet-stream", bytes)
}

fn chunk_content(store: &Store, version: &str, index: usize) -> Option<Bytes> {
    let versions = lock(&store.versions);
    let weights = versions.get(version)?;
    let chunk_bytes = usize::try_from(weights.manifest.chunk_bytes.get()).ok()?;
    let start = index.checked_mul(chunk_bytes)?;
    if start >= weights.content.len() {
        return None;
    }
    let end = (start + chunk_bytes).min(weights.content.len());
    Some(weights.content.slice(start..end))
}

/// Flips a bit of the chunk if a corruption is still to be injected.
fn apply_corruption(store: &Store, bytes: Bytes) -> Bytes {
    let mut faults = lock(&store.faults);
    if faults.corrupt_count == 0 {
        return bytes;
    }
    faults.corrupt_count -= 1;
    let mut corrupt = bytes.to_vec();
    if let Some(first) = corrupt.first_mut() {
        *first ^= 1;
    }
    Bytes::from(corrupt)
}

async fn set_faults(store: sync::Arc<Store>, call: server::Call) -> Response<Body> {
    match call.read_json::<Faults>(BODY_MAX_BYTES).await {
        Ok(faults) => {
            store.set_faults(faults);
            server::respond_text(StatusCode::OK, "set")
        }
        Err(error) => server::respond_text(error.status(), &error.to_string()),
    }
}
