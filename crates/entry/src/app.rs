//! What the parts of the entry share.

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

use crate::settings;

const RETRY_BURST: u64 = 20;
const LEASE_RENEWALS_PER_TERM: u32 = 4;
const LEASE_MARGIN_SHARE: u32 = 4;

/// The entry's state.
#[derive(Debug)]
pub struct App {
    /// The settings.
    pub settings: settings::EntrySettings,
    /// The time.
    pub clock: clock::SystemClock,
    /// When this process started.
    pub started_at: time::Instant,
    /// Calls to other processes of the system.
    pub client: sync::Arc<client::Client>,
    /// The object API.
    pub objects: objects::ObjectClient,
    /// The object API, for the one watch, whose waiting must not hold up other calls.
    pub watch: objects::ObjectClient,
    /// The weight store.
    pub store: weights::StoreClient,
    /// The agents, as requests see them.
    pub view: ArcSwap<membership::View>,
    /// The agents, as heartbeats change them.
    pub view_owner: sync::Mutex<membership::View>,
    /// What was learned of each agent.
    pub records: ArcSwap<IndexMap<id::VmId, sync::Arc<score::UpstreamStats>>>,
    /// The configuration in force.
    pub config: ArcSwap<intent::Config>,
    /// The version of the configuration's object at the platform.
    pub config_object_version: atomic::AtomicU64,
    /// Retries that may still be spent.
    pub retries: limits::RetryBudget,
    /// Counts for the burn report.
    pub counter: sync::Mutex<report::commands::Counter>,
    /// The lease on the duties.
    pub lease: sync::Mutex<lease::Lease>,
    /// The origin ledgers, by manifest, as far as they are recorded at the platform.
    pub ledgers: ArcSwap<IndexMap<id::Digest, ledger::Ledger>>,
    /// VMs that the platform says will be taken away.
    pub leaving_vms: ArcSwap<Vec<id::VmId>>,
    /// Other entries that answer and stay.
    pub ready_peers: ArcSwap<Vec<id::EntryId>>,
    /// Metrics.
    pub metrics: StatsdClient,
    address: net::SocketAddr,
    platform_reachable: atomic::AtomicBool,
    leaving: atomic::AtomicBool,
    refusing: atomic::AtomicBool,
}

/// Locks a mutex; a panic while it was held has left a whole value.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl App {
    /// Creates the state of an entry that listens on `address`.
    ///
    /// # Errors
    ///
    /// [`metrics::MetricsError`] where metrics can't be sent.
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
            margin: settings.lease_term / LEASE_MARGIN_SHARE,
            renew_every: settings.lease_term / LEASE_RENEWALS_PER_TERM,
        };
        let lease = lease::Lease::new(settings.entry.clone(), lease_limits);
        let app = Self {
            clock,
            started_at: now,
            objects: objects::ObjectClient::new(client.clone(), settings.object_api),
            watch: objects::ObjectClient::new(client.clone(), settings.object_api),
            store: weights::StoreClient::new(client.clone(), settings.weight_store),
            client,
            view: ArcSwap::from_pointee(view.clone()),
            view_owner: sync::Mutex::new(view),
            records: ArcSwap::from_pointee(IndexMap::new()),
            config: ArcSwap::from_pointee(intent::Config::default()),
            config_object_version: atomic::AtomicU64::new(0),
            retries: limits::RetryBudget::new(settings.retry_percent, RETRY_BURST),
            counter: sync::Mutex::new(report::commands::Counter::new(now)),
            lease: sync::Mutex::new(lease),
            ledgers: ArcSwap::from_pointee(IndexMap::new()),
            leaving_vms: ArcSwap::from_pointee(Vec::new()),
            ready_peers: ArcSwap::from_pointee(Vec::new()),
            metrics: metrics::start("pimentohook.entry", settings.metrics)?,
            address,
            platform_reachable: atomic::AtomicBool::new(false),
            leaving: atomic::AtomicBool::new(false),
            refusing: atomic::AtomicBool::new(false),
            settings,
        };
        Ok(sync::Arc::new(app))
    }

    /// Drops out of the list of entries.
    pub fn begin_leaving(&self) {
        self.leaving.store(true, atomic::Ordering::SeqCst);
    }

    /// Refuses new requests from now on.
    pub fn refuse_all(&self) {
        self.refusing.store(true, atomic::Ordering::SeqCst);
    }

    /// Records whether the object API answers.
    pub fn record_platform(&self, reachable: bool) {
        let before = self
            .platform_reachable
            .swap(reachable, atomic::Ordering::SeqCst);
        if before && !reachable {
            log::warn!("platform: the object API does not answer; serving on, accepting nothing.");
        }
        if !before && reachable {
            log::info!("platform: the object API answers.");
        }
    }

    /// Returns where this entry listens.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns whether the object API answered last.
    #[must_use]
    pub fn is_platform_reachable(&self) -> bool {
        self.platform_reachable.load(atomic::Ordering::SeqCst)
    }

    /// Returns whether this entry leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::SeqCst)
    }

    /// Returns whether new requests are refused.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(atomic::Ordering::SeqCst)
    }

    /// Returns the record of an agent, where it is known.
    #[must_use]
    pub fn record(&self, vm: &id::VmId) -> Option<sync::Arc<score::UpstreamStats>> {
        self.records.load().get(vm).cloned()
    }

    /// Returns the present time in milliseconds since the start.
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

    /// Publishes the agents for requests.
    pub fn publish_view(&self, view: &membership::View) {
        self.view.store(sync::Arc::new(view.clone()));
    }
}
