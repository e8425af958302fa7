//! The choice of sources for the platform's objects, as entries start, fail and are lost.

use std::time;

use pimentohook_core::{
    relay::{Failures, RelayCandidate, Source, source_order},
    size,
};
use rstest::rstest;

fn candidate(name: &str, region: &str, link_mbps: u32) -> RelayCandidate {
    RelayCandidate {
        name: String::from(name),
        region: String::from(region),
        link_rate: size::ByteRate::from_megabits(f64::from(link_mbps)).expect("a rate"),
        is_settled: true,
    }
}

fn fleet() -> Vec<RelayCandidate> {
    let regions = ["jylland", "fyn"];
    let candidates = regions.into_iter().flat_map(|region| {
        (0..8).map(move |number| {
            let link_mbps = if number < 2 { 200 } else { 40 };
            candidate(&format!("{region}-{number}"), region, link_mbps)
        })
    });
    candidates.collect()
}

fn sources_of(me: usize, fleet: &[RelayCandidate]) -> Vec<Source> {
    let mut others = fleet.to_vec();
    let me = others.remove(me);
    source_order(&me, &others)
}

fn prefers_store(sources: &[Source]) -> bool {
    sources[0] == Source::Store
}

#[test]
fn the_two_entries_of_a_region_with_the_best_links_are_relays() {
    let fleet = fleet();
    let relays: Vec<&str> = (0..fleet.len())
        .filter(|me| prefers_store(&sources_of(*me, &fleet)))
        .map(|me| fleet[me].name.as_str())
        .collect();
    assert_eq!(relays, ["jylland-0", "jylland-1", "fyn-0", "fyn-1"]);
}

#[test]
fn followers_prefer_both_relays_of_their_region_and_then_the_store() {
    let fleet = fleet();
    for me in 2..8 {
        let sources = sources_of(me, &fleet);
        let mut relays = sources[..2].to_vec();
        relays.sort_by_key(|source| format!("{source:?}"));
        let expected = ["jylland-0", "jylland-1"].map(|name| Source::Entry(String::from(name)));
        assert_eq!(relays, expected);
        assert_eq!(sources[2], Source::Store);
        assert_eq!(sources.len(), 7);
    }
}

#[rstest]
#[case::the_first_entry(0, 0)]
#[case::two_entries(0, 1)]
fn entries_of_a_small_region_follow_the_store(#[case] me: usize, #[case] other_count: usize) {
    let others = &fleet()[1..=other_count];
    assert!(prefers_store(&source_order(&fleet()[me], others)));
}

#[test]
fn unsettled_entries_follow_the_store_and_not_each_other() {
    let mut fleet = fleet();
    for candidate in &mut fleet {
        candidate.is_settled = false;
    }
    assert!((0..fleet.len()).all(|me| prefers_store(&sources_of(me, &fleet))));
}

#[test]
fn an_unsettled_entry_follows_the_relays_of_its_region() {
    let mut fleet = fleet();
    fleet[0].is_settled = false;
    assert!(!prefers_store(&sources_of(0, &fleet)));
    let count = (1..8)
        .filter(|me| prefers_store(&sources_of(*me, &fleet)))
        .count();
    assert_eq!(count, 2);
}

#[test]
fn a_lost_relay_is_replaced() {
    let fleet = fleet();
    let remaining = &fleet[2..8];
    let count = (0..remaining.len())
        .filter(|me| prefers_store(&sources_of(*me, remaining)))
        .count();
    assert_eq!(count, 2);
}

#[test]
fn the_backoff_of_a_failing_source_doubles_up_to_a_limit() {
    let now = time::Instant::now();
    let sources = [Source::Entry(String::from("relay")), Source::Store];
    let mut failures = Failures::default();
    let mut backoffs_ms = Vec::new();
    for _ in 0..7 {
        failures.record_failure(&sources[0], now);
        let mut after_success = failures.clone();
        after_success.record_success(&Source::Store);
        let is_usable = |after_ms: &u64| {
            let at = now + time::Duration::from_millis(*after_ms);
            after_success.choose(&sources, at) == Some(&sources[0])
        };
        backoffs_ms.push(
            (0..10_000)
                .step_by(50)
                .find(is_usable)
                .expect("the backoff ends"),
        );
    }
    assert_eq!(backoffs_ms, [150, 300, 600, 1_200, 2_400, 2_400, 2_400]);
    failures.record_success(&sources[0]);
    assert_eq!(failures.choose(&sources, now), Some(&sources[0]));
}

#[test]
fn the_store_is_tried_between_two_failing_relays() {
    let now = time::Instant::now();
    let relays = ["relay-1", "relay-2"].map(|name| Source::Entry(String::from(name)));
    let sources = [relays[0].clone(), relays[1].clone(), Source::Store];
    let mut failures = Failures::default();
    failures.record_failure(&relays[0], now);
    assert_eq!(failures.choose(&sources, now), Some(&Source::Store));
    failures.record_success(&Source::Store);
    assert_eq!(failures.choose(&sources, now), Some(&relays[1]));
}

#[test]
fn entries_are_tried_while_the_store_fails_too() {
    let now = time::Instant::now();
    let relays = ["relay-1", "relay-2"].map(|name| Source::Entry(String::from(name)));
    let sources = [relays[0].clone(), relays[1].clone(), Source::Store];
    let mut failures = Failures::default();
    failures.record_failure(&Source::Store, now);
    failures.record_failure(&relays[0], now);
    assert_eq!(failures.choose(&sources, now), Some(&relays[1]));
}

#[test]
fn no_source_is_chosen_while_all_are_in_backoff() {
    let now = time::Instant::now();
    let mut failures = Failures::default();
    failures.record_failure(&Source::Store, now);
    assert_eq!(failures.choose(&[Source::Store], now), None);
}
