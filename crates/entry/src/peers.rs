//! The other entries: which of them callers may use.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::{Method, Response, StatusCode};
use indexmap::IndexMap;
use pimentohook_core::{id, report};
use pimentohook_runtime::{client, process, server};
use serde::{Deserialize, Serialize};

use crate::{app, configuration};

const POLL: time::Duration = time::Duration::from_millis(500);
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// What an entry tells others of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerNotice {
    /// Whether it leaves.
    pub leaving: bool,
    /// The configuration in force there.
    pub config_version: id::ConfigVersion,
}

/// Handles the question of another entry.
pub async fn notice(app: sync::Arc<app::App>, _call: server::Call) -> Response<Body> {
    let notice = PeerNotice {
        leaving: app.is_leaving(),
        config_version: app.config.load().version,
    };
    server::respond_json(StatusCode::OK, &notice)
}

/// Asks the other entries, until this one stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    loop {
        let asked = others(&app).map(|(name, place)| {
            let app = app.clone();
            async move {
                let notice: PeerNotice = get(&app, place.address, "/v1/peer").await?;
                Some((name, place.address, notice))
            }
        });
        let heard = futures_util::future::join_all(asked).await;
        let mut ready = Vec::new();
        for (name, address, notice) in heard.into_iter().flatten() {
            if notice.config_version > app.config.load().version {
                configuration::fetch_from_peer(&app, address).await;
            }
            if !notice.leaving {
                ready.push(name);
            }
        }
        app.ready_peers.store(sync::Arc::new(ready));
        if !stop.sleep(POLL).await {
            return;
        }
    }
}

/// Gathers the counts of all entries; returns those heard and the names of the missing.
pub async fn counts(
    app: &sync::Arc<app::App>,
) -> (IndexMap<String, report::EntryCounts>, Vec<String>) {
    let asked = others(app).map(|(name, place)| {
        let app = app.clone();
        async move { (name, get(&app, place.address, "/v1/counts").await) }
    });
    let mut heard = IndexMap::new();
    let mut missing = Vec::new();
    for (name, counts) in futures_util::future::join_all(asked).await {
        match counts {
            Some(counts) => {
                heard.insert(name.to_string(), counts);
            }
            None => missing.push(name.to_string()),
        }
    }
    (heard, missing)
}

/// Reads JSON from another entry; `None` where it does not answer.
pub async fn get<T>(app: &app::App, address: std::net::SocketAddr, path: &str) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let request = client::json_request::<()>(Method::GET, address, path, None).ok()?;
    let exchange = app
        .client
        .send_and_read_body(address, request, CALL_TIMEOUT)
        .await;
    let (status, body) = exchange.ok()?;
    if status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

fn others(
    app: &app::App,
) -> impl Iterator<Item = (id::EntryId, crate::settings::EntryPlace)> + use<> {
    let me = app.settings.entry.clone();
    let entries = app.settings.entries.clone().into_iter();
    entries.filter(move |(name, _)| *name != me)
}
