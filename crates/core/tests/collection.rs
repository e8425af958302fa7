//! Copies of collections that are updated by deltas.

use pimentohook_core::{
    collection::{Change, Collection, Object},
    id,
    position::Position,
};
use proptest::prelude::*;

/// Returns a position in the first era.
const fn at(revision: u64) -> Position {
    Position::new(id::StoreEra::new(1), revision)
}

/// Returns a position in the era after a restore.
const fn restored_at(revision: u64) -> Position {
    Position::new(id::StoreEra::new(2), revision)
}

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: String::from(name),
        position: at(revision),
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
        .map(|object| (object.name.as_str(), object.position.revision))
        .collect();
    names.sort_unstable();
    names
}

#[test]
fn a_list_older_than_the_copy_changes_nothing() {
    let mut copy = Collection::default();
    assert!(copy.replace(at(9), vec![object("a", 8)]));
    assert!(!copy.replace(at(7), vec![object("a", 3), object("b", 2)]));
    assert_eq!(names(&copy), [("a", 8)]);
    assert_eq!(copy.position(), at(9));
}

#[test]
fn an_object_that_was_removed_and_created_again_exists() {
    let mut relay = Collection::default();
    relay.replace(at(5), vec![object("a", 4)]);
    let mut follower = relay.clone();
    relay.apply(at(9), vec![change("a", 4, true), change("a", 8, false)]);
    assert!(follower.merge(relay.since(follower.position())));
    assert_eq!(names(&follower), [("a", 8)]);
}

#[test]
fn an_object_created_again_before_a_relay_received_its_removal_stays() {
    let mut lagging = Collection::default();
    lagging.replace(at(1), vec![object("a", 1)]);
    let mut follower = lagging.clone();
    follower.apply(at(4), vec![change("a", 1, true), change("a", 4, false)]);
    lagging.apply(at(5), vec![change("a", 1, true), change("a", 4, false)]);
    follower.merge(lagging.since(follower.position()));
    assert_eq!(names(&follower), [("a", 4)]);
}

#[test]
fn an_object_missing_in_a_list_is_sent_as_removed() {
    let mut relay = Collection::default();
    relay.replace(at(5), vec![object("a", 4), object("b", 3)]);
    let mut follower = relay.clone();
    relay.replace(at(12), vec![object("a", 4)]);
    let delta = relay.since(at(5));
    assert!(!delta.is_whole);
    assert_eq!(delta.removed, ["b"]);
    assert!(follower.merge(delta));
    assert_eq!(names(&follower), [("a", 4)]);
}

#[test]
fn the_delta_of_an_unchanged_collection_is_empty() {
    let mut relay = Collection::default();
    relay.replace(at(5), vec![object("a", 4)]);
    relay.apply(at(50), Vec::new());
    assert!(relay.since(at(5)).is_empty());
    assert_eq!(relay.since(at(5)).position, at(50));
}

/// Returns the position of the same revision in the era after a restore.
fn restored(object: Object) -> Object {
    let position = restored_at(object.position.revision);
    Object { position, ..object }
}

#[test]
fn a_lower_list_of_a_later_era_replaces_the_copy() {
    let mut copy = Collection::default();
    copy.replace(at(90), vec![object("a", 80), object("lost", 85)]);
    let listed = vec![restored(object("a", 20))];
    assert!(copy.replace(restored_at(30), listed));
    assert_eq!(names(&copy), [("a", 20)]);
    assert_eq!(copy.position(), restored_at(30));
}

#[test]
fn an_answer_of_an_earlier_era_that_arrives_late_changes_nothing() {
    let mut copy = Collection::default();
    copy.replace(restored_at(30), vec![restored(object("a", 20))]);
    let before = names(&copy).len();
    assert!(!copy.replace(at(90), vec![object("b", 85)]));
    assert!(!copy.apply(at(91), vec![change("b", 91, false)]));
    let mut relay = Collection::default();
    relay.replace(at(92), vec![object("b", 85)]);
    assert!(!copy.merge(relay.since(at(0))));
    assert_eq!(names(&copy), [("a", 20)]);
    assert_eq!(names(&copy).len(), before);
}

#[test]
fn changes_of_a_later_era_are_not_applied_to_a_copy_of_an_earlier_one() {
    let mut copy = Collection::default();
    copy.replace(at(90), vec![object("lost", 85)]);
    assert!(!copy.apply(restored_at(95), vec![change("a", 95, false)]));
    assert_eq!(copy.position(), at(90));
    let mut relay = Collection::default();
    relay.replace(restored_at(94), Vec::new());
    let created = Change {
        object: restored(object("a", 95)),
        removed: false,
    };
    relay.apply(restored_at(95), vec![created]);
    assert!(
        !copy.merge(relay.since(restored_at(94))),
        "only differences"
    );
    assert_eq!(names(&copy), [("lost", 85)]);
}

#[test]
fn a_follower_of_an_earlier_era_receives_a_full_snapshot() {
    let mut relay = Collection::default();
    relay.replace(at(90), vec![object("a", 80)]);
    let mut follower = relay.clone();
    relay.replace(restored_at(30), vec![restored(object("a", 20))]);
    let delta = relay.since(follower.position());
    assert!(delta.is_whole);
    assert!(follower.merge(delta));
    assert_eq!(names(&follower), [("a", 20)]);
}

#[test]
fn a_follower_of_a_later_era_receives_nothing() {
    let mut relay = Collection::default();
    relay.replace(at(90), vec![object("a", 80)]);
    let delta = relay.since(restored_at(30));
    assert!(delta.is_empty());
    assert_eq!(delta.position, at(90));
}

/// A relay that took the new era at a later revision does not know what was removed before.
#[test]
fn removals_before_the_first_list_of_an_era_reach_a_follower() {
    let mut relay = Collection::default();
    relay.replace(at(90), vec![object("a", 80)]);
    let mut follower = Collection::default();
    let listed = ["a", "removed"].map(|name| restored(object(name, 20)));
    follower.replace(restored_at(30), listed.to_vec());
    relay.replace(restored_at(40), vec![restored(object("a", 20))]);
    follower.merge(relay.since(follower.position()));
    assert_eq!(names(&follower), [("a", 20)]);
}

/// A relay that lists the store again does not see objects that were created and removed between
/// its lists. Their removal never reached a follower that had them from another relay.
#[test]
fn removals_between_two_lists_reach_a_follower_that_had_the_object() {
    let mut relay = Collection::default();
    relay.replace(at(30), vec![object("a", 20)]);
    let mut follower = relay.clone();
    follower.apply(at(35), vec![change("short-lived", 35, false)]);
    relay.replace(at(40), vec![object("a", 20)]);
    follower.merge(relay.since(follower.position()));
    assert_eq!(names(&follower), [("a", 20)]);
    assert!(!relay.since(at(30)).is_whole, "nothing is unknown there");
}

/// The removal is unknown to the relay, and so it is to an entry that follows the relay.
#[test]
fn removals_between_two_lists_reach_a_follower_of_a_follower() {
    let mut relay = Collection::default();
    relay.replace(at(30), vec![object("a", 20)]);
    let mut fallback = relay.clone();
    let mut follower = relay.clone();
    follower.apply(at(35), vec![change("short-lived", 35, false)]);
    relay.replace(at(40), vec![object("a", 20)]);
    fallback.merge(relay.since(fallback.position()));
    follower.merge(fallback.since(follower.position()));
    assert_eq!(names(&follower), [("a", 20)]);
}

proptest! {
    /// A follower that merges deltas of either of two relays at any time, some of them outdated,
    /// converges to the objects of the store.
    #[test]
    fn followers_of_changing_relays_converge(
        events in prop::collection::vec((0_u8..6, any::<bool>(), 0_u8..8), 1..120)
    ) {
        let mut store = Collection::default();
        store.replace(at(1), Vec::new());
        let mut relays = [store.clone(), store.clone()];
        let mut follower = Collection::default();
        let mut revision = 1;
        let mut pending: [Vec<Change>; 2] = [Vec::new(), Vec::new()];
        for (name, removed, action) in events {
            revision += 1;
            let event = change(&format!("object-{name}"), revision, removed);
            store.apply(at(revision), vec![event.clone()]);
            for changes in &mut pending {
                changes.push(event.clone());
            }
            for (index, relay) in relays.iter_mut().enumerate() {
                if action >> index & 1 == 1 {
                    relay.apply(at(revision), std::mem::take(&mut pending[index]));
                }
            }
            let source = &relays[usize::from(action >> 2 & 1)];
            follower.merge(source.since(follower.position()));
            prop_assert!(follower.position() <= store.position());
        }
        for (relay, changes) in relays.iter_mut().zip(pending) {
            relay.apply(at(revision), changes);
            follower.merge(relay.since(follower.position()));
        }
        prop_assert_eq!(names(&follower), names(&store));
    }

    /// Answers of two eras arrive in any order: lists and changes of the store, and deltas of relays
    /// of either era. A copy never goes back, never mixes two histories, and reaches the objects of
    /// the store once it hears it again.
    #[test]
    fn copies_never_mix_two_eras(
        steps in prop::collection::vec((0_u8..6, any::<bool>(), 0_u8..6), 1..80),
        backup_step in 0_usize..20,
        restore_step in 20_usize..60,
        reorder in any::<u64>(),
    ) {
        let history = History::new(&steps, backup_step, restore_step);
        let mut random = reorder;
        let mut copies: [Collection; 3] = Default::default();
        for _ in 0..120 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let drawn = usize::try_from(random >> 33).expect("31 bits");
            let (target, action, skip) = (drawn % 3, drawn / 3 % 3, drawn / 9 % 2);
            let state = &history.states[drawn / 18 % history.states.len()];
            let position = copies[target].position();
            match action {
                0 => {
                    let listed = state.objects().values().cloned().collect();
                    copies[target].replace(state.position(), listed);
                }
                1 if state.position() > position || state.position().era != position.era => {
                    // The answer to a watch, which may have been sent in another era.
                    let changes = history.changes_between(position, state.position());
                    let is_applied = copies[target].apply(state.position(), changes);
                    prop_assert_eq!(is_applied, state.position().era == position.era);
                }
                1 => {}
                _ => {
                    let delta = copies[(target + 1 + skip) % 3].since(position);
                    copies[target].merge(delta);
                }
            }
            prop_assert!(copies[target].position() >= position);
            check_is_a_state(&copies[target], &history.states)?;
        }
        let last = history.states.last().expect("a state");
        for copy in &mut copies {
            copy.replace(last.position(), last.objects().values().cloned().collect());
            prop_assert_eq!(names(copy), names(last));
        }
    }
}

/// The history of a store that is restored from a copy.
struct History {
    states: Vec<Collection>,
    changes: Vec<Change>,
}

impl History {
    fn new(steps: &[(u8, bool, u8)], backup_step: usize, restore_step: usize) -> Self {
        let mut store = Collection::default();
        store.replace(at(1), Vec::new());
        let mut backup = store.clone();
        let mut states = vec![store.clone()];
        let mut changes = Vec::new();
        for (step, (name, removed, _)) in steps.iter().enumerate() {
            if step == backup_step {
                backup = store.clone();
            }
            if step == restore_step {
                let objects = backup.objects().values().cloned().map(restored).collect();
                store = Collection::default();
                store.replace(restored_at(backup.position().revision), objects);
                states.push(store.clone());
            }
            let era = store.position().era;
            let position = Position::new(era, store.position().revision + 1);
            let object = Object {
                name: format!("object-{name}"),
                position,
                content: format!("{name} at {position}"),
            };
            let removed = *removed;
            let change = Change { object, removed };
            store.apply(position, vec![change.clone()]);
            states.push(store.clone());
            changes.push(change);
        }
        Self { states, changes }
    }

    /// Returns the answer to a watch from `after` in the era of `until`.
    fn changes_between(&self, after: Position, until: Position) -> Vec<Change> {
        let is_between = |change: &&Change| {
            let position = change.object.position;
            position.era == until.era && position.revision > after.revision && position <= until
        };
        self.changes.iter().filter(is_between).cloned().collect()
    }
}

/// Checks that a copy has the objects that the store had at the position of the copy.
fn check_is_a_state(copy: &Collection, states: &[Collection]) -> Result<(), TestCaseError> {
    let position = copy.position();
    if position.is_start() {
        return Ok(());
    }
    let state = states.iter().find(|state| state.position() == position);
    let state = state.expect("the position of a state");
    let sorted = |collection: &Collection| {
        let mut objects: Vec<_> = collection.objects().values().cloned().collect();
        objects.sort_by(|left, right| left.name.cmp(&right.name));
        objects
    };
    prop_assert_eq!(sorted(copy), sorted(state));
    Ok(())
}
