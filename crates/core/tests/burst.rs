//! The burst's limits, in the driver of the benchmark: origin, links, time and completion.

#[path = "../benches/rounds/mod.rs"]
mod rounds;

use pimentohook_core::{
    burst::{
        self, ORIGIN_LIMIT_PERCENT, Policy, chunks, downloader, ledger,
        uploader::{CreditRefill, UploadDenial, Uploader},
    },
    id,
};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rounds::{Fault, Run};
use rstest::rstest;
use std::time::{Duration, Instant};

const SEED: u64 = 7;

#[rstest]
fn targets_hold(
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

const REFILL: CreditRefill = CreditRefill {
    delay: std::time::Duration::from_mins(2),
    per_copy: std::time::Duration::from_mins(10),
};
const CHUNKS: u32 = 20;
const MACHINES: usize = 6;

/// What happens between two rounds of grants.
#[derive(Clone, Debug)]
enum Op {
    Pass {
        seconds: u64,
    },
    Extend,
    /// A machine comes to hold a chunk, or all that it was granted.
    Hold {
        machine: usize,
        chunk: u32,
    },
    /// A machine dies and is replaced by one that holds nothing.
    Replace {
        machine: usize,
    },
    Starve {
        machine: usize,
    },
    /// Another entry takes over and knows only what is recorded.
    TakeOver,
}

fn op() -> impl Strategy<Value = Op> {
    let machine = 0..MACHINES;
    prop_oneof![
        3 => (1_u64..30).prop_map(|seconds| Op::Pass { seconds }),
        6 => Just(Op::Extend),
        4 => (machine.clone(), 0..CHUNKS).prop_map(|(machine, chunk)| Op::Hold { machine, chunk }),
        2 => machine.clone().prop_map(|machine| Op::Replace { machine }),
        2 => machine.prop_map(|machine| Op::Starve { machine }),
        1 => Just(Op::TakeOver),
    ]
}

fn supply(machines: &[ledger::Participant]) -> ledger::ChunkAvailability {
    let mut supply = ledger::ChunkAvailability::default();
    machines.iter().cloned().for_each(|one| supply.add(one));
    supply
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn grants_never_pass_four_copies_and_leave_room_for_every_chunk(
        ops in prop::collection::vec(op(), 1..120),
        time_first in any::<bool>(),
    ) {
        let policy = if time_first { Policy::TimeFirst } else { Policy::OriginFirst };
        let mut ledger = ledger::Ledger::new(CHUNKS, policy);
        let mut clock = ledger::GrantTimes::default();
        let mut now = std::time::Instant::now();
        let pace = ledger::GrantLimits::new(policy, std::time::Duration::from_secs(10));
        let mut machines: Vec<_> = (0..MACHINES)
            .map(|index| ledger::Participant {
                vm: format!("vm-{index}").parse().expect("a name"),
                incarnation: id::Incarnation::new(1),
                starved: false,
                failed_grants: Vec::new(),
                leaving: false,
                held: chunks::ChunkSet::new(CHUNKS),
            })
            .collect();
        for op in &ops {
            match *op {
                Op::Pass { seconds } => now += std::time::Duration::from_secs(seconds),
                Op::Extend => {
                    ledger.extend(now, &supply(&machines), &mut clock, pace);
                }
                Op::Hold { machine, chunk } => machines[machine].held.insert(chunk),
                Op::Replace { machine } => {
                    machines[machine].held = chunks::ChunkSet::new(CHUNKS);
                    machines[machine].incarnation = machines[machine].incarnation.next();
                }
                Op::Starve { machine } => machines[machine].starved = true,
                Op::TakeOver => clock = ledger::GrantTimes::default(),
            }
            let granted = u32::try_from(ledger.grants().len()).expect("few grants");
            prop_assert!(granted * 100 <= CHUNKS * ORIGIN_LIMIT_PERCENT);
            let first = (0..CHUNKS)
                .filter(|chunk| ledger.grants().iter().any(|grant| grant.chunk == *chunk))
                .count();
            let missing = CHUNKS - u32::try_from(first).expect("few chunks");
            prop_assert!((granted + missing) * 100 <= CHUNKS * ORIGIN_LIMIT_PERCENT);
            let mut seen: Vec<_> = ledger.grants().iter().map(|one| (one.chunk, one.serial)).collect();
            seen.sort_unstable();
            let before = seen.len();
            seen.dedup();
            prop_assert_eq!(seen.len(), before, "two grants can't be told apart");
        }
    }

    #[test]
    fn a_machine_never_moves_more_than_its_link_carries(
        steps in prop::collection::vec((any::<bool>(), 0..CHUNKS), 1..200),
        overdraft in any::<bool>(),
    ) {
        let mut giver = Uploader::new(CHUNKS, 200, 3, REFILL);
        let now = std::time::Instant::now();
        let held = chunks::ChunkSet::full(CHUNKS);
        for (gives, chunk) in steps {
            if gives && giver.try_start(now, &held, chunk, overdraft) != Err(UploadDenial::Busy) {
                giver.release_slot();
            } else if giver.downloaded_count() < CHUNKS {
                giver.record_downloaded();
            }
            let moved = giver.uploaded_count() + giver.downloaded_count();
            let percent = if overdraft { 210 } else { 200 };
            prop_assert!(moved * 100 <= percent * CHUNKS);
        }
    }
}

#[test]
fn a_machine_that_has_passed_on_its_share_serves_one_that_joins_later() {
    let mut giver = Uploader::new(CHUNKS, 200, 1, REFILL);
    let held = chunks::ChunkSet::full(CHUNKS);
    let mut now = std::time::Instant::now();
    for chunk in 0..CHUNKS {
        giver.record_downloaded();
        assert_eq!(giver.try_start(now, &held, chunk, false), Ok(()));
        giver.release_slot();
    }
    assert_eq!(
        giver.try_start(now, &held, 0, false),
        Err(UploadDenial::Spent)
    );
    now += REFILL.delay;
    assert_eq!(
        giver.try_start(now, &held, 0, false),
        Err(UploadDenial::Spent)
    );
    now += std::time::Duration::from_hours(1);
    for chunk in 0..CHUNKS {
        assert_eq!(giver.try_start(now, &held, chunk, false), Ok(()));
        giver.release_slot();
    }
}

#[test]
fn machines_that_would_wait_for_each_other_are_relieved_within_the_hard_limit() {
    let patience = std::time::Duration::from_secs(10);
    let pace = ledger::GrantLimits::new(Policy::OriginFirst, patience);
    let mut now = std::time::Instant::now();
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut clock = ledger::GrantTimes::default();
    let receiver = |index: u32, held: chunks::ChunkSet| ledger::Participant {
        vm: format!("vm-{index}").parse().expect("a name"),
        incarnation: id::Incarnation::new(1),
        starved: !held.is_full(),
        failed_grants: Vec::new(),
        leaving: false,
        held,
    };
    let whole = receiver(0, chunks::ChunkSet::full(CHUNKS));
    let waiting = (1..4).map(|index| receiver(index, chunks::ChunkSet::new(CHUNKS)));
    let machines: Vec<_> = std::iter::once(whole).chain(waiting).collect();
    let empty = ledger::Participant {
        held: chunks::ChunkSet::new(CHUNKS),
        ..machines[0].clone()
    };
    while ledger.grants().len() < ledger.grant_max() {
        ledger.extend(now, &supply(std::slice::from_ref(&empty)), &mut clock, pace);
        ledger.extend(now, &supply(&machines), &mut clock, pace);
        now += patience / 2;
    }
    let share = ledger.grants().len();
    for _ in 0..1_000 {
        now += patience;
        ledger.extend(now, &supply(&machines), &mut clock, pace);
    }
    assert!(ledger.grants().len() > share);
    let granted = u32::try_from(ledger.grants().len()).expect("few grants");
    assert!(granted * 100 <= CHUNKS * ORIGIN_LIMIT_PERCENT);
}

/// An origin that is away for a while uses up the policy's share in repeated grants; what was not
/// granted before is granted all the same.
#[test]
fn chunks_not_granted_yet_get_their_grant_after_repeated_ones() {
    let patience = Duration::from_millis(1_500);
    let pace = ledger::GrantLimits::new(Policy::OriginFirst, patience);
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut clock = ledger::GrantTimes::default();
    let start = Instant::now();
    // Nothing that is granted comes, and only the first chunks are asked for again and again.
    let machines = machines_holding(|_| chunks::ChunkSet::new(CHUNKS));
    for round in 0..4 {
        let now = start + patience * round * 2;
        ledger.extend(now, &supply(&machines), &mut clock, pace);
    }
    let granted: Vec<u32> = ledger.grants().iter().map(|grant| grant.chunk).collect();
    assert!(granted.len() > ledger.grant_max(), "{granted:?}");
    let missing: Vec<u32> = (0..CHUNKS).filter(|one| !granted.contains(one)).collect();
    assert!(!missing.is_empty(), "{granted:?}");
    // Then the others come, and the origin is back.
    let mut held = chunks::ChunkSet::full(CHUNKS);
    for chunk in &missing {
        held.remove(*chunk);
    }
    let machines = machines_holding(|_| held.clone());
    let now = start + patience * 10;
    ledger.extend(now, &supply(&machines), &mut clock, pace);
    for chunk in missing {
        let is_granted = ledger.grants().iter().any(|grant| grant.chunk == chunk);
        assert!(is_granted, "chunk {chunk}");
    }
}

fn machines_holding<H>(held: H) -> Vec<ledger::Participant>
where
    H: Fn(usize) -> chunks::ChunkSet,
{
    let receiver = |index| ledger::Participant {
        vm: format!("vm-{index}").parse().expect("a name"),
        incarnation: id::Incarnation::new(1),
        starved: false,
        failed_grants: Vec::new(),
        leaving: false,
        held: held(index),
    };
    (0..MACHINES).map(receiver).collect()
}

/// Two machines whose engines were leaving were granted chunks and went with them; the origin went
/// away before those were granted again.
#[test]
fn machines_that_leave_are_granted_nothing_and_hold_nothing() {
    let pace = ledger::GrantLimits::new(Policy::OriginFirst, Duration::from_millis(1_500));
    let now = Instant::now();
    let mut machines = machines_holding(|_| chunks::ChunkSet::new(CHUNKS));
    machines[0].held = chunks::ChunkSet::full(CHUNKS);
    machines[0].leaving = true;
    machines[1].leaving = true;
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut clock = ledger::GrantTimes::default();
    ledger.extend(now, &supply(&machines), &mut clock, pace);
    assert!(!ledger.grants().is_empty());
    for grant in ledger.grants() {
        let is_leaving = |one: &ledger::Participant| one.vm == grant.vm && one.leaving;
        assert!(!machines.iter().any(is_leaving), "{grant:?}");
    }
}

const LIMITS: downloader::DownloaderLimits = downloader::DownloaderLimits {
    busy_backoff: Duration::from_millis(30),
    fault_backoff: Duration::from_secs(1),
    overdraft_after: Duration::from_secs(3),
    origin_backoff: Duration::from_millis(200),
    grant_lifetime: Duration::from_millis(1_400),
    concurrent_downloads_max: 3,
    peers_max: 32,
    prefer_same_domain: false,
};

/// An origin that was away for six seconds was not asked again until the next grant, a second and
/// more after its return.
#[test]
fn a_granted_chunk_is_asked_for_again_until_the_origin_can_be_reached() {
    let domain = "domain-0".parse().expect("a name");
    let mut receiver = downloader::Downloader::new(LIMITS, domain, CHUNKS);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let start = Instant::now();
    receiver.record_grant(start, 3, 0);
    let mut asked_ms = Vec::new();
    for after_ms in (0..3_000).step_by(20) {
        let now = start + Duration::from_millis(after_ms);
        if let Some(fetch) = receiver.start_next(now, &mut rng) {
            asked_ms.push(after_ms);
            receiver.record_failure(now, &fetch, downloader::FetchFailure::Unreachable);
        }
    }
    assert_eq!(asked_ms, [0, 200, 400, 600, 800, 1_000, 1_200]);
}

/// Bytes that came in vain were sent all the same, so the grant is used.
#[rstest]
#[case(downloader::FetchFailure::Stalled)]
#[case(downloader::FetchFailure::Corrupt)]
fn a_grant_is_used_once_where_the_origin_was_reached(#[case] failure: downloader::FetchFailure) {
    let domain = "domain-0".parse().expect("a name");
    let mut receiver = downloader::Downloader::new(LIMITS, domain, CHUNKS);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let start = Instant::now();
    receiver.record_grant(start, 3, 0);
    let fetch = receiver
        .start_next(start, &mut rng)
        .expect("a granted chunk");
    receiver.record_failure(start, &fetch, failure);
    receiver.record_grant(start, 3, 0);
    let later = start + Duration::from_secs(1);
    assert_eq!(receiver.start_next(later, &mut rng), None);
}

/// A machine was lost with the chunks that it was granted; they were granted again only when the
/// patience for its pulls was over, and by then the origin was away.
#[test]
fn chunks_granted_to_a_machine_that_was_lost_are_granted_again_at_once() {
    let pace = ledger::GrantLimits::new(Policy::OriginFirst, Duration::from_millis(1_500));
    let start = Instant::now();
    let machines = machines_holding(|_| chunks::ChunkSet::new(CHUNKS));
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut clock = ledger::GrantTimes::default();
    ledger.extend(start, &supply(&machines), &mut clock, pace);
    let lost = ledger.grants()[0].vm.clone();
    let lost_chunks: Vec<u32> = ledger
        .grants()
        .iter()
        .filter(|grant| grant.vm == lost)
        .map(|grant| grant.chunk)
        .collect();
    let others: Vec<_> = machines.into_iter().filter(|one| one.vm != lost).collect();
    let mut held = chunks::ChunkSet::full(CHUNKS);
    for chunk in &lost_chunks {
        held.remove(*chunk);
    }
    let others: Vec<_> = others
        .into_iter()
        .map(|one| ledger::Participant {
            held: held.clone(),
            ..one
        })
        .collect();
    let soon = start + Duration::from_millis(200);
    ledger.extend(soon, &supply(&others), &mut clock, pace);
    for chunk in lost_chunks {
        let granted = ledger.grants().iter().filter(|grant| grant.chunk == chunk);
        assert_eq!(granted.count(), 2, "chunk {chunk}");
    }
    // Those that got it are there, so nothing more is granted.
    let granted = ledger.grants().len();
    let later = start + Duration::from_millis(400);
    ledger.extend(later, &supply(&others), &mut clock, pace);
    assert_eq!(ledger.grants().len(), granted);
}

/// An origin cut one chunk off; it was granted again only when the patience for it was over, and by
/// then the origin was away.
#[test]
fn a_chunk_that_came_in_vain_is_granted_again_at_once() {
    let pace = ledger::GrantLimits::new(Policy::OriginFirst, Duration::from_millis(1_500));
    let start = Instant::now();
    let mut machines = machines_holding(|_| chunks::ChunkSet::new(CHUNKS));
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut clock = ledger::GrantTimes::default();
    ledger.extend(start, &supply(&machines), &mut clock, pace);
    let failed = ledger.grants()[0].clone();
    for machine in &mut machines {
        machine.held = chunks::ChunkSet::full(CHUNKS);
        machine.held.remove(failed.chunk);
        if machine.vm == failed.vm {
            let (chunk, serial) = (failed.chunk, failed.serial);
            machine.failed_grants = vec![burst::GrantId { chunk, serial }];
        }
    }
    let soon = start + Duration::from_millis(200);
    ledger.extend(soon, &supply(&machines), &mut clock, pace);
    let granted = ledger
        .grants()
        .iter()
        .filter(|one| one.chunk == failed.chunk);
    assert_eq!(granted.count(), 2);
}
