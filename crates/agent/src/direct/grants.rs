//! Grants to download chunks from the origin, which bound how much it sends.
//!
//! The grants for a version are recorded in its ledger in the store before they are handed out. The
//! live agent that is first by rank for the version is its grantor, whichever version it downloads
//! itself: a superseded version is granted as long as an agent downloads it. The grantor extends the
//! ledger by compare-and-swap on the revision, so two agents that both act as grantor can't exceed
//! the bound.

use std::{sync, time};

use pimentohook_core::{
    burst::{self, grantor, ledger},
    collection, id,
};
use pimentohook_platform::{origin, store};

use super::{app, lost_grants, peer_statuses, version_ledgers};
use crate::mutex::lock;

/// When a granted chunk that no agent holds is granted again, and how many grants may be
/// outstanding: enough to keep the origin busy until the next ones are recorded and handed out.
const GRANT_LIMITS: ledger::GrantLimits = ledger::GrantLimits {
    grant_timeout: time::Duration::from_millis(1_500),
    open_grants_max: 18,
    vm_grants_max: 18,
};
/// Grants are recorded once this many are due, while the others keep the origin busy.
const GRANT_BATCH_MIN: usize = 6;
/// An agent that was last seen longer ago than this takes no part.
const SILENCE_MAX: time::Duration = time::Duration::from_secs(1);
/// In a large fleet, where calls are rarer, an agent may be silent for this many call intervals.
const SILENT_INTERVALS_MAX: u32 = 4;
/// The shortest interval at which an agent calls possible grantors.
const CALL_INTERVAL_MIN: time::Duration = time::Duration::from_millis(40);
/// How much each agent of the fleet adds to the call interval, so that the link of the grantor can
/// carry the calls of all.
const CALL_INTERVAL_PER_AGENT: time::Duration = time::Duration::from_millis(3);

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

/// The grants that were made for a version in one round.
#[derive(Clone, Debug)]
pub struct NewGrants {
    /// The version.
    pub target: app::TargetVersion,
    /// The grants, which may be none.
    pub grants: Vec<ledger::Grant>,
}

/// Makes the grants that are due for all announced versions of which this agent is the grantor.
pub async fn make_due_grants(app: &app::App) -> Vec<NewGrants> {
    let announced = app.announced.load_full();
    let mut made = Vec::new();
    for target in announced.iter() {
        let Some(manifest) = app.manifest(&(target.model.clone(), target.version)) else {
            continue;
        };
        if is_wanted(app, manifest.digest()) && is_grantor(app, target) {
            let grants = make_version_grants(app, target, &manifest).await;
            let target = target.clone();
            made.push(NewGrants { target, grants });
        }
    }
    made
}

async fn make_version_grants(
    app: &app::App,
    target: &app::TargetVersion,
    manifest: &origin::Manifest,
) -> Vec<ledger::Grant> {
    match extend_ledger(app, target, manifest).await {
        Ok(granted) => granted,
        Err(error) => {
            log::warn!("grants: event=not_recorded error={error:?}");
            lock(&app.version_ledgers).forget_recorded(manifest.digest());
            Vec::new()
        }
    }
}

/// Returns whether this agent or one that it hears downloads a version of which it lacks chunks.
#[must_use]
pub fn is_wanted(app: &app::App, manifest: id::Digest) -> bool {
    let Some(own) = app.transfers.progress_of(manifest) else {
        return false;
    };
    if own.held.is_full() {
        return false;
    }
    let oldest = app.clock.now().checked_sub(silence_max(app));
    let is_downloading = |report: &peer_statuses::VersionReport| {
        report.progress.is_downloading && Some(report.received_at) > oldest
    };
    let peer_statuses = lock(&app.peer_statuses);
    let mut reports = peer_statuses.reports_on(manifest);
    own.is_downloading || reports.any(|(_, report)| is_downloading(report))
}

/// Returns whether this agent is the grantor of a version: the first by rank that is live and
/// downloads the version.
#[must_use]
pub fn is_grantor(app: &app::App, target: &app::TargetVersion) -> bool {
    let rank = app.rank(target);
    let Some(manifest) = app.manifest(&(target.model.clone(), target.version)) else {
        return rank == 0;
    };
    let manifest = manifest.digest();
    let standing = grantor::Standing {
        rank,
        takes_part_for: takes_part_for(app, target, manifest),
        hears_earlier: hears_earlier(app, target, manifest, rank),
    };
    standing.is_grantor()
}

/// Returns whether this agent hears one that is ranked before it and downloads the version.
fn hears_earlier(
    app: &app::App,
    target: &app::TargetVersion,
    manifest: id::Digest,
    rank: usize,
) -> bool {
    let now = app.clock.now();
    let peers = app.peers.load();
    let peer_statuses = lock(&app.peer_statuses);
    let silence_max = silence_max(app);
    let is_live = |vm: &id::VmId| {
        let report = peer_statuses.report(vm, manifest);
        report.is_some_and(|report| now.duration_since(report.received_at) < silence_max)
    };
    by_rank(&peers, target)
        .take(rank)
        .any(|(vm, _)| is_live(vm))
}

/// Returns for how long this agent has downloaded a version, or known of it if that is shorter.
fn takes_part_for(
    app: &app::App,
    target: &app::TargetVersion,
    manifest: id::Digest,
) -> time::Duration {
    let began_at = app.transfers.target_since(manifest);
    let since = began_at.map_or(target.learned_at, |at| at.max(target.learned_at));
    app.clock.now().saturating_duration_since(since)
}

/// Records the grants that are due; returns them.
async fn extend_ledger(
    app: &app::App,
    target: &app::TargetVersion,
    manifest: &origin::Manifest,
) -> Result<Vec<ledger::Grant>, store::StoreError> {
    let digest = manifest.digest();
    let availability = chunk_availability(app, digest);
    if grantor::awaits_participants(
        takes_part_for(app, target, digest),
        availability.participant_count(),
        app.peers.load().len(),
    ) {
        return Ok(Vec::new());
    }
    let now = app.clock.now();
    let era = app.store.era();
    if !lock(&app.recovery).is_ready(era, now, silence_max(app)) {
        return Ok(Vec::new());
    }
    let is_complete = lock(&app.recovery).is_complete(digest, era);
    let mut known = lock(&app.version_ledgers).get(digest);
    if let Some(recorded) = known.recorded.as_ref().filter(|_| is_complete) {
        let mut trial = ledger::Ledger::clone(recorded);
        let mut grant_times = known.grant_times.clone();
        let due_count = trial.extend(now, &availability, &mut grant_times, GRANT_LIMITS);
        if due_count == 0 || awaits_batch(recorded, due_count) {
            if due_count == 0 {
                known.grant_times = grant_times;
            }
            record_own_grants(app, digest, recorded);
            lock(&app.version_ledgers).set(digest, known);
            return Ok(Vec::new());
        }
    }
    let name = ledger_name(target);
    let stored = app.store.get(store::Kind::Grants, &name).await?;
    let chunk_count = manifest.chunk_count();
    let decode = |object| decode_ledger(object, chunk_count);
    let decoded = stored.as_ref().and_then(decode);
    // An object that has been overwritten or removed has lost what was recorded in it.
    let is_complete = is_complete && decoded.is_some();
    let new_ledger = || ledger::Ledger::new(chunk_count, app.settings.policy);
    let mut extended = decoded.unwrap_or_else(new_ledger);
    if app.store.era() != era {
        return Ok(Vec::new());
    }
    let recovered_count = if is_complete {
        0
    } else {
        lost_grants::recover(app, digest, &mut extended, &availability)
    };
    let mut grant_times = lock(&app.version_ledgers).get(digest).grant_times;
    let granted_count = extended.extend(now, &availability, &mut grant_times, GRANT_LIMITS);
    if recovered_count + granted_count > 0 {
        write_ledger(app, &name, stored.as_ref(), &extended).await?;
        log::info!(
            "grants: event=recorded name={name} grants={} receivers={}",
            extended.grants().len(),
            availability.participant_count()
        );
    }
    // What was written may be lost, and is not handed out.
    if app.store.era() != era {
        return Ok(Vec::new());
    }
    lock(&app.recovery).record(digest, era, &extended);
    record_own_grants(app, digest, &extended);
    let granted = extended.grants()[extended.grants().len() - granted_count..].to_vec();
    let version_ledger = version_ledgers::VersionLedger {
        recorded: Some(sync::Arc::new(extended)),
        grant_times,
    };
    lock(&app.version_ledgers).set(digest, version_ledger);
    Ok(granted)
}

/// Returns whether grants that are due wait until there are more, so that the store is called less
/// often. The last ones of a version don't wait.
fn awaits_batch(recorded: &ledger::Ledger, due_count: usize) -> bool {
    due_count < GRANT_BATCH_MIN && recorded.ungranted_count() >= GRANT_BATCH_MIN
}

async fn write_ledger(
    app: &app::App,
    name: &str,
    stored: Option<&collection::Object>,
    extended: &ledger::Ledger,
) -> Result<(), store::StoreError> {
    let kind = store::Kind::Grants;
    match stored {
        Some(object) => {
            let position = object.position;
            app.store.replace(kind, name, position, extended).await
        }
        None => app.store.create(kind, name, extended).await,
    }
}

/// Returns the name of the object with the ledger of a version.
#[must_use]
pub fn ledger_name(target: &app::TargetVersion) -> String {
    format!("{}-{}", target.model, target.version)
}

/// Decodes a ledger; one that can't be decoded or has another number of chunks is logged.
fn decode_ledger(object: &collection::Object, chunk_count: u32) -> Option<ledger::Ledger> {
    match serde_json::from_str::<ledger::Ledger>(&object.content) {
        Ok(ledger) if ledger.chunk_count() == chunk_count => Some(ledger),
        Ok(ledger) => {
            log::warn!(
                "grants: event=record_misfit name={} chunks={} expected={chunk_count}",
                object.name,
                ledger.chunk_count()
            );
            None
        }
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

/// Returns the chunks that this agent and the live ones that it hears have, and who would use grants.
fn chunk_availability(app: &app::App, manifest: id::Digest) -> ledger::ChunkAvailability {
    let now = app.clock.now();
    let silence_max = silence_max(app);
    let mut availability = ledger::ChunkAvailability::default();
    if let Some(progress) = app.transfers.progress_of(manifest) {
        add_agent(
            app,
            &mut availability,
            &app.own_vm,
            app.incarnation,
            &progress,
        );
    }
    for (vm, report) in lock(&app.peer_statuses).reports_on(manifest) {
        if now.duration_since(report.received_at) < silence_max {
            let incarnation = report.incarnation;
            add_agent(app, &mut availability, vm, incarnation, &report.progress);
        }
    }
    availability
}

fn add_agent(
    app: &app::App,
    availability: &mut ledger::ChunkAvailability,
    vm: &id::VmId,
    incarnation: id::Incarnation,
    progress: &burst::Progress,
) {
    let leaving = app.is_leaving(vm);
    if !leaving && !progress.is_downloading && !progress.held.is_full() {
        availability.add_holder(&progress.held);
        return;
    }
    availability.add(ledger::Participant {
        leaving,
        vm: vm.clone(),
        incarnation,
        starved: progress.starved,
        failed_grants: progress.failed_grants.clone(),
        held: progress.held.clone(),
    });
}
