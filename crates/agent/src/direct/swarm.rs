//! Downloads weights from other agents and from the origin.
//!
//! An agent whose set of chunks is incomplete exchanges gossip with a sample of its peers several
//! times a second. An agent with a complete set only answers calls.

use std::{net, sync, sync::atomic, time};

use pimentohook_core::{
    burst::{activation, chunks},
    id, version_selection,
};
use pimentohook_platform::origin;
use pimentohook_runtime::process;

use super::{app, gossip, grants, weights_versions};
use crate::{mutex::lock, transfer};

/// The interval of rounds until the first chunk is held, and while this agent is a grantor.
const SHORT_ROUND_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// The interval of rounds while nothing is downloaded.
const IDLE_ROUND_INTERVAL: time::Duration = time::Duration::from_secs(1);
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);
const EARLY_DOWNLOADS_MAX: usize = 3;
const LATE_DOWNLOADS_MAX: usize = 2;
const ORIGIN_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// The delay, per rank, before an agent fetches a manifest from the origin, so that most agents get
/// it from a peer first.
const MANIFEST_STAGGER: time::Duration = time::Duration::from_millis(400);
/// If none of so many staged chunks is of a version, the others aren't either.
const STAGED_SAMPLE_COUNT: usize = 3;
const MANIFEST_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Downloads announced versions, until the process stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    tokio::spawn(run_downloads(app.clone(), stop.clone()));
    let mut schedule = RoundSchedule::new(app.clock.now());
    let mut pause = gossip::SAMPLE_INTERVAL;
    while wait_for_work(&app, &stop, pause).await {
        pause = run_round(&app, &mut schedule).await;
    }
}

/// The times at which parts of a round were last due.
struct RoundSchedule {
    calls: gossip::CallSchedule,
    earlier_grantors_called_at: time::Instant,
    logged_at: time::Instant,
}

impl RoundSchedule {
    const fn new(now: time::Instant) -> Self {
        Self {
            calls: gossip::CallSchedule::new(now),
            earlier_grantors_called_at: now,
            logged_at: now,
        }
    }
}

/// Makes the grants, calls and preparations for downloads that are due; returns the pause until the
/// next round.
async fn run_round(app: &sync::Arc<app::App>, schedule: &mut RoundSchedule) -> time::Duration {
    let (Some(newest), Some(service)) = (app.newest_version.load_full(), app.service.load_full())
    else {
        return gossip::SAMPLE_INTERVAL;
    };
    let is_grantor = grant(app).await;
    let selected = version_to_download(app, &newest);
    let target = selected.map_or(newest.clone(), sync::Arc::new);
    call_earlier_grantors(app, &target, &mut schedule.earlier_grantors_called_at);
    // The first report may say that the engine leaves.
    if !app.is_first_report_over.load(atomic::Ordering::Acquire) {
        return SHORT_ROUND_INTERVAL;
    }
    // An engine whose VM is being taken away needs no more weights.
    if app.is_leaving(&app.own_vm) || is_complete(app, &target) {
        app.transfers.drop_superseded();
        return if is_grantor {
            SHORT_ROUND_INTERVAL
        } else {
            IDLE_ROUND_INTERVAL
        };
    }
    let is_opened = !is_target(app, &target) && open_set(app, &target, &service).await;
    let is_grant_used = app.is_grant_used.swap(false, atomic::Ordering::Relaxed);
    let has_news = is_opened || is_grant_used;
    schedule.calls.start_due(app, &target, has_news);
    let now = app.clock.now();
    if now.duration_since(schedule.logged_at) >= LOG_INTERVAL {
        schedule.logged_at = now;
        log_progress(app, &target);
    }
    if is_grantor || !has_chunks(app, &target) {
        SHORT_ROUND_INTERVAL
    } else {
        gossip::SAMPLE_INTERVAL
    }
}

/// Makes the grants that are due and tells them to the agents that got them; returns whether this
/// agent is the grantor of a version.
async fn grant(app: &sync::Arc<app::App>) -> bool {
    let made = grants::make_due_grants(app).await;
    let is_grantor = !made.is_empty();
    for new in made {
        gossip::call_receivers(app, &sync::Arc::new(new.target), &new.grants);
    }
    is_grantor
}

/// Waits for `pause` or until a version is announced; returns false if the process stops.
async fn wait_for_work(app: &app::App, stop: &process::StopSignal, pause: time::Duration) -> bool {
    tokio::select! {
        is_running = stop.sleep(pause) => is_running,
        () = app.swarm_changed.notified() => true,
    }
}

/// Returns whether any chunk of a version is held.
fn has_chunks(app: &app::App, target: &app::TargetVersion) -> bool {
    app.held_chunks(target).is_some_and(|held| !held.is_empty())
}

/// Returns whether a version is the one that is being downloaded.
#[must_use]
pub fn is_target(app: &app::App, target: &app::TargetVersion) -> bool {
    let manifest = app.manifest(&(target.model.clone(), target.version));
    manifest.is_some_and(|manifest| app.transfers.is_target(manifest.digest()))
}

/// Calls the agents that are ranked before this one as grantors of a version that others still
/// download.
fn call_earlier_grantors(
    app: &sync::Arc<app::App>,
    target: &app::TargetVersion,
    called_at: &mut time::Instant,
) {
    let now = app.clock.now();
    let interval = grants::call_interval(app.peers.load().len());
    if now.duration_since(*called_at) < interval {
        return;
    }
    *called_at = now;
    let announced = app.announced.load_full();
    for other in announced.iter().filter(|other| *other != target) {
        let manifest = app.manifest(&(other.model.clone(), other.version));
        if manifest.is_some_and(|manifest| grants::is_wanted(app, manifest.digest())) {
            gossip::call_earlier_grantors(app, &sync::Arc::new(other.clone()));
        }
    }
}

/// Returns the version to download now: the newest of the model or the one before it.
fn version_to_download(app: &app::App, newest: &app::TargetVersion) -> Option<app::TargetVersion> {
    let announced = app.announced.load();
    let now = app.clock.now();
    let version_progress = |target: &app::TargetVersion| {
        let held = app.held_chunks(target);
        let age = weights_versions::age(app, target);
        let last_chunk_at = app.last_chunk_at(target);
        version_selection::VersionProgress {
            version: target.version,
            age,
            idle: last_chunk_at.map_or(age, |at| now.duration_since(at)),
            held: held.as_ref().map(chunks::ChunkSet::len),
            chunk_count: held.as_ref().map_or(0, chunks::ChunkSet::range),
        }
    };
    let of_model = announced
        .iter()
        .filter(|target| target.model == newest.model);
    let progress: Vec<_> = of_model.map(version_progress).collect();
    let served = lock(&app.admission).weights().get(&newest.model).copied();
    let version =
        version_selection::version_to_download(&progress, served, app.settings.weights_grace)?;
    announced
        .iter()
        .find(|target| target.version == version)
        .cloned()
}

/// Logs the progress of a download.
fn log_progress(app: &app::App, target: &app::TargetVersion) {
    let progress = gossip::progress(app, target);
    log::info!(
        "swarm: event=under_way version={} held={:?} starved={:?} heard={} others={} age_ms={}",
        target.version,
        progress.as_ref().map(|progress| progress.held.len()),
        progress.as_ref().map(|progress| progress.starved),
        lock(&app.peer_statuses).len(),
        app.peers.load().len(),
        app.clock
            .now()
            .duration_since(target.learned_at)
            .as_millis()
    );
}

async fn run_downloads(app: sync::Arc<app::App>, stop: process::StopSignal) {
    while !stop.is_set() {
        app.transfers.poll_downloads(&stop).await;
    }
}

/// Returns whether all chunks of a version are held.
#[must_use]
pub fn is_complete(app: &app::App, target: &app::TargetVersion) -> bool {
    let manifest = app.manifest(&(target.model.clone(), target.version));
    manifest.is_some_and(|manifest| app.transfers.is_complete(manifest.digest()))
}

/// Opens the set of a version and makes it the target of downloads; returns false if its
/// manifest or the origin isn't known yet.
async fn open_set(
    app: &sync::Arc<app::App>,
    target: &app::TargetVersion,
    service: &app::Service,
) -> bool {
    let version = (target.model.clone(), target.version);
    let Some(manifest) = app.manifest(&version) else {
        spawn_manifest_fetch(app, target, service);
        return false;
    };
    if app.transfers.set_target(manifest.digest()) {
        return true;
    }
    let Some(origin) = service.origin else {
        log::warn!("swarm: event=no_origin model={}", target.model);
        return false;
    };
    app.transfers.open(
        content(app, &manifest, origin, downloads_max(app, target)),
        serving_manifest(app),
    );
    reuse_staged(app, &manifest).await;
    true
}

/// Returns how many chunks to download from peers at once.
///
/// Engines without weights or with an early load slot take precedence over those that serve for a
/// while longer, whose links carry other messages too.
fn downloads_max(app: &app::App, target: &app::TargetVersion) -> usize {
    let serves_no_version = !lock(&app.admission).weights().contains_key(&target.model);
    let is_loaded_early = app.rank(target) * 2 <= app.peers.load().len();
    if serves_no_version || is_loaded_early {
        EARLY_DOWNLOADS_MAX
    } else {
        LATE_DOWNLOADS_MAX
    }
}

fn serving_manifest(app: &app::App) -> Option<id::Digest> {
    let weights = lock(&app.admission).weights();
    let (model, version) = weights.first()?;
    let manifest = app.manifest(&(model.clone(), *version))?;
    Some(manifest.digest())
}

/// Spawns a fetch of a manifest from the origin, once this agent's delay is over.
fn spawn_manifest_fetch(
    app: &sync::Arc<app::App>,
    target: &app::TargetVersion,
    service: &app::Service,
) {
    let rank = u32::try_from(app.rank(target)).unwrap_or(u32::MAX);
    let delay = MANIFEST_STAGGER.saturating_mul(rank);
    if app.clock.now().duration_since(target.learned_at) < delay {
        return;
    }
    let Some(origin) = service.origin else {
        log::warn!("swarm: event=no_origin model={}", target.model);
        return;
    };
    let version = (target.model.clone(), target.version);
    // A fetch of an earlier version may hang, and doesn't hold up this one.
    let before = lock(&app.fetched_manifest).replace(version.clone());
    if before.as_ref() == Some(&version) {
        return;
    }
    let (app, target) = (app.clone(), sync::Arc::new(target.clone()));
    let chunk_count = service.figures.chunk_count;
    tokio::spawn(async move {
        if !fetch_manifest(&app, &target, origin, chunk_count).await {
            tokio::time::sleep(MANIFEST_RETRY_DELAY).await;
        }
        let mut fetched = lock(&app.fetched_manifest);
        if fetched.as_ref() == Some(&version) {
            *fetched = None;
        }
    });
}

/// Fetches a manifest from the origin; returns false if that failed.
async fn fetch_manifest(
    app: &sync::Arc<app::App>,
    target: &sync::Arc<app::TargetVersion>,
    origin: net::SocketAddr,
    chunk_count: u32,
) -> bool {
    let (model, version) = (&target.model, target.version);
    let fetched = app.origin.manifest(origin, model, version, ORIGIN_TIMEOUT);
    let manifest = fetched.await.and_then(|manifest| {
        let checked = manifest.check(model, version, chunk_count);
        checked.map(|()| manifest)
    });
    match manifest {
        Ok(manifest) => {
            app.insert_manifest(manifest);
            app.swarm_changed.notify_one();
            gossip::spread_manifest(app, target);
            true
        }
        Err(error) => {
            log::warn!(
                "swarm: event=manifest_failed model={model} version={version} error={error:?}"
            );
            false
        }
    }
}

fn content(
    app: &sync::Arc<app::App>,
    manifest: &sync::Arc<origin::Manifest>,
    origin: net::SocketAddr,
    downloads_max: usize,
) -> transfer::Content {
    let manifest_digest = manifest.digest();
    let (verify_manifest, download_manifest) = (manifest.clone(), manifest.clone());
    let client = app.origin.clone();
    transfer::Content {
        weights: activation::WeightsId {
            manifest: manifest_digest,
            content: manifest_digest,
        },
        version: format!("{} {}", manifest.model, manifest.version),
        chunk_count: manifest.chunk_count(),
        chunk_bytes: manifest.chunk_bytes as usize,
        downloads_max,
        verify: Box::new(move |chunk, bytes| verify_manifest.verifies(chunk, bytes)),
        download_from_origin: Box::new(move |chunk| {
            let (client, manifest) = (client.clone(), download_manifest.clone());
            Box::pin(async move {
                let chunk = client.chunk(origin, &manifest, chunk, ORIGIN_TIMEOUT);
                chunk.await.map_err(|error| transfer::OriginError {
                    may_have_sent: error.may_have_sent(),
                    reason: error.to_string(),
                })
            })
        }),
    }
}

/// Reuses the chunks of a version that are staged at the engine already, whichever version it serves:
/// the agent may have restarted after it had staged them.
async fn reuse_staged(app: &app::App, manifest: &origin::Manifest) {
    let manifest_digest = manifest.digest();
    let staged = match app.runner.staged_chunks(&manifest.model).await {
        Ok(staged) => staged,
        Err(error) => {
            log::warn!("swarm: event=staged_unknown error={error:?}");
            return;
        }
    };
    let mut reused_count = 0;
    for (read_count, chunk) in staged.iter().enumerate() {
        if read_count >= STAGED_SAMPLE_COUNT && reused_count == 0 {
            break;
        }
        match app.runner.staged(&manifest.model, *chunk).await {
            Ok(Some(bytes)) if app.transfers.record_staged(manifest_digest, *chunk, &bytes) => {
                reused_count += 1;
            }
            Ok(_) => {}
            Err(error) => log::warn!("swarm: event=staged_unread chunk={chunk} error={error:?}"),
        }
    }
    log::info!(
        "swarm: event=staged_taken version={} staged={} good={reused_count}",
        manifest.version,
        staged.len()
    );
}
