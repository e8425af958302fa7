//! Fault injection on a fleet in one process with real sockets. The tests compare the outcomes that
//! callers see with what the engines actually ran.

use std::{net, time};

use pimentohook_core::{id, intent, size};
use pimentohook_platform::vms;
use pimentohook_runtime::client;
use pimentohook_standin::{
    caller::{Caller, Outcome, RequestSpec},
    engine,
    fleet::{self, Fleet, FleetOptions},
    objects, store, tcp_proxy,
};

const LONG_PROMPT: &str = "tokens=100 a long draft";
const SHORT_PROMPT: &str = "tokens=5 a short draft";
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

async fn start(options: &FleetOptions) -> Fleet {
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    assert!(
        fleet.wait_ready(READY_TIMEOUT).await,
        "the fleet did not become ready in time"
    );
    // Agents run non-idempotent requests only from this age on.
    tokio::time::sleep(options.join_age).await;
    fleet
}

fn spec(name: &str, idempotent: bool, body: &str) -> RequestSpec {
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

fn send(fleet: &Fleet, spec: &RequestSpec) -> tokio::task::JoinHandle<Outcome> {
    let (spec, caller) = (spec.clone(), Caller::new());
    let entries = fleet.entry_addresses.clone();
    tokio::spawn(async move { caller.send(entries[0], &entries, &spec).await })
}

fn assert_completed(outcome: &Outcome, spec: &RequestSpec) {
    let Outcome::Completed { text, .. } = outcome else {
        panic!("{} ended with {outcome:?}", spec.request_id);
    };
    assert_eq!(
        *text,
        spec.expected_response(spec.service == fleet::PLAIN_SERVICE)
    );
}

fn run_count(fleet: &Fleet, name: &str) -> u32 {
    let vms = fleet.engine_vms.iter().chain(&fleet.plain_vms);
    let run_counts = vms.map(|vm| vm.engine.runs().started.get(name).copied().unwrap_or(0));
    run_counts.sum()
}

async fn wait_until<F>(what: &str, mut is_met: F)
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

async fn wait_until_running(fleet: &Fleet, name: &str) {
    wait_until("the request to run", || run_count(fleet, name) > 0).await;
}

fn operator_client() -> client::Client {
    client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED))
}

async fn create_plan(fleet: &Fleet, intent: &intent::Intent) -> intent::Plan {
    let entry = fleet.entry_addresses[0];
    let response =
        fleet::send_operator_request(&operator_client(), entry, "/v1/intents", Some(intent)).await;
    let (status, body) = response.expect("the entry responds");
    assert_eq!(status, 200, "{body:?}");
    serde_json::from_slice(&body).expect("the plan can be decoded")
}

fn rollout_intent(version: &str) -> intent::Intent {
    intent::Intent::RollOut {
        services: vec![fleet::MODEL_SERVICE.parse().expect("a valid name")],
        version: version.parse().expect("a valid name"),
    }
}

async fn create_rollout_plan(fleet: &Fleet) -> intent::Plan {
    create_plan(fleet, &rollout_intent("v2")).await
}

/// Creates a plan for an intent and confirms it.
async fn plan_and_confirm(fleet: &Fleet, intent: &intent::Intent) {
    let plan = create_plan(fleet, intent).await;
    assert_eq!(confirm(fleet, &plan).await.0, 200);
}

async fn confirm(fleet: &Fleet, plan: &intent::Plan) -> (u16, String) {
    let entry = fleet.entry_addresses[0];
    let response =
        fleet::send_operator_request(&operator_client(), entry, "/v1/confirm", Some(plan)).await;
    let (status, body) = response.expect("the entry responds");
    (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
}

async fn wait_until_live(fleet: &Fleet) {
    let count = fleet.engine_vms.len();
    wait_until("version 2 to be live", || fleet.live_count() == count).await;
}

fn mixed_count(fleet: &Fleet) -> u32 {
    let mixed_counts = fleet
        .engine_vms
        .iter()
        .map(|vm| vm.engine.runs().mixed_count);
    mixed_counts.sum()
}

#[expect(clippy::cast_precision_loss, reason = "a ratio")]
fn origin_copies(fleet: &Fleet) -> f64 {
    let bytes: u64 = fleet.origin_bytes().values().sum();
    bytes as f64 / fleet.v2_bytes.get() as f64
}

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
async fn outage_of_the_object_api_blocks_only_confirmations() {
    let fleet = start(&FleetOptions::default()).await;
    let plan = create_rollout_plan(&fleet).await;
    fleet.objects.set_faults(objects::Faults {
        down: true,
        ..objects::Faults::default()
    });
    let (status, body) = confirm(&fleet, &plan).await;
    assert_eq!(status, 503, "{body}");
    let spec = spec("request-1", false, SHORT_PROMPT);
    assert_completed(
        &send(&fleet, &spec).await.expect("the task completes"),
        &spec,
    );
    fleet.objects.set_faults(objects::Faults::default());
    assert_eq!(confirm(&fleet, &plan).await.0, 200);
    wait_until_live(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_completes_after_an_outage_of_the_object_api() {
    let options = FleetOptions {
        link_rate: size::ByteRate::new(2 << 20),
        origin_rate: size::ByteRate::new(2 << 20),
        ..FleetOptions::default()
    };
    let fleet = start(&options).await;
    let plan = create_rollout_plan(&fleet).await;
    assert_eq!(confirm(&fleet, &plan).await.0, 200);
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    fleet.objects.set_faults(objects::Faults {
        down: true,
        ..objects::Faults::default()
    });
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    fleet.objects.set_faults(objects::Faults::default());
    wait_until_live(&fleet).await;
    assert_eq!(mixed_count(&fleet), 0);
    assert!(origin_copies(&fleet) <= 4.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn confirmation_with_a_lost_reply_is_read_back_and_applied_once() {
    let fleet = start(&FleetOptions::default()).await;
    let plan = create_rollout_plan(&fleet).await;
    fleet.objects.set_faults(objects::Faults {
        lost_reply_count: 2,
        ..objects::Faults::default()
    });
    let (status, body) = confirm(&fleet, &plan).await;
    assert_eq!(status, 200, "{body}");
    let config = fleet
        .objects
        .value("config")
        .expect("a valid configuration");
    let config: intent::Config = serde_json::from_value(config).expect("a valid configuration");
    assert_eq!(config.version, plan.base.next());
    assert_eq!(config.confirmations.len(), 1);
}

/// The operator was told that the earlier configuration stays in force.
#[tokio::test(flavor = "multi_thread")]
async fn confirmation_whose_fate_is_unknown_is_not_reported_as_without_effect() {
    let fleet = start(&FleetOptions::default()).await;
    let plan = create_rollout_plan(&fleet).await;
    let version = || -> Option<u64> { fleet.objects.value("config")?["version"].as_u64() };
    let version_before = version();
    fleet.objects.set_faults(objects::Faults {
        lost_reply_count: 1,
        down_after_lost_reply: true,
        ..objects::Faults::default()
    });
    let (status, body) = confirm(&fleet, &plan).await;
    assert_ne!(version(), version_before);
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("may be in force"), "{body}");
    assert!(!body.contains("stays in force"), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn corrupt_chunks_and_engines_without_fencing_checks_do_not_mix_weights() {
    let fleet = start(&FleetOptions::default()).await;
    fleet.store.set_faults(store::Faults {
        corrupt_count: 3,
        ..store::Faults::default()
    });
    let faults = engine::Faults {
        checks_fencing: false,
        ..engine::Faults::default()
    };
    fleet
        .engine_vms
        .iter()
        .for_each(|vm| vm.engine.set_faults(faults));
    let plan = create_rollout_plan(&fleet).await;
    assert_eq!(confirm(&fleet, &plan).await.0, 200);
    wait_until_live(&fleet).await;
    assert_eq!(mixed_count(&fleet), 0);
    assert!(origin_copies(&fleet) <= 4.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_completes_after_the_duty_holder_shuts_down() {
    let options = FleetOptions {
        entry_count: 3,
        link_rate: size::ByteRate::new(4 << 20),
        ..FleetOptions::default()
    };
    let mut fleet = start(&options).await;
    let plan = create_rollout_plan(&fleet).await;
    assert_eq!(confirm(&fleet, &plan).await.0, 200);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let lease = fleet.objects.value("lease.duties").expect("a lease");
    let holder = lease["holder"].as_str().expect("a holder");
    let index: usize = holder
        .trim_start_matches("entry-")
        .parse()
        .expect("the name of an entry ends in its index");
    let entry = fleet.entries[index].take().expect("the entry runs");
    entry.drain().await;
    wait_until_live(&fleet).await;
    assert_eq!(mixed_count(&fleet), 0);
    assert!(origin_copies(&fleet) <= 4.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_that_the_platform_removes_gets_no_new_requests() {
    let fleet = start(&FleetOptions::default()).await;
    fleet.objects.set_vms(vec![vms::Vm {
        vm: "vm-0".parse().expect("a valid name"),
        state: vms::VmState::Leaving,
    }]);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let before = fleet.engine_vms[0].engine.runs().started.len();
    for index in 0..40 {
        let spec = spec(&format!("request-{index}"), index % 2 == 0, SHORT_PROMPT);
        assert_completed(
            &send(&fleet, &spec).await.expect("the task completes"),
            &spec,
        );
    }
    assert_eq!(fleet.engine_vms[0].engine.runs().started.len(), before);
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

async fn wait_until_serving(fleet: &Fleet, content: id::Digest) {
    wait_until("the weights to be served", || {
        let mut weights = fleet.engine_vms.iter().map(|vm| vm.engine.weights());
        weights.all(|weights| weights == Some(content))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rollback_to_the_previous_version_completes_on_every_vm() {
    let fleet = start(&FleetOptions::default()).await;
    let v1 = fleet.engine_vms[0].engine.weights().expect("weights");
    plan_and_confirm(&fleet, &rollout_intent("v2")).await;
    wait_until_live(&fleet).await;
    plan_and_confirm(&fleet, &rollout_intent("v1")).await;
    wait_until_serving(&fleet, v1).await;
    assert_eq!(mixed_count(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn version_superseded_during_its_rollout_does_not_mix_weights() {
    let options = FleetOptions {
        link_rate: size::ByteRate::new(2 << 20),
        origin_rate: size::ByteRate::new(2 << 20),
        ..FleetOptions::default()
    };
    let fleet = start(&options).await;
    let v3 = fleet.store.publish(
        &"v3".parse().expect("a valid name"),
        size::ByteCount::new(1 << 20),
        options.chunk_bytes,
        9,
    );
    plan_and_confirm(&fleet, &rollout_intent("v2")).await;
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    plan_and_confirm(&fleet, &rollout_intent("v3")).await;
    wait_until_serving(&fleet, v3.content).await;
    assert_eq!(mixed_count(&fleet), 0);
    assert!(origin_copies(&fleet) <= 4.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_object_api_does_not_prevent_requests_or_a_rollout() {
    let fleet = start(&FleetOptions::default()).await;
    fleet.objects.set_faults(objects::Faults {
        delay_ms: 400,
        ..objects::Faults::default()
    });
    let spec = spec("request-1", false, SHORT_PROMPT);
    assert_completed(
        &send(&fleet, &spec).await.expect("the task completes"),
        &spec,
    );
    plan_and_confirm(&fleet, &rollout_intent("v2")).await;
    wait_until_live(&fleet).await;
    assert_eq!(mixed_count(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_vm_gets_no_requests_until_it_is_restored() {
    let fleet = start(&FleetOptions::default()).await;
    let vm: id::VmId = "vm-0".parse().expect("a valid name");
    plan_and_confirm(&fleet, &intent::Intent::Drain { vm: vm.clone() }).await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = fleet.engine_vms[0].engine.runs().started.len();
    for index in 0..20 {
        let spec = spec(&format!("request-{index}"), true, SHORT_PROMPT);
        assert_completed(
            &send(&fleet, &spec).await.expect("the task completes"),
            &spec,
        );
    }
    assert_eq!(fleet.engine_vms[0].engine.runs().started.len(), before);
    plan_and_confirm(&fleet, &intent::Intent::Restore { vm }).await;
    let mut count = 0;
    while fleet.engine_vms[0].engine.runs().started.len() == before {
        let spec = spec(&format!("restored-{count}"), true, SHORT_PROMPT);
        assert_completed(
            &send(&fleet, &spec).await.expect("the task completes"),
            &spec,
        );
        count += 1;
        assert!(count < 400, "the restored VM gets no requests");
    }
}
