//! When other sources are asked beside the one that is followed.

use std::time::{Duration, Instant};

use pimentohook_core::{
    clock::BootInstant,
    follow_timing::HedgeTiming,
    hedge::{Knowledge, Reason, WatchAnswer},
    relay::{Failures, Followed, Source},
    reported_version::Neighbour,
};
use rstest::rstest;

const GRACE: Duration = Duration::from_secs(2);

fn timing() -> HedgeTiming {
    HedgeTiming::within(GRACE)
}

fn start() -> BootInstant {
    BootInstant::from_boot(Duration::from_mins(1))
}

fn entry(name: &str) -> Source {
    Source::Entry(String::from(name))
}

#[test]
fn nothing_is_asked_beside_the_first_copy() {
    let knowledge = Knowledge::default();
    assert_eq!(knowledge.reason(&timing(), start() + GRACE), None);
}

#[test]
fn a_copy_that_is_being_replaced_is_given_more_time() {
    let mut knowledge = Knowledge {
        confirmed_at: Some(start()),
        ..Knowledge::default()
    };
    let later = start() + timing().after;
    assert_eq!(knowledge.reason(&timing(), later), Some(Reason::OldCopy));
    knowledge.transfer_since = Some(start());
    assert_eq!(knowledge.reason(&timing(), later), None);
    let later = start() + timing().transfer_max;
    assert_eq!(knowledge.reason(&timing(), later), Some(Reason::OldCopy));
}

/// All of a region would read a change over one link at once, while those that they follow receive it.
#[rstest]
#[case::reported_first(0, 50)]
#[case::received_first(50, 0)]
fn a_neighbour_is_asked_a_while_after_its_report_and_after_a_transfer_began(
    #[case] reported_ms: u64,
    #[case] received_ms: u64,
) {
    let after = |millis| start() + Duration::from_millis(millis);
    let neighbour = Neighbour {
        entry: String::from("entry-1"),
        since: after(reported_ms),
    };
    let knowledge = Knowledge {
        confirmed_at: Some(start()),
        transfer_since: Some(after(received_ms)),
        newer_at: Some(&neighbour),
    };
    let due = after(50) + timing().neighbour_delay;
    let before = due.saturating_sub(Duration::from_millis(1));
    assert_eq!(knowledge.reason(&timing(), before), None);
    let reason = knowledge.reason(&timing(), due);
    assert_eq!(reason, Some(Reason::NewerAt(String::from("entry-1"))));
}

#[test]
fn the_store_is_asked_beside_a_watch_of_it_that_should_have_been_answered() {
    let now = Instant::now();
    let timeout = timing().store_timeout;
    let followed = Followed {
        source: Source::Store,
        asked_at: now,
    };
    assert!(followed.may_still_answer(&Source::Store, timeout, now));
    assert!(!followed.may_still_answer(&Source::Store, timeout, now + timeout));
    assert!(!followed.may_still_answer(&entry("entry-1"), timeout, now));
}

#[test]
fn an_entry_that_is_followed_is_not_asked_beside_itself() {
    let now = Instant::now();
    let followed = Followed {
        source: entry("entry-1"),
        asked_at: now,
    };
    let timeout = timing().entry_timeout;
    assert!(followed.may_still_answer(&entry("entry-1"), timeout, now + GRACE));
}

/// Two relays that said at once that they know nothing new sent their followers to the store between
/// them, although the other relay was fine.
#[test]
fn a_source_that_has_nothing_to_tell_at_once_does_not_make_the_store_come_first() {
    let now = Instant::now();
    let order = [entry("relay-1"), entry("relay-2"), Source::Store];
    let mut failures = Failures::default();
    failures.record_useless(&order[0], now);
    assert_eq!(failures.choose(&order, now), Some(&order[1]));
    failures.record_failure(&order[0], now);
    assert_eq!(failures.choose(&order, now), Some(&order[2]));
}

/// An answer that a full link held back for seconds passed for the store's latest word.
#[rstest]
#[case::without_changes(false, 500, 500)]
#[case::without_changes_and_late(false, 3_000, 500)]
#[case::cut_short(false, 300, 0)]
#[case::with_changes(true, 300, 0)]
#[case::with_changes_and_late(true, 3_000, 0)]
fn an_answer_of_the_store_holds_for_no_longer_than_it_says(
    #[case] is_changed: bool,
    #[case] read_after_ms: u64,
    #[case] held_after_ms: u64,
) {
    let after = |millis| start() + Duration::from_millis(millis);
    let answer = WatchAnswer {
        requested_at: start(),
        wait: Duration::from_millis(500),
        is_changed,
        read_at: after(read_after_ms),
    };
    assert_eq!(answer.held_at(), after(held_after_ms));
}
