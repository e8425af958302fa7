//! The retry budgets of an entry, one for each service, and log lines on their use.

use std::{sync, sync::atomic};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use pimentohook_core::{id, limits};

use super::app;

/// Why a request is sent to an upstream again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
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
pub struct ServiceRetries {
    budget: limits::RetryBudget,
    usage: Usage,
}

/// What was counted since the last log line.
#[derive(Debug, Default)]
struct Usage {
    request_count: atomic::AtomicU32,
    failed_count: atomic::AtomicU32,
    moved_count: atomic::AtomicU32,
    resumed_count: atomic::AtomicU32,
    denied_count: atomic::AtomicU32,
}

impl ServiceRetries {
    fn new(budget: limits::RetryBudget) -> Self {
        Self {
            budget,
            usage: Usage::default(),
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&self) {
        self.budget.deposit();
        increment(&self.usage.request_count);
    }

    /// Pays for sending a request again; returns `false` if the budget is spent.
    pub fn try_withdraw(&self, reason: Reason) -> bool {
        let is_paid = self.budget.try_withdraw();
        let usage = &self.usage;
        increment(match reason {
            _ if !is_paid => &usage.denied_count,
            Reason::Failed => &usage.failed_count,
            Reason::Moved => &usage.moved_count,
            Reason::Resumed => &usage.resumed_count,
        });
        is_paid
    }
}

fn increment(counter: &atomic::AtomicU32) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

/// The retry budgets of all services.
#[derive(Debug, Default)]
pub struct Retries {
    by_service: ArcSwap<IndexMap<id::ServiceName, sync::Arc<ServiceRetries>>>,
    /// The share of the fleet's burst that was logged last.
    logged_burst: atomic::AtomicU64,
}

/// Returns the retry budget of a service.
#[must_use]
pub fn of_service(app: &app::App, service: &id::ServiceName) -> sync::Arc<ServiceRetries> {
    let by_service = &app.retries.by_service;
    if let Some(retries) = by_service.load().get(service) {
        return retries.clone();
    }
    let budget = limits::RetryBudget::new(app.settings.retry_percent, burst_share(app));
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

/// Returns this entry's share of the burst of retries that all entries together may send. Entries
/// that are not heard may be cut off and retry too, so they keep their shares for a while.
fn burst_share(app: &app::App) -> u64 {
    let burst = u32::try_from(app.settings.retry_burst).unwrap_or(u32::MAX);
    u64::from(app.upstream_limits.shares().of_slots(burst))
}

/// Adjusts the retry budgets to the number of live entries.
pub fn update_share(app: &app::App) {
    let burst = burst_share(app);
    for retries in app.retries.by_service.load().values() {
        retries.budget.set_burst(burst);
    }
    let ordering = atomic::Ordering::Relaxed;
    if app.retries.logged_burst.swap(burst, ordering) != burst {
        log::info!(
            "retry: event=share_changed burst={burst} of={} entries={}",
            app.settings.retry_burst,
            app.entry_count()
        );
    }
}

/// Logs the retries since the last call.
pub fn log_usage(app: &app::App) {
    for (service, retries) in app.retries.by_service.load().iter() {
        let take = |counter: &atomic::AtomicU32| counter.swap(0, atomic::Ordering::Relaxed);
        let usage = &retries.usage;
        let request_count = take(&usage.request_count);
        let [failed, moved, resumed, denied] = [
            &usage.failed_count,
            &usage.moved_count,
            &usage.resumed_count,
            &usage.denied_count,
        ]
        .map(take);
        if failed + moved + resumed + denied > 0 {
            log::info!(
                "retry: event=used service={service} requests={request_count} failed={failed} \
                 moved={moved} resumed={resumed} denied={denied}"
            );
        }
    }
}
