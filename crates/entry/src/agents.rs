//! Handles heartbeats from agents, and publishes the view of the agents for requests.

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
const PUBLISH_INTERVAL: time::Duration = time::Duration::from_millis(40);
const PEER_SAMPLE_SIZE: usize = 24;

/// Handles an agent's heartbeat.
pub async fn heartbeat(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let heartbeat: messages::Heartbeat = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(heartbeat) => heartbeat,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let reply = reply_to(&app, &heartbeat.report);
    record(&app, heartbeat.report);
    server::respond_message(&reply)
}

/// Records an agent's report.
pub fn record(app: &app::App, report: membership::AgentReport) {
    let known_stats = app.stats(&report.vm);
    let stats = known_stats.unwrap_or_else(|| add_stats(app, &report.vm));
    stats.record_slot_count(report.slot_count);
    let mut view = lock(&app.current_view);
    let is_changed = view
        .member(&report.vm)
        .is_none_or(|member| needs_action(&member.report, &report));
    view.record(app.clock.now(), report);
    if is_changed {
        app.publish_view(&view);
        app.duties_trigger.notify_one();
    }
}

/// Returns whether a report changes what requests or duties do next: where requests may go, who
/// takes part in a burst, and who can be ordered to activate weights.
fn needs_action(before: &membership::AgentReport, now: &membership::AgentReport) -> bool {
    let burst = |report: &membership::AgentReport| {
        let progress = report.burst.as_ref();
        progress.map(|progress| (progress.manifest, progress.held.is_full()))
    };
    before.openness != now.openness || before.weights != now.weights || burst(before) != burst(now)
}

/// Records that an agent refused a request because it is leaving.
pub fn record_leaving(app: &app::App, vm: &id::VmId, incarnation: id::Incarnation) {
    let mut view = lock(&app.current_view);
    view.mark_leaving(vm, incarnation);
    app.publish_view(&view);
}

/// Publishes the view and marks silent agents as departed, until the entry stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    while stop.sleep(PUBLISH_INTERVAL).await {
        let mut view = lock(&app.current_view);
        view.expire(app.clock.now());
        app.publish_view(&view);
        drop(view);
        prune_stats(&app);
    }
}

fn add_stats(app: &app::App, vm: &id::VmId) -> sync::Arc<score::UpstreamStats> {
    let stats = sync::Arc::new(score::UpstreamStats::default());
    app.stats_by_vm.rcu(|stats_by_vm| {
        let mut stats_by_vm = IndexMap::clone(stats_by_vm);
        stats_by_vm
            .entry(vm.clone())
            .or_insert_with(|| stats.clone());
        stats_by_vm
    });
    app.stats(vm).unwrap_or(stats)
}

fn prune_stats(app: &app::App) {
    let view = app.view.load();
    if app.stats_by_vm.load().len() <= view.member_count() {
        return;
    }
    app.stats_by_vm.rcu(|stats_by_vm| {
        let mut stats_by_vm = IndexMap::clone(stats_by_vm);
        stats_by_vm.retain(|vm, _| view.member(vm).is_some());
        stats_by_vm
    });
}

fn reply_to(app: &app::App, report: &membership::AgentReport) -> messages::HeartbeatReply {
    let config = app.config.load();
    let is_newer = config.version > report.config_version;
    messages::HeartbeatReply {
        config: is_newer.then(|| (**config).clone()),
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
    let granted = ledger.grants_of(&report.vm, report.incarnation);
    let pending = granted.filter(|grant| !progress.held.contains(grant.chunk));
    pending.cloned().collect()
}

fn peers_for(app: &app::App, report: &membership::AgentReport) -> Vec<messages::PeerNotice> {
    let Some(progress) = report
        .burst
        .as_ref()
        .filter(|progress| !progress.held.is_full())
    else {
        return Vec::new();
    };
    let view = app.view.load();
    let is_useful = |member: &&sync::Arc<membership::Member>| {
        let member_progress = member.report.burst.as_ref();
        member.departed_at.is_none()
            && member.report.vm != report.vm
            && member_progress.is_some_and(|other| {
                other.manifest == progress.manifest && other.held.exceeds(&progress.held)
            })
    };
    let sample = view
        .members()
        .filter(is_useful)
        .sample(&mut rand::rng(), PEER_SAMPLE_SIZE);
    sample
        .into_iter()
        .filter_map(|member| peer_notice(member))
        .collect()
}

fn peer_notice(member: &membership::Member) -> Option<messages::PeerNotice> {
    let progress = member.report.burst.as_ref()?;
    Some(messages::PeerNotice {
        vm: member.report.vm.clone(),
        address: member.report.address,
        failure_domain: member.report.failure_domain.clone(),
        held: progress.held.clone(),
        given_count: progress.given_count,
    })
}
