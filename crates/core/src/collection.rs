//! Copies of the platform's objects of one kind, and the changes between revisions.
//!
//! A [`Collection`] is a copy of the platform's objects as of a revision. Lists replace it and
//! watches update it. Other processes receive it as a [`Delta`], which contains only the changes
//! since the revision that they have.
//!
//! ```
//! use pimentohook_core::collection;
//!
//! let mut copy = collection::Collection::default();
//! let object = collection::Object {
//!     name: String::from("main"),
//!     revision: 7,
//!     content: String::from("{}"),
//! };
//! copy.replace(9, vec![object]);
//! let delta = copy.since(0);
//! assert_eq!(delta.objects.len(), 1);
//! assert!(copy.since(9).is_empty());
//! ```

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// An object of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The name, unique within the kind.
    pub name: String,
    /// The revision of the last change.
    pub revision: u64,
    /// The content as JSON text.
    pub content: String,
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The new object, or the last one before its removal.
    pub object: Object,
    /// Whether the object was removed.
    pub removed: bool,
}

/// The changes that bring a copy from an earlier revision to a newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The newer revision.
    pub revision: u64,
    /// Whether `objects` contains all objects (a full snapshot), so that any other is removed.
    pub is_whole: bool,
    /// The names of removed objects.
    pub removed: Vec<String>,
    /// The created and changed objects.
    pub objects: Vec<Object>,
}

impl Delta {
    /// Returns whether the delta contains no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.is_whole && self.removed.is_empty() && self.objects.is_empty()
    }

    /// Returns the total content size of the objects in bytes.
    #[must_use]
    pub fn content_bytes(&self) -> usize {
        self.objects.iter().map(|object| object.content.len()).sum()
    }
}

#[derive(Clone, Debug)]
struct Removal {
    /// The revision of the removal, or a later one.
    revision: u64,
    name: String,
}

/// The number of recorded removals. A copy that is older than these gets a full snapshot.
const REMOVALS_MAX: usize = 512;

/// A copy of the objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    revision: u64,
    objects: IndexMap<String, Object>,
    removals: VecDeque<Removal>,
    /// All removals after this revision are recorded.
    removals_since: u64,
}

impl Collection {
    /// Returns the revision of the copy; 0 before the first list.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the objects by name.
    #[must_use]
    pub const fn objects(&self) -> &IndexMap<String, Object> {
        &self.objects
    }

    /// Returns the changes since `revision`: a full snapshot if that is 0 or older than the
    /// recorded removals.
    #[must_use]
    pub fn since(&self, revision: u64) -> Delta {
        let is_whole = revision < self.removals_since || (revision == 0 && self.revision > 0);
        let is_newer = |object: &&Object| is_whole || object.revision > revision;
        let is_missing = |removal: &&Removal| {
            // A removal may be recorded at a later revision, at which the object exists again.
            !is_whole && removal.revision > revision && !self.objects.contains_key(&removal.name)
        };
        let removed = self.removals.iter().filter(is_missing);
        Delta {
            revision: self.revision,
            is_whole,
            removed: removed.map(|removal| removal.name.clone()).collect(),
            objects: self.objects.values().filter(is_newer).cloned().collect(),
        }
    }

    /// Replaces all objects by a complete list, unless the list is older; returns whether this
    /// changed the copy.
    pub fn replace(&mut self, revision: u64, objects: Vec<Object>) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed: IndexMap<String, Object> = objects
            .into_iter()
            .map(|object| (object.name.clone(), object))
            .collect();
        let is_changed = listed != self.objects || self.revision == 0;
        let missing = self
            .objects
            .keys()
            .filter(|name| !listed.contains_key(*name));
        for name in missing.cloned().collect::<Vec<_>>() {
            self.record_removal(revision, name);
        }
        self.objects = listed;
        self.revision = revision;
        is_changed
    }

    /// Applies changes since the revision of the copy, oldest first.
    pub fn apply(&mut self, revision: u64, changes: Vec<Change>) {
        for change in changes {
            let object = change.object;
            if change.removed {
                self.objects.shift_remove(&object.name);
                self.record_removal(revision, object.name);
            } else {
                self.objects.insert(object.name.clone(), object);
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Applies a delta, unless it is older than the copy; returns whether this changed the copy.
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
            self.record_removal(delta.revision, name);
        }
        for object in delta.objects {
            self.objects.insert(object.name.clone(), object);
        }
        self.revision = delta.revision;
        is_changed
    }

    fn record_removal(&mut self, revision: u64, name: String) {
        self.removals.push_back(Removal { revision, name });
        while self.removals.len() > REMOVALS_MAX {
            if let Some(dropped) = self.removals.pop_front() {
                self.removals_since = self.removals_since.max(dropped.revision);
            }
        }
    }
}
