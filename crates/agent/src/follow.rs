//! Follows, in gateway mode, the weights that the configuration announces, and downloads them with
//! the weight store as origin.

use std::{sync, time};

use pimentohook_core::{
    burst::{activation, manifest},
    id, intent,
};
use pimentohook_platform::weights;
use pimentohook_runtime::process;

use crate::{app, mutex::lock, transfer};

const DOWNLOADS_MAX: usize = 3;
const MANIFEST_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// Follows the configuration and downloads the weights that it announces, until the agent stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    while !stop.is_set() {
        if let Some(target) = target(&app)
            && !app.transfers.set_target(target.manifest)
        {
            if !open_set(&app, &target).await {
                stop.sleep(MANIFEST_RETRY_DELAY).await;
                continue;
            }
            // The grantor grants chunks to agents that take part.
            app.notify_entries();
        }
        app.transfers.poll_downloads(&stop).await;
    }
}

fn target(app: &app::App) -> Option<intent::WeightsRef> {
    let config = app.config.load();
    config.services.get(&app.service())?.weights.clone()
}

/// Reads the manifest of weights and opens a set for them; returns false if that failed.
async fn open_set(app: &app::App, target: &intent::WeightsRef) -> bool {
    let Some(store) = &app.store else {
        return false;
    };
    let manifest = match store.manifest(&target.version).await {
        Ok(manifest) => manifest,
        Err(error) => {
            log::warn!("transfer: can't read the manifest: {error}.");
            return false;
        }
    };
    if let Err(error) = manifest.check_digest(target.manifest) {
        log::error!("transfer: {error}.");
        return false;
    }
    let serving = lock(&app.activation).serving();
    let content = content(store, manifest, target.manifest, app.settings.stall_max);
    app.transfers
        .open(content, serving.map(|weights| weights.manifest));
    true
}

fn content(
    store: &weights::StoreClient,
    manifest: manifest::Manifest,
    digest: id::Digest,
    stall_max: time::Duration,
) -> transfer::Content {
    let chunk_bytes = usize::try_from(manifest.chunk_bytes.get()).unwrap_or(usize::MAX);
    let store = store.clone();
    let version = manifest.version.clone();
    let weights = activation::WeightsId {
        manifest: digest,
        content: manifest.content,
    };
    transfer::Content {
        weights,
        version: version.to_string(),
        chunk_count: manifest.chunk_count(),
        chunk_bytes,
        downloads_max: DOWNLOADS_MAX,
        verify: Box::new(move |chunk, bytes| manifest.verifies(chunk, bytes)),
        download_from_origin: Box::new(move |chunk| {
            let (store, version) = (store.clone(), version.clone());
            Box::pin(async move {
                // The origin serves many agents at once, so its timeout is longer than a peer's.
                let downloaded = store
                    .chunk(&version, chunk, chunk_bytes, stall_max * 4)
                    .await;
                downloaded.map_err(|error| transfer::OriginError {
                    may_have_sent: error.may_have_sent(),
                    reason: error.to_string(),
                })
            })
        }),
    }
}

/// Returns the weights that the agent can identify by the digest of their content.
#[must_use]
pub fn known_weights(app: &app::App) -> Vec<activation::WeightsId> {
    let config = app.config.load();
    let service = app.service();
    let configured = config.allowed_weights(&service).into_iter();
    let mut known: Vec<_> = configured
        .map(|weights| activation::WeightsId {
            manifest: weights.manifest,
            content: weights.content,
        })
        .collect();
    known.extend(app.transfers.known_weights());
    known
}
