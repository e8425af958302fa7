//! An upstream that has named a limit: what this entry believes of it, the permits that it holds for
//! it and those that it grants for it.

use std::{sync, sync::atomic, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use pimentohook_core::upstream_limit::{belief, bucket, pocket, rate};
use pimentohook_wire::direct;

/// How long an upstream that has withdrawn its limit is still tracked.
const WITHDRAWN_RETENTION: time::Duration = time::Duration::from_mins(1);
/// How long an upstream that states nothing any more is tracked.
const SILENT_RETENTION: time::Duration = time::Duration::from_mins(10);

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

/// Counts the requests for an upstream.
#[derive(Debug, Default)]
struct UsageCounters {
    first: atomic::AtomicU32,
    retry: atomic::AtomicU32,
    resume: atomic::AtomicU32,
    denied: atomic::AtomicU32,
}

/// The requests for an upstream in a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The number of requests that were sent for the first time.
    pub first_count: u32,
    /// The number of requests that had been sent elsewhere before.
    pub retry_count: u32,
    /// The number of resumed streams.
    pub resume_count: u32,
    /// The number of requests that were not sent for want of a permit.
    pub denied_count: u32,
}

impl Usage {
    /// Returns whether there were no requests.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.first_count + self.retry_count + self.resume_count + self.denied_count == 0
    }
}

/// An upstream that has named a limit.
#[derive(Debug)]
pub struct LimitedUpstream {
    belief: ArcSwapOption<belief::Belief>,
    pocket: ArcSwap<pocket::PermitPocket>,
    /// The permits that this entry grants as the coordinator.
    bucket: ArcSwapOption<bucket::PermitBucket>,
    /// The coordinator that was last asked.
    coordinator: ArcSwapOption<String>,
    /// Held while the coordinator is asked, so that concurrent requests ask once.
    pub asking: tokio::sync::Mutex<()>,
    usage: UsageCounters,
}

impl Default for LimitedUpstream {
    fn default() -> Self {
        Self {
            belief: ArcSwapOption::empty(),
            pocket: ArcSwap::default(),
            bucket: ArcSwapOption::empty(),
            coordinator: ArcSwapOption::empty(),
            asking: tokio::sync::Mutex::new(()),
            usage: UsageCounters::default(),
        }
    }
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

    /// Returns the belief in the form in which it is sent to other entries.
    #[must_use]
    pub fn stated(&self, instance: &str, now: time::Instant) -> Option<direct::StatedLimit> {
        let belief = self.belief()?;
        let age = now.saturating_duration_since(belief.stated_at);
        Some(direct::StatedLimit {
            instance: String::from(instance),
            limit: belief.limit,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Counts a request that is sent to the upstream.
    pub fn count_send(&self, reason: SendReason) {
        let counter = match reason {
            SendReason::First => &self.usage.first,
            SendReason::Retry => &self.usage.retry,
            SendReason::Resume => &self.usage.resume,
        };
        counter.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a request that was not sent to the upstream for want of a permit.
    pub fn count_denial(&self) {
        self.usage.denied.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Returns the usage since the last call.
    pub fn take_usage(&self) -> Usage {
        let take = |counter: &atomic::AtomicU32| counter.swap(0, atomic::Ordering::Relaxed);
        Usage {
            first_count: take(&self.usage.first),
            retry_count: take(&self.usage.retry),
            resume_count: take(&self.usage.resume),
            denied_count: take(&self.usage.denied),
        }
    }

    /// Returns the coordinator that was last asked.
    #[must_use]
    pub fn coordinator(&self) -> Option<sync::Arc<String>> {
        self.coordinator.load_full()
    }

    /// Takes a permit from the pocket; `own_rate` is the own share of the limit.
    pub fn take(&self, now: time::Instant, own_rate: rate::RequestRate) -> pocket::Taken {
        let mut taken = pocket::Taken::Ask { wanted: 1 };
        self.pocket.rcu(|pocket| {
            let after;
            (after, taken) = pocket.take(now, own_rate);
            after
        });
        taken
    }

    /// Changes the pocket.
    pub fn update_pocket<F>(&self, change: F)
    where
        F: Fn(&pocket::PermitPocket) -> pocket::PermitPocket,
    {
        self.pocket.rcu(|pocket| change(pocket));
    }

    /// Grants permits as the coordinator.
    pub fn grant(
        &self,
        now: time::Instant,
        rate: rate::RequestRate,
        wanted: u32,
        draw: f64,
    ) -> bucket::Grant {
        let mut grant = bucket::Grant::default();
        self.bucket.rcu(|bucket| {
            let before = bucket.as_deref().cloned();
            let before = before.unwrap_or_else(|| bucket::PermitBucket::new(now));
            let after;
            (after, grant) = before.grant(now, rate, wanted, draw);
            Some(sync::Arc::new(after))
        });
        grant
    }

    /// Sets the coordinator that is asked now; returns the previous one if it was another.
    pub fn set_coordinator(&self, name: &str) -> Option<sync::Arc<String>> {
        let before = self.coordinator.load();
        if before
            .as_ref()
            .is_some_and(|before| before.as_str() == name)
        {
            return None;
        }
        let before = self
            .coordinator
            .swap(Some(sync::Arc::new(String::from(name))));
        Some(before.unwrap_or_default())
    }

    /// Updates the belief; returns it as it was before and after.
    pub fn update<F>(&self, change: F) -> [Option<belief::Belief>; 2]
    where
        F: Fn(Option<belief::Belief>) -> Option<belief::Belief>,
    {
        let update = |before: &Option<sync::Arc<belief::Belief>>| {
            change(before.as_deref().copied()).map(sync::Arc::new)
        };
        let before = self.belief.rcu(update);
        [before.as_deref().copied(), self.belief()]
    }

    /// Returns whether the upstream is still tracked.
    #[must_use]
    pub fn is_tracked(&self, now: time::Instant) -> bool {
        let Some(belief) = self.belief() else {
            return true;
        };
        let retention = if belief.limit.is_some() {
            SILENT_RETENTION
        } else {
            WITHDRAWN_RETENTION
        };
        now.saturating_duration_since(belief.stated_at) <= retention
    }
}
