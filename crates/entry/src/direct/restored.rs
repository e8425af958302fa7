//! What an entry does when the platform's store was restored from a copy.
//!
//! The feeds list each kind again by themselves. This module reports the restore, and drops the
//! upstreams and the evacuations that the copy lacks once their writers have had the time to write
//! them again.

use std::{fmt::Write as _, sync, time};

use indexmap::{IndexMap, IndexSet};
use pimentohook_core::{carryover, collection, evacuation, id, upstreams};
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
    /// The evacuated failure domains.
    evacuations: sync::Mutex<carryover::Carryover<()>>,
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
    for kind in cache::followed(&app.settings) {
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
    let expires_at = lock(&app.lost.upstreams).expires_at();
    run_at(app, expires_at, set_listed_upstreams);
}

/// Puts the listed evacuations, and those that a restored store has lost, into force.
pub fn set_evacuations(app: &app::App) {
    // Held until the end, so that the latest copy is put into force last.
    let mut lost = lock(&app.lost.evacuations);
    let collection = app.cached(store::Kind::Evacuations).collection();
    let domains = names_with_lost(app, &mut lost, &collection);
    let evacuations = sync::Arc::new(evacuation::Evacuations::of(domains));
    let before = app.evacuations.swap(evacuations.clone());
    let count = evacuations.domains().map_or(0, IndexSet::len);
    metrics::Registry::set(&app.metrics, "evacuated_domains", count as u64);
    let age = app
        .cached(store::Kind::Evacuations)
        .age(app.clock.boot_now());
    let (position, age_ms) = (collection.position(), age.map(|age| age.as_millis()));
    let changes = evacuations.changes_since(&before);
    for domain in changes.evacuated {
        log::info!("feed: event=evacuated domain={domain} position={position} age_ms={age_ms:?}");
    }
    for domain in changes.taken_back {
        log::info!("feed: event=taken_back domain={domain} position={position} age_ms={age_ms:?}");
    }
}

/// Drops the evacuations that a restored store has lost when their time is over.
pub fn expire_lost_evacuations(app: &sync::Arc<app::App>) {
    let expires_at = lock(&app.lost.evacuations).expires_at();
    run_at(app, expires_at, set_evacuations);
}

fn run_at(app: &sync::Arc<app::App>, at: Option<time::Instant>, update: fn(&app::App)) {
    let Some(at) = at else {
        return;
    };
    let app = app.clone();
    tokio::spawn(async move {
        tokio_time::sleep_until(at.into()).await;
        update(&app);
    });
}

/// Returns the names of the registered entries, including those that a restored store has lost.
pub fn registered_entries(app: &app::App) -> IndexSet<String> {
    let collection = app.cached(store::Kind::Entries).collection();
    let mut lost = lock(&app.lost.entries);
    names_with_lost(app, &mut lost, &collection).collect()
}

fn names_with_lost(
    app: &app::App,
    lost: &mut carryover::Carryover<()>,
    collection: &collection::Collection,
) -> impl Iterator<Item = String> + use<> {
    let names = collection.objects().keys();
    let listed: IndexMap<_, _> = names.map(|name| (name.clone(), ())).collect();
    let era = collection.position().era;
    let combined = lost.combine(era, listed, app.clock.now(), |(), ()| ());
    combined.into_keys()
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
