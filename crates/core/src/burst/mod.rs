//! The burst: weights reach every replica of a service from few copies of the origin.
//!
//! Weights are cut into chunks named by their digests; a [`manifest::Manifest`] lists them.
//! Receivers pull chunks and pass them on while they still receive. Three decisions bound the
//! load: a [`downloader::Downloader`] picks what to pull and from whom, a [`uploader::Uploader`] holds each
//! machine to its link, and a [`ledger::Ledger`], kept as one object of the platform, holds the
//! whole fleet to its share of the origin. [`activation`] brings received weights into service,
//! whole or not at all.

pub mod activation;
pub mod chunks;
pub mod downloader;
pub mod ledger;
pub mod manifest;
pub mod uploader;

use serde::{Deserialize, Serialize};

use crate::id;

/// What an agent holds of one manifest's chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The manifest.
    pub manifest: id::Digest,
    /// The chunks held and verified.
    pub held: chunks::ChunkSet,
    /// How many chunks were passed on.
    pub given_count: u32,
    /// Whether no known peer can give any of the missing chunks.
    pub starved: bool,
    /// The grants that were used in vain.
    pub failed_grants: Vec<GrantId>,
}

/// Tells the grants of one set apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The chunk.
    pub chunk: u32,
    /// How many grants of this chunk came before.
    pub serial: u32,
}

/// Which of the two measures goes first.
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
    /// As few bytes from the origin as possible.
    #[default]
    OriginFirst,
    /// As little time as possible, within the origin's hard limit.
    TimeFirst,
}

const ORIGIN_FIRST_PERCENT: u32 = 115;
const TIME_FIRST_PERCENT: u32 = 350;
const ORIGIN_FIRST_OPEN_GRANTS: u32 = 16;
const TIME_FIRST_OPEN_GRANTS: u32 = 48;
const ORIGIN_FIRST_REPLICAS: u32 = 1;
const TIME_FIRST_REPLICAS: u32 = 3;

/// Copies that the origin may be asked for, whatever fails, in hundredths.
pub const ORIGIN_LIMIT_PERCENT: u32 = 400;

impl Policy {
    /// Returns the most that may be pulled from the origin, in hundredths of a copy.
    #[must_use]
    pub const fn origin_percent(self) -> u32 {
        match self {
            Self::OriginFirst => ORIGIN_FIRST_PERCENT,
            Self::TimeFirst => TIME_FIRST_PERCENT,
        }
    }

    /// Returns how many granted chunks may be outstanding at the origin.
    #[must_use]
    pub const fn open_grants_max(self) -> u32 {
        match self {
            Self::OriginFirst => ORIGIN_FIRST_OPEN_GRANTS,
            Self::TimeFirst => TIME_FIRST_OPEN_GRANTS,
        }
    }

    /// Returns how many machines are granted each chunk while all goes well.
    #[must_use]
    pub const fn grants_per_chunk(self) -> u32 {
        match self {
            Self::OriginFirst => ORIGIN_FIRST_REPLICAS,
            Self::TimeFirst => TIME_FIRST_REPLICAS,
        }
    }
}
