//! State shared by the agent's tasks and request handlers.

use std::{net, sync, sync::atomic, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use cadence::StatsdClient;
use indexmap::{IndexMap, IndexSet};
use pimentohook_core::{
    burst::{chunks, uploader},
    clock, cold, engine, engine_admission, id, load_vouching, organisation_shares, pace, routes,
};
use pimentohook_platform::{origin, runner, store};
use pimentohook_runtime::{announcements, client, metrics, standstill};
use pimentohook_wire::direct;
use tokio::sync::Notify;

use super::{ledger_recovery, peer_statuses, settings, version_ledgers};
use crate::{mutex::lock, transfer};

const STALL_MAX: time::Duration = time::Duration::from_millis(700);
/// Peers in the same failure domain are preferred, so some VMs upload more than others.
const LINK_PERCENT_MAX: u32 = 300;
const UPLOAD_SLOTS: u32 = 3;
/// Lets VMs that join after the burst download complete copies too.
const CREDIT_REFILL: uploader::CreditRefill = uploader::CreditRefill {
    delay: time::Duration::from_millis(500),
    per_copy: time::Duration::from_secs(3),
};

/// The part of a configuration that concerns the agent's service.
#[derive(Clone, Debug)]
pub struct Service {
    /// The version of the configuration.
    pub configuration_version: u64,
    /// The performance profile of the service's engines.
    pub figures: engine::EngineProfile,
    /// The origin of the service's weights.
    pub origin: Option<net::SocketAddr>,
    /// What a cold engine bears; `None` if the service's engines are never cold.
    pub cold: Option<routes::ColdLimit>,
}

/// An announced version of a model, which the agent is to load into its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When this agent learned of the announcement.
    pub learned_at: time::Instant,
}

/// Another agent of the same service.
#[derive(Clone, Copy, Debug)]
pub struct PeerAgent {
    /// The address that it listens on.
    pub address: net::SocketAddr,
    /// Whether it is in the same failure domain as this agent.
    pub is_same_domain: bool,
}

/// The other agents of the same service, by VM.
pub type PeerAgents = IndexMap<id::VmId, PeerAgent>;

/// The name of a model and its version number.
pub type ModelVersion = (String, u64);

/// The agent's shared state.
pub struct App {
    /// The settings.
    pub settings: settings::DirectSettings,
    /// The source of the current time.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// The client for calls to entries and other agents.
    pub client: sync::Arc<client::Client>,
    /// The client for the engine.
    pub runner: runner::RunnerClient,
    /// The client for the object store.
    pub store: store::StoreClient,
    /// The client for the origin, which has all weights.
    pub origin: origin::OriginClient,
    /// The sets of weights that are held or being downloaded.
    pub transfers: sync::Arc<transfer::Transfers>,
    /// Admission control of the engine.
    pub admission: sync::Mutex<engine_admission::EngineAdmission>,
    /// Whether what the engine has loaded is known to be what was read back.
    pub loads: sync::Mutex<load_vouching::LoadVouching>,
    /// Whether the engine is cold, and what it was granted lately.
    pub cold: sync::Mutex<cold::ColdEngine>,
    /// What the engine gets at once after it has started or recovered.
    pub pace: sync::Mutex<pace::EnginePacer>,
    /// The agent's service; `None` until a configuration is known.
    pub service: ArcSwapOption<Service>,
    /// The newest announced version; `None` until one is known.
    pub newest_version: ArcSwapOption<TargetVersion>,
    /// The announced versions to load, the newest last.
    pub announced: ArcSwap<Vec<TargetVersion>>,
    /// When versions were announced.
    pub announcements: announcements::SharedAnnouncements,
    /// Wakes the download loop when a version is announced, its manifest arrives or a grant was used.
    pub swarm_changed: sync::Arc<Notify>,
    /// Whether a grant was used since the last report to the grantors.
    pub is_grant_used: sync::Arc<atomic::AtomicBool>,
    /// Whether the announced versions have been read from the store.
    pub announcements_read: atomic::AtomicBool,
    /// The other agents of the service.
    pub peers: ArcSwap<PeerAgents>,
    /// The VMs that the platform is taking away.
    pub leaving_vms: ArcSwap<IndexSet<id::VmId>>,
    /// Whether the engine said in its last report that it is leaving.
    pub is_engine_leaving: atomic::AtomicBool,
    /// Whether the engine's first report was received, or not in time.
    pub is_first_report_over: atomic::AtomicBool,
    /// The registered entries.
    pub entries: ArcSwap<Vec<direct::PeerState>>,
    /// The manifests of the versions that are held or being downloaded.
    pub manifests: sync::Mutex<IndexMap<ModelVersion, sync::Arc<origin::Manifest>>>,
    /// The agents that have an unanswered call from this one.
    pub calls_in_flight: sync::Mutex<IndexSet<id::VmId>>,
    /// The version whose manifest is being fetched from the origin.
    pub fetched_manifest: sync::Mutex<Option<ModelVersion>>,
    /// What other agents last reported of the announced versions.
    pub peer_statuses: sync::Mutex<peer_statuses::PeerStatuses>,
    /// The ledgers of the versions of which this agent is or was the grantor.
    pub version_ledgers: sync::Mutex<version_ledgers::VersionLedgers>,
    /// What this agent knows of the ledgers besides what the store has.
    pub recovery: sync::Mutex<ledger_recovery::Recovery>,
    /// Held while the engine's report is read for a request for a slot.
    pub report_refresh: tokio::sync::Mutex<()>,
    /// Since when the engine is known not to answer.
    pub engine_silent_since: sync::Mutex<Option<time::Instant>>,
    /// Wakes the task that notifies entries of the engine's state.
    pub engine_state_changed: Notify,
    /// When this process did not run for a while.
    pub standstills: sync::Arc<standstill::Standstills>,
    /// What organisations have asked of the engine and were served.
    pub shares: sync::Mutex<organisation_shares::Shares>,
    /// The client that records metrics.
    pub metrics: sync::Arc<StatsdClient>,
    /// The registry that metrics are served from.
    pub metrics_registry: sync::Arc<metrics::Registry>,
    /// The id that other agents know this VM by.
    pub own_vm: id::VmId,
    /// The incarnation of this process.
    pub incarnation: id::Incarnation,
}

impl std::fmt::Debug for App {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("App").finish_non_exhaustive()
    }
}

const MANIFESTS_MAX: usize = 3;
/// Reports of other agents are kept for at least this long.
const PEER_REPORT_LIFETIME: time::Duration = time::Duration::from_secs(10);

impl App {
    /// Creates the state of an agent that has no configuration and no weights yet.
    #[must_use]
    pub fn new(settings: settings::DirectSettings) -> sync::Arc<Self> {
        let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::SystemClock);
        let local_ip = settings.peers.ip();
        let client = sync::Arc::new(client::Client::new(local_ip));
        let platform_client = sync::Arc::new(client::Client::new(local_ip));
        let swarm_changed = sync::Arc::new(Notify::new());
        let is_grant_used = sync::Arc::new(atomic::AtomicBool::new(false));
        let link = transfer::Link {
            clock: clock.clone(),
            client: client.clone(),
            failure_domain: settings.failure_domain.clone(),
            outgoing_rate: settings.weights_rate,
            incoming_rate: None,
            link_percent_max: LINK_PERCENT_MAX,
            upload_slots: UPLOAD_SLOTS,
            sets_max: MANIFESTS_MAX,
            stall_max: STALL_MAX,
            prefer_same_domain: true,
            credit_refill: CREDIT_REFILL,
            on_complete: Box::new(|| {}),
            on_grant_used: {
                let (swarm_changed, is_grant_used) = (swarm_changed.clone(), is_grant_used.clone());
                Box::new(move || {
                    is_grant_used.store(true, atomic::Ordering::Relaxed);
                    swarm_changed.notify_one();
                })
            },
        };
        let metrics_registry = sync::Arc::new(metrics::Registry::default());
        sync::Arc::new(Self {
            standstills: sync::Arc::new(standstill::Standstills::new(clock.clone())),
            shares: sync::Mutex::new(organisation_shares::Shares::new(clock.now())),
            metrics: sync::Arc::new(metrics_registry.client("pimentohook.agent")),
            metrics_registry,
            runner: runner::RunnerClient::new(
                settings.engine,
                platform_client.clone(),
                clock.clone(),
            ),
            store: store::StoreClient::new(
                settings.object_store,
                platform_client.clone(),
                clock.clone(),
            ),
            origin: origin::OriginClient::new(local_ip),
            transfers: sync::Arc::new(transfer::Transfers::new(link)),
            admission: sync::Mutex::new(engine_admission::EngineAdmission::new(clock.now())),
            loads: sync::Mutex::default(),
            cold: sync::Mutex::new(cold::ColdEngine::new(clock.now())),
            pace: sync::Mutex::default(),
            service: ArcSwapOption::empty(),
            newest_version: ArcSwapOption::empty(),
            announced: ArcSwap::default(),
            announcements: announcements::SharedAnnouncements::new(
                clock.clone(),
                settings.weights_grace,
            ),
            swarm_changed,
            is_grant_used,
            announcements_read: atomic::AtomicBool::new(false),
            peers: ArcSwap::default(),
            leaving_vms: ArcSwap::default(),
            is_engine_leaving: atomic::AtomicBool::new(false),
            is_first_report_over: atomic::AtomicBool::new(false),
            entries: ArcSwap::default(),
            manifests: sync::Mutex::new(IndexMap::new()),
            calls_in_flight: sync::Mutex::new(IndexSet::new()),
            fetched_manifest: sync::Mutex::default(),
            peer_statuses: sync::Mutex::default(),
            version_ledgers: sync::Mutex::default(),
            recovery: sync::Mutex::default(),
            report_refresh: tokio::sync::Mutex::new(()),
            engine_silent_since: sync::Mutex::default(),
            engine_state_changed: Notify::new(),
            own_vm: vm_id_of(settings.engine.ip()),
            incarnation: id::Incarnation::new(u64::from(rand::random::<u32>())),
            client,
            clock,
            settings,
        })
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

    /// Returns whether the platform is taking a VM away, or the engine on this VM says that it is
    /// leaving.
    #[must_use]
    pub fn is_leaving(&self, vm: &id::VmId) -> bool {
        let is_engine_leaving =
            *vm == self.own_vm && self.is_engine_leaving.load(atomic::Ordering::Relaxed);
        is_engine_leaving || self.leaving_vms.load().contains(vm)
    }

    /// Returns the manifest of a version, if it is known.
    #[must_use]
    pub fn manifest(&self, version: &ModelVersion) -> Option<sync::Arc<origin::Manifest>> {
        lock(&self.manifests).get(version).cloned()
    }

    /// Returns the chunks of a version that are held, if its manifest is known.
    #[must_use]
    pub fn held_chunks(&self, target: &TargetVersion) -> Option<chunks::ChunkSet> {
        let manifest = self.manifest(&(target.model.clone(), target.version))?;
        self.transfers.held_chunks(manifest.digest())
    }

    /// Returns when the last chunk of a version was downloaded.
    #[must_use]
    pub fn last_chunk_at(&self, target: &TargetVersion) -> Option<time::Instant> {
        let manifest = self.manifest(&(target.model.clone(), target.version))?;
        self.transfers.last_chunk_at(manifest.digest())
    }

    /// Inserts a manifest; drops the oldest if there are too many.
    pub fn insert_manifest(&self, manifest: origin::Manifest) -> sync::Arc<origin::Manifest> {
        let version = (manifest.model.clone(), manifest.version);
        let manifest = sync::Arc::new(manifest);
        let mut manifests = lock(&self.manifests);
        manifests.insert(version, manifest.clone());
        while manifests.len() > MANIFESTS_MAX {
            manifests.shift_remove_index(0);
        }
        manifest
    }

    /// Returns the state of the engine that is reported to entries.
    #[must_use]
    pub fn engine_state(&self) -> direct::EngineState {
        let admission = lock(&self.admission);
        direct::EngineState {
            engine: self.settings.engine.to_string(),
            weights: admission.weights(),
            open: !admission.is_loading(),
        }
    }

    /// Sets a version as the one to load, unless the same or a later one of the model is set.
    pub fn set_target(&self, model: &str, version: u64) {
        let is_known = |known: &TargetVersion| known.model == model && known.version >= version;
        if self.announced.load().iter().any(is_known) {
            return;
        }
        log::info!("agent: event=weights_wanted model={model} version={version}");
        let now = self.clock.now();
        if let Some(oldest) = now.checked_sub(PEER_REPORT_LIFETIME) {
            lock(&self.peer_statuses).forget_before(oldest);
        }
        let target = TargetVersion {
            model: String::from(model),
            version,
            learned_at: now,
        };
        self.announced.rcu(|announced| {
            let mut announced = Vec::clone(announced);
            announced.push(target.clone());
            let surplus = announced.len().saturating_sub(MANIFESTS_MAX);
            announced.drain(..surplus);
            announced
        });
        self.newest_version.store(Some(sync::Arc::new(target)));
        self.swarm_changed.notify_one();
    }

    /// Returns the rank of this VM in the rendezvous order of a version, which is the same at all
    /// agents that know the same peers.
    #[must_use]
    pub fn rank(&self, target: &TargetVersion) -> usize {
        let key = format!("{} {}", target.model, target.version);
        let own_score = id::rendezvous_score(&key, self.own_vm.as_str());
        let peers = self.peers.load();
        let is_ranked_before = |vm: &&id::VmId| id::rendezvous_score(&key, vm.as_str()) > own_score;
        peers.keys().filter(is_ranked_before).count()
    }
}

/// Returns the id of the VM with an address, which is the same at all agents.
#[must_use]
pub fn vm_id_of(address: net::IpAddr) -> id::VmId {
    let text = address.to_string().replace(':', ".");
    text.parse()
        .unwrap_or_else(|error| unreachable!("an IP address makes a valid VM id: {error}"))
}
