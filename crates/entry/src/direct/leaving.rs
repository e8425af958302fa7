//! What this entry does for callers while it and others shut down.

use std::{sync, time};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use pimentohook_core::{leaving, routes, shutdown};
use pimentohook_wire::direct;
use rand::RngExt as _;

use super::{app, final_response, proxy};

/// How often an entry that shuts down looks whether it may end.
const END_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// What is known of other entries that are not ready, and of the times that requests take.
#[derive(Debug, Default)]
pub struct LeavingState {
    others: ArcSwap<leaving::Others>,
    times: ArcSwap<IndexMap<String, sync::Arc<leaving::Times>>>,
}

impl LeavingState {
    /// Returns what is known of the other entries.
    #[must_use]
    pub fn others(&self) -> sync::Arc<leaving::Others> {
        self.others.load_full()
    }

    /// Records whether another entry was ready at `at`.
    pub fn record_peer(&self, state: &direct::PeerState, at: time::Instant) {
        self.update(|others| others.record(&state.entry, state.ready, at));
    }

    /// Records that another entry is not heard of any more, last at `at`.
    pub fn record_lost(&self, entry: &str, at: time::Instant) {
        self.update(|others| others.record_lost(entry, at));
    }

    fn update<F>(&self, change: F)
    where
        F: Fn(&mut leaving::Others),
    {
        self.others.rcu(|others| {
            let mut others = leaving::Others::clone(others);
            change(&mut others);
            others
        });
    }

    /// Returns the times of the requests of a route.
    fn times(&self, route: &str) -> sync::Arc<leaving::Times> {
        if let Some(times) = self.times.load().get(route) {
            return times.clone();
        }
        self.times.rcu(|times| {
            let mut times = IndexMap::clone(times);
            times.entry(String::from(route)).or_default();
            times
        });
        let times = self.times.load();
        times.get(route).cloned().unwrap_or_default()
    }
}

/// Records the time of a request that has ended.
pub(super) fn record_time(app: &app::App, request: &proxy::ProxiedRequest) {
    let times = app.leaving.times(&request.route.name);
    times.record(request.arrived_at.elapsed());
}

/// Returns whether a request that arrives and may last until `deadline` is accepted; writes a line if
/// that is only because it is likely to end in time.
pub(super) fn accepts(
    app: &app::App,
    request: &str,
    route: &routes::Route,
    deadline: time::Instant,
) -> bool {
    let Some(shutdown) = app.shutdown.get() else {
        return true;
    };
    if shutdown.accepts(app.clock.now(), deadline) {
        return true;
    }
    let is_likely = is_likely_in_time(app, &shutdown, route);
    if is_likely {
        app.count("accepted_by_likely_time");
        log::info!(
            "proxy: event=accepted_by_likely_time request={request} route={} ready_entries={} \
             leaving_for_ms={}",
            route.name,
            app.leaving.others.load().ready_names().len(),
            shutdown.since.elapsed().as_millis()
        );
    }
    is_likely
}

/// Returns whether a request that was accepted may still be sent to an upstream.
pub(super) fn may_send(app: &app::App, request: &proxy::ProxiedRequest) -> bool {
    let Some(shutdown) = app.shutdown.get() else {
        return true;
    };
    shutdown.outlasts(request.own_deadline()) || is_likely_in_time(app, &shutdown, &request.route)
}

/// Returns whether a request of a route is likely to end in time, and too few other entries are ready
/// to take it.
fn is_likely_in_time(app: &app::App, shutdown: &shutdown::Shutdown, route: &routes::Route) -> bool {
    let now = app.clock.now();
    let held = leaving::held_for(app.settings.directory_ttl);
    if app.settings.leave_policy == leaving::Policy::ByDeadline
        || app.leaving.others.load().are_enough(held, now)
    {
        return false;
    }
    let kind = leaving::Kind::new(route.streaming, route.resumable, route.may_repeat());
    let times = app.leaving.times(&route.name);
    leaving::is_likely_in_time(shutdown, kind, &times, now)
}

/// Returns when the caller of a request that is refused because of the shutdown may come back.
pub(super) fn retry_after(app: &app::App) -> time::Duration {
    match (app.settings.leave_policy, app.shutdown.get()) {
        (leaving::Policy::ByLikelyTime, Some(shutdown)) => {
            let others = app.leaving.others.load();
            others.retry_after(&shutdown, app.clock.now(), rand::rng().random())
        }
        _ => final_response::RETRY_AFTER_SHUTDOWN,
    }
}

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
