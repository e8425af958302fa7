//! Weights from other agents and from the origin.
//!
//! While its set is not whole, an agent calls a sample of the others several times a second; those
//! who have everything need not call anybody.

use std::{net, sync, sync::atomic, time};

use pimentohook_core::{
    burst::{activation, chunks},
    id, rollover,
};
use pimentohook_platform::origin;
use pimentohook_runtime::process;

use super::{app, gossip, grants};
use crate::{app::lock, transfer};

/// Until the first chunk is here, those that make grants are called more often.
const FIRST_CHUNK_CALL_INTERVAL: time::Duration = time::Duration::from_millis(40);
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);
const EARLY_DOWNLOADS_MAX: usize = 3;
const LATE_DOWNLOADS_MAX: usize = 2;
const ORIGIN_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Each agent waits this much longer than the one before it until it asks the origin for a
/// manifest, so that most get it from each other.
const MANIFEST_STAGGER: time::Duration = time::Duration::from_millis(400);
const MANIFEST_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Brings the wanted version's chunks here, until the process ends.
pub async fn run(app: sync::Arc<app::App>, stop: process::Stop) {
    tokio::spawn(download(app.clone(), stop.clone()));
    let mut logged_at = app.clock.now();
    let mut calls = gossip::CallSchedule::new(logged_at);
    let mut pause = gossip::SAMPLE_INTERVAL;
    while wait_for_work(&app, &stop, pause).await {
        pause = gossip::SAMPLE_INTERVAL;
        let (Some(newest), Some(service)) =
            (app.newest_version.load_full(), app.service.load_full())
        else {
            continue;
        };
        let target = version_to_download(&app, &newest).map_or(newest.clone(), sync::Arc::new);
        // Nothing more is sent to an engine that leaves.
        if app.is_leaving(&app.own_vm) || is_complete(&app, &target) {
            continue;
        }
        let is_open = open_set(&app, &target, &service).await;
        if is_open && target.version == newest.version {
            grants::extend(&app, &target).await;
        }
        if !has_chunks(&app, &target) {
            pause = FIRST_CHUNK_CALL_INTERVAL;
        }
        calls.start_due(&app, &target);
        if app.clock.now().duration_since(logged_at) >= LOG_INTERVAL {
            logged_at = app.clock.now();
            log_progress(&app, &target);
        }
    }
}

/// Waits until it is time to look again or a version was named; false where the process ends.
async fn wait_for_work(app: &app::App, stop: &process::Stop, pause: time::Duration) -> bool {
    tokio::select! {
        is_running = stop.sleep(pause) => is_running,
        () = app.weights_announced.notified() => true,
    }
}

/// Returns whether a chunk of a version is here.
fn has_chunks(app: &app::App, target: &app::TargetVersion) -> bool {
    app.held_chunks(target).is_some_and(|held| !held.is_empty())
}

/// Returns the version to pull now.
fn version_to_download(app: &app::App, newest: &app::TargetVersion) -> Option<app::TargetVersion> {
    let announced = app.announced.load();
    let now = app.clock.now();
    let progress_of_version = |announced_version: &app::TargetVersion| {
        let held = app.held_chunks(announced_version);
        rollover::Underway {
            version: announced_version.version,
            age: now.duration_since(announced_version.learned_at),
            held: held.as_ref().map(chunks::ChunkSet::len),
            chunk_count: held.as_ref().map_or(0, chunks::ChunkSet::range),
        }
    };
    let of_model = announced
        .iter()
        .filter(|announced_version| announced_version.model == newest.model);
    let progress: Vec<_> = of_model.map(progress_of_version).collect();
    let served = lock(&app.admission).weights().get(&newest.model).copied();
    let version = rollover::to_pull(&progress, served, app.settings.weights_grace)?;
    announced
        .iter()
        .find(|announced_version| announced_version.version == version)
        .cloned()
}

/// Says how far a set that takes long has come.
fn log_progress(app: &app::App, target: &app::TargetVersion) {
    let progress = gossip::progress(app, target);
    log::info!(
        "swarm: event=under_way version={} held={:?} starved={:?} heard={} others={} age_ms={}",
        target.version,
        progress
            .as_ref()
            .map(|announced_version| announced_version.held.len()),
        progress
            .as_ref()
            .map(|announced_version| announced_version.starved),
        lock(&app.peer_statuses).len(),
        app.peers.load().len(),
        app.clock
            .now()
            .duration_since(target.learned_at)
            .as_millis()
    );
}

async fn download(app: sync::Arc<app::App>, stop: process::Stop) {
    while !stop.is_set() {
        app.transfers.download_once(&stop).await;
    }
}

/// Returns whether all chunks of a version are here.
#[must_use]
pub fn is_complete(app: &app::App, target: &app::TargetVersion) -> bool {
    let manifest = app.manifest(&(target.model.clone(), target.version));
    manifest.is_some_and(|manifest| app.transfers.is_complete(manifest.digest()))
}

/// Opens the set of a version if its manifest is known or can be had; false where it can't yet.
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

/// Returns how many chunks to pull at once: engines that wait for weights or have an early turn go
/// before those that serve on for a while, whose links carry other messages too.
fn downloads_max(app: &app::App, target: &app::TargetVersion) -> usize {
    let is_empty = !lock(&app.admission).weights().contains_key(&target.model);
    let is_loaded_early = app.rank(target) * 2 <= app.peers.load().len();
    if is_empty || is_loaded_early {
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

/// Asks the origin for a manifest, beside all else, if it is this agent's turn.
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
    if app
        .is_fetching_manifest
        .swap(true, atomic::Ordering::Relaxed)
    {
        return;
    }
    let (app, target) = (app.clone(), target.clone());
    let chunk_count = service.figures.chunk_count;
    tokio::spawn(async move {
        if !fetch_manifest(&app, &target, origin, chunk_count).await {
            tokio::time::sleep(MANIFEST_RETRY_DELAY).await;
        }
        app.is_fetching_manifest
            .store(false, atomic::Ordering::Relaxed);
    });
}

/// Takes a manifest from the origin; false where that failed.
async fn fetch_manifest(
    app: &app::App,
    target: &app::TargetVersion,
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
            app.weights_announced.notify_one();
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
    let digest = manifest.digest();
    let (checked, version_to_download) = (manifest.clone(), manifest.clone());
    let client = app.origin.clone();
    transfer::Content {
        weights: activation::WeightsId {
            manifest: digest,
            content: digest,
        },
        version: format!("{} {}", manifest.model, manifest.version),
        chunk_count: manifest.chunk_count(),
        chunk_bytes: manifest.chunk_bytes as usize,
        downloads_max,
        verify: Box::new(move |chunk, bytes| checked.verifies(chunk, bytes)),
        download_from_origin: Box::new(move |chunk| {
            let (client, manifest) = (client.clone(), version_to_download.clone());
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

/// Takes the chunks that lie beside the engine already, as far as they are of this version.
async fn reuse_staged(app: &app::App, manifest: &origin::Manifest) {
    let served = lock(&app.admission).weights().get(&manifest.model).copied();
    if served.is_some_and(|served| served != manifest.version) {
        return;
    }
    let digest = manifest.digest();
    let staged = match app.runner.staged_chunks(&manifest.model).await {
        Ok(staged) => staged,
        Err(error) => {
            log::warn!("swarm: event=staged_unknown error={error:?}");
            return;
        }
    };
    let mut taken_count = 0;
    for chunk in &staged {
        match app.runner.staged(&manifest.model, *chunk).await {
            Ok(Some(bytes)) if app.transfers.record_staged(digest, *chunk, &bytes) => {
                taken_count += 1;
            }
            Ok(_) => {}
            Err(error) => log::warn!("swarm: event=staged_unread chunk={chunk} error={error:?}"),
        }
    }
    log::info!(
        "swarm: event=staged_taken version={} staged={} good={taken_count}",
        manifest.version,
        staged.len()
    );
}
