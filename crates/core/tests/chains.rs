//! Rendezvous chains that entries with different views compute for the same request, failover along
//! a chain, and the agents' records and limits that it relies on.

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

/// One agent as seen by two entries, each of which may consider it departed.
#[derive(Clone, Copy, Debug)]
struct AgentCase {
    started_ms: u64,
    departed_for_first: bool,
    departed_for_second: bool,
    /// Whether the second entry sees the agent only once the agent has reached the join age.
    seen_late: bool,
}

fn agent_case() -> impl Strategy<Value = AgentCase> {
    let departed = || prop::bool::weighted(0.3);
    // The first entry plans 100 s after the epoch; agents start up to 10 s before that, or long
    // ago.
    let started_ms = prop_oneof![3 => Just(0_u64), 2 => 90_000_u64..100_000];
    (started_ms, departed(), departed(), any::<bool>()).prop_map(
        |(started_ms, first, second, late)| AgentCase {
            started_ms,
            departed_for_first: first,
            departed_for_second: second,
            seen_late: late,
        },
    )
}

fn view(
    epoch: time::Instant,
    agent_cases: &[AgentCase],
    at_ms: u64,
    first: bool,
) -> membership::View {
    let mut view = membership::View::new(membership::ViewLimits {
        silence_max: time::Duration::from_secs(2),
        window: WINDOW,
        join_age: JOIN_AGE,
    });
    for (index, agent_case) in agent_cases.iter().enumerate() {
        let departed = if first {
            agent_case.departed_for_first
        } else {
            agent_case.departed_for_second
        };
        let age_ms = at_ms.saturating_sub(agent_case.started_ms);
        let is_unseen = !first && agent_case.seen_late && u128::from(age_ms) < JOIN_AGE.as_millis();
        if agent_case.started_ms > at_ms || is_unseen {
            continue;
        }
        // A departed agent was last seen four seconds ago.
        let last_seen_ms = if departed { at_ms - 4_000 } else { at_ms };
        let uptime_ms = last_seen_ms.saturating_sub(agent_case.started_ms);
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
        view.record(epoch + time::Duration::from_millis(last_seen_ms), report);
    }
    view.expire(epoch + time::Duration::from_millis(at_ms));
    view
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn a_later_attempt_revokes_at_every_agent_that_a_first_one_may_have_used(
        agent_cases in prop::collection::vec(agent_case(), 1..12),
        later_ms in 0_u64..30_000,
        request in 0_u32..1_000,
    ) {
        let epoch = time::Instant::now();
        let at = |ms: u64| epoch + time::Duration::from_millis(ms);
        let request_id = name(&format!("request-{request}"));
        let service = name("hooks");
        let first = view(epoch, &agent_cases, 100_000, true)
            .first_attempt_chain(at(100_000), &service, &request_id, CHAIN_LENGTH);
        let later = view(epoch, &agent_cases, 100_000 + later_ms, false)
            .earlier_attempt_chain(at(100_000 + later_ms), &service, &request_id, CHAIN_LENGTH);
        for member in &first {
            let in_later = later.iter().any(|other| other.report.vm == member.report.vm);
            prop_assert!(
                in_later,
                "{} may have run the request but is not in the later chain",
                member.report.vm
            );
        }
    }
}

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |index| Candidate {
        vm: name(&format!("vm-{index}")),
        usable: true,
        complete_history: true,
    };
    (0..count).map(candidate).collect()
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
fn a_non_idempotent_request_fails_over_only_with_proof(#[case] event: Event, #[case] next: Step) {
    let mut failover = Failover::new(candidates(2), ATTEMPT, false);
    failover.record(event);
    assert_eq!(failover.step(), next);
}

#[rstest]
#[case::not_run(admission::RevocationReply::NotRun, Step::Dispatch { position: 1 })]
#[case::running(admission::RevocationReply::Running, Step::Relay { position: 0 })]
#[case::finished(admission::RevocationReply::Finished, Step::Relay { position: 0 })]
#[case::unknown(
    admission::RevocationReply::Unknown,
    Step::Fail(FailureOutcome::Unknown)
)]
fn a_revocation_reply_resolves_a_lost_dispatch(
    #[case] reply: admission::RevocationReply,
    #[case] next: Step,
) {
    let mut failover = Failover::new(candidates(2), ATTEMPT, false);
    failover.record(Event::ConnectionLost);
    failover.record(Event::RevocationReply(reply));
    assert_eq!(failover.step(), next);
}

#[test]
fn an_idempotent_request_fails_over_without_proof_but_is_not_reported_as_not_run() {
    let mut failover = Failover::new(candidates(2), ATTEMPT, true);
    failover.record(Event::ConnectionLost);
    failover.record(Event::RevocationReplyLost);
    assert_eq!(failover.step(), Step::Dispatch { position: 1 });
    failover.record(Event::NeverConnected);
    assert_eq!(failover.step(), Step::Fail(FailureOutcome::Unknown));
}

#[test]
fn without_candidates_the_caller_gets_a_retry_delay_at_once() {
    let failover = Failover::new(Vec::new(), ATTEMPT, false);
    let Step::Fail(FailureOutcome::NotRun { retry_after_ms }) = failover.step() else {
        panic!("{:?}", failover.step());
    };
    assert!(retry_after_ms > 0);
}

struct Fixture {
    epoch: time::Instant,
    table: admission::RequestTable,
}

const ENTRIES_MAX: usize = 4;

fn fixture() -> Fixture {
    let epoch = time::Instant::now();
    let limits = admission::RequestTableLimits {
        window: WINDOW,
        entries_max: ENTRIES_MAX,
        view_age_max: time::Duration::from_secs(3),
    };
    let slots = limits::FairSlots::new(8, WINDOW);
    let table = admission::RequestTable::new(id::Incarnation::new(7), epoch, limits, slots);
    Fixture { epoch, table }
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
        let conditions = admission::AdmissionConditions {
            openness: admission::AdmissionState::Open,
            weights: None,
            expected_duration: time::Duration::ZERO,
        };
        self.table.admit(
            self.epoch + time::Duration::from_secs(at_s),
            &dispatch,
            &conditions,
        )
    }
}

#[test]
fn a_dispatch_delayed_past_the_window_does_not_rerun_an_expired_request() {
    let mut fixture = fixture();
    assert_eq!(fixture.admit("draft", 1, 1), admission::Admission::Admitted);
    let ended_at = fixture.epoch + time::Duration::from_secs(2);
    fixture.table.finish(ended_at, &name("draft"));
    let delayed = fixture.admit("draft", 90, 1);
    let admission::Admission::Refused(refusal) = delayed else {
        panic!("{delayed:?}");
    };
    assert_eq!(refusal.reason, admission::RefusalReason::StaleView);
}

#[test]
fn a_revocation_with_a_view_older_than_the_window_is_unknown() {
    let mut fixture = fixture();
    let at = fixture.epoch + time::Duration::from_secs(90);
    let stamp = admission::ViewStamp::new(time::Duration::from_secs(1));
    let reply = fixture.table.revoke(at, &name("draft"), ATTEMPT, stamp);
    assert_eq!(reply, admission::RevocationReply::Unknown);
}

#[test]
fn a_full_table_refuses_without_revoking_and_recovers_after_the_window() {
    let mut fixture = fixture();
    for index in 0..ENTRIES_MAX {
        let stamp = fixture.table.view_stamp(fixture.epoch);
        let request = name(&format!("revoked-{index}"));
        fixture
            .table
            .revoke(fixture.epoch, &request, ATTEMPT, stamp);
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
    // The small organisation has requested a slot, so the large one may not acquire the released
    // one.
    assert_eq!(
        slots.try_acquire(now, &large),
        Err(limits::SlotDenial::OverShare)
    );
    assert_eq!(slots.try_acquire(now, &small), Ok(()));
}

#[test]
fn retries_stay_within_the_budget() {
    let budget = limits::RetryBudget::new(10, 20);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!(retries <= 1_020, "{retries} retries for 10,000 requests");
}
