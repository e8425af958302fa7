//! Requests and replies between entries and agents.

use std::net;

use bytes::Bytes;
use pimentohook_core::{
    admission,
    burst::{activation, chunks, ledger, uploader},
    id, intent, membership,
};
use serde::{Deserialize, Serialize};

/// Entry to agent: run a request.
///
/// The response is a stream of [`Frame`](crate::frames::Frame)s.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRequest {
    /// The part of the request on which the agent's admission depends.
    pub dispatch: admission::Dispatch,
    /// The priority that the agent passes to the engine.
    pub priority: u8,
    /// The body of the caller's request.
    pub body: Bytes,
}

/// Entry to agent: resume a response from an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The id of the request.
    pub request_id: id::RequestId,
    /// The incarnation of the agent that holds the response.
    pub incarnation: id::Incarnation,
    /// The offset in the response from which to send.
    pub offset_bytes: u64,
}

/// Entry to agent: revoke attempts, so that they never run unless one has started already.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// The id of the request.
    pub request_id: id::RequestId,
    /// The last attempt to revoke; all earlier ones are revoked with it.
    pub through: id::AttemptNumber,
    /// The incarnation of the agent to which the attempts were dispatched.
    pub incarnation: id::Incarnation,
    /// The time on the agent's clock, as the entry knew it when it dispatched the attempt.
    pub view_stamp: admission::ViewStamp,
}

/// Entry to agent: release a response that no caller waits for any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The id of the request.
    pub request_id: id::RequestId,
    /// Whether the caller received the complete response; if not, the caller has disconnected.
    pub delivered: bool,
}

/// Agent to entry: a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The state that the agent reports.
    pub report: membership::AgentReport,
}

/// Entry to agent: the reply to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The configuration; `None` if the agent's configuration is up to date.
    pub config: Option<intent::Config>,
    /// The highest fencing number that the entry has read.
    pub fencing: Option<id::FencingNumber>,
    /// The digest of the manifest to which `peers` and `grants` apply.
    pub manifest: Option<id::Digest>,
    /// A sample of the peers that take part in the same burst as the agent.
    pub peers: Vec<PeerNotice>,
    /// The chunks that the agent may download from the origin.
    pub grants: Vec<ledger::Grant>,
    /// Whether the platform is about to remove the agent's VM.
    pub leaving: bool,
}

/// The state of a peer that takes part in a burst, as reported by an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerNotice {
    /// The peer's VM.
    pub vm: id::VmId,
    /// The address at which the peer's agent listens.
    pub address: net::SocketAddr,
    /// The peer's failure domain.
    pub failure_domain: id::FailureDomain,
    /// The chunks that the peer holds.
    pub held: chunks::ChunkSet,
    /// The number of chunks that the peer has uploaded.
    pub given_count: u32,
}

/// Agent to agent: send a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The digest of the manifest.
    pub manifest: id::Digest,
    /// The index of the chunk.
    pub chunk: u32,
    /// Whether the downloader has been starved for some time.
    pub overdraft: bool,
}

/// Agent to agent: the reply to a [`ChunkRequest`], which precedes the bytes of the chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkReply {
    /// The reason why no bytes follow; `None` if they do.
    pub denial: Option<uploader::UploadDenial>,
    /// The chunks that the uploader holds.
    pub held: chunks::ChunkSet,
    /// The number of chunks that the uploader has uploaded.
    pub given_count: u32,
}

/// Entry to agent: activate weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivateRequest {
    /// The fencing number of the entry that performs the duty.
    pub fencing: id::FencingNumber,
    /// The weights to activate.
    pub weights: activation::WeightsId,
}

/// Agent to entry: the reply to an [`ActivateRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivateReply {
    /// The reason for a refusal; `None` if the agent performs the activation.
    pub refusal: Option<String>,
    /// The state of the agent after it has handled the request.
    pub report: membership::AgentReport,
}
