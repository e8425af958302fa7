//! Engines that are short of slots, played in virtual time: what callers get.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pimentohook_core::{engine, engine_admission};
use rstest::rstest;

const MODEL: &str = "model-1";
const SLOTS: u32 = 16;
const TICK_MS: u64 = 10;
const ANSWER_TICKS: u64 = 110;

fn figures() -> engine::EngineProfile {
    engine::EngineProfile {
        slot_count: SLOTS,
        step_ms: 9.27,
        per_request_ms: 0.0232,
        per_context_k_ms: 0.0322,
        read_per_s: 20_700.0,
        read_chunk_tokens: 2_048,
        steps_per_pass: 5,
        prompt_mean_tokens: 700,
        answer_mean_tokens: 92,
        chunk_count: 64,
        models: vec![String::from(MODEL)],
    }
}

fn report(active_count: u32) -> engine_admission::EngineReport {
    engine_admission::EngineReport {
        weights: IndexMap::from([(String::from(MODEL), 1)]),
        active_count,
        queued_count: 0,
    }
}

/// What callers got in the played time.
#[derive(Debug, Default)]
struct Tally {
    fresh: u32,
    fresh_served: u32,
    late_served: u32,
}

/// An engine that serves about 14 requests a second gets `fresh_per_s`; who is refused comes back
/// once, a second later.
fn play(fresh_per_s: u64, late_are_told: bool) -> Tally {
    let start = Instant::now();
    let mut gate = engine_admission::EngineAdmission::new(start);
    let mut running: Vec<u64> = Vec::new();
    let mut back: Vec<u64> = Vec::new();
    let mut tally = Tally::default();
    let mut arrivals = 0;
    for tick in 0..2_000_u64 {
        let now = start + Duration::from_millis(tick * TICK_MS);
        running.retain(|ends| *ends > tick);
        let active_count = u32::try_from(running.len()).expect("few requests");
        gate.record_report(now, report(active_count));
        let (due, later): (Vec<u64>, Vec<u64>) = back.iter().partition(|at| **at <= tick);
        back = later;
        arrivals += fresh_per_s * TICK_MS;
        let fresh = arrivals / 1_000;
        arrivals %= 1_000;
        let returning = due.iter().map(|_| true);
        for is_late in returning.chain((0..fresh).map(|_| false)) {
            let ask = engine_admission::AdmissionRequest {
                model: MODEL,
                prompt_tokens: 700,
                answer_tokens: 92,
                first_token_max: Duration::from_millis(340),
                version_min: None,
                spare_only: is_late && late_are_told,
            };
            let is_served = gate.admit(&figures(), now, &ask).is_ok();
            tally.fresh += u32::from(!is_late);
            tally.fresh_served += u32::from(is_served && !is_late);
            tally.late_served += u32::from(is_served && is_late);
            if is_served {
                running.push(tick + ANSWER_TICKS);
            } else if !is_late {
                back.push(tick + 100);
            }
        }
    }
    tally
}

/// With a third more than engines can serve, callers that came back took the slots of those that
/// could still be served in time, who came back in their turn.
#[test]
fn slots_go_to_those_that_can_be_served_in_time() {
    let told = play(20, true);
    let untold = play(20, false);
    assert!(
        told.fresh_served * 100 >= untold.fresh_served * 115,
        "{told:?} {untold:?}"
    );
    // As many answers are given as before.
    let all = |tally: &Tally| tally.fresh_served + tally.late_served;
    assert!(all(&told) * 100 >= all(&untold) * 97, "{told:?} {untold:?}");
}

/// Where slots are free those that came back are served.
#[rstest]
fn nobody_is_refused_while_slots_are_free(#[values(2, 6, 9)] fresh_per_s: u64) {
    let tally = play(fresh_per_s, true);
    assert_eq!(tally.fresh_served, tally.fresh, "{tally:?}");
}

#[rstest]
#[case::free(0, true)]
#[case::some_spare(12, true)]
#[case::hardly_any_spare(14, false)]
#[case::full(16, false)]
fn a_late_request_takes_only_spare_slots(#[case] active_count: u32, #[case] expected: bool) {
    let now = Instant::now();
    let mut gate = engine_admission::EngineAdmission::new(now);
    gate.record_report(now, report(active_count));
    let ask = engine_admission::AdmissionRequest {
        model: MODEL,
        prompt_tokens: 700,
        answer_tokens: 92,
        first_token_max: Duration::from_millis(340),
        version_min: None,
        spare_only: true,
    };
    assert_eq!(gate.admit(&figures(), now, &ask).is_ok(), expected);
}
