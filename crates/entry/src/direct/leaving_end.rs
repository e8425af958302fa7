//! When this entry stops listening as it shuts down, and which entries the directory names meanwhile.

use std::{sync, time};

use pimentohook_core::{leaving, shutdown};
use pimentohook_wire::direct;

use super::{app, peers};

/// How often an entry that shuts down looks whether it may end.
const END_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A caller that connects, or has read a response, sends its request within this time.
const CONNECTION_QUIET: time::Duration = time::Duration::from_secs(1);

/// Returns the entries that the directory names, given those that are ready, and for how long.
pub(super) fn named_entries(
    app: &app::App,
    ready: &[direct::PeerState],
) -> (Vec<direct::PeerState>, time::Duration) {
    let (now, ttl) = (app.clock.now(), app.settings.directory_ttl);
    let others = app.leaving.others();
    let ready_names = ready.iter().map(|state| state.entry.clone()).collect();
    let (names, ttl) = if let Some(shutdown) = app.shutdown.get() {
        leaver(app, &shutdown, now).named(&others, ready_names, now)
    } else {
        let leaving = others.leaving(app.settings.shutdown_timeout, now);
        leaving::named(ready_names, &leaving, ttl)
    };
    let peers = app.peers.load();
    let state_of = |name: &String| {
        let is_own = *name == app.settings.entry;
        let peer = || peers.get(name).map(|peer| peer.state.clone());
        if is_own {
            Some(app.peer_state())
        } else {
            peer()
        }
    };
    (names.iter().filter_map(state_of).collect(), ttl)
}

fn leaver<'a>(
    app: &'a app::App,
    shutdown: &'a shutdown::Shutdown,
    named_at: time::Instant,
) -> leaving::Leaver<'a> {
    leaving::Leaver {
        entry: &app.settings.entry,
        shutdown,
        named_at,
        ttl: app.settings.directory_ttl,
        connection_count: app.holdings.connections.in_use_count(CONNECTION_QUIET),
    }
}

/// Waits until this entry may stop listening; returns what it waited for last.
///
/// The others are told again that it shuts down, so that it learns when no directory names it as ready.
pub(super) async fn until_end(
    app: &sync::Arc<app::App>,
    shutdown: &shutdown::Shutdown,
) -> leaving::WaitsFor {
    let closes_at = shutdown.closes_at();
    let mut last = leaving::WaitsFor::Delay;
    if app.settings.leave_policy == leaving::Policy::ByDeadline {
        tokio::time::sleep_until(closes_at.into()).await;
        return last;
    }
    tokio::spawn(tell_again(app.clone()));
    let mut named_in_turn_at = shutdown.since;
    while app.clock.now() < closes_at {
        let now = app.clock.now();
        let others = app.leaving.others();
        let known_at = app.leaving.known_at().unwrap_or(shutdown.since);
        let mut leaver = leaver(app, shutdown, known_at.max(named_in_turn_at));
        let (named, _) = leaver.named(&others, others.ready_names(), now);
        if named.contains(&app.settings.entry) {
            named_in_turn_at = now;
            leaver.named_at = known_at.max(now);
        }
        match leaver.waits_for(&others, now) {
            leaving::WaitsFor::Nothing => break,
            waits_for => last = waits_for,
        }
        let next_at = closes_at.min(now + END_CHECK_INTERVAL);
        tokio::time::sleep_until(next_at.into()).await;
    }
    last
}

/// Tells all others again that this entry shuts down, once nothing from before can arrive.
async fn tell_again(app: sync::Arc<app::App>) {
    if let Some(tells_again_at) = app.leaving.tells_again_at() {
        tokio::time::sleep_until(tells_again_at.into()).await;
        peers::announce(&app).await;
    }
}
