//! Grants for chunks of the origin, recorded in the store before anybody hears of them.
//!
//! The agent that comes first in the order of a version makes the grants. The record is changed
//! under its revision only, so two agents that both take themselves for the first can't exceed it.

use std::{sync, time};

use pimentohook_core::{
    burst::{self, ledger},
    collection, id,
};
use pimentohook_platform::store;

use super::app;
use crate::app::lock;

/// A granted chunk that nobody holds after this long is granted again. So many are outstanding that
/// the origin is busy until the next ones are recorded and heard of.
const GRANT_LIMITS: ledger::Pace = ledger::Pace {
    patience: time::Duration::from_millis(1_500),
    open_max: 18,
};
/// The first grants wait for no more machines than this.
const FIRST_GRANT_QUORUM_MAX: usize = 6;
/// An agent that was not heard for this long takes no part.
const SILENCE_MAX: time::Duration = time::Duration::from_secs(1);
/// One that calls rarely, since there are many, may be silent for this many intervals.
const SILENT_INTERVALS_MAX: u32 = 4;
/// Those that make grants are called no more often.
const CALL_INTERVAL_MIN: time::Duration = time::Duration::from_millis(40);
/// The time that each agent adds to the interval of its calls, so that the link of the one which
/// makes grants carries those of all.
const CALL_INTERVAL_PER_AGENT: time::Duration = time::Duration::from_millis(3);

/// How long the first grants wait until some agents were heard, so that they are spread.
const FIRST_GRANT_DELAY_MAX: time::Duration = time::Duration::from_millis(400);
/// How long the first in the order may be unheard before the next one makes grants.
const TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(500);

/// Returns how often an agent calls those that make grants, beside `other_count` others.
#[must_use]
pub fn call_interval(peer_count: usize) -> time::Duration {
    let count = u32::try_from(peer_count).unwrap_or(u32::MAX);
    let interval = CALL_INTERVAL_PER_AGENT.saturating_mul(count);
    interval.max(CALL_INTERVAL_MIN)
}

fn silence_max(app: &app::App) -> time::Duration {
    let interval = call_interval(app.peers.load().len());
    SILENCE_MAX.max(interval * SILENT_INTERVALS_MAX)
}

/// Returns other agents in the order of a version, the first ones first.
pub fn by_rank<'a>(
    peers: &'a app::PeerAgents,
    target: &app::TargetVersion,
) -> impl Iterator<Item = (&'a id::VmId, &'a app::PeerAgent)> + use<'a> {
    let key = format!("{} {}", target.model, target.version);
    let mut order: Vec<_> = peers.iter().collect();
    order.sort_by_cached_key(|(vm, _)| std::cmp::Reverse(id::rendezvous_score(&key, vm.as_str())));
    order.into_iter()
}

/// Makes the grants that are due, if it is this agent that makes them.
pub async fn extend(app: &sync::Arc<app::App>, target: &app::TargetVersion) {
    if !is_grantor(app, target) {
        return;
    }
    if let Err(error) = extend_record(app, target).await {
        log::warn!("grants: event=not_recorded error={error:?}");
        app.ledger.store(None);
    }
}

/// Whether all agents before this one in the order have been silent for a while.
fn is_grantor(app: &app::App, target: &app::TargetVersion) -> bool {
    let now = app.clock.now();
    let rank = app.rank(target);
    if rank == 0 {
        return true;
    }
    if now.duration_since(target.learned_at) < TAKEOVER_DELAY {
        return false;
    }
    let peers = app.peers.load();
    let peer_statuses = lock(&app.peer_statuses);
    let silence_max = silence_max(app);
    let is_live = |vm: &id::VmId| {
        let status = peer_statuses.get(vm);
        status.is_some_and(|status| now.duration_since(status.last_seen_at) < silence_max)
    };
    !by_rank(&peers, target)
        .take(rank)
        .any(|(vm, _)| is_live(vm))
}

async fn extend_record(
    app: &sync::Arc<app::App>,
    target: &app::TargetVersion,
) -> Result<(), store::StoreError> {
    let Some(manifest) = app.manifest(&(target.model.clone(), target.version)) else {
        return Ok(());
    };
    let chunk_count = manifest.chunk_count();
    let mut clock = lock(&app.grant_times).clone();
    let chunk_availability = chunk_availability(app, manifest.digest());
    let now = app.clock.now();
    let age = now.duration_since(target.learned_at);
    let quorum = (app.peers.load().len() / 2 + 1).min(FIRST_GRANT_QUORUM_MAX);
    if chunk_availability.receiver_count() < quorum && age < FIRST_GRANT_DELAY_MAX {
        return Ok(());
    }
    if let Some(cached) = app.ledger.load_full() {
        let mut trial = ledger::Ledger::clone(&cached);
        if trial.extend(now, &chunk_availability, &mut clock, GRANT_LIMITS) == 0 {
            *lock(&app.grant_times) = clock;
            record_own_grants(app, manifest.digest(), &cached);
            return Ok(());
        }
    }
    let name = format!("{}-{}", target.model, target.version);
    let recorded = app.store.get(store::Kind::Grants, &name).await?;
    let mut ledger = recorded
        .as_ref()
        .and_then(decode_ledger)
        .unwrap_or_else(|| ledger::Ledger::new(chunk_count, app.settings.policy));
    let mut clock = lock(&app.grant_times).clone();
    if ledger.extend(now, &chunk_availability, &mut clock, GRANT_LIMITS) > 0 {
        match &recorded {
            Some(object) => {
                let revision = object.revision;
                app.store
                    .replace(store::Kind::Grants, &name, revision, &ledger)
                    .await?;
            }
            None => {
                app.store
                    .create(store::Kind::Grants, &name, &ledger)
                    .await?;
            }
        }
        log::info!(
            "grants: event=recorded name={name} grants={} receivers={}",
            ledger.grants().len(),
            chunk_availability.receiver_count()
        );
    }
    *lock(&app.grant_times) = clock;
    record_own_grants(app, manifest.digest(), &ledger);
    app.ledger.store(Some(sync::Arc::new(ledger)));
    Ok(())
}

fn decode_ledger(object: &collection::Object) -> Option<ledger::Ledger> {
    match serde_json::from_str(&object.content) {
        Ok(ledger) => Some(ledger),
        Err(error) => {
            log::warn!(
                "grants: event=record_unreadable name={} error={error:?}",
                object.name
            );
            None
        }
    }
}

fn record_own_grants(app: &app::App, manifest: id::Digest, ledger: &ledger::Ledger) {
    for grant in ledger.grants_of(&app.own_vm, app.incarnation) {
        app.transfers
            .record_grant(manifest, grant.chunk, grant.serial);
    }
}

fn chunk_availability(app: &app::App, manifest: id::Digest) -> ledger::Supply {
    let now = app.clock.now();
    let silence_max = silence_max(app);
    let mut chunk_availability = ledger::Supply::default();
    if let Some(own) = app.transfers.progress_of(manifest) {
        chunk_availability.add(participant(app, app.own_vm.clone(), app.incarnation, own));
    }
    for (vm, status) in lock(&app.peer_statuses).iter() {
        let is_live = now.duration_since(status.last_seen_at) < silence_max;
        if is_live && status.progress.manifest == manifest {
            let progress = status.progress.clone();
            chunk_availability.add(participant(app, vm.clone(), status.incarnation, progress));
        }
    }
    chunk_availability
}

fn participant(
    app: &app::App,
    vm: id::VmId,
    incarnation: id::Incarnation,
    progress: burst::Progress,
) -> ledger::Receiver {
    ledger::Receiver {
        leaving: app.is_leaving(&vm),
        vm,
        incarnation,
        starved: progress.starved,
        failed_grants: progress.failed_grants,
        held: progress.held,
    }
}
