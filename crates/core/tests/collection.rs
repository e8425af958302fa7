//! Copies of collections that are updated by deltas.

use pimentohook_core::collection::{Change, Collection, Object};
use proptest::prelude::*;

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: String::from(name),
        revision,
        content: format!("{name} at {revision}"),
    }
}

fn change(name: &str, revision: u64, removed: bool) -> Change {
    Change {
        object: object(name, revision),
        removed,
    }
}

fn names(collection: &Collection) -> Vec<(&str, u64)> {
    let mut names: Vec<_> = collection
        .objects()
        .values()
        .map(|object| (object.name.as_str(), object.revision))
        .collect();
    names.sort_unstable();
    names
}

#[test]
fn a_list_older_than_the_copy_changes_nothing() {
    let mut copy = Collection::default();
    assert!(copy.replace(9, vec![object("a", 8)]));
    assert!(!copy.replace(7, vec![object("a", 3), object("b", 2)]));
    assert_eq!(names(&copy), [("a", 8)]);
    assert_eq!(copy.revision(), 9);
}

#[test]
fn an_object_that_was_removed_and_created_again_exists() {
    let mut relay = Collection::default();
    relay.replace(5, vec![object("a", 4)]);
    let mut follower = relay.clone();
    relay.apply(9, vec![change("a", 4, true), change("a", 8, false)]);
    assert!(follower.merge(relay.since(follower.revision())));
    assert_eq!(names(&follower), [("a", 8)]);
}

#[test]
fn an_object_created_again_before_a_relay_received_its_removal_stays() {
    let mut lagging = Collection::default();
    lagging.replace(1, vec![object("a", 1)]);
    let mut follower = lagging.clone();
    follower.apply(4, vec![change("a", 1, true), change("a", 4, false)]);
    lagging.apply(5, vec![change("a", 1, true), change("a", 4, false)]);
    follower.merge(lagging.since(follower.revision()));
    assert_eq!(names(&follower), [("a", 4)]);
}

#[test]
fn an_object_missing_in_a_list_is_sent_as_removed() {
    let mut relay = Collection::default();
    relay.replace(5, vec![object("a", 4), object("b", 3)]);
    let mut follower = relay.clone();
    relay.replace(12, vec![object("a", 4)]);
    let delta = relay.since(5);
    assert!(!delta.is_whole);
    assert_eq!(delta.removed, ["b"]);
    assert!(follower.merge(delta));
    assert_eq!(names(&follower), [("a", 4)]);
}

#[test]
fn the_delta_of_an_unchanged_collection_is_empty() {
    let mut relay = Collection::default();
    relay.replace(5, vec![object("a", 4)]);
    relay.apply(50, Vec::new());
    assert!(relay.since(5).is_empty());
    assert_eq!(relay.since(5).revision, 50);
}

proptest! {
    /// A follower that merges deltas of either of two relays at any time, some of them outdated,
    /// converges to the objects of the store.
    #[test]
    fn followers_of_changing_relays_converge(
        events in prop::collection::vec((0_u8..6, any::<bool>(), 0_u8..8), 1..120)
    ) {
        let mut store = Collection::default();
        store.replace(1, Vec::new());
        let mut relays = [store.clone(), store.clone()];
        let mut follower = Collection::default();
        let mut revision = 1;
        let mut pending: [Vec<Change>; 2] = [Vec::new(), Vec::new()];
        for (name, removed, action) in events {
            revision += 1;
            let event = change(&format!("object-{name}"), revision, removed);
            store.apply(revision, vec![event.clone()]);
            for changes in &mut pending {
                changes.push(event.clone());
            }
            for (index, relay) in relays.iter_mut().enumerate() {
                if action >> index & 1 == 1 {
                    relay.apply(revision, std::mem::take(&mut pending[index]));
                }
            }
            let source = &relays[usize::from(action >> 2 & 1)];
            follower.merge(source.since(follower.revision()));
            prop_assert!(follower.revision() <= store.revision());
        }
        for (relay, changes) in relays.iter_mut().zip(pending) {
            relay.apply(revision, changes);
            follower.merge(relay.since(follower.revision()));
        }
        prop_assert_eq!(names(&follower), names(&store));
    }
}
