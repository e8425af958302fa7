//! Lists that are read page by page while the objects change.
//!
//! Each page of a list is of its own [position](crate::position): an object of an early page may
//! change before a later page is read, and that change is in neither. A [`PagedList`] therefore
//! says from which position the changes have to be read too, and is a list of one position only
//! once they were applied.
//!
//! ```
//! use pimentohook_core::{id, paged_list, position};
//!
//! let at = |revision| position::Position::new(id::StoreEra::new(1), revision);
//! let mut list = paged_list::PagedList::default();
//! list.add_page(at(4), Vec::new());
//! list.add_page(at(6), Vec::new());
//! assert_eq!(list.changes_needed_after(), Some(at(4)));
//! list.apply(at(7), Vec::new());
//! assert_eq!(list.changes_needed_after(), None);
//! assert_eq!(list.position(), at(7));
//! ```

use indexmap::IndexMap;

use crate::{
    collection::{Change, Object},
    position::Position,
};

/// The objects of the pages that were read, and the changes since.
#[derive(Clone, Debug, Default)]
pub struct PagedList {
    objects: IndexMap<String, Object>,
    /// No change up to this position is missing; `None` before the first page.
    complete_until: Option<Position>,
    /// The latest position of a page, whose objects may already have changed by then.
    read_until: Position,
}

impl PagedList {
    /// Adds the objects of a page that was read at `position`.
    ///
    /// A page may be of an earlier position than the pages before it if it is out of date.
    pub fn add_page(&mut self, position: Position, objects: Vec<Object>) {
        let before = self.complete_until.unwrap_or(position);
        self.complete_until = Some(before.min(position));
        self.read_until = self.read_until.max(position);
        let named = objects.into_iter();
        self.objects
            .extend(named.map(|object| (object.name.clone(), object)));
    }

    /// Returns the position after which all changes have to be read and applied; `None` once the
    /// objects are those of one position.
    #[must_use]
    pub fn changes_needed_after(&self) -> Option<Position> {
        self.complete_until
            .filter(|position| *position < self.read_until)
    }

    /// Applies all changes between [`Self::changes_needed_after`] and `position`, oldest first.
    pub fn apply(&mut self, position: Position, changes: Vec<Change>) {
        for change in changes {
            change.apply_to(&mut self.objects);
        }
        self.complete_until = self.complete_until.max(Some(position));
    }

    /// Returns the position up to which no change is missing; the start before the first page.
    #[must_use]
    pub fn position(&self) -> Position {
        self.complete_until.unwrap_or_default()
    }

    /// Returns the objects.
    #[must_use]
    pub fn into_objects(self) -> Vec<Object> {
        self.objects.into_values().collect()
    }
}
