//! Limits of the burst: downloads from the origin, traffic on links, time and completion. The
//! benchmark's simulation is used for whole fleets.

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

const REFILL: CreditRefill = CreditRefill {
    delay: std::time::Duration::from_mins(2),
    per_copy: std::time::Duration::from_mins(10),
};
const CHUNKS: u32 = 20;
const PARTICIPANTS: usize = 6;

/// An event of a burst.
#[derive(Clone, Debug)]
enum Op {
    Advance {
        seconds: u64,
    },
    Extend,
    /// A VM downloads a chunk.
    Download {
        participant: usize,
        chunk: u32,
    },
    /// A VM dies and is replaced by one without chunks.
    Replace {
        participant: usize,
    },
    Starve {
        participant: usize,
    },
    /// Another grantor takes over and knows only the recorded ledger.
    TakeOver,
}

fn op() -> impl Strategy<Value = Op> {
    let participant = 0..PARTICIPANTS;
    prop_oneof![
        3 => (1_u64..30).prop_map(|seconds| Op::Advance { seconds }),
        6 => Just(Op::Extend),
        4 => (participant.clone(), 0..CHUNKS)
            .prop_map(|(participant, chunk)| Op::Download { participant, chunk }),
        2 => participant.clone().prop_map(|participant| Op::Replace { participant }),
        2 => participant.prop_map(|participant| Op::Starve { participant }),
        1 => Just(Op::TakeOver),
    ]
}

fn availability(participants: &[ledger::Participant]) -> ledger::ChunkAvailability {
    let mut availability = ledger::ChunkAvailability::default();
    participants
        .iter()
        .cloned()
        .for_each(|participant| availability.add(participant));
    availability
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn grants_never_exceed_four_copies_and_reserve_one_for_every_chunk(
        ops in prop::collection::vec(op(), 1..120),
        time_first in any::<bool>(),
    ) {
        let policy = if time_first { Policy::TimeFirst } else { Policy::OriginFirst };
        let mut ledger = ledger::Ledger::new(CHUNKS, policy);
        let mut times = ledger::GrantTimes::default();
        let mut now = std::time::Instant::now();
        let limits = ledger::GrantLimits::new(policy, std::time::Duration::from_secs(10));
        let mut participants: Vec<_> = (0..PARTICIPANTS)
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
                Op::Advance { seconds } => now += std::time::Duration::from_secs(seconds),
                Op::Extend => {
                    ledger.extend(now, &availability(&participants), &mut times, limits);
                }
                Op::Download { participant, chunk } => participants[participant].held.insert(chunk),
                Op::Replace { participant } => {
                    participants[participant].held = chunks::ChunkSet::new(CHUNKS);
                    participants[participant].incarnation =
                        participants[participant].incarnation.next();
                }
                Op::Starve { participant } => participants[participant].starved = true,
                Op::TakeOver => times = ledger::GrantTimes::default(),
            }
            let granted = u32::try_from(ledger.grants().len()).expect("few grants");
            prop_assert!(granted * 100 <= CHUNKS * ORIGIN_LIMIT_PERCENT);
            let granted_chunks = (0..CHUNKS)
                .filter(|chunk| ledger.grants().iter().any(|grant| grant.chunk == *chunk))
                .count();
            let missing = CHUNKS - u32::try_from(granted_chunks).expect("few chunks");
            prop_assert!((granted + missing) * 100 <= CHUNKS * ORIGIN_LIMIT_PERCENT);
            let mut ids: Vec<_> = ledger
                .grants()
                .iter()
                .map(|grant| (grant.chunk, grant.serial))
                .collect();
            ids.sort_unstable();
            let before = ids.len();
            ids.dedup();
            prop_assert_eq!(ids.len(), before, "two grants have the same id");
        }
    }

    #[test]
    fn the_traffic_of_a_vm_never_exceeds_its_link_limit(
        steps in prop::collection::vec((any::<bool>(), 0..CHUNKS), 1..200),
        overdraft in any::<bool>(),
    ) {
        let mut uploader = Uploader::new(CHUNKS, 200, 3, REFILL);
        let now = std::time::Instant::now();
        let held = chunks::ChunkSet::full(CHUNKS);
        for (uploads, chunk) in steps {
            if uploads
                && uploader.try_start(now, &held, chunk, overdraft) != Err(UploadDenial::Busy)
            {
                uploader.release_slot();
            } else if uploader.downloaded_count() < CHUNKS {
                uploader.record_downloaded();
            }
            let transferred = uploader.uploaded_count() + uploader.downloaded_count();
            let percent = if overdraft { 210 } else { 200 };
            prop_assert!(transferred * 100 <= percent * CHUNKS);
        }
    }
}

#[test]
fn upload_credit_is_refilled_for_vms_that_join_later() {
    let mut uploader = Uploader::new(CHUNKS, 200, 1, REFILL);
    let held = chunks::ChunkSet::full(CHUNKS);
    let mut now = std::time::Instant::now();
    for chunk in 0..CHUNKS {
        uploader.record_downloaded();
        assert_eq!(uploader.try_start(now, &held, chunk, false), Ok(()));
        uploader.release_slot();
    }
    assert_eq!(
        uploader.try_start(now, &held, 0, false),
        Err(UploadDenial::Spent)
    );
    now += REFILL.delay;
    assert_eq!(
        uploader.try_start(now, &held, 0, false),
        Err(UploadDenial::Spent)
    );
    now += std::time::Duration::from_hours(1);
    for chunk in 0..CHUNKS {
        assert_eq!(uploader.try_start(now, &held, chunk, false), Ok(()));
        uploader.release_slot();
    }
}

#[test]
fn starved_vms_are_granted_chunks_within_the_hard_limit() {
    let grant_timeout = std::time::Duration::from_secs(10);
    let limits = ledger::GrantLimits::new(Policy::OriginFirst, grant_timeout);
    let mut now = std::time::Instant::now();
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut times = ledger::GrantTimes::default();
    let participant = |index: u32, held: chunks::ChunkSet| ledger::Participant {
        vm: format!("vm-{index}").parse().expect("a name"),
        incarnation: id::Incarnation::new(1),
        starved: !held.is_full(),
        failed_grants: Vec::new(),
        leaving: false,
        held,
    };
    let complete = participant(0, chunks::ChunkSet::full(CHUNKS));
    let starved = (1..4).map(|index| participant(index, chunks::ChunkSet::new(CHUNKS)));
    let participants: Vec<_> = std::iter::once(complete).chain(starved).collect();
    let empty = ledger::Participant {
        held: chunks::ChunkSet::new(CHUNKS),
        ..participants[0].clone()
    };
    while ledger.grants().len() < ledger.grant_max() {
        ledger.extend(
            now,
            &availability(std::slice::from_ref(&empty)),
            &mut times,
            limits,
        );
        ledger.extend(now, &availability(&participants), &mut times, limits);
        now += grant_timeout / 2;
    }
    let policy_limit = ledger.grants().len();
    for _ in 0..1_000 {
        now += grant_timeout;
        ledger.extend(now, &availability(&participants), &mut times, limits);
    }
    assert!(ledger.grants().len() > policy_limit);
    let granted = u32::try_from(ledger.grants().len()).expect("few grants");
    assert!(granted * 100 <= CHUNKS * ORIGIN_LIMIT_PERCENT);
}

/// Repeated grants during an outage of the origin use up the policy's limit. The chunks that were
/// not granted before have to be granted all the same.
#[test]
fn first_grants_are_made_after_repeated_grants_used_up_the_policy_limit() {
    let grant_timeout = Duration::from_millis(1_500);
    let limits = ledger::GrantLimits::new(Policy::OriginFirst, grant_timeout);
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut times = ledger::GrantTimes::default();
    let start = Instant::now();
    // No granted chunk is downloaded, so the first chunks are granted repeatedly.
    let participants = participants_holding(|_| chunks::ChunkSet::new(CHUNKS));
    for round in 0..4 {
        let now = start + grant_timeout * round * 2;
        ledger.extend(now, &availability(&participants), &mut times, limits);
    }
    let granted: Vec<u32> = ledger.grants().iter().map(|grant| grant.chunk).collect();
    assert!(granted.len() > ledger.grant_max(), "{granted:?}");
    let missing: Vec<u32> = (0..CHUNKS)
        .filter(|chunk| !granted.contains(chunk))
        .collect();
    assert!(!missing.is_empty(), "{granted:?}");
    // The origin recovers, and the granted chunks are downloaded.
    let mut held = chunks::ChunkSet::full(CHUNKS);
    for chunk in &missing {
        held.remove(*chunk);
    }
    let participants = participants_holding(|_| held.clone());
    let now = start + grant_timeout * 10;
    ledger.extend(now, &availability(&participants), &mut times, limits);
    for chunk in missing {
        let is_granted = ledger.grants().iter().any(|grant| grant.chunk == chunk);
        assert!(is_granted, "chunk {chunk}");
    }
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

/// Two leaving VMs were granted chunks, which were lost with them, and an outage of the origin
/// began before the chunks were granted again.
#[test]
fn leaving_vms_receive_no_grants_and_their_chunks_do_not_count() {
    let limits = ledger::GrantLimits::new(Policy::OriginFirst, Duration::from_millis(1_500));
    let now = Instant::now();
    let mut participants = participants_holding(|_| chunks::ChunkSet::new(CHUNKS));
    participants[0].held = chunks::ChunkSet::full(CHUNKS);
    participants[0].leaving = true;
    participants[1].leaving = true;
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut times = ledger::GrantTimes::default();
    ledger.extend(now, &availability(&participants), &mut times, limits);
    assert!(!ledger.grants().is_empty());
    for grant in ledger.grants() {
        let is_leaving =
            |participant: &ledger::Participant| participant.vm == grant.vm && participant.leaving;
        assert!(!participants.iter().any(is_leaving), "{grant:?}");
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

/// After an outage of six seconds the origin got no request until the next grant, more than a
/// second after its recovery, because the downloads of granted chunks were not retried.
#[test]
fn the_download_of_a_granted_chunk_is_retried_until_the_origin_is_reached() {
    let domain = "domain-0".parse().expect("a name");
    let mut downloader = downloader::Downloader::new(LIMITS, domain, CHUNKS);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let start = Instant::now();
    downloader.record_grant(start, 3, 0);
    let mut attempts_ms = Vec::new();
    for after_ms in (0..3_000).step_by(20) {
        let now = start + Duration::from_millis(after_ms);
        if let Some(fetch) = downloader.start_next(now, &mut rng) {
            attempts_ms.push(after_ms);
            downloader.record_failure(now, &fetch, downloader::FetchFailure::Unreachable);
        }
    }
    assert_eq!(attempts_ms, [0, 200, 400, 600, 800, 1_000, 1_200]);
}

/// The origin has sent bytes in a transfer that was interrupted or corrupt, so the grant is used.
#[rstest]
#[case(downloader::FetchFailure::Stalled)]
#[case(downloader::FetchFailure::Corrupt)]
fn a_grant_is_used_only_once_if_the_origin_was_reached(#[case] failure: downloader::FetchFailure) {
    let domain = "domain-0".parse().expect("a name");
    let mut downloader = downloader::Downloader::new(LIMITS, domain, CHUNKS);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let start = Instant::now();
    downloader.record_grant(start, 3, 0);
    let fetch = downloader
        .start_next(start, &mut rng)
        .expect("a granted chunk");
    downloader.record_failure(start, &fetch, failure);
    downloader.record_grant(start, 3, 0);
    let later = start + Duration::from_secs(1);
    assert_eq!(downloader.start_next(later, &mut rng), None);
}

/// The chunks that were granted to a lost VM were granted again only after the grant timeout, and
/// by then an outage of the origin had begun.
#[test]
fn chunks_granted_to_a_lost_vm_are_granted_again_at_once() {
    let limits = ledger::GrantLimits::new(Policy::OriginFirst, Duration::from_millis(1_500));
    let start = Instant::now();
    let participants = participants_holding(|_| chunks::ChunkSet::new(CHUNKS));
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut times = ledger::GrantTimes::default();
    ledger.extend(start, &availability(&participants), &mut times, limits);
    let lost = ledger.grants()[0].vm.clone();
    let lost_chunks: Vec<u32> = ledger
        .grants()
        .iter()
        .filter(|grant| grant.vm == lost)
        .map(|grant| grant.chunk)
        .collect();
    let others: Vec<_> = participants
        .into_iter()
        .filter(|participant| participant.vm != lost)
        .collect();
    let mut held = chunks::ChunkSet::full(CHUNKS);
    for chunk in &lost_chunks {
        held.remove(*chunk);
    }
    let others: Vec<_> = others
        .into_iter()
        .map(|participant| ledger::Participant {
            held: held.clone(),
            ..participant
        })
        .collect();
    let soon = start + Duration::from_millis(200);
    ledger.extend(soon, &availability(&others), &mut times, limits);
    for chunk in lost_chunks {
        let granted = ledger.grants().iter().filter(|grant| grant.chunk == chunk);
        assert_eq!(granted.count(), 2, "chunk {chunk}");
    }
    // The VMs that were granted the chunks are alive, so nothing more is granted.
    let granted = ledger.grants().len();
    let later = start + Duration::from_millis(400);
    ledger.extend(later, &availability(&others), &mut times, limits);
    assert_eq!(ledger.grants().len(), granted);
}

/// A chunk whose download from the origin was interrupted was granted again only after the grant
/// timeout, and by then an outage of the origin had begun.
#[test]
fn a_chunk_whose_download_failed_is_granted_again_at_once() {
    let limits = ledger::GrantLimits::new(Policy::OriginFirst, Duration::from_millis(1_500));
    let start = Instant::now();
    let mut participants = participants_holding(|_| chunks::ChunkSet::new(CHUNKS));
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut times = ledger::GrantTimes::default();
    ledger.extend(start, &availability(&participants), &mut times, limits);
    let failed = ledger.grants()[0].clone();
    for participant in &mut participants {
        participant.held = chunks::ChunkSet::full(CHUNKS);
        participant.held.remove(failed.chunk);
        if participant.vm == failed.vm {
            let (chunk, serial) = (failed.chunk, failed.serial);
            participant.failed_grants = vec![burst::GrantId { chunk, serial }];
        }
    }
    let soon = start + Duration::from_millis(200);
    ledger.extend(soon, &availability(&participants), &mut times, limits);
    let granted = ledger
        .grants()
        .iter()
        .filter(|grant| grant.chunk == failed.chunk);
    assert_eq!(granted.count(), 2);
}

/// A download from the origin took longer than its grant was valid, and then failed. The failure was
/// not reported, so the chunk was granted again only after the grant's timeout.
#[rstest]
#[case::interrupted(downloader::FetchFailure::Stalled)]
#[case::not_reached(downloader::FetchFailure::Unreachable)]
fn the_failure_of_a_download_whose_grant_has_expired_is_reported(
    #[case] failure: downloader::FetchFailure,
) {
    let limits = downloader::DownloaderLimits {
        concurrent_downloads_max: 4,
        peers_max: 8,
        busy_backoff: Duration::from_millis(30),
        fault_backoff: Duration::from_secs(1),
        overdraft_after: Duration::from_secs(3),
        origin_backoff: Duration::from_millis(200),
        grant_lifetime: Duration::from_millis(1_400),
        prefer_same_domain: false,
    };
    let domain = "domain-1".parse().expect("a name");
    let mut downloader = downloader::Downloader::new(limits, domain, CHUNKS);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let granted_at = Instant::now();
    downloader.record_grant(granted_at, 3, 1);
    let fetch = downloader
        .start_next(granted_at, &mut rng)
        .expect("a download");
    let later = granted_at + Duration::from_secs(2);
    assert_eq!(downloader.start_next(later, &mut rng), None);
    downloader.record_failure(later, &fetch, failure);
    let failed: Vec<_> = downloader
        .failed_grants()
        .iter()
        .map(|grant| grant.chunk)
        .collect();
    assert_eq!(failed, [3]);
}

/// The first VM to report was granted every chunk. The credit for its uploads did not suffice to pass
/// them on to five others, which then waited for one grant each at a time.
#[test]
fn the_first_vm_to_report_is_not_granted_every_chunk() {
    let limits = ledger::GrantLimits::new(Policy::OriginFirst, Duration::from_secs(2))
        .shared_by(u32::try_from(PARTICIPANTS).expect("few VMs"));
    let start = Instant::now();
    let participants = participants_holding(|_| chunks::ChunkSet::new(CHUNKS));
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut times = ledger::GrantTimes::default();
    ledger.extend(start, &availability(&participants[..1]), &mut times, limits);
    ledger.extend(start, &availability(&participants[..1]), &mut times, limits);
    let own_share = 16_usize.div_ceil(PARTICIPANTS);
    assert_eq!(ledger.grants().len(), own_share);
    let soon = start + Duration::from_millis(100);
    ledger.extend(soon, &availability(&participants), &mut times, limits);
    assert_eq!(ledger.grants().len(), 16);
    for participant in &participants {
        let granted = ledger.grants_of(&participant.vm, participant.incarnation);
        assert!(granted.count() <= own_share, "{}", participant.vm);
    }
}

/// Five starved VMs were all granted the same chunk, so that the origin sent each chunk five times and
/// none of them had anything for the others.
#[test]
fn starved_vms_are_granted_different_chunks() {
    let grant_timeout = Duration::from_secs(2);
    let limits = ledger::GrantLimits::new(Policy::OriginFirst, grant_timeout);
    let start = Instant::now();
    let mut participants = participants_holding(|_| chunks::ChunkSet::new(CHUNKS));
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut times = ledger::GrantTimes::default();
    ledger.extend(start, &availability(&participants[..1]), &mut times, limits);
    participants[0].held = chunks::ChunkSet::full(CHUNKS);
    ledger.extend(start, &availability(&participants[..1]), &mut times, limits);
    for chunk in 0..CHUNKS {
        let is_granted = ledger.grants().iter().any(|grant| grant.chunk == chunk);
        if !is_granted {
            participants[0].held.remove(chunk);
            ledger.extend(start, &availability(&participants[..1]), &mut times, limits);
            participants[0].held.insert(chunk);
        }
    }
    for participant in &mut participants[1..] {
        participant.held = chunks::ChunkSet::full(CHUNKS);
        for missing in 3..10 {
            participant.held.remove(missing);
        }
        participant.starved = true;
    }
    // The policy's limit is used up first; the hard limit applies once nothing was granted for long.
    let later = start + grant_timeout * 2;
    ledger.extend(later, &availability(&participants), &mut times, limits);
    let granted_before = ledger.grants().len();
    assert_eq!(granted_before, ledger.grant_max());
    let much_later = start + grant_timeout * 4;
    ledger.extend(much_later, &availability(&participants), &mut times, limits);
    let mut granted: Vec<u32> = ledger.grants()[granted_before..]
        .iter()
        .map(|grant| grant.chunk)
        .collect();
    let count = granted.len();
    granted.sort_unstable();
    granted.dedup();
    assert_eq!(count, PARTICIPANTS - 1, "{granted:?}");
    assert_eq!(granted.len(), count, "{granted:?}");
}

/// A VM that alone had every chunk used up its credit on chunks that peers had taken already, and the
/// others stayed with it.
#[test]
fn a_vm_passes_on_each_chunk_from_the_origin_before_its_credit_is_used_up() {
    let mut uploader = Uploader::new(CHUNKS, 200, 3, REFILL);
    let held = chunks::ChunkSet::full(CHUNKS);
    let now = Instant::now();
    for chunk in 0..CHUNKS {
        uploader.record_downloaded();
        uploader.record_introduced(chunk);
    }
    let mut passed_on = chunks::ChunkSet::new(CHUNKS);
    // Each chunk is requested three times before the next one.
    for chunk in (0..CHUNKS).flat_map(|chunk| [chunk; 3]) {
        if uploader.try_start(now, &held, chunk, false).is_ok() {
            uploader.release_slot();
            passed_on.insert(chunk);
        }
    }
    assert!(passed_on.is_full(), "{passed_on:?}");
    assert_eq!(uploader.uploaded_count(), CHUNKS);
    let next = uploader.try_start(now, &held, 0, false);
    assert_eq!(next, Err(UploadDenial::Spent));
}

#[test]
fn credit_is_kept_only_for_chunks_that_were_not_passed_on() {
    let mut uploader = Uploader::new(CHUNKS, 200, 3, REFILL);
    let held = chunks::ChunkSet::full(CHUNKS);
    let now = Instant::now();
    uploader.record_introduced(1);
    uploader.record_introduced(2);
    let mut start = |chunk| {
        let started = uploader.try_start(now, &held, chunk, false);
        if started.is_ok() {
            uploader.release_slot();
        }
        started
    };
    for upload in 1..CHUNKS {
        assert_eq!(start(1), Ok(()), "upload {upload}");
    }
    assert_eq!(start(1), Err(UploadDenial::Busy));
    assert_eq!(start(2), Ok(()));
    assert_eq!(start(1), Err(UploadDenial::Spent));
}

/// Credit that is kept for chunks that nobody requests would keep the last VMs waiting for ever.
#[test]
fn credit_is_not_kept_for_chunks_that_peers_have_from_elsewhere() {
    let mut uploader = Uploader::new(CHUNKS, 200, 3, REFILL);
    let held = chunks::ChunkSet::full(CHUNKS);
    let now = Instant::now();
    (0..CHUNKS).for_each(|chunk| uploader.record_introduced(chunk));
    assert_eq!(uploader.try_start(now, &held, 0, false), Ok(()));
    uploader.release_slot();
    let again = uploader.try_start(now, &held, 0, false);
    assert_eq!(again, Err(UploadDenial::Busy));
    let later = now + Duration::from_secs(2);
    assert_eq!(uploader.try_start(later, &held, 0, false), Ok(()));
}

/// An agent that had gone on to the next version kept its grants of the one before until the timeout.
#[test]
fn chunks_granted_to_a_vm_that_downloads_another_version_are_granted_again_at_once() {
    let limits = ledger::GrantLimits::new(Policy::OriginFirst, Duration::from_millis(1_500));
    let now = Instant::now();
    let participants = participants_holding(|_| chunks::ChunkSet::new(CHUNKS));
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut times = ledger::GrantTimes::default();
    ledger.extend(now, &availability(&participants), &mut times, limits);
    let gone_on = &participants[0];
    let lost: Vec<u32> = ledger
        .grants_of(&gone_on.vm, gone_on.incarnation)
        .map(|grant| grant.chunk)
        .collect();
    assert!(!lost.is_empty());
    let mut without = availability(&participants[1..]);
    without.add_holder(&gone_on.held);
    let before = ledger.grants().len();
    ledger.extend(now, &without, &mut times, limits);
    let again = &ledger.grants()[before..];
    for chunk in lost {
        let is_again = again.iter().any(|grant| grant.chunk == chunk);
        assert!(is_again, "chunk {chunk}: {again:?}");
    }
    assert!(again.iter().all(|grant| grant.vm != gone_on.vm));
}

/// What an agent that downloads another version holds is not fetched from the origin again.
#[test]
fn chunks_of_a_vm_that_downloads_another_version_are_not_granted() {
    let limits = ledger::GrantLimits::new(Policy::OriginFirst, Duration::from_millis(1_500));
    let participants = participants_holding(|_| chunks::ChunkSet::new(CHUNKS));
    let mut held = chunks::ChunkSet::full(CHUNKS);
    held.remove(3);
    let mut with_holder = availability(&participants);
    with_holder.add_holder(&held);
    let mut ledger = ledger::Ledger::new(CHUNKS, Policy::OriginFirst);
    let mut times = ledger::GrantTimes::default();
    assert_eq!(ledger.ungranted_count(), CHUNKS as usize);
    ledger.extend(Instant::now(), &with_holder, &mut times, limits);
    let granted: Vec<u32> = ledger.grants().iter().map(|grant| grant.chunk).collect();
    assert_eq!(granted, [3]);
    assert_eq!(ledger.ungranted_count(), CHUNKS as usize - 1);
}
