//! What this entry does for callers while it and others shut down.

use std::{sync, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use indexmap::IndexMap;
use pimentohook_core::{leaving, routes, shutdown};
use pimentohook_wire::direct;
use rand::RngExt as _;

/// Short, because another entry accepts the request immediately.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(20);

/// What is known of other entries that are not ready, and of the times that requests take.
#[derive(Debug)]
pub struct LeavingState {
    policy: leaving::Policy,
    /// How long callers may hold the address of an entry.
    held: time::Duration,
    others: ArcSwap<leaving::Others>,
    /// What the others have responded since this entry shuts down.
    hearing: ArcSwapOption<leaving::Hearing>,
    times: ArcSwap<IndexMap<String, sync::Arc<leaving::Times>>>,
}

/// Whether a request that arrives is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// It ends by its whole deadline before the entry does.
    InTime,
    /// It is only likely to end before the entry does, and too few others are ready to take it.
    LikelyInTime,
    /// It is refused.
    Refused,
}

impl LeavingState {
    /// Creates the state of an entry whose address callers may use for `directory_ttl` after an answer
    /// of the directory.
    #[must_use]
    pub fn new(policy: leaving::Policy, directory_ttl: time::Duration) -> Self {
        Self {
            policy,
            held: leaving::held_for(directory_ttl),
            others: ArcSwap::default(),
            hearing: ArcSwapOption::empty(),
            times: ArcSwap::default(),
        }
    }

    /// Returns what is known of the other entries.
    #[must_use]
    pub fn others(&self) -> sync::Arc<leaving::Others> {
        self.others.load_full()
    }

    /// Records that this entry shuts down.
    pub fn begin(&self, hearing: leaving::Hearing) {
        self.hearing.store(Some(sync::Arc::new(hearing)));
    }

    /// Records that another entry responded at `at` to a heartbeat that was sent at `sent_at`.
    pub fn record_response(&self, entry: &str, sent_at: time::Instant, at: time::Instant) {
        self.hearing.rcu(|hearing| {
            hearing.as_deref().map(|hearing| {
                let mut hearing = leaving::Hearing::clone(hearing);
                hearing.record(entry, sent_at, at);
                sync::Arc::new(hearing)
            })
        });
    }

    /// Returns when the others are told again that this entry shuts down; `None` if it does not.
    #[must_use]
    pub fn tells_again_at(&self) -> Option<time::Instant> {
        let hearing = self.hearing.load();
        hearing.as_deref().map(leaving::Hearing::tells_again_at)
    }

    /// Returns from when on no directory names this entry as ready; `None` if it does not shut down.
    #[must_use]
    pub fn known_at(&self) -> Option<time::Instant> {
        let hearing = self.hearing.load();
        let hearing = hearing.as_deref()?;
        Some(hearing.known_at(&self.others.load()))
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

    /// Records how long a request of a route took.
    pub fn record_time(&self, route: &str, time: time::Duration) {
        self.times(route).record(time);
    }

    /// Returns whether a request that arrives `now` and may last until `deadline` is accepted.
    pub(super) fn accepts(
        &self,
        shutdown: Option<shutdown::Shutdown>,
        route: &routes::Route,
        deadline: time::Instant,
        now: time::Instant,
    ) -> Acceptance {
        match shutdown {
            None => Acceptance::InTime,
            Some(shutdown) if shutdown.accepts(now, deadline) => Acceptance::InTime,
            Some(shutdown) if self.is_likely_in_time(&shutdown, route, now) => {
                Acceptance::LikelyInTime
            }
            Some(_) => Acceptance::Refused,
        }
    }

    /// Returns whether a request that was accepted may still be sent to an upstream.
    #[must_use]
    pub fn may_send(
        &self,
        shutdown: Option<shutdown::Shutdown>,
        route: &routes::Route,
        deadline: time::Instant,
        now: time::Instant,
    ) -> bool {
        shutdown.is_none_or(|shutdown| {
            shutdown.outlasts(deadline) || self.is_likely_in_time(&shutdown, route, now)
        })
    }

    /// Returns whether a request of a route is likely to end in time, and too few other entries are
    /// ready to take it.
    fn is_likely_in_time(
        &self,
        shutdown: &shutdown::Shutdown,
        route: &routes::Route,
        now: time::Instant,
    ) -> bool {
        let is_by_deadline = self.policy == leaving::Policy::ByDeadline;
        if is_by_deadline || self.others.load().are_enough(self.held, now) {
            return false;
        }
        let kind = leaving::Kind::new(route.streaming, route.resumable, route.may_repeat());
        leaving::is_likely_in_time(shutdown, kind, &self.times(&route.name), now)
    }

    /// Returns when the caller of a request that is refused because of the shutdown may come back.
    #[must_use]
    pub fn retry_after(
        &self,
        shutdown: Option<shutdown::Shutdown>,
        now: time::Instant,
    ) -> time::Duration {
        match (self.policy, shutdown) {
            (leaving::Policy::ByLikelyTime, Some(shutdown)) => {
                let others = self.others.load();
                others.retry_after(&shutdown, now, rand::rng().random())
            }
            _ => RETRY_AFTER,
        }
    }
}
