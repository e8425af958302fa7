//! Which requests a connection has carried, so that a response proves something of one send only.
//!
//! A response names a request by its id, not the send that it answers. On a connection that has
//! carried an id before, a response with that id may be a copy of the earlier one.
//! [`CarriedIds::record`] is the only maker of a [`FirstSend`], the proof that this can't be:
//!
//! ```
//! use pimentohook_core::carried_ids::{CarriedIds, IdHash};
//!
//! let connection = CarriedIds::default();
//! assert!(connection.record(IdHash::new(7)).is_some());
//! assert!(connection.record(IdHash::new(8)).is_some());
//! assert!(connection.record(IdHash::new(7)).is_none());
//! assert!(connection.has_carried(IdHash::new(8)));
//! ```
//!
//! Nobody else makes one:
//!
//! ```compile_fail,E0423
//! # use pimentohook_core::carried_ids;
//! let proof = carried_ids::FirstSend(());
//! ```
//!
//! And it proves something once:
//!
//! ```compile_fail,E0382
//! # use pimentohook_core::carried_ids::{CarriedIds, FirstSend, IdHash};
//! # let connection = CarriedIds::default();
//! # fn use_up(_: FirstSend) {}
//! let proof = connection.record(IdHash::new(7)).unwrap();
//! use_up(proof);
//! use_up(proof);
//! ```

use std::{
    num,
    sync::{self, atomic},
};

/// The number of requests that a connection carries before it is replaced, which bounds its memory.
pub const CARRIED_MAX: usize = 256;
/// Twice the number of requests, so that few hashes share a place.
const PLACE_COUNT: usize = 2 * CARRIED_MAX;

/// The hash of a request's id. Ids with the same hash count as the same id, which proves less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdHash(num::NonZeroU64);

impl IdHash {
    /// Creates the hash of an id; the hash function must be the same for all ids of a connection.
    #[must_use]
    pub const fn new(hash: u64) -> Self {
        match num::NonZeroU64::new(hash) {
            Some(hash) => Self(hash),
            None => Self(num::NonZeroU64::MIN),
        }
    }

    fn first_place(self) -> usize {
        usize::try_from(self.0.get() % PLACE_COUNT as u64).unwrap_or_default()
    }
}

/// The proof that a connection had carried no other request with the id of the one that was handed to
/// it.
#[derive(Debug)]
#[must_use]
pub struct FirstSend(());

/// The ids of the requests that a connection has carried.
#[derive(Debug, Default)]
pub struct CarriedIds {
    /// A hash table with open addressing, 0 for a free place; made with the first id.
    places: sync::OnceLock<Box<[atomic::AtomicU64]>>,
    count: atomic::AtomicUsize,
}

impl CarriedIds {
    /// Records the id of a request that is handed to the connection; returns the proof that it is the
    /// first one with this id, `None` if it is not or there is no place left.
    pub fn record(&self, id: IdHash) -> Option<FirstSend> {
        self.count.fetch_add(1, atomic::Ordering::AcqRel);
        let places = self.places.get_or_init(|| {
            let free = || atomic::AtomicU64::new(0);
            std::iter::repeat_with(free).take(PLACE_COUNT).collect()
        });
        for place in from_first_place(places, id) {
            let ordering = atomic::Ordering::AcqRel;
            let free = place.compare_exchange(0, id.0.get(), ordering, atomic::Ordering::Acquire);
            match free {
                Ok(_) => return Some(FirstSend(())),
                Err(hash) if hash == id.0.get() => return None,
                Err(_) => {}
            }
        }
        None
    }

    /// Returns whether the connection has carried a request with this id.
    #[must_use]
    pub fn has_carried(&self, id: IdHash) -> bool {
        let Some(places) = self.places.get() else {
            return false;
        };
        let hashes =
            from_first_place(places, id).map(|place| place.load(atomic::Ordering::Acquire));
        let mut known = hashes.take_while(|hash| *hash != 0);
        known.any(|hash| hash == id.0.get())
    }

    /// Returns whether the connection has carried as many requests as it may.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.count.load(atomic::Ordering::Acquire) >= CARRIED_MAX
    }
}

/// Returns all places in the order in which one is looked for.
fn from_first_place(
    places: &[atomic::AtomicU64],
    id: IdHash,
) -> impl Iterator<Item = &atomic::AtomicU64> {
    let (before, after) = places.split_at(id.first_place());
    after.iter().chain(before)
}
