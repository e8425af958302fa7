//! Which upstreams are cold by their registrations, and what this entry sends to cold engines whose
//! agents it can't reach.

use std::{sync, time};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use pimentohook_core::{cold, routes, upstreams};
use pimentohook_platform::store;

use super::{app, restored};

/// The listed upstreams, by instance.
#[derive(Debug, Default)]
pub struct ColdUpstreams {
    by_instance: ArcSwap<IndexMap<String, sync::Arc<KnownUpstream>>>,
}

/// What is known of an upstream of which one incarnation was listed.
#[derive(Debug)]
struct KnownUpstream {
    started_unix_ms: Option<u64>,
    registered: cold::Registered,
    /// What this entry has sent without asking the agent.
    unwatched: sync::Arc<sync::Mutex<cold::SentRequests>>,
}

impl ColdUpstreams {
    /// Records the listed upstreams.
    pub fn record_listed(&self, now: time::Instant, listed: &[upstreams::Upstream]) {
        let before = self.by_instance.load();
        let known = |upstream: &upstreams::Upstream| {
            let known = before.get(&upstream.instance);
            let same = known.filter(|known| known.started_unix_ms == upstream.started_unix_ms);
            let registered = same.map(|known| known.registered);
            let known = KnownUpstream {
                started_unix_ms: upstream.started_unix_ms,
                registered: cold::Registered::after(registered, now, upstream.cold_remaining),
                unwatched: same.map_or_else(
                    || sync::Arc::new(sync::Mutex::new(cold::SentRequests::new(now))),
                    |known| known.unwatched.clone(),
                ),
            };
            (upstream.instance.clone(), sync::Arc::new(known))
        };
        let after = listed.iter().map(known).collect();
        self.by_instance.store(sync::Arc::new(after));
    }

    /// Returns how much longer an upstream is cold by its registration.
    #[must_use]
    pub fn remaining(&self, now: time::Instant, instance: &str) -> time::Duration {
        let by_instance = self.by_instance.load();
        let known = by_instance.get(instance);
        known.map_or(time::Duration::ZERO, |known| {
            known.registered.remaining(now)
        })
    }
}

/// Returns how much longer an engine is cold, as its agent is told.
#[must_use]
pub fn remaining_ms(app: &app::App, instance: &str) -> u32 {
    let cold = &app.upstream_limits.cold;
    let remaining = cold.remaining(app.clock.now(), instance);
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
}

/// Returns whether a request may be sent to an engine without asking its agent, as far as the engine
/// may be cold, and counts it.
///
/// An entry that doesn't know the current registrations takes every engine as cold.
#[must_use]
pub fn admits_unwatched(app: &app::App, candidate: &app::Candidate) -> bool {
    let upstream = &candidate.upstream;
    let table = app.table.load();
    let service = table
        .as_ref()
        .and_then(|table| table.services.get(&upstream.service));
    let Some(limit) = service.and_then(|service| service.cold) else {
        return true;
    };
    let now = app.clock.now();
    let known = app.upstream_limits.cold.by_instance.load();
    let Some(known) = known.get(&upstream.instance) else {
        return false;
    };
    let ceiling = unwatched_ceiling(app, &upstream.instance, &limit);
    let mut unwatched = known
        .unwatched
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner);
    unwatched.forget(now, ceiling);
    let is_cold = !known.registered.remaining(now).is_zero() || !knows_registrations(app, &limit);
    if is_cold && unwatched.wait(now, ceiling).is_some() {
        app.count("cold_denied");
        return false;
    }
    unwatched.record(now);
    true
}

/// Returns whether an instance that had become cold would be known to be.
fn knows_registrations(app: &app::App, limit: &routes::ColdLimit) -> bool {
    let age = app.cached(store::Kind::Upstreams).age(app.clock.boot_now());
    age.is_some_and(|age| age < limit.duration)
}

fn unwatched_ceiling(app: &app::App, instance: &str, limit: &routes::ColdLimit) -> cold::Ceiling {
    let own = app.settings.entry.as_str();
    let registered = restored::registered_entries(app);
    let peers = app.peers.load();
    let mut entries: indexmap::IndexSet<&str> = registered.iter().map(String::as_str).collect();
    entries.extend(peers.keys().map(String::as_str));
    entries.insert(own);
    cold::Ceiling::of_unwatched(limit, instance, own, entries)
}
