//! The agent's copies of the collections that it refreshes.

use std::time;

use indexmap::IndexMap;
use pimentohook_core::{carryover, collection, upstreams};
use pimentohook_platform::store;

use super::WEIGHTS_AGE_MAX;

const LIST_AGE_MAX: time::Duration = time::Duration::from_secs(6);

pub(in crate::direct) type Objects = IndexMap<String, collection::Object>;

/// The agent's copies of the collections that it refreshes.
#[derive(Debug, Default)]
pub struct CachedCollections {
    /// The upstreams.
    pub upstreams: collection::Collection,
    /// The registrations of entries.
    pub entries: collection::Collection,
    /// The announced versions of weights.
    pub weights: collection::Collection,
    /// The upstreams that a restored store has lost.
    pub lost_upstreams: carryover::Carryover<upstreams::Upstream>,
    /// The registrations of entries that a restored store has lost.
    pub lost_entries: carryover::Carryover<collection::Object>,
}

impl CachedCollections {
    /// Returns the copy of a kind.
    pub const fn get_mut(&mut self, kind: RefreshedKind) -> &mut collection::Collection {
        match kind {
            RefreshedKind::Upstreams => &mut self.upstreams,
            RefreshedKind::Entries => &mut self.entries,
            RefreshedKind::Weights => &mut self.weights,
        }
    }
}

/// The kinds of objects that are refreshed periodically.
#[derive(Clone, Copy, Debug)]
pub enum RefreshedKind {
    Upstreams,
    Entries,
    Weights,
}

impl RefreshedKind {
    /// Returns the kind of the store.
    pub const fn store_kind(self) -> store::Kind {
        match self {
            Self::Upstreams => store::Kind::Upstreams,
            Self::Entries => store::Kind::Entries,
            Self::Weights => store::Kind::Weights,
        }
    }

    /// Returns the maximum age of an entry's copy, which reflects how often entries poll the store.
    pub const fn age_max(self) -> time::Duration {
        match self {
            Self::Upstreams | Self::Entries => LIST_AGE_MAX,
            Self::Weights => WEIGHTS_AGE_MAX,
        }
    }
}
