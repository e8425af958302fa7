//! Copies of the platform's objects of one kind, and the changes between positions.
//!
//! A [`Collection`] is a copy of the platform's objects as of a [position](crate::position). Lists
//! replace it and watches update it. Other processes receive it as a [`Delta`], which contains only
//! the changes since the position that they have. When the store was restored from a copy, only a
//! full list or snapshot leads from the earlier era to the new one.
//!
//! ```
//! use pimentohook_core::{collection, id, position};
//!
//! let at = |revision| position::Position::new(id::StoreEra::new(1), revision);
//! let mut copy = collection::Collection::default();
//! let object = collection::Object {
//!     name: String::from("main"),
//!     position: at(7),
//!     content: String::from("{}"),
//! };
//! copy.replace(at(9), vec![object]);
//! let delta = copy.since(at(0));
//! assert_eq!(delta.objects.len(), 1);
//! assert!(copy.since(at(9)).is_empty());
//! ```

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::position::Position;

/// An object of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Object {
    /// The name, unique within the kind.
    pub name: String,
    /// The revision of the last change, in the era in which the object was read.
    pub position: Position,
    /// The content, which is JSON text if its writer kept to the published form.
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

impl Change {
    /// Applies the change to objects by name; returns the name if it is a removal.
    pub(crate) fn apply_to(self, objects: &mut IndexMap<String, Object>) -> Option<String> {
        let object = self.object;
        if self.removed {
            objects.shift_remove(&object.name);
            return Some(object.name);
        }
        objects.insert(object.name.clone(), object);
        None
    }
}

/// The changes that bring a copy from an earlier position to a newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The newer position.
    pub position: Position,
    /// Whether `objects` contains all objects (a full snapshot), so that any other is removed.
    pub is_whole: bool,
    /// The names of removed objects.
    pub removed: Vec<String>,
    /// The created and changed objects.
    pub objects: Vec<Object>,
    /// Whether objects may have been created and removed in between that the delta does not name.
    pub has_gap: bool,
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
    /// The position of the removal, or a later one.
    position: Position,
    name: String,
}

/// Positions between two lists, at which objects may have existed that neither list has.
#[derive(Clone, Copy, Debug)]
struct Gap {
    after: Position,
    before: Position,
}

impl Gap {
    fn contains(self, position: Position) -> bool {
        self.after < position && position < self.before
    }
}

/// The number of recorded gaps; copies from before a dropped one get a full snapshot.
const GAPS_MAX: usize = 16;
/// The number of recorded removals. A copy that is older than these gets a full snapshot.
const REMOVALS_MAX: usize = 512;

/// A copy of the objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    position: Position,
    objects: IndexMap<String, Object>,
    /// Removals of the era of `position`.
    removals: VecDeque<Removal>,
    /// All removals after this position are recorded, unless they are in a gap.
    removals_since: Position,
    gaps: VecDeque<Gap>,
}

impl Collection {
    /// Returns the position of the copy; the start before the first list.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Returns the objects by name.
    #[must_use]
    pub const fn objects(&self) -> &IndexMap<String, Object> {
        &self.objects
    }

    /// Returns the changes since `position`: a full snapshot if that is the start, of an earlier
    /// era, in a gap or older than the recorded removals, and none if it is later than the copy.
    #[must_use]
    pub fn since(&self, position: Position) -> Delta {
        if position > self.position {
            return Delta {
                position: self.position,
                ..Delta::default()
            };
        }
        let is_in_gap = self.gaps.iter().any(|gap| gap.contains(position));
        let is_unknown = position < self.removals_since || is_in_gap;
        let is_whole = is_unknown || (position.is_start() && !self.position.is_start());
        let is_newer = |object: &&Object| is_whole || object.position > position;
        let is_missing = |removal: &&Removal| {
            // A removal may be recorded at a later position, at which the object exists again.
            !is_whole && removal.position > position && !self.objects.contains_key(&removal.name)
        };
        let removed = self.removals.iter().filter(is_missing);
        Delta {
            position: self.position,
            is_whole,
            removed: removed.map(|removal| removal.name.clone()).collect(),
            objects: self.objects.values().filter(is_newer).cloned().collect(),
            has_gap: self.gaps.iter().any(|gap| position < gap.before),
        }
    }

    /// Replaces all objects by a complete list, unless the list is older; returns whether this
    /// changed the copy.
    pub fn replace(&mut self, position: Position, objects: Vec<Object>) -> bool {
        if position < self.position {
            return false;
        }
        let listed: IndexMap<String, Object> = objects
            .into_iter()
            .map(|object| (object.name.clone(), object))
            .collect();
        let is_first = self.position.is_start() || position.era != self.position.era;
        let is_changed = listed != self.objects || is_first;
        if position.era == self.position.era {
            self.record_missing(position, &listed);
            self.record_gap(position);
        } else {
            self.removals.clear();
            self.gaps.clear();
            self.removals_since = position;
        }
        self.objects = listed;
        self.position = position;
        is_changed
    }

    /// Applies changes since the position of the copy, oldest first; returns whether they are of
    /// the era of the copy, without which they are ignored.
    pub fn apply(&mut self, position: Position, changes: Vec<Change>) -> bool {
        if position.era != self.position.era {
            return false;
        }
        for change in changes {
            if let Some(removed) = change.apply_to(&mut self.objects) {
                self.record_removal(position, removed);
            }
        }
        self.position = self.position.max(position);
        true
    }

    /// Applies a delta, unless it is older than the copy; returns whether this changed the copy.
    pub fn merge(&mut self, delta: Delta) -> bool {
        if delta.position < self.position {
            return false;
        }
        if delta.is_whole {
            return self.replace(delta.position, delta.objects);
        }
        if delta.position.era != self.position.era {
            return false;
        }
        let is_changed = !delta.is_empty();
        if delta.has_gap {
            self.record_gap(delta.position);
        }
        for name in delta.removed {
            self.objects.shift_remove(&name);
            self.record_removal(delta.position, name);
        }
        for object in delta.objects {
            self.objects.insert(object.name.clone(), object);
        }
        self.position = delta.position;
        is_changed
    }

    fn record_missing(&mut self, position: Position, listed: &IndexMap<String, Object>) {
        let names = self.objects.keys();
        let missing = names.filter(|name| !listed.contains_key(*name));
        for name in missing.cloned().collect::<Vec<_>>() {
            self.record_removal(position, name);
        }
    }

    fn record_gap(&mut self, before: Position) {
        let after = self.position;
        if after < before {
            self.gaps.push_back(Gap { after, before });
        }
        while self.gaps.len() > GAPS_MAX {
            if let Some(dropped) = self.gaps.pop_front() {
                self.removals_since = self.removals_since.max(dropped.before);
            }
        }
    }

    fn record_removal(&mut self, position: Position, name: String) {
        self.removals.push_back(Removal { position, name });
        while self.removals.len() > REMOVALS_MAX {
            if let Some(dropped) = self.removals.pop_front() {
                self.removals_since = self.removals_since.max(dropped.position);
            }
        }
    }
}
