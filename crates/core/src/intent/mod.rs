//! Intents of operators, and the configuration that results from them.
//!
//! An operator submits an [`Intent`] and receives a [`Plan`]: its steps and their cost. Confirming
//! the plan is one conditional update of the configuration object, on the version that the plan was
//! computed against. If two operators race, one succeeds and the other receives a new plan. The
//! configuration records the plan's id, which makes the confirmation idempotent: after a lost reply
//! the id is read back.
//!
//! [`rollout`] derives the orders of a rollout from the configuration and the current view. It
//! has no state of its own, so the next holder of the duty's lease continues from the current state
//! of the fleet.

pub mod commands;
pub mod queries;
pub mod rollout;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{burst, id, size};

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Roll out a version of weights.
    RollOut {
        /// The services that are to serve it.
        services: Vec<id::ServiceName>,
        /// The version.
        version: id::WeightsVersion,
    },
    /// Stop sending new work to a VM.
    Drain {
        /// The VM.
        vm: id::VmId,
    },
    /// Return a drained VM to service.
    Restore {
        /// The VM.
        vm: id::VmId,
    },
    /// Assign an engine to another service.
    Move {
        /// The VM of the engine.
        vm: id::VmId,
        /// The service that it is to serve.
        service: id::ServiceName,
    },
}

/// A reference to a version of weights in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRef {
    /// The name of the version.
    pub version: id::WeightsVersion,
    /// The digest of the manifest.
    pub manifest: id::Digest,
    /// The digest of the content.
    pub content: id::Digest,
    /// The size of the content.
    pub total_bytes: size::ByteCount,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The weights that its engines are to serve; `None` for a plain service.
    pub weights: Option<WeightsRef>,
    /// The previous weights, latest first, which are still served while a rollout is in progress.
    #[serde(default)]
    pub previous: Vec<WeightsRef>,
    /// Whether requests are idempotent, i.e. may run more than once, unless their caller states
    /// otherwise.
    pub idempotent: bool,
    /// The minimum share of replicas that keep serving during a rollout, in percent.
    pub floor_percent: u8,
    /// What the distribution of weights minimises first.
    pub policy: burst::Policy,
}

/// A confirmation by an operator, recorded for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The id of the confirmed plan.
    pub plan: id::PlanId,
    /// The operator who confirmed it.
    pub operator: id::OperatorName,
    /// The intent of the plan.
    pub intent: Intent,
    /// The version of the resulting configuration.
    pub config_version: id::ConfigVersion,
}

/// The configuration of the deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The version, incremented with each change.
    pub version: id::ConfigVersion,
    /// The services.
    pub services: IndexMap<id::ServiceName, ServiceConfig>,
    /// VMs that receive no new work.
    pub draining: Vec<id::VmId>,
    /// VMs whose engine serves another service than the one in their settings.
    pub moves: IndexMap<id::VmId, id::ServiceName>,
    /// The latest confirmations, oldest first.
    pub confirmations: Vec<Confirmation>,
}

/// A step of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStep {
    /// A short description of the step.
    pub action: String,
    /// The number of affected replicas.
    pub replica_count: u32,
}

/// The plan for an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The id by which the plan is confirmed.
    pub id: id::PlanId,
    /// The intent of the plan.
    pub intent: Intent,
    /// The version of the configuration that the plan was computed against.
    pub base: id::ConfigVersion,
    /// The steps in order.
    pub steps: Vec<PlanStep>,
    /// The limit on the bytes that are downloaded from the origin.
    pub origin_bytes: size::ByteCount,
    /// The estimated duration in milliseconds.
    pub estimated_ms: u64,
    /// The minimum number of replicas that keep serving, summed over the affected services.
    pub serving_floor: u32,
}

/// Why an intent can't be planned or a plan can't be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum IntentError {
    /// A service of the intent is not configured.
    #[snafu(display("service {service} is not configured; the services are: {known}"))]
    UnknownService {
        /// The name of the service.
        service: id::ServiceName,
        /// The configured services, separated by commas.
        known: String,
    },
    /// A rollout without any service.
    #[snafu(display("a rollout names at least one service"))]
    NoService,
    /// A rollout to a service that serves no weights.
    #[snafu(display("service {service} is a plain service and serves no weights"))]
    PlainService {
        /// The service.
        service: id::ServiceName,
    },
    /// The VM of the intent is not known.
    #[snafu(display("VM {vm} is not known; check its name with `pimentohook status`"))]
    UnknownVm {
        /// The name of the VM.
        vm: id::VmId,
    },
    /// The configuration matches the intent already.
    #[snafu(display("nothing to do: this is in force already"))]
    NothingToDo,
    /// The configuration has changed since the plan was computed.
    #[snafu(display(
        "the configuration is at version {present}, the plan was computed against {base}; \
         look at the fresh plan and confirm that one"
    ))]
    Superseded {
        /// The version that the plan was computed against.
        base: id::ConfigVersion,
        /// The current version.
        present: id::ConfigVersion,
    },
}
