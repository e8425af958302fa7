//! Grants to download chunks from the origin, which bound how much it sends.
//!
//! The grants for a version are recorded in its ledger in the store before they are handed out. The
//! live agent that is first by rank for the version is its grantor. It extends the ledger by
//! compare-and-swap on the revision, so two agents that both act as grantor can't exceed the bound.

use std::{sync, time};

use pimentohook_core::{
    burst::{self, ledger},
    collection, id,
};
use pimentohook_platform::store;

use super::{app, ledger_recovery};
use crate::mutex::lock;

/// When a granted chunk that no agent holds is granted again, and how many grants may be
/// outstanding: enough to keep the origin busy until the next ones are recorded and handed out.
const GRANT_LIMITS: ledger::GrantLimits = ledger::GrantLimits {
    grant_timeout: time::Duration::from_millis(1_500),
    open_grants_max: 18,
    vm_grants_max: 18,
};
/// The first grants wait for at most this many agents to take part.
const FIRST_GRANT_PARTICIPANTS_MAX: usize = 6;
/// An agent that was last seen longer ago than this takes no part.
const SILENCE_MAX: time::Duration = time::Duration::from_secs(1);
/// In a large fleet, where calls are rarer, an agent may be silent for this many call intervals.
const SILENT_INTERVALS_MAX: u32 = 4;
/// The shortest interval at which an agent calls possible grantors.
const CALL_INTERVAL_MIN: time::Duration = time::Duration::from_millis(40);
/// How much each agent of the fleet adds to the call interval, so that the link of the grantor can
/// carry the calls of all.
const CALL_INTERVAL_PER_AGENT: time::Duration = time::Duration::from_millis(3);

/// How long the first grants wait for agents to take part, so that they are spread over several.
const FIRST_GRANT_DELAY_MAX: time::Duration = time::Duration::from_millis(400);
/// How long after an announcement an agent that isn't first by rank waits before it may act as
/// grantor in place of silent ones.
const TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(500);

/// Returns the interval at which an agent with `peer_count` peers calls possible grantors.
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

/// Returns peers in the rendezvous order of a version, the one with the highest score first.
pub fn by_rank<'a>(
    peers: &'a app::PeerAgents,
    target: &app::TargetVersion,
) -> impl Iterator<Item = (&'a id::VmId, &'a app::PeerAgent)> + use<'a> {
    let key = format!("{} {}", target.model, target.version);
    let mut order: Vec<_> = peers.iter().collect();
    order.sort_by_cached_key(|(vm, _)| std::cmp::Reverse(id::rendezvous_score(&key, vm.as_str())));
    order.into_iter()
}

/// Makes the grants that are due, if this agent is the grantor.
pub async fn make_due_grants(app: &sync::Arc<app::App>, target: &app::TargetVersion) {
    if !is_grantor(app, target) {
        return;
    }
    if let Err(error) = extend_ledger(app, target).await {
        log::warn!("grants: event=not_recorded error={error:?}");
        app.ledger.store(None);
    }
}

/// Returns whether this agent is the grantor: the first live one by rank.
#[must_use]
pub fn is_grantor(app: &app::App, target: &app::TargetVersion) -> bool {
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

async fn extend_ledger(
    app: &sync::Arc<app::App>,
    target: &app::TargetVersion,
) -> Result<(), store::StoreError> {
    let Some(manifest) = app.manifest(&(target.model.clone(), target.version)) else {
        return Ok(());
    };
    let chunk_count = manifest.chunk_count();
    let mut grant_times = lock(&app.grant_times).clone();
    let availability = chunk_availability(app, manifest.digest());
    let now = app.clock.now();
    let age = now.duration_since(target.learned_at);
    let participants_min = (app.peers.load().len() / 2 + 1).min(FIRST_GRANT_PARTICIPANTS_MAX);
    if availability.participant_count() < participants_min && age < FIRST_GRANT_DELAY_MAX {
        return Ok(());
    }
    let era = app.store.era();
    if !lock(&app.recovery).is_ready(era, now, silence_max(app)) {
        return Ok(());
    }
    let is_complete = lock(&app.recovery).is_complete(manifest.digest(), era);
    if let Some(cached) = app.ledger.load_full().filter(|_| is_complete) {
        let mut trial = ledger::Ledger::clone(&cached);
        if trial.extend(now, &availability, &mut grant_times, GRANT_LIMITS) == 0 {
            *lock(&app.grant_times) = grant_times;
            record_own_grants(app, manifest.digest(), &cached);
            return Ok(());
        }
    }
    let name = ledger_name(target);
    let stored = app.store.get(store::Kind::Grants, &name).await?;
    let mut ledger = stored
        .as_ref()
        .and_then(decode_ledger)
        .unwrap_or_else(|| ledger::Ledger::new(chunk_count, app.settings.policy));
    if app.store.era() != era {
        return Ok(());
    }
    let recovered_count = if is_complete {
        0
    } else {
        ledger_recovery::recover(app, manifest.digest(), &mut ledger, &availability)
    };
    let mut grant_times = lock(&app.grant_times).clone();
    let granted_count = ledger.extend(now, &availability, &mut grant_times, GRANT_LIMITS);
    if recovered_count + granted_count > 0 {
        match &stored {
            Some(object) => {
                let position = object.position;
                app.store
                    .replace(store::Kind::Grants, &name, position, &ledger)
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
            availability.participant_count()
        );
    }
    // What was written may be lost, and is not handed out.
    if app.store.era() != era {
        return Ok(());
    }
    *lock(&app.grant_times) = grant_times;
    lock(&app.recovery).record(manifest.digest(), era, &ledger);
    record_own_grants(app, manifest.digest(), &ledger);
    app.ledger.store(Some(sync::Arc::new(ledger)));
    Ok(())
}

/// Returns the name of the object with the ledger of a version.
#[must_use]
pub fn ledger_name(target: &app::TargetVersion) -> String {
    format!("{}-{}", target.model, target.version)
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

fn chunk_availability(app: &app::App, manifest: id::Digest) -> ledger::ChunkAvailability {
    let now = app.clock.now();
    let silence_max = silence_max(app);
    let mut availability = ledger::ChunkAvailability::default();
    if let Some(progress) = app.transfers.progress_of(manifest) {
        availability.add(participant(
            app,
            app.own_vm.clone(),
            app.incarnation,
            progress,
        ));
    }
    for (vm, status) in lock(&app.peer_statuses).iter() {
        let is_live = now.duration_since(status.last_seen_at) < silence_max;
        if is_live && status.progress.manifest == manifest {
            let progress = status.progress.clone();
            availability.add(participant(app, vm.clone(), status.incarnation, progress));
        }
    }
    availability
}

fn participant(
    app: &app::App,
    vm: id::VmId,
    incarnation: id::Incarnation,
    progress: burst::Progress,
) -> ledger::Participant {
    ledger::Participant {
        leaving: app.is_leaving(&vm),
        vm,
        incarnation,
        starved: progress.starved,
        failed_grants: progress.failed_grants,
        held: progress.held,
    }
}
