//! Membership: the agents that an entry knows from their heartbeats.
//!
//! Heartbeats to entries are the only way in which agents are announced. A [`View`] is a value: an
//! entry changes its own copy and publishes it as one, so each request is routed on a consistent
//! snapshot. An agent whose heartbeats stop is *departed*. It gets no new work, but stays in the
//! view for the retention window, because it may have run requests that callers retry.

pub mod commands;
pub mod queries;

use std::{net, sync, time};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{admission, burst, id};

/// The state that an agent reports with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The VM.
    pub vm: id::VmId,
    /// The service of the engine on that VM.
    pub service: id::ServiceName,
    /// The address at which the agent listens.
    pub address: net::SocketAddr,
    /// The failure domain of the VM.
    pub failure_domain: id::FailureDomain,
    /// The incarnation of the agent.
    pub incarnation: id::Incarnation,
    /// The time of the report, counted from the agent's start.
    pub view_stamp: admission::ViewStamp,
    /// Whether the agent admits new work.
    pub openness: admission::AdmissionState,
    /// The content digest of the weights that its engine was read back to serve.
    pub weights: Option<id::Digest>,
    /// The maximum number of concurrent requests.
    pub slot_count: u32,
    /// The number of running requests.
    pub running_count: u32,
    /// The version of the newest configuration that it has.
    pub config_version: id::ConfigVersion,
    /// The highest fencing number that it has accepted.
    pub fencing: id::FencingNumber,
    /// The progress of the weights that it downloads.
    pub burst: Option<burst::Progress>,
}

/// The times that a view works with.
#[derive(Clone, Copy, Debug)]
pub struct ViewLimits {
    /// The time without a heartbeat after which an agent is departed.
    pub silence_max: time::Duration,
    /// The retention window of request ids and of departed agents.
    pub window: time::Duration,
    /// The uptime after which every entry is certain to know an agent.
    pub join_age: time::Duration,
}

/// An agent as known to an entry.
#[derive(Clone, Debug)]
pub struct Member {
    /// The latest report.
    pub report: AgentReport,
    /// When that report was received.
    pub last_seen_at: time::Instant,
    /// When the agent was marked as departed.
    pub departed_at: Option<time::Instant>,
}

/// The agents that are known to an entry.
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
