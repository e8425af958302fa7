//! Objects of one kind as of a revision, and what changed since an earlier revision.
//!
//! A [`Collection`] is a copy of what the platform keeps. It is replaced by lists, extended by
//! watches, and passed on as a [`Delta`], so that whoever has an earlier copy gets only what
//! changed.
//!
//! ```
//! use pimentohook_core::collection;
//!
//! let mut mine = collection::Collection::default();
//! let object = collection::Object {
//!     name: String::from("main"),
//!     revision: 7,
//!     content: String::from("{}"),
//! };
//! mine.replace(9, vec![object]);
//! let delta = mine.since(0);
//! assert_eq!(delta.objects.len(), 1);
//! assert!(mine.since(9).is_empty());
//! ```

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// An object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its name within its kind.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// Its content as JSON text.
    pub content: String,
}

/// One change of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The object as it is, or as it was before it was removed.
    pub object: Object,
    /// Whether it was removed.
    pub removed: bool,
}

/// What a copy at an earlier revision lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that it leads to.
    pub revision: u64,
    /// Whether it holds all objects, so that others are gone.
    pub is_whole: bool,
    /// The names of objects that were removed.
    pub removed: Vec<String>,
    /// The objects that were created or changed.
    pub objects: Vec<Object>,
}

impl Delta {
    /// Returns whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.is_whole && self.removed.is_empty() && self.objects.is_empty()
    }

    /// Returns the bytes of its objects.
    #[must_use]
    pub fn content_bytes(&self) -> usize {
        self.objects.iter().map(|object| object.content.len()).sum()
    }
}

#[derive(Clone, Debug)]
struct Removal {
    /// No earlier than the revision of the removal itself.
    revision: u64,
    name: String,
}

/// Removals that are remembered; an older copy gets all objects anew.
const REMOVALS_MAX: usize = 512;

/// The objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    revision: u64,
    objects: IndexMap<String, Object>,
    removals: VecDeque<Removal>,
    /// All removals after this revision are remembered.
    removals_since: u64,
}

impl Collection {
    /// Returns the revision as of which it is known; 0 while nothing is.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the objects by name.
    #[must_use]
    pub const fn objects(&self) -> &IndexMap<String, Object> {
        &self.objects
    }

    /// Returns what a copy at `revision` lacks.
    #[must_use]
    pub fn since(&self, revision: u64) -> Delta {
        let is_whole = revision < self.removals_since || (revision == 0 && self.revision > 0);
        let is_newer = |object: &&Object| is_whole || object.revision > revision;
        let is_gone = |one: &&Removal| {
            // A removal is remembered at a revision at which the object may have been back already.
            !is_whole && one.revision > revision && !self.objects.contains_key(&one.name)
        };
        let removed = self.removals.iter().filter(is_gone);
        Delta {
            revision: self.revision,
            is_whole,
            removed: removed.map(|one| one.name.clone()).collect(),
            objects: self.objects.values().filter(is_newer).cloned().collect(),
        }
    }

    /// Takes in a whole list, unless it is older than what is known; returns whether that changed
    /// anything.
    pub fn replace(&mut self, revision: u64, objects: Vec<Object>) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed: IndexMap<String, Object> = objects
            .into_iter()
            .map(|object| (object.name.clone(), object))
            .collect();
        let is_changed = listed != self.objects || self.revision == 0;
        let gone = self
            .objects
            .keys()
            .filter(|name| !listed.contains_key(*name));
        for name in gone.cloned().collect::<Vec<_>>() {
            self.remember_removal(revision, name);
        }
        self.objects = listed;
        self.revision = revision;
        is_changed
    }

    /// Takes in changes since the revision that is known, oldest first.
    pub fn apply(&mut self, revision: u64, changes: Vec<Change>) {
        for change in changes {
            let object = change.object;
            if change.removed {
                self.objects.shift_remove(&object.name);
                self.remember_removal(revision, object.name);
            } else {
                self.objects.insert(object.name.clone(), object);
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Takes in what another copy has, unless it is older; returns whether that changed anything.
    pub fn merge(&mut self, delta: Delta) -> bool {
        if delta.revision < self.revision {
            return false;
        }
        if delta.is_whole {
            return self.replace(delta.revision, delta.objects);
        }
        let is_changed = !delta.is_empty();
        for name in delta.removed {
            self.objects.shift_remove(&name);
            self.remember_removal(delta.revision, name);
        }
        for object in delta.objects {
            self.objects.insert(object.name.clone(), object);
        }
        self.revision = delta.revision;
        is_changed
    }

    fn remember_removal(&mut self, revision: u64, name: String) {
        self.removals.push_back(Removal { revision, name });
        while self.removals.len() > REMOVALS_MAX {
            if let Some(forgotten) = self.removals.pop_front() {
                self.removals_since = self.removals_since.max(forgotten.revision);
            }
        }
    }
}
