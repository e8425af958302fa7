//! Settings of gateway mode.

use std::{net, path, time};

use pimentohook_core::{id, size};
use pimentohook_runtime::settings;
use strum::{Display, EnumString};

/// The kind of upstream that the agent sends requests to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamKind {
    /// An engine that serves models.
    Engine,
    /// A plain service.
    Plain,
}

/// The settings of gateway mode.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The id of the VM.
    pub vm: id::VmId,
    /// The service of the upstream, unless the configuration assigns another one.
    pub service: id::ServiceName,
    /// The failure domain of the VM.
    pub failure_domain: id::FailureDomain,
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// The address reported to other processes; defaults to the one listened on.
    pub advertise: Option<net::SocketAddr>,
    /// The addresses of the entries.
    pub entries: Vec<net::SocketAddr>,
    /// The kind of the upstream.
    pub kind: UpstreamKind,
    /// The address of the upstream.
    pub upstream: net::SocketAddr,
    /// The address of the weight store; required for engines.
    pub weight_store: Option<net::SocketAddr>,
    /// The maximum number of concurrent requests.
    pub slot_count: usize,
    /// The maximum number of further requests that wait for a slot.
    pub queue_max: usize,
    /// How long finished and revoked requests stay in the request table, and responses buffered.
    pub window: time::Duration,
    /// The maximum number of requests in the request table.
    pub remembered_max: usize,
    /// The maximum size of all buffered responses that have ended.
    pub answers_max: size::ByteCount,
    /// The maximum age of an entry's view at a dispatch.
    pub view_age_max: time::Duration,
    /// The interval of heartbeats to entries.
    pub heartbeat_every: time::Duration,
    /// The idle timeout of the upstream during a response.
    pub upstream_silence_max: time::Duration,
    /// How long an idempotent request without readers of its response may keep running.
    pub orphan_max: time::Duration,
    /// The rate limit for weights on the VM's link, in each direction.
    pub weights_rate: size::ByteRate,
    /// How long a transfer of a chunk may make no progress until it fails.
    pub stall_max: time::Duration,
    /// The timeout of a graceful shutdown.
    pub drain_max: time::Duration,
    /// The address that metrics are sent to; `None` to send none.
    pub metrics: Option<net::SocketAddr>,
    /// The log level.
    pub log_level: String,
}

const ADDRESS: &str = "an IP address and port, such as 10.0.0.7:7000";
const NAME: &str = "1 to 64 of letters, digits, '-', '_' and '.'";
const RATE: &str = "a rate such as 100MiB/s";
const SIZE: &str = "a size such as 64MiB";
const HOUR_MS: u64 = 3_600_000;

impl AgentSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn from_file(path: &path::Path) -> Result<Self, settings::SettingsError> {
        Self::check(settings::Checker::from_file(path))
    }

    /// Checks the settings of gateway mode that a checker has read.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn check(mut checker: settings::Checker) -> Result<Self, settings::SettingsError> {
        let parsed = Self::read(&mut checker);
        match checker.finish() {
            Ok(()) => parsed.ok_or_else(|| settings::SettingsError {
                file: String::new(),
                faults: Vec::new(),
            }),
            Err(error) => Err(error),
        }
    }

    fn read(checker: &mut settings::Checker) -> Option<Self> {
        let vm = checker.required("vm", NAME);
        let service = checker.required("service", NAME);
        let failure_domain = checker.required("failure_domain", NAME);
        let listen = checker.required("listen", ADDRESS);
        let advertise = checker.optional("advertise", ADDRESS);
        let entries = checker.required_list("entries", ADDRESS);
        let kind = checker.required("kind", "engine or plain");
        let upstream = checker.required("upstream", ADDRESS);
        let weight_store = checker.optional("weight_store", ADDRESS);
        if kind == Some(UpstreamKind::Engine) && !checker.has("weight_store") {
            checker.push("weight_store", None, ADDRESS);
        }
        let slot_count = checker.number("slot_count", 8, 1..=4_096);
        let queue_max = checker.number("queue_max", 8, 0..=4_096);
        let window = checker.millis("window_ms", 60_000, 1_000..=HOUR_MS);
        let remembered_max = checker.number("remembered_max", 100_000, 100..=10_000_000);
        let answers_max = checker.optional("answers_max", SIZE);
        let view_age_max = checker.millis("view_age_max_ms", 3_000, 100..=60_000);
        let heartbeat_every = checker.millis("heartbeat_every_ms", 500, 20..=10_000);
        let upstream_silence_max = checker.millis("upstream_silence_max_ms", 10_000, 100..=HOUR_MS);
        let orphan_max = checker.millis("orphan_max_ms", 5_000, 0..=HOUR_MS);
        let weights_rate = checker.optional("weights_rate", RATE);
        let stall_max = checker.millis("stall_max_ms", 3_000, 100..=HOUR_MS);
        let drain_max = checker.millis("drain_max_ms", 60_000, 0..=HOUR_MS);
        let metrics = checker.optional("metrics", ADDRESS);
        let log_level = checker.optional("log_level", "error, warn, info, debug or trace");
        Some(Self {
            vm: vm?,
            service: service?,
            failure_domain: failure_domain?,
            listen: listen?,
            advertise,
            entries,
            kind: kind?,
            upstream: upstream?,
            weight_store,
            slot_count: usize::try_from(slot_count).ok()?,
            queue_max: usize::try_from(queue_max).ok()?,
            window,
            remembered_max: usize::try_from(remembered_max).ok()?,
            answers_max: answers_max.unwrap_or(ANSWERS_MAX_DEFAULT),
            view_age_max,
            heartbeat_every,
            upstream_silence_max,
            orphan_max,
            weights_rate: weights_rate.unwrap_or(WEIGHTS_RATE_DEFAULT),
            stall_max,
            drain_max,
            metrics,
            log_level: log_level.unwrap_or_else(|| String::from("info")),
        })
    }
}

const ANSWERS_MAX_DEFAULT: size::ByteCount = size::ByteCount::new(32 << 20);
const WEIGHTS_RATE_DEFAULT: size::ByteRate = size::ByteRate::new(100 << 20);
