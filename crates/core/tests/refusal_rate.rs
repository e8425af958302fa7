//! Retry delays of refused callers, simulated in virtual time.

use std::time::Duration;

use pimentohook_core::refusal_rate;
use rstest::rstest;

const REMAINING: Duration = Duration::from_secs(6);

fn rate_after_load(refused_percent: u64) -> refusal_rate::RefusalRate {
    let refusal_rate = refusal_rate::RefusalRate::default();
    for number in 0..200 {
        refusal_rate.record(10_000 + number * 5, number * 37 % 100 < refused_percent);
    }
    refusal_rate
}

#[rstest]
#[case::hardly_any(3, 42, 60)]
#[case::an_eighth(13, 800, 1_250)]
#[case::most(80, 1_400, 2_000)]
fn retry_delay_grows_with_the_refusal_rate(
    #[case] refused_percent: u64,
    #[case] min_ms: u64,
    #[case] max_ms: u64,
) {
    let refusal_rate = rate_after_load(refused_percent);
    for draw in [0.0, 0.5, 1.0] {
        let delay = refusal_rate.retry_after(11_000, REMAINING, draw);
        assert!(delay >= Duration::from_millis(min_ms), "{delay:?}");
        assert!(delay <= Duration::from_millis(max_ms), "{delay:?}");
    }
}

#[test]
fn refusals_older_than_a_second_do_not_count() {
    let refusal_rate = rate_after_load(80);
    assert_eq!(refusal_rate.refused_percent(12_300), 0);
}

#[test]
fn retry_delay_is_at_most_a_third_of_the_remaining_time() {
    let refusal_rate = rate_after_load(80);
    let remaining = Duration::from_millis(900);
    let delay = refusal_rate.retry_after(11_000, remaining, 0.0);
    assert_eq!(delay, Duration::from_millis(300));
}

/// Engines serve 150 requests per second; 200 per second arrive for two seconds and 100 per second
/// afterwards. Each refused request is retried once. With a fixed delay of 350 ms most retries were
/// refused again.
#[test]
fn retries_after_a_burst_are_served() {
    let refused_retries = count_refused_retries(|refusal_rate, now_ms, draw| {
        refusal_rate.retry_after(now_ms, REMAINING, draw)
    });
    let fixed = count_refused_retries(|_, _, _| Duration::from_millis(350));
    assert!(refused_retries * 2 <= fixed, "{refused_retries} of {fixed}");
}

fn count_refused_retries<F>(retry_after: F) -> u32
where
    F: Fn(&refusal_rate::RefusalRate, u64, f64) -> Duration,
{
    const START_MS: u64 = 10_000;
    let refusal_rate = refusal_rate::RefusalRate::default();
    let mut retry_at_ms: Vec<u64> = Vec::new();
    let mut refused_retries = 0;
    for tick in 0..500_u64 {
        let now_ms = START_MS + tick * 10;
        let is_burst = tick < 200;
        let (new_requests, mut capacity) = if is_burst { (2, 1) } else { (1, 1) };
        // One more request fits in every other tick.
        capacity += u32::from(tick % 2 == 0);
        let (due, later): (Vec<u64>, Vec<u64>) = retry_at_ms.iter().partition(|at| **at <= now_ms);
        retry_at_ms = later;
        for index in 0..due.len() + new_requests {
            let is_retry = index < due.len();
            let is_refused = capacity == 0;
            refusal_rate.record(now_ms, is_refused);
            capacity = capacity.saturating_sub(1);
            if is_refused && is_retry {
                refused_retries += 1;
            } else if is_refused {
                let draw = f64::from(u32::try_from(tick * 37 % 100).unwrap()) / 100.0;
                let delay = retry_after(&refusal_rate, now_ms, draw);
                retry_at_ms.push(now_ms + u64::try_from(delay.as_millis()).unwrap());
            }
        }
    }
    refused_retries
}
