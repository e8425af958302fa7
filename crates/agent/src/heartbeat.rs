//! Heartbeats: what the agent tells an entry, and what it learns in answer.

use std::{net, sync, time};

use pimentohook_core::{burst::downloader, intent};
use pimentohook_runtime::process;
use pimentohook_wire::messages;

use crate::app::{self, lock};

const UNDER_WAY_SHARE: u32 = 4;
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Sends heartbeats to one entry until the agent stops.
pub async fn run(app: sync::Arc<app::App>, entry: net::SocketAddr, stop: process::StopSignal) {
    let mut reachable = true;
    let mut news = app.news();
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
                if !reachable {
                    log::info!("heartbeat: entry {entry} answers again.");
                }
                reachable = true;
                apply(&app, reply);
            }
            Err(error) => {
                if reachable {
                    log::warn!("heartbeat: {error}.");
                }
                reachable = false;
                app.client.drop_idle_connections();
            }
        }
        tokio::select! {
            awake = stop.sleep(pause(&app)) => if !awake {
                return;
            },
            _ = news.changed() => {}
        }
    }
}

/// While weights come in, peers and the duty's holder hear of them sooner.
fn pause(app: &app::App) -> time::Duration {
    let every = app.settings.heartbeat_every;
    if app.transfers.is_under_way() {
        every / UNDER_WAY_SHARE
    } else {
        every
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
        app.leave();
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

fn apply_config(app: &app::App, offered: &intent::Config) {
    app.config.rcu(|present| {
        let mut config = intent::Config::clone(present);
        intent::commands::accept(&mut config, offered);
        config
    });
    app.tell_entries();
    log::info!("heartbeat: configuration {} is in force.", offered.version);
}
