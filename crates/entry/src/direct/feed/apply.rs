//! Puts what was fetched into force.

use std::{sync, time};

use cadence::Timed as _;
use indexmap::IndexMap;
use pimentohook_core::{announcement, collection, id, routes};
use pimentohook_platform::{decode, skipped, store};

use crate::direct::{app, caller_connections, restored, retries, weights_versions};

/// Puts changes of a kind into force, or records that there were none.
pub(super) fn apply(app: &app::App, kind: store::Kind, is_changed: bool, read: announcement::Read) {
    app.holdings.report(&app.metrics);
    if !is_changed {
        if kind == store::Kind::Weights {
            record_announced(app, read);
        }
        return;
    }
    let collection = app.cached(kind).collection();
    let objects = collection.objects();
    match kind {
        store::Kind::Configuration => apply_configuration(app, objects),
        store::Kind::Upstreams => restored::set_listed_upstreams(app),
        store::Kind::Evacuations => restored::set_evacuations(app),
        store::Kind::Weights => record_announced(app, read),
        store::Kind::Entries | store::Kind::Grants => {}
    }
    app.report_skipped();
}

/// Records the announced versions, and at which position of the store they were all.
fn record_announced(app: &app::App, read: announcement::Read) {
    let collection = app.cached(store::Kind::Weights).collection();
    let announced = decode::announced_versions(collection.objects(), app.store.skipped());
    weights_versions::record_read(app, &announced, read, collection.position());
}

/// Applies the newest configuration; an older one never replaces it.
fn apply_configuration(app: &app::App, objects: &IndexMap<String, collection::Object>) {
    for object in objects.values() {
        apply_version(app, object);
    }
}

/// Applies a version of the configuration, unless a newer one is in force.
pub(super) fn apply_version(app: &app::App, object: &collection::Object) {
    let table = match decode::route_table(&object.content) {
        Ok(table) => table,
        Err(error) => {
            let kind = store::Kind::Configuration;
            if app.store.skipped().record(kind, &object.name, object) {
                log::error!(
                    "feed: event=configuration_unreadable name={} error={}",
                    object.name,
                    skipped::shortened(&error)
                );
            }
            return;
        }
    };
    let current = app.table.load().as_ref().map(|table| table.version);
    if current.is_some_and(|current| current >= table.version) {
        return;
    }
    log::info!(
        "feed: event=configuration_in_force version={} before={} position={} bytes={} \
         unconfirmed_ms={:?} reported_ms={:?}",
        table.version,
        current.unwrap_or_default(),
        object.position,
        object.content.len(),
        app.configuration_age().map(|age| age.as_millis()),
        reported_ago(app, table.version).map(|ago| ago.as_millis())
    );
    record_latency(app, &table);
    if let Some(idle_timeout) = table.idle_timeout {
        caller_connections::set_idle_timeout(app, idle_timeout);
    }
    retries::record_replaced(app, &table);
    log_urgencies(app, &table);
    app.table.store(Some(sync::Arc::new(table)));
}

/// Returns how long ago another entry first reported a configuration in force that is as new as
/// `version`; `None` if none has.
fn reported_ago(app: &app::App, version: id::ConfigVersion) -> Option<time::Duration> {
    let reported = app.peer_configuration();
    let is_reported = reported.version() >= version.get();
    let reported_at = reported.reported_at().filter(|_| is_reported)?;
    Some(app.clock.boot_now().saturating_duration_since(reported_at))
}

/// Records for how long the store had confirmed nothing when a version came into force.
fn record_latency(app: &app::App, table: &routes::RouteTable) {
    let Some(age) = app.configuration_age() else {
        return;
    };
    if let Err(error) = app.metrics.time("configuration_unconfirmed", age) {
        log::debug!(
            "metrics: event=not_kept name=configuration_unconfirmed version={} error={error:?}",
            table.version
        );
    }
}

/// Logs how urgent the requests to services with engines are, if that has changed.
fn log_urgencies(app: &app::App, table: &routes::RouteTable) {
    let current = app.table.load();
    for (name, service) in &table.services {
        let before = current.as_ref().and_then(|table| table.services.get(name));
        let before = before.map(|before| &before.urgencies);
        if service.engine.is_some() && before != Some(&service.urgencies) {
            log::info!(
                "feed: event=service_ranked service={name} is_ranked={} urgencies={}",
                service.urgencies.is_ranked(),
                service.urgencies
            );
        }
    }
}
