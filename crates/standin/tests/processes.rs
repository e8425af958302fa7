//! Tests of the binaries as separate processes: the complete request path, and processes that are
//! killed, suspended or terminated while a response is being sent.

mod support;

use std::time;

use pimentohook_standin::caller::Outcome;

use support::ProcessFleet;

const LONG_PROMPT: &str = "tokens=150 a long draft";

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_and_new_weights_are_rolled_out() {
    let fleet = ProcessFleet::start(2, 2).await;
    let outcome = fleet.send("request-1", 0, true, "tokens=5").await;
    ProcessFleet::assert_completed(&outcome, "request-1", "tokens=5");
    fleet.roll_out("v2").await;
    fleet
        .wait_until_live(2, time::Duration::from_secs(30))
        .await;
    let outcome = fleet.send("request-2", 1, false, "tokens=5").await;
    ProcessFleet::assert_completed(&outcome, "request-2", "tokens=5");
    assert_eq!(fleet.run_count("request-2").await, 1);
    assert_eq!(fleet.mixed_count().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_does_not_affect_the_response() {
    let mut fleet = ProcessFleet::start(2, 2).await;
    let pending = fleet.send_in_background("request-1", 0, false, LONG_PROMPT);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    fleet.kill_entry(0);
    let outcome = pending.await.expect("the task completes");
    ProcessFleet::assert_completed(&outcome, "request-1", LONG_PROMPT);
    assert_eq!(fleet.run_count("request-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_agent_causes_neither_a_truncated_response_nor_a_second_run() {
    let mut fleet = ProcessFleet::start(1, 2).await;
    let pending = fleet.send_in_background("request-1", 0, false, LONG_PROMPT);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    fleet.kill_agent_running("request-1").await;
    let outcome = pending.await.expect("the task completes");
    assert!(
        matches!(outcome, Outcome::Interrupted | Outcome::Unknown),
        "{outcome:?}"
    );
    assert_eq!(fleet.run_count("request-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn suspended_agent_completes_or_interrupts_the_response() {
    let fleet = ProcessFleet::start(1, 2).await;
    let pending = fleet.send_in_background("request-1", 0, false, LONG_PROMPT);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    let vm_index = fleet.suspend_agent_running("request-1").await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    fleet.resume_agent(vm_index);
    let outcome = pending.await.expect("the task completes");
    if let Outcome::Completed { .. } = &outcome {
        ProcessFleet::assert_completed(&outcome, "request-1", LONG_PROMPT);
    } else {
        assert!(
            matches!(outcome, Outcome::Interrupted | Outcome::Unknown),
            "{outcome:?}"
        );
    }
    assert_eq!(fleet.run_count("request-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_of_an_agent_completes_the_response() {
    let fleet = ProcessFleet::start(1, 2).await;
    let pending = fleet.send_in_background("request-1", 0, false, LONG_PROMPT);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    fleet.terminate_agent_running("request-1").await;
    let outcome = pending.await.expect("the task completes");
    ProcessFleet::assert_completed(&outcome, "request-1", LONG_PROMPT);
    // The other replica keeps serving.
    let outcome = fleet.send("request-2", 0, true, "tokens=5").await;
    ProcessFleet::assert_completed(&outcome, "request-2", "tokens=5");
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_of_an_entry_completes_the_response_and_delists_it() {
    let fleet = ProcessFleet::start(2, 2).await;
    let pending = fleet.send_in_background("request-1", 0, false, LONG_PROMPT);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    fleet.terminate_entry(0);
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    let listed = fleet.listed_entries(1).await;
    assert_eq!(listed, vec![fleet.entry(1)]);
    // A caller may still use a cached list: an entry keeps serving while it shuts down.
    let outcome = fleet.send("request-2", 0, true, "tokens=5").await;
    ProcessFleet::assert_completed(&outcome, "request-2", "tokens=5");
    let outcome = pending.await.expect("the task completes");
    ProcessFleet::assert_completed(&outcome, "request-1", LONG_PROMPT);
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_need_a_token_and_only_one_conflicting_plan_is_confirmed() {
    let fleet = ProcessFleet::start(2, 1).await;
    assert_eq!(fleet.status_without_token().await, 401);
    let first = fleet.plan("v2", 0).await;
    let second = fleet.plan("v2", 1).await;
    assert_eq!(fleet.confirm(&first, 0).await, 200);
    assert_eq!(fleet.confirm(&second, 1).await, 409);
    // Confirming the accepted plan is idempotent, also through another entry.
    assert_eq!(fleet.confirm(&first, 1).await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_restarted_at_the_same_address_runs_no_request_twice() {
    let mut fleet = ProcessFleet::start(2, 1).await;
    let pending = fleet.send_in_background("request-1", 0, false, LONG_PROMPT);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    fleet.kill_agent_running("request-1").await;
    fleet.restart_agent(0).await;
    let outcome = pending.await.expect("the task completes");
    assert!(
        matches!(outcome, Outcome::Interrupted | Outcome::Unknown),
        "{outcome:?}"
    );
    let retried = fleet.retry("request-1", 1, 2, LONG_PROMPT).await;
    assert_eq!(retried, Outcome::Unknown);
    assert_eq!(fleet.run_count("request-1").await, 1);
    let outcome = fleet.send("request-2", 1, false, "tokens=5").await;
    ProcessFleet::assert_completed(&outcome, "request-2", "tokens=5");
}

#[tokio::test(flavor = "multi_thread")]
async fn lease_holder_suspended_past_its_lease_does_not_mix_weights() {
    let fleet = ProcessFleet::start(2, 3).await;
    fleet.roll_out("v2").await;
    let holder = fleet.duty_holder().await;
    fleet.suspend_entry(holder);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    fleet.resume_entry(holder);
    fleet
        .wait_until_live(3, time::Duration::from_secs(30))
        .await;
    assert_eq!(fleet.mixed_count().await, 0);
    let outcome = fleet.send("request-1", holder, true, "tokens=5").await;
    ProcessFleet::assert_completed(&outcome, "request-1", "tokens=5");
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_restarted_during_an_outage_takes_the_configuration_from_its_peers() {
    let mut fleet = ProcessFleet::start(2, 1).await;
    let before = fleet.config_version(1).await;
    fleet.set_platform_down(true).await;
    fleet.kill_entry(0);
    fleet.restart_entry(0);
    fleet.wait_until_serving_config(0, before).await;
    let outcome = fleet.send("request-1", 0, true, "tokens=5").await;
    ProcessFleet::assert_completed(&outcome, "request-1", "tokens=5");
    fleet.set_platform_down(false).await;
}
