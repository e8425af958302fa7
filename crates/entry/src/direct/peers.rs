//! Discovers the other entries through the store, the seeds and each other, and exchanges
//! heartbeats with them.

use std::{sync, time};

use futures_util::{StreamExt as _, stream};
use gotham::helpers::http::Body;
use hyper::Response;
use indexmap::IndexMap;
use pimentohook_core::{announcement, carryover, id, routes};
use pimentohook_platform::{skipped, store};
use pimentohook_runtime::server;
use pimentohook_wire::direct;
use rand::seq::IndexedRandom as _;
use tokio::time as tokio_time;

use super::{app, crash_evidence, weights_versions};

const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
pub(super) const HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// The number of entries that get a heartbeat in each round; if there are more, the replies report
/// the others.
const HEARTBEAT_FANOUT: usize = 6;
/// The number of entries that an announcement is sent to at the same time.
const CONCURRENT_ANNOUNCEMENTS_MAX: usize = 64;
/// The number of other entries that a heartbeat reply reports.
const REPORTED_PEERS_MAX: usize = 8;
/// An entry that was last seen longer ago than this is removed from the directory.
pub(super) const HEARTBEAT_LOSS_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
const MESSAGE_MAX_BYTES: usize = 1 << 16;
/// How much each entry adds to the time over which all register again in a restored store.
const REGISTRATION_SPREAD_PER_ENTRY: time::Duration = time::Duration::from_millis(5);

/// The registration of this entry in the store.
struct Registration {
    /// The era of the store in which the entry registered; `None` until it has.
    era: Option<id::StoreEra>,
    due_at: time::Instant,
}

impl Registration {
    /// Registers the entry if that is due: at its start, and when the store was restored.
    async fn renew(&mut self, app: &app::App) {
        let era = app.store.era();
        let now = app.clock.now();
        if self.era.is_some_and(|registered_in| registered_in != era) {
            self.era = None;
            self.due_at = now
                + carryover::spread(
                    app.entry_count(),
                    REGISTRATION_SPREAD_PER_ENTRY,
                    rand::random(),
                );
        }
        let is_due = self.era.is_none() && now >= self.due_at;
        if is_due && !app.is_shutting_down() {
            self.era = register(app).await;
        }
    }
}

/// Exchanges heartbeats with the other entries until the process exits.
pub async fn run(app: sync::Arc<app::App>) {
    let mut registration = Registration {
        era: None,
        due_at: app.clock.now(),
    };
    loop {
        registration.renew(&app).await;
        send_heartbeats(&app);
        tokio_time::sleep(HEARTBEAT_INTERVAL).await;
        remove_lost(&app);
        limit_idle_connections(&app);
    }
}

/// Limits the idle connections to upstreams to what their connection limits allow.
fn limit_idle_connections(app: &app::App) {
    let Some(table) = app.table.load_full() else {
        return;
    };
    // Requests are never sent to the origin.
    let services = table.services.values();
    let services = services.filter(|service| service.origin.is_none());
    if let Some(connections_min) = services.filter_map(|service| service.connections_max).min() {
        let idle_max = routes::idle_connections(connections_min, app.entry_count());
        app.upstreams.set_idle_max(idle_max as usize);
    }
}

/// Sends a heartbeat to a sample of the other entries.
pub fn send_heartbeats(app: &sync::Arc<app::App>) {
    for address in heartbeat_targets(app) {
        tokio::spawn(send_heartbeat(app.clone(), address));
    }
}

/// Sends the state of this entry to all other entries immediately.
///
/// Entries that could not be reached in time learn it from heartbeats.
pub async fn announce(app: &sync::Arc<app::App>) {
    let addresses = peer_addresses(app);
    let count = addresses.len();
    let calls = addresses
        .into_iter()
        .map(|address| send_heartbeat(app.clone(), address));
    let calls = stream::iter(calls).buffer_unordered(CONCURRENT_ANNOUNCEMENTS_MAX);
    let announced = tokio_time::timeout(HEARTBEAT_TIMEOUT, calls.collect::<Vec<()>>()).await;
    log::info!(
        "peers: event=announced entries={count} in_time={}",
        announced.is_ok()
    );
}

/// Registers this entry in the store; returns the era in which it is registered, or `None` if that
/// has to be retried.
async fn register(app: &app::App) -> Option<id::StoreEra> {
    let state = app.peer_state();
    let name = &app.settings.entry;
    let registered = app.store.get(store::Kind::Entries, name).await;
    let era = app.store.era();
    let written = match registered {
        Ok(Some(object)) if serde_json::from_str(&object.content).ok().as_ref() == Some(&state) => {
            Ok(())
        }
        Ok(Some(object)) => {
            app.store
                .replace(store::Kind::Entries, name, object.position, &state)
                .await
        }
        Ok(None) => app.store.create(store::Kind::Entries, name, &state).await,
        Err(error) => Err(error),
    };
    match &written {
        Ok(()) => log::info!("peers: event=registered name={name}"),
        Err(error) => log::warn!("peers: event=register_failed name={name} error={error:?}"),
    }
    written.is_ok().then_some(era)
}

/// Removes this entry from the store; if that fails, other entries notice its missing heartbeats.
pub async fn unregister(app: &app::App) {
    let name = &app.settings.entry;
    let removed = match app.store.get(store::Kind::Entries, name).await {
        Ok(Some(object)) => {
            app.store
                .remove(store::Kind::Entries, name, object.position)
                .await
        }
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    if let Err(error) = removed {
        log::warn!("peers: event=unregister_failed name={name} error={error:?}");
    }
}

/// Returns the addresses for a round of heartbeats, a sample of all other entries.
fn heartbeat_targets(app: &app::App) -> Vec<std::net::SocketAddr> {
    peer_addresses(app)
        .sample(&mut rand::rng(), HEARTBEAT_FANOUT)
        .copied()
        .collect()
}

/// Returns the addresses of the other entries that are registered, known or seeds.
fn peer_addresses(app: &app::App) -> Vec<std::net::SocketAddr> {
    let mut addresses = indexmap::IndexSet::new();
    let registered = app.cached(store::Kind::Entries).collection();
    for (name, object) in registered.objects() {
        match serde_json::from_str::<direct::PeerState>(&object.content) {
            Ok(state) => {
                addresses.insert(state.peers);
            }
            Err(error) => {
                if app
                    .store
                    .skipped()
                    .record(store::Kind::Entries, name, object)
                {
                    log::warn!(
                        "peers: event=entry_unreadable name={name} error={}",
                        skipped::shortened(&error)
                    );
                }
            }
        }
    }
    addresses.extend(app.peers.load().values().map(|peer| peer.state.peers));
    addresses.extend(&app.settings.seeds);
    addresses.shift_remove(&app.settings.peers);
    addresses.into_iter().collect()
}

async fn send_heartbeat(app: sync::Arc<app::App>, address: std::net::SocketAddr) {
    let request = direct::PeerRequest {
        peer: app.peer_state(),
        configuration: app.configuration_version(),
        announced: app.announced.report(),
        prompt_evidence: crash_evidence::report(&app),
    };
    let requested_at = app.clock.boot_now();
    let sent_at = app.clock.now();
    let result = app
        .internal
        .call(address, direct::PEER_PATH, &request, HEARTBEAT_TIMEOUT)
        .await;
    if app
        .peers
        .load()
        .values()
        .any(|peer| peer.state.peers == address)
    {
        app.upstream_limits.record_heartbeat(result.is_ok());
    }
    let reply: direct::PeerReply = match result {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!("peers: event=no_answer address={address} error={error:?}");
            return;
        }
    };
    record_peer(&app, &reply.peer, time::Duration::ZERO);
    let now = app.clock.now();
    app.leaving.record_response(&reply.peer.entry, sent_at, now);
    app.record_peer_configuration(&reply.peer, reply.configuration);
    let heard = announcement::Heard::InReply {
        requested_at,
        now: app.clock.boot_now(),
    };
    weights_versions::merge(&app, &reply.peer.entry, &reply.announced, heard);
    crash_evidence::merge(&app, &reply.peer.entry, &reply.prompt_evidence);
    // Counted from the request, so that no entry looks younger each time that it is passed on.
    for known in &reply.known {
        let age = time::Duration::from_millis(known.age_ms);
        record_peer(
            &app,
            &known.peer,
            age + app.clock.now().duration_since(sent_at),
        );
    }
}

/// Records the state that an entry had `age` ago, unless a newer one is known.
fn record_peer(app: &app::App, state: &direct::PeerState, age: time::Duration) {
    let Some(last_seen_at) = app.clock.now().checked_sub(age) else {
        return;
    };
    let peers = app.peers.load();
    let previous = peers.get(&state.entry);
    let is_newer = previous.is_none_or(|previous| previous.last_seen_at < last_seen_at);
    if state.entry == app.settings.entry || age > HEARTBEAT_LOSS_TIMEOUT || !is_newer {
        return;
    }
    if previous.is_none_or(|previous| previous.state.ready != state.ready) {
        app.leaving.record_peer(state, last_seen_at);
    }
    if previous.is_none_or(|previous| previous.state != *state) {
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
        let peer = app::Peer {
            state,
            last_seen_at,
        };
        peers.insert(peer.state.entry.clone(), peer);
        peers
    });
}

fn remove_lost(app: &app::App) {
    let now = app.clock.now();
    let is_lost = |peer: &app::Peer| now.duration_since(peer.last_seen_at) > HEARTBEAT_LOSS_TIMEOUT;
    if !app.peers.load().values().any(is_lost) {
        return;
    }
    for (name, peer) in app.peers.load().iter().filter(|(_, peer)| is_lost(peer)) {
        app.leaving.record_lost(name, peer.last_seen_at);
    }
    app.peers.rcu(|peers| {
        let mut peers = IndexMap::clone(peers);
        peers.retain(|name, peer| {
            let is_live = !is_lost(peer);
            if !is_live {
                log::info!("peers: event=lost entry={name}");
            }
            is_live
        });
        peers
    });
}

/// Handles another entry's heartbeat.
pub async fn handle_heartbeat(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: direct::PeerRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    record_peer(&app, &request.peer, time::Duration::ZERO);
    app.record_peer_configuration(&request.peer, request.configuration);
    let now = app.clock.boot_now();
    let heard = announcement::Heard::InRequest { now };
    weights_versions::merge(&app, &request.peer.entry, &request.announced, heard);
    crash_evidence::merge(&app, &request.peer.entry, &request.prompt_evidence);
    let reply = direct::PeerReply {
        peer: app.peer_state(),
        configuration: app.configuration_version(),
        known: known_peers(&app),
        announced: app.announced.report(),
        prompt_evidence: crash_evidence::report(&app),
    };
    server::respond_message(&reply)
}

fn known_peers(app: &app::App) -> Vec<direct::KnownPeer> {
    let now = app.clock.now();
    let report = |peer: &app::Peer| direct::KnownPeer {
        peer: peer.state.clone(),
        age_ms: u64::try_from(now.duration_since(peer.last_seen_at).as_millis())
            .unwrap_or(u64::MAX),
    };
    let peers = app.peers.load();
    let all: Vec<_> = peers.values().collect();
    let reported = all.sample(&mut rand::rng(), REPORTED_PEERS_MAX).copied();
    reported.map(report).collect()
}
