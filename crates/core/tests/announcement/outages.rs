//! Announcements that are read at the end of an outage of the store.

use pimentohook_core::{
    announcement::{Announcements, Moment, Read},
    id, position,
};
use rstest::rstest;

use super::{LIFETIME, MODEL, announced, at, moment_of, revision};

/// The revision at which the first version was read.
const READ_AT: u64 = 40;
const OUTAGE_FROM_MS: u64 = 18_000;
const OUTAGE_UNTIL_MS: u64 = 26_000;

/// Returns what a process knows that read the first version some time before the outage.
fn known_before_outage() -> Announcements {
    let mut known = Announcements::default();
    known.record_read_at(announced(1), Read::Fetched(at(0)), revision(READ_AT));
    known.confirm_read(Read::Fetched(at(OUTAGE_FROM_MS - 1_600)));
    known
}

/// The moment was a bound from the last contact with the store before the outage.
#[test]
fn a_store_that_has_not_changed_at_the_end_of_an_outage_moves_the_bound_there() {
    let mut known = known_before_outage();
    known.confirm_position(revision(READ_AT), at(OUTAGE_UNTIL_MS + 80));
    let read = Read::Fetched(at(OUTAGE_UNTIL_MS + 900));
    known.record_read_at(announced(3), read, revision(44));
    let expected = Moment::NotBefore(at(OUTAGE_UNTIL_MS + 80));
    assert_eq!(moment_of(&known, 3), Some(expected));
    let now = at(OUTAGE_UNTIL_MS + 900);
    assert_eq!(known.version_min(MODEL, now, LIFETIME), Some(1));
}

#[rstest]
#[case::that_has_changed(revision(READ_AT + 1))]
#[case::of_an_earlier_revision(revision(READ_AT - 1))]
#[case::that_was_restored(position::Position::new(id::StoreEra::new(2), READ_AT))]
fn a_store_may_have_a_newer_version(#[case] position: position::Position) {
    let mut known = known_before_outage();
    known.confirm_position(position, at(OUTAGE_UNTIL_MS + 80));
    let read = Read::Fetched(at(OUTAGE_UNTIL_MS + 900));
    known.record_read_at(announced(3), read, revision(44));
    let expected = Moment::NotBefore(at(OUTAGE_FROM_MS - 1_600));
    assert_eq!(moment_of(&known, 3), Some(expected));
}

/// A reply that was asked for before the version was read says nothing of the time after.
#[test]
fn a_late_reply_does_not_make_an_announcement_later() {
    let mut known = known_before_outage();
    known.record_read_at(announced(3), Read::Fetched(at(27_000)), revision(44));
    let moment = moment_of(&known, 3);
    known.confirm_position(revision(READ_AT), at(30_000));
    known.confirm_position(revision(44), at(31_000));
    assert_eq!(moment_of(&known, 3), moment);
}

/// What is known from others alone is of no position.
#[test]
fn a_process_that_has_read_nothing_takes_no_revision_for_a_read() {
    let mut known = Announcements::default();
    known.confirm_position(revision(READ_AT), at(0));
    known.record_read_at(announced(2), Read::Fetched(at(1_000)), revision(READ_AT));
    assert_eq!(moment_of(&known, 2), Some(Moment::Unknown));
}
