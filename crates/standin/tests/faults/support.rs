//! A fleet in one process, its callers and its operators.

use std::{net, time};

use pimentohook_core::{id, intent};
use pimentohook_runtime::client;
use pimentohook_standin::{
    caller::{Caller, Outcome, RequestSpec},
    fleet::{self, Fleet, FleetOptions},
};

pub const LONG_PROMPT: &str = "tokens=100 a long draft";
pub const SHORT_PROMPT: &str = "tokens=5 a short draft";
pub const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

pub async fn start(options: &FleetOptions) -> Fleet {
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    assert!(
        fleet.wait_ready(READY_TIMEOUT).await,
        "the fleet did not become ready in time"
    );
    // Agents run non-idempotent requests only from this age on.
    tokio::time::sleep(options.join_age).await;
    fleet
}

pub fn spec(name: &str, idempotent: bool, body: &str) -> RequestSpec {
    RequestSpec {
        request_id: name.parse().expect("a valid name"),
        attempt: 1,
        service: String::from(fleet::MODEL_SERVICE),
        organisation: String::from("roofers"),
        idempotent,
        body: String::from(body),
        deadline: time::Duration::from_secs(4),
    }
}

pub fn send(fleet: &Fleet, spec: &RequestSpec) -> tokio::task::JoinHandle<Outcome> {
    let (spec, caller) = (spec.clone(), Caller::new());
    let entries = fleet.entry_addresses.clone();
    tokio::spawn(async move { caller.send(entries[0], &entries, &spec).await })
}

pub fn assert_completed(outcome: &Outcome, spec: &RequestSpec) {
    let Outcome::Completed { text, .. } = outcome else {
        panic!("{} ended with {outcome:?}", spec.request_id);
    };
    assert_eq!(
        *text,
        spec.expected_response(spec.service == fleet::PLAIN_SERVICE)
    );
}

pub fn run_count(fleet: &Fleet, name: &str) -> u32 {
    let vms = fleet.engine_vms.iter().chain(&fleet.plain_vms);
    let run_counts = vms.map(|vm| vm.engine.runs().started.get(name).copied().unwrap_or(0));
    run_counts.sum()
}

pub async fn wait_until<F>(what: &str, mut is_met: F)
where
    F: FnMut() -> bool,
{
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(
            time::Instant::now() < deadline,
            "timed out waiting for {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

pub async fn wait_until_running(fleet: &Fleet, name: &str) {
    wait_until("the request to run", || run_count(fleet, name) > 0).await;
}

pub fn operator_client() -> client::Client {
    client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED))
}

pub async fn create_plan(fleet: &Fleet, intent: &intent::Intent) -> intent::Plan {
    let entry = fleet.entry_addresses[0];
    let response =
        fleet::send_operator_request(&operator_client(), entry, "/v1/intents", Some(intent)).await;
    let (status, body) = response.expect("the entry responds");
    assert_eq!(status, 200, "{body:?}");
    serde_json::from_slice(&body).expect("the plan can be decoded")
}

pub fn rollout_intent(version: &str) -> intent::Intent {
    intent::Intent::RollOut {
        services: vec![fleet::MODEL_SERVICE.parse().expect("a valid name")],
        version: version.parse().expect("a valid name"),
    }
}

pub async fn create_rollout_plan(fleet: &Fleet) -> intent::Plan {
    create_plan(fleet, &rollout_intent("v2")).await
}

/// Creates a plan for an intent and confirms it.
pub async fn plan_and_confirm(fleet: &Fleet, intent: &intent::Intent) {
    let plan = create_plan(fleet, intent).await;
    assert_eq!(confirm(fleet, &plan).await.0, 200);
}

pub async fn confirm(fleet: &Fleet, plan: &intent::Plan) -> (u16, String) {
    let entry = fleet.entry_addresses[0];
    let response =
        fleet::send_operator_request(&operator_client(), entry, "/v1/confirm", Some(plan)).await;
    let (status, body) = response.expect("the entry responds");
    (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
}

pub async fn wait_until_live(fleet: &Fleet) {
    let count = fleet.engine_vms.len();
    wait_until("version 2 to be live", || fleet.live_count() == count).await;
}

pub fn mixed_count(fleet: &Fleet) -> u32 {
    let mixed_counts = fleet
        .engine_vms
        .iter()
        .map(|vm| vm.engine.runs().mixed_count);
    mixed_counts.sum()
}

#[expect(clippy::cast_precision_loss, reason = "a ratio")]
pub fn origin_copies(fleet: &Fleet) -> f64 {
    let bytes: u64 = fleet.origin_bytes().values().sum();
    bytes as f64 / fleet.v2_bytes.get() as f64
}

pub async fn wait_until_serving(fleet: &Fleet, content: id::Digest) {
    wait_until("the weights to be served", || {
        let mut weights = fleet.engine_vms.iter().map(|vm| vm.engine.weights());
        weights.all(|weights| weights == Some(content))
    })
    .await;
}
