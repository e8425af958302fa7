//! The settings of the processes of a fleet, and the configuration that it starts with.

use std::{net, time};

use indexmap::IndexMap;
use pimentohook_agent as agent;
use pimentohook_core::{burst, id, intent, size};
use pimentohook_entry as entry;

use super::{
    FAILURE_DOMAINS, Fleet, FleetError, FleetOptions, FleetVm, MODEL_SERVICE, OPERATOR_TOKEN,
    PLAIN_SERVICE, model_service, parse,
};

/// Returns the configuration that a fleet starts with.
pub(super) fn initial_config(
    options: &FleetOptions,
    v1: &burst::manifest::Manifest,
) -> Result<intent::Config, FleetError> {
    let model = model_service(v1, options.floor_percent, options.policy);
    let plain = intent::ServiceConfig {
        weights: None,
        previous: Vec::new(),
        idempotent: false,
        floor_percent: options.floor_percent,
        policy: options.policy,
    };
    let services = [
        (parse(MODEL_SERVICE)?, model),
        (parse(PLAIN_SERVICE)?, plain),
    ];
    Ok(intent::Config {
        version: id::ConfigVersion::new(1),
        services: services.into_iter().collect(),
        ..intent::Config::default()
    })
}

/// Returns the settings of the entry with the given index.
pub(super) fn entry_settings(
    options: &FleetOptions,
    index: usize,
    addresses: &[net::SocketAddr],
    api: net::SocketAddr,
    origin: net::SocketAddr,
) -> Result<entry::settings::EntrySettings, FleetError> {
    let mut entries = IndexMap::new();
    for (index, address) in addresses.iter().enumerate() {
        let endpoint = entry::settings::EntryLocation {
            address: *address,
            failure_domain: parse(FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()])?,
        };
        entries.insert(parse(&format!("entry-{index}"))?, endpoint);
    }
    let token = entry::settings::Token::new(String::from(OPERATOR_TOKEN));
    let objective = pimentohook_core::report::Objective {
        availability_ppm: 999_000,
        latency_ms: 470,
        latency_ppm: 950_000,
    };
    let window_max = time::Duration::from_secs(30);
    Ok(entry::settings::EntrySettings {
        entry: parse(&format!("entry-{index}"))?,
        listen: addresses[index],
        entries,
        object_api: api,
        weight_store: origin,
        operators: IndexMap::from([(parse("demo")?, token)]),
        objectives: IndexMap::from([(parse(MODEL_SERVICE)?, objective)]),
        directory_ttl: time::Duration::from_millis(500),
        window: options.window,
        silence_max: time::Duration::from_millis(1_500),
        join_age: options.join_age,
        chain_length: 3,
        deadline_max: options.window.min(window_max),
        decide_max: time::Duration::from_millis(800),
        frame_silence_max: time::Duration::from_millis(800),
        retry_percent: 9,
        body_max: size::ByteCount::new(1 << 20),
        lease_term: time::Duration::from_secs(1),
        weights_rate: options.link_rate,
        grant_timeout: time::Duration::from_secs(2),
        metrics: None,
        log_level: String::from("warn"),
    })
}

/// Returns the settings of the agent on a VM.
pub(super) fn agent_settings(
    fleet: &Fleet,
    options: &FleetOptions,
    index: usize,
    vm: &FleetVm,
    listen: net::SocketAddr,
    origin: net::SocketAddr,
) -> Result<agent::settings::AgentSettings, FleetError> {
    let plain = index >= options.replica_count;
    let (service, kind) = if plain {
        (PLAIN_SERVICE, agent::settings::UpstreamKind::Plain)
    } else {
        (MODEL_SERVICE, agent::settings::UpstreamKind::Engine)
    };
    Ok(agent::settings::AgentSettings {
        vm: parse(&format!("vm-{index}"))?,
        service: parse(service)?,
        failure_domain: parse(FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()])?,
        listen,
        advertise: Some(vm.proxy.address),
        entries: fleet.entry_addresses.clone(),
        kind,
        upstream: vm.upstream.address,
        weight_store: Some(origin),
        slot_count: options.slot_count,
        queue_max: options.queue_max,
        window: options.window,
        remembered_max: 100_000,
        answers_max: size::ByteCount::new(16 << 20),
        view_age_max: time::Duration::from_secs(3),
        heartbeat_every: time::Duration::from_millis(200),
        upstream_silence_max: time::Duration::from_secs(3),
        orphan_max: time::Duration::from_secs(2),
        weights_rate: options.link_rate,
        stall_max: time::Duration::from_secs(2),
        drain_max: time::Duration::from_secs(20),
        metrics: None,
        log_level: String::from("warn"),
    })
}
