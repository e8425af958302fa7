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
const PACE: ledger::GrantLimits = ledger::GrantLimits {
    grant_timeout: time::Duration::from_millis(1_500),
    open_grants_max: 18,
};
/// The first grants wait for no more machines than this.
const GATHER_COUNT: usize = 6;
/// An agent that was not heard for this long takes no part.
const SILENCE_MAX: time::Duration = time::Duration::from_secs(1);
/// One that calls rarely, since there are many, may be silent for this many intervals.
const SILENT_INTERVALS: u32 = 4;
/// Those that make grants are called no more often.
const CALL_EVERY_MIN: time::Duration = time::Duration::from_millis(40);
/// The time that each agent adds to the interval of its calls, so that the link of the one which
/// makes grants carries those of all.
const CALL_EVERY_PER_AGENT: time::Duration = time::Duration::from_millis(3);

/// How long the first grants wait until some agents were heard, so that they are spread.
const GATHER_MAX: time::Duration = time::Duration::from_millis(400);
/// How long the first in the order may be unheard before the next one makes grants.
const TAKE_OVER_AFTER: time::Duration = time::Duration::from_millis(500);

/// Returns how often an agent calls those that make grants, beside `other_count` others.
#[must_use]
pub fn call_interval(other_count: usize) -> time::Duration {
    let count = u32::try_from(other_count).unwrap_or(u32::MAX);
    let interval = CALL_EVERY_PER_AGENT.saturating_mul(count);
    interval.max(CALL_EVERY_MIN)
}

fn silence_max(app: &app::App) -> time::Duration {
    let interval = call_interval(app.others.load().len());
    SILENCE_MAX.max(interval * SILENT_INTERVALS)
}

/// Returns other agents in the order of a version, the first ones first.
pub fn first_in_order<'a>(
    others: &'a app::Others,
    target: &app::Target,
) -> impl Iterator<Item = (&'a id::VmId, &'a app::Other)> + use<'a> {
    let key = format!("{} {}", target.model, target.version);
    let mut order: Vec<_> = others.iter().collect();
    order.sort_by_cached_key(|(vm, _)| std::cmp::Reverse(id::rendezvous_score(&key, vm.as_str())));
    order.into_iter()
}

/// Makes the grants that are due, if it is this agent that makes them.
pub async fn extend(app: &sync::Arc<app::App>, target: &app::Target) {
    if !is_grantor(app, target) {
        return;
    }
    if let Err(error) = extend_recorded(app, target).await {
        log::warn!("grants: event=not_recorded error={error:?}");
        app.ledger.store(None);
    }
}

/// Whether all agents before this one in the order have been silent for a while.
fn is_grantor(app: &app::App, target: &app::Target) -> bool {
    let now = app.clock.now();
    let rank = app.rank(target);
    if rank == 0 {
        return true;
    }
    if now.duration_since(target.since) < TAKE_OVER_AFTER {
        return false;
    }
    let others = app.others.load();
    let heard = lock(&app.heard);
    let silence_max = silence_max(app);
    let is_live = |vm: &id::VmId| {
        let heard = heard.get(vm);
        heard.is_some_and(|heard| now.duration_since(heard.at) < silence_max)
    };
    !first_in_order(&others, target)
        .take(rank)
        .any(|(vm, _)| is_live(vm))
}

async fn extend_recorded(
    app: &sync::Arc<app::App>,
    target: &app::Target,
) -> Result<(), store::StoreError> {
    let Some(manifest) = app.manifest(&(target.model.clone(), target.version)) else {
        return Ok(());
    };
    let chunk_count = manifest.chunk_count();
    let mut clock = lock(&app.grant_clock).clone();
    let supply = supply(app, manifest.digest());
    let now = app.clock.now();
    let age = now.duration_since(target.since);
    let enough = (app.others.load().len() / 2 + 1).min(GATHER_COUNT);
    if supply.participant_count() < enough && age < GATHER_MAX {
        return Ok(());
    }
    if let Some(known) = app.ledger.load_full() {
        let mut probe = ledger::Ledger::clone(&known);
        if probe.extend(now, &supply, &mut clock, PACE) == 0 {
            *lock(&app.grant_clock) = clock;
            take_own(app, manifest.digest(), &known);
            return Ok(());
        }
    }
    let name = format!("{}-{}", target.model, target.version);
    let recorded = app.store.get(store::Kind::Grants, &name).await?;
    let mut ledger = recorded
        .as_ref()
        .and_then(read)
        .unwrap_or_else(|| ledger::Ledger::new(chunk_count, app.settings.policy));
    let mut clock = lock(&app.grant_clock).clone();
    if ledger.extend(now, &supply, &mut clock, PACE) > 0 {
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
            supply.participant_count()
        );
    }
    *lock(&app.grant_clock) = clock;
    take_own(app, manifest.digest(), &ledger);
    app.ledger.store(Some(sync::Arc::new(ledger)));
    Ok(())
}

fn read(object: &collection::Object) -> Option<ledger::Ledger> {
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

fn take_own(app: &app::App, manifest: id::Digest, ledger: &ledger::Ledger) {
    for grant in ledger.grants_of(&app.me, app.incarnation) {
        app.transfers
            .record_grant(manifest, grant.chunk, grant.serial);
    }
}

fn supply(app: &app::App, manifest: id::Digest) -> ledger::ChunkAvailability {
    let now = app.clock.now();
    let silence_max = silence_max(app);
    let mut supply = ledger::ChunkAvailability::default();
    if let Some(own) = app.transfers.progress_of(manifest) {
        supply.add(receiver(app, app.me.clone(), app.incarnation, own));
    }
    for (vm, heard) in lock(&app.heard).iter() {
        let is_live = now.duration_since(heard.at) < silence_max;
        if is_live && heard.progress.manifest == manifest {
            let progress = heard.progress.clone();
            supply.add(receiver(app, vm.clone(), heard.incarnation, progress));
        }
    }
    supply
}

fn receiver(
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
