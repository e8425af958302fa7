//! Routing policies on the same seeded load, in virtual time.
//!
//! `cargo bench -p pimentohook-core --bench routing -- --json` prints one line per case. Each of
//! six entries chooses by its own statistics; agents admit or refuse requests with the core's fair
//! slots.

mod load;

use std::env;

use load::{Case, Fault};
use pimentohook_core::routing::choice::Policy;

const POLICIES: [Policy; 4] = [
    Policy::LeastScore,
    Policy::Random,
    Policy::RoundRobin,
    Policy::TwoChoices,
];
const LOADS_PERCENT: [u64; 4] = [50, 80, 95, 120];
const FAULTS: [Fault; 3] = [Fault::None, Fault::OneSlow, Fault::OneDead];
const SEED: u64 = 7;

fn main() {
    let json = env::args().any(|argument| argument == "--json");
    for fault in FAULTS {
        for load_percent in LOADS_PERCENT {
            for policy in POLICIES {
                let case = Case {
                    policy,
                    fault,
                    load_percent,
                    flood: false,
                };
                print(&load::run(case, SEED), json);
            }
        }
    }
    let all_slow = Case {
        policy: Policy::LeastScore,
        fault: Fault::AllSlow,
        load_percent: 80,
        flood: false,
    };
    print(&load::run(all_slow, SEED), json);
    let flood = Case {
        policy: Policy::LeastScore,
        fault: Fault::None,
        load_percent: 200,
        flood: true,
    };
    print(&load::run(flood, SEED), json);
}

fn print(outcome: &load::Outcome, json: bool) {
    if json {
        println!("{}", serde_json::json!(outcome));
        return;
    }
    println!(
        "{:9} load {:3}% {:12} first p50 {:5.0} p99 {:6.0} total p50 {:5.0} p99 {:6.0} ms \
         answered {:.3} amplification {:.3} small answered {:.3}",
        outcome.fault,
        outcome.load_percent,
        outcome.policy,
        outcome.first_p50_ms,
        outcome.first_p99_ms,
        outcome.total_p50_ms,
        outcome.total_p99_ms,
        outcome.answered_share,
        outcome.amplification,
        outcome.small_answered_share
    );
}
