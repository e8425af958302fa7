//! Messages of the direct mode, in which entries send requests to upstreams themselves.

use indexmap::IndexMap;
use pimentohook_core::{collection, engine, id, size};
use serde::{Deserialize, Serialize};

/// Where agents take [`SlotRequest`].
pub const SLOT_PATH: &str = "/v1/direct/place";

/// Where entries take [`EngineState`].
pub const ENGINE_STATE_PATH: &str = "/v1/direct/notice";

/// Where entries take [`PeerRequest`].
pub const PEER_PATH: &str = "/v1/direct/peer";

/// Where entries take [`FollowRequest`].
pub const FOLLOW_PATH: &str = "/v1/direct/follow";

/// Where entries take [`ServiceRequest`].
pub const SERVICE_PATH: &str = "/v1/direct/service";

/// Where agents take [`SwarmRequest`].
pub const SWARM_PATH: &str = "/v1/direct/swarm";

/// Where agents take requests for chunks.
pub const CHUNK_PATH: &str = "/v1/chunks";

/// An entry asks the agent beside an engine whether a request may start there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The instance that is meant.
    pub instance: String,
    /// The model asked for.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer will have, as far as can be guessed.
    pub answer_tokens: u32,
    /// The longest that the first token may take, in milliseconds.
    pub first_token_max_ms: u32,
    /// The oldest version of the weights that may be used.
    pub version_min: Option<u64>,
    /// Whether the request is late already and takes only what others are not likely to want.
    pub spare_only: bool,
}

/// The agent's answer to a [`SlotRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotReply {
    /// Whether the request may start.
    pub granted: bool,
    /// When the first token would come, in milliseconds.
    pub first_token_ms: u32,
    /// What the agent's engine serves.
    pub state: EngineState,
}

/// What an agent says of the engine beside it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The address at which the engine takes requests.
    pub engine: String,
    /// The versions of the models that it serves; empty while it loads.
    pub weights: IndexMap<String, u64>,
    /// Whether it takes requests.
    pub open: bool,
}

/// Asks an entry for what changed of a kind of the platform's objects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The kind.
    pub kind: String,
    /// The revision that the asker has; 0 for none.
    pub revision: u64,
    /// How long the answer may wait for a change, in milliseconds.
    pub wait_ms: u32,
}

/// The answer to a [`FollowRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowReply {
    /// What the asker lacks; empty where nothing changed in time.
    pub delta: collection::Delta,
    /// How long ago the platform's store confirmed it, in milliseconds; `None` where it never did.
    pub age_ms: Option<u64>,
}

/// An agent asks an entry what the configuration says of its service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The service.
    pub service: id::ServiceName,
    /// The version of the configuration that the asker knows; 0 for none.
    pub configuration: u64,
}

/// The answer to a [`ServiceRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceReply {
    /// The version of the configuration that the answerer has in force; 0 while it has none.
    pub configuration: u64,
    /// What it says; `None` where it is no later one, or says nothing of the service's engines.
    pub service: Option<EngineService>,
}

/// What the configuration says of a service with engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineService {
    /// What its engines can do.
    pub figures: engine::EngineProfile,
    /// Where weights come from first.
    pub origin: Option<std::net::SocketAddr>,
}

/// An entry's heartbeat to another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Who asks.
    pub peer: PeerState,
    /// The version of the configuration that the asker has in force; 0 while it has none.
    pub configuration: u64,
}

/// What an entry says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Its name.
    pub entry: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// What its link carries.
    #[serde(default)]
    pub link_rate: size::ByteRate,
    /// Whether it has run for long enough to know the others of its region.
    #[serde(default)]
    pub is_settled: bool,
    /// Where it takes callers' requests.
    pub callers: std::net::SocketAddr,
    /// Where it takes messages of other processes.
    pub peers: std::net::SocketAddr,
    /// Whether it takes requests and goes on doing so.
    pub ready: bool,
}

/// An entry that another one knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownPeer {
    /// What it said of itself.
    pub peer: PeerState,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerReply {
    /// Who answers.
    pub peer: PeerState,
    /// The version of the configuration that the answerer has in force; 0 while it has none.
    pub configuration: u64,
    /// Some of the other entries that the answerer knows, so that a new one finds them.
    pub known: Vec<KnownPeer>,
}

/// An agent tells another one what it holds of a set of weights.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SwarmRequest {
    /// The VM that asks.
    pub vm: String,
    /// The life of its agent.
    pub incarnation: u64,
    /// Where its agent listens.
    pub address: std::net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// What it holds; `None` while it has no manifest.
    pub progress: Option<pimentohook_core::burst::Progress>,
}

/// The answer to a [`SwarmRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SwarmReply {
    /// The life of the agent that answers.
    pub incarnation: u64,
    /// Its failure domain.
    pub failure_domain: String,
    /// The manifest as JSON, where the asker has none and the answerer does.
    pub manifest: Option<String>,
    /// What the answerer holds.
    pub progress: Option<pimentohook_core::burst::Progress>,
    /// The chunks granted to the asker, each with its serial number.
    pub grants: Vec<(u32, u32)>,
}
