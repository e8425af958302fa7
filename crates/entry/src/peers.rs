//! Polls the other entries to find those that callers may use.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use pimentohook_core::{id, report};
use pimentohook_runtime::{process, server};
use serde::{Deserialize, Serialize};

use crate::{app, configuration, peer_client};

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The status that an entry reports to other entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The version of the configuration that it has in force.
    pub config_version: id::ConfigVersion,
}

/// Handles another entry's request for the status.
pub async fn status(app: sync::Arc<app::App>, _call: server::Call) -> Response<Body> {
    let status = PeerStatus {
        leaving: app.is_shutting_down(),
        config_version: app.config.load().version,
    };
    server::respond_json(StatusCode::OK, &status)
}

/// Polls the other entries until this one stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    loop {
        let calls = other_entries(&app).map(|(name, entry)| {
            let app = app.clone();
            async move {
                let status: PeerStatus = peer_client::get(&app, entry.address, "/v1/peer").await?;
                Some((name, entry.address, status))
            }
        });
        let replies = futures_util::future::join_all(calls).await;
        let mut ready = Vec::new();
        for (name, address, status) in replies.into_iter().flatten() {
            if status.config_version > app.config.load().version {
                configuration::fetch_from_peer(&app, address).await;
            }
            if !status.leaving {
                ready.push(name);
            }
        }
        app.ready_peers.store(sync::Arc::new(ready));
        if !stop.sleep(POLL_INTERVAL).await {
            return;
        }
    }
}

/// Fetches the counts of all other entries; returns the counts and the names of the entries that
/// did not respond.
pub async fn counts(
    app: &sync::Arc<app::App>,
) -> (IndexMap<String, report::EntryCounts>, Vec<String>) {
    let calls = other_entries(app).map(|(name, entry)| {
        let app = app.clone();
        async move {
            (
                name,
                peer_client::get(&app, entry.address, "/v1/counts").await,
            )
        }
    });
    let mut replies = IndexMap::new();
    let mut missing = Vec::new();
    for (name, counts) in futures_util::future::join_all(calls).await {
        match counts {
            Some(counts) => {
                replies.insert(name.to_string(), counts);
            }
            None => missing.push(name.to_string()),
        }
    }
    (replies, missing)
}

fn other_entries(
    app: &app::App,
) -> impl Iterator<Item = (id::EntryId, crate::settings::EntryLocation)> + use<> {
    let own_name = app.settings.entry.clone();
    let entries = app.settings.entries.clone().into_iter();
    entries.filter(move |(name, _)| *name != own_name)
}
