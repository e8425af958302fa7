//! Fetches changes from the store or from another entry.

use std::time;

use pimentohook_core::{announcement, carryover, follow_timing, hedge, id, position, relay};
use pimentohook_platform::store;
use pimentohook_runtime::client;
use pimentohook_wire::direct;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use tokio::time as tokio_time;

use super::{apply, history, timing};
use crate::direct::app;

const CONFIRMATION_WAIT: time::Duration = time::Duration::from_millis(1);
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

impl FeedError {
    /// Returns whether the source said at once that it has nothing to tell, so that no time was lost.
    pub(super) const fn is_immediate(&self) -> bool {
        matches!(
            self,
            Self::Lost { .. } | Self::Outdated { .. } | Self::Old { .. }
        )
    }
}

/// For what a source is asked.
#[derive(Clone, Copy, Debug)]
pub(super) enum Purpose {
    /// To be told of the next change.
    Follow,
    /// To be told at once of changes that have been made.
    Hedge(follow_timing::HedgeTiming),
}

/// Fetches changes from a source; returns whether there were any.
pub(super) async fn fetch_changes(
    app: &app::App,
    kind: store::Kind,
    source: &relay::Source,
    purpose: Purpose,
) -> Result<bool, FeedError> {
    match source {
        relay::Source::Store if app.cached(kind).collection().position().is_start() => {
            list(app, kind, list_timeout(app, kind, purpose)).await
        }
        relay::Source::Store => watch(app, kind, purpose).await,
        relay::Source::Entry(name) => fetch_from_entry(app, kind, name, purpose).await,
    }
}

/// Returns how long the store may take until the head of a page of a list.
fn list_timeout(app: &app::App, kind: store::Kind, purpose: Purpose) -> time::Duration {
    match purpose {
        Purpose::Follow => timing::follow_timing(app, kind).confirmation_timeout,
        Purpose::Hedge(timing) => timing.store_timeout,
    }
}

async fn list(
    app: &app::App,
    kind: store::Kind,
    head_timeout: time::Duration,
) -> Result<bool, FeedError> {
    let requested_at = app.clock.boot_now();
    let read = announcement::Read::Fetched(requested_at);
    let freshness = store::Freshness::Current;
    let response = app.store.list_within(kind, freshness, head_timeout).await;
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
    if listing.position >= cache.collection().position() {
        history::record_list(app, kind, &listing.objects);
    }
    let is_changed =
        cache.update(|collection| collection.replace(listing.position, listing.objects));
    apply::apply(app, kind, is_changed, read);
    cache.confirm(requested_at);
    Ok(is_changed)
}

async fn watch(app: &app::App, kind: store::Kind, purpose: Purpose) -> Result<bool, FeedError> {
    let cache = app.cached(kind);
    let position = cache.collection().position();
    let timing = match purpose {
        Purpose::Follow => watch_timing(app, kind),
        Purpose::Hedge(timing) => store::WatchTiming {
            wait: CONFIRMATION_WAIT,
            answer_timeout: timing.store_timeout,
        },
    };
    let requested_at = app.clock.boot_now();
    let span = app.announced.start_watch();
    let changes = match app.store.watch(kind, position, timing).await {
        Err(store::StoreError::Compacted { .. }) => {
            log::info!("feed: event=history_gone kind={kind} position={position}");
            spread_list(app, kind, position.era).await;
            return list(app, kind, list_timeout(app, kind, purpose)).await;
        }
        result => result.context(StoreSnafu)?,
    };
    if cache.collection().position() != position {
        // Another source was faster; the changes since its state are still to be read.
        return Ok(false);
    }
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
    let confirmed_at = match timing::follow_timing(app, kind).hedge {
        Some(_) => {
            let answer = hedge::WatchAnswer {
                requested_at,
                wait: timing.wait,
                is_changed,
                read_at: app.clock.boot_now(),
            };
            answer.held_at()
        }
        None => responded_at.max(requested_at),
    };
    cache.confirm(confirmed_at);
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

/// Returns how long a watch may wait, so that the cache is confirmed in time; if it is old already, the
/// watch returns almost immediately.
fn watch_timing(app: &app::App, kind: store::Kind) -> store::WatchTiming {
    let timing = timing::follow_timing(app, kind);
    let age = app.cached(kind).age(app.clock.boot_now());
    match timing.watch_wait_at(age) {
        Some(wait) => store::WatchTiming {
            wait,
            answer_timeout: timing.answer_timeout,
        },
        None => store::WatchTiming {
            wait: CONFIRMATION_WAIT,
            answer_timeout: timing.confirmation_timeout,
        },
    }
}

/// Returns how long another entry may wait for a change, and take to reply.
fn entry_timing(
    app: &app::App,
    kind: store::Kind,
    purpose: Purpose,
) -> (time::Duration, client::Timeouts) {
    let timing = timing::follow_timing(app, kind);
    let (wait, head) = match purpose {
        Purpose::Follow => {
            let age = app.cached(kind).age(app.clock.boot_now());
            let wait = timing.follow_wait_at(age);
            (wait, wait + timing.reply_margin)
        }
        Purpose::Hedge(hedge) => {
            let head = hedge.entry_timeout;
            (head.saturating_sub(timing.reply_margin), head)
        }
    };
    let body = timing.reply_body_timeout;
    (wait, client::Timeouts { head, body })
}

async fn fetch_from_entry(
    app: &app::App,
    kind: store::Kind,
    name: &str,
    purpose: Purpose,
) -> Result<bool, FeedError> {
    let peers = app.peers.load_full();
    let peer = peers.get(name).context(LostSnafu { name })?;
    let cache = app.cached(kind);
    let timing = timing::follow_timing(app, kind);
    let (wait, timeouts) = entry_timing(app, kind, purpose);
    let request = direct::FollowRequest {
        kind: kind.to_string(),
        position: cache.collection().position(),
        era: app.store.era(),
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
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
    // The reply may have been held or on its way for any time since the request.
    let confirmed_at = age.map(|age| requested_at.saturating_sub(age));
    cache.confirm(confirmed_at.context(OldSnafu { name, age_ms })?);
    Ok(is_changed)
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
