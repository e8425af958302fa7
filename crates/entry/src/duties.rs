//! Duties under a lease: rollouts, origin grants, and the list of VMs.

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

const POLL: time::Duration = time::Duration::from_millis(100);
const READ_LEASE_EVERY: time::Duration = time::Duration::from_millis(500);
const READ_VMS_EVERY: time::Duration = time::Duration::from_secs(1);
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Takes part in the duties until the entry stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    let mut lease_read_at: Option<time::Instant> = None;
    let mut vms_read_at: Option<time::Instant> = None;
    let mut origin = origin::Grantor::default();
    while stop.sleep(POLL).await {
        if app.is_leaving() {
            continue;
        }
        let now = app.clock.now();
        if is_due(lease_read_at, now, READ_LEASE_EVERY) {
            lease_read_at = Some(now);
            read_lease(&app).await;
        }
        keep_lease(&app).await;
        if is_due(vms_read_at, now, READ_VMS_EVERY) {
            vms_read_at = Some(now);
            read_vms(&app).await;
        }
        if fencing(&app).is_some() {
            origin.extend(&app).await;
            roll_out(&app).await;
        } else {
            origin = origin::Grantor::default();
        }
    }
}

/// Gives the lease up, so that another entry takes over at once.
pub async fn release(app: &app::App) {
    let update = lock(&app.lease).release(app.clock.now());
    if let Some(update) = update {
        write_lease(app, &update).await;
    }
}

fn is_due(last: Option<time::Instant>, now: time::Instant, every: time::Duration) -> bool {
    last.is_none_or(|last| now.duration_since(last) >= every)
}

fn fencing(app: &app::App) -> Option<id::FencingNumber> {
    lock(&app.lease).fencing(app.clock.now())
}

/// Reads the lease; the object's version at the platform is its renewal count.
async fn read_lease(app: &app::App) {
    match app.objects.get::<lease::LeaseObject>(LEASE_OBJECT).await {
        Ok(object) => {
            let object = object.map(|object| object.value).unwrap_or_default();
            lock(&app.lease).record_read(app.clock.now(), object);
        }
        Err(error) => log::debug!("duties: {error}."),
    }
}

async fn keep_lease(app: &app::App) {
    let due = lock(&app.lease).due_update(app.clock.now());
    if let Some(update) = due {
        write_lease(app, &update).await;
    }
}

/// Each update raises the renewal count by one, so the version to update is the count before.
async fn write_lease(app: &app::App, update: &lease::LeaseUpdate) {
    let if_version = update.object.renewal.saturating_sub(1);
    let written = app
        .objects
        .put(LEASE_OBJECT, if_version, &update.object)
        .await;
    match written {
        Ok(_) => {
            let before = fencing(app);
            lock(&app.lease).record_updated(app.clock.now(), update);
            if before.is_none() && update.object.holder.is_some() {
                log::info!("duties: taken, fencing number {}.", update.object.fencing);
            }
        }
        Err(objects::ObjectError::Conflict { .. } | objects::ObjectError::Unreachable { .. }) => {
            // Another was faster, or the reply was lost: what is read back decides.
            settle_lease(app, update).await;
        }
        Err(error) => log::debug!("duties: {error}."),
    }
}

async fn settle_lease(app: &app::App, update: &lease::LeaseUpdate) {
    let read = app.objects.get::<lease::LeaseObject>(LEASE_OBJECT).await;
    let Ok(Some(present)) = read else {
        return;
    };
    let now = app.clock.now();
    if present.value == update.object {
        lock(&app.lease).record_updated(now, update);
    } else {
        lock(&app.lease).record_read(now, present.value);
    }
}

async fn read_vms(app: &app::App) {
    match vms::list(&app.client, app.settings.object_api).await {
        Ok(list) => {
            let leaving = list
                .into_iter()
                .filter(|one| one.state == vms::VmState::Leaving)
                .map(|one| one.vm);
            app.leaving_vms.store(sync::Arc::new(leaving.collect()));
        }
        Err(error) => log::debug!("duties: {error}."),
    }
}

/// Gives the orders that the rollouts call for now.
async fn roll_out(app: &sync::Arc<app::App>) {
    let config = app.config.load_full();
    for service in config.services.keys() {
        let view = app.view.load_full();
        let orders = rollout::orders(&config, service, &view);
        let given = orders.into_iter().map(|order| give(app, order));
        futures_util::future::join_all(given).await;
    }
}

async fn give(app: &app::App, order: rollout::ActivateOrder) {
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
        .call(address, "/v1/activate", &request, ORDER_TIMEOUT);
    let reply: Result<messages::ActivateReply, _> = call.await;
    match reply {
        Ok(reply) => {
            if let Some(reason) = reply.refusal {
                log::warn!("duties: {} refuses an order, {reason}.", order.vm);
            }
            // The report shows at once that the replica no longer counts as serving.
            agents::record(app, reply.report);
        }
        Err(error) => log::warn!("duties: {error}."),
    }
}
