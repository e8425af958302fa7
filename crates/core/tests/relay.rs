//! From whom entries learn, as others come, fail and are lost.

use std::time;

use pimentohook_core::{
    relay::{Failures, RelayCandidate, Source, source_order},
    size,
};
use rstest::rstest;

fn member(name: &str, region: &str, link_mbps: u32) -> RelayCandidate {
    RelayCandidate {
        name: String::from(name),
        region: String::from(region),
        link_rate: size::ByteRate::from_megabits(f64::from(link_mbps)).expect("a rate"),
        is_settled: true,
    }
}

fn fleet() -> Vec<RelayCandidate> {
    let regions = ["jylland", "fyn"];
    let members = regions.into_iter().flat_map(|region| {
        (0..8).map(move |number| {
            let link_mbps = if number < 2 { 200 } else { 40 };
            member(&format!("{region}-{number}"), region, link_mbps)
        })
    });
    members.collect()
}

fn order_of(me: usize, fleet: &[RelayCandidate]) -> Vec<Source> {
    let mut others = fleet.to_vec();
    let me = others.remove(me);
    source_order(&me, &others)
}

fn follows_store(order: &[Source]) -> bool {
    order[0] == Source::Store
}

#[test]
fn two_entries_of_a_region_with_the_best_links_follow_the_store() {
    let fleet = fleet();
    let relays: Vec<&str> = (0..fleet.len())
        .filter(|me| follows_store(&order_of(*me, &fleet)))
        .map(|me| fleet[me].name.as_str())
        .collect();
    assert_eq!(relays, ["jylland-0", "jylland-1", "fyn-0", "fyn-1"]);
}

#[test]
fn followers_turn_to_both_relays_of_their_region_then_to_the_store() {
    let fleet = fleet();
    for me in 2..8 {
        let order = order_of(me, &fleet);
        let mut relays = order[..2].to_vec();
        relays.sort_by_key(|source| format!("{source:?}"));
        let expected = ["jylland-0", "jylland-1"].map(|name| Source::Entry(String::from(name)));
        assert_eq!(relays, expected);
        assert_eq!(order[2], Source::Store);
        assert_eq!(order.len(), 7);
    }
}

#[rstest]
#[case::the_first_entry(0, 0)]
#[case::two_entries(0, 1)]
fn a_region_of_few_entries_follows_the_store(#[case] me: usize, #[case] other_count: usize) {
    let others = &fleet()[1..=other_count];
    assert!(follows_store(&source_order(&fleet()[me], others)));
}

#[test]
fn entries_that_start_together_follow_the_store_and_not_each_other() {
    let mut fleet = fleet();
    for member in &mut fleet {
        member.is_settled = false;
    }
    assert!((0..fleet.len()).all(|me| follows_store(&order_of(me, &fleet))));
}

#[test]
fn an_entry_that_has_just_started_follows_the_relays_of_its_region() {
    let mut fleet = fleet();
    fleet[0].is_settled = false;
    assert!(!follows_store(&order_of(0, &fleet)));
    let count = (1..8)
        .filter(|me| follows_store(&order_of(*me, &fleet)))
        .count();
    assert_eq!(count, 2);
}

#[test]
fn a_relay_that_is_lost_is_replaced() {
    let fleet = fleet();
    let left = &fleet[2..8];
    let count = (0..left.len())
        .filter(|me| follows_store(&order_of(*me, left)))
        .count();
    assert_eq!(count, 2);
}

#[test]
fn a_source_that_fails_is_left_out_for_longer_each_time() {
    let now = time::Instant::now();
    let order = [Source::Entry(String::from("relay")), Source::Store];
    let mut failures = Failures::default();
    let mut pauses_ms = Vec::new();
    for _ in 0..7 {
        failures.record_failure(&order[0], now);
        let mut waiting = failures.clone();
        waiting.record_success(&Source::Store);
        let is_back = |after_ms: &u64| {
            let at = now + time::Duration::from_millis(*after_ms);
            waiting.choose(&order, at) == Some(&order[0])
        };
        pauses_ms.push((0..10_000).step_by(50).find(is_back).expect("it is back"));
    }
    assert_eq!(pauses_ms, [150, 300, 600, 1_200, 2_400, 2_400, 2_400]);
    failures.record_success(&order[0]);
    assert_eq!(failures.choose(&order, now), Some(&order[0]));
}

#[test]
fn the_store_comes_between_two_relays_that_fail() {
    let now = time::Instant::now();
    let relays = ["relay-1", "relay-2"].map(|name| Source::Entry(String::from(name)));
    let order = [relays[0].clone(), relays[1].clone(), Source::Store];
    let mut failures = Failures::default();
    failures.record_failure(&relays[0], now);
    assert_eq!(failures.choose(&order, now), Some(&Source::Store));
    failures.record_success(&Source::Store);
    assert_eq!(failures.choose(&order, now), Some(&relays[1]));
}

#[test]
fn entries_are_asked_while_the_store_fails_too() {
    let now = time::Instant::now();
    let relays = ["relay-1", "relay-2"].map(|name| Source::Entry(String::from(name)));
    let order = [relays[0].clone(), relays[1].clone(), Source::Store];
    let mut failures = Failures::default();
    failures.record_failure(&Source::Store, now);
    failures.record_failure(&relays[0], now);
    assert_eq!(failures.choose(&order, now), Some(&relays[1]));
}

#[test]
fn nothing_is_usable_while_all_sources_have_just_failed() {
    let now = time::Instant::now();
    let mut failures = Failures::default();
    failures.record_failure(&Source::Store, now);
    assert_eq!(failures.choose(&[Source::Store], now), None);
}
