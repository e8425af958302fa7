//! Follows the announced versions of weights: through an entry of the own region, which has them from
//! the store, or from the store itself while no entry supplies them.
//!
//! Entries are few beside agents, and a call to the store is dear.

use std::{sync, sync::atomic, time};

use pimentohook_core::{announcement, carryover, collection};
use pimentohook_platform::{decode, store};
use pimentohook_runtime::client;
use tokio::time as tokio_time;

use super::{app, entry_follow, feed, weights_versions};

/// How long a watch of the store waits for an announcement.
const STORE_WATCH: store::WatchTiming = store::WatchTiming {
    wait: time::Duration::from_secs(12),
    answer_timeout: time::Duration::from_secs(2),
};
/// How long an entry waits for an announcement before it replies that there was none.
const ENTRY_WAIT: time::Duration = time::Duration::from_secs(4);
/// How long an entry may take to reply beyond that wait.
const ENTRY_TIMEOUTS: client::Timeouts = client::Timeouts {
    head: ENTRY_WAIT.saturating_add(time::Duration::from_millis(500)),
    body: time::Duration::from_millis(800),
};
const RETRY_DELAY_MIN: time::Duration = time::Duration::from_millis(400);
const RETRY_DELAY_MAX: time::Duration = time::Duration::from_millis(3_200);
/// How much each process adds to the time over which all list the announced versions again.
const LIST_SPREAD_PER_PROCESS: time::Duration = time::Duration::from_millis(2);

/// Follows the announced versions until the process exits.
pub async fn run(app: sync::Arc<app::App>) {
    let mut known = collection::Collection::default();
    let mut retry_delay = RETRY_DELAY_MIN;
    loop {
        let Err(entry_error) = follow_entry(&app, &mut known).await else {
            continue;
        };
        log::debug!("feed: event=weights_from_store error={entry_error:?}");
        let Err(error) = follow_store(&app, &mut known).await else {
            retry_delay = RETRY_DELAY_MIN;
            continue;
        };
        if matches!(error, store::StoreError::Compacted { .. }) {
            known = collection::Collection::default();
        }
        if is_restored(&app, &error) {
            tokio_time::sleep(list_spread(&app)).await;
            continue;
        }
        log::warn!(
            "feed: event=store_lost kind=weights error={error:?} retry_ms={}",
            retry_delay.as_millis()
        );
        tokio_time::sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
    }
}

/// Lists the announced versions at the store, or waits for changes to those that are known.
async fn follow_store(
    app: &app::App,
    known: &mut collection::Collection,
) -> Result<(), store::StoreError> {
    let kind = store::Kind::Weights;
    if known.position().is_start() {
        let read = announcement::Read::Fetched(app.clock.boot_now());
        let listing = app.store.list(kind, store::Freshness::Current).await?;
        known.replace(listing.position, listing.objects);
        record(app, known, read);
        return Ok(());
    }
    let span = app.announcements.start_watch();
    let changes = app.store.watch(kind, known.position(), STORE_WATCH).await?;
    let (standstills, transfer) = (app.standstills.monitor(), changes.cost.transfer);
    let read = span.end(&*app.clock, &standstills, transfer);
    known.apply(changes.position, changes.changes);
    record(app, known, read);
    app.announcements
        .confirm_watch(span, &standstills, transfer);
    Ok(())
}

/// Waits for changes at the preferred entry and records them.
async fn follow_entry(
    app: &app::App,
    known: &mut collection::Collection,
) -> Result<(), entry_follow::FollowError> {
    let entries = entry_follow::preferred_entries(app);
    let entry = entries.first().ok_or(entry_follow::FollowError::Nobody)?;
    let question = entry_follow::Question {
        kind: store::Kind::Weights,
        position: known.position(),
        wait: ENTRY_WAIT,
        age_max: feed::WEIGHTS_AGE_MAX,
        timeouts: ENTRY_TIMEOUTS,
    };
    let (delta, read) = entry_follow::ask(app, entry, &question).await?;
    let is_changed = known.merge(delta);
    record(app, known, read);
    if is_changed {
        // The entry tells when the version was announced.
        feed::refresh_service(app, entry, ENTRY_TIMEOUTS.body).await?;
    }
    Ok(())
}

fn record(app: &app::App, known: &collection::Collection, read: announcement::Read) {
    record_announced(app, known.objects(), read);
    app.announcements_read
        .store(true, atomic::Ordering::Relaxed);
}

/// Records the announced versions of the models of the agent's service.
pub(super) fn record_announced(app: &app::App, objects: &feed::Objects, read: announcement::Read) {
    let service = app.service.load();
    let is_own_model = |(model, _): &(String, u64)| {
        let service = service.as_ref();
        service.is_none_or(|service| service.figures.models.contains(model))
    };
    let announced = decode::announced_versions(objects, app.store.skipped()).into_iter();
    let announced: Vec<_> = announced.filter(is_own_model).collect();
    weights_versions::record_read(app, &announced, read);
}

/// Returns whether a watch ended because the store was restored.
fn is_restored(app: &app::App, error: &store::StoreError) -> bool {
    match error {
        store::StoreError::Compacted { position, .. } => position.era < app.store.era(),
        _ => false,
    }
}

/// Returns how long to wait before the announced versions are listed again because of a new era,
/// since every entry and agent lists them then.
fn list_spread(app: &app::App) -> time::Duration {
    let count = app.entries.load().len() + app.peers.load().len() + 1;
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    carryover::spread(count, LIST_SPREAD_PER_PROCESS, rand::random())
}
