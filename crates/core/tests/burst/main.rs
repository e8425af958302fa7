//! Limits of the burst: downloads from the origin, traffic on links, time and completion. The
//! benchmark's simulation is used for whole fleets.

mod downloader;
mod grantor;
mod grants;
mod repeated_grants;
#[path = "../../benches/rounds/mod.rs"]
mod rounds;
mod uploader;

use pimentohook_core::{
    burst::{Policy, chunks, ledger},
    id,
};
use rounds::{Fault, Run};
use rstest::rstest;

const SEED: u64 = 7;
const CHUNKS: u32 = 20;
const PARTICIPANTS: usize = 6;

#[rstest]
fn bursts_meet_their_targets(
    #[values(16, 100)] replicas: usize,
    #[values(Policy::OriginFirst, Policy::TimeFirst)] policy: Policy,
    #[values(
        Fault::None,
        Fault::Deaths,
        Fault::Corrupt,
        Fault::Stalled,
        Fault::DomainLost
    )]
    fault: Fault,
) {
    let outcome = Run::new(replicas, policy, fault, SEED).run();
    let healthy = fault == Fault::None;
    assert_eq!(outcome.live, outcome.survivors, "{outcome:?}");
    let time_max = if healthy { 1.2 } else { 2.0 };
    assert!(outcome.time_over_lower_bound <= time_max, "{outcome:?}");
    let link_max = if healthy { 2.0 } else { 2.1 };
    assert!(outcome.max_link_copies <= link_max, "{outcome:?}");
    let origin_max = match policy {
        Policy::OriginFirst => 1.15,
        Policy::TimeFirst => 3.5,
    };
    assert!(outcome.origin_copies <= origin_max, "{outcome:?}");
}

fn availability(participants: &[ledger::Participant]) -> ledger::ChunkAvailability {
    let mut availability = ledger::ChunkAvailability::default();
    participants
        .iter()
        .cloned()
        .for_each(|participant| availability.add(participant));
    availability
}

fn participants_holding<H>(held: H) -> Vec<ledger::Participant>
where
    H: Fn(usize) -> chunks::ChunkSet,
{
    let participant = |index| ledger::Participant {
        vm: format!("vm-{index}").parse().expect("a name"),
        incarnation: id::Incarnation::new(1),
        starved: false,
        failed_grants: Vec::new(),
        leaving: false,
        held: held(index),
    };
    (0..PARTICIPANTS).map(participant).collect()
}
