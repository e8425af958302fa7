//! P3, P4 and P5 over orders of events: what agents ran is compared with what callers were told.
//!
//! The harness drives the same tables, views and walks as the binaries, over a network that
//! delays, loses and repeats messages, with agents that die and restart at the same address and
//! entries that freeze.

mod network;
mod ops;
mod world;

use std::time;

use ops::{Fate, fate, op};
use proptest::prelude::*;
use world::{ENTRY_COUNT, REQUEST_COUNT, World};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn a_non_idempotent_request_runs_at_most_once_and_not_run_means_not_run(
        ops in prop::collection::vec(op(), 1..40),
        fates in prop::collection::vec(fate(), 1..40),
    ) {
        let mut world = World::new(fates);
        for op in &ops {
            world.apply(op);
            world.check()?;
        }
        // Whatever is still on its way must not run anything that was told not to have run.
        world.pass(time::Duration::from_secs(25));
        world.check()?;
    }
}

#[test]
fn a_healthy_fleet_runs_every_first_attempt_at_once() {
    let fate = Fate {
        delay_ms: 1,
        lost: false,
        twice: false,
    };
    let mut world = World::new(vec![fate]);
    for request in 0..REQUEST_COUNT {
        world.send(request, request % ENTRY_COUNT, true);
    }
    world.pass(time::Duration::from_millis(20));
    assert_eq!(world.runs.len(), REQUEST_COUNT);
    assert!(world.flights.iter().all(|flight| flight.relayed));
}

#[test]
fn a_second_attempt_through_another_entry_finds_the_first() {
    let fate = Fate {
        delay_ms: 1,
        lost: false,
        twice: false,
    };
    let mut world = World::new(vec![fate]);
    world.send(0, 0, true);
    world.pass(time::Duration::from_millis(20));
    world.send(0, 1, true);
    world.pass(time::Duration::from_millis(20));
    assert_eq!(world.runs.len(), 1);
    assert!(world.flights[1].relayed);
}
