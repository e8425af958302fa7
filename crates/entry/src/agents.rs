//! Heartbeats of agents.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::Response;
use indexmap::IndexMap;
use pimentohook_core::{clock::Clock as _, id, membership, routing::score};
use pimentohook_runtime::{process, server};
use pimentohook_wire::messages;
use rand::seq::IteratorRandom as _;

use crate::app::{self, lock};

const MESSAGE_MAX_BYTES: usize = 1 << 20;
const PUBLISH_EVERY: time::Duration = time::Duration::from_millis(100);
const PEER_SAMPLE: usize = 24;

/// Handles a heartbeat.
pub async fn heartbeat(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let heartbeat: messages::Heartbeat = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(heartbeat) => heartbeat,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let reply = reply_to(&app, &heartbeat.report);
    record(&app, heartbeat.report);
    server::respond_message(&reply)
}

/// Takes in what an agent says of itself.
pub fn record(app: &app::App, report: membership::AgentReport) {
    let known = app.record(&report.vm);
    let record = known.unwrap_or_else(|| add_record(app, &report.vm));
    record.record_slot_count(report.slot_count);
    let mut view = lock(&app.view_owner);
    let news = view.member(&report.vm).is_none_or(|member| {
        member.report.openness != report.openness || member.report.weights != report.weights
    });
    view.record(app.clock.now(), report);
    if news {
        app.publish_view(&view);
    }
}

/// Records that an agent said it leaves.
pub fn record_leaving(app: &app::App, vm: &id::VmId, incarnation: id::Incarnation) {
    let mut view = lock(&app.view_owner);
    view.mark_leaving(vm, incarnation);
    app.publish_view(&view);
}

/// Publishes the view and finds silent agents, until the entry stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    while stop.sleep(PUBLISH_EVERY).await {
        let mut view = lock(&app.view_owner);
        view.expire(app.clock.now());
        app.publish_view(&view);
        drop(view);
        forget_records(&app);
    }
}

fn add_record(app: &app::App, vm: &id::VmId) -> sync::Arc<score::UpstreamStats> {
    let record = sync::Arc::new(score::UpstreamStats::default());
    app.records.rcu(|records| {
        let mut records = IndexMap::clone(records);
        records.entry(vm.clone()).or_insert_with(|| record.clone());
        records
    });
    app.record(vm).unwrap_or(record)
}

fn forget_records(app: &app::App) {
    let view = app.view.load();
    if app.records.load().len() <= view.member_count() {
        return;
    }
    app.records.rcu(|records| {
        let mut records = IndexMap::clone(records);
        records.retain(|vm, _| view.member(vm).is_some());
        records
    });
}

fn reply_to(app: &app::App, report: &membership::AgentReport) -> messages::HeartbeatReply {
    let config = app.config.load();
    let newer = config.version > report.config_version;
    messages::HeartbeatReply {
        config: newer.then(|| (**config).clone()),
        fencing: lock(&app.lease).fencing_seen(),
        manifest: report.burst.as_ref().map(|progress| progress.manifest),
        peers: peers_for(app, report),
        grants: grants_for(app, report),
        leaving: app.leaving_vms.load().contains(&report.vm),
    }
}

fn grants_for(
    app: &app::App,
    report: &membership::AgentReport,
) -> Vec<pimentohook_core::burst::ledger::Grant> {
    let Some(progress) = &report.burst else {
        return Vec::new();
    };
    let ledgers = app.ledgers.load();
    let Some(ledger) = ledgers.get(&progress.manifest) else {
        return Vec::new();
    };
    let mine = ledger.grants_of(&report.vm, report.incarnation);
    let open = mine.filter(|grant| !progress.held.contains(grant.chunk));
    open.cloned().collect()
}

fn peers_for(app: &app::App, report: &membership::AgentReport) -> Vec<messages::PeerNotice> {
    let Some(progress) = report.burst.as_ref().filter(|one| !one.held.is_full()) else {
        return Vec::new();
    };
    let view = app.view.load();
    let useful = |member: &&sync::Arc<membership::Member>| {
        let theirs = member.report.burst.as_ref();
        member.departed_at.is_none()
            && member.report.vm != report.vm
            && theirs.is_some_and(|one| {
                one.manifest == progress.manifest && one.held.exceeds(&progress.held)
            })
    };
    let sample = view
        .members()
        .filter(useful)
        .sample(&mut rand::rng(), PEER_SAMPLE);
    sample.into_iter().filter_map(|one| notice(one)).collect()
}

fn notice(member: &membership::Member) -> Option<messages::PeerNotice> {
    let progress = member.report.burst.as_ref()?;
    Some(messages::PeerNotice {
        vm: member.report.vm.clone(),
        address: member.report.address,
        failure_domain: member.report.failure_domain.clone(),
        held: progress.held.clone(),
        given_count: progress.given_count,
    })
}
