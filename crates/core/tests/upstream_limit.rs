//! Limits that upstreams name: what an entry believes of them.

use std::time::{Duration, Instant};

use pimentohook_core::upstream_limit::{
    belief::{self, Belief, Statement},
    rate::RequestRate,
};
use rstest::rstest;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a rate")
}

#[rstest]
#[case("1.7", Some(1.7))]
#[case(" 300 ", Some(300.0))]
#[case("0", Some(0.0))]
#[case("0.5/s", Some(0.5))]
#[case("-1", None)]
#[case("inf", None)]
#[case("-inf", None)]
#[case("1e999", None)]
#[case("NaN", None)]
#[case("two", None)]
#[case("1, 2", None)]
#[case("", None)]
fn a_rate_is_a_finite_number_of_0_or_more(#[case] text: &str, #[case] expected: Option<f64>) {
    let parsed: Option<RequestRate> = text.parse().ok();
    assert_eq!(parsed, expected.map(rate));
}

/// Returns a belief stated at `stated_ms` after `start`; a negative limit stands for none.
fn belief_at(start: Instant, limit: f64, stated_ms: u64) -> Belief {
    Belief {
        limit: RequestRate::try_from(limit).ok(),
        stated_at: start + Duration::from_millis(stated_ms),
    }
}

fn response(start: Instant, statement: Statement, sent_ms: u64) -> belief::Response {
    let sent_at = start + Duration::from_millis(sent_ms);
    belief::Response {
        statement,
        sent_at,
        received_at: sent_at + Duration::from_millis(50),
    }
}

/// The limit of the belief before was stated at 100 ms; each response takes 50 ms.
#[rstest]
#[case::raised_later(2.0, Statement::Limited(rate(5.0)), 101, Some(5.0))]
#[case::raised_perhaps_earlier(2.0, Statement::Limited(rate(5.0)), 99, Some(2.0))]
#[case::lowered_perhaps_earlier(5.0, Statement::Limited(rate(2.0)), 99, Some(2.0))]
#[case::withdrawn_later(2.0, Statement::Unlimited, 101, None)]
#[case::withdrawn_perhaps_earlier(2.0, Statement::Unlimited, 99, Some(2.0))]
#[case::named_again(-1.0, Statement::Limited(rate(2.0)), 99, Some(2.0))]
#[case::unreadable(2.0, Statement::Unreadable(String::from("many")), 101, Some(2.0))]
fn of_responses_that_may_have_overtaken_each_other_the_stricter_one_is_believed(
    #[case] limit_before: f64,
    #[case] statement: Statement,
    #[case] sent_ms: u64,
    #[case] expected: Option<f64>,
) {
    let start = Instant::now();
    let before = belief_at(start, limit_before, 100);
    let after = belief::after_response(Some(before), &response(start, statement, sent_ms));
    let limit = after.expect("a belief").limit;
    assert_eq!(limit, expected.map(rate));
}

#[rstest]
#[case::nothing_stated(Statement::Unlimited, None)]
#[case::unreadable(Statement::Unreadable(String::from("-3")), None)]
#[case::limited(Statement::Limited(rate(3.0)), Some(3.0))]
fn only_a_readable_limit_is_believed_at_first(
    #[case] statement: Statement,
    #[case] expected: Option<f64>,
) {
    let after = belief::after_response(None, &response(Instant::now(), statement, 0));
    assert_eq!(after.and_then(|after| after.limit), expected.map(rate));
}

#[test]
fn the_newer_of_two_beliefs_wins_and_the_stricter_of_two_equally_old_ones() {
    let start = Instant::now();
    let old = belief_at(start, 2.0, 100);
    let new = belief_at(start, -1.0, 101);
    assert_eq!(belief::newer(old, new), new);
    assert_eq!(belief::newer(new, old), new);
    let strict = belief_at(start, 1.0, 101);
    assert_eq!(belief::newer(new, strict), strict);
    assert_eq!(belief::newer(strict, new), strict);
}
