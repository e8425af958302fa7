//! The ledger of grants after the store was restored from a copy.

use std::time::{Duration, Instant};

use pimentohook_core::{
    burst::{
        GrantId, ORIGIN_LIMIT_PERCENT, Policy,
        chunks::ChunkSet,
        ledger::{ChunkAvailability, Grant, GrantLimits, GrantTimes, Ledger, Participant},
    },
    id,
};
use proptest::prelude::*;

const CHUNKS: u32 = 20;
const VM_COUNT: u32 = 6;
const LIMITS: GrantLimits = GrantLimits {
    grant_timeout: Duration::from_millis(1_500),
    open_grants_max: 8,
    vm_grants_max: 8,
};

fn incarnation() -> id::Incarnation {
    id::Incarnation::new(1)
}

fn participant(index: u32, held: ChunkSet) -> Participant {
    Participant {
        vm: format!("vm-{index}").parse().expect("a name"),
        incarnation: incarnation(),
        starved: false,
        failed_grants: Vec::new(),
        leaving: false,
        held,
    }
}

fn availability(participants: &[Participant]) -> ChunkAvailability {
    let mut availability = ChunkAvailability::default();
    for participant in participants {
        availability.add(participant.clone());
    }
    availability
}

fn empty_fleet() -> Vec<Participant> {
    let empty = |index| participant(index, ChunkSet::new(CHUNKS));
    (0..VM_COUNT).map(empty).collect()
}

#[test]
fn chunks_that_are_being_downloaded_are_not_granted_again_after_a_restore() {
    let now = Instant::now();
    let fleet = availability(&empty_fleet());
    let copy = Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut recorded = copy.clone();
    let granted_count = recorded.extend(now, &fleet, &mut GrantTimes::default(), LIMITS);
    assert!(granted_count > 0);
    let mut without_recovery = copy.clone();
    without_recovery.extend(now, &fleet, &mut GrantTimes::default(), LIMITS);
    let is_granted_again = |grant: &Grant| without_recovery.grants().contains(grant);
    assert!(recorded.grants().iter().all(is_granted_again), "the fault");

    let mut recovered = copy;
    let added_count = recovered.recover(recorded.grants(), &fleet);
    assert_eq!(added_count, granted_count);
    assert_eq!(recovered, recorded);
    assert_eq!(recovered.recover(recorded.grants(), &fleet), 0);
    assert_eq!(
        recovered.extend(now, &fleet, &mut GrantTimes::default(), LIMITS),
        0
    );
}

#[test]
fn a_chunk_that_a_participant_has_counts_as_granted_after_a_restore() {
    let mut fleet = empty_fleet();
    fleet[2].held.insert(7);
    fleet[4].held.insert(7);
    let mut recovered = Ledger::new(CHUNKS, Policy::OriginFirst);
    assert_eq!(recovered.recover(&[], &availability(&fleet)), 1);
    let grant = &recovered.grants()[0];
    assert_eq!((grant.chunk, grant.vm.as_str()), (7, "vm-2"));
}

/// An agent ignores a grant whose number it has used, so the chunk would not come.
#[test]
fn a_grant_after_a_restore_has_a_number_that_was_not_used_before() {
    let now = Instant::now();
    let id = GrantId {
        chunk: 0,
        serial: 3,
    };
    let gone = Grant::new(id, "vm-gone".parse().expect("a name"), incarnation());
    let mut ledger = Ledger::new(1, Policy::OriginFirst);
    ledger.recover(&[gone], &ChunkAvailability::default());
    let fleet = availability(&[participant(0, ChunkSet::new(1))]);
    ledger.extend(now, &fleet, &mut GrantTimes::default(), LIMITS);
    let serials: Vec<_> = ledger.grants().iter().map(|grant| grant.serial).collect();
    assert_eq!(serials, [3, 4]);
}

#[test]
fn reports_for_chunks_that_do_not_exist_are_ignored() {
    let id = GrantId {
        chunk: CHUNKS,
        serial: 0,
    };
    let grant = Grant::new(id, "vm-0".parse().expect("a name"), incarnation());
    let mut ledger = Ledger::new(CHUNKS, Policy::OriginFirst);
    assert_eq!(ledger.recover(&[grant], &ChunkAvailability::default()), 0);
}

proptest! {
    /// However often the store is restored, the hard limit holds for all grants that were ever
    /// handed out, as long as those who received them report them.
    #[test]
    fn the_hard_limit_holds_through_restores(
        steps in prop::collection::vec((0_u8..4, 0_u32..VM_COUNT, 0_u32..CHUNKS), 1..120),
    ) {
        let mut now = Instant::now();
        let mut fleet = empty_fleet();
        let mut stored = Ledger::new(CHUNKS, Policy::OriginFirst);
        let mut copy = stored.clone();
        let mut times = GrantTimes::default();
        let mut handed_out: Vec<Grant> = Vec::new();
        for (action, vm, chunk) in steps {
            now += LIMITS.grant_timeout / 2;
            match action {
                0 => {
                    stored.extend(now, &availability(&fleet), &mut times, LIMITS);
                    for grant in stored.grants() {
                        if !handed_out.contains(grant) {
                            handed_out.push(grant.clone());
                        }
                    }
                }
                1 => {
                    let index = usize::try_from(vm).expect("an index");
                    fleet[index].held.insert(chunk);
                }
                2 => copy = stored.clone(),
                _ => {
                    stored = copy.clone();
                    times = GrantTimes::default();
                    stored.recover(&handed_out, &availability(&fleet));
                }
            }
            let max = u64::from(CHUNKS * ORIGIN_LIMIT_PERCENT) / 100;
            prop_assert!(handed_out.len() as u64 <= max);
        }
    }
}
