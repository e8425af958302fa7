//! The connections of a client, and the requests that each has carried.

use std::{
    hash::{self, BuildHasher as _},
    net,
    sync::{self, atomic},
};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use pimentohook_core::carried_ids::{CarriedIds, IdHash};

/// A connection that carries requests.
#[derive(Clone, Debug)]
pub(crate) struct Carrier {
    /// Tells the connections of a client apart.
    pub(crate) number: u64,
    pub(crate) ids: sync::Arc<CarriedIds>,
}

type OfAddress = ArcSwap<Vec<sync::Weak<CarriedIds>>>;

/// The open connections of a client, by address.
#[derive(Debug, Default)]
pub(crate) struct Carriers {
    by_address: ArcSwap<IndexMap<net::SocketAddr, sync::Arc<OfAddress>>>,
    connection_count: atomic::AtomicU64,
    hash_state: hash::RandomState,
}

impl Carriers {
    /// Returns the hash of a request's id.
    pub(crate) fn hash(&self, id: &[u8]) -> IdHash {
        IdHash::new(self.hash_state.hash_one(id))
    }

    /// Records a new connection.
    pub(crate) fn register(&self, address: net::SocketAddr) -> Carrier {
        let number = self
            .connection_count
            .fetch_add(1, atomic::Ordering::Relaxed);
        let ids = sync::Arc::new(CarriedIds::default());
        self.of_address(address).rcu(|connections| {
            let open = connections.iter().filter(|ids| ids.strong_count() > 0);
            let mut open: Vec<_> = open.cloned().collect();
            open.push(sync::Arc::downgrade(&ids));
            open
        });
        Carrier { number, ids }
    }

    /// Returns whether an open connection to an address has carried a request with this id.
    pub(crate) fn has_carried(&self, address: net::SocketAddr, id: IdHash) -> bool {
        let by_address = self.by_address.load();
        let Some(connections) = by_address.get(&address) else {
            return false;
        };
        let connections = connections.load();
        let mut open = connections.iter().filter_map(sync::Weak::upgrade);
        open.any(|ids| ids.has_carried(id))
    }

    /// Returns the connections to an address, and forgets addresses that have none.
    fn of_address(&self, address: net::SocketAddr) -> sync::Arc<OfAddress> {
        if let Some(known) = self.by_address.load().get(&address) {
            return known.clone();
        }
        self.by_address.rcu(|by_address| {
            let mut by_address = IndexMap::clone(by_address);
            by_address.retain(|_, connections| is_any_open(connections));
            by_address.entry(address).or_default();
            by_address
        });
        let by_address = self.by_address.load();
        by_address.get(&address).cloned().unwrap_or_default()
    }
}

fn is_any_open(connections: &OfAddress) -> bool {
    let connections = connections.load();
    connections.iter().any(|ids| ids.strong_count() > 0)
}
