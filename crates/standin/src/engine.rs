//! Test doubles of an inference engine that batches in steps, and of a plain service.

use std::{sync, sync::atomic, time};

use bytes::Bytes;
use futures_util::stream;
use gotham::{
    helpers::http::Body,
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, StatusCode, body::Frame};
use indexmap::IndexMap;
use pimentohook_core::id;
use pimentohook_platform::engine;
use pimentohook_runtime::server;
use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use crate::lock;

const BODY_MAX_BYTES: usize = 1 << 20;
const DEFAULT_TOKEN_COUNT: u32 = 16;
const QUEUE_MAX: usize = 64;

/// What an engine or service actually executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// How many times each request was started, by request id.
    pub started: IndexMap<String, u32>,
    /// How many times each request ran to completion, by request id.
    pub completed: IndexMap<String, u32>,
    /// How many requests were running when loads began, which can mix two sets of weights.
    pub mixed_count: u32,
    /// Load commands rejected because of an old fencing number.
    pub fenced_count: u32,
    /// Load commands accepted.
    pub load_count: u32,
}

/// Faults that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor by which each step is slowed down.
    pub slow_factor: u32,
    /// Whether load commands with an old fencing number are rejected.
    pub checks_fencing: bool,
    /// Whether responses stall without ending.
    pub silent: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1,
            checks_fencing: true,
            silent: false,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    weights: Option<id::Digest>,
    fencing: id::FencingNumber,
    running_count: u32,
    runs: RunCounts,
    faults: Faults,
}

/// An inference engine or plain service that runs requests in steps.
#[derive(Debug)]
pub struct Engine {
    state: sync::Mutex<State>,
    slots: sync::Arc<Semaphore>,
    queued_count: atomic::AtomicUsize,
    steps: watch::Sender<u64>,
}

impl Engine {
    /// Creates an engine that serves the weights with this digest, or none if `None`.
    #[must_use]
    pub fn new(
        slot_count: usize,
        step_duration: time::Duration,
        weights: Option<id::Digest>,
    ) -> sync::Arc<Self> {
        let state = State {
            weights,
            ..State::default()
        };
        let engine = sync::Arc::new(Self {
            state: sync::Mutex::new(state),
            slots: sync::Arc::new(Semaphore::new(slot_count)),
            queued_count: atomic::AtomicUsize::new(0),
            steps: watch::Sender::new(0),
        });
        tokio::spawn(run_steps(sync::Arc::downgrade(&engine), step_duration));
        engine
    }

    /// Returns what was executed so far.
    #[must_use]
    pub fn runs(&self) -> RunCounts {
        lock(&self.state).runs.clone()
    }

    /// Returns the number of requests that are running.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        lock(&self.state).running_count
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the digest of the weights that it serves.
    #[must_use]
    pub fn weights(&self) -> Option<id::Digest> {
        lock(&self.state).weights
    }
}

async fn run_steps(engine: sync::Weak<Engine>, step_duration: time::Duration) {
    let mut ticks = tokio::time::interval(step_duration);
    let mut tick_count: u64 = 0;
    loop {
        ticks.tick().await;
        let Some(engine) = engine.upgrade() else {
            return;
        };
        tick_count += 1;
        let slow_factor = u64::from(lock(&engine.state).faults.slow_factor.max(1));
        if tick_count.is_multiple_of(slow_factor) {
            engine.steps.send_modify(|steps| *steps += 1);
        }
    }
}

/// Returns the HTTP routes of an engine.
#[must_use]
pub fn router(engine: &sync::Arc<Engine>) -> router::Router {
    router::build_simple_router(|route| {
        route
            .get("/status")
            .to_new_handler(server::endpoint(engine, status));
        route
            .put("/load")
            .to_new_handler(server::endpoint(engine, load));
        route
            .post("/generate")
            .to_new_handler(server::endpoint(engine, generate));
        route
            .post("/call")
            .to_new_handler(server::endpoint(engine, call));
        route
            .get("/runs")
            .to_new_handler(server::endpoint(engine, runs));
        route
            .post("/faults")
            .to_new_handler(server::endpoint(engine, set_faults));
    })
}

async fn status(engine: sync::Arc<Engine>, _call: server::Call) -> Response<Body> {
    let state = lock(&engine.state);
    let status = engine::EngineStatus {
        weights: state.weights,
        running_count: state.running_count,
    };
    server::respond_json(StatusCode::OK, &status)
}

async fn runs(engine: sync::Arc<Engine>, _call: server::Call) -> Response<Body> {
    server::respond_json(StatusCode::OK, &engine.runs())
}

async fn set_faults(engine: sync::Arc<Engine>, call: server::Call) -> Response<Body> {
    match call.read_json::<Faults>(BODY_MAX_BYTES).await {
        Ok(faults) => {
            engine.set_faults(faults);
            server::respond_text(StatusCode::OK, "set")
        }
        Err(error) => server::respond_text(error.status(), &error.to_string()),
    }
}

async fn load(engine: sync::Arc<Engine>, call: server::Call) -> Response<Body> {
    let fencing = call.query("fencing").and_then(|text| text.parse().ok());
    let content: Option<id::Digest> = call.query("content").and_then(|text| text.parse().ok());
    let (Some(fencing), Some(content)) = (fencing, content) else {
        return server::respond_text(StatusCode::BAD_REQUEST, "fencing and content are needed");
    };
    if !begin_load(&engine, fencing) {
        return server::respond_text(StatusCode::CONFLICT, "old fencing number");
    }
    let mut body = call.into_body();
    let mut hasher = id::Hasher::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(bytes) = frame.data_ref() {
            hasher.update(bytes);
        }
    }
    let digest = hasher.finish();
    if digest != content {
        return server::respond_text(StatusCode::UNPROCESSABLE_ENTITY, "other content");
    }
    lock(&engine.state).weights = Some(digest);
    server::respond_text(StatusCode::OK, "loaded")
}

/// Marks the weights as being replaced; returns false if the fencing number is old.
fn begin_load(engine: &Engine, fencing: id::FencingNumber) -> bool {
    let mut state = lock(&engine.state);
    if state.faults.checks_fencing && fencing < state.fencing {
        state.runs.fenced_count += 1;
        return false;
    }
    state.fencing = state.fencing.max(fencing);
    state.runs.load_count += 1;
    // The requests that are running now would mix the old and the new weights.
    state.runs.mixed_count += state.running_count;
    state.weights = None;
    true
}

async fn generate(engine: sync::Arc<Engine>, call: server::Call) -> Response<Body> {
    let request: engine::GenerateRequest = match call.read_json(BODY_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let queued = engine.queued_count.fetch_add(1, atomic::Ordering::Relaxed);
    let slot = if queued < QUEUE_MAX {
        engine.slots.clone().acquire_owned().await.ok()
    } else {
        None
    };
    engine.queued_count.fetch_sub(1, atomic::Ordering::Relaxed);
    let Some(slot) = slot else {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "full");
    };
    let Some(generation) = Generation::start(&engine, &request, slot) else {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "no weights");
    };
    let lines = stream::unfold(generation, |mut generation| async move {
        let line = generation.next_line().await?;
        Some((Ok::<_, std::io::Error>(Frame::data(line)), generation))
    });
    Response::new(StreamBody::new(lines).boxed_unsync())
}

/// A request that is being generated in the batch.
struct Generation {
    engine: sync::Arc<Engine>,
    request_id: id::RequestId,
    token_count: u32,
    sent_count: u32,
    steps: watch::Receiver<u64>,
    _slot: OwnedSemaphorePermit,
}

impl Generation {
    fn start(
        engine: &sync::Arc<Engine>,
        request: &engine::GenerateRequest,
        slot: OwnedSemaphorePermit,
    ) -> Option<Self> {
        let mut state = lock(&engine.state);
        state.weights?;
        let started = state.runs.started.entry(request.request_id.to_string());
        *started.or_insert(0) += 1;
        state.running_count += 1;
        Some(Self {
            engine: engine.clone(),
            request_id: request.request_id.clone(),
            token_count: token_count(&request.prompt),
            sent_count: 0,
            steps: engine.steps.subscribe(),
            _slot: slot,
        })
    }

    async fn next_line(&mut self) -> Option<Bytes> {
        if self.sent_count > self.token_count {
            return None;
        }
        self.steps.changed().await.ok()?;
        if lock(&self.engine.state).faults.silent {
            std::future::pending::<()>().await;
        }
        let done = self.sent_count == self.token_count;
        let text = if done {
            String::new()
        } else {
            token(&self.request_id, self.sent_count)
        };
        self.sent_count += 1;
        let weights = self.current_weights();
        if done {
            let mut state = lock(&self.engine.state);
            let completed = state.runs.completed.entry(self.request_id.to_string());
            *completed.or_insert(0) += 1;
        }
        let line = engine::Line {
            text,
            weights,
            done,
        };
        let mut bytes = serde_json::to_vec(&line).ok()?;
        bytes.push(b'\n');
        Some(Bytes::from(bytes))
    }

    /// Returns the digest of the weights that are loaded now.
    ///
    /// Each line carries it, so a response that spans a change of weights shows both digests.
    fn current_weights(&self) -> id::Digest {
        let state = lock(&self.engine.state);
        state.weights.unwrap_or(id::Digest::new([0; 32]))
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let mut state = lock(&self.engine.state);
        state.running_count -= 1;
    }
}

async fn call(engine: sync::Arc<Engine>, call: server::Call) -> Response<Body> {
    let Some(request_id) = call.query("id").map(String::from) else {
        return server::respond_text(StatusCode::BAD_REQUEST, "id is needed");
    };
    let mut steps = engine.steps.subscribe();
    *lock(&engine.state)
        .runs
        .started
        .entry(request_id.clone())
        .or_insert(0) += 1;
    let body = match call.read_body(BODY_MAX_BYTES).await {
        Ok(body) => body,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let _ = steps.changed().await;
    *lock(&engine.state)
        .runs
        .completed
        .entry(request_id.clone())
        .or_insert(0) += 1;
    let response = expected_plain_response(&request_id, &body);
    server::respond(StatusCode::OK, "text/plain", Bytes::from(response))
}

/// Returns the response of a plain service to a request.
#[must_use]
pub fn expected_plain_response(request_id: &str, body: &[u8]) -> String {
    format!("done {request_id} {}", id::Digest::of(body))
}

/// Returns the number of tokens that a prompt requests, written as `tokens=N` at its start.
#[must_use]
pub fn token_count(prompt: &str) -> u32 {
    let parameter = prompt.strip_prefix("tokens=");
    let digits = parameter.and_then(|rest| rest.split_whitespace().next());
    digits
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_TOKEN_COUNT)
}

/// Returns one token of the response to a request.
#[must_use]
pub fn token(request_id: &id::RequestId, index: u32) -> String {
    let digest = id::Digest::of(format!("{request_id} {index}").as_bytes());
    let mut text: String = digest.to_string().chars().take(7).collect();
    text.push(' ');
    text
}

/// Returns the complete response of an engine to a request.
#[must_use]
pub fn expected_response(request_id: &id::RequestId, prompt: &str) -> String {
    (0..token_count(prompt))
        .map(|index| token(request_id, index))
        .collect()
}
