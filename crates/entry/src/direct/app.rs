//! What the parts of the entry share.

use std::{net, sync, sync::atomic, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use cadence::StatsdClient;
use indexmap::IndexMap;
use pimentohook_core::{
    clock, id, limits, refusal_rate, routes, routing::score, shutdown, upstreams,
};
use pimentohook_platform::store;
use pimentohook_runtime::{client, metrics};
use pimentohook_wire::direct;

use strum::IntoEnumIterator as _;

use super::{known, settings};

/// What an entry knows of one upstream beside the list.
#[derive(Debug, Default)]
pub struct Live {
    /// Latencies, failures and ejection.
    pub record: score::UpstreamStats,
    /// The entry's own requests there.
    pub in_flight: atomic::AtomicU32,
    /// Whether it was seen that another instance has its address.
    pub gone: atomic::AtomicBool,
    /// Until when its agent counts as silent, in milliseconds of the entry's life.
    pub agent_silent_until_ms: atomic::AtomicU64,
    /// Until when its agent lets nothing in, in milliseconds of the entry's life.
    pub closed_until_ms: atomic::AtomicU64,
    /// What its agent last said that it serves; newer than the list.
    pub told: ArcSwapOption<direct::EngineState>,
}

/// An upstream that may be chosen.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream as the list shows it.
    pub upstream: upstreams::Upstream,
    /// What is known beside the list.
    pub live: sync::Arc<Live>,
}

impl Candidate {
    /// Returns the version of a model that it serves.
    #[must_use]
    pub fn weights(&self, model: &str) -> Option<u64> {
        match self.live.told.load().as_deref() {
            Some(told) => told.weights.get(model).copied(),
            None => self.upstream.weights.get(model).copied(),
        }
    }
}

/// The upstreams by service.
pub type Candidates = IndexMap<id::ServiceName, Vec<Candidate>>;

/// A version of weights that was named, and when this entry learned of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// The version.
    pub version: u64,
    /// When it was learned.
    pub since: time::Instant,
}

/// Another entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it said of itself.
    pub state: direct::PeerState,
    /// When it last answered or called.
    pub heard_at: time::Instant,
}

/// What the parts of the entry share.
pub struct App {
    /// The settings.
    pub settings: settings::DirectSettings,
    /// The clock.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Connections to upstreams.
    pub upstreams: client::Client,
    /// Connections to agents and entries.
    pub own: client::Client,
    /// The object store.
    pub store: store::StoreClient,
    /// The configuration in force; `None` until one is known.
    pub table: ArcSwapOption<routes::RouteTable>,
    /// The upstreams that may be chosen.
    pub candidates: ArcSwap<Candidates>,
    /// The versions of weights that were named, by model, the newest last.
    pub wanted: ArcSwap<IndexMap<String, Vec<Wanted>>>,
    /// The other entries, by name.
    pub peers: ArcSwap<IndexMap<String, Peer>>,
    known: IndexMap<store::Kind, known::Known>,
    /// The newest version of the configuration that another entry had in force.
    heard_configuration: atomic::AtomicU64,
    /// Counters and latencies.
    pub metrics: StatsdClient,
    /// Where they are kept.
    pub kept: sync::Arc<metrics::Registry>,
    /// The longest that callers of a route said they wait, in milliseconds.
    waits_ms: ArcSwap<IndexMap<String, sync::Arc<atomic::AtomicU64>>>,
    pressures: ArcSwap<IndexMap<id::ServiceName, sync::Arc<refusal_rate::RefusalRate>>>,
    budgets: ArcSwap<IndexMap<id::ServiceName, sync::Arc<limits::RetryBudget>>>,
    leaving: ArcSwapOption<shutdown::Shutdown>,
    started_at: time::Instant,
}

impl std::fmt::Debug for App {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("App").finish_non_exhaustive()
    }
}

/// The part of the grace of a configuration, in hundredths, after which an entry that heard nothing
/// no longer says that a route or a key does not exist.
const STALE_PERCENT: u32 = 85;
/// An entry that has run for this long knows the others of its region.
const SETTLED_AFTER: time::Duration = time::Duration::from_secs(2);

impl App {
    /// Creates the shared state of an entry that knows nothing yet.
    #[must_use]
    pub fn new(settings: settings::DirectSettings) -> Self {
        let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::SystemClock);
        let local = settings.callers.ip();
        let store_client = sync::Arc::new(client::Client::new(local));
        let kept = sync::Arc::new(metrics::Registry::default());
        Self {
            metrics: kept.client("pimentohook.entry"),
            kept,
            store: store::StoreClient::new(settings.object_store, store_client, clock.clone()),
            upstreams: client::Client::new(local),
            own: client::Client::new(local),
            table: ArcSwapOption::empty(),
            candidates: ArcSwap::default(),
            wanted: ArcSwap::default(),
            peers: ArcSwap::default(),
            known: store::Kind::iter()
                .map(|kind| (kind, known::Known::default()))
                .collect(),
            heard_configuration: atomic::AtomicU64::new(0),
            waits_ms: ArcSwap::default(),
            pressures: ArcSwap::default(),
            budgets: ArcSwap::default(),
            leaving: ArcSwapOption::empty(),
            started_at: clock.now(),
            clock,
            settings,
        }
    }

    /// Counts an event.
    pub fn count(&self, event: &str) {
        metrics::Registry::count(&self.metrics, event);
    }

    /// Counts the bytes of a kind of objects that came from a place.
    pub fn count_read(&self, place: &str, kind: store::Kind, body_bytes: usize) {
        let name = format!("read_bytes_{place}_{kind}");
        metrics::Registry::add(&self.metrics, &name, body_bytes);
    }

    /// Returns the milliseconds since the entry started.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        let age = self.clock.now().duration_since(self.started_at);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the version of the configuration in force; 0 while there is none.
    #[must_use]
    pub fn configuration(&self) -> u64 {
        let table = self.table.load();
        table.as_ref().map_or(0, |table| table.version.get())
    }

    /// Takes in which version of the configuration another entry has in force.
    pub fn record_configuration(&self, version: u64) {
        let ordering = atomic::Ordering::Relaxed;
        self.heard_configuration.fetch_max(version, ordering);
    }

    /// Returns what is known of a kind of objects.
    #[must_use]
    pub fn known(&self, kind: store::Kind) -> &known::Known {
        &self.known[&kind]
    }

    /// Returns whether the entry has run for long enough to know the others of its region.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.clock.now().duration_since(self.started_at) >= SETTLED_AFTER
    }

    /// Returns for how long the store has not confirmed the configuration; `None` where it never
    /// did.
    #[must_use]
    pub fn configuration_age(&self) -> Option<time::Duration> {
        self.known(store::Kind::Configuration).age(self.clock.now())
    }

    /// Returns whether what is known may be older than what is in force: a large configuration can
    /// take seconds to come, while other entries have it.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let heard = self.heard_configuration.load(atomic::Ordering::Relaxed);
        let stale_after = self.settings.configuration_grace * STALE_PERCENT / 100;
        let age = self.configuration_age();
        heard > self.configuration() || age.is_none_or(|age| age > stale_after)
    }

    /// Returns whether the entry is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load().is_some()
    }

    /// Returns whether the entry takes requests and goes on doing so.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.table.load().is_some()
    }

    /// Returns whether a request that may last until `deadline` is still taken.
    #[must_use]
    pub fn takes(&self, deadline: time::Instant) -> bool {
        let leaving = self.leaving.load();
        leaving
            .as_ref()
            .is_none_or(|leaving| leaving.accepts(self.clock.now(), deadline))
    }

    /// Makes the entry say that it is leaving; returns when it ends.
    pub fn begin_leaving(&self) -> time::Instant {
        let since = self.clock.now();
        let ends_at = since + self.settings.end;
        let leaving = shutdown::Shutdown { since, ends_at };
        self.leaving.store(Some(sync::Arc::new(leaving)));
        ends_at
    }

    /// Returns what the entry says of itself.
    #[must_use]
    pub fn peer_state(&self) -> direct::PeerState {
        direct::PeerState {
            entry: self.settings.entry.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            region: self.settings.region.clone(),
            link_rate: self.settings.link_rate,
            is_settled: self.is_settled(),
            callers: self.settings.callers,
            peers: self.settings.peers,
            ready: self.is_ready(),
        }
    }

    /// Returns the entries that are known to live, this one included.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        u32::try_from(self.peers.load().len())
            .unwrap_or(u32::MAX)
            .saturating_add(1)
    }

    /// Keeps no more idle connections to upstreams than they have room for.
    pub fn fit_idle_connections(&self) {
        let Some(table) = self.table.load_full() else {
            return;
        };
        // Requests never go to the origin.
        let services = table.services.values().filter(|one| one.origin.is_none());
        if let Some(least) = services.filter_map(|one| one.connections_max).min() {
            let idle_max = routes::idle_connections(least, self.entry_count());
            self.upstreams.set_idle_max(idle_max as usize);
        }
    }

    /// Returns the retry budget of a service.
    #[must_use]
    pub fn budget(&self, service: &id::ServiceName) -> sync::Arc<limits::RetryBudget> {
        if let Some(budget) = self.budgets.load().get(service) {
            return budget.clone();
        }
        let burst = self.settings.retry_burst / u64::from(self.entry_count());
        let created = limits::RetryBudget::new(self.settings.retry_percent, burst.max(1));
        let created = sync::Arc::new(created);
        self.budgets.rcu(|budgets| {
            let mut budgets = IndexMap::clone(budgets);
            budgets
                .entry(service.clone())
                .or_insert_with(|| created.clone());
            budgets
        });
        created
    }

    /// Takes in how long a caller of a route waits, and returns the longest that any did.
    pub fn longest_wait(&self, route: &str, wait: time::Duration) -> time::Duration {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let ordering = atomic::Ordering::Relaxed;
        if let Some(longest) = self.waits_ms.load().get(route) {
            let before_ms = longest.fetch_max(wait_ms, ordering);
            return time::Duration::from_millis(before_ms.max(wait_ms));
        }
        self.waits_ms.rcu(|waits| {
            let mut waits = IndexMap::clone(waits);
            let longest = waits.entry(String::from(route)).or_default();
            longest.fetch_max(wait_ms, ordering);
            waits
        });
        wait
    }

    /// Returns how much of a service's load is refused.
    #[must_use]
    pub fn pressure(&self, service: &id::ServiceName) -> sync::Arc<refusal_rate::RefusalRate> {
        if let Some(pressure) = self.pressures.load().get(service) {
            return pressure.clone();
        }
        self.pressures.rcu(|pressures| {
            let mut pressures = IndexMap::clone(pressures);
            pressures.entry(service.clone()).or_default();
            pressures
        });
        let pressures = self.pressures.load();
        pressures.get(service).cloned().unwrap_or_default()
    }

    /// Replaces the upstreams that may be chosen, keeping what is known of those that stay.
    pub fn set_upstreams(&self, listed: Vec<upstreams::Upstream>) {
        let known = self.candidates.load();
        let live_of = |upstream: &upstreams::Upstream| {
            let same = |one: &&Candidate| one.upstream.instance == upstream.instance;
            let before = known.values().flatten().find(same);
            before
                .filter(|one| !one.upstream.is_other_incarnation(upstream))
                .map_or_else(sync::Arc::default, |one| one.live.clone())
        };
        let mut candidates = Candidates::new();
        for upstream in listed {
            let live = live_of(&upstream);
            live.record.record_slot_count(upstream.slot_count);
            let service = upstream.service.clone();
            let candidate = Candidate { upstream, live };
            candidates.entry(service).or_default().push(candidate);
        }
        self.candidates.store(sync::Arc::new(candidates));
    }

    /// Returns the agent beside an upstream.
    #[must_use]
    pub fn agent_of(&self, upstream: &upstreams::Upstream) -> net::SocketAddr {
        net::SocketAddr::new(upstream.address.ip(), self.settings.agent_port)
    }
}
