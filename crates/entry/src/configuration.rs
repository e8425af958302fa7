//! The configuration in force, watched at the platform or fetched from another entry that is ahead.

use std::{net, sync, sync::atomic, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_core::intent;
use pimentohook_platform::objects;
use pimentohook_runtime::{process, server};
use rand::RngExt as _;

use crate::{app, peer_client};

/// The name of the configuration's object.
pub const CONFIG_OBJECT: &str = "config";

const WATCH_WAIT: time::Duration = time::Duration::from_secs(10);
const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 3_000;

/// Watches the configuration at the platform until the entry stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    let mut backoff_ms = BACKOFF_MIN_MS;
    while !stop.is_set() {
        let after = app.config_object_version.load(atomic::Ordering::SeqCst);
        let watch = app.watch_objects.watch(CONFIG_OBJECT, after, WATCH_WAIT);
        let watched = tokio::select! {
            watched = watch => watched,
            () = stop.wait() => return,
        };
        match watched {
            Ok(changed) => {
                app.record_platform_reachable(true);
                backoff_ms = BACKOFF_MIN_MS;
                if let Some(changed) = changed {
                    apply_object(&app, &changed);
                }
            }
            Err(error) => {
                app.record_platform_reachable(false);
                log::debug!("configuration: watch at the platform failed: {error}.");
                // Jitter keeps the entries from retrying at the same time.
                let pause_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
                stop.sleep(time::Duration::from_millis(pause_ms)).await;
                backoff_ms = (backoff_ms * 2).min(BACKOFF_MAX_MS);
            }
        }
    }
}

/// Applies the configuration that the platform has.
pub fn apply_object(app: &app::App, object: &objects::Versioned<intent::Config>) {
    app.config_object_version
        .fetch_max(object.version, atomic::Ordering::SeqCst);
    apply(app, &object.value);
}

/// Puts a configuration in force if it is newer than the current one.
fn apply(app: &app::App, candidate: &intent::Config) {
    let previous = app.config.rcu(|current| {
        let mut config = intent::Config::clone(current);
        intent::commands::accept(&mut config, candidate);
        config
    });
    if candidate.version > previous.version {
        log::info!("configuration: version {} is in force.", candidate.version);
    }
}

/// Fetches the configuration from another entry that is ahead.
pub async fn fetch_from_peer(app: &app::App, address: net::SocketAddr) {
    if let Some(config) = peer_client::get::<intent::Config>(app, address, "/v1/config").await {
        apply(app, &config);
    }
}

/// Handles another entry's request for the configuration.
pub async fn current(app: sync::Arc<app::App>, _call: server::Call) -> Response<Body> {
    server::respond_json(StatusCode::OK, &**app.config.load())
}
