//! Configuration, upstreams, entries and named weights, from the store or from other entries.
//!
//! Few entries of a region follow the store, the others follow them; see [`relay`].

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use pimentohook_core::{collection, relay};
use pimentohook_platform::{decode, store};
use pimentohook_runtime::{client, server};
use pimentohook_wire::direct;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::time as tokio_time;

use super::app;

/// Changes that come close together are taken in at once.
const GATHER: time::Duration = time::Duration::from_millis(100);
/// Upstreams change in swarms, and what they serve is learned from their agents sooner.
const GATHER_UPSTREAMS: time::Duration = time::Duration::from_millis(350);
/// Entries hear of each other from each other too.
const GATHER_ENTRIES: time::Duration = time::Duration::from_millis(700);
/// Versions of a model whose naming is remembered.
const NAMED_MAX: usize = 8;
const RETRY: time::Duration = time::Duration::from_millis(100);
/// How long an entry that has just started waits for others before it turns to the store.
const FIRST_HEARD_MAX: time::Duration = time::Duration::from_millis(60);
const FIRST_HEARD_STEP: time::Duration = time::Duration::from_millis(5);
const CONFIRM_WAIT: time::Duration = time::Duration::from_millis(1);
/// How long another entry may take beyond the wait that it was asked for.
const REPLY_SLACK: time::Duration = time::Duration::from_millis(450);
/// How long a large answer of another entry may take from its head to its end.
const REPLY_BODY_MAX: time::Duration = time::Duration::from_millis(1_500);
/// The longest wait that another entry may ask for.
const WAIT_MAX: time::Duration = time::Duration::from_secs(5);
const REQUEST_MAX_BYTES: usize = 1 << 12;

/// The kinds that an entry follows.
pub const FOLLOWED: [store::Kind; 4] = [
    store::Kind::Configuration,
    store::Kind::Upstreams,
    store::Kind::Weights,
    store::Kind::Entries,
];

/// How a kind is followed.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// How long a watch of the store may wait.
    watch_wait: time::Duration,
    /// How long another entry may wait before it answers that nothing changed.
    follow_wait: time::Duration,
    /// The oldest that another entry's knowledge may be.
    age_max: time::Duration,
}

/// Parts of the grace of a configuration, in hundredths. Even the knowledge of an entry that turns
/// from a relay to another source stays young enough to decide.
const WATCH_PERCENT: u32 = 40;
const FOLLOW_PERCENT: u32 = 20;
const AGE_PERCENT: u32 = 60;

fn pace_of_configuration(grace: time::Duration) -> Pace {
    Pace {
        watch_wait: grace * WATCH_PERCENT / 100,
        follow_wait: grace * FOLLOW_PERCENT / 100,
        age_max: grace * AGE_PERCENT / 100,
    }
}

/// Upstreams that leave have to be known of soon, also to those that follow a relay which has lost
/// the store.
const PACE_UPSTREAMS: Pace = Pace {
    watch_wait: time::Duration::from_millis(800),
    follow_wait: time::Duration::from_millis(400),
    age_max: time::Duration::from_millis(1_200),
};
const PACE_LISTS: Pace = Pace {
    watch_wait: time::Duration::from_secs(4),
    follow_wait: time::Duration::from_millis(700),
    age_max: time::Duration::from_secs(6),
};
/// Named versions are few and small, so each entry follows the store itself.
const PACE_WEIGHTS: Pace = Pace {
    watch_wait: time::Duration::from_secs(12),
    follow_wait: time::Duration::from_secs(1),
    age_max: time::Duration::from_secs(14),
};

fn pace(app: &app::App, kind: store::Kind) -> Pace {
    match kind {
        store::Kind::Configuration => pace_of_configuration(app.settings.configuration_grace),
        store::Kind::Upstreams if has_followers(app) => PACE_UPSTREAMS,
        store::Kind::Upstreams | store::Kind::Entries | store::Kind::Grants => PACE_LISTS,
        store::Kind::Weights => PACE_WEIGHTS,
    }
}

/// A source that could not be learned from.
#[derive(Debug, Snafu)]
enum FeedError {
    #[snafu(display("{source}"))]
    Store { source: store::StoreError },
    #[snafu(display("{source}"))]
    Entry { source: client::ClientError },
    /// The entry was lost meanwhile.
    #[snafu(display("entry {name} is not known any more"))]
    Lost { name: String },
    /// The entry does not hear the store itself, or not any more.
    #[snafu(display("entry {name} knows what was {age_ms:?} ms ago"))]
    Old { name: String, age_ms: Option<u64> },
}

/// Starts to follow the store, until the process ends.
pub fn start(app: &sync::Arc<app::App>) {
    for kind in FOLLOWED {
        tokio::spawn(follow(app.clone(), kind));
    }
}

async fn follow(app: sync::Arc<app::App>, kind: store::Kind) {
    let mut failures = relay::Failures::default();
    let mut followed = None;
    wait_for_others(&app).await;
    loop {
        let order = sources(&app, kind);
        let Some(source) = failures.choose(&order, app.clock.now()) else {
            tokio_time::sleep(RETRY).await;
            continue;
        };
        match learn(&app, kind, source).await {
            Ok(is_changed) => {
                failures.record_success(source);
                if followed.as_ref() != Some(source) {
                    log::info!("feed: event=following kind={kind} source={source:?}");
                    followed = Some(source.clone());
                }
                if is_changed {
                    tokio_time::sleep(gather(kind)).await;
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

async fn wait_for_others(app: &app::App) {
    let heard = async {
        while app.peers.load().is_empty() {
            tokio_time::sleep(FIRST_HEARD_STEP).await;
        }
    };
    if tokio_time::timeout(FIRST_HEARD_MAX, heard).await.is_err() {
        log::info!("feed: event=nobody_heard");
    }
}

fn others(app: &app::App) -> Vec<relay::RelayCandidate> {
    let peers = app.peers.load();
    let ready = peers.values().filter(|peer| peer.state.ready);
    ready.map(|peer| member(&peer.state)).collect()
}

fn has_followers(app: &app::App) -> bool {
    relay::may_have_followers(&member(&app.peer_state()), &others(app))
}

/// Returns from whom a kind is learned, the first choice first.
fn sources(app: &app::App, kind: store::Kind) -> Vec<relay::Source> {
    let mut order = relay::source_order(&member(&app.peer_state()), &others(app));
    if kind == store::Kind::Weights {
        order.retain(|source| *source != relay::Source::Store);
        order.insert(0, relay::Source::Store);
    }
    order
}

fn member(state: &direct::PeerState) -> relay::RelayCandidate {
    relay::RelayCandidate {
        name: state.entry.clone(),
        region: state.region.clone(),
        link_rate: state.link_rate,
        is_settled: state.is_settled,
    }
}

const fn gather(kind: store::Kind) -> time::Duration {
    match kind {
        store::Kind::Upstreams => GATHER_UPSTREAMS,
        store::Kind::Entries => GATHER_ENTRIES,
        store::Kind::Configuration | store::Kind::Weights | store::Kind::Grants => GATHER,
    }
}

fn age_ms(app: &app::App, kind: store::Kind) -> Option<u64> {
    let age = app.known(kind).age(app.clock.now())?;
    Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

/// Learns what changed; returns whether anything did.
async fn learn(
    app: &app::App,
    kind: store::Kind,
    source: &relay::Source,
) -> Result<bool, FeedError> {
    match source {
        relay::Source::Store if app.known(kind).collection().revision() == 0 => {
            list(app, kind).await
        }
        relay::Source::Store => watch(app, kind).await,
        relay::Source::Entry(name) => learn_from_entry(app, kind, name).await,
    }
}

async fn list(app: &app::App, kind: store::Kind) -> Result<bool, FeedError> {
    let asked_at = app.clock.now();
    let listed = app.store.list(kind, store::Freshness::Current).await;
    let listing = listed.context(StoreSnafu)?;
    log::info!(
        "feed: event=listed kind={kind} revision={} objects={} bytes={} transfer_ms={}",
        listing.revision,
        listing.objects.len(),
        listing.cost.body_bytes,
        listing.cost.transfer.as_millis()
    );
    app.count_read("store", kind, listing.cost.body_bytes);
    let known = app.known(kind);
    let is_changed = known.update(|known| known.replace(listing.revision, listing.objects));
    known.confirm(asked_at);
    apply_changed(app, kind, is_changed);
    Ok(is_changed)
}

async fn watch(app: &app::App, kind: store::Kind) -> Result<bool, FeedError> {
    let known = app.known(kind);
    let revision = known.collection().revision();
    let wait = watch_wait(app, kind);
    let changes = match app.store.watch(kind, revision, wait).await {
        Err(store::StoreError::Compacted { .. }) => {
            log::info!("feed: event=history_gone kind={kind} revision={revision}");
            return list(app, kind).await;
        }
        other => other.context(StoreSnafu)?,
    };
    let answered_at = app.clock.now().checked_sub(changes.cost.transfer);
    app.count_read("store", kind, changes.cost.body_bytes);
    let is_changed = !changes.changes.is_empty();
    if is_changed {
        log::info!(
            "feed: event=changed kind={kind} revision={} changes={} bytes={} transfer_ms={}",
            changes.revision,
            changes.changes.len(),
            changes.cost.body_bytes,
            changes.cost.transfer.as_millis()
        );
    }
    known.update(|known| {
        known.apply(changes.revision, changes.changes);
        is_changed
    });
    if let Some(answered_at) = answered_at {
        known.confirm(answered_at);
    }
    apply_changed(app, kind, is_changed);
    Ok(is_changed)
}

/// Returns how long a watch may wait; what is old already is confirmed at once.
fn watch_wait(app: &app::App, kind: store::Kind) -> time::Duration {
    let wait = pace(app, kind).watch_wait;
    let age = app.known(kind).age(app.clock.now());
    if age.is_some_and(|age| age <= wait / 2) {
        wait
    } else {
        CONFIRM_WAIT
    }
}

async fn learn_from_entry(
    app: &app::App,
    kind: store::Kind,
    name: &str,
) -> Result<bool, FeedError> {
    let peers = app.peers.load_full();
    let peer = peers.get(name).context(LostSnafu { name })?;
    let known = app.known(kind);
    let pace = pace(app, kind);
    let request = direct::FollowRequest {
        kind: kind.to_string(),
        revision: known.collection().revision(),
        wait_ms: u32::try_from(pace.follow_wait.as_millis()).unwrap_or(u32::MAX),
    };
    let timeouts = client::Timeouts {
        head: pace.follow_wait + REPLY_SLACK,
        body: REPLY_BODY_MAX,
    };
    let asked =
        app.own
            .call_with_timeouts(peer.state.peers, direct::FOLLOW_PATH, &request, timeouts);
    let reply: direct::FollowReply = asked.await.context(EntrySnafu)?;
    let is_changed = take_in(app, kind, name, reply.delta);
    let age = reply.age_ms.map(time::Duration::from_millis);
    let age = age.filter(|age| *age <= pace.age_max);
    let confirmed_at = age.and_then(|age| app.clock.now().checked_sub(age));
    let age_ms = reply.age_ms;
    known.confirm(confirmed_at.context(OldSnafu { name, age_ms })?);
    Ok(is_changed)
}

fn take_in(app: &app::App, kind: store::Kind, name: &str, delta: collection::Delta) -> bool {
    let body_bytes = delta.content_bytes();
    app.count_read("peers", kind, body_bytes);
    let revision = delta.revision;
    let is_changed = app.known(kind).update(|known| known.merge(delta));
    if is_changed {
        log::info!(
            "feed: event=taken_from_peer kind={kind} entry={name} revision={revision} \
             bytes={body_bytes}"
        );
    }
    apply_changed(app, kind, is_changed);
    is_changed
}

/// Handles another process's question for what changed.
pub async fn answer(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
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
    let wait = time::Duration::from_millis(u64::from(request.wait_ms)).min(WAIT_MAX);
    let known = app.known(*kind);
    let delta = known.wait_since(request.revision, wait).await;
    let age_ms = age_ms(&app, *kind);
    server::respond_message(&direct::FollowReply { delta, age_ms })
}

fn apply_changed(app: &app::App, kind: store::Kind, is_changed: bool) {
    if !is_changed {
        return;
    }
    let collection = app.known(kind).collection();
    let objects = collection.objects();
    match kind {
        store::Kind::Configuration => apply_configuration(app, objects),
        store::Kind::Upstreams => app.set_upstreams(decode::upstreams(objects)),
        store::Kind::Weights => apply_weights(app, objects),
        store::Kind::Entries | store::Kind::Grants => {}
    }
}

/// The newest configuration wins; an earlier one never replaces it.
fn apply_configuration(app: &app::App, objects: &IndexMap<String, collection::Object>) {
    for object in objects.values() {
        let table = match decode::route_table(&object.content) {
            Ok(table) => table,
            Err(error) => {
                log::error!(
                    "feed: event=configuration_unreadable name={} error={error:?}",
                    object.name
                );
                continue;
            }
        };
        let known = app.table.load().as_ref().map(|table| table.version);
        if known.is_some_and(|known| known >= table.version) {
            continue;
        }
        log::info!(
            "feed: event=configuration_in_force version={} before={} revision={} bytes={}",
            table.version,
            known.unwrap_or_default(),
            object.revision,
            object.content.len()
        );
        app.table.store(Some(sync::Arc::new(table)));
    }
}

fn apply_weights(app: &app::App, objects: &IndexMap<String, collection::Object>) {
    let now = app.clock.now();
    let named = decode::announced_versions(objects);
    app.wanted.rcu(|wanted| {
        let mut wanted = IndexMap::clone(wanted);
        for (model, version) in &named {
            let named = wanted.entry(model.clone()).or_insert_with(Vec::new);
            if named.last().is_none_or(|known| known.version < *version) {
                named.push(app::Wanted {
                    version: *version,
                    since: now,
                });
            }
            let surplus = named.len().saturating_sub(NAMED_MAX);
            named.drain(..surplus);
        }
        wanted
    });
    log::info!("feed: event=weights_named named={named:?}");
}
