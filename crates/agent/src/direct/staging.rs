//! Stages the chunks of a version at the engine and verifies them there.

use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use pimentohook_core::{load_vouching, read_back};
use pimentohook_platform::{origin, runner};

use super::app;
use crate::mutex::lock;

/// The number of chunks that are read back at the same time, so that a slow engine is read in time.
const CONCURRENT_READS_MAX: usize = 4;

/// Stages all chunks at the engine; returns false if one failed.
pub async fn stage(app: &app::App, manifest: &origin::Manifest) -> bool {
    for chunk in 0..manifest.chunk_count() {
        if stage_chunk(app, manifest, chunk).await.is_none() {
            return false;
        }
    }
    log::info!(
        "loader: event=staged model={} version={}",
        manifest.model,
        manifest.version
    );
    true
}

/// Reads the staged chunks back after a load; returns whether all are intact, or `None` if one could
/// not be read.
pub async fn read_loaded(app: &app::App, manifest: &origin::Manifest) -> Option<bool> {
    let read_back = read_back::ReadBack::begin(app.clock.boot_now());
    let bad = bad_chunks(app, manifest, (0..manifest.chunk_count()).collect()).await?;
    if bad.is_empty() {
        record_read_back(app, manifest, read_back);
    } else {
        lock(&app.loads).record_found_bad();
    }
    Some(bad.is_empty())
}

/// Reads the staged chunks back and stages bad ones again, which are read once more; returns `None`
/// if that failed or a chunk stays bad.
pub async fn verify_staged(
    app: &app::App,
    manifest: &origin::Manifest,
) -> Option<read_back::ReadBack> {
    let read_back = read_back::ReadBack::begin(app.clock.boot_now());
    let bad = bad_chunks(app, manifest, (0..manifest.chunk_count()).collect()).await?;
    for chunk in &bad {
        app.count("chunk_spoilt");
        log::warn!("loader: event=chunk_spoilt chunk={chunk}");
        stage_chunk(app, manifest, *chunk).await?;
    }
    let still_bad = bad_chunks(app, manifest, bad).await?;
    if !still_bad.is_empty() {
        log::warn!("loader: event=chunks_stay_spoilt chunks={still_bad:?}");
        return None;
    }
    record_read_back(app, manifest, read_back);
    Some(read_back)
}

fn record_read_back(app: &app::App, manifest: &origin::Manifest, read_back: read_back::ReadBack) {
    let ended_at = app.clock.boot_now();
    let (model, version) = (&manifest.model, manifest.version);
    lock(&app.loads).record_read_back(model, version, read_back, ended_at);
}

/// Returns which of these staged chunks are missing or not those of the version; `None` if one could
/// not be read.
async fn bad_chunks(
    app: &app::App,
    manifest: &origin::Manifest,
    chunks: Vec<u32>,
) -> Option<Vec<u32>> {
    let reads = chunks.into_iter().map(|chunk| async move {
        let read = app.runner.staged(&manifest.model, chunk).await;
        let bytes = read.inspect_err(|error| {
            log::warn!("loader: event=check_failed chunk={chunk} error={error:?}");
        });
        let is_intact = |bytes: Bytes| manifest.verifies(chunk, &bytes);
        Some((chunk, bytes.ok()?.is_some_and(is_intact)))
    });
    let mut reads = stream::iter(reads).buffered(CONCURRENT_READS_MAX);
    let mut bad = Vec::new();
    while let Some(read) = reads.next().await {
        let (chunk, is_intact) = read?;
        if !is_intact {
            bad.push(chunk);
        }
    }
    Some(bad)
}

/// Stages a chunk at the engine; returns `None` if that failed.
async fn stage_chunk(app: &app::App, manifest: &origin::Manifest, chunk: u32) -> Option<()> {
    let bytes = app.transfers.chunk(manifest.digest(), chunk)?;
    let staged = app.runner.stage(&manifest.model, chunk, bytes).await;
    let is_unconfirmed = staged
        .as_ref()
        .is_err_and(runner::RunnerError::may_be_unread);
    let unconfirmed = is_unconfirmed.then(|| load_vouching::UnconfirmedWrite {
        model: manifest.model.clone(),
        version: manifest.version,
        chunk,
    });
    lock(&app.loads).record_write(app.clock.boot_now(), unconfirmed);
    if let Err(error) = &staged {
        log::warn!("loader: event=stage_failed chunk={chunk} error={error:?}");
    }
    staged.ok()
}
