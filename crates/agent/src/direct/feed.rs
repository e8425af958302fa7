//! Configuration, named weights, other agents and entries, from the store.

use std::{net, sync, sync::atomic, time};

use indexmap::IndexMap;
use pimentohook_core::{collection, routes, upstreams};
use pimentohook_platform::{decode, store};
use pimentohook_runtime::metrics;
use pimentohook_wire::direct;
use tokio::time as tokio_time;

use super::app;

const WATCH_WAIT: time::Duration = time::Duration::from_secs(12);
const RETRY: time::Duration = time::Duration::from_millis(400);
const REFRESH_EVERY: time::Duration = time::Duration::from_secs(3);
/// While weights are under way, machines that join are found sooner.
const REFRESH_UNDER_WAY: time::Duration = time::Duration::from_millis(800);

/// Starts to follow the store, until the process ends.
pub fn start(app: &sync::Arc<app::App>) {
    tokio::spawn(follow_weights(app.clone()));
    tokio::spawn(refresh(app.clone()));
}

type Objects = IndexMap<String, collection::Object>;

fn by_name(objects: Vec<collection::Object>) -> Objects {
    let named = objects.into_iter().map(|one| (one.name.clone(), one));
    named.collect()
}

async fn follow_weights(app: sync::Arc<app::App>) {
    loop {
        if let Err(error) = watch_weights(&app).await {
            log::warn!("feed: event=store_lost kind=weights error={error:?}");
        }
        tokio_time::sleep(RETRY).await;
    }
}

async fn watch_weights(app: &app::App) -> Result<(), store::StoreError> {
    let kind = store::Kind::Weights;
    let listing = app.store.list(kind, store::Freshness::Current).await?;
    let mut objects = by_name(listing.objects);
    let mut revision = listing.revision;
    loop {
        want_named(app, &objects);
        app.weights_read.store(true, atomic::Ordering::Relaxed);
        let changes = app.store.watch(kind, revision, WATCH_WAIT).await?;
        revision = changes.revision;
        let kept = changes.changes.into_iter().filter(|one| !one.removed);
        objects.extend(kept.map(|one| (one.object.name.clone(), one.object)));
    }
}

fn want_named(app: &app::App, objects: &Objects) {
    let named = decode::named_weights(objects);
    let service = app.service.load();
    for (model, version) in named {
        let is_mine = service
            .as_ref()
            .is_none_or(|service| service.figures.models.contains(&model));
        if is_mine {
            app.want(&model, version);
        }
    }
}

async fn refresh(app: sync::Arc<app::App>) {
    loop {
        for kind in [
            store::Kind::Configuration,
            store::Kind::Upstreams,
            store::Kind::Entries,
        ] {
            // The first configuration decides when the agent can begin.
            let is_urgent = kind == store::Kind::Configuration && app.service.load().is_none();
            let freshness = if is_urgent {
                store::Freshness::Current
            } else {
                store::Freshness::MayBeStale
            };
            match app.store.list(kind, freshness).await {
                Ok(listing) => {
                    let cost = listing.cost;
                    log::info!(
                        "feed: event=listed kind={kind} bytes={} transfer_ms={}",
                        cost.body_bytes,
                        cost.transfer.as_millis()
                    );
                    let name = format!("read_bytes_store_{kind}");
                    metrics::Kept::add(&app.metrics, &name, cost.body_bytes);
                    apply(&app, kind, &by_name(listing.objects));
                }
                Err(error) => log::warn!("feed: event=store_lost kind={kind} error={error:?}"),
            }
        }
        let pause = if app.service.load().is_none() {
            RETRY
        } else if app.transfers.is_under_way() {
            REFRESH_UNDER_WAY
        } else {
            REFRESH_EVERY
        };
        tokio_time::sleep(pause).await;
    }
}

fn apply(app: &app::App, kind: store::Kind, objects: &Objects) {
    match kind {
        store::Kind::Configuration => apply_configuration(app, objects),
        store::Kind::Upstreams => apply_upstreams(app, &decode::upstreams(objects)),
        store::Kind::Entries => apply_entries(app, objects),
        store::Kind::Weights | store::Kind::Grants => {}
    }
}

fn apply_configuration(app: &app::App, objects: &Objects) {
    for object in objects.values() {
        match decode::route_table(&object.content) {
            Ok(table) => apply_table(app, &table),
            Err(error) => log::error!("feed: event=configuration_unreadable error={error:?}"),
        }
    }
}

fn apply_table(app: &app::App, table: &routes::RouteTable) {
    let service = table.services.get(&app.settings.service);
    let Some(figures) = service.and_then(|service| service.engine.clone()) else {
        return;
    };
    let origin = table.origin();
    let is_first = app.service.load().is_none();
    app.service
        .store(Some(sync::Arc::new(app::Service { figures, origin })));
    if is_first {
        log::info!(
            "feed: event=configuration_known version={} origin={origin:?}",
            table.version
        );
    }
}

fn apply_upstreams(app: &app::App, listed: &[upstreams::Upstream]) {
    let vms = upstreams::service_vms(listed, &app.settings.service);
    // Those that leave make no grants and get none, so they are not among the others.
    let mut others = app::Others::new();
    for (vm, failure_domain) in vms.staying {
        let other = app::Other {
            address: net::SocketAddr::new(vm, app.settings.peers.port()),
            is_near: failure_domain == app.settings.failure_domain.as_str(),
        };
        others.insert(app::vm_of(vm), other);
    }
    others.shift_remove(&app.me);
    app.others.store(sync::Arc::new(others));
    let leaving = vms.leaving.iter().map(|vm| app::vm_of(*vm)).collect();
    app.leaving.store(sync::Arc::new(leaving));
}

fn apply_entries(app: &app::App, objects: &Objects) {
    let address = |object: &collection::Object| {
        let state: Result<direct::PeerState, _> = serde_json::from_str(&object.content);
        match state {
            Ok(state) => Some(state.peers),
            Err(error) => {
                log::debug!(
                    "feed: event=entry_unreadable name={} error={error:?}",
                    object.name
                );
                None
            }
        }
    };
    let addresses = objects.values().filter_map(address).collect();
    app.entries.store(sync::Arc::new(addresses));
}
