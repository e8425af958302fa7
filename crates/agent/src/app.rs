//! State shared by the tasks and request handlers of an agent in gateway mode.

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

use crate::{mutex::lock, responses, settings, transfer};

const ACTIVE_WINDOW: time::Duration = time::Duration::from_secs(2);
const LINK_PERCENT_MAX: u32 = 200;
const UPLOAD_SLOTS: u32 = 3;
/// The set that the engine serves and the one that the configuration announces.
const SETS_MAX: usize = 2;
const CREDIT_REFILL: uploader::CreditRefill = uploader::CreditRefill {
    delay: time::Duration::from_mins(2),
    per_copy: time::Duration::from_mins(10),
};
/// The weight of a new sample in the moving average of the time to first byte is one divided by
/// this.
const FIRST_BYTE_SMOOTHING_DIVISOR: u64 = 8;

/// The agent's shared state.
#[derive(Debug)]
pub struct App {
    /// The settings.
    pub settings: settings::AgentSettings,
    /// The source of the current time.
    pub clock: clock::SystemClock,
    /// The client for calls to other processes.
    pub client: sync::Arc<client::Client>,
    /// The client for the engine or plain service.
    pub engine: engine::EngineClient,
    /// The client for the weight store; `None` without one, as beside plain services.
    pub store: Option<weights::StoreClient>,
    /// The request table, which admits and deduplicates requests.
    pub table: sync::Mutex<admission::RequestTable>,
    /// The buffered responses.
    pub responses: responses::Responses,
    /// The activation of weights at the engine.
    pub activation: sync::Mutex<activation::Activation>,
    /// The sets of weights that are held or being downloaded.
    pub transfers: sync::Arc<transfer::Transfers>,
    /// The configuration in force.
    pub config: ArcSwap<intent::Config>,
    /// The client that sends metrics.
    pub metrics: StatsdClient,
    heartbeat_trigger: watch::Sender<()>,
    address: net::SocketAddr,
    draining: atomic::AtomicBool,
    first_byte_mean_ms: atomic::AtomicU64,
}

impl App {
    /// Creates the state of an agent that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns a [`metrics::MetricsError`] if the metrics client can't be created.
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
        let heartbeat_trigger = watch::Sender::new(());
        let trigger = heartbeat_trigger.clone();
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
            prefer_same_domain: false,
            credit_refill: CREDIT_REFILL,
            on_complete: Box::new(move || {
                trigger.send_replace(());
            }),
            on_grant_used: Box::new(|| {}),
        };
        let app = Self {
            clock,
            client,
            engine,
            store,
            table: sync::Mutex::new(table),
            responses: responses::Responses::new(settings.answers_max, settings.window),
            activation: sync::Mutex::new(activation::Activation::new()),
            transfers: sync::Arc::new(transfer::Transfers::new(link)),
            config: ArcSwap::from_pointee(intent::Config::default()),
            metrics: metrics::start("pimentohook.agent", settings.metrics)?,
            heartbeat_trigger,
            address: settings.advertise.unwrap_or(address),
            draining: atomic::AtomicBool::new(false),
            first_byte_mean_ms: atomic::AtomicU64::new(0),
            settings,
        };
        Ok(sync::Arc::new(app))
    }

    /// Stops admitting requests and notifies entries.
    pub fn start_draining(&self) {
        let before = self.draining.swap(true, atomic::Ordering::SeqCst);
        if !before {
            self.notify_entries();
        }
    }

    /// Notifies entries of a change by sending heartbeats at once.
    pub fn notify_entries(&self) {
        self.heartbeat_trigger.send_replace(());
    }

    /// Returns a receiver that wakes when heartbeats are to be sent at once.
    #[must_use]
    pub fn heartbeat_trigger(&self) -> watch::Receiver<()> {
        self.heartbeat_trigger.subscribe()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running_count(&self) -> usize {
        lock(&self.table).running_count()
    }

    /// Returns whether no request is running and no reader waits for the rest of a response.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running_count() == 0 && self.responses.undelivered_count() == 0
    }

    /// Returns the service that the configuration assigns to this VM.
    #[must_use]
    pub fn service(&self) -> id::ServiceName {
        let config = self.config.load();
        config
            .service_of(&self.settings.vm, &self.settings.service)
            .clone()
    }

    /// Returns the conditions that decide whether a dispatch is admitted.
    #[must_use]
    pub fn admission_conditions(&self) -> admission::AdmissionConditions {
        let first_byte_ms = self.first_byte_mean_ms.load(atomic::Ordering::Relaxed);
        let (openness, weights) = match self.settings.kind {
            settings::UpstreamKind::Plain => (admission::AdmissionState::Open, None),
            settings::UpstreamKind::Engine => {
                let activation = lock(&self.activation);
                let weights = activation.serving().map(|weights| weights.content);
                (activation.openness(), weights)
            }
        };
        let openness = if self.is_draining() {
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

    /// Returns the report that heartbeats carry to entries.
    #[must_use]
    pub fn report(&self) -> membership::AgentReport {
        let conditions = self.admission_conditions();
        let table = lock(&self.table);
        let fencing_seen = lock(&self.activation).fencing_seen();
        membership::AgentReport {
            vm: self.settings.vm.clone(),
            service: self.service(),
            address: self.address,
            failure_domain: self.settings.failure_domain.clone(),
            incarnation: table.incarnation(),
            view_stamp: table.view_stamp(self.clock.now()),
            openness: conditions.openness,
            weights: conditions.weights,
            slot_count: u32::try_from(self.settings.slot_count).unwrap_or(u32::MAX),
            running_count: u32::try_from(table.running_count()).unwrap_or(u32::MAX),
            config_version: self.config.load().version,
            fencing: fencing_seen.unwrap_or_default(),
            burst: self.transfers.target_progress(),
        }
    }

    /// Updates the moving average of the time to first byte.
    pub fn record_first_byte(&self, latency: time::Duration) {
        let latency_ms = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        let mean_ms = self.first_byte_mean_ms.load(atomic::Ordering::Relaxed);
        let new_mean_ms = (mean_ms * (FIRST_BYTE_SMOOTHING_DIVISOR - 1) + latency_ms)
            / FIRST_BYTE_SMOOTHING_DIVISOR;
        self.first_byte_mean_ms
            .store(new_mean_ms, atomic::Ordering::Relaxed);
    }

    fn is_draining(&self) -> bool {
        let is_requested = self.draining.load(atomic::Ordering::SeqCst);
        is_requested || self.config.load().draining.contains(&self.settings.vm)
    }
}

/// Returns an incarnation number that is higher for each later start on this VM.
fn new_incarnation() -> id::Incarnation {
    let since_epoch = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    id::Incarnation::new(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
