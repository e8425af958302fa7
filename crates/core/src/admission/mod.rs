//! Admission: an agent's decision whether a request starts, and its record of earlier requests.
//!
//! Requests start only at agents, so only an agent can prove that a request did not run. For each
//! request id it records, for a retention window, whether the request was revoked, is running or
//! has finished. A revocation is a promise: no attempt up to the revoked one runs here afterwards.
//! A restart loses these records, so a restarted agent has a new [`id::Incarnation`] and refuses
//! dispatches for an earlier one.
//!
//! [`commands`] change a [`RequestTable`]; [`queries`] read it.

pub mod commands;
pub mod queries;

use std::{collections, time};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{id, limits};

/// Limits of a request table.
#[derive(Clone, Copy, Debug)]
pub struct RequestTableLimits {
    /// How long a finished or revoked request is retained.
    pub window: time::Duration,
    /// Maximum number of request ids in the table.
    pub entries_max: usize,
    /// Maximum age of the entry's view of this agent in a dispatch.
    pub view_age_max: time::Duration,
}

/// The state of one request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No attempt up to this one runs here.
    Revoked {
        /// The highest revoked attempt.
        through: id::AttemptNumber,
        /// When the revocation was last extended.
        at: time::Instant,
    },
    /// The request has been handed to the engine.
    Running {
        /// The running attempt.
        attempt: id::AttemptNumber,
    },
    /// The request has ended, with a response or a failure.
    Finished {
        /// The attempt that ran.
        attempt: id::AttemptNumber,
        /// When it ended.
        at: time::Instant,
    },
}

/// An agent's record of requests.
#[derive(Debug)]
pub struct RequestTable {
    incarnation: id::Incarnation,
    started_at: time::Instant,
    limits: RequestTableLimits,
    phases: IndexMap<id::RequestId, Phase>,
    expiries: collections::VecDeque<(time::Instant, id::RequestId)>,
    slots: limits::FairSlots,
    organisations: IndexMap<id::RequestId, id::OrganisationName>,
}

impl RequestTable {
    /// Creates an empty table for one incarnation of the agent.
    #[must_use]
    pub fn new(
        incarnation: id::Incarnation,
        started_at: time::Instant,
        limits: RequestTableLimits,
        slots: limits::FairSlots,
    ) -> Self {
        Self {
            incarnation,
            started_at,
            limits,
            phases: IndexMap::new(),
            expiries: collections::VecDeque::new(),
            slots,
            organisations: IndexMap::new(),
        }
    }
}

/// The time of an entry's view of an agent, in milliseconds since the agent's start by the agent's
/// own clock.
///
/// The entry only echoes the stamp, so the clocks of the two VMs need not agree. Its age reveals a
/// dispatch that was delayed because the entry was suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ViewStamp {
    since_start_ms: u64,
}

impl ViewStamp {
    /// Creates a stamp from the time since the agent's start.
    #[must_use]
    pub fn new(since_start: time::Duration) -> Self {
        let since_start_ms = u64::try_from(since_start.as_millis()).unwrap_or(u64::MAX);
        Self { since_start_ms }
    }

    /// Returns the time since the agent's start.
    #[must_use]
    pub const fn since_start(self) -> time::Duration {
        time::Duration::from_millis(self.since_start_ms)
    }
}

/// The metadata of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request_id: id::RequestId,
    /// The caller's attempt.
    pub attempt: id::AttemptNumber,
    /// The incarnation of the agent that the dispatch is addressed to.
    pub incarnation: id::Incarnation,
    /// The stamp of the entry's view of the agent.
    pub view_stamp: ViewStamp,
    /// The organisation that the request is accounted to.
    pub organisation: id::OrganisationName,
    /// The weights that have to serve the request; `None` for a plain service.
    pub weights: Option<id::Digest>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// The state of an agent that decides on a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConditions {
    /// Whether the agent accepts new work.
    pub openness: AdmissionState,
    /// The content digest of the weights that the engine was read back to serve.
    pub weights: Option<id::Digest>,
    /// How long a request that is admitted now is expected to take.
    pub expected_duration: time::Duration,
}

/// Whether an agent accepts new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum AdmissionState {
    /// New work is accepted.
    Open,
    /// The engine is changing its weights.
    Activating,
    /// The VM is leaving.
    Leaving,
}

/// Why a dispatch was refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The dispatch is addressed to another incarnation of this agent.
    WrongIncarnation,
    /// This attempt has been revoked.
    Revoked,
    /// The entry's view of this agent is too old.
    StaleView,
    /// The VM is leaving.
    Leaving,
    /// The engine is changing its weights.
    Activating,
    /// The engine serves other weights than the request allows.
    WrongWeights,
    /// Every slot is in use.
    Full,
    /// The organisation already holds its share of the slots.
    OverShare,
    /// The request is not expected to end before its deadline.
    TooLate,
    /// The request table is full.
    TableFull,
    /// The engine refuses connections.
    EngineDown,
}

impl RefusalReason {
    /// Returns whether the refusal shows a failure of the upstream, rather than its load or state.
    #[must_use]
    pub const fn is_upstream_failure(self) -> bool {
        matches!(self, Self::EngineDown)
    }
}

/// A refused dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the attempt was recorded as revoked, which proves that it never runs here.
    pub revoked: bool,
    /// Suggested delay before this agent is tried again, in milliseconds.
    pub retry_after_ms: u64,
}

/// The reply to a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// The request starts now.
    Admitted,
    /// The request has started before; its response is available here.
    Attached,
    /// The request does not start.
    Refused(Refusal),
}

/// The reply to a revocation.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum RevocationReply {
    /// The attempt has not run here and never will.
    NotRun,
    /// The request is running here.
    Running,
    /// The request has finished here and its response is retained.
    Finished,
    /// The agent can't determine whether the attempt has run.
    Unknown,
}
