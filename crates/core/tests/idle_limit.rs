//! Tests of the limit for idle connections.

use std::time;

use pimentohook_core::idle_limit;

const fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

#[test]
fn a_higher_limit_holds_at_once() {
    let mut limit = idle_limit::IdleLimit::new(seconds(5));
    let now = time::Instant::now();
    limit.change(now, seconds(15));
    assert_eq!(limit.get(now), seconds(15));
}

#[test]
fn a_lower_limit_holds_once_no_caller_goes_by_the_earlier_one() {
    let mut limit = idle_limit::IdleLimit::new(seconds(15));
    let now = time::Instant::now();
    limit.change(now, seconds(5));
    assert_eq!(limit.get(now + seconds(14)), seconds(15));
    assert_eq!(limit.get(now + seconds(15)), seconds(5));
}

#[test]
fn an_earlier_limit_outlasts_a_series_of_changes() {
    let mut limit = idle_limit::IdleLimit::new(seconds(15));
    let now = time::Instant::now();
    for change in 0..4 {
        limit.change(now + seconds(change), seconds(2 + change));
    }
    assert_eq!(limit.get(now + seconds(14)), seconds(15));
    assert_eq!(limit.get(now + seconds(30)), seconds(5));
}

/// Each configuration states the limit again, and each of them prolonged the earlier limit.
#[test]
fn a_limit_that_is_stated_again_does_not_prolong_an_earlier_one() {
    let mut limit = idle_limit::IdleLimit::new(seconds(15));
    let now = time::Instant::now();
    limit.change(now, seconds(5));
    limit.change(now + seconds(10), seconds(5));
    assert_eq!(limit.get(now + seconds(14)), seconds(15));
    assert_eq!(limit.get(now + seconds(15)), seconds(5));
}
