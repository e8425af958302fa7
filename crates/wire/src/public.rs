//! Headers and JSON bodies of the interface to callers and operators.

use std::net;

use indexmap::IndexMap;
use pimentohook_core::{id, intent};
use serde::{Deserialize, Serialize};

/// Request header: the id that the caller has given to the request.
pub const REQUEST_ID_HEADER: &str = "pimentohook-request-id";
/// Request header: the number of this attempt by the caller to send the request, from 1.
pub const ATTEMPT_HEADER: &str = "pimentohook-attempt";
/// Request header: the caller's organisation.
pub const ORGANISATION_HEADER: &str = "pimentohook-organisation";
/// Request header: `true` if the request may run more than once, otherwise `false`.
pub const IDEMPOTENT_HEADER: &str = "pimentohook-idempotent";
/// Request header: the time for which the caller waits for the response, in milliseconds.
pub const DEADLINE_HEADER: &str = "pimentohook-deadline-ms";
/// Request header: the priority that is passed to the engine, 0 to 9.
pub const PRIORITY_HEADER: &str = "pimentohook-priority";
/// Response header: the VM and the incarnation of the agent from which the response can be resumed.
pub const RESUME_HEADER: &str = "pimentohook-answer";

/// The response to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The addresses of entries, spread over failure domains.
    pub addresses: Vec<net::SocketAddr>,
    /// The time for which the caller may cache the addresses.
    pub keep_ms: u64,
}

/// The outcome of a request without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was not run.
    NotRun,
    /// It is unknown whether the request was run.
    Unknown,
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// A message that describes the error and what to do about it.
    pub error: String,
    /// The outcome of the caller's request to a service; absent if no such request was made.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// The time after which to retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The status of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The configured version of the weights.
    pub version: Option<id::WeightsVersion>,
    /// The number of replicas that have not departed.
    pub replica_count: u32,
    /// The number of replicas that serve the configured version.
    pub live_count: u32,
    /// The number of replicas that hold the complete configured version.
    pub holding_count: u32,
    /// The number of replicas that accept new requests.
    pub open_count: u32,
}

/// The response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The entry that sends the response.
    pub entry: id::EntryId,
    /// The version of the configuration that the entry has in force.
    pub config_version: id::ConfigVersion,
    /// Whether the entry can reach the platform's object API.
    pub platform_reachable: bool,
    /// The number of agents whose configuration is older than the entry's.
    pub behind_count: u32,
    /// The entry that performs the duties, if it is known.
    pub duty_holder: Option<id::EntryId>,
    /// The status of each service.
    pub services: IndexMap<id::ServiceName, ServiceStatus>,
    /// The VMs that are being drained.
    pub draining: Vec<id::VmId>,
    /// The most recent confirmations of plans.
    pub confirmations: Vec<intent::Confirmation>,
}

/// The response to the confirmation of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The version of the configuration that contains the plan.
    pub config_version: id::ConfigVersion,
}

/// The response to a confirmation whose plan was made for an older configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// A message that describes the conflict and what to do about it.
    pub error: String,
    /// A new plan for the same intent and the current configuration; absent if the intent can no
    /// longer be planned.
    pub fresh_plan: Option<intent::Plan>,
}
