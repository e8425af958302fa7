//! When this entry stops listening as it shuts down, and which entries the directory names meanwhile.

use std::time;

use pimentohook_core::{leaving, shutdown};
use pimentohook_wire::direct;

use super::app;

/// How often an entry that shuts down looks whether it may end.
const END_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

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
        connection_count: app.holdings.connections.open_count(),
    }
}

/// Waits until this entry may stop listening; returns what it waited for last.
///
/// `named_at` is when a directory named it last, apart from entries that shut down.
pub(super) async fn until_end(
    app: &app::App,
    shutdown: &shutdown::Shutdown,
    mut named_at: time::Instant,
) -> leaving::WaitsFor {
    let closes_at = shutdown.closes_at();
    let mut last = leaving::WaitsFor::Delay;
    if app.settings.leave_policy == leaving::Policy::ByDeadline {
        tokio::time::sleep_until(closes_at.into()).await;
        return last;
    }
    while app.clock.now() < closes_at {
        let now = app.clock.now();
        let others = app.leaving.others();
        let mut leaver = leaver(app, shutdown, named_at);
        let (named, _) = leaver.named(&others, others.ready_names(), now);
        if named.contains(&app.settings.entry) {
            named_at = named_at.max(now);
            leaver.named_at = named_at;
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
