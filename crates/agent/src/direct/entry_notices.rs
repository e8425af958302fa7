//! Tells entries the state of the engine.

use std::{sync, time};

use futures_util::future;
use pimentohook_runtime::process;
use pimentohook_wire::direct;

use super::app;

const STATE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Notifies entries of the engine's state at each change, until the process stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    loop {
        tokio::select! {
            () = app.engine_state_changed.notified() => {}
            () = stop.wait() => return,
        }
        let state = app.engine_state();
        let entries = app.entries.load_full();
        let calls = entries
            .iter()
            .map(|entry| notify_entry(&app, entry.peers, &state));
        future::join_all(calls).await;
    }
}

async fn notify_entry(app: &app::App, entry: std::net::SocketAddr, state: &direct::EngineState) {
    let message =
        pimentohook_runtime::client::message_request(entry, direct::ENGINE_STATE_PATH, state);
    let sent = match message {
        Ok(message) => {
            app.client
                .send_and_read_body(entry, message, STATE_TIMEOUT)
                .await
        }
        Err(error) => Err(error),
    };
    if let Err(error) = sent {
        log::debug!("loader: event=entry_not_told entry={entry} error={error:?}");
    }
}
