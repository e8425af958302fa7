//! Entries that shut down together: plays of rolls in virtual time, and what the decisions promise.

mod entry;
mod play;
mod roll;

use std::{
    fmt::Write as _,
    time::{Duration, Instant},
};

use pimentohook_core::{
    leaving::{self, Hearing, Kind, Leaver, Others, Policy, Times, WaitsFor},
    shutdown::Shutdown,
};
use proptest::prelude::*;
use rstest::rstest;

/// With 43 entries and answers of 3 s, one request less is served than by the deadline.
const ONE_IN_A_THOUSAND_PERCENT: f64 = 0.1;
const TIMEOUT: Duration = Duration::from_millis(7_500);

fn shutdown(since: Instant) -> Shutdown {
    Shutdown {
        since,
        delay: Duration::from_millis(4_500),
        timeout: TIMEOUT,
    }
}

fn times(taken_ms: &[u64]) -> Times {
    let times = Times::default();
    for _ in 0..20 {
        for taken_ms in taken_ms {
            times.record(Duration::from_millis(*taken_ms));
        }
    }
    times
}

/// Answers of 6 s are nearly as long as the shutdown, so that little can be done for them.
#[rstest]
#[case::one("one", 1, &roll::GAPS)]
#[case::two("two", 2, &roll::GAPS)]
#[case::half("half", 0, &roll::GAPS)]
#[case::all("all", usize::MAX, &[Duration::ZERO])]
fn rolls_are_served_on(#[case] name: &str, #[case] per_step: usize, #[case] gaps: &[Duration]) {
    let mut table = String::from(
        "| entries | gap | answers | by deadline: served, cut, worst 2 s | by likely time |\n\
         |---|---|---|---|---|\n",
    );
    let mut faults = Vec::new();
    for roll in roll::rolls(per_step, gaps) {
        let by_deadline = play::play(&roll, Policy::ByDeadline);
        let by_likely_time = play::play(&roll, Policy::ByLikelyTime);
        let _ = writeln!(
            table,
            "| {} | {:?} | {} | {by_deadline} | {by_likely_time} |",
            roll.entry_count, roll.gap, roll.mix
        );
        let margin = match roll.mix.stream {
            stream if stream <= Duration::from_secs(1) => 0.0,
            stream if stream <= Duration::from_secs(3) => ONE_IN_A_THOUSAND_PERCENT,
            _ => 100.0,
        };
        let is_worse = by_likely_time.served + margin < by_deadline.served;
        if is_worse || by_likely_time.lost > 0 {
            faults.push(format!("{roll:?} {by_deadline:?} {by_likely_time:?}"));
        }
    }
    insta::assert_snapshot!(format!("rolls_{name}"), table);
    assert!(faults.is_empty(), "{faults:#?}");
}

proptest! {
    #[test]
    fn what_is_accepted_by_its_likely_time_ends_before_the_last_responses(
        taken_ms in prop::collection::vec(1..9_000_u64, 1..20),
        after_ms in 0..9_000_u64,
    ) {
        let since = Instant::now();
        let shutdown = shutdown(since);
        let times = times(&taken_ms);
        let now = since + Duration::from_millis(after_ms);
        let longest = Duration::from_millis(taken_ms.iter().copied().max().expect("a time"));
        if leaving::is_likely_in_time(&shutdown, Kind::NonIdempotent, &times, now) {
            prop_assert!(now + longest < shutdown.responds_at());
        }
        let is_accepted = leaving::is_likely_in_time(&shutdown, Kind::Stream, &times, now);
        prop_assert!(!is_accepted);
    }

    #[test]
    fn a_time_is_rounded_up_by_a_quarter_at_most(taken_ms in 1..60_000_u64) {
        let within = times(&[taken_ms]).within(1_000).expect("a time");
        let taken = Duration::from_millis(taken_ms);
        prop_assert!(within >= taken);
        prop_assert!(within <= taken * 5 / 4 + Duration::from_millis(1));
    }

    #[test]
    fn a_refusal_while_nobody_is_ready_points_to_a_return(
        left_ms in 0..7_000_u64,
        draw in 0.0..1.0_f64,
    ) {
        let since = Instant::now();
        let mut others = Others::default();
        others.record("a", true, since);
        others.record("a", false, since);
        let now = since + Duration::from_millis(left_ms);
        let delay = others.retry_after(&shutdown(since), now, draw);
        let accepts = Duration::from_millis(left_ms) < TIMEOUT * 7 / 10;
        prop_assert_eq!(accepts, delay == leaving::RETRY_AFTER_ELSEWHERE);
        prop_assert!(accepts || now + delay >= since + TIMEOUT);
    }
}

#[test]
fn nothing_is_likely_of_a_route_with_few_requests() {
    let times = Times::default();
    times.record(Duration::from_millis(5));
    let since = Instant::now();
    let is_likely = leaving::is_likely_in_time(&shutdown(since), Kind::Idempotent, &times, since);
    assert!(!is_likely);
}

#[test]
fn rare_long_times_are_kept_when_many_requests_follow() {
    let times = Times::default();
    times.record(Duration::from_secs(3));
    for _ in 0..20_000 {
        times.record(Duration::from_millis(10));
    }
    assert!(times.within(1_000).expect("a time") >= Duration::from_secs(3));
    assert!(times.within(990).expect("a time") < Duration::from_millis(20));
}

/// Callers that knew only an entry that shuts down were refused until they asked a directory again.
#[test]
fn entries_are_enough_once_half_of_them_have_been_ready_for_a_while() {
    let held = leaving::held_for(Duration::from_secs(2));
    let start = Instant::now();
    let mut others = Others::default();
    assert!(!others.are_enough(held, start));
    for name in ["a", "b", "c"] {
        others.record(name, true, start);
    }
    assert!(!others.are_enough(held, start));
    let now = start + held;
    assert!(others.are_enough(held, now));
    others.record("a", false, now);
    assert!(others.are_enough(held, now));
    others.record_lost("b", now);
    assert!(!others.are_enough(held, now));
    assert!(others.are_enough(held, now + Duration::from_secs(21)));
    others.record("b", true, now);
    assert!(!others.are_enough(held, now));
    assert!(others.are_enough(held, now + held));
}

#[test]
fn the_entry_with_most_time_is_named_first_for_no_longer_than_all_named_live() {
    let now = Instant::now();
    let mut others = Others::default();
    for (name, left_after_ms) in [("0", 0), ("a", 0), ("b", 2_000), ("c", 4_000)] {
        let at = now + Duration::from_millis(left_after_ms);
        others.record(name, true, at);
        others.record(name, false, at);
    }
    let later = now + Duration::from_millis(5_800);
    let leaving = others.leaving(TIMEOUT, later);
    let (names, ttl) = leaving::named(Vec::new(), &leaving, Duration::from_secs(5));
    assert_eq!(names, ["c", "b"]);
    assert_eq!(ttl, Duration::from_millis(1_700));
    others.record_lost("c", later);
    let leaving = others.leaving(TIMEOUT, later);
    let (names, _) = leaving::named(Vec::new(), &leaving, Duration::from_secs(5));
    assert_eq!(names, ["b"]);
}

const MESSAGE_TIMEOUT: Duration = Duration::from_millis(700);
const LOSS_TIMEOUT: Duration = Duration::from_millis(2_500);

fn hearing(since: Instant) -> Hearing {
    Hearing::new(since, MESSAGE_TIMEOUT, LOSS_TIMEOUT)
}

/// The addresses of an entry were held for 2.5 s, however soon all others knew that it shuts down.
#[test]
fn an_entry_stays_no_longer_than_callers_hold_its_address() {
    let since = Instant::now();
    let shutdown = Shutdown {
        delay: MESSAGE_TIMEOUT,
        ..shutdown(since)
    };
    let mut others = Others::default();
    for name in ["a", "b", "c"] {
        others.record(name, true, since);
    }
    others.record("c", false, since);
    let mut hearing = hearing(since);
    let answered_at = hearing.tells_again_at() + Duration::from_millis(20);
    for name in ["a", "b", "c"] {
        assert_eq!(hearing.known_at(&others), since + LOSS_TIMEOUT);
        hearing.record(name, hearing.tells_again_at(), answered_at);
    }
    assert_eq!(hearing.known_at(&others), answered_at);
    let ttl = Duration::from_secs(2);
    let leaver = Leaver {
        entry: "own",
        shutdown: &shutdown,
        named_at: hearing.known_at(&others),
        ttl,
        connection_count: 0,
    };
    let held = leaving::held_for(ttl);
    let is_early = |at| leaver.waits_for(&others, at) == WaitsFor::Addresses;
    assert!(is_early(answered_at + held.mul_f64(0.99)));
    assert!(!is_early(answered_at + held));
}

/// A heartbeat of before the signal, which says that the entry is ready, may arrive after the first
/// that says that it is not.
#[test]
fn responses_to_early_heartbeats_do_not_show_that_an_entry_is_named_no_more() {
    let since = Instant::now();
    let mut others = Others::default();
    others.record("a", true, since);
    let mut hearing = hearing(since);
    let early = since + MESSAGE_TIMEOUT.mul_f64(0.99);
    hearing.record("a", early, since + Duration::from_secs(1));
    assert_eq!(hearing.known_at(&others), since + LOSS_TIMEOUT);
}

#[test]
fn entries_that_do_not_respond_or_are_unknown_hold_the_address_until_they_take_it_for_lost() {
    let since = Instant::now();
    let mut others = Others::default();
    let mut hearing = hearing(since);
    assert_eq!(hearing.known_at(&others), since + LOSS_TIMEOUT);
    others.record("a", true, since);
    others.record("b", true, since);
    let sent_at = hearing.tells_again_at();
    hearing.record("a", sent_at, sent_at);
    assert_eq!(hearing.known_at(&others), since + LOSS_TIMEOUT);
    others.record_lost("b", since);
    assert_eq!(hearing.known_at(&others), sent_at);
    others.record("c", true, sent_at);
    assert_eq!(hearing.known_at(&others), since + LOSS_TIMEOUT);
}
