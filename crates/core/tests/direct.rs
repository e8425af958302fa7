//! Routes, the engine's model and the gate in front of it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pimentohook_core::{engine, engine_admission, rolling_update, routes, shutdown};
use proptest::prelude::*;
use rstest::rstest;

const MODEL: &str = "model-1";
const SLOTS: u32 = 16;

fn figures() -> engine::EngineProfile {
    engine::EngineProfile {
        slot_count: SLOTS,
        step_ms: 9.27,
        per_request_ms: 0.0232,
        per_context_k_ms: 0.0322,
        read_per_s: 20_700.0,
        read_chunk_tokens: 2_048,
        steps_per_pass: 5,
        prompt_mean_tokens: 979,
        answer_mean_tokens: 92,
        chunk_count: 64,
        models: vec![String::from(MODEL)],
    }
}

fn report(active_count: u32, version: u64) -> engine_admission::EngineReport {
    engine_admission::EngineReport {
        weights: IndexMap::from([(String::from(MODEL), version)]),
        active_count,
        queued_count: 0,
    }
}

const fn ask(
    prompt_tokens: u32,
    answer_tokens: u32,
) -> engine_admission::AdmissionRequest<'static> {
    engine_admission::AdmissionRequest {
        model: MODEL,
        prompt_tokens,
        answer_tokens,
        first_token_max: Duration::from_millis(400),
        version_min: None,
        spare_only: false,
    }
}

fn open_gate(now: Instant, active_count: u32) -> engine_admission::EngineAdmission {
    let mut gate = engine_admission::EngineAdmission::new(now);
    gate.record_report(now, report(active_count, 1));
    gate
}

fn route(path_prefix: &str, weights: &[u32]) -> routes::Route {
    let target = |(index, weight): (usize, &u32)| routes::Target {
        service: format!("service-{index}").parse().expect("a name"),
        weight: *weight,
    };
    routes::Route {
        name: String::from(path_prefix),
        path_prefix: String::from(path_prefix),
        repeat: routes::RepeatPolicy::AtMostOnce,
        streaming: false,
        resumable: false,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(100),
        targets: weights.iter().enumerate().map(target).collect(),
        attempts_max: 1,
        public: false,
    }
}

#[rstest]
#[case("/a/b/c", Some("/a/b/"))]
#[case("/a/x", Some("/a/"))]
#[case("/a", None)]
#[case("/b/", None)]
fn the_longest_prefix_wins(#[case] path: &str, #[case] expected: Option<&str>) {
    let mut table = routes::RouteTable::default();
    for prefix in ["/a/", "/a/b/", "/a/b/c/d/"] {
        table.insert(String::from("host"), route(prefix, &[1]));
    }
    let found = table.select("host", path).map(|one| one.name.as_str());
    assert_eq!(found, expected);
    assert!(table.select("other", path).is_none());
}

proptest! {
    #[test]
    fn a_split_route_is_shared_by_weight(draw in any::<u32>()) {
        let route = route("/a/", &[90, 0, 10]);
        let service = route.target(draw).expect("a service").as_str();
        let expected = if f64::from(draw) < f64::from(u32::MAX) * 0.9 {
            "service-0"
        } else {
            "service-2"
        };
        prop_assert_eq!(service, expected);
    }

    /// Whatever comes between reports, no more is let in than the engine has slots.
    #[test]
    fn a_gate_never_lets_in_more_than_there_are_slots(
        active_count in 0..2 * SLOTS,
        gaps_ms in prop::collection::vec(0..3_u64, 1..60),
    ) {
        let start = Instant::now();
        let mut gate = open_gate(start, active_count);
        let mut now = start;
        let mut let_in = 0;
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            let asked = engine_admission::AdmissionRequest { first_token_max: Duration::from_secs(9), ..ask(100, 20) };
            if gate.admit(&figures(), now, &asked).is_ok() {
                let_in += 1;
            }
        }
        prop_assert!(let_in == 0 || active_count + let_in <= SLOTS);
    }
}

#[test]
fn places_of_entries_that_died_vanish_with_the_next_report() {
    let start = Instant::now();
    let mut gate = open_gate(start, SLOTS - 1);
    assert!(gate.admit(&figures(), start, &ask(100, 20)).is_ok());
    let full = gate.admit(&figures(), start, &ask(100, 20));
    assert_eq!(full, Err(engine_admission::DenialReason::Full));
    // Nothing of the first one has come to the engine.
    let later = start + Duration::from_millis(200);
    gate.record_report(later, report(SLOTS - 1, 1));
    assert!(gate.admit(&figures(), later, &ask(100, 20)).is_ok());
}

#[test]
fn a_gate_is_closed_until_its_engine_reports_and_after_it_fell_silent() {
    let start = Instant::now();
    let mut gate = engine_admission::EngineAdmission::new(start);
    let asked = ask(100, 20);
    assert_eq!(
        gate.admit(&figures(), start, &asked),
        Err(engine_admission::DenialReason::Unknown)
    );
    gate.record_report(start, report(0, 1));
    assert!(gate.admit(&figures(), start, &asked).is_ok());
    let later = start + Duration::from_secs(2);
    assert_eq!(
        gate.admit(&figures(), later, &asked),
        Err(engine_admission::DenialReason::Unknown)
    );
}

#[test]
fn nothing_begins_while_weights_are_loaded_or_are_too_old() {
    let start = Instant::now();
    let mut gate = open_gate(start, 0);
    let newer = engine_admission::AdmissionRequest {
        version_min: Some(2),
        ..ask(100, 20)
    };
    assert_eq!(
        gate.admit(&figures(), start, &newer),
        Err(engine_admission::DenialReason::Weights)
    );
    gate.set_loading(true);
    assert!(gate.weights().is_empty());
    assert_eq!(
        gate.admit(&figures(), start, &ask(100, 20)),
        Err(engine_admission::DenialReason::Loading)
    );
    gate.set_loading(false);
    gate.record_report(start, report(0, 2));
    assert!(gate.admit(&figures(), start, &newer).is_ok());
}

#[test]
fn before_a_load_only_answers_begin_that_end_in_time() {
    let start = Instant::now();
    let mut gate = open_gate(start, 4);
    gate.set_next_load_at(Some(start + Duration::from_millis(800)));
    let long = gate.admit(&figures(), start, &ask(500, 250));
    assert_eq!(long, Err(engine_admission::DenialReason::Closing));
    assert!(gate.admit(&figures(), start, &ask(500, 20)).is_ok());
}

/// A burst of prompts is let in as far as their first tokens come in time, and refused from there.
#[test]
fn a_burst_is_refused_from_where_first_tokens_would_come_too_late() {
    let start = Instant::now();
    let mut gate = open_gate(start, 2);
    let outcomes: Vec<_> = (0..SLOTS)
        .map(|_| gate.admit(&figures(), start, &ask(1_290, 100)))
        .collect();
    let let_in = outcomes.iter().take_while(|one| one.is_ok()).count();
    assert!((3..8).contains(&let_in), "{outcomes:?}");
    assert!(
        outcomes[let_in..]
            .iter()
            .all(|one| *one == Err(engine_admission::DenialReason::Late))
    );
    let waits: Vec<_> = outcomes.iter().flatten().collect();
    assert!(
        waits.is_sorted(),
        "each waits for those before it: {waits:?}"
    );
    // The engine has read them after a while, and the next ones are let in.
    let later = start + Duration::from_millis(700);
    gate.record_report(later, report(6, 1));
    assert!(gate.admit(&figures(), later, &ask(1_290, 100)).is_ok());
}

proptest! {
    /// An engine that was full took a request just before its turn, and began it 0.93 s later.
    #[test]
    fn what_an_engine_takes_before_its_turn_begins_within_the_grace(
        grace_ms in 3_000..20_000_u64,
        count in 1..200_u32,
        rank in 0..200_u32,
    ) {
        let grace = Duration::from_millis(grace_ms);
        let waited = Duration::from_millis(930);
        prop_assert!(rolling_update::load_delay(grace, rank % count, count) + waited < grace);
        prop_assert!(rolling_update::previous_version_lifetime(grace) + waited < grace);
    }

    #[test]
    fn turns_follow_the_order_and_are_spread(grace_ms in 6_000..20_000_u64, count in 2..100_u32) {
        let grace = Duration::from_millis(grace_ms);
        let turns: Vec<_> = (0..count).map(|rank| rolling_update::load_delay(grace, rank, count)).collect();
        prop_assert!(turns.is_sorted());
        let gaps: Vec<_> = turns.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).collect();
        let (least, most) = (gaps.iter().min(), gaps.iter().max());
        prop_assert!(most.unwrap().saturating_sub(*least.unwrap()) < Duration::from_millis(1));
    }
}

#[rstest]
#[case::too_early(500, 20, 3, None)]
#[case::half(1_500, 20, 32, Some(3_000))]
#[case::nearly(3_000, 300, 60, Some(3_200))]
// The origin went away with four chunks to come, and engines refused all for as long as that
// lasted, since the set was always about to be whole.
#[case::stopped(4_000, 1_500, 60, None)]
fn a_set_is_forecast_from_its_progress(
    #[case] age_ms: u64,
    #[case] idle_ms: u64,
    #[case] held: u32,
    #[case] expected_ms: Option<u64>,
) {
    let (age, idle) = (
        Duration::from_millis(age_ms),
        Duration::from_millis(idle_ms),
    );
    let forecast = rolling_update::estimated_completion(age, idle, held, 64);
    assert_eq!(forecast, expected_ms.map(Duration::from_millis));
}

const fn underway(version: u64, age_ms: u64, held: u32) -> rolling_update::VersionProgress {
    rolling_update::VersionProgress {
        version,
        age: Duration::from_millis(age_ms),
        held: Some(held),
        chunk_count: 64,
    }
}

#[rstest]
#[case::alone(&[underway(2, 100, 0)], Some(1), 2)]
#[case::more_than_half_here(&[underway(2, 4_000, 40), underway(3, 10, 0)], Some(1), 2)]
#[case::hardly_begun(&[underway(2, 4_000, 20), underway(3, 10, 0)], Some(1), 3)]
#[case::whole(&[underway(2, 4_000, 64), underway(3, 10, 0)], Some(1), 3)]
#[case::served_already(&[underway(2, 4_000, 40), underway(3, 10, 0)], Some(2), 3)]
// An engine that lost its weights while the store was away began with an old version, whose last
// chunks nobody grants any more.
#[case::empty_engine(&[underway(1, 1_500, 40), underway(2, 10, 0)], None, 2)]
#[case::stuck_past_its_grace(&[underway(2, 8_100, 63), underway(3, 4_000, 0)], Some(1), 3)]
fn the_version_to_pull(
    #[case] named: &[rolling_update::VersionProgress],
    #[case] served: Option<u64>,
    #[case] expected: u64,
) {
    let grace = Duration::from_secs(8);
    assert_eq!(
        rolling_update::version_to_download(named, served, grace),
        Some(expected)
    );
}

proptest! {
    /// A stream of 6 s that came 3.09 s after the signal was cut off 7.5 s after it.
    #[test]
    fn a_leaving_entry_begins_late_only_what_ends_before_it(
        after_ms in 0..8_000_u64,
        deadline_ms in 100..10_000_u64,
    ) {
        let since = Instant::now();
        let leaving = shutdown::Shutdown { since, ends_at: since + Duration::from_millis(7_500) };
        let now = since + Duration::from_millis(after_ms);
        let deadline = now + Duration::from_millis(deadline_ms);
        let taken = leaving.accepts(now, deadline);
        prop_assert!(!taken || after_ms < 3_000 || deadline < leaving.ends_at);
        prop_assert!(taken || after_ms > 2_000, "callers that do not know yet are served");
    }
}
