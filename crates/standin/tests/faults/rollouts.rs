//! Faults during rollouts, confirmations and drains, at the object API, the origin and entries.

use std::time;

use pimentohook_core::{id, intent, size};
use pimentohook_platform::vms;
use pimentohook_standin::{engine, fleet::FleetOptions, objects, store};

use crate::support::{
    SHORT_PROMPT, assert_completed, confirm, create_rollout_plan, mixed_count, origin_copies,
    plan_and_confirm, rollout_intent, send, spec, start, wait_until_live, wait_until_serving,
};

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
