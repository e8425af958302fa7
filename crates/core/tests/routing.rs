//! Routing under load and faults, simulated by the benchmark's driver in virtual time, so that the
//! results do not depend on the machine.

#[path = "../benches/load/mod.rs"]
mod load;

use load::{Case, Fault, Outcome};
use pimentohook_core::routing::choice::Policy;
use rstest::rstest;

const SEED: u64 = 7;

fn run(policy: Policy, fault: Fault, load_percent: u64, flood: bool) -> Outcome {
    let case = Case {
        policy,
        fault,
        load_percent,
        flood,
    };
    load::run(case, SEED)
}

#[rstest]
#[case(Fault::None, 120)]
#[case(Fault::AllSlow, 80)]
#[case(Fault::OneDead, 95)]
#[case(Fault::OneSlow, 95)]
fn attempts_exceed_requests_by_at_most_a_tenth(#[case] fault: Fault, #[case] load_percent: u64) {
    let outcome = run(Policy::LeastScore, fault, load_percent, false);
    assert!(outcome.amplification <= 1.1, "{outcome:?}");
}

#[test]
fn goodput_does_not_fall_under_overload() {
    let at_capacity = run(Policy::LeastScore, Fault::None, 100, false);
    let overloaded = run(Policy::LeastScore, Fault::None, 120, false);
    let goodput = |outcome: &Outcome, load: f64| outcome.answered_share * load;
    assert!(goodput(&overloaded, 1.2) >= 0.95 * goodput(&at_capacity, 1.0));
}

#[test]
fn a_slow_engine_costs_little_more_than_its_absence() {
    let without = run(Policy::LeastScore, Fault::OneDead, 80, false);
    let slow = run(Policy::LeastScore, Fault::OneSlow, 80, false);
    assert!(slow.total_p99_ms <= 1.5 * without.total_p99_ms, "{slow:?}");
}

#[test]
fn small_organisations_are_served_while_a_large_one_overloads_the_service() {
    let outcome = run(Policy::LeastScore, Fault::None, 200, true);
    assert!(outcome.small_answered_share >= 0.95, "{outcome:?}");
}

#[rstest]
#[case(Policy::Random)]
#[case(Policy::RoundRobin)]
#[case(Policy::TwoChoices)]
fn the_policy_in_use_is_no_worse_than_its_baselines(#[case] baseline: Policy) {
    for fault in [Fault::None, Fault::OneSlow, Fault::OneDead] {
        let used = run(Policy::LeastScore, fault, 80, false);
        let other = run(baseline, fault, 80, false);
        assert!(
            used.total_p99_ms <= other.total_p99_ms,
            "{used:?} {other:?}"
        );
    }
}
