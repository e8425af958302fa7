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
    pub started_unix_ms: Option<u64>,
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
    pub fn is_other_incarnation(&self, other: &Self) -> bool {
        self.started_unix_ms != other.started_unix_ms || self.address != other.address
    }
}

/// The VMs of a service, by whether they stay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceVms {
    /// Those with an instance that takes new requests, with their failure domains.
    pub staying: IndexMap<net::IpAddr, String>,
    /// Those whose instances all leave.
    pub leaving: IndexSet<net::IpAddr>,
}

/// Returns the VMs of a service.
///
/// A VM whose instance was started again is listed with both; it stays.
#[must_use]
pub fn service_vms(listed: &[Upstream], service: &id::ServiceName) -> ServiceVms {
    let of_service = || listed.iter().filter(|one| one.service == *service);
    let ready = of_service().filter(|one| one.state == State::Ready);
    let place = |one: &Upstream| (one.address.ip(), one.failure_domain.clone());
    let staying: IndexMap<_, _> = ready.map(place).collect();
    let all = of_service().map(|one| one.address.ip());
    let leaving = all.filter(|vm| !staying.contains_key(vm)).collect();
    ServiceVms { staying, leaving }
}
