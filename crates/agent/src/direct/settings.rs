//! Settings of direct mode.

use std::{env, net, path, time};

use pimentohook_core::{burst, id, memory_shares, size};
use pimentohook_runtime::{settings, vm_limits};

use crate::settings as gateway;

/// The settings of an agent in either mode.
#[derive(Clone, Debug)]
pub enum Settings {
    /// Gateway mode: requests go through the agent.
    Gateway(Box<gateway::AgentSettings>),
    /// Direct mode: entries send requests to the engine themselves.
    Direct(Box<DirectSettings>),
}

impl Settings {
    /// Reads and checks a settings file, and what it lacks from variables; the key `engine` selects direct mode.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn from_file(path: &path::Path) -> Result<Self, settings::SettingsError> {
        Self::check(settings::Checker::from_file(path).with_variables(env::vars()))
    }

    /// Checks the settings that a checker has read; the key `engine` selects direct mode.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn check(checker: settings::Checker) -> Result<Self, settings::SettingsError> {
        if checker.has("engine") {
            let direct = DirectSettings::check(checker)?;
            return Ok(Self::Direct(Box::new(direct)));
        }
        let gateway = gateway::AgentSettings::check(checker)?;
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

/// How an engine is filled that has just started or recovered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Pace {
    /// Up to its slots, at once.
    #[default]
    AtOnce,
    /// As its answers allow.
    ByAnswers,
}

/// The settings of direct mode.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// The name of the VM.
    pub vm: String,
    /// The failure domain of the VM.
    pub failure_domain: id::FailureDomain,
    /// The region of the VM; links between regions have low bandwidth.
    pub region: String,
    /// The service of the engine.
    pub service: id::ServiceName,
    /// The address where the engine accepts requests and commands.
    pub engine: net::SocketAddr,
    /// The address that accepts messages from entries and other agents.
    pub peers: net::SocketAddr,
    /// The address of the object store.
    pub object_store: net::SocketAddr,
    /// The rate limit for weights on the VM's link, in each direction.
    pub weights_rate: size::ByteRate,
    /// How long after a version of weights is announced requests may start on an earlier one.
    pub weights_grace: time::Duration,
    /// Whether to minimise bytes from the origin or time first.
    pub policy: burst::Policy,
    /// How the engine is filled after it has started or recovered.
    pub pace: Pace,
    /// What the VM lets this process use.
    pub vm_limits: memory_shares::VmLimits,
    /// The address that serves metrics; `None` to serve none.
    pub metrics: Option<net::SocketAddr>,
    /// The log level.
    pub log_level: String,
}

const WEIGHTS_GRACE_DEFAULT_MS: u64 = 8_000;
const MINUTE_MS: u64 = 60_000;
const ADDRESS: &str = "an IP address and port, as in 10.0.0.1:8000";
const NAME: &str = "1 to 64 of letters, digits, '-', '_' and '.'";
const LINK_MBPS_MAX: f64 = 1_000_000.0;
/// The share of a link that weights may use; the rest is for messages.
const WEIGHTS_LINK_PERCENT: f64 = 92.0;

impl DirectSettings {
    /// Checks the settings of direct mode that a checker has read.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn check(mut checker: settings::Checker) -> Result<Self, settings::SettingsError> {
        let vm = checker.required("vm", "a name");
        let failure_domain = checker.required("failure_domain", NAME);
        let region = checker.optional("region", NAME);
        let service = checker.required("service", NAME);
        let engine = checker.required("engine", ADDRESS);
        let peers = checker.required("peers", ADDRESS);
        let object_store = checker.required("object_store", ADDRESS);
        let weights_rate = weights_rate(&mut checker);
        let weights_grace =
            checker.millis("weights_grace_ms", WEIGHTS_GRACE_DEFAULT_MS, 0..=MINUTE_MS);
        let policy = checker
            .optional("policy", "origin_first or time_first")
            .unwrap_or_default();
        let pace = checker
            .optional("pace", "at_once or by_answers")
            .unwrap_or_default();
        let vm_limits = vm_limits::check(&mut checker);
        let metrics = checker.optional("metrics", ADDRESS);
        let log_level = checker
            .optional("log_level", "error, warn, info, debug or trace")
            .unwrap_or_else(|| String::from("info"));
        let parsed = (|| {
            Some(Self {
                vm: vm?,
                region: region
                    .or_else(|| failure_domain.as_ref().map(id::FailureDomain::to_string))?,
                failure_domain: failure_domain?,
                service: service?,
                engine: engine?,
                peers: peers?,
                object_store: object_store?,
                weights_rate: weights_rate?,
                weights_grace,
                policy,
                pace,
                vm_limits,
                metrics,
                log_level,
            })
        })();
        checker.finish_with(parsed)
    }
}

fn weights_rate(checker: &mut settings::Checker) -> Option<size::ByteRate> {
    let allowed = "megabits per second, above 0 and up to 1000000";
    let link_mbps: f64 = checker.required("link_mbps", allowed)?;
    let rate = size::ByteRate::from_megabits(link_mbps * WEIGHTS_LINK_PERCENT / 100.0);
    if rate.is_none() || link_mbps > LINK_MBPS_MAX {
        checker.push("link_mbps", Some(link_mbps.to_string()), allowed);
        return None;
    }
    rate
}
