//! When refused callers come back, played in virtual time.

use std::time::Duration;

use pimentohook_core::refusal_rate;
use rstest::rstest;

const REMAINING: Duration = Duration::from_secs(6);

fn after_load(refused_of_hundred: u64) -> refusal_rate::RefusalRate {
    let pressure = refusal_rate::RefusalRate::default();
    for number in 0..200 {
        pressure.record(10_000 + number * 5, number * 37 % 100 < refused_of_hundred);
    }
    pressure
}

#[rstest]
#[case::hardly_any(3, 42, 60)]
#[case::an_eighth(13, 800, 1_250)]
#[case::most(80, 1_400, 2_000)]
fn callers_come_back_later_the_more_are_refused(
    #[case] refused_of_hundred: u64,
    #[case] least_ms: u64,
    #[case] most_ms: u64,
) {
    let pressure = after_load(refused_of_hundred);
    for draw in [0.0, 0.5, 1.0] {
        let after = pressure.retry_after(11_000, REMAINING, draw);
        assert!(after >= Duration::from_millis(least_ms), "{after:?}");
        assert!(after <= Duration::from_millis(most_ms), "{after:?}");
    }
}

#[test]
fn load_of_more_than_a_second_ago_does_not_count() {
    let pressure = after_load(80);
    assert_eq!(pressure.refused_percent(12_300), 0);
}

#[test]
fn nobody_is_told_to_wait_for_more_than_a_third_of_its_time() {
    let pressure = after_load(80);
    let remaining = Duration::from_millis(900);
    let after = pressure.retry_after(11_000, remaining, 0.0);
    assert_eq!(after, Duration::from_millis(300));
}

/// Engines can serve 150 requests a second, and 200 come for two seconds, 100 afterwards. All that
/// are refused come back once. With a fixed 350 ms most of them were refused again.
#[test]
fn who_comes_back_after_a_rush_is_served() {
    let again =
        refused_again(|pressure, now_ms, draw| pressure.retry_after(now_ms, REMAINING, draw));
    let fixed = refused_again(|_, _, _| Duration::from_millis(350));
    assert!(again * 2 <= fixed, "{again} of {fixed}");
}

fn refused_again<F>(retry_after: F) -> u32
where
    F: Fn(&refusal_rate::RefusalRate, u64, f64) -> Duration,
{
    const START_MS: u64 = 10_000;
    let pressure = refusal_rate::RefusalRate::default();
    let mut back_ms: Vec<u64> = Vec::new();
    let mut again = 0;
    for tick in 0..500_u64 {
        let now_ms = START_MS + tick * 10;
        let rush = tick < 200;
        let (fresh, mut room) = if rush { (2, 1) } else { (1, 1) };
        // Half a request more fits in each tick.
        room += u32::from(tick % 2 == 0);
        let (due, later): (Vec<u64>, Vec<u64>) = back_ms.iter().partition(|at| **at <= now_ms);
        back_ms = later;
        for index in 0..due.len() + fresh {
            let is_return = index < due.len();
            let is_refused = room == 0;
            pressure.record(now_ms, is_refused);
            room = room.saturating_sub(1);
            if is_refused && is_return {
                again += 1;
            } else if is_refused {
                let draw = f64::from(u32::try_from(tick * 37 % 100).unwrap()) / 100.0;
                let after = retry_after(&pressure, now_ms, draw);
                back_ms.push(now_ms + u64::try_from(after.as_millis()).unwrap());
            }
        }
    }
    again
}
