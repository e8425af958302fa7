//! The configuration in force: watched at the platform, or taken from a peer that is ahead.

use std::{net, sync, sync::atomic, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_core::intent;
use pimentohook_platform::objects;
use pimentohook_runtime::{process, server};
use rand::RngExt as _;

use crate::{app, peers};

/// The name of the configuration's object.
pub const CONFIG_OBJECT: &str = "config";

const WATCH_WAIT: time::Duration = time::Duration::from_secs(10);
const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 3_000;

/// Follows the configuration until the entry stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    let mut backoff_ms = BACKOFF_MIN_MS;
    while !stop.is_set() {
        let after = app.config_object_version.load(atomic::Ordering::SeqCst);
        let watch = app.watch.watch(CONFIG_OBJECT, after, WATCH_WAIT);
        let watched = tokio::select! {
            watched = watch => watched,
            () = stop.wait() => return,
        };
        match watched {
            Ok(changed) => {
                app.record_platform(true);
                backoff_ms = BACKOFF_MIN_MS;
                if let Some(changed) = changed {
                    take(&app, &changed);
                }
            }
            Err(error) => {
                app.record_platform(false);
                log::debug!("configuration: {error}.");
                // The pause is drawn at random, so that entries don't come back all at once.
                let pause_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
                stop.sleep(time::Duration::from_millis(pause_ms)).await;
                backoff_ms = (backoff_ms * 2).min(BACKOFF_MAX_MS);
            }
        }
    }
}

/// Takes in the configuration as the platform has it.
pub fn take(app: &app::App, object: &objects::Versioned<intent::Config>) {
    app.config_object_version
        .fetch_max(object.version, atomic::Ordering::SeqCst);
    accept(app, &object.value);
}

/// Puts a configuration in force if it is newer.
fn accept(app: &app::App, offered: &intent::Config) {
    let before = app.config.rcu(|present| {
        let mut config = intent::Config::clone(present);
        intent::commands::accept(&mut config, offered);
        config
    });
    if offered.version > before.version {
        log::info!("configuration: {} is in force.", offered.version);
    }
}

/// Takes the configuration of an entry that is ahead.
pub async fn fetch_from_peer(app: &app::App, address: net::SocketAddr) {
    if let Some(config) = peers::get::<intent::Config>(app, address, "/v1/config").await {
        accept(app, &config);
    }
}

/// Handles the question of another entry.
pub async fn present(app: sync::Arc<app::App>, _call: server::Call) -> Response<Body> {
    server::respond_json(StatusCode::OK, &**app.config.load())
}
