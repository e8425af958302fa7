//! Orders of the duty's holder, and the engine brought to what they ask for.

use std::{sync, time};

use futures_util::stream;
use gotham::helpers::http::Body;
use hyper::Response;
use pimentohook_core::{burst::activation, id};
use pimentohook_runtime::{process, server};
use pimentohook_wire::messages;

use crate::{
    app::{self, lock},
    follow,
};

const MESSAGE_MAX_BYTES: usize = 1 << 16;
const POLL: time::Duration = time::Duration::from_millis(20);
const READ_BACK_EVERY: time::Duration = time::Duration::from_secs(1);
const LOAD_TIMEOUT: time::Duration = time::Duration::from_mins(2);

/// Handles an order to bring weights into service.
pub async fn activate(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::ActivateRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let is_complete = app.transfers.is_held_whole(request.weights.manifest);
    let ordered = lock(&app.activation).order(request.fencing, request.weights, is_complete);
    let refusal = ordered.err().map(|error| error.to_string());
    match &refusal {
        Some(reason) => log::warn!("orders: refused, {reason}."),
        None => log::info!("orders: weights {} ordered.", request.weights.manifest),
    }
    let report = app.report();
    server::respond_message(&messages::ActivateReply { refusal, report })
}

/// Brings the engine to what was ordered, and keeps checking what it serves.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    let mut checked_at = time::Instant::now();
    while stop.sleep(POLL).await {
        let running_count = app.running_count();
        let task = lock(&app.activation).task(running_count);
        match task {
            activation::Task::Wait if checked_at.elapsed() < READ_BACK_EVERY => {}
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
            log::warn!("orders: {error}.");
            None
        }
    };
    let mut activation = lock(&app.activation);
    let before = activation.serving();
    activation.record_read_back(content, &known);
    let after = activation.serving();
    drop(activation);
    if before != after {
        app.tell_entries();
        match after {
            Some(weights) => log::info!("orders: engine serves {}.", weights.content),
            None => log::warn!("orders: engine serves nothing that is known."),
        }
    }
}

async fn load(app: &app::App, weights: activation::WeightsId) {
    if !is_engine_idle(app).await {
        return;
    }
    let Some(chunks) = app.transfers.whole_content(weights.manifest) else {
        log::error!("orders: weights {} are no longer held.", weights.manifest);
        return;
    };
    let fencing = fencing(app);
    lock(&app.activation).record_load_ordered();
    let pieces = stream::iter(chunks);
    let loaded = app
        .engine
        .load(fencing, weights.content, pieces, LOAD_TIMEOUT)
        .await;
    if let Err(error) = loaded {
        log::warn!("orders: load failed, {error}.");
        lock(&app.activation).record_load_failed();
        return;
    }
    read_back(app).await;
}

/// A cancelled request may linger at the engine for a moment after it has left the table.
async fn is_engine_idle(app: &app::App) -> bool {
    match app.engine.status().await {
        Ok(status) => status.running_count == 0,
        Err(error) => {
            log::warn!("orders: {error}.");
            false
        }
    }
}

fn fencing(app: &app::App) -> id::FencingNumber {
    lock(&app.activation).fencing_seen().unwrap_or_default()
}
