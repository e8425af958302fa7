//! From whom entries learn, as others come, fail and are lost.

use std::time;

use pimentohook_core::{
    relay::{Failures, Member, Source, order},
    size,
};
use rstest::rstest;

fn member(name: &str, region: &str, link_mbps: u32) -> Member {
    Member {
        name: String::from(name),
        region: String::from(region),
        link_rate: size::ByteRate::from_megabits(f64::from(link_mbps)).expect("a rate"),
    }
}

fn fleet() -> Vec<Member> {
    let regions = ["jylland", "fyn"];
    let members = regions.into_iter().flat_map(|region| {
        (0..8).map(move |number| {
            let link_mbps = if number < 2 { 200 } else { 40 };
            member(&format!("{region}-{number}"), region, link_mbps)
        })
    });
    members.collect()
}

fn order_of(me: usize, fleet: &[Member], may_relay: bool) -> Vec<Source> {
    let mut others = fleet.to_vec();
    let me = others.remove(me);
    order(&me, may_relay, &others)
}

fn follows_store(order: &[Source]) -> bool {
    order[0] == Source::Store
}

#[test]
fn two_entries_of_a_region_with_the_best_links_follow_the_store() {
    let fleet = fleet();
    let relays: Vec<&str> = (0..fleet.len())
        .filter(|me| follows_store(&order_of(*me, &fleet, true)))
        .map(|me| fleet[me].name.as_str())
        .collect();
    assert_eq!(relays, ["jylland-0", "jylland-1", "fyn-0", "fyn-1"]);
}

#[test]
fn followers_turn_to_both_relays_of_their_region_then_to_the_store() {
    let fleet = fleet();
    for me in 2..8 {
        let order = order_of(me, &fleet, true);
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
    assert!(follows_store(&order(&fleet()[me], true, others)));
}

#[test]
fn an_entry_that_has_just_started_relays_for_nobody() {
    let fleet = fleet();
    assert!(!follows_store(&order_of(0, &fleet[..2], false)));
    assert!(follows_store(&order_of(0, &fleet[..1], false)));
}

#[test]
fn a_relay_that_is_lost_is_replaced() {
    let fleet = fleet();
    let left = &fleet[2..8];
    let count = (0..left.len())
        .filter(|me| follows_store(&order_of(*me, left, true)))
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
        let is_back = |after_ms: &u64| {
            let at = now + time::Duration::from_millis(*after_ms);
            failures.first_usable(&order, at) == Some(&order[0])
        };
        pauses_ms.push((0..10_000).step_by(50).find(is_back).expect("it is back"));
    }
    assert_eq!(pauses_ms, [150, 300, 600, 1_200, 2_400, 2_400, 2_400]);
    failures.record_success(&order[0]);
    assert_eq!(failures.first_usable(&order, now), Some(&order[0]));
}

#[test]
fn nothing_is_usable_while_all_sources_have_just_failed() {
    let now = time::Instant::now();
    let mut failures = Failures::default();
    failures.record_failure(&Source::Store, now);
    assert_eq!(failures.first_usable(&[Source::Store], now), None);
}
