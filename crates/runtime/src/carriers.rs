//! The connections of a client, and the requests that each has carried.

use std::{
    hash::{self, BuildHasher as _},
    sync::{self, atomic},
};

use pimentohook_core::carried_ids::{CarriedIds, IdHash};

/// A connection that carries requests.
#[derive(Clone, Debug)]
pub(crate) struct Carrier {
    /// Tells the connections of a client apart.
    pub(crate) number: u64,
    pub(crate) ids: sync::Arc<CarriedIds>,
}

/// The connections of a client.
#[derive(Debug, Default)]
pub(crate) struct Carriers {
    connection_count: atomic::AtomicU64,
    hash_state: hash::RandomState,
}

impl Carriers {
    /// Returns the hash of a request's id.
    pub(crate) fn hash(&self, id: &[u8]) -> IdHash {
        IdHash::new(self.hash_state.hash_one(id))
    }

    /// Records a new connection.
    pub(crate) fn register(&self) -> Carrier {
        let number = self
            .connection_count
            .fetch_add(1, atomic::Ordering::Relaxed);
        Carrier {
            number,
            ids: sync::Arc::default(),
        }
    }
}
