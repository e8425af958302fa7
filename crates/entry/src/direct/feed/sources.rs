//! The sources that an entry may follow: the store and the relays.

use std::time;

use pimentohook_core::relay;
use pimentohook_platform::store;
use pimentohook_wire::direct;
use tokio::time as tokio_time;

use crate::direct::app;

/// How long an entry that has just started waits for other entries before it chooses a source.
const PEER_DISCOVERY_TIMEOUT: time::Duration = time::Duration::from_millis(60);
const PEER_DISCOVERY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Waits until another entry is known, up to a timeout.
pub(super) async fn wait_for_peers(app: &app::App) {
    let peer_found = async {
        while app.peers.load().is_empty() {
            tokio_time::sleep(PEER_DISCOVERY_POLL_INTERVAL).await;
        }
    };
    if tokio_time::timeout(PEER_DISCOVERY_TIMEOUT, peer_found)
        .await
        .is_err()
    {
        log::info!("feed: event=nobody_heard");
    }
}

fn ready_peers(app: &app::App) -> Vec<relay::RelayCandidate> {
    let peers = app.peers.load();
    let ready = peers.values().filter(|peer| peer.state.ready);
    ready.map(|peer| relay_candidate(&peer.state)).collect()
}

/// Returns whether this entry follows the store rather than a relay.
pub(super) fn is_relay(app: &app::App) -> bool {
    let order = relay::source_order(&relay_candidate(&app.peer_state()), &ready_peers(app));
    order.first() == Some(&relay::Source::Store)
}

/// Returns the sources for a kind in order of preference.
pub(super) fn order(app: &app::App, kind: store::Kind) -> Vec<relay::Source> {
    let mut order = relay::source_order(&relay_candidate(&app.peer_state()), &ready_peers(app));
    if kind == store::Kind::Weights {
        order.retain(|source| *source != relay::Source::Store);
        order.insert(0, relay::Source::Store);
    }
    order
}

fn relay_candidate(state: &direct::PeerState) -> relay::RelayCandidate {
    relay::RelayCandidate {
        name: state.entry.clone(),
        region: state.region.clone(),
        link_rate: state.link_rate,
        is_settled: state.is_settled,
    }
}
