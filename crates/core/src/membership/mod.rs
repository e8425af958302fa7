//! Membership: the agents that an entry knows, from their heartbeats.
//!
//! Agents send heartbeats to entries; nobody else announces them. A [`View`] is a value: an entry
//! changes its own copy and publishes it whole, so a request works on one consistent snapshot.
//! An agent that falls silent is *departed*. It gets no work, but it is remembered for the
//! retention window, because it may have run requests that callers ask about again.

pub mod commands;
pub mod queries;

use std::{net, sync, time};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{admission, burst, id};

/// What an agent says about itself with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The VM.
    pub vm: id::VmId,
    /// The service of the engine in that VM.
    pub service: id::ServiceName,
    /// Where the agent listens.
    pub address: net::SocketAddr,
    /// The failure domain of the VM.
    pub failure_domain: id::FailureDomain,
    /// This life of the agent.
    pub incarnation: id::Incarnation,
    /// The agent's own time.
    pub view_stamp: admission::ViewStamp,
    /// Whether it takes new work.
    pub openness: admission::AdmissionState,
    /// The weights that its engine was read back to serve.
    pub weights: Option<id::Digest>,
    /// How many requests may run at once.
    pub slot_count: u32,
    /// How many run.
    pub running_count: u32,
    /// The newest configuration that it knows.
    pub config_version: id::ConfigVersion,
    /// The highest fencing number that it has obeyed.
    pub fencing: id::FencingNumber,
    /// What it holds of weights under way.
    pub burst: Option<burst::Progress>,
}

/// How long things are remembered, and when silence counts.
#[derive(Clone, Copy, Debug)]
pub struct ViewLimits {
    /// Silence after which an agent is departed.
    pub silence_max: time::Duration,
    /// How long a request id is remembered; departed agents are too.
    pub window: time::Duration,
    /// Age at which every entry is sure to have heard of an agent.
    pub join_age: time::Duration,
}

/// One agent as an entry sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The last report.
    pub report: AgentReport,
    /// When that report came.
    pub last_seen_at: time::Instant,
    /// When the agent was found silent.
    pub departed_at: Option<time::Instant>,
}

/// The agents that an entry knows.
#[derive(Clone, Debug)]
pub struct View {
    limits: ViewLimits,
    members: IndexMap<id::VmId, sync::Arc<Member>>,
    services: IndexMap<id::ServiceName, IndexSet<id::VmId>>,
}

impl View {
    /// Creates an empty view.
    #[must_use]
    pub fn new(limits: ViewLimits) -> Self {
        Self {
            limits,
            members: IndexMap::new(),
            services: IndexMap::new(),
        }
    }
}
