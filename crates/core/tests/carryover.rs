//! Objects that a restored store has lost.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pimentohook_core::{
    carryover::{Carryover, WRITE_AGAIN_TIMEOUT, spread},
    id,
    position::Position,
    upstreams::{self, State, Upstream},
};

fn era(number: u64) -> id::StoreEra {
    id::StoreEra::new(number)
}

fn upstream(instance: &str, port: u16, state: State) -> Upstream {
    Upstream {
        instance: String::from(instance),
        started_unix_ms: Some(1),
        service: "plain".parse().expect("a name"),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: String::from("domain-1"),
        slot_count: 1,
        state,
        weights: IndexMap::new(),
        cold_remaining: Duration::ZERO,
    }
}

fn summary(listed: &[Upstream]) -> Vec<(&str, State)> {
    let summary = listed
        .iter()
        .map(|upstream| (upstream.instance.as_str(), upstream.state));
    summary.collect()
}

#[test]
fn a_lost_upstream_is_kept_until_its_writer_had_its_time() {
    let now = Instant::now();
    let mut lost = Carryover::default();
    let before = vec![
        upstream("a", 1, State::Ready),
        upstream("b", 2, State::Ready),
    ];
    upstreams::with_lost(&mut lost, era(1), before, now);
    let copy = || vec![upstream("a", 1, State::Ready)];
    let early = WRITE_AGAIN_TIMEOUT.saturating_sub(Duration::from_millis(1));
    let kept = upstreams::with_lost(&mut lost, era(2), copy(), now);
    assert_eq!(summary(&kept), [("a", State::Ready), ("b", State::Ready)]);
    assert_eq!(summary_at(&mut lost, copy(), now + early).len(), 2);
    assert_eq!(lost.expires_at(), Some(now + WRITE_AGAIN_TIMEOUT));
    assert_eq!(
        summary_at(&mut lost, copy(), now + WRITE_AGAIN_TIMEOUT),
        ["a"]
    );
    assert_eq!(lost.expires_at(), None);
}

fn summary_at(lost: &mut Carryover<Upstream>, copy: Vec<Upstream>, now: Instant) -> Vec<String> {
    let kept = upstreams::with_lost(lost, era(2), copy, now);
    kept.into_iter().map(|upstream| upstream.instance).collect()
}

#[test]
fn an_upstream_that_was_removed_in_the_new_era_is_gone_at_once() {
    let now = Instant::now();
    let mut lost = Carryover::default();
    let listed = || vec![upstream("a", 1, State::Ready)];
    upstreams::with_lost(&mut lost, era(1), listed(), now);
    upstreams::with_lost(&mut lost, era(2), Vec::new(), now);
    upstreams::with_lost(&mut lost, era(2), listed(), now);
    assert!(upstreams::with_lost(&mut lost, era(2), Vec::new(), now).is_empty());
}

#[test]
fn a_second_restore_gives_writers_their_time_again() {
    let now = Instant::now();
    let mut lost = Carryover::default();
    upstreams::with_lost(&mut lost, era(1), vec![upstream("a", 1, State::Ready)], now);
    upstreams::with_lost(&mut lost, era(2), Vec::new(), now);
    let later = now + WRITE_AGAIN_TIMEOUT / 2;
    upstreams::with_lost(&mut lost, era(3), Vec::new(), later);
    let kept = upstreams::with_lost(&mut lost, era(3), Vec::new(), now + WRITE_AGAIN_TIMEOUT);
    assert_eq!(summary(&kept), [("a", State::Ready)]);
}

#[test]
fn an_upstream_that_was_draining_stays_so_although_the_copy_is_from_before() {
    let now = Instant::now();
    let mut lost = Carryover::default();
    let draining = vec![upstream("a", 1, State::Draining)];
    upstreams::with_lost(&mut lost, era(1), draining, now);
    let copy = vec![upstream("a", 1, State::Ready)];
    let kept = upstreams::with_lost(&mut lost, era(2), copy, now);
    assert_eq!(summary(&kept), [("a", State::Draining)]);
    let restarted = vec![Upstream {
        started_unix_ms: Some(2),
        ..upstream("a", 1, State::Ready)
    }];
    let kept = upstreams::with_lost(&mut lost, era(2), restarted, now);
    assert_eq!(summary(&kept), [("a", State::Ready)]);
}

#[test]
fn a_lost_upstream_whose_address_another_one_has_is_gone() {
    let now = Instant::now();
    let mut lost = Carryover::default();
    upstreams::with_lost(&mut lost, era(1), vec![upstream("a", 1, State::Ready)], now);
    let copy = vec![upstream("b", 1, State::Ready)];
    let kept = upstreams::with_lost(&mut lost, era(2), copy, now);
    assert_eq!(summary(&kept), [("b", State::Ready)]);
}

#[test]
fn calls_are_spread_over_a_time_that_grows_with_their_number() {
    let interval = Duration::from_millis(5);
    assert_eq!(spread(43, interval, 0.0), Duration::ZERO);
    assert_eq!(spread(43, interval, 1.0), Duration::from_millis(215));
    assert_eq!(spread(3_700, interval, 0.5), Duration::from_millis(9_250));
}

#[test]
fn positions_are_ordered_by_era_first_and_written_as_text() {
    let lost = Position::new(era(1), 90);
    let restored = Position::new(era(2), 60);
    assert!(lost < restored);
    for position in [lost, restored, Position::default()] {
        assert_eq!(position.to_string().parse(), Ok(position));
    }
    for text in ["", "1", ":", "1:", ":2", "1:2:3", "-1:2", "1:x", "one:2"] {
        let error = text.parse::<Position>().expect_err("no position");
        assert!(error.to_string().contains(text));
    }
}
