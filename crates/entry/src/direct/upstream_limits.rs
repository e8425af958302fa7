//! The limits that upstreams name in their responses, and what this entry believes of them.
//!
//! Only upstreams that have named a limit are tracked. They are identified by their instance and
//! not by their place in the list of upstreams, so that a limit outlasts a gap in the list and a
//! restart of the upstream under its id.

use std::{sync, sync::atomic, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use indexmap::IndexMap;
use pimentohook_core::upstream_limit::{belief, rate};

use super::app;

/// How long an upstream that has withdrawn its limit is still tracked.
const WITHDRAWN_RETENTION: time::Duration = time::Duration::from_mins(1);
/// How long an upstream that states nothing any more is tracked.
const SILENT_RETENTION: time::Duration = time::Duration::from_mins(10);
/// How often the use of limited upstreams is logged.
const USAGE_LOG_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Why a request is sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum SendReason {
    /// It has not been sent to any upstream before.
    First,
    /// Another upstream failed or did not run it.
    Retry,
    /// Its stream is resumed.
    Resume,
}

/// The requests sent to an upstream since the last log line.
#[derive(Debug, Default)]
struct Usage {
    first: atomic::AtomicU32,
    retry: atomic::AtomicU32,
    resume: atomic::AtomicU32,
}

impl Usage {
    const fn counter(&self, reason: SendReason) -> &atomic::AtomicU32 {
        match reason {
            SendReason::First => &self.first,
            SendReason::Retry => &self.retry,
            SendReason::Resume => &self.resume,
        }
    }
}

/// An upstream that has named a limit.
#[derive(Debug, Default)]
pub struct LimitedUpstream {
    belief: ArcSwapOption<belief::Belief>,
    usage: Usage,
}

impl LimitedUpstream {
    /// Returns what this entry believes of the upstream's limit.
    #[must_use]
    pub fn belief(&self) -> Option<belief::Belief> {
        self.belief.load().as_deref().copied()
    }

    /// Returns the limit; `None` if the upstream has withdrawn it.
    #[must_use]
    pub fn limit(&self) -> Option<rate::RequestRate> {
        self.belief()?.limit
    }

    /// Counts a request that is sent to the upstream.
    pub fn count_send(&self, reason: SendReason) {
        let counter = self.usage.counter(reason);
        counter.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Updates the belief; returns it as it was before and after.
    fn update<F>(&self, change: F) -> (Option<belief::Belief>, Option<belief::Belief>)
    where
        F: Fn(Option<belief::Belief>) -> Option<belief::Belief>,
    {
        let update = |before: &Option<sync::Arc<belief::Belief>>| {
            change(before.as_deref().copied()).map(sync::Arc::new)
        };
        let before = self.belief.rcu(update);
        (before.as_deref().copied(), self.belief())
    }
}

/// The upstreams that have named a limit, by instance.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    by_instance: ArcSwap<IndexMap<String, sync::Arc<LimitedUpstream>>>,
}

impl UpstreamLimits {
    /// Returns an upstream that has named a limit; `None` if it never did.
    #[must_use]
    pub fn get(&self, instance: &str) -> Option<sync::Arc<LimitedUpstream>> {
        self.by_instance.load().get(instance).cloned()
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

    fn retain<F>(&self, is_kept: F)
    where
        F: Fn(&LimitedUpstream) -> bool,
    {
        let by_instance = self.by_instance.load();
        if by_instance.values().all(|upstream| is_kept(upstream)) {
            return;
        }
        self.by_instance.rcu(|by_instance| {
            let mut by_instance = IndexMap::clone(by_instance);
            by_instance.retain(|_, upstream| is_kept(upstream));
            by_instance
        });
    }
}

/// Records what a response states about the limit of its upstream.
pub fn record_response(app: &app::App, instance: &str, response: &belief::Response) {
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
    let (before, after) = upstream.update(|before| belief::after_response(before, response));
    log_change(app, instance, before, after, "response");
}

fn log_change(
    app: &app::App,
    instance: &str,
    before: Option<belief::Belief>,
    after: Option<belief::Belief>,
    source: &str,
) {
    let limit = |belief: Option<belief::Belief>| belief.and_then(|belief| belief.limit);
    if limit(before) == limit(after) {
        return;
    }
    let event = match (limit(before), limit(after)) {
        (None, _) => "limit_named",
        (_, None) => "limit_withdrawn",
        _ => "limit_changed",
    };
    app.count(event);
    let now = app.clock.now();
    let age_ms = |belief: belief::Belief| now.duration_since(belief.stated_at).as_millis();
    log::info!(
        "limit: event={event} instance={instance} before={} after={} before_age_ms={:?} \
         age_ms={:?} source={source}",
        describe(before),
        describe(after),
        before.map(age_ms),
        after.map(age_ms)
    );
}

fn describe(belief: Option<belief::Belief>) -> String {
    let limit = belief.and_then(|belief| belief.limit);
    limit.map_or_else(|| String::from("none"), |limit| limit.to_string())
}

/// Logs the use of limited upstreams and drops those that are not limited any more, until the
/// process exits.
pub async fn run(app: sync::Arc<app::App>) {
    loop {
        tokio::time::sleep(USAGE_LOG_INTERVAL).await;
        let now = app.clock.now();
        for (instance, upstream) in app.upstream_limits.by_instance.load().iter() {
            log_usage(instance, upstream, now);
        }
        app.upstream_limits
            .retain(|upstream| is_tracked(upstream, now));
    }
}

fn is_tracked(upstream: &LimitedUpstream, now: time::Instant) -> bool {
    let Some(belief) = upstream.belief() else {
        return true;
    };
    let retention = if belief.limit.is_some() {
        SILENT_RETENTION
    } else {
        WITHDRAWN_RETENTION
    };
    now.duration_since(belief.stated_at) <= retention
}

fn log_usage(instance: &str, upstream: &LimitedUpstream, now: time::Instant) {
    let take = |counter: &atomic::AtomicU32| counter.swap(0, atomic::Ordering::Relaxed);
    let usage = &upstream.usage;
    let [first, retry, resume] = [&usage.first, &usage.retry, &usage.resume].map(take);
    let Some(belief) = upstream.belief() else {
        return;
    };
    if first + retry + resume > 0 && belief.limit.is_some() {
        log::info!(
            "limit: event=used instance={instance} limit={} age_ms={} first={first} \
             retry={retry} resume={resume} within_ms={}",
            describe(Some(belief)),
            now.duration_since(belief.stated_at).as_millis(),
            USAGE_LOG_INTERVAL.as_millis()
        );
    }
}
