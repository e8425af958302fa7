//! The other entries: found through the store, the seeds and each other, kept by heartbeats.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::Response;
use indexmap::IndexMap;
use pimentohook_platform::store;
use pimentohook_runtime::server;
use pimentohook_wire::direct;
use rand::seq::IndexedRandom as _;
use tokio::time as tokio_time;

use super::app;

const HEARTBEAT_EVERY: time::Duration = time::Duration::from_millis(500);
const HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Entries called in each round; with more of them, each hears of the others through these.
const FANOUT: usize = 6;
/// Other entries that an answer tells of.
const KNOWN_MAX: usize = 8;
/// An entry that was silent for this long is left out of the directory.
const SILENCE_MAX: time::Duration = time::Duration::from_millis(2_500);
const MESSAGE_MAX_BYTES: usize = 1 << 16;

/// Keeps in touch with the other entries until the process ends.
pub async fn run(app: sync::Arc<app::App>) {
    let mut registered = false;
    loop {
        if !registered && !app.is_leaving() {
            registered = register(&app).await;
        }
        for address in targets(&app) {
            tokio::spawn(call(app.clone(), address));
        }
        tokio_time::sleep(HEARTBEAT_EVERY).await;
        drop_silent(&app);
        app.fit_idle_connections();
    }
}

/// Tells all known entries at once how this one stands.
pub async fn announce(app: &sync::Arc<app::App>) {
    let calls = targets(app).into_iter().map(|one| call(app.clone(), one));
    futures_util::future::join_all(calls).await;
}

/// Writes this entry into the store; false where that has to be tried again.
async fn register(app: &app::App) -> bool {
    let state = app.peer_state();
    let name = &app.settings.entry;
    let written = match app.store.get(store::Kind::Entries, name).await {
        Ok(Some(object)) if serde_json::from_str(&object.content).ok().as_ref() == Some(&state) => {
            Ok(())
        }
        Ok(Some(object)) => {
            app.store
                .replace(store::Kind::Entries, name, object.revision, &state)
                .await
        }
        Ok(None) => app.store.create(store::Kind::Entries, name, &state).await,
        Err(error) => Err(error),
    };
    match &written {
        Ok(()) => log::info!("peers: event=registered name={name}"),
        Err(error) => log::warn!("peers: event=register_failed name={name} error={error:?}"),
    }
    written.is_ok()
}

/// Takes this entry out of the store; one that stays there is found silent.
pub async fn unregister(app: &app::App) {
    let name = &app.settings.entry;
    let removed = match app.store.get(store::Kind::Entries, name).await {
        Ok(Some(object)) => {
            app.store
                .remove(store::Kind::Entries, name, object.revision)
                .await
        }
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    if let Err(error) = removed {
        log::warn!("peers: event=unregister_failed name={name} error={error:?}");
    }
}

/// Returns whom to call: some of the entries that are registered, known or seeds.
fn targets(app: &app::App) -> Vec<std::net::SocketAddr> {
    let mut addresses = indexmap::IndexSet::new();
    let registered = app.known(store::Kind::Entries).collection();
    for (name, object) in registered.objects() {
        match serde_json::from_str::<direct::PeerState>(&object.content) {
            Ok(state) => {
                addresses.insert(state.peers);
            }
            Err(error) => {
                log::debug!("peers: event=entry_unreadable name={name} error={error:?}");
            }
        }
    }
    addresses.extend(app.peers.load().values().map(|peer| peer.state.peers));
    addresses.extend(&app.settings.seeds);
    addresses.shift_remove(&app.settings.peers);
    let all: Vec<_> = addresses.into_iter().collect();
    all.sample(&mut rand::rng(), FANOUT).copied().collect()
}

async fn call(app: sync::Arc<app::App>, address: std::net::SocketAddr) {
    let request = direct::PeerRequest {
        peer: app.peer_state(),
        configuration: app.configuration(),
    };
    let sent = app
        .own
        .call(address, direct::PEER_PATH, &request, HEARTBEAT_TIMEOUT)
        .await;
    let reply: direct::PeerReply = match sent {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!("peers: event=no_answer address={address} error={error:?}");
            return;
        }
    };
    record(&app, &reply.peer, time::Duration::ZERO);
    app.record_configuration(reply.configuration);
    for known in &reply.known {
        record(&app, &known.peer, time::Duration::from_millis(known.age_ms));
    }
}

/// Takes in what an entry said of itself `age` ago, unless something newer is known.
fn record(app: &app::App, state: &direct::PeerState, age: time::Duration) {
    let Some(heard_at) = app.clock.now().checked_sub(age) else {
        return;
    };
    let known = app.peers.load();
    let before = known.get(&state.entry);
    let is_newer = before.is_none_or(|before| before.heard_at < heard_at);
    if state.entry == app.settings.entry || age > SILENCE_MAX || !is_newer {
        return;
    }
    if before.is_none_or(|before| before.state != *state) {
        log::info!(
            "peers: event=heard entry={} callers={} ready={} age_ms={}",
            state.entry,
            state.callers,
            state.ready,
            age.as_millis()
        );
    }
    app.peers.rcu(|peers| {
        let mut peers = IndexMap::clone(peers);
        let state = state.clone();
        let peer = app::Peer { state, heard_at };
        peers.insert(peer.state.entry.clone(), peer);
        peers
    });
}

fn drop_silent(app: &app::App) {
    let now = app.clock.now();
    let silent = |peer: &app::Peer| now.duration_since(peer.heard_at) > SILENCE_MAX;
    if !app.peers.load().values().any(silent) {
        return;
    }
    app.peers.rcu(|peers| {
        let mut peers = IndexMap::clone(peers);
        peers.retain(|name, peer| {
            let kept = !silent(peer);
            if !kept {
                log::info!("peers: event=lost entry={name}");
            }
            kept
        });
        peers
    });
}

/// Handles another entry's heartbeat.
pub async fn answer(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: direct::PeerRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    record(&app, &request.peer, time::Duration::ZERO);
    app.record_configuration(request.configuration);
    let reply = direct::PeerReply {
        peer: app.peer_state(),
        configuration: app.configuration(),
        known: known_peers(&app),
    };
    server::respond_message(&reply)
}

fn known_peers(app: &app::App) -> Vec<direct::KnownPeer> {
    let now = app.clock.now();
    let known = |peer: &app::Peer| direct::KnownPeer {
        peer: peer.state.clone(),
        age_ms: u64::try_from(now.duration_since(peer.heard_at).as_millis()).unwrap_or(u64::MAX),
    };
    let peers = app.peers.load();
    let all: Vec<_> = peers.values().collect();
    let told = all.sample(&mut rand::rng(), KNOWN_MAX).copied();
    told.map(known).collect()
}
