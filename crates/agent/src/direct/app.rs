//! What the parts of the agent share.

use std::{net, sync, sync::atomic, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use cadence::StatsdClient;
use indexmap::{IndexMap, IndexSet};
use pimentohook_core::{
    burst::{self, chunks, giver, ledger},
    clock, engine, gate, id,
};
use pimentohook_platform::{origin, runner, store};
use pimentohook_runtime::{client, metrics};
use pimentohook_wire::direct;
use tokio::sync::Notify;

use super::settings;
use crate::{app::lock, transfer};

const STALL_MAX: time::Duration = time::Duration::from_millis(700);
/// Peers of the own failure domain go first, so that some VMs pass on more than others.
const LINK_PERCENT_MAX: u32 = 300;
const UPLOAD_SLOTS: u32 = 3;
/// VMs that come after the burst get whole copies too.
const REFILL: giver::Refill = giver::Refill {
    delay: time::Duration::from_millis(500),
    per_copy: time::Duration::from_secs(3),
};

/// What a version of the configuration says of the agent's service.
#[derive(Clone, Debug)]
pub struct Service {
    /// The version.
    pub configuration_version: u64,
    /// What its engines can do.
    pub figures: engine::EngineFigures,
    /// Where weights come from first.
    pub origin: Option<net::SocketAddr>,
}

/// The version that a model is to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When this agent learned of it.
    pub learned_at: time::Instant,
}

/// Another agent, as it was last heard.
#[derive(Clone, Debug)]
pub struct PeerStatus {
    /// The life of the agent.
    pub incarnation: id::Incarnation,
    /// What it holds.
    pub progress: burst::Progress,
    /// When it was heard.
    pub last_seen_at: time::Instant,
}

/// Another agent of the same service.
#[derive(Clone, Copy, Debug)]
pub struct PeerAgent {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Whether it is in the same failure domain.
    pub is_same_domain: bool,
}

/// Other agents of the same service.
pub type PeerAgents = IndexMap<id::VmId, PeerAgent>;

/// A version of a model.
pub type ModelVersion = (String, u64);

/// What the parts of the agent share.
pub struct App {
    /// The settings.
    pub settings: settings::DirectSettings,
    /// The clock.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Connections to entries and agents.
    pub client: sync::Arc<client::Client>,
    /// The engine.
    pub runner: runner::Runner,
    /// The object store.
    pub store: store::Store,
    /// The origin of weights.
    pub origin: origin::Origin,
    /// The weights held and under way.
    pub transfers: sync::Arc<transfer::Transfers>,
    /// Admission at the engine.
    pub admission: sync::Mutex<gate::Gate>,
    /// What the configuration says of the service; `None` until it is known.
    pub service: ArcSwapOption<Service>,
    /// The version that the model is to have; `None` until it is known.
    pub newest_version: ArcSwapOption<TargetVersion>,
    /// The versions that were named, the newest last.
    pub announced: ArcSwap<Vec<TargetVersion>>,
    /// Wakes whoever brings weights here, when a version was named.
    pub weights_announced: Notify,
    /// Whether the named versions were read from the store.
    pub announcements_read: atomic::AtomicBool,
    /// The other agents of the service.
    pub peers: ArcSwap<PeerAgents>,
    /// The VMs whose engines are leaving.
    pub leaving: ArcSwap<IndexSet<id::VmId>>,
    /// The entries.
    pub entries: ArcSwap<Vec<direct::PeerState>>,
    /// The manifests of the versions held or under way.
    pub manifests: sync::Mutex<IndexMap<ModelVersion, sync::Arc<origin::Manifest>>>,
    /// The agents that are being called.
    pub calls_in_flight: sync::Mutex<IndexSet<id::VmId>>,
    /// Whether a manifest is being asked of the origin.
    pub is_fetching_manifest: atomic::AtomicBool,
    /// What was heard from other agents about the wanted version.
    pub peer_statuses: sync::Mutex<IndexMap<id::VmId, PeerStatus>>,
    /// The recorded grants of the wanted version.
    pub ledger: ArcSwapOption<ledger::Ledger>,
    /// When grants were made, as far as this agent made them.
    pub grant_times: sync::Mutex<ledger::GrantClock>,
    /// Wakes whoever tells entries what the engine serves.
    pub engine_state_changed: Notify,
    /// Counters.
    pub metrics: StatsdClient,
    /// Where they are kept.
    pub metrics_registry: sync::Arc<metrics::Kept>,
    /// This VM among the agents.
    pub own_vm: id::VmId,
    /// The life of this agent.
    pub incarnation: id::Incarnation,
}

impl std::fmt::Debug for App {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("App").finish_non_exhaustive()
    }
}

const MANIFESTS_MAX: usize = 3;

impl App {
    /// Creates the state of an agent that knows nothing yet.
    #[must_use]
    pub fn new(settings: settings::DirectSettings) -> sync::Arc<Self> {
        let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::SystemClock);
        let local = settings.peers.ip();
        let client = sync::Arc::new(client::Client::new(local));
        let platform_client = sync::Arc::new(client::Client::new(local));
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
            same_domain_first: true,
            refill: REFILL,
            on_complete: Box::new(|| {}),
        };
        let metrics_registry = sync::Arc::new(metrics::Kept::default());
        sync::Arc::new(Self {
            metrics: metrics_registry.client("pimentohook.agent"),
            metrics_registry,
            runner: runner::Runner::new(settings.engine, platform_client.clone()),
            store: store::Store::new(
                settings.object_store,
                platform_client.clone(),
                clock.clone(),
            ),
            origin: origin::Origin::new(local),
            transfers: sync::Arc::new(transfer::Transfers::new(link)),
            admission: sync::Mutex::new(gate::Gate::new(clock.now())),
            service: ArcSwapOption::empty(),
            newest_version: ArcSwapOption::empty(),
            announced: ArcSwap::default(),
            weights_announced: Notify::new(),
            announcements_read: atomic::AtomicBool::new(false),
            peers: ArcSwap::default(),
            leaving: ArcSwap::default(),
            entries: ArcSwap::default(),
            manifests: sync::Mutex::new(IndexMap::new()),
            calls_in_flight: sync::Mutex::new(IndexSet::new()),
            is_fetching_manifest: atomic::AtomicBool::new(false),
            peer_statuses: sync::Mutex::new(IndexMap::new()),
            ledger: ArcSwapOption::empty(),
            grant_times: sync::Mutex::default(),
            engine_state_changed: Notify::new(),
            own_vm: vm_id_of(settings.engine.ip()),
            incarnation: id::Incarnation::new(u64::from(rand::random::<u32>())),
            client,
            clock,
            settings,
        })
    }

    /// Counts an event.
    pub fn count(&self, event: &str) {
        metrics::Kept::count(&self.metrics, event);
    }

    /// Returns whether the engine of a VM is leaving.
    #[must_use]
    pub fn is_leaving(&self, vm: &id::VmId) -> bool {
        self.leaving.load().contains(vm)
    }

    /// Returns the manifest of a version, if it is known.
    #[must_use]
    pub fn manifest(&self, version: &ModelVersion) -> Option<sync::Arc<origin::Manifest>> {
        lock(&self.manifests).get(version).cloned()
    }

    /// Returns what is held of a version, if its manifest is known.
    #[must_use]
    pub fn held_chunks(&self, target: &TargetVersion) -> Option<chunks::ChunkSet> {
        let manifest = self.manifest(&(target.model.clone(), target.version))?;
        self.transfers.held_chunks(manifest.digest())
    }

    /// Keeps a manifest; the oldest one goes.
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

    /// Returns what entries are told.
    #[must_use]
    pub fn engine_state(&self) -> direct::AgentNotice {
        let admission = lock(&self.admission);
        direct::AgentNotice {
            engine: self.settings.engine.to_string(),
            weights: admission.weights(),
            open: !admission.is_loading(),
        }
    }

    /// Makes a version the wanted one, unless a later one is.
    pub fn record_announced(&self, model: &str, version: u64) {
        let known = self.newest_version.load();
        let is_newer = known
            .as_ref()
            .is_none_or(|known| known.model != model || known.version < version);
        if !is_newer {
            return;
        }
        log::info!("agent: event=weights_wanted model={model} version={version}");
        lock(&self.peer_statuses).clear();
        self.ledger.store(None);
        *lock(&self.grant_times) = ledger::GrantClock::default();
        let target = TargetVersion {
            model: String::from(model),
            version,
            learned_at: self.clock.now(),
        };
        self.announced.rcu(|announced| {
            let mut announced = Vec::clone(announced);
            announced.push(target.clone());
            let surplus = announced.len().saturating_sub(MANIFESTS_MAX);
            announced.drain(..surplus);
            announced
        });
        self.newest_version.store(Some(sync::Arc::new(target)));
        self.weights_announced.notify_one();
    }

    /// Returns the place of a VM in the order that all agents agree on for a version.
    #[must_use]
    pub fn rank(&self, target: &TargetVersion) -> usize {
        let key = format!("{} {}", target.model, target.version);
        let mine = id::rendezvous_score(&key, self.own_vm.as_str());
        let peers = self.peers.load();
        let before = |vm: &&id::VmId| id::rendezvous_score(&key, vm.as_str()) > mine;
        peers.keys().filter(before).count()
    }
}

/// Returns the name of a VM, which is the same for all agents.
#[must_use]
pub fn vm_id_of(address: net::IpAddr) -> id::VmId {
    let text = address.to_string().replace(':', ".");
    text.parse()
        .unwrap_or_else(|error| unreachable!("an address is a name: {error}"))
}
