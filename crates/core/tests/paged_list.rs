//! Guards against changes that are lost because they happen between two pages of a list.

use indexmap::IndexMap;
use pimentohook_core::{
    collection::{Change, Object},
    id,
    paged_list::PagedList,
    position::Position,
};
use proptest::prelude::*;

const fn at(revision: u64) -> Position {
    Position::new(id::StoreEra::new(1), revision)
}

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: String::from(name),
        position: at(revision),
        content: format!("{name} at {revision}"),
    }
}

/// A store that keeps all of its history.
#[derive(Default)]
struct Store {
    objects: IndexMap<String, Object>,
    history: Vec<Change>,
    /// The objects after each change of the history.
    states: Vec<IndexMap<String, Object>>,
}

impl Store {
    fn revision(&self) -> u64 {
        u64::try_from(self.history.len()).expect("a few changes")
    }

    /// Writes an object, or removes it, which is no change if it does not exist.
    fn change(&mut self, name: u8, removed: bool) {
        let name = format!("object-{name}");
        let changed = if removed {
            self.objects.shift_remove(&name)
        } else {
            let object = object(&name, self.revision() + 1);
            self.objects.insert(name, object.clone());
            Some(object)
        };
        if let Some(object) = changed {
            self.history.push(Change { object, removed });
            self.states.push(self.objects.clone());
        }
    }

    /// Returns the objects at a position, by name.
    fn state_at(&self, position: Position) -> Vec<Object> {
        let index = usize::try_from(position.revision).expect("a small revision") - 1;
        sorted(self.states[index].values().cloned().collect())
    }

    /// Returns the page of at most `count` objects after a name, and whether it is the last.
    fn page(&self, after: &str, count: usize) -> (Vec<Object>, bool) {
        let mut rest = sorted(self.objects.values().cloned().collect());
        rest.retain(|object| object.name.as_str() > after);
        let is_last = rest.len() <= count;
        rest.truncate(count);
        (rest, is_last)
    }

    fn changes_after(&self, position: Position) -> Vec<Change> {
        let after = usize::try_from(position.revision).expect("a small revision");
        self.history[after..].to_vec()
    }
}

fn sorted(mut objects: Vec<Object>) -> Vec<Object> {
    objects.sort_by(|left, right| left.name.cmp(&right.name));
    objects
}

#[test]
fn an_object_that_changes_between_two_pages_is_not_listed_as_it_was() {
    let mut list = PagedList::default();
    list.add_page(at(4), vec![object("a", 2), object("b", 3)]);
    list.add_page(at(6), vec![object("c", 1)]);
    assert_eq!(list.changes_needed_after(), Some(at(4)));
    let change = |name, revision, removed| Change {
        object: object(name, revision),
        removed,
    };
    list.apply(at(6), vec![change("a", 5, false), change("b", 6, true)]);
    assert_eq!(list.changes_needed_after(), None);
    assert_eq!(
        sorted(list.into_objects()),
        [object("a", 5), object("c", 1)]
    );
}

#[test]
fn changes_that_end_before_the_last_page_are_not_all() {
    let mut list = PagedList::default();
    list.add_page(at(4), Vec::new());
    list.add_page(at(9), Vec::new());
    list.apply(at(7), Vec::new());
    assert_eq!(list.changes_needed_after(), Some(at(7)));
}

#[test]
fn a_page_that_is_older_than_the_first_counts_from_its_own_position() {
    let mut list = PagedList::default();
    list.add_page(at(9), vec![object("a", 2)]);
    list.add_page(at(5), vec![object("b", 3)]);
    assert_eq!(list.changes_needed_after(), Some(at(5)));
}

#[test]
fn a_list_of_one_page_needs_no_changes() {
    let mut list = PagedList::default();
    list.add_page(at(9), vec![object("a", 2)]);
    assert_eq!(list.changes_needed_after(), None);
    assert_eq!(list.position(), at(9));
}

proptest! {
    /// Objects are written and removed between the pages of a list, which have one to three objects.
    /// The list has the objects that the store had at the position of the list.
    #[test]
    fn a_paged_list_has_the_objects_of_its_position(
        before in prop::collection::vec((0_u8..9, any::<bool>()), 0..20),
        between in prop::collection::vec(prop::collection::vec((0_u8..9, any::<bool>()), 0..5), 1..12),
        page_objects in 1_usize..4,
        reads_changes_at in 0_usize..8,
    ) {
        let mut store = Store::default();
        store.change(0, false);
        for (name, removed) in before {
            store.change(name, removed);
        }
        let mut list = PagedList::default();
        let mut after = String::new();
        let mut writes = between.into_iter();
        loop {
            let (objects, is_last) = store.page(&after, page_objects);
            after = objects.last().map_or(after, |object| object.name.clone());
            list.add_page(at(store.revision()), objects);
            if is_last {
                break;
            }
            for (name, removed) in writes.next().unwrap_or_default() {
                store.change(name, removed);
            }
        }
        // Some more is written before the changes are read.
        for (name, removed) in writes.take(reads_changes_at).flatten() {
            store.change(name, removed);
        }
        let position = list.position();
        let is_exact = list.changes_needed_after().is_none();
        if let Some(after) = list.changes_needed_after() {
            list.apply(at(store.revision()), store.changes_after(after));
        }
        prop_assert_eq!(list.changes_needed_after(), None);
        let until = if is_exact { position } else { at(store.revision()) };
        prop_assert_eq!(list.position(), until);
        prop_assert_eq!(sorted(list.into_objects()), store.state_at(until));
    }
}
