//! Weights from other agents and from the origin.
//!
//! While its set is not whole, an agent calls a sample of the others several times a second; those
//! who have everything need not call anybody.

use std::{net, sync, sync::atomic, time};

use pimentohook_core::{
    burst::{activation, chunks},
    id, rolling_update,
};
use pimentohook_platform::origin;
use pimentohook_runtime::process;

use super::{app, gossip, grants};
use crate::{app::lock, transfer};

/// Until the first chunk is here, those that make grants are called more often.
const OPENING_EVERY: time::Duration = time::Duration::from_millis(40);
const LOG_EVERY: time::Duration = time::Duration::from_secs(1);
const OPEN_EARLY: usize = 3;
const OPEN_LATE: usize = 2;
const ORIGIN_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Each agent waits this much longer than the one before it until it asks the origin for a
/// manifest, so that most get it from each other.
const MANIFEST_STAGGER: time::Duration = time::Duration::from_millis(400);
const MANIFEST_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Brings the wanted version's chunks here, until the process ends.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    tokio::spawn(pull(app.clone(), stop.clone()));
    let mut logged_at = app.clock.now();
    let mut calls = gossip::Calls::new(logged_at);
    let mut pause = gossip::EVERY;
    while wait(&app, &stop, pause).await {
        pause = gossip::EVERY;
        let (Some(newest), Some(service)) = (app.target.load_full(), app.service.load_full())
        else {
            continue;
        };
        let target = pulled(&app, &newest).map_or(newest.clone(), sync::Arc::new);
        // Nothing more is sent to an engine that leaves.
        if app.is_leaving(&app.me) || is_whole(&app, &target) {
            continue;
        }
        let is_open = open(&app, &target, &service).await;
        if is_open && target.version == newest.version {
            grants::extend(&app, &target).await;
        }
        if !has_begun(&app, &target) {
            pause = OPENING_EVERY;
        }
        calls.make_due(&app, &target);
        if app.clock.now().duration_since(logged_at) >= LOG_EVERY {
            logged_at = app.clock.now();
            log_progress(&app, &target);
        }
    }
}

/// Waits until it is time to look again or a version was named; false where the process ends.
async fn wait(app: &app::App, stop: &process::StopSignal, pause: time::Duration) -> bool {
    tokio::select! {
        goes_on = stop.sleep(pause) => goes_on,
        () = app.weights_named.notified() => true,
    }
}

/// Returns whether a chunk of a version is here.
fn has_begun(app: &app::App, target: &app::Target) -> bool {
    app.held(target).is_some_and(|held| !held.is_empty())
}

/// Returns the version to pull now.
fn pulled(app: &app::App, newest: &app::Target) -> Option<app::Target> {
    let named = app.named.load();
    let now = app.clock.now();
    let underway = |one: &app::Target| {
        let held = app.held(one);
        rolling_update::VersionProgress {
            version: one.version,
            age: now.duration_since(one.since),
            held: held.as_ref().map(chunks::ChunkSet::len),
            chunk_count: held.as_ref().map_or(0, chunks::ChunkSet::range),
        }
    };
    let of_model = named.iter().filter(|one| one.model == newest.model);
    let progress: Vec<_> = of_model.map(underway).collect();
    let served = lock(&app.gate).weights().get(&newest.model).copied();
    let version =
        rolling_update::version_to_download(&progress, served, app.settings.weights_grace)?;
    named.iter().find(|one| one.version == version).cloned()
}

/// Says how far a set that takes long has come.
fn log_progress(app: &app::App, target: &app::Target) {
    let progress = gossip::progress(app, target);
    log::info!(
        "swarm: event=under_way version={} held={:?} starved={:?} heard={} others={} age_ms={}",
        target.version,
        progress.as_ref().map(|one| one.held.len()),
        progress.as_ref().map(|one| one.starved),
        lock(&app.heard).len(),
        app.others.load().len(),
        app.clock.now().duration_since(target.since).as_millis()
    );
}

async fn pull(app: sync::Arc<app::App>, stop: process::StopSignal) {
    while !stop.is_set() {
        app.transfers.pull_once(&stop).await;
    }
}

/// Returns whether all chunks of a version are here.
#[must_use]
pub fn is_whole(app: &app::App, target: &app::Target) -> bool {
    let manifest = app.manifest(&(target.model.clone(), target.version));
    manifest.is_some_and(|manifest| app.transfers.is_held_whole(manifest.digest()))
}

/// Opens the set of a version if its manifest is known or can be had; false where it can't yet.
async fn open(app: &sync::Arc<app::App>, target: &app::Target, service: &app::Service) -> bool {
    let version = (target.model.clone(), target.version);
    let Some(manifest) = app.manifest(&version) else {
        ask_origin(app, target, service);
        return false;
    };
    if app.transfers.aim(manifest.digest()) {
        return true;
    }
    let Some(origin) = service.origin else {
        log::warn!("swarm: event=no_origin model={}", target.model);
        return false;
    };
    app.transfers.open(
        content(app, &manifest, origin, open_max(app, target)),
        serving(app),
    );
    take_staged(app, &manifest).await;
    true
}

/// Returns how many chunks to pull at once: engines that wait for weights or have an early turn go
/// before those that serve on for a while, whose links carry other messages too.
fn open_max(app: &app::App, target: &app::Target) -> usize {
    let is_empty = !lock(&app.gate).weights().contains_key(&target.model);
    let is_early = app.rank(target) * 2 <= app.others.load().len();
    if is_empty || is_early {
        OPEN_EARLY
    } else {
        OPEN_LATE
    }
}

fn serving(app: &app::App) -> Option<id::Digest> {
    let weights = lock(&app.gate).weights();
    let (model, version) = weights.first()?;
    let manifest = app.manifest(&(model.clone(), *version))?;
    Some(manifest.digest())
}

/// Asks the origin for a manifest, beside all else, if it is this agent's turn.
fn ask_origin(app: &sync::Arc<app::App>, target: &app::Target, service: &app::Service) {
    let rank = u32::try_from(app.rank(target)).unwrap_or(u32::MAX);
    let waits = MANIFEST_STAGGER.saturating_mul(rank);
    if app.clock.now().duration_since(target.since) < waits {
        return;
    }
    let Some(origin) = service.origin else {
        log::warn!("swarm: event=no_origin model={}", target.model);
        return;
    };
    if app.asking_origin.swap(true, atomic::Ordering::Relaxed) {
        return;
    }
    let (app, target) = (app.clone(), target.clone());
    let chunk_count = service.figures.chunk_count;
    tokio::spawn(async move {
        if !take_from_origin(&app, &target, origin, chunk_count).await {
            tokio::time::sleep(MANIFEST_PAUSE).await;
        }
        app.asking_origin.store(false, atomic::Ordering::Relaxed);
    });
}

/// Takes a manifest from the origin; false where that failed.
async fn take_from_origin(
    app: &app::App,
    target: &app::Target,
    origin: net::SocketAddr,
    chunk_count: u32,
) -> bool {
    let (model, version) = (&target.model, target.version);
    let asked = app.origin.manifest(origin, model, version, ORIGIN_TIMEOUT);
    let manifest = asked.await.and_then(|manifest| {
        let checked = manifest.check(model, version, chunk_count);
        checked.map(|()| manifest)
    });
    match manifest {
        Ok(manifest) => {
            app.keep_manifest(manifest);
            app.weights_named.notify_one();
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
    open_max: usize,
) -> transfer::Content {
    let digest = manifest.digest();
    let (checked, pulled) = (manifest.clone(), manifest.clone());
    let client = app.origin.clone();
    transfer::Content {
        weights: activation::WeightsId {
            manifest: digest,
            content: digest,
        },
        version: format!("{} {}", manifest.model, manifest.version),
        chunk_count: manifest.chunk_count(),
        chunk_bytes: manifest.chunk_bytes as usize,
        open_max,
        verifies: Box::new(move |chunk, bytes| checked.verifies(chunk, bytes)),
        pull_origin: Box::new(move |chunk| {
            let (client, manifest) = (client.clone(), pulled.clone());
            Box::pin(async move {
                let chunk = client.chunk(origin, &manifest, chunk, ORIGIN_TIMEOUT);
                chunk.await.map_err(|error| transfer::OriginFault {
                    reached: error.may_have_sent(),
                    reason: error.to_string(),
                })
            })
        }),
    }
}

/// Takes the chunks that lie beside the engine already, as far as they are of this version.
async fn take_staged(app: &app::App, manifest: &origin::Manifest) {
    let served = lock(&app.gate).weights().get(&manifest.model).copied();
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
