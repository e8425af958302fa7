//! Configuration, upstreams and named weights, from the store or from peers.

use std::{sync, time};

use indexmap::IndexMap;
use pimentohook_platform::{decode, store};
use pimentohook_wire::direct;
use tokio::time as tokio_time;

use super::app;

const WATCH_WAIT: time::Duration = time::Duration::from_secs(12);
/// Changes that come close together are taken in at once.
const GATHER: time::Duration = time::Duration::from_millis(100);
/// Upstreams change in swarms, and what they serve is learned from their agents sooner.
const GATHER_UPSTREAMS: time::Duration = time::Duration::from_millis(350);
/// Entries hear of each other from each other too.
const GATHER_ENTRIES: time::Duration = time::Duration::from_millis(700);
/// Versions of a model whose naming is remembered.
const NAMED_MAX: usize = 8;
const RETRY_MIN: time::Duration = time::Duration::from_millis(150);
const RETRY_MAX: time::Duration = time::Duration::from_millis(1_200);

/// The kinds that an entry follows.
pub const FOLLOWED: [store::Kind; 4] = [
    store::Kind::Configuration,
    store::Kind::Upstreams,
    store::Kind::Weights,
    store::Kind::Entries,
];

/// Starts to follow the store, until the process ends.
pub fn start(app: &sync::Arc<app::App>) {
    for kind in FOLLOWED {
        tokio::spawn(follow(app.clone(), kind));
    }
}

type Objects = IndexMap<String, store::Object>;

async fn follow(app: sync::Arc<app::App>, kind: store::Kind) {
    let mut pause = RETRY_MIN;
    loop {
        let error = match app.store.list(kind, store::Freshness::Current).await {
            Ok(listing) => {
                pause = RETRY_MIN;
                log::info!(
                    "feed: event=listed kind={kind} revision={} objects={} bytes={} transfer_ms={}",
                    listing.revision,
                    listing.objects.len(),
                    listing.cost.body_bytes,
                    listing.cost.transfer.as_millis()
                );
                app.count_read("store", kind, listing.cost.body_bytes);
                watch(&app, kind, listing).await
            }
            Err(error) => error,
        };
        record_lost(&app, kind);
        log::warn!(
            "feed: event=store_lost kind={kind} error={error:?} retry_ms={}",
            pause.as_millis()
        );
        tokio_time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}

async fn watch(app: &app::App, kind: store::Kind, listing: store::Listing) -> store::StoreError {
    let listed = listing.objects.into_iter();
    let mut objects: Objects = listed.map(|one| (one.name.clone(), one)).collect();
    let mut revision = listing.revision;
    take_in(app, kind, revision, &objects);
    loop {
        let changes = match app.store.watch(kind, revision, WATCH_WAIT).await {
            Ok(changes) => changes,
            Err(error) => return error,
        };
        revision = changes.revision;
        app.count_read("store", kind, changes.cost.body_bytes);
        let is_changed = !changes.changes.is_empty();
        if is_changed {
            log::info!(
                "feed: event=changed kind={kind} revision={revision} changes={} bytes={} \
                 transfer_ms={}",
                changes.changes.len(),
                changes.cost.body_bytes,
                changes.cost.transfer.as_millis()
            );
        }
        for change in changes.changes {
            if change.removed {
                objects.shift_remove(&change.object.name);
            } else {
                objects.insert(change.object.name.clone(), change.object);
            }
        }
        record_heard(app, kind);
        if is_changed {
            take_in(app, kind, revision, &objects);
            tokio_time::sleep(gather(kind)).await;
        }
    }
}

const fn gather(kind: store::Kind) -> time::Duration {
    match kind {
        store::Kind::Upstreams => GATHER_UPSTREAMS,
        store::Kind::Entries => GATHER_ENTRIES,
        store::Kind::Configuration | store::Kind::Weights | store::Kind::Grants => GATHER,
    }
}

fn record_heard(app: &app::App, kind: store::Kind) {
    if kind == store::Kind::Configuration && app.store_lost_at.load().is_some() {
        log::info!("feed: event=store_regained kind={kind}");
        app.store_lost_at.store(None);
    }
}

fn record_lost(app: &app::App, kind: store::Kind) {
    if kind == store::Kind::Configuration && app.store_lost_at.load().is_none() {
        app.store_lost_at
            .store(Some(sync::Arc::new(app.clock.now())));
    }
}

fn take_in(app: &app::App, kind: store::Kind, revision: u64, objects: &Objects) {
    record_heard(app, kind);
    let object = |one: &store::Object| (one.name.clone(), one.revision, one.content.clone());
    let snapshot = sync::Arc::new(direct::KindSnapshot {
        revision,
        objects: objects.values().map(object).collect(),
    });
    app.kinds.rcu(|kinds| {
        let mut kinds = IndexMap::clone(kinds);
        kinds.insert(kind.to_string(), snapshot.clone());
        kinds
    });
    apply(app, kind, objects);
}

/// Takes in a kind that a peer knows at a later revision.
pub fn take_from_peer(app: &app::App, kind: store::Kind, snapshot: direct::KindSnapshot) {
    let body_bytes = snapshot.objects.iter().map(|one| one.2.len()).sum();
    app.count_read("peers", kind, body_bytes);
    let known = app.kinds.load();
    let known_revision = known.get(&kind.to_string()).map_or(0, |one| one.revision);
    if snapshot.revision <= known_revision {
        return;
    }
    log::info!(
        "feed: event=taken_from_peer kind={kind} revision={} known={known_revision} \
         bytes={body_bytes}",
        snapshot.revision
    );
    let objects: Objects = snapshot
        .objects
        .into_iter()
        .map(|(name, revision, content)| {
            let object = store::Object {
                name: name.clone(),
                revision,
                content,
            };
            (name, object)
        })
        .collect();
    take_in(app, kind, snapshot.revision, &objects);
}

fn apply(app: &app::App, kind: store::Kind, objects: &Objects) {
    match kind {
        store::Kind::Configuration => apply_configuration(app, objects),
        store::Kind::Upstreams => app.set_upstreams(decode::upstreams(objects)),
        store::Kind::Weights => apply_weights(app, objects),
        store::Kind::Entries | store::Kind::Grants => {}
    }
}

/// The newest configuration wins; an earlier one never replaces it.
fn apply_configuration(app: &app::App, objects: &Objects) {
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

fn apply_weights(app: &app::App, objects: &Objects) {
    let now = app.clock.now();
    let named = decode::named_weights(objects);
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
