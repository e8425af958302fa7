//! Guards against waits that are together longer than the grace period which they serve.

use std::time::Duration;

use pimentohook_core::follow_timing::FollowTiming;
use rstest::rstest;

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

/// A copy that a watch has just confirmed is recent enough to wait for the next change.
#[test]
fn the_wait_of_a_watch_is_as_long_as_its_answer_may_be_late_and_more() {
    let timing = FollowTiming::within(Duration::from_secs(2));
    assert!(timing.answer_timeout <= timing.watch_wait / 2);
    assert!(timing.answer_timeout < timing.confirmation_timeout);
}
