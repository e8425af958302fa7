//! Faults on the path of a request: stalled connections, callers that leave, retries and refusals.

use std::time;

use pimentohook_standin::{
    caller::{Caller, Outcome},
    engine,
    fleet::{Fleet, FleetOptions},
    tcp_proxy,
};

use crate::support::{
    LONG_PROMPT, POLL_INTERVAL, SHORT_PROMPT, assert_completed, run_count, send, spec, start,
    wait_until, wait_until_running,
};

#[tokio::test(flavor = "multi_thread")]
async fn stalled_connection_to_an_agent_is_replaced_and_the_response_completes() {
    let fleet = start(&FleetOptions::default()).await;
    let spec = spec("request-1", false, LONG_PROMPT);
    let pending = send(&fleet, &spec);
    wait_until_running(&fleet, "request-1").await;
    fleet
        .engine_vms
        .iter()
        .for_each(|vm| vm.proxy.stall_open_connections());
    assert_completed(&pending.await.expect("the task completes"), &spec);
    assert_eq!(run_count(&fleet, "request-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_response_from_an_entry_is_resumed_through_another_entry() {
    let fleet = start(&FleetOptions::default()).await;
    let proxy = tcp_proxy::TcpProxy::start(fleet.entry_addresses[0]).await;
    let proxy = proxy.expect("the proxy starts");
    let spec = spec("request-1", false, LONG_PROMPT);
    let (caller, other_entry) = (Caller::new(), fleet.entry_addresses[1]);
    let pending = caller.send(proxy.address, std::slice::from_ref(&other_entry), &spec);
    let stalling = async {
        wait_until_running(&fleet, "request-1").await;
        tokio::time::sleep(POLL_INTERVAL * 10).await;
        proxy.stall_open_connections();
    };
    let (outcome, ()) = tokio::join!(pending, stalling);
    assert_completed(&outcome, &spec);
    assert_eq!(run_count(&fleet, "request-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_engine_does_not_end_a_truncated_response_normally() {
    let fleet = start(&FleetOptions::default()).await;
    let spec = spec("request-1", false, LONG_PROMPT);
    let pending = send(&fleet, &spec);
    wait_until_running(&fleet, "request-1").await;
    let faults = engine::Faults {
        silent: true,
        ..engine::Faults::default()
    };
    fleet
        .engine_vms
        .iter()
        .for_each(|vm| vm.engine.set_faults(faults));
    let outcome = pending.await.expect("the task completes");
    assert!(
        matches!(outcome, Outcome::Interrupted | Outcome::Unknown),
        "{outcome:?}"
    );
    assert_eq!(run_count(&fleet, "request-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_of_a_disconnected_caller_is_cancelled_at_the_engine() {
    let fleet = start(&FleetOptions::default()).await;
    let spec = spec("request-1", true, "tokens=2000 endless");
    let pending = send(&fleet, &spec);
    wait_until_running(&fleet, "request-1").await;
    pending.abort();
    let running_count = |fleet: &Fleet| {
        let counts = fleet.engine_vms.iter().map(|vm| vm.engine.running_count());
        counts.sum::<u32>()
    };
    wait_until("the request to be cancelled", || running_count(&fleet) == 0).await;
    let completed = fleet.engine_vms.iter().any(|vm| {
        let runs = vm.engine.runs();
        runs.completed.contains_key("request-1")
    });
    assert!(!completed);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_retried_through_another_entry_runs_once() {
    let fleet = start(&FleetOptions::default()).await;
    let mut spec = spec("request-1", false, LONG_PROMPT);
    let pending = send(&fleet, &spec);
    wait_until_running(&fleet, "request-1").await;
    spec.attempt = 2;
    let retried = Caller::new()
        .send(fleet.entry_addresses[1], &[], &spec)
        .await;
    assert_completed(&retried, &spec);
    assert_completed(&pending.await.expect("the task completes"), &spec);
    assert_eq!(run_count(&fleet, "request-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn full_fleet_refuses_requests_without_running_them_and_sends_a_retry_delay() {
    let options = FleetOptions {
        replica_count: 2,
        slot_count: 1,
        queue_max: 0,
        ..FleetOptions::default()
    };
    let fleet = start(&options).await;
    let pending_requests: Vec<_> = (0..2)
        .map(|index| send(&fleet, &spec(&format!("long-{index}"), false, LONG_PROMPT)))
        .collect();
    wait_until_running(&fleet, "long-0").await;
    wait_until_running(&fleet, "long-1").await;
    let refused = spec("refused", false, SHORT_PROMPT);
    let outcome = send(&fleet, &refused).await.expect("the task completes");
    let Outcome::NotRun { retry_after, .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert!(!retry_after.is_zero());
    for pending in pending_requests {
        pending.await.expect("the task completes");
    }
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    assert_eq!(run_count(&fleet, "refused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_with_a_client_error() {
    let fleet = start(&FleetOptions::default()).await;
    let caller = Caller::new();
    let entry = fleet.entry_addresses[0];
    let mut unknown_service = spec("request-1", true, SHORT_PROMPT);
    unknown_service.service = String::from("nothing");
    let mut oversized_body = spec("request-2", true, SHORT_PROMPT);
    oversized_body.body = "x".repeat((1 << 20) + 1);
    let mut invalid_organisation = spec("request-3", true, SHORT_PROMPT);
    invalid_organisation.organisation = String::from("two words");
    for (spec, expected_status) in [
        (unknown_service, 404),
        (oversized_body, 413),
        (invalid_organisation, 400),
    ] {
        let outcome = caller.send(entry, &[], &spec).await;
        let Outcome::Rejected(status) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(status.as_u16(), expected_status);
        assert_eq!(run_count(&fleet, spec.request_id.as_str()), 0);
    }
}
