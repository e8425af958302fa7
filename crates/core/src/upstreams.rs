//! Upstreams: the instances that serve requests, as the platform's list shows them.
//!
//! The list is late, so it is merged with what an entry sees itself: an instance that refused to
//! be the one that was meant is gone, whatever the list says.

use std::net;

use indexmap::{IndexMap, IndexSet};

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

/// The instances of all services.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSet {
    by_service: IndexMap<id::ServiceName, Vec<Upstream>>,
}

impl UpstreamSet {
    /// Sorts instances by service.
    pub fn new<I>(upstreams: I) -> Self
    where
        I: IntoIterator<Item = Upstream>,
    {
        let mut by_service: IndexMap<_, Vec<Upstream>> = IndexMap::new();
        for upstream in upstreams {
            by_service
                .entry(upstream.service.clone())
                .or_default()
                .push(upstream);
        }
        Self { by_service }
    }

    /// Returns the instances of a service.
    #[must_use]
    pub fn of(&self, service: &id::ServiceName) -> &[Upstream] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all instances.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.by_service.values().flatten()
    }

    /// Returns the ids of all instances.
    #[must_use]
    pub fn instances(&self) -> IndexSet<&str> {
        self.iter().map(|one| one.instance.as_str()).collect()
    }
}
