//! State shared by the entry's tasks and request handlers.

use std::{net, sync, sync::atomic, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use cadence::StatsdClient;
use indexmap::IndexMap;
use pimentohook_core::{
    clock, configuration_history, evacuation, id, idle_limit, leaving as leaving_policy,
    refusal_rate, replaced_routes, reported_version, routes, shutdown, upstreams,
};
use pimentohook_platform::store;
use pimentohook_runtime::{announcements, client, metrics, standstill};
use pimentohook_wire::direct;

use strum::IntoEnumIterator as _;

pub use super::candidate::{Candidate, Candidates, UpstreamState};
use super::{
    cache, candidate, crash_evidence, holdings, leaving, peers, restored, retries, settings,
    shutdown_state, upstream_limits, upstream_notices,
};

/// Another entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The state that it reported.
    pub state: direct::PeerState,
    /// When it last sent a heartbeat or replied to one.
    pub last_seen_at: time::Instant,
}

/// The entry's shared state.
pub struct App {
    /// The settings.
    pub settings: settings::DirectSettings,
    /// The source of the current time.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// The client for upstreams.
    pub upstreams: client::Client,
    /// The bounds on what callers and upstreams make the entry hold.
    pub holdings: holdings::Holdings,
    /// The client for agents and entries.
    pub internal: client::Client,
    /// The client for the object store.
    pub store: store::StoreClient,
    /// The configuration in force; `None` until one is known.
    pub table: ArcSwapOption<routes::RouteTable>,
    /// The upstreams that may be selected.
    pub candidates: ArcSwap<Candidates>,
    /// Whether the upstreams were read once, from the store or another entry.
    are_upstreams_known: atomic::AtomicBool,
    /// The evacuated failure domains.
    pub evacuations: ArcSwap<evacuation::Evacuations>,
    /// The announced versions of weights.
    pub announced: announcements::SharedAnnouncements,
    /// When this process did not run.
    pub standstills: sync::Arc<standstill::Standstills>,
    /// The other entries, by name.
    pub peers: ArcSwap<IndexMap<String, Peer>>,
    /// Notified when an engine has become silent.
    pub silence_changed: tokio::sync::Notify,
    /// The limits that upstreams have named.
    pub upstream_limits: upstream_limits::UpstreamLimits,
    /// What upstreams have said of leaving and of back-offs.
    pub upstream_notices: upstream_notices::UpstreamNotices,
    /// What is known of parts of prompts and requests that may crash upstreams.
    pub suspects: crash_evidence::KnownSuspects,
    cached: IndexMap<store::Kind, cache::CachedCollection>,
    /// What a restored store has lost.
    pub lost: restored::LostObjects,
    /// The newest version of the configuration that another entry reported in force.
    peer_configuration: ArcSwap<reported_version::ReportedVersion>,
    /// The client that records metrics.
    pub metrics: sync::Arc<StatsdClient>,
    /// The registry that metrics are served from.
    pub metrics_registry: sync::Arc<metrics::Registry>,
    /// The longest timeout that callers of each route sent, in milliseconds.
    longest_timeouts_ms: ArcSwap<IndexMap<String, sync::Arc<atomic::AtomicU64>>>,
    refusal_rates: ArcSwap<IndexMap<id::ServiceName, sync::Arc<refusal_rate::Rates>>>,
    /// The retry budgets.
    pub retries: retries::Retries,
    /// The timeouts of routes that were longer before.
    pub replaced_routes: ArcSwap<replaced_routes::ReplacedRoutes>,
    /// Which configurations that were in force lately are known.
    pub configuration_history: ArcSwap<configuration_history::ConfigurationHistory>,
    /// How long callers' idle connections are kept.
    pub idle_limit: ArcSwap<idle_limit::IdleLimit>,
    /// The graceful shutdown of this entry.
    pub shutdown: sync::Arc<shutdown_state::ShutdownState>,
    /// What is known of other entries that shut down, and of the times that requests take.
    pub leaving: leaving::LeavingState,
    started_at: time::Instant,
}

impl std::fmt::Debug for App {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("App").finish_non_exhaustive()
    }
}

/// The share of the configuration grace period after which an unconfirmed configuration is stale.
/// An entry with a stale configuration doesn't respond that a route or a key doesn't exist.
const STALE_AFTER_PERCENT: u32 = 85;
/// An entry that has run for this long has discovered the others of its region.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(2);

impl App {
    /// Creates the state of an entry that has not fetched anything yet.
    #[must_use]
    pub fn new(settings: settings::DirectSettings) -> Self {
        let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::SystemClock);
        let local_ip = settings.callers.ip();
        let store_client = sync::Arc::new(client::Client::new(local_ip));
        let metrics_registry = sync::Arc::new(metrics::Registry::default());
        Self {
            metrics: sync::Arc::new(metrics_registry.client("pimentohook.entry")),
            metrics_registry,
            store: store::StoreClient::new(settings.object_store, store_client, clock.clone()),
            upstreams: client::Client::with_small_buffers(local_ip),
            holdings: holdings::Holdings::new(&settings.vm_limits),
            internal: client::Client::new(local_ip),
            table: ArcSwapOption::empty(),
            candidates: ArcSwap::default(),
            are_upstreams_known: atomic::AtomicBool::new(false),
            evacuations: ArcSwap::from_pointee(evacuation::Evacuations::at_start(
                settings.evacuation_grace.is_some(),
            )),
            announced: announcements::SharedAnnouncements::new(
                clock.clone(),
                settings.weights_grace,
            ),
            standstills: sync::Arc::new(standstill::Standstills::new(clock.clone())),
            peers: ArcSwap::default(),
            silence_changed: tokio::sync::Notify::new(),
            upstream_limits: upstream_limits::UpstreamLimits::default(),
            upstream_notices: upstream_notices::UpstreamNotices::default(),
            suspects: crash_evidence::KnownSuspects::default(),
            cached: store::Kind::iter()
                .map(|kind| (kind, cache::CachedCollection::default()))
                .collect(),
            lost: restored::LostObjects::default(),
            peer_configuration: ArcSwap::default(),
            longest_timeouts_ms: ArcSwap::default(),
            refusal_rates: ArcSwap::default(),
            retries: retries::Retries::new(
                settings.retry_burst,
                settings.retry_window,
                clock.now(),
            ),
            replaced_routes: ArcSwap::default(),
            configuration_history: ArcSwap::default(),
            idle_limit: ArcSwap::from_pointee(idle_limit::IdleLimit::new(settings.idle_timeout)),
            shutdown: sync::Arc::default(),
            leaving: leaving::LeavingState::new(settings.leave_policy, settings.directory_ttl),
            started_at: clock.now(),
            clock,
            settings,
        }
    }

    /// Increments the counter of an event.
    pub fn count(&self, event: &str) {
        metrics::Registry::count(&self.metrics, event);
    }

    /// Reports how many objects of the store were skipped, each counted once per change.
    pub fn report_skipped(&self) {
        let count = self.store.skipped().count();
        metrics::Registry::set(&self.metrics, "objects_skipped", count);
    }

    /// Counts the bytes of a kind of objects that were read from `place`, which is `store` or
    /// `peers`.
    pub fn count_read(&self, place: &str, kind: store::Kind, body_bytes: usize) {
        let name = format!("read_bytes_{place}_{kind}");
        metrics::Registry::add(&self.metrics, &name, body_bytes);
    }

    /// Returns the time since the entry started, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        let age = self.clock.now().duration_since(self.started_at);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the version of the configuration in force; 0 while there is none.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        let table = self.table.load();
        table.as_ref().map_or(0, |table| table.version.get())
    }

    /// Records the version of the configuration that another entry has in force.
    pub fn record_peer_configuration(&self, peer: &direct::PeerState, version: u64) {
        let now = self.clock.boot_now();
        let is_neighbour = peer.region == self.settings.region;
        let neighbour = is_neighbour.then_some(peer.entry.as_str());
        self.peer_configuration
            .rcu(|reported| reported.after(version, now, neighbour));
    }

    /// Returns the newest configuration that another entry reported in force.
    #[must_use]
    pub fn peer_configuration(&self) -> sync::Arc<reported_version::ReportedVersion> {
        self.peer_configuration.load_full()
    }

    /// Returns the cache of a kind of objects.
    #[must_use]
    pub fn cached(&self, kind: store::Kind) -> &cache::CachedCollection {
        &self.cached[&kind]
    }

    /// Returns whether the entry has run for long enough to have discovered the others of its
    /// region.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.clock.now().duration_since(self.started_at) >= SETTLING_TIME
    }

    /// Returns the time since the store last confirmed the configuration; `None` if it never did.
    #[must_use]
    pub fn configuration_age(&self) -> Option<time::Duration> {
        self.cached(store::Kind::Configuration)
            .age(self.clock.boot_now())
    }

    /// Returns whether another entry has reported a newer configuration in force.
    #[must_use]
    pub fn is_newer_in_force(&self) -> bool {
        self.peer_configuration.load().version() > self.configuration_version()
    }

    /// Returns whether the configuration may be older than the one in force.
    ///
    /// A large configuration can take seconds to transfer, so another entry may already have a
    /// newer one.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let stale_after = self.settings.configuration_grace * STALE_AFTER_PERCENT / 100;
        let age = self.configuration_age();
        self.is_newer_in_force() || age.is_none_or(|age| age > stale_after)
    }

    /// Returns whether the entry is shutting down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Returns when the caller of a request that is refused because of the shutdown may come back.
    #[must_use]
    pub fn leaving_retry_after(&self) -> time::Duration {
        let shutdown = self.shutdown.get();
        self.leaving.retry_after(shutdown, self.clock.now())
    }

    /// Returns whether the entry knows where requests may go, and is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.table.load().is_some()
            && self.are_upstreams_known.load(atomic::Ordering::Acquire)
            && self.evacuations.load().is_known()
            && !self.is_shutting_down()
    }

    /// Starts the graceful shutdown.
    pub fn begin_shutdown(&self) -> shutdown::Shutdown {
        let shutdown = shutdown::Shutdown {
            since: self.clock.now(),
            delay: self.settings.shutdown_delay,
            timeout: self.settings.shutdown_timeout,
        };
        self.leaving.begin(leaving_policy::Hearing::new(
            shutdown.since,
            peers::HEARTBEAT_TIMEOUT,
            peers::HEARTBEAT_LOSS_TIMEOUT,
        ));
        self.shutdown.begin(shutdown);
        shutdown
    }

    /// Returns the state that the entry reports to other entries.
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

    /// Returns the number of live entries, including this one.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        u32::try_from(self.peers.load().len())
            .unwrap_or(u32::MAX)
            .saturating_add(1)
    }

    /// Records the timeout that a caller of a route sent; returns the longest one so far.
    pub fn record_caller_timeout(&self, route: &str, timeout: time::Duration) -> time::Duration {
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let ordering = atomic::Ordering::Relaxed;
        if let Some(longest_ms) = self.longest_timeouts_ms.load().get(route) {
            let previous_ms = longest_ms.fetch_max(timeout_ms, ordering);
            return time::Duration::from_millis(previous_ms.max(timeout_ms));
        }
        self.longest_timeouts_ms.rcu(|longest_by_route| {
            let mut longest_by_route = IndexMap::clone(longest_by_route);
            let longest_ms = longest_by_route.entry(String::from(route)).or_default();
            longest_ms.fetch_max(timeout_ms, ordering);
            longest_by_route
        });
        timeout
    }

    /// Returns the refusal rates of a service.
    #[must_use]
    pub fn refusal_rates(&self, service: &id::ServiceName) -> sync::Arc<refusal_rate::Rates> {
        let known = || self.refusal_rates.load().get(service).cloned();
        known().unwrap_or_else(|| {
            self.refusal_rates.rcu(|rates| {
                let mut rates = IndexMap::clone(rates);
                rates.entry(service.clone()).or_default();
                rates
            });
            known().unwrap_or_default()
        })
    }

    /// Replaces the upstreams that may be selected, keeping the tracked state of those that remain.
    pub fn set_upstreams(&self, listed: Vec<upstreams::Upstream>) {
        let previous_candidates = self.candidates.load();
        let state_of = |upstream: &upstreams::Upstream| {
            let is_same = |candidate: &&Candidate| candidate.upstream.instance == upstream.instance;
            let previous = previous_candidates.values().flatten().find(is_same);
            previous
                .filter(|candidate| !candidate.upstream.is_other_incarnation(upstream))
                .map_or_else(sync::Arc::default, |candidate| candidate.state.clone())
        };
        let candidates = candidate::candidates(listed, state_of);
        self.candidates.store(sync::Arc::new(candidates));
        self.are_upstreams_known
            .store(true, atomic::Ordering::Release);
    }

    /// Returns the address of the agent beside an upstream.
    #[must_use]
    pub fn agent_address(&self, upstream: &upstreams::Upstream) -> net::SocketAddr {
        net::SocketAddr::new(upstream.address.ip(), self.settings.agent_port)
    }
}
