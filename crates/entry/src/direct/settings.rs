//! Settings of the direct mode.

use std::{net, path, time};

use pimentohook_core::size;
use pimentohook_runtime::settings;

use crate::settings as agents;

/// Settings of an entry, whichever mode it runs in.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Requests go through agents.
    Agents(Box<agents::EntrySettings>),
    /// Requests go to upstreams.
    Direct(Box<DirectSettings>),
}

impl Settings {
    /// Reads and checks a settings file; the key `callers` tells the modes apart.
    ///
    /// # Errors
    ///
    /// [`settings::SettingsError`] with every fault.
    pub fn from_file(path: &path::Path) -> Result<Self, settings::SettingsError> {
        Self::check(settings::Checker::from_file(path))
    }

    /// Checks what a checker has read.
    ///
    /// # Errors
    ///
    /// [`settings::SettingsError`] with every fault.
    pub fn check(checker: settings::Checker) -> Result<Self, settings::SettingsError> {
        if checker.has("callers") {
            let direct = DirectSettings::check(checker)?;
            return Ok(Self::Direct(Box::new(direct)));
        }
        let agents = agents::EntrySettings::check(checker)?;
        Ok(Self::Agents(Box::new(agents)))
    }

    /// Returns the level of logs.
    #[must_use]
    pub fn log_level(&self) -> &str {
        match self {
            Self::Agents(settings) => &settings.log_level,
            Self::Direct(settings) => &settings.log_level,
        }
    }
}

/// The settings of the direct mode.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// The name of this entry.
    pub entry: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its region; links between regions are narrow.
    pub region: String,
    /// What its link carries; zero where that is not known.
    pub link_rate: size::ByteRate,
    /// Where it takes callers' requests.
    pub callers: net::SocketAddr,
    /// Where it says whether it is ready.
    pub ready: net::SocketAddr,
    /// Where it tells callers which entries to use.
    pub directory: net::SocketAddr,
    /// Where it takes messages of entries and agents.
    pub peers: net::SocketAddr,
    /// The port of agents, each at the address of its engine.
    pub agent_port: u16,
    /// Entries that may be up, to start from while the store is away.
    pub seeds: Vec<net::SocketAddr>,
    /// The object store.
    pub object_store: net::SocketAddr,
    /// How long callers may keep what the directory says.
    pub keep: time::Duration,
    /// How long a leaving entry serves on.
    pub leave: time::Duration,
    /// When a leaving entry ends, whatever still runs.
    pub end: time::Duration,
    /// How long a caller's connection may be idle.
    pub idle_timeout: time::Duration,
    /// How long after a change of the configuration an earlier one may decide.
    pub configuration_grace: time::Duration,
    /// How long after a version of weights was named requests may begin on an earlier one.
    pub weights_grace: time::Duration,
    /// Retries, as a share of requests in hundredths.
    pub retry_percent: u64,
    /// Retries beyond that share that all entries together may send at once.
    pub retry_burst: u64,
    /// Where metrics are read; `None` for nowhere.
    pub metrics: Option<net::SocketAddr>,
    /// The level of logs.
    pub log_level: String,
}

const CONFIGURATION_GRACE_MS: u64 = 2_000;
/// The store is asked several times within a grace, so a shorter one would press on it.
const CONFIGURATION_GRACE_MIN: time::Duration = time::Duration::from_millis(500);
const WEIGHTS_GRACE_MS: u64 = 8_000;
const KEEP_MS: u64 = 2_000;
const LEAVE_MS: u64 = 4_500;
const END_MS: u64 = 7_500;
const IDLE_MS: u64 = 15_000;
const MINUTE_MS: u64 = 60_000;
const RETRY_PERCENT: u64 = 12;
const RETRY_BURST: u64 = 60;
const ADDRESS: &str = "an IP address and port, as in 10.0.0.1:8000";

impl DirectSettings {
    /// Checks settings.
    ///
    /// # Errors
    ///
    /// [`settings::SettingsError`] with every fault.
    pub fn check(mut checker: settings::Checker) -> Result<Self, settings::SettingsError> {
        let entry = checker.required("entry", "a name");
        let failure_domain = checker.required("failure_domain", "a name");
        let region = checker.optional("region", "a name");
        let link_rate = link_rate(&mut checker);
        let callers = checker.required("callers", ADDRESS);
        let ready = checker.required("ready", ADDRESS);
        let directory = checker.required("directory", ADDRESS);
        let peers = checker.required("peers", ADDRESS);
        let agent_port = checker.required("agent_port", "a port from 1 to 65535");
        let object_store = checker.required("object_store", ADDRESS);
        let seeds: Vec<net::SocketAddr> = checker.list("seeds", ADDRESS);
        let keep = checker.millis("keep_ms", KEEP_MS, 1_000..=MINUTE_MS);
        let leave = checker.millis("leave_ms", LEAVE_MS, 0..=MINUTE_MS);
        let end = checker.millis("end_ms", END_MS, 0..=MINUTE_MS);
        let idle_timeout = checker.millis("idle_timeout_ms", IDLE_MS, 1_000..=10 * MINUTE_MS);
        let configuration_grace = checker
            .millis(
                "configuration_grace_ms",
                CONFIGURATION_GRACE_MS,
                0..=MINUTE_MS,
            )
            .max(CONFIGURATION_GRACE_MIN);
        let weights_grace = checker.millis("weights_grace_ms", WEIGHTS_GRACE_MS, 0..=MINUTE_MS);
        let retry_percent = checker.number("retry_percent", RETRY_PERCENT, 0..=100);
        let retry_burst = checker.number("retry_burst", RETRY_BURST, 0..=100_000);
        let metrics = checker.optional("metrics", ADDRESS);
        let log_level = checker
            .optional("log_level", "error, warn, info, debug or trace")
            .unwrap_or_else(|| String::from("info"));
        let own_port = peers.map(|peers: net::SocketAddr| peers.port());
        let seeds = seeds
            .iter()
            .filter_map(|seed| Some(net::SocketAddr::new(seed.ip(), own_port?)))
            .collect();
        let parsed = (|| {
            Some(Self {
                entry: entry?,
                region: region.or_else(|| failure_domain.clone())?,
                link_rate,
                failure_domain: failure_domain?,
                callers: callers?,
                ready: ready?,
                directory: directory?,
                peers: peers?,
                agent_port: agent_port?,
                seeds,
                object_store: object_store?,
                keep,
                leave,
                end,
                idle_timeout,
                configuration_grace,
                weights_grace,
                retry_percent,
                retry_burst,
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
