//! Guards against waits that are together longer than the grace period which they serve.

use std::time::Duration;

use pimentohook_core::follow_timing::{FollowTiming, HedgeTiming, Lost, Place};
use rstest::rstest;
use strum::IntoEnumIterator as _;

/// The share of the grace period that is not left for the transfer of a large change.
const TOLD_PERCENT: u32 = 80;

/// One lost answer is noticed, and the store asked again, within the grace period (`review/4`).
#[rstest]
fn all_waits_together_stay_within_the_grace_period(
    #[values(500, 1_000, 2_000, 3_000, 8_000)] grace_ms: u64,
) {
    let grace = Duration::from_millis(grace_ms);
    let timing = FollowTiming::within(grace);
    assert!(timing.longest_unnoticed() <= grace, "{timing:?}");
    assert!(timing.age_max <= grace);
    assert!(timing.follow_wait <= timing.age_max);
}

/// A copy that a watch has just confirmed, however late, is recent enough to wait for the next change.
#[rstest]
fn a_watch_waits_after_an_answer_that_was_as_late_as_allowed(
    #[values(500, 2_000, 3_000, 4_000)] grace_ms: u64,
) {
    let timing = FollowTiming::within(Duration::from_millis(grace_ms));
    let wait = timing.watch_wait_at(Some(timing.answer_timeout));
    let wait = wait.expect("a wait");
    assert!(wait >= Duration::from_millis(grace_ms) / 20, "{wait:?}");
    assert!(timing.answer_timeout < timing.confirmation_timeout);
}

/// The waits of a follower for relays without the store, for the store and for one lost answer were
/// 135% of the grace period.
#[rstest]
fn a_process_is_told_of_a_change_in_time_whatever_it_follows(
    #[values(500, 2_000, 3_000, 4_000)] grace_ms: u64,
) {
    let grace = Duration::from_millis(grace_ms);
    let hedge = HedgeTiming::within(grace);
    for place in Place::iter() {
        for lost in Lost::iter() {
            let told = hedge.longest_until_told(place, lost);
            let max = match lost {
                Lost::Both => grace,
                Lost::Nothing | Lost::EntryAnswer | Lost::StoreAnswer => grace * TOLD_PERCENT / 100,
            };
            assert!(told <= max, "{place:?}, {lost:?}: {told:?} of {max:?}");
        }
    }
}

/// Otherwise a fleet without any failure asks other sources all the time.
#[rstest]
fn a_copy_is_confirmed_again_before_other_sources_are_asked(
    #[values(500, 2_000, 3_000, 4_000)] grace_ms: u64,
    #[values(0, 5, 10, 15, 20, 25)] age_percent: u32,
) {
    let grace = Duration::from_millis(grace_ms);
    let timing = FollowTiming::within(grace);
    let hedge = timing.hedge.expect("a hedge");
    let age = grace * age_percent / 100;
    let waits = [
        timing.watch_wait_at(Some(age)).unwrap_or_default(),
        timing.follow_wait_at(Some(age)),
    ];
    for wait in waits {
        assert!(age + wait < hedge.after, "{wait:?}");
    }
}
