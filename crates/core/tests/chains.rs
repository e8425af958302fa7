//! The chains that entries with different views compute for the same request.

use std::time;

use pimentohook_core::{
    admission, id, limits, membership,
    routing::failover::{Candidate, Event, Failover, FailureOutcome, Step},
};
use proptest::prelude::*;
use rstest::rstest;

const WINDOW: time::Duration = time::Duration::from_mins(1);
const JOIN_AGE: time::Duration = time::Duration::from_secs(5);
const CHAIN_LENGTH: usize = 3;

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    text.parse().expect("a valid name")
}

/// One agent: when it started, and whether each of two entries takes it for departed.
#[derive(Clone, Copy, Debug)]
struct Fact {
    started_ms: u64,
    departed_at_first: bool,
    departed_at_second: bool,
    /// Whether the second entry hears of it only once it has the age that all have heard by.
    heard_late: bool,
}

fn fact() -> impl Strategy<Value = Fact> {
    let departed = || prop::bool::weighted(0.3);
    // The first entry acts 100 s after time zero; agents start up to 10 s before that, or long ago.
    let started_ms = prop_oneof![3 => Just(0_u64), 2 => 90_000_u64..100_000];
    (started_ms, departed(), departed(), any::<bool>()).prop_map(
        |(started_ms, first, second, late)| Fact {
            started_ms,
            departed_at_first: first,
            departed_at_second: second,
            heard_late: late,
        },
    )
}

fn view(zero: time::Instant, facts: &[Fact], at_ms: u64, first: bool) -> membership::View {
    let mut view = membership::View::new(membership::ViewLimits {
        silence_max: time::Duration::from_secs(2),
        window: WINDOW,
        join_age: JOIN_AGE,
    });
    for (index, fact) in facts.iter().enumerate() {
        let departed = if first {
            fact.departed_at_first
        } else {
            fact.departed_at_second
        };
        let age_ms = at_ms.saturating_sub(fact.started_ms);
        let unheard = !first && fact.heard_late && u128::from(age_ms) < JOIN_AGE.as_millis();
        if fact.started_ms > at_ms || unheard {
            continue;
        }
        // A departed agent was heard of four seconds ago for the last time.
        let heard_ms = if departed { at_ms - 4_000 } else { at_ms };
        let uptime_ms = heard_ms.saturating_sub(fact.started_ms);
        let report = membership::AgentReport {
            vm: name(&format!("vm-{index}")),
            service: name("hooks"),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: name("fyn"),
            incarnation: id::Incarnation::new(1),
            view_stamp: admission::ViewStamp::new(time::Duration::from_millis(uptime_ms)),
            openness: admission::AdmissionState::Open,
            weights: None,
            slot_count: 1,
            running_count: 0,
            config_version: id::ConfigVersion::new(0),
            fencing: id::FencingNumber::new(0),
            burst: None,
        };
        view.record(zero + time::Duration::from_millis(heard_ms), report);
    }
    view.expire(zero + time::Duration::from_millis(at_ms));
    view
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn a_later_attempt_asks_every_agent_that_a_first_one_may_have_used(
        facts in prop::collection::vec(fact(), 1..12),
        later_ms in 0_u64..30_000,
        request in 0_u32..1_000,
    ) {
        let zero = time::Instant::now();
        let at = |ms: u64| zero + time::Duration::from_millis(ms);
        let request_id = name(&format!("request-{request}"));
        let service = name("hooks");
        let first = view(zero, &facts, 100_000, true)
            .first_attempt_chain(at(100_000), &service, &request_id, CHAIN_LENGTH);
        let later = view(zero, &facts, 100_000 + later_ms, false)
            .earlier_attempt_chain(at(100_000 + later_ms), &service, &request_id, CHAIN_LENGTH);
        for member in &first {
            let asked = later.iter().any(|one| one.report.vm == member.report.vm);
            prop_assert!(asked, "{} may have run it and is not asked", member.report.vm);
        }
    }
}

fn stops(count: usize) -> Vec<Candidate> {
    let stop = |index| Candidate {
        vm: name(&format!("vm-{index}")),
        usable: true,
        complete_history: true,
    };
    (0..count).map(stop).collect()
}

fn refused(reason: admission::RefusalReason, revoked: bool) -> Event {
    Event::Refused(admission::Refusal {
        reason,
        revoked,
        retry_after_ms: 10,
    })
}

const ATTEMPT: id::AttemptNumber = id::AttemptNumber::new(1);

#[rstest]
#[case::never_connected(Event::NeverConnected, Step::Dispatch { position: 1 })]
#[case::full(refused(admission::RefusalReason::Full, true), Step::Dispatch { position: 1 })]
#[case::superseded(
    refused(admission::RefusalReason::Revoked, true),
    Step::Fail(FailureOutcome::Unknown)
)]
#[case::no_record(
    refused(admission::RefusalReason::TableFull, false),
    Step::Fail(FailureOutcome::Unknown)
)]
#[case::lost(Event::ConnectionLost, Step::Revoke { position: 0, through: ATTEMPT })]
#[case::started(Event::Started, Step::Relay { position: 0 })]
fn a_non_idempotent_request_goes_on_only_with_proof(#[case] event: Event, #[case] next: Step) {
    let mut walk = Failover::new(stops(2), ATTEMPT, false);
    walk.record(event);
    assert_eq!(walk.step(), next);
}

#[rstest]
#[case::not_run(admission::RevocationReply::NotRun, Step::Dispatch { position: 1 })]
#[case::running(admission::RevocationReply::Running, Step::Relay { position: 0 })]
#[case::finished(admission::RevocationReply::Finished, Step::Relay { position: 0 })]
#[case::unknown(
    admission::RevocationReply::Unknown,
    Step::Fail(FailureOutcome::Unknown)
)]
fn a_lost_dispatch_is_settled_by_its_receipt(
    #[case] receipt: admission::RevocationReply,
    #[case] next: Step,
) {
    let mut walk = Failover::new(stops(2), ATTEMPT, false);
    walk.record(Event::ConnectionLost);
    walk.record(Event::RevocationReply(receipt));
    assert_eq!(walk.step(), next);
}

#[test]
fn an_idempotent_request_goes_on_without_proof_but_is_never_called_not_run() {
    let mut walk = Failover::new(stops(2), ATTEMPT, true);
    walk.record(Event::ConnectionLost);
    walk.record(Event::RevocationReplyLost);
    assert_eq!(walk.step(), Step::Dispatch { position: 1 });
    walk.record(Event::NeverConnected);
    assert_eq!(walk.step(), Step::Fail(FailureOutcome::Unknown));
}

#[test]
fn nobody_to_send_to_is_told_at_once_with_a_time_to_come_back() {
    let walk = Failover::new(Vec::new(), ATTEMPT, false);
    let Step::Fail(FailureOutcome::NotRun { retry_after_ms }) = walk.step() else {
        panic!("{:?}", walk.step());
    };
    assert!(retry_after_ms > 0);
}

struct Fixture {
    zero: time::Instant,
    table: admission::RequestTable,
}

const ENTRIES_MAX: usize = 4;

fn fixture() -> Fixture {
    let zero = time::Instant::now();
    let limits = admission::RequestTableLimits {
        window: WINDOW,
        entries_max: ENTRIES_MAX,
        view_age_max: time::Duration::from_secs(3),
    };
    let slots = limits::FairSlots::new(8, WINDOW);
    let table = admission::RequestTable::new(id::Incarnation::new(7), zero, limits, slots);
    Fixture { zero, table }
}

impl Fixture {
    fn admit(&mut self, request: &str, at_s: u64, stamp_s: u64) -> admission::Admission {
        let dispatch = admission::Dispatch {
            request_id: name(request),
            attempt: ATTEMPT,
            incarnation: id::Incarnation::new(7),
            view_stamp: admission::ViewStamp::new(time::Duration::from_secs(stamp_s)),
            organisation: name("member"),
            weights: None,
            idempotent: false,
            remaining_ms: 1_000,
        };
        let gate = admission::AdmissionConditions {
            openness: admission::AdmissionState::Open,
            weights: None,
            expected_duration: time::Duration::ZERO,
        };
        self.table.admit(
            self.zero + time::Duration::from_secs(at_s),
            &dispatch,
            &gate,
        )
    }
}

#[test]
fn a_dispatch_held_back_past_the_window_does_not_run_a_forgotten_request_again() {
    let mut fixture = fixture();
    assert_eq!(fixture.admit("draft", 1, 1), admission::Admission::Admitted);
    let ended_at = fixture.zero + time::Duration::from_secs(2);
    fixture.table.finish(ended_at, &name("draft"));
    let late = fixture.admit("draft", 90, 1);
    let admission::Admission::Refused(refusal) = late else {
        panic!("{late:?}");
    };
    assert_eq!(refusal.reason, admission::RefusalReason::StaleView);
}

#[test]
fn a_revocation_with_a_view_older_than_the_window_proves_nothing() {
    let mut fixture = fixture();
    let at = fixture.zero + time::Duration::from_secs(90);
    let stamp = admission::ViewStamp::new(time::Duration::from_secs(1));
    let receipt = fixture.table.revoke(at, &name("draft"), ATTEMPT, stamp);
    assert_eq!(receipt, admission::RevocationReply::Unknown);
}

#[test]
fn a_full_table_refuses_without_claiming_a_record_and_recovers_after_the_window() {
    let mut fixture = fixture();
    for index in 0..ENTRIES_MAX {
        let stamp = fixture.table.view_stamp(fixture.zero);
        let request = name(&format!("revoked-{index}"));
        fixture.table.revoke(fixture.zero, &request, ATTEMPT, stamp);
    }
    let refused = fixture.admit("draft", 1, 1);
    let admission::Admission::Refused(refusal) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.reason, admission::RefusalReason::TableFull);
    assert!(!refusal.revoked);
    assert_eq!(fixture.table.remembered_count(), ENTRIES_MAX);
    assert_eq!(
        fixture.admit("draft", 62, 62),
        admission::Admission::Admitted
    );
}

#[test]
fn one_organisation_cannot_starve_another() {
    let now = time::Instant::now();
    let mut slots = limits::FairSlots::new(8, WINDOW);
    let (large, small) = (name("large"), name("small"));
    while slots.try_acquire(now, &large).is_ok() {}
    assert_eq!(slots.in_use_count(), 8);
    assert_eq!(
        slots.try_acquire(now, &small),
        Err(limits::SlotDenial::Full)
    );
    slots.release(&large);
    // The small one has asked, so the large one may not take the slot that came free.
    assert_eq!(
        slots.try_acquire(now, &large),
        Err(limits::SlotDenial::OverShare)
    );
    assert_eq!(slots.try_acquire(now, &small), Ok(()));
}

#[test]
fn retries_stay_within_their_share_of_requests() {
    let budget = limits::RetryBudget::new(10, 20);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!(retries <= 1_020, "{retries} retries for 10,000 requests");
}
