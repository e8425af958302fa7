//! Puts what was read of the store or of an entry into use.

use std::{net, sync};

use pimentohook_core::{announcement, collection, routes, upstreams};
use pimentohook_platform::{decode, skipped, store};
use pimentohook_wire::direct;

use super::{
    super::{app, weights_feed},
    caches::{CachedCollections, Objects, RefreshedKind},
};
use crate::mutex::lock;

/// Puts what was read of a kind into use.
pub fn apply(
    app: &app::App,
    kind: RefreshedKind,
    caches: &mut CachedCollections,
    read: announcement::Read,
) {
    let collection = caches.get_mut(kind);
    let era = collection.position().era;
    let objects = collection.objects().clone();
    let now = app.clock.now();
    match kind {
        RefreshedKind::Upstreams => {
            let listed = decode::upstreams(&objects, app.store.skipped());
            let lost = &mut caches.lost_upstreams;
            apply_upstreams(app, &upstreams::with_lost(lost, era, listed, now));
        }
        RefreshedKind::Entries => {
            let lost = &mut caches.lost_entries;
            apply_entries(app, &lost.combine(era, objects, now, |_, listed| listed));
        }
        RefreshedKind::Weights => weights_feed::record_announced(app, &objects, read),
    }
}

/// Takes the agent's service from a configuration.
pub fn apply_table(app: &app::App, table: &routes::RouteTable) {
    let service = table.services.get(&app.settings.service);
    if let Some(figures) = service.and_then(|service| service.engine.clone()) {
        let origin = table.origin();
        let cold = service.and_then(|service| service.cold);
        let service = direct::EngineService {
            figures,
            origin,
            cold,
        };
        set_service(app, table.version.get(), service);
    }
}

pub fn set_service(app: &app::App, configuration_version: u64, service: direct::EngineService) {
    let is_first = app.service.load().is_none();
    let direct::EngineService {
        figures,
        origin,
        cold,
    } = service;
    app.service.store(Some(sync::Arc::new(app::Service {
        configuration_version,
        figures,
        origin,
        cold,
    })));
    if is_first {
        log::info!(
            "feed: event=configuration_known version={configuration_version} origin={origin:?}"
        );
    }
}

fn apply_upstreams(app: &app::App, listed: &[upstreams::Upstream]) {
    if let Some(own) = listed
        .iter()
        .find(|upstream| upstream.address == app.settings.engine)
    {
        lock(&app.cold).record_registered(app.clock.now(), own.cold_remaining);
    }
    let vms = upstreams::service_vms(listed, &app.settings.service);
    // Agents of leaving VMs make no grants and get none, so they aren't among the peers.
    let mut peers = app::PeerAgents::new();
    for (ip, failure_domain) in vms.staying {
        let peer = app::PeerAgent {
            address: net::SocketAddr::new(ip, app.settings.peers.port()),
            is_same_domain: failure_domain == app.settings.failure_domain.as_str(),
        };
        peers.insert(app::vm_id_of(ip), peer);
    }
    peers.shift_remove(&app.own_vm);
    app.peers.store(sync::Arc::new(peers));
    let leaving = vms.leaving.iter().map(|ip| app::vm_id_of(*ip)).collect();
    app.leaving_vms.store(sync::Arc::new(leaving));
}

fn apply_entries(app: &app::App, objects: &Objects) {
    let state = |object: &collection::Object| {
        let state: Result<direct::PeerState, _> = serde_json::from_str(&object.content);
        match state {
            Ok(state) => Some(state),
            Err(error) => {
                let kind = store::Kind::Entries;
                if app.store.skipped().record(kind, &object.name, object) {
                    log::warn!(
                        "feed: event=entry_unreadable name={} error={}",
                        object.name,
                        skipped::shortened(&error)
                    );
                }
                None
            }
        }
    };
    let entries = objects.values().filter_map(state).collect();
    app.entries.store(sync::Arc::new(entries));
}
