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

type OfAddress = sync::Arc<Vec<sync::Weak<CarriedIds>>>;

/// The open connections of a client, by address.
#[derive(Debug, Default)]
pub(crate) struct Carriers {
    by_address: ArcSwap<IndexMap<net::SocketAddr, OfAddress>>,
    connection_count: atomic::AtomicU64,
    hash_state: hash::RandomState,
}

impl Carriers {
    /// Returns the hash of a request's id.
    pub(crate) fn hash(&self, id: &[u8]) -> IdHash {
        IdHash::new(self.hash_state.hash_one(id))
    }

    /// Records a new connection, and forgets those that are closed.
    pub(crate) fn register(&self, address: net::SocketAddr) -> Carrier {
        let number = self
            .connection_count
            .fetch_add(1, atomic::Ordering::Relaxed);
        let ids = sync::Arc::new(CarriedIds::default());
        self.by_address.rcu(|by_address| {
            let mut by_address = IndexMap::clone(by_address);
            by_address.retain(|_, connections| connections.iter().any(is_open));
            let known = by_address.entry(address).or_default();
            let open = known.iter().filter(|ids| is_open(ids)).cloned();
            let added = std::iter::once(sync::Arc::downgrade(&ids));
            *known = sync::Arc::new(open.chain(added).collect());
            by_address
        });
        Carrier { number, ids }
    }

    /// Returns whether an open connection to an address has carried a request with this id.
    pub(crate) fn has_carried(&self, address: net::SocketAddr, id: IdHash) -> bool {
        let by_address = self.by_address.load();
        let Some(connections) = by_address.get(&address) else {
            return false;
        };
        let mut open = connections.iter().filter_map(sync::Weak::upgrade);
        open.any(|ids| ids.has_carried(id))
    }
}

fn is_open(ids: &sync::Weak<CarriedIds>) -> bool {
    ids.strong_count() > 0
}
