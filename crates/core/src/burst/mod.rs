//! The burst: peer-to-peer distribution of a version of weights to every replica of a service, with
//! few downloads from the origin.
//!
//! Weights are split into chunks that are addressed by their digests; a [`manifest::Manifest`]
//! lists them. VMs upload the chunks that they have while they still download others. Three parts
//! bound the load: a [`downloader::Downloader`] selects the next chunk and its source, an
//! [`uploader::Uploader`] limits the traffic on each VM's link, and a [`ledger::Ledger`], stored
//! as one object of the platform, limits what the fleet downloads from the origin. [`activation`]
//! loads verified weights into the engine, and only complete ones.

pub mod activation;
pub mod chunks;
pub mod downloader;
pub mod grantor;
pub mod ledger;
pub mod manifest;
pub mod uploader;

use serde::{Deserialize, Serialize};

use crate::id;

/// The download progress of an agent for one manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The manifest.
    pub manifest: id::Digest,
    /// The chunks that are downloaded and verified.
    pub held: chunks::ChunkSet,
    /// How many chunks were uploaded to peers.
    pub given_count: u32,
    /// Whether every known peer with a missing chunk has used up its upload credit.
    pub starved: bool,
    /// The grants whose download from the origin failed.
    pub failed_grants: Vec<GrantId>,
    /// All grants that the agent received, also those that were used.
    #[serde(default)]
    pub grants: Vec<GrantId>,
    /// Whether the agent downloads this version now, and so would use a grant for it.
    #[serde(default = "is_downloading_by_default")]
    pub is_downloading: bool,
}

/// Agents that don't state it download the only version that they report.
const fn is_downloading_by_default() -> bool {
    true
}

/// Identifies a grant within the ledger of one manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The chunk.
    pub chunk: u32,
    /// How many grants of this chunk were recorded before.
    pub serial: u32,
}

/// What a burst minimises first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The bytes downloaded from the origin.
    #[default]
    OriginFirst,
    /// The time until all VMs are complete, within the hard limit of the origin.
    TimeFirst,
}

const ORIGIN_FIRST_PERCENT: u32 = 115;
const TIME_FIRST_PERCENT: u32 = 350;
const ORIGIN_FIRST_OPEN_GRANTS: u32 = 16;
const TIME_FIRST_OPEN_GRANTS: u32 = 48;
const ORIGIN_FIRST_GRANTS_PER_CHUNK: u32 = 1;
const TIME_FIRST_GRANTS_PER_CHUNK: u32 = 3;

/// Hard limit on downloads from the origin, in percent of one copy of the weights. It holds
/// through all failures and retries.
pub const ORIGIN_LIMIT_PERCENT: u32 = 400;

impl Policy {
    /// Returns the limit on downloads from the origin, in percent of one copy of the weights.
    #[must_use]
    pub const fn origin_percent(self) -> u32 {
        match self {
            Self::OriginFirst => ORIGIN_FIRST_PERCENT,
            Self::TimeFirst => TIME_FIRST_PERCENT,
        }
    }

    /// Returns how many granted chunks may be outstanding at the origin at once.
    #[must_use]
    pub const fn open_grants_max(self) -> u32 {
        match self {
            Self::OriginFirst => ORIGIN_FIRST_OPEN_GRANTS,
            Self::TimeFirst => TIME_FIRST_OPEN_GRANTS,
        }
    }

    /// Returns how many VMs are granted each chunk, not counting retries.
    #[must_use]
    pub const fn grants_per_chunk(self) -> u32 {
        match self {
            Self::OriginFirst => ORIGIN_FIRST_GRANTS_PER_CHUNK,
            Self::TimeFirst => TIME_FIRST_GRANTS_PER_CHUNK,
        }
    }
}
