//! Which announced version of the weights an agent downloads next.

use std::time::Duration;

use pimentohook_core::{rolling_update, version_selection};
use proptest::prelude::*;
use rstest::rstest;

const CHUNK_COUNT: u32 = 64;

const fn progress(version: u64, age_ms: u64, held: u32) -> version_selection::VersionProgress {
    version_selection::VersionProgress {
        version,
        age: Duration::from_millis(age_ms),
        idle: Duration::ZERO,
        held: Some(held),
        chunk_count: CHUNK_COUNT,
    }
}

#[rstest]
#[case::alone(&[progress(2, 100, 0)], Some(1), 2)]
#[case::more_than_half_held(&[progress(2, 4_000, 40), progress(3, 10, 0)], Some(1), 2)]
#[case::barely_started(&[progress(2, 4_000, 20), progress(3, 10, 0)], Some(1), 3)]
#[case::complete(&[progress(2, 4_000, 64), progress(3, 10, 0)], Some(1), 3)]
#[case::served_already(&[progress(2, 4_000, 40), progress(3, 10, 0)], Some(2), 3)]
// An engine lost its weights while the store was unavailable and started to download an old
// version, whose last chunks are no longer granted.
#[case::empty_engine(&[progress(1, 1_500, 40), progress(2, 10, 0)], None, 2)]
#[case::stuck_past_the_grace_period(&[progress(2, 8_100, 63), progress(3, 4_000, 0)], Some(1), 3)]
fn the_version_to_download_is_selected(
    #[case] announced: &[version_selection::VersionProgress],
    #[case] served: Option<u64>,
    #[case] expected: u64,
) {
    let grace = Duration::from_secs(8);
    assert_eq!(
        version_selection::version_to_download(announced, served, grace),
        Some(expected)
    );
}

/// Agents that held more than half of a version stayed at it for seconds without a new chunk.
#[test]
fn a_superseded_version_without_progress_is_given_up() {
    let idle = version_selection::PROGRESS_TIMEOUT;
    let mut stuck = progress(2, 4_000, 47);
    let newest = progress(3, 10, 0);
    let grace = Duration::from_secs(13);
    let select =
        |previous| version_selection::version_to_download(&[previous, newest], Some(1), grace);
    assert_eq!(select(stuck), Some(2));
    stuck.idle = idle;
    assert_eq!(select(stuck), Some(3));
}

/// The origin publishes no version but the newest two.
#[test]
fn no_version_before_the_previous_one_is_selected() {
    let announced = [
        progress(2, 3_000, 63),
        progress(3, 100, 0),
        progress(4, 10, 0),
    ];
    let grace = Duration::from_secs(13);
    let selected = version_selection::version_to_download(&announced, Some(1), grace);
    assert_eq!(selected, Some(4));
}

/// Returns the service that is lost if engines serve version 1 and version 2 or none in between is
/// there, as the time without any usable version.
fn gap(
    previous_whole_in: Option<Duration>,
    newest_whole_in: Duration,
    ends: [Duration; 2],
) -> Duration {
    let [served_end, previous_end] = ends;
    match previous_whole_in {
        None => newest_whole_in.saturating_sub(served_end),
        Some(whole_in) => {
            whole_in.saturating_sub(served_end)
                + newest_whole_in.saturating_sub(previous_end.max(whole_in))
        }
    }
}

proptest! {
    /// Whatever is held, the selection leaves no gap of seconds that the other choice closes.
    #[test]
    fn the_selected_order_leaves_no_gap_that_the_other_one_closes(
        held in 8_u32..CHUNK_COUNT,
        time_per_chunk_ms in 10_u64..200,
        newest_age_ms in 0_u64..2_000,
        grace_ms in 6_000_u64..16_000,
    ) {
        let age_ms = time_per_chunk_ms * u64::from(held);
        let grace = Duration::from_millis(grace_ms);
        prop_assume!(newest_age_ms < age_ms && age_ms < grace_ms);
        let announced = [progress(2, age_ms, held), progress(3, newest_age_ms, 0)];
        let selected = version_selection::version_to_download(&announced, Some(1), grace);
        let lifetime = rolling_update::previous_version_lifetime(grace);
        let end = |age_ms| lifetime.saturating_sub(Duration::from_millis(age_ms));
        let ends = [end(age_ms), end(newest_age_ms)];
        let copy = Duration::from_millis(time_per_chunk_ms * u64::from(CHUNK_COUNT));
        let rest = Duration::from_millis(time_per_chunk_ms * u64::from(CHUNK_COUNT - held));
        let directly = gap(None, copy, ends);
        let by_finishing = gap(Some(rest), rest + copy, ends);
        let (chosen, other) = if selected == Some(2) {
            (by_finishing, directly)
        } else {
            (directly, by_finishing)
        };
        let slack = Duration::from_millis(2_500);
        prop_assert!(chosen <= other + slack, "{selected:?}: {chosen:?}, else {other:?}");
    }

    /// An engine without weights is there soonest with the newest ones.
    #[test]
    fn an_engine_without_weights_gets_the_newest(held in 0_u32..CHUNK_COUNT, age_ms in 0_u64..8_000) {
        let announced = [progress(2, age_ms, held), progress(3, 0, 0)];
        let grace = Duration::from_secs(10);
        let selected = version_selection::version_to_download(&announced, None, grace);
        prop_assert_eq!(selected, Some(3));
    }
}
