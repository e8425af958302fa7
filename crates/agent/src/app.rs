//! What the parts of the agent share.

use std::{net, sync, sync::atomic, time};

use arc_swap::ArcSwap;
use cadence::StatsdClient;
use pimentohook_core::{
    admission,
    burst::{activation, uploader},
    clock::{self, Clock},
    id, intent, limits, membership,
};
use pimentohook_platform::{engine, weights};
use pimentohook_runtime::{client, metrics};
use tokio::sync::watch;

use crate::{answers, settings, transfer};

const ACTIVE_WINDOW: time::Duration = time::Duration::from_secs(2);
const LINK_PERCENT_MAX: u32 = 200;
const UPLOAD_SLOTS: u32 = 3;
/// The set in service and the one that the configuration names.
const SETS_MAX: usize = 2;
const REFILL: uploader::CreditRefill = uploader::CreditRefill {
    delay: time::Duration::from_mins(2),
    per_copy: time::Duration::from_mins(10),
};
const FIRST_BYTE_SHARE: u64 = 8;

/// The agent's state.
#[derive(Debug)]
pub struct App {
    /// The settings.
    pub settings: settings::AgentSettings,
    /// The time.
    pub clock: clock::SystemClock,
    /// Calls to other processes of the system.
    pub client: sync::Arc<client::Client>,
    /// The engine or plain service.
    pub engine: engine::EngineClient,
    /// The weight store; engines only.
    pub store: Option<weights::StoreClient>,
    /// The table of requests.
    pub table: sync::Mutex<admission::RequestTable>,
    /// The answers.
    pub answers: answers::Answers,
    /// The activation of weights.
    pub activation: sync::Mutex<activation::Activation>,
    /// The weights held and under way.
    pub transfers: sync::Arc<transfer::Transfers>,
    /// The configuration in force.
    pub config: ArcSwap<intent::Config>,
    /// Metrics.
    pub metrics: StatsdClient,
    news: watch::Sender<()>,
    address: net::SocketAddr,
    leaving: atomic::AtomicBool,
    first_byte_mean_ms: atomic::AtomicU64,
}

/// Locks a mutex; a panic while it was held has left a whole value.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl App {
    /// Creates the state of an agent that listens on `address`.
    ///
    /// # Errors
    ///
    /// [`metrics::MetricsError`] where metrics can't be sent.
    pub fn new(
        settings: settings::AgentSettings,
        address: net::SocketAddr,
    ) -> Result<sync::Arc<Self>, metrics::MetricsError> {
        let clock = clock::SystemClock;
        let client = sync::Arc::new(client::Client::new(settings.listen.ip()));
        let engine = engine::EngineClient::new(
            client.clone(),
            settings.upstream,
            settings.upstream_silence_max,
        );
        let store = settings
            .weight_store
            .map(|address| weights::StoreClient::new(client.clone(), address));
        let table = admission::RequestTable::new(
            new_incarnation(),
            clock.now(),
            admission::RequestTableLimits {
                window: settings.window,
                entries_max: settings.remembered_max,
                view_age_max: settings.view_age_max,
            },
            limits::FairSlots::new(settings.slot_count + settings.queue_max, ACTIVE_WINDOW),
        );
        let news = watch::Sender::new(());
        let told = news.clone();
        let link = transfer::Link {
            clock: sync::Arc::new(clock),
            client: client.clone(),
            failure_domain: settings.failure_domain.clone(),
            outgoing_rate: settings.weights_rate,
            incoming_rate: Some(settings.weights_rate),
            link_percent_max: LINK_PERCENT_MAX,
            upload_slots: UPLOAD_SLOTS,
            sets_max: SETS_MAX,
            stall_max: settings.stall_max,
            near_first: false,
            refill: REFILL,
            on_whole: Box::new(move || {
                told.send_replace(());
            }),
        };
        let app = Self {
            clock,
            client,
            engine,
            store,
            table: sync::Mutex::new(table),
            answers: answers::Answers::new(settings.answers_max, settings.window),
            activation: sync::Mutex::new(activation::Activation::new()),
            transfers: sync::Arc::new(transfer::Transfers::new(link)),
            config: ArcSwap::from_pointee(intent::Config::default()),
            metrics: metrics::start("pimentohook.agent", settings.metrics)?,
            news,
            address: settings.advertise.unwrap_or(address),
            leaving: atomic::AtomicBool::new(false),
            first_byte_mean_ms: atomic::AtomicU64::new(0),
            settings,
        };
        Ok(sync::Arc::new(app))
    }

    /// Takes no new work from now on.
    pub fn leave(&self) {
        let before = self.leaving.swap(true, atomic::Ordering::SeqCst);
        if !before {
            self.tell_entries();
        }
    }

    /// Sends heartbeats now instead of at their time.
    pub fn tell_entries(&self) {
        self.news.send_replace(());
    }

    /// Returns a receiver that wakes where heartbeats are to be sent at once.
    #[must_use]
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        lock(&self.table).running_count()
    }

    /// Returns whether nothing runs and every answer was passed on.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running_count() == 0 && self.answers.unfetched_count() == 0
    }

    /// Returns the service that the configuration wants here.
    #[must_use]
    pub fn service(&self) -> id::ServiceName {
        let config = self.config.load();
        config
            .service_of(&self.settings.vm, &self.settings.service)
            .clone()
    }

    /// Returns what a dispatch is decided by.
    #[must_use]
    pub fn gate(&self) -> admission::AdmissionConditions {
        let first_byte_ms = self.first_byte_mean_ms.load(atomic::Ordering::Relaxed);
        let (openness, weights) = match self.settings.kind {
            settings::UpstreamKind::Plain => (admission::AdmissionState::Open, None),
            settings::UpstreamKind::Engine => {
                let activation = lock(&self.activation);
                let weights = activation.serving().map(|weights| weights.content);
                (activation.openness(), weights)
            }
        };
        let openness = if self.is_leaving() {
            admission::AdmissionState::Leaving
        } else {
            openness
        };
        admission::AdmissionConditions {
            openness,
            weights,
            expected_duration: time::Duration::from_millis(first_byte_ms),
        }
    }

    /// Returns what is told to entries.
    #[must_use]
    pub fn report(&self) -> membership::AgentReport {
        let gate = self.gate();
        let table = lock(&self.table);
        let fencing_seen = lock(&self.activation).fencing_seen();
        membership::AgentReport {
            vm: self.settings.vm.clone(),
            service: self.service(),
            address: self.address,
            failure_domain: self.settings.failure_domain.clone(),
            incarnation: table.incarnation(),
            view_stamp: table.view_stamp(self.clock.now()),
            openness: gate.openness,
            weights: gate.weights,
            slot_count: u32::try_from(self.settings.slot_count).unwrap_or(u32::MAX),
            running_count: u32::try_from(table.running_count()).unwrap_or(u32::MAX),
            config_version: self.config.load().version,
            fencing: fencing_seen.unwrap_or_default(),
            burst: self.transfers.progress(),
        }
    }

    /// Records how long an answer took to begin.
    pub fn record_first_byte(&self, latency: time::Duration) {
        let latency_ms = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        let mean_ms = self.first_byte_mean_ms.load(atomic::Ordering::Relaxed);
        let moved = (mean_ms * (FIRST_BYTE_SHARE - 1) + latency_ms) / FIRST_BYTE_SHARE;
        self.first_byte_mean_ms
            .store(moved, atomic::Ordering::Relaxed);
    }

    fn is_leaving(&self) -> bool {
        let told = self.leaving.load(atomic::Ordering::SeqCst);
        told || self.config.load().draining.contains(&self.settings.vm)
    }
}

/// Returns a number that is higher for each later start on this VM.
fn new_incarnation() -> id::Incarnation {
    let since_epoch = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    id::Incarnation::new(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
