//! What the parts of the agent share.

use std::{net, sync, sync::atomic, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use cadence::StatsdClient;
use indexmap::{IndexMap, IndexSet};
use pimentohook_core::{
    burst::{self, chunks, ledger, uploader},
    clock, engine, engine_admission, id,
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
const REFILL: uploader::CreditRefill = uploader::CreditRefill {
    delay: time::Duration::from_millis(500),
    per_copy: time::Duration::from_secs(3),
};

/// What a version of the configuration says of the agent's service.
#[derive(Clone, Debug)]
pub struct Service {
    /// The version.
    pub configuration: u64,
    /// What its engines can do.
    pub figures: engine::EngineProfile,
    /// Where weights come from first.
    pub origin: Option<net::SocketAddr>,
}

/// The version that a model is to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// When this agent learned of it.
    pub since: time::Instant,
}

/// Another agent, as it was last heard.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The life of the agent.
    pub incarnation: id::Incarnation,
    /// What it holds.
    pub progress: burst::Progress,
    /// When it was heard.
    pub at: time::Instant,
}

/// Another agent of the same service.
#[derive(Clone, Copy, Debug)]
pub struct Other {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Whether it is in the same failure domain.
    pub is_near: bool,
}

/// Other agents of the same service.
pub type Others = IndexMap<id::VmId, Other>;

/// A version of a model.
pub type Version = (String, u64);

/// What the parts of the agent share.
pub struct App {
    /// The settings.
    pub settings: settings::DirectSettings,
    /// The clock.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Connections to entries and agents.
    pub client: sync::Arc<client::Client>,
    /// The engine.
    pub runner: runner::RunnerClient,
    /// The object store.
    pub store: store::StoreClient,
    /// The origin of weights.
    pub origin: origin::OriginClient,
    /// The weights held and under way.
    pub transfers: sync::Arc<transfer::Transfers>,
    /// Admission at the engine.
    pub gate: sync::Mutex<engine_admission::EngineAdmission>,
    /// What the configuration says of the service; `None` until it is known.
    pub service: ArcSwapOption<Service>,
    /// The version that the model is to have; `None` until it is known.
    pub target: ArcSwapOption<Target>,
    /// The versions that were named, the newest last.
    pub named: ArcSwap<Vec<Target>>,
    /// Wakes whoever brings weights here, when a version was named.
    pub weights_named: Notify,
    /// Whether the named versions were read from the store.
    pub weights_read: atomic::AtomicBool,
    /// The other agents of the service.
    pub others: ArcSwap<Others>,
    /// The VMs whose engines are leaving.
    pub leaving: ArcSwap<IndexSet<id::VmId>>,
    /// The entries.
    pub entries: ArcSwap<Vec<direct::PeerState>>,
    /// The manifests of the versions held or under way.
    pub manifests: sync::Mutex<IndexMap<Version, sync::Arc<origin::Manifest>>>,
    /// The agents that are being called.
    pub calling: sync::Mutex<IndexSet<id::VmId>>,
    /// Whether a manifest is being asked of the origin.
    pub asking_origin: atomic::AtomicBool,
    /// What was heard from other agents about the wanted version.
    pub heard: sync::Mutex<IndexMap<id::VmId, Heard>>,
    /// The recorded grants of the wanted version.
    pub ledger: ArcSwapOption<ledger::Ledger>,
    /// When grants were made, as far as this agent made them.
    pub grant_clock: sync::Mutex<ledger::GrantTimes>,
    /// Wakes whoever tells entries what the engine serves.
    pub notice: Notify,
    /// Counters.
    pub metrics: StatsdClient,
    /// Where they are kept.
    pub kept: sync::Arc<metrics::Registry>,
    /// This VM among the agents.
    pub me: id::VmId,
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
        let outside = sync::Arc::new(client::Client::new(local));
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
            near_first: true,
            refill: REFILL,
            on_whole: Box::new(|| {}),
        };
        let kept = sync::Arc::new(metrics::Registry::default());
        sync::Arc::new(Self {
            metrics: kept.client("pimentohook.agent"),
            kept,
            runner: runner::RunnerClient::new(settings.engine, outside.clone()),
            store: store::StoreClient::new(settings.object_store, outside.clone(), clock.clone()),
            origin: origin::OriginClient::new(local),
            transfers: sync::Arc::new(transfer::Transfers::new(link)),
            gate: sync::Mutex::new(engine_admission::EngineAdmission::new(clock.now())),
            service: ArcSwapOption::empty(),
            target: ArcSwapOption::empty(),
            named: ArcSwap::default(),
            weights_named: Notify::new(),
            weights_read: atomic::AtomicBool::new(false),
            others: ArcSwap::default(),
            leaving: ArcSwap::default(),
            entries: ArcSwap::default(),
            manifests: sync::Mutex::new(IndexMap::new()),
            calling: sync::Mutex::new(IndexSet::new()),
            asking_origin: atomic::AtomicBool::new(false),
            heard: sync::Mutex::new(IndexMap::new()),
            ledger: ArcSwapOption::empty(),
            grant_clock: sync::Mutex::default(),
            notice: Notify::new(),
            me: vm_of(settings.engine.ip()),
            incarnation: id::Incarnation::new(u64::from(rand::random::<u32>())),
            client,
            clock,
            settings,
        })
    }

    /// Counts an event.
    pub fn count(&self, event: &str) {
        metrics::Registry::count(&self.metrics, event);
    }

    /// Returns whether the engine of a VM is leaving.
    #[must_use]
    pub fn is_leaving(&self, vm: &id::VmId) -> bool {
        self.leaving.load().contains(vm)
    }

    /// Returns the manifest of a version, if it is known.
    #[must_use]
    pub fn manifest(&self, version: &Version) -> Option<sync::Arc<origin::Manifest>> {
        lock(&self.manifests).get(version).cloned()
    }

    /// Returns what is held of a version, if its manifest is known.
    #[must_use]
    pub fn held(&self, target: &Target) -> Option<chunks::ChunkSet> {
        let manifest = self.manifest(&(target.model.clone(), target.version))?;
        self.transfers.held_of(manifest.digest())
    }

    /// Keeps a manifest; the oldest one goes.
    pub fn keep_manifest(&self, manifest: origin::Manifest) -> sync::Arc<origin::Manifest> {
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
    pub fn state(&self) -> direct::EngineState {
        let gate = lock(&self.gate);
        direct::EngineState {
            engine: self.settings.engine.to_string(),
            weights: gate.weights(),
            open: !gate.is_loading(),
        }
    }

    /// Makes a version the wanted one, unless a later one is.
    pub fn want(&self, model: &str, version: u64) {
        let known = self.target.load();
        let is_newer = known
            .as_ref()
            .is_none_or(|known| known.model != model || known.version < version);
        if !is_newer {
            return;
        }
        log::info!("agent: event=weights_wanted model={model} version={version}");
        lock(&self.heard).clear();
        self.ledger.store(None);
        *lock(&self.grant_clock) = ledger::GrantTimes::default();
        let target = Target {
            model: String::from(model),
            version,
            since: self.clock.now(),
        };
        self.named.rcu(|named| {
            let mut named = Vec::clone(named);
            named.push(target.clone());
            let surplus = named.len().saturating_sub(MANIFESTS_MAX);
            named.drain(..surplus);
            named
        });
        self.target.store(Some(sync::Arc::new(target)));
        self.weights_named.notify_one();
    }

    /// Returns the place of a VM in the order that all agents agree on for a version.
    #[must_use]
    pub fn rank(&self, target: &Target) -> usize {
        let key = format!("{} {}", target.model, target.version);
        let mine = id::rendezvous_score(&key, self.me.as_str());
        let others = self.others.load();
        let before = |vm: &&id::VmId| id::rendezvous_score(&key, vm.as_str()) > mine;
        others.keys().filter(before).count()
    }
}

/// Returns the name of a VM, which is the same for all agents.
#[must_use]
pub fn vm_of(address: net::IpAddr) -> id::VmId {
    let text = address.to_string().replace(':', ".");
    text.parse()
        .unwrap_or_else(|error| unreachable!("an address is a name: {error}"))
}
