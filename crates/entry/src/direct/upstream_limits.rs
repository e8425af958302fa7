//! The limits that upstreams name in their responses, and what this entry believes of them.
//!
//! Only upstreams that have named a limit are tracked. They are identified by their instance and
//! not by their place in the list of upstreams, so that a limit outlasts a gap in the list and a
//! restart of the upstream under its id.

use std::{sync, sync::atomic, time};

use arc_swap::ArcSwap;
use hyper::HeaderMap;
use indexmap::{IndexMap, IndexSet};
use pimentohook_core::upstream_limit::{belief, fleet, rate};
use pimentohook_platform::{request, store};
use pimentohook_wire::direct;

use super::{app, cold_upstreams, limited_upstream::LimitedUpstream, restored};

/// The upstreams that have named a limit, by instance.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    by_instance: ArcSwap<IndexMap<String, sync::Arc<LimitedUpstream>>>,
    /// The entries that may be coordinators.
    coordinators: ArcSwap<Vec<String>>,
    shares: ArcSwap<fleet::Shares>,
    fleet: sync::Mutex<fleet::Fleet>,
    /// The upstreams that are cold.
    pub cold: cold_upstreams::ColdUpstreams,
    /// 0 while the registrations have not been read.
    entry_count: atomic::AtomicU32,
    heartbeats_answered: atomic::AtomicU32,
    heartbeats_unanswered: atomic::AtomicU32,
    /// Notified when a response changed a belief.
    pub changed: tokio::sync::Notify,
}

impl UpstreamLimits {
    /// Returns an upstream that has named a limit; `None` if it never did.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<sync::Arc<LimitedUpstream>> {
        self.by_instance.load().get(instance).cloned()
    }

    /// Returns an upstream that has a limit now, and the limit.
    #[must_use]
    pub fn limited(
        &self,
        instance: &str,
    ) -> Option<(sync::Arc<LimitedUpstream>, rate::RequestRate)> {
        let upstream = self.get(instance)?;
        let limit = upstream.limit()?;
        Some((upstream, limit))
    }

    /// Returns all tracked upstreams.
    #[must_use]
    pub fn all(&self) -> sync::Arc<IndexMap<String, sync::Arc<LimitedUpstream>>> {
        self.by_instance.load_full()
    }

    /// Returns the shares of a limit that this entry may use.
    #[must_use]
    pub fn shares(&self) -> fleet::Shares {
        **self.shares.load()
    }

    /// Returns the number of entries that may be running, this one included; `None` while the
    /// registrations have not been read.
    #[must_use]
    pub fn entry_count(&self) -> Option<u32> {
        let count = self.entry_count.load(atomic::Ordering::Relaxed);
        (count > 0).then_some(count)
    }

    /// Returns the coordinator of an upstream; `None` if no entry can be one.
    #[must_use]
    pub fn coordinator(&self, instance: &str) -> Option<String> {
        let coordinators = self.coordinators.load();
        fleet::coordinator(instance, &coordinators).map(String::from)
    }

    /// Records whether a heartbeat to an entry that was heard lately was answered.
    pub fn record_heartbeat(&self, is_answered: bool) {
        let counter = if is_answered {
            &self.heartbeats_answered
        } else {
            &self.heartbeats_unanswered
        };
        counter.fetch_add(1, atomic::Ordering::Relaxed);
    }

    fn take_heartbeats(&self) -> fleet::Heartbeats {
        let take = |counter: &atomic::AtomicU32| counter.swap(0, atomic::Ordering::Relaxed);
        fleet::Heartbeats {
            answered_count: take(&self.heartbeats_answered),
            unanswered_count: take(&self.heartbeats_unanswered),
        }
    }

    fn get_or_insert(&self, instance: &str) -> sync::Arc<LimitedUpstream> {
        if let Some(upstream) = self.get(instance) {
            return upstream;
        }
        self.by_instance.rcu(|by_instance| {
            let mut by_instance = IndexMap::clone(by_instance);
            by_instance.entry(String::from(instance)).or_default();
            by_instance
        });
        self.get(instance).unwrap_or_default()
    }

    /// Drops the upstreams that have not had a limit for a while.
    pub fn remove_untracked(&self, now: time::Instant) {
        let by_instance = self.by_instance.load();
        if by_instance
            .values()
            .all(|upstream| upstream.is_tracked(now))
        {
            return;
        }
        self.by_instance.rcu(|by_instance| {
            let mut by_instance = IndexMap::clone(by_instance);
            by_instance.retain(|_, upstream| upstream.is_tracked(now));
            by_instance
        });
    }
}

/// Updates the coordinators and the shares from the entries that are heard and registered.
pub fn update_fleet(app: &app::App) {
    let now = app.clock.now();
    let peers = app.peers.load();
    let heard: IndexSet<String> = peers.keys().cloned().collect();
    let is_fleet_known = app
        .cached(store::Kind::Entries)
        .age(app.clock.boot_now())
        .is_some();
    let mut registered = restored::registered_entries(app);
    registered.shift_remove(&app.settings.entry);
    let limits = &app.upstream_limits;
    let mut fleet = limits
        .fleet
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner);
    fleet.update(now, &heard, &registered, limits.take_heartbeats());
    let shares = fleet.shares(now);
    let entry_count = if is_fleet_known {
        fleet.entry_count()
    } else {
        0
    };
    drop(fleet);
    limits
        .entry_count
        .store(entry_count, atomic::Ordering::Relaxed);
    let before = limits.shares.swap(sync::Arc::new(shares));
    if *before != shares && !limits.all().is_empty() {
        log::info!(
            "limit: event=shares_changed as_coordinator={:.3} alone={:.3} heard={} registered={}",
            shares.as_coordinator,
            shares.alone,
            heard.len(),
            registered.len()
        );
    }
    let own_state = app.peer_state();
    let states = peers.values().map(|peer| &peer.state).chain([&own_state]);
    let eligible = states.filter(|state| state.ready && state.is_settled);
    let coordinators = fleet::coordinators(eligible.map(|state| state.entry.as_str()));
    limits.coordinators.store(sync::Arc::new(coordinators));
}

/// Records what the head of a response states about the limit of its upstream.
///
/// If the response may not be from this instance, it is ignored; if it is not made as by an upstream,
/// it can't withdraw a limit.
pub fn record_head(
    app: &app::App,
    instance: &str,
    class: request::ResponseClass,
    headers: &HeaderMap,
    sent_at: time::Instant,
) {
    let statement = request::limit_statement(headers);
    let is_unlimited = statement == belief::Statement::Unlimited;
    let is_ignored = match class {
        request::ResponseClass::Answer | request::ResponseClass::NotRun => false,
        request::ResponseClass::OtherInstance | request::ResponseClass::Foreign => true,
        request::ResponseClass::Invalid => is_unlimited,
    };
    if is_ignored {
        return;
    }
    let received_at = app.clock.now();
    let response = belief::Response {
        statement,
        sent_at,
        received_at,
    };
    record_response(app, instance, &response);
}

/// Records what a response states about the limit of its upstream.
fn record_response(app: &app::App, instance: &str, response: &belief::Response) {
    let tracked = app.upstream_limits.get(instance);
    if let belief::Statement::Unreadable(text) = &response.statement {
        app.count("limit_unreadable");
        log::warn!(
            "limit: event=unreadable instance={instance} value={text:?} kept={}",
            describe(tracked.and_then(|upstream| upstream.belief()))
        );
        return;
    }
    let is_unlimited = response.statement == belief::Statement::Unlimited;
    if tracked.is_none() && is_unlimited {
        return;
    }
    let upstream = tracked.unwrap_or_else(|| app.upstream_limits.get_or_insert(instance));
    let beliefs = upstream.update(|before| belief::after_response(before, response));
    if log_change(app, instance, beliefs, "response") {
        app.upstream_limits.changed.notify_one();
    }
}

/// Records what another entry believes of the limit of an upstream.
pub fn record_stated(app: &app::App, stated: &direct::StatedLimit, source: &str) {
    let age = time::Duration::from_millis(stated.age_ms);
    let Some(stated_at) = app.clock.now().checked_sub(age) else {
        return;
    };
    let other = belief::Belief {
        limit: stated.limit,
        stated_at,
    };
    let upstream = match app.upstream_limits.get(&stated.instance) {
        Some(upstream) => upstream,
        None if stated.limit.is_none() => return,
        None => app.upstream_limits.get_or_insert(&stated.instance),
    };
    let beliefs = upstream.update(|before| match before {
        Some(before) => Some(belief::newer(before, other)),
        None => Some(other),
    });
    log_change(app, &stated.instance, beliefs, source);
}

/// Logs and counts a change of the limit; returns whether there was one.
fn log_change(
    app: &app::App,
    instance: &str,
    [before, after]: [Option<belief::Belief>; 2],
    source: &str,
) -> bool {
    let limit = |belief: Option<belief::Belief>| belief.and_then(|belief| belief.limit);
    if limit(before) == limit(after) {
        return false;
    }
    let event = match (limit(before), limit(after)) {
        (None, _) => "limit_named",
        (_, None) => "limit_withdrawn",
        _ => "limit_changed",
    };
    app.count(event);
    let now = app.clock.now();
    let age_ms =
        |belief: belief::Belief| now.saturating_duration_since(belief.stated_at).as_millis();
    log::info!(
        "limit: event={event} instance={instance} before={} after={} before_age_ms={:?} \
         age_ms={:?} source={source}",
        describe(before),
        describe(after),
        before.map(age_ms),
        after.map(age_ms)
    );
    true
}

fn describe(belief: Option<belief::Belief>) -> String {
    let limit = belief.and_then(|belief| belief.limit);
    limit.map_or_else(|| String::from("none"), |limit| limit.to_string())
}

/// Logs the use of the limited upstreams since the last call.
pub fn log_usage(app: &app::App) {
    let now = app.clock.now();
    for (instance, upstream) in app.upstream_limits.all().iter() {
        let usage = upstream.take_usage();
        let belief = upstream.belief();
        if usage.is_empty() || belief.is_none_or(|belief| belief.limit.is_none()) {
            continue;
        }
        let age = belief.map(|belief| now.saturating_duration_since(belief.stated_at));
        log::info!(
            "limit: event=used instance={instance} limit={} age_ms={} first={} retry={} \
             resume={} denied={} coordinator={}",
            describe(belief),
            age.unwrap_or_default().as_millis(),
            usage.first_count,
            usage.retry_count,
            usage.resume_count,
            usage.denied_count,
            upstream
                .coordinator()
                .as_deref()
                .map_or("-", String::as_str)
        );
    }
}
