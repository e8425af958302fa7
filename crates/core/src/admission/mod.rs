//! Admission: the agent's decision whether a request starts, and its memory of what did.
//!
//! The agent is the only place where work starts, so it is the only one that can say that a
//! request did not run. It keeps, for each request id, whether the request was revoked, runs or
//! has finished, for a retention window. A revocation is a promise: an attempt up to the revoked
//! one never runs here afterwards. A restarted agent has lost its memory and therefore carries
//! another [`id::Incarnation`]; dispatches for an earlier one are refused.
//!
//! [`commands`] change a [`RequestTable`]; [`queries`] read it.

pub mod commands;
pub mod queries;

use std::{collections, time};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{id, limits};

/// Bounds of the table.
#[derive(Clone, Copy, Debug)]
pub struct RequestTableLimits {
    /// How long a finished or revoked request is remembered.
    pub window: time::Duration,
    /// How many request ids are remembered at most.
    pub entries_max: usize,
    /// How old the entry's view of this agent may be when it dispatches.
    pub view_age_max: time::Duration,
}

/// What the agent keeps for one request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Attempts up to this one never run here.
    Revoked {
        /// The highest revoked attempt.
        through: id::AttemptNumber,
        /// When the revocation was last extended.
        at: time::Instant,
    },
    /// The request has been handed to the engine.
    Running {
        /// The attempt that runs.
        attempt: id::AttemptNumber,
    },
    /// The request has ended, with an answer or a failure.
    Finished {
        /// The attempt that ran.
        attempt: id::AttemptNumber,
        /// When it ended.
        at: time::Instant,
    },
}

/// The agent's memory of requests.
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
    /// Creates an empty table for one life of the agent.
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

/// The agent's own time at which an entry's view of it was taken, in milliseconds since the
/// agent's start.
///
/// The entry only echoes it, so the clocks of the two VMs need not agree, and a dispatch that was
/// held back by a frozen entry is recognised by its age.
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

/// What a dispatch says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request_id: id::RequestId,
    /// The caller's attempt.
    pub attempt: id::AttemptNumber,
    /// The life of the agent that the entry means.
    pub incarnation: id::Incarnation,
    /// The agent's own time in the entry's view.
    pub view_stamp: ViewStamp,
    /// The organisation that pays.
    pub organisation: id::OrganisationName,
    /// The weights that the answer may come from; `None` for a plain service.
    pub weights: Option<id::Digest>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What is left of the caller's deadline.
    pub remaining_ms: u64,
}

/// What the agent can serve at the moment of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConditions {
    /// Whether the agent takes new work.
    pub openness: AdmissionState,
    /// The digest of the weights that the engine was read back to serve.
    pub weights: Option<id::Digest>,
    /// How long a request admitted now is expected to take.
    pub expected_duration: time::Duration,
}

/// Whether an agent takes new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum AdmissionState {
    /// New work is welcome.
    Open,
    /// The engine changes its weights.
    Activating,
    /// The VM leaves.
    Leaving,
}

/// Why a dispatch was refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The dispatch means another life of this agent.
    WrongIncarnation,
    /// This attempt was revoked before.
    Revoked,
    /// The entry's view of this agent is too old.
    StaleView,
    /// The VM leaves.
    Leaving,
    /// The engine changes its weights.
    Activating,
    /// The engine serves other weights than the request allows.
    WrongWeights,
    /// Every slot is taken.
    Full,
    /// The organisation has its share of the slots already.
    OverShare,
    /// The request can't end before its deadline.
    TooLate,
    /// The agent remembers as many requests as it may.
    TableFull,
}

/// A refused dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the agent has recorded that the attempt never runs here.
    pub revoked: bool,
    /// When trying this agent again makes sense.
    pub retry_after_ms: u64,
}

/// The answer to a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// The request starts now.
    Admitted,
    /// The request has started before; its answer can be had from here.
    Attached,
    /// The request does not start.
    Refused(Refusal),
}

/// The answer to a revocation.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum RevocationReply {
    /// The attempt has not run here and never will.
    NotRun,
    /// The request runs here.
    Running,
    /// The request has run here and its answer is kept.
    Finished,
    /// The agent can't tell.
    Unknown,
}
