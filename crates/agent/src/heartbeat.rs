//! Heartbeats to entries: they report the agent's state and return configuration, peers and grants.

use std::{net, sync, time};

use pimentohook_core::{burst::downloader, intent};
use pimentohook_runtime::process;
use pimentohook_wire::messages;

use crate::{app, mutex::lock};

const DOWNLOADING_INTERVAL_DIVISOR: u32 = 4;
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Sends heartbeats to one entry until the agent stops.
pub async fn run(app: sync::Arc<app::App>, entry: net::SocketAddr, stop: process::StopSignal) {
    let mut is_reachable = true;
    let mut trigger = app.heartbeat_trigger();
    loop {
        let heartbeat = messages::Heartbeat {
            report: app.report(),
        };
        let call = app
            .client
            .call(entry, "/v1/heartbeats", &heartbeat, CALL_TIMEOUT);
        let reply: Result<messages::HeartbeatReply, _> = call.await;
        match reply {
            Ok(reply) => {
                if !is_reachable {
                    log::info!("heartbeat: entry {entry} is reachable again.");
                }
                is_reachable = true;
                apply(&app, reply);
            }
            Err(error) => {
                if is_reachable {
                    log::warn!("heartbeat: {error}.");
                }
                is_reachable = false;
                app.client.drop_idle_connections();
            }
        }
        tokio::select! {
            is_running = stop.sleep(interval(&app)) => if !is_running {
                return;
            },
            _ = trigger.changed() => {}
        }
    }
}

/// Returns the interval of heartbeats, which is shorter while weights are downloaded so that the
/// duty holder and peers learn of new chunks sooner.
fn interval(app: &app::App) -> time::Duration {
    let interval = app.settings.heartbeat_every;
    if app.transfers.is_downloading() {
        interval / DOWNLOADING_INTERVAL_DIVISOR
    } else {
        interval
    }
}

fn apply(app: &app::App, reply: messages::HeartbeatReply) {
    if let Some(config) = reply.config {
        apply_config(app, &config);
    }
    if let Some(fencing) = reply.fencing {
        lock(&app.activation).record_fencing(fencing);
    }
    if reply.leaving {
        app.start_draining();
    }
    let Some(manifest) = reply.manifest else {
        return;
    };
    for peer in reply.peers {
        let info = downloader::PeerInfo {
            address: peer.address,
            failure_domain: peer.failure_domain,
            held: peer.held,
            uploaded_count: peer.given_count,
        };
        app.transfers.record_peer(manifest, peer.vm, info);
    }
    for grant in reply.grants {
        app.transfers
            .record_grant(manifest, grant.chunk, grant.serial);
    }
}

fn apply_config(app: &app::App, received: &intent::Config) {
    app.config.rcu(|present| {
        let mut config = intent::Config::clone(present);
        intent::commands::accept(&mut config, received);
        config
    });
    app.notify_entries();
    log::info!("heartbeat: configuration {} is in force.", received.version);
}
