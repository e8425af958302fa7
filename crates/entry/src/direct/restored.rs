//! What an entry does when the platform's store was restored from a copy.
//!
//! The feeds list each kind again by themselves. This module reports the restore, and drops the
//! upstreams that the copy lacks once their writers have had the time to write them again.

use std::{fmt::Write as _, sync};

use indexmap::IndexSet;
use pimentohook_core::{carryover, id, upstreams};
use pimentohook_platform::{decode, store};
use pimentohook_runtime::metrics;
use tokio::time as tokio_time;

use super::{app, cache};

/// What a restored store has lost and may still be written again.
#[derive(Debug, Default)]
pub struct LostObjects {
    upstreams: sync::Mutex<carryover::Carryover<upstreams::Upstream>>,
    /// The registrations of entries.
    entries: sync::Mutex<carryover::Carryover<()>>,
}

/// Reports each era of the store, until the process exits.
pub async fn run(app: sync::Arc<app::App>) {
    let mut era = id::StoreEra::default();
    loop {
        let newest = app.store.wait_for_era_after(era).await;
        report(&app, era, newest);
        era = newest;
    }
}

fn report(app: &app::App, before: id::StoreEra, after: id::StoreEra) {
    metrics::Registry::set(&app.metrics, "store_era", after.get());
    if before == id::StoreEra::default() {
        log::info!("store: event=era_known era={after}");
        return;
    }
    app.count("store_restored");
    log::warn!(
        "store: event=restored before={before} after={after} positions={} \
         writes_again=entries/{}",
        positions(app),
        app.settings.entry
    );
}

/// Returns the positions of the kinds that are followed as text.
fn positions(app: &app::App) -> String {
    let mut text = String::new();
    for kind in cache::FOLLOWED {
        let separator = if text.is_empty() { "" } else { "," };
        let position = app.cached(kind).collection().position();
        let _ = write!(text, "{separator}{kind}={position}");
    }
    text
}

/// Replaces the upstreams that may be selected by the listed ones and those that a restored store
/// has lost.
pub fn set_listed_upstreams(app: &app::App) {
    let mut lost = lock(&app.lost.upstreams);
    let collection = app.cached(store::Kind::Upstreams).collection();
    let era = collection.position().era;
    let listed = decode::upstreams(collection.objects(), app.store.skipped());
    let now = app.clock.now();
    let combined = upstreams::with_lost(&mut lost, era, listed, now);
    app.upstream_limits.cold.record_listed(now, &combined);
    app.set_upstreams(combined);
}

/// Drops the upstreams that a restored store has lost when their time is over.
pub fn expire_lost_upstreams(app: &sync::Arc<app::App>) {
    let Some(expires_at) = lock(&app.lost.upstreams).expires_at() else {
        return;
    };
    let app = app.clone();
    tokio::spawn(async move {
        tokio_time::sleep_until(expires_at.into()).await;
        set_listed_upstreams(&app);
    });
}

/// Returns the names of the registered entries, including those that a restored store has lost.
pub fn registered_entries(app: &app::App) -> IndexSet<String> {
    let collection = app.cached(store::Kind::Entries).collection();
    let names = collection.objects().keys();
    let listed = names.map(|name| (name.clone(), ())).collect();
    let era = collection.position().era;
    let now = app.clock.now();
    let combined = lock(&app.lost.entries).combine(era, listed, now, |(), ()| ());
    combined.into_keys().collect()
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
