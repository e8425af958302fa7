//! Single messages between entries and agents.

use std::net;

use bytes::Bytes;
use pimentohook_core::{
    admission,
    burst::{activation, chunks, ledger, uploader},
    id, intent, membership,
};
use serde::{Deserialize, Serialize};

/// Entry to agent: run a request. The answer is a stream of frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRequest {
    /// What is decided on.
    pub dispatch: admission::Dispatch,
    /// The priority that is passed to the engine.
    pub priority: u8,
    /// The caller's body.
    pub body: Bytes,
}

/// Entry to agent: send an answer again from an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The request.
    pub request_id: id::RequestId,
    /// The life of the agent that has the answer.
    pub incarnation: id::Incarnation,
    /// Where to start.
    pub offset_bytes: u64,
}

/// Entry to agent: promise that attempts never run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// The request.
    pub request_id: id::RequestId,
    /// The highest attempt.
    pub through: id::AttemptNumber,
    /// The life of the agent that is asked.
    pub incarnation: id::Incarnation,
    /// The agent's own time in the entry's view when the attempt was dispatched.
    pub view_stamp: admission::ViewStamp,
}

/// Entry to agent: nobody waits for an answer any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The request.
    pub request_id: id::RequestId,
    /// Whether the answer was passed on whole; otherwise its caller is gone.
    pub delivered: bool,
}

/// Agent to entry: a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// What the agent says of itself.
    pub report: membership::AgentReport,
}

/// Entry to agent: the answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The configuration, where the agent's is older.
    pub config: Option<intent::Config>,
    /// The highest fencing number that the entry has read.
    pub fencing: Option<id::FencingNumber>,
    /// The manifest that peers and grants are for.
    pub manifest: Option<id::Digest>,
    /// A sample of peers that take part in the agent's burst.
    pub peers: Vec<PeerNotice>,
    /// What the agent may pull from the origin.
    pub grants: Vec<ledger::Grant>,
    /// Whether the agent's VM is about to be taken away.
    pub leaving: bool,
}

/// What an entry says of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerNotice {
    /// The peer's VM.
    pub vm: id::VmId,
    /// Where its agent listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: id::FailureDomain,
    /// The chunks that it holds.
    pub held: chunks::ChunkSet,
    /// How many chunks it has passed on.
    pub given_count: u32,
}

/// Agent to agent: send a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The manifest.
    pub manifest: id::Digest,
    /// The chunk.
    pub chunk: u32,
    /// Whether the receiver has been starved for a while.
    pub overdraft: bool,
}

/// Agent to agent: what precedes the bytes of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkReply {
    /// Why no bytes follow.
    pub denial: Option<uploader::UploadDenial>,
    /// The chunks that the giver holds now.
    pub held: chunks::ChunkSet,
    /// How many chunks it has passed on.
    pub given_count: u32,
}

/// Entry to agent: bring weights into service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivateRequest {
    /// The fencing number of the duty's holder.
    pub fencing: id::FencingNumber,
    /// The weights.
    pub weights: activation::WeightsId,
}

/// Agent to entry: whether an order is obeyed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivateReply {
    /// Why not; `None` where it is.
    pub refusal: Option<String>,
    /// How the agent stands after the order.
    pub report: membership::AgentReport,
}
