//! Fetches changes from the store or from another entry.

use std::time;

use pimentohook_core::{announcement, carryover, clock, id, position, relay};
use pimentohook_platform::store;
use pimentohook_runtime::client;
use pimentohook_wire::direct;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use tokio::time as tokio_time;

use super::{apply, history, timing};
use crate::direct::app;

const CONFIRMATION_WAIT: time::Duration = time::Duration::from_millis(1);
/// How long another entry may take to reply beyond the requested wait.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(450);
/// How long a large reply from another entry may take from its head to its end.
const REPLY_BODY_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// How much each entry adds to the time over which all list the announced versions again.
const LIST_SPREAD_PER_ENTRY: time::Duration = time::Duration::from_millis(2);

/// Changes could not be fetched from a source.
#[derive(Debug, Snafu)]
pub(super) enum FeedError {
    #[snafu(display("{source}"))]
    Store { source: store::StoreError },
    #[snafu(display("{source}"))]
    Entry { source: client::ClientError },
    /// The entry was removed from the known entries in the meantime.
    #[snafu(display("entry {name} is not known any more"))]
    Lost { name: String },
    /// The entry has not heard yet that the store was restored.
    #[snafu(display("entry {name} is at {position}, before the store was restored"))]
    Outdated {
        name: String,
        position: position::Position,
    },
    /// The state of the entry is too old, or the store has never confirmed it.
    #[snafu(display("entry {name} knows what was {age_ms:?} ms ago"))]
    Old { name: String, age_ms: Option<u64> },
}

/// Fetches changes from a source; returns whether there were any.
pub(super) async fn fetch_changes(
    app: &app::App,
    kind: store::Kind,
    source: &relay::Source,
) -> Result<bool, FeedError> {
    match source {
        relay::Source::Store if app.cached(kind).collection().position().is_start() => {
            list(app, kind).await
        }
        relay::Source::Store => watch(app, kind).await,
        relay::Source::Entry(name) => fetch_from_entry(app, kind, name).await,
    }
}

async fn list(app: &app::App, kind: store::Kind) -> Result<bool, FeedError> {
    let requested_at = app.clock.boot_now();
    let read = announcement::Read::Fetched(requested_at);
    let response = app.store.list(kind, store::Freshness::Current).await;
    let listing = response.context(StoreSnafu)?;
    log::info!(
        "feed: event=listed kind={kind} position={} objects={} bytes={} transfer_ms={}",
        listing.position,
        listing.objects.len(),
        listing.cost.body_bytes,
        listing.cost.transfer.as_millis()
    );
    app.count_read("store", kind, listing.cost.body_bytes);
    app.announced
        .confirm_position(listing.position, requested_at);
    let cache = app.cached(kind);
    history::record_list(app, kind, &listing.objects);
    let is_changed =
        cache.update(|collection| collection.replace(listing.position, listing.objects));
    apply::apply(app, kind, is_changed, read);
    cache.confirm(requested_at);
    Ok(is_changed)
}

async fn watch(app: &app::App, kind: store::Kind) -> Result<bool, FeedError> {
    let cache = app.cached(kind);
    let position = cache.collection().position();
    let timing = watch_timing(app, kind);
    let requested_at = app.clock.boot_now();
    let span = app.announced.start_watch();
    let changes = match app.store.watch(kind, position, timing).await {
        Err(store::StoreError::Compacted { .. }) => {
            log::info!("feed: event=history_gone kind={kind} position={position}");
            spread_list(app, kind, position.era).await;
            return list(app, kind).await;
        }
        result => result.context(StoreSnafu)?,
    };
    let standstills = app.standstills.monitor();
    let transfer = changes.cost.transfer;
    let responded_at = span.responded_at(&*app.clock, &standstills, transfer);
    let read = span.end(&*app.clock, &standstills, transfer);
    app.count_read("store", kind, changes.cost.body_bytes);
    app.announced
        .confirm_position(changes.position, requested_at);
    let is_changed = !changes.changes.is_empty();
    if is_changed {
        log::info!(
            "feed: event=changed kind={kind} position={} changes={} bytes={} transfer_ms={}",
            changes.position,
            changes.changes.len(),
            changes.cost.body_bytes,
            changes.cost.transfer.as_millis()
        );
    }
    history::record_changes(app, kind, &changes.changes);
    cache.update(|collection| collection.apply(changes.position, changes.changes) && is_changed);
    apply::apply(app, kind, is_changed, read);
    cache.confirm(responded_at.max(requested_at));
    if kind == store::Kind::Weights {
        app.announced.confirm_watch(span, &standstills, transfer);
    }
    Ok(is_changed)
}

/// Waits before the announced versions are listed again because of a new era, since every entry
/// lists them then.
async fn spread_list(app: &app::App, kind: store::Kind, era: id::StoreEra) {
    if kind == store::Kind::Weights && app.store.era() > era {
        let spread = carryover::spread(app.entry_count(), LIST_SPREAD_PER_ENTRY, rand::random());
        tokio_time::sleep(spread).await;
    }
}

/// Returns how long a watch may wait; if the cache is old, the watch returns almost immediately to
/// confirm it.
fn watch_timing(app: &app::App, kind: store::Kind) -> store::WatchTiming {
    let timing = timing::follow_timing(app, kind);
    let age = app.cached(kind).age(app.clock.boot_now());
    if age.is_some_and(|age| age <= timing.watch_wait / 2) {
        store::WatchTiming {
            wait: timing.watch_wait,
            answer_timeout: timing.answer_timeout,
        }
    } else {
        store::WatchTiming {
            wait: CONFIRMATION_WAIT,
            answer_timeout: timing.confirmation_timeout,
        }
    }
}

async fn fetch_from_entry(
    app: &app::App,
    kind: store::Kind,
    name: &str,
) -> Result<bool, FeedError> {
    let peers = app.peers.load_full();
    let peer = peers.get(name).context(LostSnafu { name })?;
    let cache = app.cached(kind);
    let timing = timing::follow_timing(app, kind);
    let request = direct::FollowRequest {
        kind: kind.to_string(),
        position: cache.collection().position(),
        era: app.store.era(),
        wait_ms: u32::try_from(timing.follow_wait.as_millis()).unwrap_or(u32::MAX),
    };
    let timeouts = client::Timeouts {
        head: timing.follow_wait + REPLY_MARGIN,
        body: REPLY_BODY_TIMEOUT,
    };
    let requested_at = app.clock.boot_now();
    let call =
        app.internal
            .call_with_timeouts(peer.state.peers, direct::FOLLOW_PATH, &request, timeouts);
    let reply: direct::FollowReply = call.await.context(EntrySnafu)?;
    let position = reply.delta.position;
    app.store.record_era(position.era);
    ensure!(
        position.era >= app.store.era(),
        OutdatedSnafu { name, position }
    );
    let age = reply.age_ms.map(time::Duration::from_millis);
    let read = announcement::Read::fetched_ago(age, requested_at);
    let age_ms = reply.age_ms;
    let is_changed = merge_reply(app, kind, name, reply, read);
    let age = age.filter(|age| *age <= timing.age_max);
    let replied_at = replied_at(app, requested_at);
    let confirmed_at = age.map(|age| replied_at.saturating_sub(age));
    cache.confirm(confirmed_at.context(OldSnafu { name, age_ms })?);
    Ok(is_changed)
}

/// Returns the instant at which a reply that was just read was sent at the earliest: it may have waited
/// while this process stood still.
fn replied_at(app: &app::App, requested_at: clock::BootInstant) -> clock::BootInstant {
    let now = app.clock.boot_now();
    let backlog_since = app.standstills.monitor().backlog_since(now);
    backlog_since.unwrap_or(now).max(requested_at)
}

fn merge_reply(
    app: &app::App,
    kind: store::Kind,
    name: &str,
    reply: direct::FollowReply,
    read: announcement::Read,
) -> bool {
    let delta = reply.delta;
    let body_bytes = delta.content_bytes();
    app.count_read("peers", kind, body_bytes);
    let cache = app.cached(kind);
    let position = delta.position;
    let is_outdated = position < cache.collection().position();
    let is_changed = cache.update(|collection| collection.merge(delta));
    if !is_outdated {
        history::record_merged(app, kind, reply.history);
    }
    if is_changed {
        log::info!(
            "feed: event=taken_from_peer kind={kind} entry={name} position={position} \
             bytes={body_bytes}"
        );
    }
    apply::apply(app, kind, is_changed, read);
    is_changed
}
