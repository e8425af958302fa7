//! Upstreams: the instances that serve requests, as the platform's list shows them.
//!
//! The list is late, so it is merged with what an entry sees itself: an instance that refused to
//! be the one that was meant is gone, whatever the list says.

use std::net;

use indexmap::IndexMap;

use crate::id;

/// Whether an instance takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// One instance of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its id, new at each start unless it starts again under the id that it had.
    pub instance: String,
    /// When it started, in milliseconds of Unix time; tells lives under one id apart.
    pub born_unix_ms: Option<u64>,
    /// The service.
    pub service: id::ServiceName,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Requests that it runs at once.
    pub slot_count: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// The versions of whole models that it serves.
    pub weights: IndexMap<String, u64>,
}

impl Upstream {
    /// Returns whether `other` is another life of the same id.
    #[must_use]
    pub fn is_other_life(&self, other: &Self) -> bool {
        self.born_unix_ms != other.born_unix_ms || self.address != other.address
    }
}
