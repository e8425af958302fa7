//! What callers and upstreams may make this entry hold, within the VM's memory and descriptors.

use std::sync;

use cadence::StatsdClient;
use pimentohook_core::memory_shares;
use pimentohook_runtime::{body, metrics, server};

/// The bounds on what the entry holds.
#[derive(Debug)]
pub struct Holdings {
    /// The shares that the bounds follow.
    pub shares: memory_shares::EntryShares,
    /// The connections from callers.
    pub connections: sync::Arc<server::Connections>,
    /// The memory for the bodies of requests, until they have their final response.
    pub requests: sync::Arc<body::BodyBudget>,
    /// The memory for responses, until callers have read them.
    pub responses: sync::Arc<body::BodyBudget>,
}

impl Holdings {
    /// Creates the bounds of an entry on a VM.
    #[must_use]
    pub fn new(vm_limits: &memory_shares::VmLimits) -> Self {
        let shares = memory_shares::EntryShares::of(vm_limits);
        let connections = server::Connections::new(shares.callers_max);
        let readers = connections.clone();
        let relieve = move || readers.close_slowest_reader();
        let responses = body::BodyBudget::with_relief(shares.responses_bytes, relieve);
        Self {
            shares,
            connections,
            requests: sync::Arc::new(body::BodyBudget::new(shares.requests_bytes)),
            responses: sync::Arc::new(responses),
        }
    }

    /// Reports how many connections and bodies have lost their room to others.
    pub fn report(&self, client: &StatsdClient) {
        let closed_count = self.connections.closed_count();
        metrics::Registry::set(client, "connections_closed_for_others", closed_count);
        let refused_count = self.connections.refused_head_count();
        metrics::Registry::set(client, "heads_refused", refused_count);
        let evicted_count = self.requests.evicted_count();
        metrics::Registry::set(client, "bodies_evicted", evicted_count);
    }
}
