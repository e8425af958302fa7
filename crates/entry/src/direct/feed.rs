//! Follows the configuration, the upstreams, the entries and the announced weights.
//!
//! A few entries of each region, the relays, follow the store; the other entries follow the relays.
//! See [`relay`].

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use pimentohook_core::{announcement, carryover, collection, id, position, relay};
use pimentohook_platform::{decode, skipped, store};
use pimentohook_runtime::{client, server};
use pimentohook_wire::direct;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::time as tokio_time;

use super::{app, caller_connections, request_timeout, restored, weights_versions};

/// The delay after a change, so that changes close together are fetched together.
const COALESCE_DELAY: time::Duration = time::Duration::from_millis(100);
/// Longer, because upstreams change in bursts and their agents report what they serve earlier.
const COALESCE_DELAY_UPSTREAMS: time::Duration = time::Duration::from_millis(350);
/// Longer, because heartbeats also spread the state of entries.
const COALESCE_DELAY_ENTRIES: time::Duration = time::Duration::from_millis(700);
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// How long an entry that has just started waits for other entries before it chooses a source.
const PEER_DISCOVERY_TIMEOUT: time::Duration = time::Duration::from_millis(60);
const PEER_DISCOVERY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
const REVALIDATION_WAIT: time::Duration = time::Duration::from_millis(1);
/// How long another entry may take to reply beyond the requested wait.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(450);
/// How long a large reply from another entry may take from its head to its end.
const REPLY_BODY_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// The longest wait that a follower may request.
const FOLLOW_WAIT_MAX: time::Duration = time::Duration::from_secs(5);
const REQUEST_MAX_BYTES: usize = 1 << 12;
/// How long a reply to a follower is delayed while this entry lists a restored store.
const LIST_WAIT: time::Duration = time::Duration::from_millis(300);
/// How much each entry adds to the time over which all list the announced versions again.
const LIST_SPREAD_PER_ENTRY: time::Duration = time::Duration::from_millis(2);

/// The kinds of objects that an entry follows.
pub const FOLLOWED: [store::Kind; 4] = [
    store::Kind::Configuration,
    store::Kind::Upstreams,
    store::Kind::Weights,
    store::Kind::Entries,
];

/// The timing with which a kind of objects is followed.
#[derive(Clone, Copy, Debug)]
struct FollowTiming {
    /// How long a watch of the store waits for a change.
    watch_wait: time::Duration,
    /// How long another entry waits for a change before it replies that nothing changed.
    follow_wait: time::Duration,
    /// The maximum age of another entry's state.
    age_max: time::Duration,
}

/// Shares of the grace period after a change. With these, the copy of an entry that fails over from a
/// relay to another source stays fresh enough to decide.
const WATCH_PERCENT: u32 = 40;
const FOLLOW_PERCENT: u32 = 20;
const AGE_MAX_PERCENT: u32 = 60;

fn timing_within(grace: time::Duration) -> FollowTiming {
    FollowTiming {
        watch_wait: grace * WATCH_PERCENT / 100,
        follow_wait: grace * FOLLOW_PERCENT / 100,
        age_max: grace * AGE_MAX_PERCENT / 100,
    }
}

const TIMING_LISTS: FollowTiming = FollowTiming {
    watch_wait: time::Duration::from_secs(4),
    follow_wait: time::Duration::from_millis(700),
    age_max: time::Duration::from_secs(6),
};
/// For a relay, as a share of the weights' grace period, so that a connection that has fallen silent
/// does not hold back an announcement.
const RELAY_WEIGHTS_WATCH_PERCENT: u32 = 25;
/// Announced versions are few and small, so each entry prefers the store over relays for them.
/// Heartbeats spread them too.
const TIMING_WEIGHTS: FollowTiming = FollowTiming {
    watch_wait: time::Duration::from_secs(12),
    follow_wait: time::Duration::from_secs(1),
    age_max: time::Duration::from_secs(14),
};

fn timing(app: &app::App, kind: store::Kind) -> FollowTiming {
    match kind {
        store::Kind::Configuration => timing_within(app.settings.configuration_grace),
        // Entries learn in time that an upstream is leaving, even if they follow a relay that has lost
        // its connection to the store.
        store::Kind::Upstreams if has_followers(app) => timing_within(app.settings.drain_grace),
        store::Kind::Upstreams | store::Kind::Entries | store::Kind::Grants => TIMING_LISTS,
        store::Kind::Weights if is_relay(app) => FollowTiming {
            watch_wait: app.settings.weights_grace * RELAY_WEIGHTS_WATCH_PERCENT / 100,
            ..TIMING_WEIGHTS
        },
        store::Kind::Weights => TIMING_WEIGHTS,
    }
}

/// Changes could not be fetched from a source.
#[derive(Debug, Snafu)]
enum FeedError {
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

/// Spawns the tasks that follow each kind of objects, until the process exits.
pub fn start(app: &sync::Arc<app::App>) {
    let watched = app.clone();
    tokio::spawn(async move { watched.standstills.run().await });
    for kind in FOLLOWED {
        tokio::spawn(follow(app.clone(), kind));
    }
}

async fn follow(app: sync::Arc<app::App>, kind: store::Kind) {
    let mut failures = relay::Failures::default();
    let mut current_source = None;
    wait_for_peers(&app).await;
    loop {
        let order = sources(&app, kind);
        let Some(source) = failures.choose(&order, app.clock.now()) else {
            tokio_time::sleep(RETRY_DELAY).await;
            continue;
        };
        match fetch_changes(&app, kind, source).await {
            Ok(is_changed) => {
                failures.record_success(source);
                if current_source.as_ref() != Some(source) {
                    log::info!("feed: event=following kind={kind} source={source:?}");
                    current_source = Some(source.clone());
                }
                if is_changed && kind == store::Kind::Upstreams {
                    restored::expire_lost_upstreams(&app);
                }
                if is_changed {
                    tokio_time::sleep(coalesce_delay(kind)).await;
                }
            }
            Err(error) => {
                failures.record_failure(source, app.clock.now());
                log::warn!(
                    "feed: event=source_lost kind={kind} source={source:?} error={error:?} \
                     age_ms={:?}",
                    age_ms(&app, kind)
                );
            }
        }
    }
}

async fn wait_for_peers(app: &app::App) {
    let peer_found = async {
        while app.peers.load().is_empty() {
            tokio_time::sleep(PEER_DISCOVERY_POLL_INTERVAL).await;
        }
    };
    if tokio_time::timeout(PEER_DISCOVERY_TIMEOUT, peer_found)
        .await
        .is_err()
    {
        log::info!("feed: event=nobody_heard");
    }
}

fn ready_peers(app: &app::App) -> Vec<relay::RelayCandidate> {
    let peers = app.peers.load();
    let ready = peers.values().filter(|peer| peer.state.ready);
    ready.map(|peer| relay_candidate(&peer.state)).collect()
}

fn has_followers(app: &app::App) -> bool {
    relay::may_have_followers(&relay_candidate(&app.peer_state()), &ready_peers(app))
}

fn is_relay(app: &app::App) -> bool {
    let order = relay::source_order(&relay_candidate(&app.peer_state()), &ready_peers(app));
    order.first() == Some(&relay::Source::Store)
}

/// Returns the sources for a kind in order of preference.
fn sources(app: &app::App, kind: store::Kind) -> Vec<relay::Source> {
    let mut order = relay::source_order(&relay_candidate(&app.peer_state()), &ready_peers(app));
    if kind == store::Kind::Weights {
        order.retain(|source| *source != relay::Source::Store);
        order.insert(0, relay::Source::Store);
    }
    order
}

fn relay_candidate(state: &direct::PeerState) -> relay::RelayCandidate {
    relay::RelayCandidate {
        name: state.entry.clone(),
        region: state.region.clone(),
        link_rate: state.link_rate,
        is_settled: state.is_settled,
    }
}

const fn coalesce_delay(kind: store::Kind) -> time::Duration {
    match kind {
        store::Kind::Upstreams => COALESCE_DELAY_UPSTREAMS,
        store::Kind::Entries => COALESCE_DELAY_ENTRIES,
        store::Kind::Configuration | store::Kind::Weights | store::Kind::Grants => COALESCE_DELAY,
    }
}

fn age_ms(app: &app::App, kind: store::Kind) -> Option<u64> {
    let age = app.cached(kind).age(app.clock.boot_now())?;
    Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

/// Fetches changes from a source; returns whether there were any.
async fn fetch_changes(
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
    let cache = app.cached(kind);
    let is_changed =
        cache.update(|collection| collection.replace(listing.position, listing.objects));
    cache.confirm(requested_at);
    apply(app, kind, is_changed, read);
    Ok(is_changed)
}

async fn watch(app: &app::App, kind: store::Kind) -> Result<bool, FeedError> {
    let cache = app.cached(kind);
    let position = cache.collection().position();
    let wait = watch_wait(app, kind);
    let span = announcement::WatchSpan::start(&*app.clock, &app.announced.load());
    let changes = match app.store.watch(kind, position, wait).await {
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
    cache.update(|collection| collection.apply(changes.position, changes.changes) && is_changed);
    cache.confirm(responded_at);
    apply(app, kind, is_changed, read);
    if kind == store::Kind::Weights {
        weights_versions::confirm_watch(app, span, &standstills, transfer);
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
fn watch_wait(app: &app::App, kind: store::Kind) -> time::Duration {
    let wait = timing(app, kind).watch_wait;
    let age = app.cached(kind).age(app.clock.boot_now());
    if age.is_some_and(|age| age <= wait / 2) {
        wait
    } else {
        REVALIDATION_WAIT
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
    let timing = timing(app, kind);
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
    let is_changed = merge_delta(app, kind, name, reply.delta, read);
    let age = age.filter(|age| *age <= timing.age_max);
    let confirmed_at = age.map(|age| app.clock.boot_now().saturating_sub(age));
    let age_ms = reply.age_ms;
    cache.confirm(confirmed_at.context(OldSnafu { name, age_ms })?);
    Ok(is_changed)
}

fn merge_delta(
    app: &app::App,
    kind: store::Kind,
    name: &str,
    delta: collection::Delta,
    read: announcement::Read,
) -> bool {
    let body_bytes = delta.content_bytes();
    app.count_read("peers", kind, body_bytes);
    let position = delta.position;
    let is_changed = app
        .cached(kind)
        .update(|collection| collection.merge(delta));
    if is_changed {
        log::info!(
            "feed: event=taken_from_peer kind={kind} entry={name} position={position} \
             bytes={body_bytes}"
        );
    }
    apply(app, kind, is_changed, read);
    is_changed
}

/// Handles a request for changes from a follower: another entry or an agent.
pub async fn handle_follow(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: direct::FollowRequest = match call.read_message(REQUEST_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let kind = FOLLOWED
        .iter()
        .find(|kind| kind.to_string() == request.kind);
    let Some(kind) = kind else {
        return server::respond_text(StatusCode::NOT_FOUND, "no such kind is followed");
    };
    let wait = time::Duration::from_millis(u64::from(request.wait_ms)).min(FOLLOW_WAIT_MAX);
    app.store.record_era(request.era);
    let cache = app.cached(*kind);
    let mut delta = cache.wait_since(request.position, wait).await;
    if delta.position.era < app.store.era() {
        // The list of the new era is under way, and the follower would not accept an earlier one.
        cache.wait_for_era(app.store.era(), LIST_WAIT).await;
        delta = cache.collection().since(request.position);
    }
    let age_ms = age_ms(&app, *kind);
    server::respond_message(&direct::FollowReply { delta, age_ms })
}

fn apply(app: &app::App, kind: store::Kind, is_changed: bool, read: announcement::Read) {
    if !is_changed {
        if kind == store::Kind::Weights {
            weights_versions::confirm_read(app, read);
        }
        return;
    }
    let collection = app.cached(kind).collection();
    let objects = collection.objects();
    match kind {
        store::Kind::Configuration => apply_configuration(app, objects),
        store::Kind::Upstreams => restored::set_listed_upstreams(app),
        store::Kind::Weights => {
            let announced = decode::announced_versions(objects, app.store.skipped());
            weights_versions::record_read(app, &announced, read);
        }
        store::Kind::Entries | store::Kind::Grants => {}
    }
    app.report_skipped();
}

/// Applies the newest configuration; an older one never replaces it.
fn apply_configuration(app: &app::App, objects: &IndexMap<String, collection::Object>) {
    for object in objects.values() {
        let table = match decode::route_table(&object.content) {
            Ok(table) => table,
            Err(error) => {
                let kind = store::Kind::Configuration;
                if app.store.skipped().record(kind, &object.name, object) {
                    log::error!(
                        "feed: event=configuration_unreadable name={} error={}",
                        object.name,
                        skipped::shortened(&error)
                    );
                }
                continue;
            }
        };
        let current = app.table.load().as_ref().map(|table| table.version);
        if current.is_some_and(|current| current >= table.version) {
            continue;
        }
        log::info!(
            "feed: event=configuration_in_force version={} before={} position={} bytes={}",
            table.version,
            current.unwrap_or_default(),
            object.position,
            object.content.len()
        );
        if let Some(idle_timeout) = table.idle_timeout {
            caller_connections::set_idle_timeout(app, idle_timeout);
        }
        request_timeout::record_lowered(app, &table);
        app.table.store(Some(sync::Arc::new(table)));
    }
}
