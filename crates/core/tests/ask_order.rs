//! Which agents are asked for a slot, played on fleets whose load differs by failure domain.

use pimentohook_core::ask_order::{self, Candidate, Doubt};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use strum::IntoEnumIterator as _;

const SEED: u64 = 7;
const REQUEST_COUNT: u32 = 2_000;
const OWN_DOMAIN: usize = 0;

/// Engines in failure domains, of which a share is full.
struct Fleet {
    domain_count: usize,
    engines_per_domain: usize,
    /// The percentage of full engines in the domain of the entry, and in the others.
    full_percents: [u32; 2],
}

impl Fleet {
    /// Returns the share of requests that no agent has room for although some engine has, and the
    /// mean number of asks.
    fn play(&self) -> (f64, f64) {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let count = self.domain_count * self.engines_per_domain;
        let asks_max = ask_order::asks_max(count);
        let (mut refused_count, mut ask_count) = (0, 0);
        for _ in 0..REQUEST_COUNT {
            let domains: Vec<usize> = (0..count).map(|index| index % self.domain_count).collect();
            let is_full: Vec<bool> = domains
                .iter()
                .map(|domain| {
                    let percent = self.full_percents[usize::from(*domain != OWN_DOMAIN)];
                    rng.random_range(0..100) < percent
                })
                .collect();
            let candidates: Vec<Candidate> = domains
                .iter()
                .map(|domain| Candidate {
                    doubt: Doubt::None,
                    is_same_domain: *domain == OWN_DOMAIN,
                    in_flight_count: u32::from(rng.random_ratio(1, 5)),
                    draw: rng.random(),
                })
                .collect();
            let order = ask_order::order(&candidates, asks_max);
            let asked = order.iter().take(asks_max);
            let room_at = asked.clone().position(|index| !is_full[*index]);
            ask_count += room_at.map_or(asks_max, |position| position + 1);
            refused_count += usize::from(room_at.is_none() && is_full.contains(&false));
        }
        let share = |count: usize| {
            f64::from(u32::try_from(count).expect("small")) / f64::from(REQUEST_COUNT)
        };
        (share(refused_count), share(ask_count))
    }
}

/// Ten agents of the own domain were asked, so a request was refused whenever that was full,
/// whatever room others had.
#[rstest]
#[case::today(3, 5, [100, 70])]
#[case::grown(3, 19, [100, 70])]
#[case::large(5, 31, [100, 70])]
#[case::large_nearly_full(5, 31, [95, 75])]
fn a_full_domain_sends_its_requests_to_others(
    #[case] domain_count: usize,
    #[case] engines_per_domain: usize,
    #[case] full_percents: [u32; 2],
) {
    let fleet = Fleet {
        domain_count,
        engines_per_domain,
        full_percents,
    };
    let (refused, _) = fleet.play();
    assert!(refused < 0.2, "{refused} refused while there was room");
}

/// A fleet with room is asked little, and nearly always within the domain.
#[rstest]
#[case(3, 5)]
#[case(5, 31)]
fn a_fleet_with_room_is_asked_once_or_twice(
    #[case] domain_count: usize,
    #[case] engines_per_domain: usize,
) {
    let fleet = Fleet {
        domain_count,
        engines_per_domain,
        full_percents: [40, 40],
    };
    let (refused, asks) = fleet.play();
    assert!(
        refused < 0.01 && asks < 2.0,
        "{refused} refused, {asks} asks"
    );
}

/// Where nine of ten engines of a large fleet are full, ten asks failed in one case of three.
#[test]
fn a_large_fleet_is_searched_further() {
    let fleet = Fleet {
        domain_count: 5,
        engines_per_domain: 31,
        full_percents: [90, 90],
    };
    let (refused, _) = fleet.play();
    assert!(refused < 0.15, "{refused}");
}

proptest! {
    #[test]
    fn each_candidate_is_in_the_order_once_and_doubtful_ones_are_last(
        candidates in prop::collection::vec(
            (0_usize..5, any::<bool>(), 0_u32..6, any::<u32>()),
            0..40,
        ),
        asks_max in 0_usize..24,
    ) {
        let candidates: Vec<Candidate> = candidates
            .into_iter()
            .map(|(doubt, is_same_domain, in_flight_count, draw)| Candidate {
                doubt: Doubt::iter().nth(doubt).expect("a doubt"),
                is_same_domain,
                in_flight_count,
                draw,
            })
            .collect();
        let order = ask_order::order(&candidates, asks_max);
        let mut sorted = order.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..candidates.len()).collect::<Vec<_>>());
        let doubts: Vec<Doubt> = order.iter().map(|index| candidates[*index].doubt).collect();
        prop_assert!(doubts.is_sorted());
    }
}
