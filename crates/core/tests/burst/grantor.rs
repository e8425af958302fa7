//! Who grants the chunks of a version whose download agents begin at different times.

use std::time::Duration;

use pimentohook_core::burst::grantor;
use proptest::prelude::*;

const AGENT_COUNT: usize = 6;
/// Agents that take part call each other this often.
const CALL_INTERVAL_MS: u64 = 120;
const STEP_MS: u64 = 10;
const PLAY_MS: u64 = 1_500;

/// Returns the ranks of the agents that grant, of those that have begun.
fn grantors(began_at_ms: &[u64], now_ms: u64) -> Vec<usize> {
    let takes_part = |rank: usize| began_at_ms[rank] <= now_ms;
    let hears = |rank: usize, other: usize| {
        let both_since = began_at_ms[rank].max(began_at_ms[other]);
        both_since + CALL_INTERVAL_MS <= now_ms
    };
    let is_grantor = |rank: &usize| {
        let standing = grantor::Standing {
            rank: *rank,
            takes_part_for: Duration::from_millis(now_ms - began_at_ms[*rank]),
            hears_earlier: (0..*rank).any(|other| hears(*rank, other)),
        };
        standing.is_grantor()
    };
    let taking_part = (0..began_at_ms.len()).filter(|rank| takes_part(*rank));
    taking_part.filter(is_grantor).collect()
}

proptest! {
    /// Each agent that came to a version after the one before it took the lead at once.
    #[test]
    fn agents_that_begin_a_version_one_after_the_other_have_one_grantor(
        began_at_ms in prop::collection::vec(0_u64..300, AGENT_COUNT),
    ) {
        for now_ms in (0..PLAY_MS).step_by(STEP_MS.try_into().expect("few")) {
            let granting = grantors(&began_at_ms, now_ms);
            prop_assert!(granting.len() <= 1, "{granting:?} at {now_ms} ms");
        }
    }

    #[test]
    fn a_version_has_a_grantor_if_the_first_agents_never_begin(
        first in 1..AGENT_COUNT,
        began_at_ms in prop::collection::vec(0_u64..300, AGENT_COUNT),
    ) {
        let mut began_at_ms = began_at_ms;
        began_at_ms[..first].fill(u64::MAX / 2);
        prop_assert_eq!(grantors(&began_at_ms, PLAY_MS), [first]);
    }
}

#[test]
fn first_grants_wait_for_agents_from_when_their_grantor_takes_part() {
    let awaits = |ms, count| grantor::awaits_participants(Duration::from_millis(ms), count, 5);
    let waits: Vec<_> = [(60, 1), (60, 2), (60, 3), (390, 1), (400, 1)]
        .into_iter()
        .map(|(ms, count)| awaits(ms, count))
        .collect();
    assert_eq!(waits, [true, true, false, true, false]);
}
