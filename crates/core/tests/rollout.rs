//! Orders of a rollout: who may be ordered to activate weights, and in which order.

use std::time;

use pimentohook_core::{
    admission, burst, id,
    intent::{self, rollout},
    membership,
};

const CHUNKS: u32 = 4;
const FLOOR_PERCENT: u8 = 75;

fn weights() -> intent::WeightsRef {
    intent::WeightsRef {
        version: "v2".parse().expect("a valid name"),
        manifest: id::Digest::of(b"manifest"),
        content: id::Digest::of(b"content"),
        total_bytes: pimentohook_core::size::ByteCount::new(1 << 20),
    }
}

fn config() -> intent::Config {
    let service = intent::ServiceConfig {
        weights: Some(weights()),
        previous: Vec::new(),
        idempotent: true,
        floor_percent: FLOOR_PERCENT,
        policy: burst::Policy::OriginFirst,
    };
    intent::Config {
        services: [("assistant".parse().expect("a valid name"), service)].into(),
        ..intent::Config::default()
    }
}

fn report(index: usize, running_count: u32) -> membership::AgentReport {
    membership::AgentReport {
        vm: format!("vm-{index}").parse().expect("a valid name"),
        service: "assistant".parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: "domain-0".parse().expect("a valid name"),
        incarnation: id::Incarnation::new(1),
        view_stamp: admission::ViewStamp::default(),
        openness: admission::AdmissionState::Open,
        weights: None,
        slot_count: 8,
        running_count,
        config_version: id::ConfigVersion::new(2),
        fencing: id::FencingNumber::new(1),
        burst: Some(burst::Progress {
            is_downloading: true,
            grants: Vec::new(),
            manifest: weights().manifest,
            held: burst::chunks::ChunkSet::full(CHUNKS),
            given_count: 0,
            starved: false,
            failed_grants: Vec::new(),
        }),
    }
}

/// Replicas were ordered in the order in which they were known, so that each step of a rollout waited
/// for the requests of a replica while others were idle.
#[test]
fn replicas_that_run_the_fewest_requests_are_ordered_first() {
    let limits = membership::ViewLimits {
        silence_max: time::Duration::from_secs(2),
        window: time::Duration::from_secs(20),
        join_age: time::Duration::ZERO,
    };
    let mut view = membership::View::new(limits);
    let now = time::Instant::now();
    for (index, running_count) in [5, 2, 0, 7, 1, 3, 4, 6].into_iter().enumerate() {
        view.record(now, report(index, running_count));
    }
    let service = "assistant".parse().expect("a valid name");
    let orders = rollout::orders(&config(), &service, &view);
    let ordered: Vec<String> = orders.iter().map(|order| order.vm.to_string()).collect();
    assert_eq!(ordered, ["vm-2", "vm-4"]);
}
