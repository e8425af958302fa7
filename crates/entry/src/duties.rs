//! Duties performed by the holder of a lease: rollouts and origin grants.
//!
//! Each entry also reads the list of VMs here.

use std::{sync, time};

use pimentohook_core::{clock::Clock as _, id, intent::rollout, lease};
use pimentohook_platform::{objects, vms};
use pimentohook_runtime::process;
use pimentohook_wire::messages;

use crate::{
    agents,
    app::{self, lock},
    origin,
};

/// The name of the lease's object.
pub const LEASE_OBJECT: &str = "lease.duties";

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The minimum interval between two rounds, however many reports come.
const PACE_INTERVAL: time::Duration = time::Duration::from_millis(10);
const LEASE_READ_INTERVAL: time::Duration = time::Duration::from_millis(500);
const VMS_READ_INTERVAL: time::Duration = time::Duration::from_secs(1);
const ACTIVATION_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Competes for the lease and performs the duties while it holds it, until the entry stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    let mut lease_read_at: Option<time::Instant> = None;
    let mut vms_read_at: Option<time::Instant> = None;
    let mut grantor = origin::Grantor::default();
    while wait_for_work(&app, &stop).await {
        if app.is_shutting_down() {
            continue;
        }
        let now = app.clock.now();
        if is_due(lease_read_at, now, LEASE_READ_INTERVAL) {
            lease_read_at = Some(now);
            read_lease(&app).await;
        }
        acquire_or_renew_lease(&app).await;
        if is_due(vms_read_at, now, VMS_READ_INTERVAL) {
            vms_read_at = Some(now);
            read_vms(&app).await;
        }
        if fencing(&app).is_some() {
            grantor.extend(&app).await;
            roll_out(&app).await;
        } else {
            grantor = origin::Grantor::default();
        }
    }
}

/// Waits until a report calls for action, at most for the poll interval; returns false once the
/// entry stops.
async fn wait_for_work(app: &app::App, stop: &process::StopSignal) -> bool {
    if !stop.sleep(PACE_INTERVAL).await {
        return false;
    }
    tokio::select! {
        is_running = stop.sleep(POLL_INTERVAL.saturating_sub(PACE_INTERVAL)) => is_running,
        () = app.duties_trigger.notified() => true,
    }
}

/// Releases the lease, so that another entry can acquire it immediately.
pub async fn release(app: &app::App) {
    let update = lock(&app.lease).release(app.clock.now());
    if let Some(update) = update {
        write_lease(app, &update).await;
    }
}

fn is_due(last_at: Option<time::Instant>, now: time::Instant, interval: time::Duration) -> bool {
    last_at.is_none_or(|last_at| now.duration_since(last_at) >= interval)
}

fn fencing(app: &app::App) -> Option<id::FencingNumber> {
    lock(&app.lease).fencing(app.clock.now())
}

/// Reads the lease; the version of its object at the platform equals its renewal count.
async fn read_lease(app: &app::App) {
    match app.objects.get::<lease::LeaseObject>(LEASE_OBJECT).await {
        Ok(object) => {
            let object = object.map(|object| object.value).unwrap_or_default();
            lock(&app.lease).record_read(app.clock.now(), object);
        }
        Err(error) => log::debug!("duties: reading the lease failed: {error}."),
    }
}

async fn acquire_or_renew_lease(app: &app::App) {
    let due = lock(&app.lease).due_update(app.clock.now());
    if let Some(update) = due {
        write_lease(app, &update).await;
    }
}

/// Writes the lease. Each write increments the renewal count, so the version to replace is the
/// previous count.
async fn write_lease(app: &app::App, update: &lease::LeaseUpdate) {
    let if_version = update.object.renewal.saturating_sub(1);
    let written = app
        .objects
        .put(LEASE_OBJECT, if_version, &update.object)
        .await;
    match written {
        Ok(_) => {
            let fencing_before = fencing(app);
            lock(&app.lease).record_updated(app.clock.now(), update);
            if fencing_before.is_none() && update.object.holder.is_some() {
                log::info!("duties: taken, fencing number {}.", update.object.fencing);
            }
        }
        Err(objects::ObjectError::Conflict { .. } | objects::ObjectError::Unreachable { .. }) => {
            // Another entry wrote first, or the response was lost; reading the lease back decides.
            resolve_lease_write(app, update).await;
        }
        Err(error) => log::debug!("duties: writing the lease failed: {error}."),
    }
}

async fn resolve_lease_write(app: &app::App, update: &lease::LeaseUpdate) {
    let read = app.objects.get::<lease::LeaseObject>(LEASE_OBJECT).await;
    let Ok(Some(current)) = read else {
        return;
    };
    let now = app.clock.now();
    if current.value == update.object {
        lock(&app.lease).record_updated(now, update);
    } else {
        lock(&app.lease).record_read(now, current.value);
    }
}

async fn read_vms(app: &app::App) {
    match vms::list(&app.client, app.settings.object_api).await {
        Ok(list) => {
            let leaving_vms = list
                .into_iter()
                .filter(|listed| listed.state == vms::VmState::Leaving)
                .map(|listed| listed.vm);
            app.leaving_vms.store(sync::Arc::new(leaving_vms.collect()));
        }
        Err(error) => log::debug!("duties: listing the VMs failed: {error}."),
    }
}

/// Sends the activation orders that the rollouts require now.
async fn roll_out(app: &sync::Arc<app::App>) {
    let config = app.config.load_full();
    for service in config.services.keys() {
        let view = app.view.load_full();
        let orders = rollout::orders(&config, service, &view);
        let activations = orders.into_iter().map(|order| activate(app, order));
        futures_util::future::join_all(activations).await;
    }
}

async fn activate(app: &app::App, order: rollout::ActivateOrder) {
    let Some(fencing) = fencing(app) else {
        return;
    };
    let Some(member) = app.view.load().member(&order.vm).cloned() else {
        return;
    };
    let request = messages::ActivateRequest {
        fencing,
        weights: order.weights,
    };
    let address = member.report.address;
    let call = app
        .client
        .call(address, "/v1/activate", &request, ACTIVATION_TIMEOUT);
    let reply: Result<messages::ActivateReply, _> = call.await;
    match reply {
        Ok(reply) => {
            if let Some(reason) = reply.refusal {
                log::warn!("duties: {} refuses an order, {reason}.", order.vm);
            }
            // The report immediately shows that the replica no longer counts as serving.
            agents::record(app, reply.report);
        }
        Err(error) => log::warn!("duties: activation order failed: {error}."),
    }
}
