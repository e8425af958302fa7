//! Simulates the burst in rounds, in each of which a VM downloads and uploads at most one chunk.
//!
//! `cargo bench -p pimentohook-core --bench burst -- --json` prints one line per case; the output
//! is deterministic for a seed. With `--check` the exit status is an error if a limit is exceeded;
//! `--largest=N` skips fleets of more than N replicas.

mod rounds;

use std::{env, process};

use pimentohook_core::burst::Policy;
use rounds::{CHUNK_COUNT, Fault, Outcome, Run};

const SIZES: [usize; 5] = [16, 100, 300, 710, 2_000];
const POLICIES: [Policy; 2] = [Policy::OriginFirst, Policy::TimeFirst];
const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::Deaths,
    Fault::Corrupt,
    Fault::Stalled,
    Fault::DomainLost,
];
const SEED: u64 = 7;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let has = |flag: &str| arguments.iter().any(|argument| argument == flag);
    let mut failed = false;
    let largest = arguments
        .iter()
        .find_map(|argument| argument.strip_prefix("--largest="));
    let largest = largest.and_then(|text| text.parse().ok());
    let largest = largest.unwrap_or(usize::MAX);
    for replicas in SIZES.into_iter().filter(|size| *size <= largest) {
        for policy in POLICIES {
            for fault in FAULTS {
                let outcome = Run::new(replicas, policy, fault, SEED).run();
                print_outcome(&outcome, has("--json"));
                failed |= !meets_limits(&outcome, policy, fault);
            }
        }
        for outcome in baselines(replicas) {
            print_outcome(&outcome, has("--json"));
        }
    }
    if failed && has("--check") {
        eprintln!("a limit was exceeded");
        return process::ExitCode::FAILURE;
    }
    process::ExitCode::SUCCESS
}

fn print_outcome(outcome: &Outcome, json: bool) {
    if json {
        println!("{}", serde_json::json!(outcome));
        return;
    }
    println!(
        "{:5} {:15} {:12} time {:6.2} origin {:7.2} link {:5.2} cross {:8.2} live {}",
        outcome.replicas,
        outcome.policy,
        outcome.fault,
        outcome.time_over_lower_bound,
        outcome.origin_copies,
        outcome.max_link_copies,
        outcome.cross_domain_copies,
        outcome.live
    );
}

/// Returns whether an outcome is within the targets of the system.
fn meets_limits(outcome: &Outcome, policy: Policy, fault: Fault) -> bool {
    let healthy = fault == Fault::None;
    let time_max = match outcome.replicas {
        _ if !healthy => 2.0,
        0..=100 => 1.2,
        101..=710 => 1.3,
        _ => 1.5,
    };
    let origin_max = match policy {
        Policy::OriginFirst => 1.15,
        Policy::TimeFirst => 3.5,
    };
    let link_max = if healthy { 2.0 } else { 2.1 };
    outcome.time_over_lower_bound <= time_max
        && outcome.origin_copies <= origin_max
        && outcome.max_link_copies <= link_max
        && outcome.live == outcome.survivors
}

/// Computes the outcomes of simpler distribution schemes: every replica downloads from the origin,
/// a chain of replicas, and a binary tree.
#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn baselines(replicas: usize) -> [Outcome; 3] {
    let chunks = f64::from(CHUNK_COUNT);
    let replica_count = replicas as f64;
    let baseline = |name: &str, rounds: f64, origin: f64, link: f64, cross: f64| Outcome {
        replicas,
        policy: format!("baseline_{name}"),
        fault: Fault::None.to_string(),
        time_over_lower_bound: rounds / chunks,
        origin_copies: origin,
        max_link_copies: link,
        cross_domain_copies: cross,
        live: replicas,
        survivors: replicas,
    };
    let depth = replica_count.log2().ceil();
    [
        baseline("origin", replica_count * chunks, replica_count, 1.0, 0.0),
        baseline(
            "chain",
            chunks + replica_count - 1.0,
            1.0,
            2.0,
            replica_count - 1.0,
        ),
        baseline(
            "tree",
            2.0 * chunks + 2.0 * depth,
            1.0,
            3.0,
            replica_count - 1.0,
        ),
    ]
}
