//! Activation orders of the entry that holds the duty, and their execution at the engine.

use std::{sync, time};

use futures_util::stream;
use gotham::helpers::http::Body;
use hyper::Response;
use pimentohook_core::{burst::activation, id};
use pimentohook_runtime::{process, server};
use pimentohook_wire::messages;

use crate::{app, follow, mutex::lock};

const MESSAGE_MAX_BYTES: usize = 1 << 16;
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
const READ_BACK_INTERVAL: time::Duration = time::Duration::from_secs(1);
const LOAD_TIMEOUT: time::Duration = time::Duration::from_mins(2);

/// Handles an order to activate weights at the engine.
pub async fn activate(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::ActivateRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let is_complete = app.transfers.is_complete(request.weights.manifest);
    let accepted = lock(&app.activation).order(request.fencing, request.weights, is_complete);
    let refusal = accepted.err().map(|error| error.to_string());
    match &refusal {
        Some(reason) => log::warn!("orders: activation refused: {reason}."),
        None => log::info!(
            "orders: activation of weights {} accepted.",
            request.weights.manifest
        ),
    }
    let report = app.report();
    server::respond_message(&messages::ActivateReply { refusal, report })
}

/// Loads ordered weights into the engine and reads back periodically what it serves, until the
/// agent stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    let mut checked_at = time::Instant::now();
    while stop.sleep(POLL_INTERVAL).await {
        let running_count = app.running_count();
        let task = lock(&app.activation).task(running_count);
        match task {
            activation::Task::Wait if checked_at.elapsed() < READ_BACK_INTERVAL => {}
            activation::Task::Wait | activation::Task::ReadBack => {
                read_back(&app).await;
                checked_at = time::Instant::now();
            }
            activation::Task::Load(weights) => load(&app, weights).await,
        }
    }
}

async fn read_back(app: &app::App) {
    let known = follow::known_weights(app);
    let content = match app.engine.status().await {
        Ok(status) => status.weights,
        Err(error) => {
            log::warn!("orders: can't read back the engine's weights: {error}.");
            None
        }
    };
    let mut activation = lock(&app.activation);
    let served_before = activation.serving();
    activation.record_read_back(content, &known);
    let served_now = activation.serving();
    drop(activation);
    if served_before != served_now {
        app.notify_entries();
        match served_now {
            Some(weights) => log::info!("orders: the engine serves weights {}.", weights.content),
            None => log::warn!("orders: engine serves nothing that is known."),
        }
    }
}

async fn load(app: &app::App, weights: activation::WeightsId) {
    if !is_engine_idle(app).await {
        return;
    }
    let Some(chunks) = app.transfers.complete_chunks(weights.manifest) else {
        log::error!(
            "orders: can't load weights {}: they are no longer held.",
            weights.manifest
        );
        return;
    };
    let fencing = fencing(app);
    lock(&app.activation).record_load_ordered();
    let chunk_stream = stream::iter(chunks);
    let loaded = app
        .engine
        .load(fencing, weights.content, chunk_stream, LOAD_TIMEOUT)
        .await;
    if let Err(error) = loaded {
        log::warn!("orders: can't load weights into the engine: {error}.");
        lock(&app.activation).record_load_failed();
        return;
    }
    read_back(app).await;
}

/// Returns whether no request is running at the engine.
///
/// A cancelled request may still run there for a moment after it has left the request table.
async fn is_engine_idle(app: &app::App) -> bool {
    match app.engine.status().await {
        Ok(status) => status.running_count == 0,
        Err(error) => {
            log::warn!("orders: can't read the engine's status: {error}.");
            false
        }
    }
}

fn fencing(app: &app::App) -> id::FencingNumber {
    lock(&app.activation).fencing_seen().unwrap_or_default()
}
