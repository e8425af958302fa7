//! Tests of what shows that a process did not run for a while.

use std::time;

use pimentohook_core::{clock::BootInstant, standstill::Monitor};
use proptest::prelude::*;
use rstest::rstest;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(time::Duration::from_millis(ms))
}

#[rstest]
#[case::a_late_tick(&[100, 200], 250, None)]
#[case::no_tick_yet(&[100], 2_000, Some(100))]
#[case::a_tick_before_the_question(&[100, 2_000], 2_050, Some(100))]
#[case::long_ago(&[100, 2_000, 2_100, 2_200, 2_300, 2_400, 2_500, 2_600], 2_650, None)]
#[case::two_in_a_row(&[100, 1_000, 1_100], 1_400, Some(100))]
#[case::two_in_a_row_and_no_tick(&[100, 1_000], 1_800, Some(100))]
fn a_standstill_is_seen_by_missing_ticks(
    #[case] ticks_ms: &[u64],
    #[case] now_ms: u64,
    #[case] expected_ms: Option<u64>,
) {
    let mut monitor = Monitor::new(at(0));
    for tick_ms in ticks_ms {
        monitor.tick(at(*tick_ms));
    }
    assert_eq!(monitor.backlog_since(at(now_ms)), expected_ms.map(at));
}

/// A chain of late ticks counted as one standstill without end.
#[test]
fn a_busy_process_whose_ticks_come_late_again_and_again_is_not_dated_far_back() {
    let mut monitor = Monitor::new(at(0));
    for number in 1..=240 {
        monitor.tick(at(250 * number));
    }
    let since = monitor.backlog_since(at(60_050)).expect("a late tick");
    assert!(since >= at(59_000), "{since:?}");
}

proptest! {
    /// What arrived during a standstill of any length is never dated after its arrival by more than
    /// the ticks allow for.
    #[test]
    fn what_arrived_in_a_standstill_is_not_dated_late(
        run_ticks in 1_u64..30,
        tick_delay_ms in 0_u64..60,
        still_ms in 0_u64..10_000,
        arrived_after_ms in 0_u64..10_000,
        read_delay_ms in 0_u64..400,
        is_ticked_first: bool,
    ) {
        let mut monitor = Monitor::new(at(0));
        let mut now_ms = 0;
        for _ in 0..run_ticks {
            now_ms += 100 + tick_delay_ms;
            monitor.tick(at(now_ms));
        }
        let arrived_ms = now_ms + arrived_after_ms.min(still_ms);
        now_ms += still_ms;
        if is_ticked_first {
            monitor.tick(at(now_ms));
        }
        now_ms += read_delay_ms.min(100);
        let dated = monitor.backlog_since(at(now_ms)).unwrap_or(at(now_ms));
        let error = dated.saturating_duration_since(at(arrived_ms));
        prop_assert!(error <= time::Duration::from_millis(300), "{error:?}");
    }
}
