//! Faults on real sockets, one fleet in one process: what callers are told is compared with what
//! engines ran.

use std::{net, time};

use pimentohook_core::{id, intent, size};
use pimentohook_platform::vms;
use pimentohook_runtime::client;
use pimentohook_standin::{
    caller::{Caller, RequestOutcome, RequestSpec},
    engine,
    fleet::{self, Fleet, FleetOptions},
    objects, store, tcp_proxy,
};

const LONG: &str = "tokens=100 a long draft";
const SHORT: &str = "tokens=5 a short draft";
const READY: time::Duration = time::Duration::from_secs(20);
const SOON: time::Duration = time::Duration::from_secs(30);
const POLL: time::Duration = time::Duration::from_millis(20);

async fn start(options: &FleetOptions) -> Fleet {
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    assert!(fleet.wait_ready(READY).await, "the fleet gets ready");
    // Agents run non-idempotent requests from this age on.
    tokio::time::sleep(options.join_age).await;
    fleet
}

fn spec(name: &str, idempotent: bool, body: &str) -> RequestSpec {
    RequestSpec {
        request_id: name.parse().expect("a name"),
        attempt: 1,
        service: String::from(fleet::MODEL_SERVICE),
        organisation: String::from("roofers"),
        idempotent,
        body: String::from(body),
        deadline: time::Duration::from_secs(4),
    }
}

fn send(fleet: &Fleet, spec: &RequestSpec) -> tokio::task::JoinHandle<RequestOutcome> {
    let (spec, caller) = (spec.clone(), Caller::new());
    let entries = fleet.entry_addresses.clone();
    tokio::spawn(async move { caller.send(entries[0], &entries, &spec).await })
}

fn assert_whole(told: &RequestOutcome, spec: &RequestSpec) {
    let RequestOutcome::Completed { text, .. } = told else {
        panic!("{} was told {told:?}", spec.request_id);
    };
    assert_eq!(
        *text,
        spec.expected_response(spec.service == fleet::PLAIN_SERVICE)
    );
}

fn run_count(fleet: &Fleet, name: &str) -> u32 {
    let machines = fleet.engine_vms.iter().chain(&fleet.plain_vms);
    let started = machines.map(|one| one.engine.runs().started.get(name).copied().unwrap_or(0));
    started.sum()
}

async fn wait_for<F>(what: &str, mut met: F)
where
    F: FnMut() -> bool,
{
    let deadline = time::Instant::now() + SOON;
    while !met() {
        assert!(time::Instant::now() < deadline, "{what} does not come");
        tokio::time::sleep(POLL).await;
    }
}

async fn wait_running(fleet: &Fleet, name: &str) {
    wait_for("the run", || run_count(fleet, name) > 0).await;
}

fn operator() -> client::Client {
    client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED))
}

async fn plan_intent(fleet: &Fleet, intent: &intent::Intent) -> intent::Plan {
    let entry = fleet.entry_addresses[0];
    let answer =
        fleet::send_operator_request(&operator(), entry, "/v1/intents", Some(intent)).await;
    let (status, body) = answer.expect("the entry answers");
    assert_eq!(status, 200, "{body:?}");
    serde_json::from_slice(&body).expect("a plan")
}

fn rollout(version: &str) -> intent::Intent {
    intent::Intent::RollOut {
        services: vec![fleet::MODEL_SERVICE.parse().expect("a name")],
        version: version.parse().expect("a name"),
    }
}

async fn plan(fleet: &Fleet) -> intent::Plan {
    plan_intent(fleet, &rollout("v2")).await
}

/// Plans an intent and confirms it.
async fn operate(fleet: &Fleet, intent: &intent::Intent) {
    let plan = plan_intent(fleet, intent).await;
    assert_eq!(confirm(fleet, &plan).await.0, 200);
}

async fn confirm(fleet: &Fleet, plan: &intent::Plan) -> (u16, String) {
    let entry = fleet.entry_addresses[0];
    let answer = fleet::send_operator_request(&operator(), entry, "/v1/confirm", Some(plan)).await;
    let (status, body) = answer.expect("the entry answers");
    (status.as_u16(), String::from_utf8_lossy(&body).into_owned())
}

async fn wait_live(fleet: &Fleet) {
    let count = fleet.engine_vms.len();
    wait_for("version 2", || fleet.live_count() == count).await;
}

fn mixed_count(fleet: &Fleet) -> u32 {
    let mixed = fleet
        .engine_vms
        .iter()
        .map(|one| one.engine.runs().mixed_count);
    mixed.sum()
}

#[expect(clippy::cast_precision_loss, reason = "a ratio")]
fn origin_copies(fleet: &Fleet) -> f64 {
    let bytes: u64 = fleet.origin_bytes().values().sum();
    bytes as f64 / fleet.v2_bytes.get() as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_an_agent_that_falls_silent_is_replaced_and_the_answer_is_whole() {
    let fleet = start(&FleetOptions::default()).await;
    let spec = spec("request-1", false, LONG);
    let sending = send(&fleet, &spec);
    wait_running(&fleet, "request-1").await;
    fleet
        .engine_vms
        .iter()
        .for_each(|one| one.proxy.stall_open_connections());
    assert_whole(&sending.await.expect("the caller ends"), &spec);
    assert_eq!(run_count(&fleet, "request-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_an_entry_that_falls_silent_is_resumed_through_another() {
    let fleet = start(&FleetOptions::default()).await;
    let relay = tcp_proxy::TcpProxy::start(fleet.entry_addresses[0]).await;
    let relay = relay.expect("the relay starts");
    let spec = spec("request-1", false, LONG);
    let (caller, other) = (Caller::new(), fleet.entry_addresses[1]);
    let sending = caller.send(relay.address, std::slice::from_ref(&other), &spec);
    let silencing = async {
        wait_running(&fleet, "request-1").await;
        tokio::time::sleep(POLL * 10).await;
        relay.stall_open_connections();
    };
    let (told, ()) = tokio::join!(sending, silencing);
    assert_whole(&told, &spec);
    assert_eq!(run_count(&fleet, "request-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_falls_silent_never_gives_a_clean_end() {
    let fleet = start(&FleetOptions::default()).await;
    let spec = spec("request-1", false, LONG);
    let sending = send(&fleet, &spec);
    wait_running(&fleet, "request-1").await;
    let faults = engine::Faults {
        silent: true,
        ..engine::Faults::default()
    };
    fleet
        .engine_vms
        .iter()
        .for_each(|one| one.engine.set_faults(faults));
    let told = sending.await.expect("the caller ends");
    assert!(
        matches!(told, RequestOutcome::Interrupted | RequestOutcome::Unknown),
        "{told:?}"
    );
    assert_eq!(run_count(&fleet, "request-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_is_gone_has_its_idempotent_request_cancelled_at_the_engine() {
    let fleet = start(&FleetOptions::default()).await;
    let spec = spec("request-1", true, "tokens=2000 endless");
    let sending = send(&fleet, &spec);
    wait_running(&fleet, "request-1").await;
    sending.abort();
    let running = |fleet: &Fleet| {
        let counts = fleet
            .engine_vms
            .iter()
            .map(|one| one.engine.running_count());
        counts.sum::<u32>()
    };
    wait_for("the cancellation", || running(&fleet) == 0).await;
    let completed = fleet.engine_vms.iter().any(|one| {
        let runs = one.engine.runs();
        runs.completed.contains_key("request-1")
    });
    assert!(!completed);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_again_through_another_entry_runs_once() {
    let fleet = start(&FleetOptions::default()).await;
    let mut first = spec("request-1", false, LONG);
    let sending = send(&fleet, &first);
    wait_running(&fleet, "request-1").await;
    first.attempt = 2;
    let again = Caller::new()
        .send(fleet.entry_addresses[1], &[], &first)
        .await;
    assert_whole(&again, &first);
    assert_whole(&sending.await.expect("the caller ends"), &first);
    assert_eq!(run_count(&fleet, "request-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_fleet_refuses_with_proof_and_a_time_to_come_back() {
    let options = FleetOptions {
        replica_count: 2,
        slot_count: 1,
        queue_max: 0,
        ..FleetOptions::default()
    };
    let fleet = start(&options).await;
    let running: Vec<_> = (0..2)
        .map(|index| send(&fleet, &spec(&format!("long-{index}"), false, LONG)))
        .collect();
    wait_running(&fleet, "long-0").await;
    wait_running(&fleet, "long-1").await;
    let refused = spec("refused", false, SHORT);
    let told = send(&fleet, &refused).await.expect("the caller ends");
    let RequestOutcome::NotRun { retry_after, .. } = told else {
        panic!("{told:?}");
    };
    assert!(!retry_after.is_zero());
    for sending in running {
        sending.await.expect("the caller ends");
    }
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    assert_eq!(run_count(&fleet, "refused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_object_api_stops_confirmations_and_nothing_else() {
    let fleet = start(&FleetOptions::default()).await;
    let plan = plan(&fleet).await;
    fleet.objects.set_faults(objects::Faults {
        down: true,
        ..objects::Faults::default()
    });
    let (status, told) = confirm(&fleet, &plan).await;
    assert_eq!(status, 503, "{told}");
    let spec = spec("request-1", false, SHORT);
    assert_whole(&send(&fleet, &spec).await.expect("the caller ends"), &spec);
    fleet.objects.set_faults(objects::Faults::default());
    assert_eq!(confirm(&fleet, &plan).await.0, 200);
    wait_live(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_in_mid_rollout_ends_in_the_confirmed_state() {
    let options = FleetOptions {
        link_rate: size::ByteRate::new(2 << 20),
        origin_rate: size::ByteRate::new(2 << 20),
        ..FleetOptions::default()
    };
    let fleet = start(&options).await;
    let plan = plan(&fleet).await;
    assert_eq!(confirm(&fleet, &plan).await.0, 200);
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    fleet.objects.set_faults(objects::Faults {
        down: true,
        ..objects::Faults::default()
    });
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    fleet.objects.set_faults(objects::Faults::default());
    wait_live(&fleet).await;
    assert_eq!(mixed_count(&fleet), 0);
    assert!(origin_copies(&fleet) <= 4.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirmation_whose_reply_is_lost_is_read_back_and_applied_once() {
    let fleet = start(&FleetOptions::default()).await;
    let plan = plan(&fleet).await;
    fleet.objects.set_faults(objects::Faults {
        lost_reply_count: 2,
        ..objects::Faults::default()
    });
    let (status, told) = confirm(&fleet, &plan).await;
    assert_eq!(status, 200, "{told}");
    let config = fleet.objects.value("config").expect("a configuration");
    let config: intent::Config = serde_json::from_value(config).expect("a configuration");
    assert_eq!(config.version, plan.base.next());
    assert_eq!(config.confirmations.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn corrupt_chunks_and_engines_that_ignore_fencing_leave_weights_whole() {
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
        .for_each(|one| one.engine.set_faults(faults));
    let plan = plan(&fleet).await;
    assert_eq!(confirm(&fleet, &plan).await.0, 200);
    wait_live(&fleet).await;
    assert_eq!(mixed_count(&fleet), 0);
    assert!(origin_copies(&fleet) <= 4.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_holder_of_the_duties_may_stop_in_mid_rollout() {
    let options = FleetOptions {
        entry_count: 3,
        link_rate: size::ByteRate::new(4 << 20),
        ..FleetOptions::default()
    };
    let mut fleet = start(&options).await;
    let plan = plan(&fleet).await;
    assert_eq!(confirm(&fleet, &plan).await.0, 200);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let lease = fleet.objects.value("lease.duties").expect("a lease");
    let holder = lease["holder"].as_str().expect("a holder");
    let index: usize = holder
        .trim_start_matches("entry-")
        .parse()
        .expect("its number");
    let entry = fleet.entries[index].take().expect("the entry runs");
    entry.drain().await;
    wait_live(&fleet).await;
    assert_eq!(mixed_count(&fleet), 0);
    assert!(origin_copies(&fleet) <= 4.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_the_platform_takes_away_gets_no_new_work() {
    let fleet = start(&FleetOptions::default()).await;
    fleet.objects.set_vms(vec![vms::Vm {
        vm: "vm-0".parse().expect("a name"),
        state: vms::VmState::Leaving,
    }]);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let before = fleet.engine_vms[0].engine.runs().started.len();
    for index in 0..40 {
        let spec = spec(&format!("request-{index}"), index % 2 == 0, SHORT);
        assert_whole(&send(&fleet, &spec).await.expect("the caller ends"), &spec);
    }
    assert_eq!(fleet.engine_vms[0].engine.runs().started.len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_a_clear_refusal() {
    let fleet = start(&FleetOptions::default()).await;
    let caller = Caller::new();
    let entry = fleet.entry_addresses[0];
    let mut unknown = spec("request-1", true, SHORT);
    unknown.service = String::from("nothing");
    let mut large = spec("request-2", true, SHORT);
    large.body = "x".repeat((1 << 20) + 1);
    let mut nameless = spec("request-3", true, SHORT);
    nameless.organisation = String::from("two words");
    for (spec, status) in [(unknown, 404), (large, 413), (nameless, 400)] {
        let told = caller.send(entry, &[], &spec).await;
        let RequestOutcome::Rejected(found) = told else {
            panic!("{told:?}");
        };
        assert_eq!(found.as_u16(), status);
        assert_eq!(run_count(&fleet, spec.request_id.as_str()), 0);
    }
}

async fn wait_serving(fleet: &Fleet, content: id::Digest) {
    wait_for("the version", || {
        let mut weights = fleet.engine_vms.iter().map(|one| one.engine.weights());
        weights.all(|found| found == Some(content))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollback_brings_the_earlier_version_into_service_everywhere() {
    let fleet = start(&FleetOptions::default()).await;
    let first = fleet.engine_vms[0].engine.weights().expect("weights");
    operate(&fleet, &rollout("v2")).await;
    wait_live(&fleet).await;
    operate(&fleet, &rollout("v1")).await;
    wait_serving(&fleet, first).await;
    assert_eq!(mixed_count(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_replaced_while_it_is_under_way_leaves_weights_whole() {
    let options = FleetOptions {
        link_rate: size::ByteRate::new(2 << 20),
        origin_rate: size::ByteRate::new(2 << 20),
        ..FleetOptions::default()
    };
    let fleet = start(&options).await;
    let third = fleet.store.publish(
        &"v3".parse().expect("a name"),
        size::ByteCount::new(1 << 20),
        options.chunk_bytes,
        9,
    );
    operate(&fleet, &rollout("v2")).await;
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    operate(&fleet, &rollout("v3")).await;
    wait_serving(&fleet, third.content).await;
    assert_eq!(mixed_count(&fleet), 0);
    assert!(origin_copies(&fleet) <= 4.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_object_api_slows_confirmations_and_nothing_else() {
    let fleet = start(&FleetOptions::default()).await;
    fleet.objects.set_faults(objects::Faults {
        delay_ms: 400,
        ..objects::Faults::default()
    });
    let spec = spec("request-1", false, SHORT);
    assert_whole(&send(&fleet, &spec).await.expect("the caller ends"), &spec);
    operate(&fleet, &rollout("v2")).await;
    wait_live(&fleet).await;
    assert_eq!(mixed_count(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_vm_gets_no_work_until_it_is_restored() {
    let fleet = start(&FleetOptions::default()).await;
    let vm: id::VmId = "vm-0".parse().expect("a name");
    operate(&fleet, &intent::Intent::Drain { vm: vm.clone() }).await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = fleet.engine_vms[0].engine.runs().started.len();
    for index in 0..20 {
        let spec = spec(&format!("request-{index}"), true, SHORT);
        assert_whole(&send(&fleet, &spec).await.expect("the caller ends"), &spec);
    }
    assert_eq!(fleet.engine_vms[0].engine.runs().started.len(), before);
    operate(&fleet, &intent::Intent::Restore { vm }).await;
    let mut count = 0;
    while fleet.engine_vms[0].engine.runs().started.len() == before {
        let spec = spec(&format!("restored-{count}"), true, SHORT);
        assert_whole(&send(&fleet, &spec).await.expect("the caller ends"), &spec);
        count += 1;
        assert!(count < 400, "the VM gets no work again");
    }
}
