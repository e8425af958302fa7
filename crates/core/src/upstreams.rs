//! Upstreams: the instances that serve requests, as listed by the platform.
//!
//! The list may be out of date, so entries combine it with their own observations: if a request
//! reveals that another instance now uses an instance's address, the latter is gone, even while it
//! is still listed.

use std::{net, time};

use indexmap::{IndexMap, IndexSet};

use crate::{carryover, id};

/// Whether an instance accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Accepts no new requests because it is leaving.
    Draining,
}

/// One instance of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its id, usually a new one at each start; an instance may also restart under its previous id.
    pub instance: String,
    /// When it started, in milliseconds of Unix time; distinguishes incarnations with the same id.
    pub started_unix_ms: Option<u64>,
    /// The service.
    pub service: id::ServiceName,
    /// The address that it listens on.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Number of requests that it runs concurrently.
    pub slot_count: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// The versions of the models that it serves completely, by model.
    pub weights: IndexMap<String, u64>,
    /// How much longer it was cold when it registered this.
    pub cold_remaining: time::Duration,
}

impl Upstream {
    /// Returns whether `other` is another incarnation of the instance with the same id.
    #[must_use]
    pub fn is_other_incarnation(&self, other: &Self) -> bool {
        self.started_unix_ms != other.started_unix_ms || self.address != other.address
    }
}

/// Returns for each upstream the instance that started at its address after it, if one is listed: of two
/// instances at one address only the later one can live.
///
/// Instances whose start is not known are neither earlier nor later than others.
#[must_use]
pub fn successors(listed: &[Upstream]) -> IndexMap<String, String> {
    let mut latest: IndexMap<net::SocketAddr, &Upstream> = IndexMap::new();
    for upstream in listed {
        let known = latest.entry(upstream.address).or_insert(upstream);
        if known.started_unix_ms < upstream.started_unix_ms {
            *known = upstream;
        }
    }
    let is_earlier = |upstream: &&Upstream| {
        let started = upstream.started_unix_ms;
        started.is_some() && started < latest[&upstream.address].started_unix_ms
    };
    let earlier = listed.iter().filter(is_earlier);
    let named = earlier.map(|upstream| {
        let successor = latest[&upstream.address].instance.clone();
        (upstream.instance.clone(), successor)
    });
    named.collect()
}

/// Returns the listed upstreams and those that a restored store has lost.
///
/// An upstream that was draining before the restore is still draining, even if the copy is from
/// before. A lost upstream whose address is listed for another one is gone.
pub fn with_lost(
    lost: &mut carryover::Carryover<Upstream>,
    era: id::StoreEra,
    listed: Vec<Upstream>,
    now: time::Instant,
) -> Vec<Upstream> {
    let used: IndexSet<_> = listed.iter().map(|upstream| upstream.address).collect();
    let by_instance: IndexMap<_, _> = listed
        .into_iter()
        .map(|upstream| (upstream.instance.clone(), upstream))
        .collect();
    let is_listed: IndexSet<String> = by_instance.keys().cloned().collect();
    let keep_draining = |earlier: &Upstream, listed: Upstream| {
        if earlier.is_other_incarnation(&listed) || earlier.state == State::Ready {
            return listed;
        }
        Upstream {
            state: State::Draining,
            ..listed
        }
    };
    let combined = lost.combine(era, by_instance, now, keep_draining);
    let is_present = |upstream: &Upstream| {
        is_listed.contains(&upstream.instance) || !used.contains(&upstream.address)
    };
    combined.into_values().filter(is_present).collect()
}

/// The VMs of a service, grouped by whether they are leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceVms {
    /// VMs with an instance that accepts new requests, and their failure domains.
    pub staying: IndexMap<net::IpAddr, String>,
    /// VMs whose instances are all draining.
    pub leaving: IndexSet<net::IpAddr>,
}

/// Returns the VMs of a service.
///
/// A VM whose instance was restarted may be listed with the draining and the new instance; it
/// counts as staying.
#[must_use]
pub fn service_vms(listed: &[Upstream], service: &id::ServiceName) -> ServiceVms {
    let of_service = || {
        listed
            .iter()
            .filter(|upstream| upstream.service == *service)
    };
    let ready = of_service().filter(|upstream| upstream.state == State::Ready);
    let vm_and_domain =
        |upstream: &Upstream| (upstream.address.ip(), upstream.failure_domain.clone());
    let staying: IndexMap<_, _> = ready.map(vm_and_domain).collect();
    let all = of_service().map(|upstream| upstream.address.ip());
    let leaving = all.filter(|vm| !staying.contains_key(vm)).collect();
    ServiceVms { staying, leaving }
}
