//! Which upstreams are cold by their registrations, and what this entry sends to cold engines whose
//! agents it can't reach.

use std::{sync, time};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use pimentohook_core::{cold, upstreams};

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

    /// Returns whether a request may be sent to an engine without asking its agent, and counts it.
    ///
    /// `knows_registrations` says whether an instance that had become cold would be known to be;
    /// otherwise every one is taken as cold.
    #[must_use]
    pub fn admits_unwatched(
        &self,
        now: time::Instant,
        instance: &str,
        ceiling: cold::Ceiling,
        knows_registrations: bool,
    ) -> bool {
        let by_instance = self.by_instance.load();
        let Some(known) = by_instance.get(instance) else {
            return false;
        };
        let mut unwatched = known
            .unwatched
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        unwatched.forget(now, ceiling);
        let is_cold = !knows_registrations || !known.registered.remaining(now).is_zero();
        if is_cold && unwatched.wait(now, ceiling).is_some() {
            return false;
        }
        unwatched.record(now);
        true
    }
}
