//! Intents: what operators ask for, and the configuration that results.
//!
//! An operator states an [`Intent`] and receives a [`Plan`]: the steps, their cost, and the
//! configuration that would follow. Confirming is one conditional update of the configuration
//! object on the version that the plan was computed against, so of two operators who race one
//! wins and the other gets a fresh plan. The plan's id is kept in the configuration, which makes
//! confirming idempotent: after a lost reply it is read back.
//!
//! [`rollout`] derives the orders of a rollout from the configuration and the present view. It
//! keeps no state of its own, so whoever holds the duty's lease next goes on where the fleet
//! stands.

pub mod commands;
pub mod queries;
pub mod rollout;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{burst, id, size};

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Bring a version of weights into service.
    RollOut {
        /// The services that get it.
        services: Vec<id::ServiceName>,
        /// The version.
        version: id::WeightsVersion,
    },
    /// Take a VM out of service.
    Drain {
        /// The VM.
        vm: id::VmId,
    },
    /// Take a drained VM back into service.
    Restore {
        /// The VM.
        vm: id::VmId,
    },
    /// Let an engine serve another service.
    Move {
        /// The VM of the engine.
        vm: id::VmId,
        /// The service that it is to serve.
        service: id::ServiceName,
    },
}

/// Weights named by a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRef {
    /// The version's name.
    pub version: id::WeightsVersion,
    /// The digest of its manifest.
    pub manifest: id::Digest,
    /// The digest of its content.
    pub content: id::Digest,
    /// The size of its content.
    pub total_bytes: size::ByteCount,
}

/// What a service is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The weights that its engines are to serve; `None` for a plain service.
    pub weights: Option<WeightsRef>,
    /// The weights before those, latest first, served while a rollout is under way.
    #[serde(default)]
    pub previous: Vec<WeightsRef>,
    /// Whether its requests may run more than once unless their caller says otherwise.
    pub idempotent: bool,
    /// The share of replicas that keep serving during a rollout.
    pub floor_percent: u8,
    /// Which of the two measures goes first.
    pub policy: burst::Policy,
}

/// An operator's confirmation, kept for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The plan.
    pub plan: id::PlanId,
    /// Who confirmed it.
    pub operator: id::OperatorName,
    /// What was asked for.
    pub intent: Intent,
    /// The version of the configuration that resulted.
    pub config_version: id::ConfigVersion,
}

/// What is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The version; grows with each change.
    pub version: id::ConfigVersion,
    /// The services.
    pub services: IndexMap<id::ServiceName, ServiceConfig>,
    /// VMs that are to leave.
    pub draining: Vec<id::VmId>,
    /// Engines that serve another service than their settings say.
    pub moves: IndexMap<id::VmId, id::ServiceName>,
    /// The latest confirmations, oldest first.
    pub confirmations: Vec<Confirmation>,
}

/// One thing that a plan does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStep {
    /// What is done, in a short sentence.
    pub action: String,
    /// How many replicas it touches.
    pub replica_count: u32,
}

/// The answer to an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// By which it is confirmed.
    pub id: id::PlanId,
    /// What was asked for.
    pub intent: Intent,
    /// The version of the configuration that it was computed against.
    pub base: id::ConfigVersion,
    /// What will be done.
    pub steps: Vec<PlanStep>,
    /// The most that will be pulled from the origin.
    pub origin_bytes: size::ByteCount,
    /// How long it is expected to take.
    pub estimated_ms: u64,
    /// How many replicas of each touched service keep serving.
    pub serving_floor: u32,
}

/// An intent that can't be planned, or a plan that can't be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum IntentError {
    /// A named service is not configured.
    #[snafu(display("service {service} is not configured; the services are: {known}"))]
    UnknownService {
        /// The name.
        service: id::ServiceName,
        /// Those that are.
        known: String,
    },
    /// A rollout names no service.
    #[snafu(display("a rollout names at least one service"))]
    NoService,
    /// Weights were asked for where there are none to serve.
    #[snafu(display("service {service} is a plain service and serves no weights"))]
    PlainService {
        /// The service.
        service: id::ServiceName,
    },
    /// A named VM is not known.
    #[snafu(display("VM {vm} is not known; check its name with `pimentohook status`"))]
    UnknownVm {
        /// The name.
        vm: id::VmId,
    },
    /// The intent asks for what is in force already.
    #[snafu(display("nothing to do: this is in force already"))]
    NothingToDo,
    /// The configuration has changed since the plan was computed.
    #[snafu(display(
        "the configuration is at version {present}, the plan was computed against {base}; \
         look at the fresh plan and confirm that one"
    ))]
    Superseded {
        /// The version of the plan.
        base: id::ConfigVersion,
        /// The present version.
        present: id::ConfigVersion,
    },
}
