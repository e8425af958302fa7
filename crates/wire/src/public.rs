//! What callers and operators see, as JSON, and the names of headers.

use std::net;

use indexmap::IndexMap;
use pimentohook_core::{id, intent};
use serde::{Deserialize, Serialize};

/// Header: the caller's id of its request.
pub const REQUEST_ID_HEADER: &str = "pimentohook-request-id";
/// Header: how many times the caller has sent the request, from 1.
pub const ATTEMPT_HEADER: &str = "pimentohook-attempt";
/// Header: the caller's organisation.
pub const ORGANISATION_HEADER: &str = "pimentohook-organisation";
/// Header: `true` where the request may run more than once, `false` where it may not.
pub const IDEMPOTENT_HEADER: &str = "pimentohook-idempotent";
/// Header: how long the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "pimentohook-deadline-ms";
/// Header: the priority passed to the engine, 0 to 9.
pub const PRIORITY_HEADER: &str = "pimentohook-priority";
/// Header of an answer: where it can be resumed.
pub const RESUME_HEADER: &str = "pimentohook-answer";

/// The answer to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The addresses, spread over failure domains.
    pub addresses: Vec<net::SocketAddr>,
    /// How long they may be kept.
    pub keep_ms: u64,
}

/// What became of a request that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was not run.
    NotRun,
    /// Whether it ran can't be told.
    Unknown,
}

/// The body of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong and what to do.
    pub error: String,
    /// What became of the request; absent where none was made.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// When to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// A service in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The configured version of weights.
    pub version: Option<id::WeightsVersion>,
    /// Replicas that are not departed.
    pub replica_count: u32,
    /// Replicas that serve the configured version.
    pub live_count: u32,
    /// Replicas that hold it whole.
    pub holding_count: u32,
    /// Replicas that take new work.
    pub open_count: u32,
}

/// The answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The entry that answers.
    pub entry: id::EntryId,
    /// The configuration in force there.
    pub config_version: id::ConfigVersion,
    /// Whether the platform's object API answers it.
    pub platform_reachable: bool,
    /// Agents whose configuration is older than the entry's.
    pub behind_count: u32,
    /// Who performs the duties, as far as is known.
    pub duty_holder: Option<id::EntryId>,
    /// The services.
    pub services: IndexMap<id::ServiceName, ServiceStatus>,
    /// VMs that are to leave.
    pub draining: Vec<id::VmId>,
    /// The latest confirmations.
    pub confirmations: Vec<intent::Confirmation>,
}

/// The answer to a confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The version of the configuration that has the plan in force.
    pub config_version: id::ConfigVersion,
}

/// The answer to a confirmation that came too late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// What happened and what to do.
    pub error: String,
    /// The same intent, planned against the present configuration; absent where it no longer
    /// makes sense.
    pub fresh_plan: Option<intent::Plan>,
}
