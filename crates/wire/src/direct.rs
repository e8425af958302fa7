//! Requests and replies of the direct mode, in which entries send callers' requests directly to
//! upstreams.

use indexmap::IndexMap;
use pimentohook_core::{
    announcement, collection, configuration_history, crash_evidence, engine, id, position, rank,
    routes, size, upstream_limit::rate,
};
use serde::{Deserialize, Serialize};

/// The path at which agents accept a [`SlotRequest`].
pub const SLOT_PATH: &str = "/v1/direct/place";

/// The path at which entries accept an [`EngineState`].
pub const ENGINE_STATE_PATH: &str = "/v1/direct/notice";

/// The path at which entries accept a [`PeerRequest`].
pub const PEER_PATH: &str = "/v1/direct/peer";

/// The path at which entries accept a [`FollowRequest`].
pub const FOLLOW_PATH: &str = "/v1/direct/follow";

/// The path at which entries accept a [`ServiceRequest`].
pub const SERVICE_PATH: &str = "/v1/direct/service";

/// The path at which entries accept a [`PermitRequest`].
pub const PERMIT_PATH: &str = "/v1/direct/permit";

/// The path at which entries accept a [`StatedLimits`] message.
pub const LIMITS_PATH: &str = "/v1/direct/limits";

/// The path at which entries accept a [`SilentEngines`] message.
pub const SILENCE_PATH: &str = "/v1/direct/silence";

/// The path at which agents accept a [`SwarmRequest`].
pub const SWARM_PATH: &str = "/v1/direct/swarm";

/// The path at which agents accept a [`ChunkRequest`](crate::messages::ChunkRequest).
pub const CHUNK_PATH: &str = "/v1/chunks";

/// Entry to agent: request a slot for a request at the engine on the agent's VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The instance at which the request is to run.
    pub instance: String,
    /// The requested model.
    pub model: String,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The estimated length of the response, in tokens.
    pub answer_tokens: u32,
    /// The maximum time to the first token, in milliseconds.
    pub first_token_max_ms: u32,
    /// The minimum version of the weights.
    pub version_min: Option<u64>,
    /// Whether the request has already missed its objective, and so may only use a slot that other
    /// requests are unlikely to need.
    pub spare_only: bool,
    /// How much longer the engine is cold by what the entry knows, in milliseconds.
    #[serde(default)]
    pub cold_remaining_ms: u32,
    /// The priority of the request; `None` if its service's requests are equally urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<rank::Priority>,
    /// Whether other agents were asked before for this request; only stated of one with a priority.
    /// Messages are arrays, so it is stated wherever the organisation is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub is_asked_again: Option<bool>,
    /// The organisation of its caller; only stated if engines are shared by organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
}

/// The reply to a [`SlotRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotReply {
    /// Whether the request was granted a slot.
    pub granted: bool,
    /// The estimated time to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// The state of the agent's engine.
    pub state: EngineState,
    /// Whether the organisation of the caller has had more than its share of the engine.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_over_share: bool,
}

/// Agent to entry: the state of the engine on the agent's VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The address at which the engine accepts requests.
    pub engine: String,
    /// The models that the engine serves, with their versions; empty while it loads weights.
    pub weights: IndexMap<String, u64>,
    /// Whether the engine accepts requests.
    pub open: bool,
}

/// Entry or agent to entry: follow the changes to a kind of the platform's objects (long poll).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The kind of objects.
    pub kind: String,
    /// The position that the sender has; the start if it has none.
    pub position: position::Position,
    /// The newest era of the platform's store that the sender knows.
    pub era: id::StoreEra,
    /// The maximum time to wait for a change, in milliseconds.
    pub wait_ms: u32,
}

/// The reply to a [`FollowRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowReply {
    /// The changes since the position in the request; empty if nothing changed in time, or if the
    /// sender of the reply has only an earlier position.
    pub delta: collection::Delta,
    /// The time from the platform's store's confirmation of this state to the arrival of the request, in
    /// milliseconds, and 0 if it was confirmed after that; `None` if it has not been yet. So the sender
    /// of the request can count from its sending, however long the reply was held or on its way.
    pub age_ms: Option<u64>,
    /// What the sender of the reply knows of the versions before, if this is the configuration.
    /// Older processes can't read it, so it is left out of all other replies.
    #[serde(
        default,
        skip_serializing_if = "configuration_history::Statement::is_empty"
    )]
    pub history: configuration_history::Statement,
}

/// Agent to entry: read the configuration of the agent's service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The name of the service.
    pub service: id::ServiceName,
    /// The version of the configuration that the agent has; 0 if it has none.
    pub configuration: u64,
    /// The announced versions of weights that the agent knows.
    #[serde(default)]
    pub announced: announcement::Report,
}

/// The reply to a [`ServiceRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceReply {
    /// The version of the configuration that the entry has in force; 0 if it has none.
    pub configuration: u64,
    /// The configuration of the service; `None` if the agent's configuration is up to date, or if
    /// the service has no engines.
    pub service: Option<EngineService>,
    /// The announced versions of weights that the entry knows.
    #[serde(default)]
    pub announced: announcement::Report,
}

/// The configuration of a service with engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineService {
    /// The performance profile of the service's engines.
    pub figures: engine::EngineProfile,
    /// The address of the origin, from which the first copies of weights are downloaded.
    pub origin: Option<std::net::SocketAddr>,
    /// What a cold engine bears; `None` if the service's engines are never cold.
    #[serde(default)]
    pub cold: Option<routes::ColdLimit>,
}

/// Entry to entry: a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerRequest {
    /// The state of the sender.
    pub peer: PeerState,
    /// The version of the configuration that the sender has in force; 0 if it has none.
    pub configuration: u64,
    /// The announced versions of weights that the sender knows.
    #[serde(default)]
    pub announced: announcement::Report,
    /// The sender's evidence against parts of prompts.
    #[serde(default)]
    pub prompt_evidence: crash_evidence::report::Report,
}

/// The state that an entry reports to other entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The name of the entry.
    pub entry: String,
    /// The failure domain of the entry.
    pub failure_domain: String,
    /// The region of the entry.
    #[serde(default)]
    pub region: String,
    /// The bandwidth of the entry's network link.
    #[serde(default)]
    pub link_rate: size::ByteRate,
    /// Whether the entry has run for long enough to know the other entries of its region.
    #[serde(default)]
    pub is_settled: bool,
    /// The address at which the entry accepts callers' requests.
    pub callers: std::net::SocketAddr,
    /// The address at which the entry accepts messages from other processes.
    pub peers: std::net::SocketAddr,
    /// Whether the entry accepts requests and is not shutting down.
    pub ready: bool,
}

/// An entry that is known to the sender of a reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownPeer {
    /// The last state that the entry reported.
    pub peer: PeerState,
    /// The time since that report, in milliseconds.
    pub age_ms: u64,
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerReply {
    /// The state of the replying entry.
    pub peer: PeerState,
    /// The version of the configuration that the replying entry has in force; 0 if it has none.
    pub configuration: u64,
    /// Some of the other entries that the replying entry knows, so that a new entry discovers them.
    pub known: Vec<KnownPeer>,
    /// The announced versions of weights that the replying entry knows.
    #[serde(default)]
    pub announced: announcement::Report,
    /// The replying entry's evidence against parts of prompts.
    #[serde(default)]
    pub prompt_evidence: crash_evidence::report::Report,
}

/// What an entry believes of the limit of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatedLimit {
    /// The upstream's instance.
    pub instance: String,
    /// The limit; `None` if the upstream has withdrawn it.
    pub limit: Option<rate::RequestRate>,
    /// The time since an entry received the response that stated it, in milliseconds.
    pub age_ms: u64,
}

/// Entry to entry: request permits for requests to a limited upstream, or only report its limit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the sender believes of the upstream's limit.
    pub stated: StatedLimit,
    /// The number of permits; 0 to only report the limit.
    pub wanted: u32,
}

/// The reply to a [`PermitRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitReply {
    /// What the replying entry believes of the upstream's limit.
    pub stated: StatedLimit,
    /// Whether the replying entry is the upstream's coordinator; if not, it grants no permits.
    pub is_coordinator: bool,
    /// The number of granted permits.
    pub granted: u32,
    /// How long the sender should wait before it asks again, in milliseconds.
    pub retry_after_ms: u32,
}

/// An upstream that said of itself that it is leaving.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatedLeaving {
    /// The upstream's instance.
    pub instance: String,
    /// When it started, in milliseconds of Unix time.
    pub started_unix_ms: Option<u64>,
    /// The address that it listens on.
    pub address: std::net::SocketAddr,
    /// The time since an entry received the response that stated it, in milliseconds.
    pub age_ms: u64,
}

/// Entry to entry, as request and as reply: what upstreams have stated of themselves.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StatedLimits {
    /// Some of the limits that the sender tracks.
    pub limits: Vec<StatedLimit>,
    /// Some of the upstreams that are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<StatedLeaving>,
}

/// An engine that stands still together with its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentEngine {
    /// The engine's instance.
    pub instance: String,
    /// For how long the sender has found it silent, in milliseconds.
    pub silent_ms: u64,
}

/// Entry to entry, as request and as reply: engines that the sender itself finds silent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentEngines {
    /// Some of these engines.
    pub engines: Vec<SilentEngine>,
}

/// Agent to agent: report the chunks that the sender holds of a version of the weights.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SwarmRequest {
    /// The VM of the sender.
    pub vm: String,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The address at which the sender listens.
    pub address: std::net::SocketAddr,
    /// The failure domain of the sender.
    pub failure_domain: String,
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub version: u64,
    /// The progress of the sender's download; `None` while it has no manifest.
    pub progress: Option<pimentohook_core::burst::Progress>,
    /// The manifest as JSON, if the sender has just got it and the receiver may lack it.
    #[serde(default)]
    pub manifest: Option<String>,
    /// The chunks that the sender has granted to the receiver, each with its serial number.
    #[serde(default)]
    pub grants: Vec<(u32, u32)>,
    /// The incarnation of the receiver that the grants are for; 0 if there are none.
    #[serde(default)]
    pub granted_incarnation: u64,
}

/// The reply to a [`SwarmRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SwarmReply {
    /// The incarnation of the replying agent.
    pub incarnation: u64,
    /// The failure domain of the replying agent.
    pub failure_domain: String,
    /// The manifest as JSON, if the sender of the request has none and the replying agent does.
    pub manifest: Option<String>,
    /// The progress of the replying agent's download, if it has one of this version.
    pub progress: Option<pimentohook_core::burst::Progress>,
    /// The chunks that are granted to the sender of the request, each with its serial number.
    pub grants: Vec<(u32, u32)>,
}
