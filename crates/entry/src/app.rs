//! State shared by the tasks and request handlers of an entry in gateway mode.

use std::{net, sync, sync::atomic, time};

use arc_swap::ArcSwap;
use cadence::StatsdClient;
use indexmap::IndexMap;
use pimentohook_core::{
    burst::ledger,
    clock::{self, Clock as _},
    id, intent, lease, limits, membership, report,
    routing::score,
};
use pimentohook_platform::{objects, weights};
use pimentohook_runtime::{client, metrics};
use tokio::sync::Notify;

use crate::settings;

const RETRY_BURST: u64 = 20;
const LEASE_RENEWALS_PER_TERM: u32 = 4;
const LEASE_MARGIN_DIVISOR: u32 = 4;

/// The entry's shared state.
#[derive(Debug)]
pub struct App {
    /// The settings.
    pub settings: settings::EntrySettings,
    /// The source of the current time.
    pub clock: clock::SystemClock,
    /// When this process started.
    pub started_at: time::Instant,
    /// The client for other processes of the system.
    pub client: sync::Arc<client::Client>,
    /// The client for the object API.
    pub objects: objects::ObjectClient,
    /// A client for watching the object API, separate because a pending watch must not delay other
    /// calls.
    pub watch_objects: objects::ObjectClient,
    /// The client for the weight store.
    pub store: weights::StoreClient,
    /// The published snapshot of the agents, read by requests.
    pub view: ArcSwap<membership::View>,
    /// The current view of the agents, updated by heartbeats.
    pub current_view: sync::Mutex<membership::View>,
    /// Latencies and failures of each agent.
    pub stats_by_vm: ArcSwap<IndexMap<id::VmId, sync::Arc<score::UpstreamStats>>>,
    /// The configuration in force.
    pub config: ArcSwap<intent::Config>,
    /// The version of the configuration's object at the platform.
    pub config_object_version: atomic::AtomicU64,
    /// The retry budget.
    pub retry_budget: limits::RetryBudget,
    /// The counts for the burn report.
    pub counter: sync::Mutex<report::commands::Counter>,
    /// The lease on the duties.
    pub lease: sync::Mutex<lease::Lease>,
    /// The origin ledgers recorded at the platform, by manifest.
    pub ledgers: ArcSwap<IndexMap<id::Digest, ledger::Ledger>>,
    /// VMs that the platform is going to remove.
    pub leaving_vms: ArcSwap<Vec<id::VmId>>,
    /// Wakes the duties when a report calls for action.
    pub duties_trigger: Notify,
    /// Other entries that respond and are not shutting down.
    pub ready_peers: ArcSwap<Vec<id::EntryId>>,
    /// The client that sends metrics.
    pub metrics: StatsdClient,
    address: net::SocketAddr,
    platform_reachable: atomic::AtomicBool,
    shutting_down: atomic::AtomicBool,
    refusing: atomic::AtomicBool,
}

/// Locks a mutex; ignores poisoning, because a panic of a holder doesn't leave a partial update.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl App {
    /// Creates the state of an entry that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns a [`metrics::MetricsError`] if the metrics client can't be created.
    pub fn new(
        settings: settings::EntrySettings,
        address: net::SocketAddr,
    ) -> Result<sync::Arc<Self>, metrics::MetricsError> {
        let clock = clock::SystemClock;
        let now = clock.now();
        let client = sync::Arc::new(client::Client::new(settings.listen.ip()));
        let view = membership::View::new(membership::ViewLimits {
            silence_max: settings.silence_max,
            window: settings.window,
            join_age: settings.join_age,
        });
        let lease_limits = lease::LeaseLimits {
            term: settings.lease_term,
            margin: settings.lease_term / LEASE_MARGIN_DIVISOR,
            renew_every: settings.lease_term / LEASE_RENEWALS_PER_TERM,
        };
        let lease = lease::Lease::new(settings.entry.clone(), lease_limits);
        let app = Self {
            clock,
            started_at: now,
            objects: objects::ObjectClient::new(client.clone(), settings.object_api),
            watch_objects: objects::ObjectClient::new(client.clone(), settings.object_api),
            store: weights::StoreClient::new(client.clone(), settings.weight_store),
            client,
            view: ArcSwap::from_pointee(view.clone()),
            current_view: sync::Mutex::new(view),
            stats_by_vm: ArcSwap::from_pointee(IndexMap::new()),
            config: ArcSwap::from_pointee(intent::Config::default()),
            config_object_version: atomic::AtomicU64::new(0),
            retry_budget: limits::RetryBudget::new(settings.retry_percent, RETRY_BURST),
            counter: sync::Mutex::new(report::commands::Counter::new(now)),
            lease: sync::Mutex::new(lease),
            ledgers: ArcSwap::from_pointee(IndexMap::new()),
            leaving_vms: ArcSwap::from_pointee(Vec::new()),
            duties_trigger: Notify::new(),
            ready_peers: ArcSwap::from_pointee(Vec::new()),
            metrics: metrics::start("pimentohook.entry", settings.metrics)?,
            address,
            platform_reachable: atomic::AtomicBool::new(false),
            shutting_down: atomic::AtomicBool::new(false),
            refusing: atomic::AtomicBool::new(false),
            settings,
        };
        Ok(sync::Arc::new(app))
    }

    /// Starts the graceful shutdown, which removes the entry from the list of entries.
    pub fn begin_shutdown(&self) {
        self.shutting_down.store(true, atomic::Ordering::SeqCst);
    }

    /// Starts to refuse new requests.
    pub fn refuse_all(&self) {
        self.refusing.store(true, atomic::Ordering::SeqCst);
    }

    /// Records whether the object API responded.
    pub fn record_platform_reachable(&self, reachable: bool) {
        let was_reachable = self
            .platform_reachable
            .swap(reachable, atomic::Ordering::SeqCst);
        if was_reachable && !reachable {
            log::warn!("platform: the object API does not answer; serving on, accepting nothing.");
        }
        if !was_reachable && reachable {
            log::info!("platform: the object API answers.");
        }
    }

    /// Returns the address that this entry listens on.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns whether the object API responded to the last call.
    #[must_use]
    pub fn is_platform_reachable(&self) -> bool {
        self.platform_reachable.load(atomic::Ordering::SeqCst)
    }

    /// Returns whether this entry is shutting down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(atomic::Ordering::SeqCst)
    }

    /// Returns whether new requests are refused.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(atomic::Ordering::SeqCst)
    }

    /// Returns the statistics of an agent, if it is known.
    #[must_use]
    pub fn stats(&self, vm: &id::VmId) -> Option<sync::Arc<score::UpstreamStats>> {
        self.stats_by_vm.load().get(vm).cloned()
    }

    /// Returns the time since the start, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        let elapsed = self.clock.now().duration_since(self.started_at);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Counts a request for the burn report.
    pub fn count(&self, service: &id::ServiceName, outcome: report::commands::Outcome) {
        let objective = self.settings.objectives.get(service);
        let fast_ms = objective.map_or(u64::MAX, |objective| objective.latency_ms);
        let now = self.clock.now();
        lock(&self.counter).record(now, service, outcome, fast_ms);
    }

    /// Publishes a snapshot of the agents for requests.
    pub fn publish_view(&self, view: &membership::View) {
        self.view.store(sync::Arc::new(view.clone()));
    }
}
