//! The separate binaries as processes: the whole path, and kills, freezes and stops in mid-answer.

mod support;

use std::time;

use pimentohook_standin::caller::RequestOutcome;

use support::Site;

const LONG: &str = "tokens=150 a long draft";

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_and_new_weights_go_into_service() {
    let site = Site::start(2, 2).await;
    let told = site.send("request-1", 0, true, "tokens=5").await;
    Site::assert_whole(&told, "request-1", "tokens=5");
    site.roll_out("v2").await;
    site.wait_live(2, time::Duration::from_secs(30)).await;
    let told = site.send("request-2", 1, false, "tokens=5").await;
    Site::assert_whole(&told, "request-2", "tokens=5");
    assert_eq!(site.run_count("request-2").await, 1);
    assert_eq!(site.mixed_count().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_in_mid_answer_costs_its_caller_nothing() {
    let mut site = Site::start(2, 2).await;
    let sending = site.send_in_background("request-1", 0, false, LONG);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    site.kill_entry(0);
    let told = sending.await.expect("the caller ends");
    Site::assert_whole(&told, "request-1", LONG);
    assert_eq!(site.run_count("request-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_in_mid_answer_never_gives_a_clean_end_or_a_second_run() {
    let mut site = Site::start(1, 2).await;
    let sending = site.send_in_background("request-1", 0, false, LONG);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    site.kill_agent_running("request-1").await;
    let told = sending.await.expect("the caller ends");
    assert!(
        matches!(told, RequestOutcome::Interrupted | RequestOutcome::Unknown),
        "{told:?}"
    );
    assert_eq!(site.run_count("request-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_frozen_in_mid_answer_and_thawed_ends_the_answer_whole_or_broken() {
    let site = Site::start(1, 2).await;
    let sending = site.send_in_background("request-1", 0, false, LONG);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    let frozen = site.freeze_agent_running("request-1").await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    site.thaw(frozen);
    let told = sending.await.expect("the caller ends");
    if let RequestOutcome::Completed { .. } = &told {
        Site::assert_whole(&told, "request-1", LONG);
    } else {
        assert!(
            matches!(told, RequestOutcome::Interrupted | RequestOutcome::Unknown),
            "{told:?}"
        );
    }
    assert_eq!(site.run_count("request-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_told_to_stop_in_mid_answer_cuts_nothing() {
    let site = Site::start(1, 2).await;
    let sending = site.send_in_background("request-1", 0, false, LONG);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    site.terminate_agent_running("request-1").await;
    let told = sending.await.expect("the caller ends");
    Site::assert_whole(&told, "request-1", LONG);
    // The other replica goes on serving.
    let told = site.send("request-2", 0, true, "tokens=5").await;
    Site::assert_whole(&told, "request-2", "tokens=5");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_told_to_stop_in_mid_answer_cuts_nothing_and_leaves_the_list() {
    let site = Site::start(2, 2).await;
    let sending = site.send_in_background("request-1", 0, false, LONG);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    site.terminate_entry(0);
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    let listed = site.listed_entries(1).await;
    assert_eq!(listed, vec![site.entry(1)]);
    // The list that a caller kept is still good: the leaving entry serves on meanwhile.
    let told = site.send("request-2", 0, true, "tokens=5").await;
    Site::assert_whole(&told, "request-2", "tokens=5");
    let told = sending.await.expect("the caller ends");
    Site::assert_whole(&told, "request-1", LONG);
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_need_a_token_and_race_fairly() {
    let site = Site::start(2, 1).await;
    assert_eq!(site.status_without_token().await, 401);
    let first = site.plan("v2", 0).await;
    let second = site.plan("v2", 1).await;
    assert_eq!(site.confirm(&first, 0).await, 200);
    assert_eq!(site.confirm(&second, 1).await, 409);
    // The winner's tap may come twice, through either entry.
    assert_eq!(site.confirm(&first, 1).await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_replaced_at_the_same_address_runs_nothing_a_second_time() {
    let mut site = Site::start(2, 1).await;
    let sending = site.send_in_background("request-1", 0, false, LONG);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    site.kill_agent_running("request-1").await;
    site.restart_agent(0).await;
    let told = sending.await.expect("the caller ends");
    assert!(
        matches!(told, RequestOutcome::Interrupted | RequestOutcome::Unknown),
        "{told:?}"
    );
    let again = site.send_again("request-1", 1, 2, LONG).await;
    assert_eq!(again, RequestOutcome::Unknown);
    assert_eq!(site.run_count("request-1").await, 1);
    let told = site.send("request-2", 1, false, "tokens=5").await;
    Site::assert_whole(&told, "request-2", "tokens=5");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_frozen_past_its_lease_and_thawed_leaves_weights_whole() {
    let site = Site::start(2, 3).await;
    site.roll_out("v2").await;
    let holder = site.duty_holder().await;
    site.freeze_entry(holder);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    site.thaw_entry(holder);
    site.wait_live(3, time::Duration::from_secs(30)).await;
    assert_eq!(site.mixed_count().await, 0);
    let told = site.send("request-1", holder, true, "tokens=5").await;
    Site::assert_whole(&told, "request-1", "tokens=5");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_restarts_in_an_outage_takes_the_configuration_of_its_peers() {
    let mut site = Site::start(2, 1).await;
    let before = site.config_version(1).await;
    site.set_platform_down(true).await;
    site.kill_entry(0);
    site.restart_entry(0);
    site.wait_config_version(0, before).await;
    let told = site.send("request-1", 0, true, "tokens=5").await;
    Site::assert_whole(&told, "request-1", "tokens=5");
    site.set_platform_down(false).await;
}
