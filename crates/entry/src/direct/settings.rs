//! Settings of direct mode.

use std::{env, net, path, time};

use pimentohook_core::{leaving, memory_shares, organisation_shares, regions, size};
use pimentohook_runtime::{settings, vm_limits};

use crate::settings as gateway;

/// The settings of an entry in either mode.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Gateway mode: requests are dispatched through agents.
    Gateway(Box<gateway::EntrySettings>),
    /// Direct mode: the entry sends requests to upstreams itself.
    Direct(Box<DirectSettings>),
}

impl Settings {
    /// Reads and checks a settings file, and what it lacks from variables; the key `callers` selects direct mode.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn from_file(path: &path::Path) -> Result<Self, settings::SettingsError> {
        Self::check(settings::Checker::from_file(path).with_variables(env::vars()))
    }

    /// Checks the settings that a checker has read; the key `callers` selects direct mode.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn check(checker: settings::Checker) -> Result<Self, settings::SettingsError> {
        if checker.has("callers") {
            let direct = DirectSettings::check(checker)?;
            return Ok(Self::Direct(Box::new(direct)));
        }
        let gateway = gateway::EntrySettings::check(checker)?;
        Ok(Self::Gateway(Box::new(gateway)))
    }

    /// Returns the log level.
    #[must_use]
    pub fn log_level(&self) -> &str {
        match self {
            Self::Gateway(settings) => &settings.log_level,
            Self::Direct(settings) => &settings.log_level,
        }
    }
}

/// The settings of direct mode.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// The name of this entry.
    pub entry: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its region; links between regions have low bandwidth.
    pub region: String,
    /// The regions of the failure domains of upstreams; requests that may not run in every region
    /// are sent to no other domain.
    pub regions: regions::RegionMap,
    /// The rate of its link; zero if that is not known.
    pub link_rate: size::ByteRate,
    /// The address that accepts callers' requests.
    pub callers: net::SocketAddr,
    /// The address of the readiness check.
    pub ready: net::SocketAddr,
    /// The address of the directory.
    pub directory: net::SocketAddr,
    /// The address that accepts messages from entries and agents.
    pub peers: net::SocketAddr,
    /// The port of agents; each agent has the IP address of its engine.
    pub agent_port: u16,
    /// Addresses of entries to contact while the store is unreachable.
    pub seeds: Vec<net::SocketAddr>,
    /// The address of the object store.
    pub object_store: net::SocketAddr,
    /// How long callers may cache a response of the directory.
    pub directory_ttl: time::Duration,
    /// How long an entry still accepts requests after its graceful shutdown has started.
    pub shutdown_delay: time::Duration,
    /// How long after the start of its graceful shutdown an entry ends, even if requests still run.
    pub shutdown_timeout: time::Duration,
    /// What the entry accepts during its graceful shutdown.
    pub leave_policy: leaving::Policy,
    /// How engines that are short are shared.
    pub share_policy: organisation_shares::Policy,
    /// What the VM lets this process use.
    pub vm_limits: memory_shares::VmLimits,
    /// How long a caller's connection may be idle.
    pub idle_timeout: time::Duration,
    /// How long after a change of the configuration the previous one may still be applied.
    pub configuration_grace: time::Duration,
    /// How long after a version of weights is announced requests may start on an earlier one.
    pub weights_grace: time::Duration,
    /// How long requests may still reach an upstream after it is listed as draining.
    pub drain_grace: time::Duration,
    /// How long after a failure domain is evacuated requests may still reach its upstreams; `None` if
    /// evacuations are not in use.
    pub evacuation_grace: Option<time::Duration>,
    /// The retry budget as a percentage of requests.
    pub retry_percent: u64,
    /// The burst of retries that all entries together may send on top of the percentage.
    pub retry_burst: u64,
    /// The time in which the percentage and the burst may be sent.
    pub retry_window: time::Duration,
    /// The address that serves metrics; `None` to serve none.
    pub metrics: Option<net::SocketAddr>,
    /// The log level.
    pub log_level: String,
}

const CONFIGURATION_GRACE_DEFAULT_MS: u64 = 2_000;
/// The store is polled several times in a grace period, so a shorter one would overload it.
const CONFIGURATION_GRACE_MIN: time::Duration = time::Duration::from_millis(500);
const WEIGHTS_GRACE_DEFAULT_MS: u64 = 8_000;
const DRAIN_GRACE_DEFAULT_MS: u64 = 2_000;
/// The lists of upstreams are confirmed several times in a grace period.
const DRAIN_GRACE_MIN: time::Duration = time::Duration::from_millis(500);
/// Evacuations are confirmed several times in a grace period.
const EVACUATION_GRACE_MIN: time::Duration = time::Duration::from_millis(500);
const DIRECTORY_TTL_DEFAULT_MS: u64 = 2_000;
const SHUTDOWN_DELAY_DEFAULT_MS: u64 = 4_500;
const SHUTDOWN_TIMEOUT_DEFAULT_MS: u64 = 7_500;
const IDLE_TIMEOUT_DEFAULT_MS: u64 = 15_000;
const MINUTE_MS: u64 = 60_000;
const RETRY_PERCENT_DEFAULT: u64 = 12;
const RETRY_BURST_DEFAULT: u64 = 60;
const RETRY_WINDOW_DEFAULT_S: u64 = 10;
const ADDRESS: &str = "an IP address and port, as in 10.0.0.1:8000";

impl DirectSettings {
    /// Checks the settings of direct mode that a checker has read.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn check(mut checker: settings::Checker) -> Result<Self, settings::SettingsError> {
        let entry = checker.required("entry", "a name");
        let failure_domain = checker.required("failure_domain", "a name");
        let region = checker.optional("region", "a name");
        let regions = regions::RegionMap::new(checker.map("regions", "the name of a region"));
        let link_rate = link_rate(&mut checker);
        let callers = checker.required("callers", ADDRESS);
        let ready = checker.required("ready", ADDRESS);
        let directory = checker.required("directory", ADDRESS);
        let peers = checker.required("peers", ADDRESS);
        let agent_port = checker.required("agent_port", "a port from 1 to 65535");
        let object_store = checker.required("object_store", ADDRESS);
        let seeds: Vec<net::SocketAddr> = checker.list("seeds", ADDRESS);
        let directory_ttl = checker.millis("keep_ms", DIRECTORY_TTL_DEFAULT_MS, 1_000..=MINUTE_MS);
        let shutdown_delay = checker.millis("leave_ms", SHUTDOWN_DELAY_DEFAULT_MS, 0..=MINUTE_MS);
        let shutdown_timeout = checker.millis("end_ms", SHUTDOWN_TIMEOUT_DEFAULT_MS, 0..=MINUTE_MS);
        let leave_policy = checker
            .optional("leave_policy", "by_deadline or by_likely_time")
            .unwrap_or_default();
        let share_policy = checker
            .optional("share_policy", "by_rank or by_organisation")
            .unwrap_or_default();
        let idle_timeout = checker.millis(
            "idle_timeout_ms",
            IDLE_TIMEOUT_DEFAULT_MS,
            1_000..=10 * MINUTE_MS,
        );
        let configuration_grace = checker
            .millis(
                "configuration_grace_ms",
                CONFIGURATION_GRACE_DEFAULT_MS,
                0..=MINUTE_MS,
            )
            .max(CONFIGURATION_GRACE_MIN);
        let weights_grace =
            checker.millis("weights_grace_ms", WEIGHTS_GRACE_DEFAULT_MS, 0..=MINUTE_MS);
        let drain_grace = checker
            .millis("drain_grace_ms", DRAIN_GRACE_DEFAULT_MS, 0..=MINUTE_MS)
            .max(DRAIN_GRACE_MIN);
        let evacuation_grace = evacuation_grace(&mut checker);
        let retry_percent = checker.number("retry_percent", RETRY_PERCENT_DEFAULT, 0..=100);
        let retry_burst = checker.number("retry_burst", RETRY_BURST_DEFAULT, 0..=100_000);
        let retry_window_s = checker.number("retry_window_s", RETRY_WINDOW_DEFAULT_S, 1..=60);
        let retry_window = time::Duration::from_secs(retry_window_s);
        let vm_limits = vm_limits::check(&mut checker);
        let metrics = checker.optional("metrics", ADDRESS);
        let log_level = checker
            .optional("log_level", "error, warn, info, debug or trace")
            .unwrap_or_else(|| String::from("info"));
        let peers_port = peers.map(|peers: net::SocketAddr| peers.port());
        let seeds = seeds
            .iter()
            .filter_map(|seed| Some(net::SocketAddr::new(seed.ip(), peers_port?)))
            .collect();
        let parsed = (|| {
            Some(Self {
                entry: entry?,
                region: region.or_else(|| failure_domain.clone())?,
                regions,
                link_rate,
                failure_domain: failure_domain?,
                callers: callers?,
                ready: ready?,
                directory: directory?,
                peers: peers?,
                agent_port: agent_port?,
                seeds,
                object_store: object_store?,
                directory_ttl,
                shutdown_delay,
                shutdown_timeout,
                leave_policy,
                share_policy,
                vm_limits,
                idle_timeout,
                configuration_grace,
                weights_grace,
                drain_grace,
                evacuation_grace,
                retry_percent,
                retry_burst,
                retry_window,
                metrics,
                log_level,
            })
        })();
        checker.finish_with(parsed)
    }
}

fn link_rate(checker: &mut settings::Checker) -> size::ByteRate {
    let allowed = "megabits per second, above 0";
    let Some(link_mbps) = checker.optional::<f64>("link_mbps", allowed) else {
        return size::ByteRate::default();
    };
    let rate = size::ByteRate::from_megabits(link_mbps);
    if rate.is_none() {
        checker.push("link_mbps", Some(link_mbps.to_string()), allowed);
    }
    rate.unwrap_or_default()
}

fn evacuation_grace(checker: &mut settings::Checker) -> Option<time::Duration> {
    const KEY: &str = "evacuation_grace_ms";
    let allowed = format!("a whole number from 0 to {MINUTE_MS}");
    let grace_ms: u64 = checker.optional(KEY, &allowed)?;
    if grace_ms > MINUTE_MS {
        checker.push(KEY, Some(grace_ms.to_string()), &allowed);
    }
    Some(time::Duration::from_millis(grace_ms).max(EVACUATION_GRACE_MIN))
}
