//! The retry budgets of an entry, one for each service, with log lines on their use, whether a request
//! that may have run may run again, and where.
//!
//! The configuration of the request's arrival does not decide the latter two alone: another one may have
//! come into force since, and one that was replaced shortly before may still have held.

use std::{sync, sync::atomic, time};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use pimentohook_core::{
    at_most_once, configuration_history, follow_timing, id, regions, replaced_routes, retry_budget,
    routes,
};
use pimentohook_platform::store;

use super::{app, prompt_admission, proxy, upstream_limits};

/// Why a request is sent to an upstream again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// An attempt failed or was rejected.
    Failed,
    /// It waits at an upstream that is silent or slow.
    Moved,
    /// Its stream broke or paused.
    Resumed,
}

/// The retry budget of a service and its use.
#[derive(Debug)]
struct ServiceRetries {
    budget: retry_budget::RetryBudget,
    usage: Usage,
}

/// What was counted since the last log line.
#[derive(Debug, Default)]
struct Usage {
    requests: atomic::AtomicU32,
    failed: atomic::AtomicU32,
    moved: atomic::AtomicU32,
    resumed: atomic::AtomicU32,
    denied: atomic::AtomicU32,
}

impl ServiceRetries {
    fn new(budget: retry_budget::RetryBudget) -> Self {
        Self {
            budget,
            usage: Usage::default(),
        }
    }
}

fn increment(counter: &atomic::AtomicU32) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

/// The retry budgets of all services.
#[derive(Debug)]
pub struct Retries {
    by_service: ArcSwap<IndexMap<id::ServiceName, sync::Arc<ServiceRetries>>>,
    burst_share: sync::Mutex<retry_budget::BurstShare>,
    /// The present value of the share, for the path of a request.
    burst_hundredths: atomic::AtomicU64,
}

impl Retries {
    /// Creates the budgets of an entry that starts.
    #[must_use]
    pub fn new(burst_count: u64, window: time::Duration, started_at: time::Instant) -> Self {
        let share = retry_budget::BurstShare::new(burst_count, window, started_at);
        Self {
            by_service: ArcSwap::default(),
            burst_hundredths: atomic::AtomicU64::new(share.hundredths()),
            burst_share: sync::Mutex::new(share),
        }
    }
}

/// Counts a caller's request to a service.
pub fn record_request(app: &app::App, service: &id::ServiceName) {
    let retries = of_service(app, service);
    retries.budget.record_request(app.now_ms());
    increment(&retries.usage.requests);
}

/// Pays for sending a request to a service again; returns `false` if the budget is spent.
#[must_use]
pub fn try_withdraw(app: &app::App, service: &id::ServiceName, reason: Reason) -> bool {
    let retries = of_service(app, service);
    let burst_hundredths = burst_hundredths(app);
    let is_paid = retries.budget.try_withdraw(app.now_ms(), burst_hundredths);
    let usage = &retries.usage;
    increment(match reason {
        _ if !is_paid => &usage.denied,
        Reason::Failed => &usage.failed,
        Reason::Moved => &usage.moved,
        Reason::Resumed => &usage.resumed,
    });
    is_paid
}

/// Returns this entry's share of the burst. An entry that has just started may have read the
/// registrations after the last update.
fn burst_hundredths(app: &app::App) -> u64 {
    let share = &app.retries.burst_hundredths;
    if share.load(atomic::Ordering::Relaxed) == 0 && !app.is_settled() {
        upstream_limits::update_fleet(app);
        update_burst_share(app);
    }
    share.load(atomic::Ordering::Relaxed)
}

fn of_service(app: &app::App, service: &id::ServiceName) -> sync::Arc<ServiceRetries> {
    let by_service = &app.retries.by_service;
    if let Some(retries) = by_service.load().get(service) {
        return retries.clone();
    }
    let settings = &app.settings;
    let budget = retry_budget::RetryBudget::new(settings.retry_percent, settings.retry_window);
    let created = sync::Arc::new(ServiceRetries::new(budget));
    by_service.rcu(|by_service| {
        let mut by_service = IndexMap::clone(by_service);
        by_service
            .entry(service.clone())
            .or_insert_with(|| created.clone());
        by_service
    });
    by_service.load().get(service).cloned().unwrap_or(created)
}

/// Updates the share of the fleet's burst to the number of entries that may be running.
pub fn update_burst_share(app: &app::App) {
    let entry_count = app.upstream_limits.entry_count();
    let mut share = app
        .retries
        .burst_share
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner);
    share.update(app.clock.now(), entry_count);
    let hundredths = share.hundredths();
    drop(share);
    let ordering = atomic::Ordering::Relaxed;
    let before = app.retries.burst_hundredths.swap(hundredths, ordering);
    if before != hundredths {
        log::info!(
            "retry: event=share_changed before_hundredths={before} hundredths={hundredths} of={} \
             entries={entry_count:?}",
            app.settings.retry_burst
        );
    }
}

/// Logs the retries since the last call.
pub fn log_usage(app: &app::App) {
    for (service, retries) in app.retries.by_service.load().iter() {
        let take = |counter: &atomic::AtomicU32| counter.swap(0, atomic::Ordering::Relaxed);
        let usage = &retries.usage;
        let request_count = take(&usage.requests);
        let [failed, moved, resumed, denied] =
            [&usage.failed, &usage.moved, &usage.resumed, &usage.denied].map(take);
        if failed + moved + resumed + denied > 0 {
            log::info!(
                "retry: event=used service={service} requests={request_count} failed={failed} \
                 moved={moved} resumed={resumed} denied={denied}"
            );
        }
    }
}

/// Returns whether a request that may have run may be sent to another upstream, by each configuration
/// that may hold for it.
pub fn may_repeat(app: &app::App, request: &proxy::ProxiedRequest) -> bool {
    let of_replaced =
        |replaced: &replaced_routes::ReplacedRoutes, since, host: &str, path: &str| {
            Some(replaced.may_repeat_since(since, host, path))
        };
    least_allowed(app, request, routes::Route::may_repeat, of_replaced)
        && knows_versions(app, request)
}

/// Returns on how many upstreams a request may run, by each configuration that may hold for it.
fn attempts_max(app: &app::App, request: &proxy::ProxiedRequest) -> u32 {
    let of_route = |route: &routes::Route| route.attempts_max;
    let of_replaced = replaced_routes::ReplacedRoutes::least_attempts_max_since;
    least_allowed(app, request, of_route, of_replaced)
}

/// Returns the least that the configurations allow which may hold for a request: that of its arrival,
/// the one in force, and those that were replaced within the grace period before the arrival.
fn least_allowed<T, R, P>(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    of_route: R,
    of_replaced: P,
) -> T
where
    T: Ord,
    R: Fn(&routes::Route) -> T,
    P: Fn(&replaced_routes::ReplacedRoutes, time::Instant, &str, &str) -> Option<T>,
{
    let (host, path) = (request.host.as_str(), request.uri.path());
    let table = app.table.load();
    let in_force = table.as_ref().and_then(|table| table.select(host, path));
    let grace = app.settings.configuration_grace;
    let since = request.arrived_at.checked_sub(grace);
    let replaced = app.replaced_routes.load();
    let replaced = since.and_then(|since| of_replaced(&replaced, since, host, path));
    let others = in_force.map(&of_route).into_iter().chain(replaced);
    others.fold(of_route(&request.route), T::min)
}

/// Returns whether the versions that may hold for a request are known, as far as it needs them.
fn knows_versions(app: &app::App, request: &proxy::ProxiedRequest) -> bool {
    let effect = effect(request);
    if !effect.needs_versions() {
        return true;
    }
    let now = app.clock.boot_now();
    let waited = app
        .clock
        .now()
        .saturating_duration_since(request.arrived_at);
    let grace = app.settings.configuration_grace;
    let cache = app.cached(store::Kind::Configuration);
    let is_newest = !app.is_newer_in_force();
    let knowledge = configuration_history::Knowledge {
        history: &app.configuration_history.load(),
        confirmation: configuration_history::Confirmation {
            confirmed_at: cache.confirmed_at().filter(|_| is_newest),
            ran_since: app.standstills.ran_since(),
            age_max: follow_timing::FollowTiming::within(grace).usual_age_max(),
        },
    };
    let since = now.saturating_sub(waited + grace);
    knowledge.may_repeat(effect, since, now)
}

/// Returns what a request may do when it runs, as far as it shows by itself.
fn effect(request: &proxy::ProxiedRequest) -> configuration_history::Effect {
    let service = request.table.services.get(&request.service);
    let has_engines = service.is_some_and(|service| service.engine.is_some());
    let is_resumable = request.route.streaming && request.route.resumable;
    if request.method.is_safe() {
        configuration_history::Effect::None
    } else if has_engines || is_resumable {
        configuration_history::Effect::Generation
    } else {
        configuration_history::Effect::Any
    }
}

/// Returns the rule on repeats of a request as of now.
pub fn repeat_rule(app: &app::App, request: &proxy::ProxiedRequest) -> at_most_once::RepeatRule {
    let policy = if may_repeat(app, request) {
        routes::RepeatPolicy::Idempotent
    } else {
        routes::RepeatPolicy::AtMostOnce
    };
    at_most_once::RepeatRule {
        policy,
        attempts_max: attempts_max(app, request),
    }
}

/// Returns the regions in which a request may run now: those that the configuration of its arrival and
/// the one in force both allow.
pub fn allowed_regions(app: &app::App, request: &proxy::ProxiedRequest) -> regions::AllowedRegions {
    let table = app.table.load();
    let is_other = |now: &&sync::Arc<_>| !sync::Arc::ptr_eq(now, &request.table);
    let Some(now) = table.as_ref().filter(is_other) else {
        return request.regions.clone();
    };
    let (host, path) = (request.host.as_str(), request.uri.path());
    let key = request.caller.key.as_deref();
    request.regions.and(&now.regions(host, path, key))
}

/// Returns whether another upstream is looked for after an attempt without an answer.
pub async fn may_send_again(
    app: &sync::Arc<app::App>,
    request: &proxy::ProxiedRequest,
    record: &at_most_once::RunRecord,
) -> bool {
    !record.may_have_run()
        || (record.check(repeat_rule(app, request)).is_ok()
            && prompt_admission::may_resend(app, request).await)
}

/// Records the routes that a configuration replaces which comes into force.
pub fn record_replaced(app: &app::App, after: &routes::RouteTable) {
    let Some(before) = app.table.load_full() else {
        return;
    };
    let now = app.clock.now();
    app.replaced_routes.rcu(|replaced| {
        let mut replaced = replaced_routes::ReplacedRoutes::clone(replaced);
        replaced.record(now, &before, after);
        replaced
    });
}
