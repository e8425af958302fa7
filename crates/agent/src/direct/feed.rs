//! Configuration, other agents and entries, from entries of the own region; named weights, from
//! the store and from them.
//!
//! The store is asked only for what no entry could tell, since links between regions are narrow.

use std::{net, sync, sync::atomic, time};

use indexmap::IndexMap;
use pimentohook_core::{collection, id, routes, upstreams};
use pimentohook_platform::{decode, store};
use pimentohook_runtime::{client, metrics};
use pimentohook_wire::direct;
use snafu::{ResultExt, Snafu, ensure};
use tokio::time as tokio_time;

use super::app;

const WATCH_WAIT: time::Duration = time::Duration::from_secs(12);
const RETRY: time::Duration = time::Duration::from_millis(400);
const RETRY_MAX: time::Duration = time::Duration::from_millis(3_200);
const REFRESH_EVERY: time::Duration = time::Duration::from_secs(3);
/// Entries that are asked before the store is.
const ASKED_MAX: usize = 2;
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// An agent that has just started asks again soon: entries may be starting too.
const FIRST_ASK_TIMEOUT: time::Duration = time::Duration::from_millis(100);
const FIRST_ASK_PAUSE: time::Duration = time::Duration::from_millis(20);
/// How long it waits for them before it reads the configuration from the store, for each entry that
/// is registered: the larger the fleet, the more would read it at once.
const FIRST_PATIENCE_PER_ENTRY: time::Duration = time::Duration::from_millis(10);
const AGE_MAX_LISTS: time::Duration = time::Duration::from_secs(6);
const AGE_MAX_WEIGHTS: time::Duration = time::Duration::from_secs(14);
/// While weights are under way, machines that join are found sooner.
const REFRESH_UNDER_WAY: time::Duration = time::Duration::from_millis(800);

/// Starts to follow the store, until the process ends.
pub fn start(app: &sync::Arc<app::App>) {
    tokio::spawn(follow_weights(app.clone()));
    tokio::spawn(refresh(app.clone()));
}

type Objects = IndexMap<String, collection::Object>;

fn by_name(objects: Vec<collection::Object>) -> Objects {
    let named = objects.into_iter().map(|one| (one.name.clone(), one));
    named.collect()
}

/// Watches the named versions; while the store can't be reached, entries tell them.
async fn follow_weights(app: sync::Arc<app::App>) {
    let mut pause = RETRY;
    loop {
        if let Err(error) = watch_weights(&app, &mut pause).await {
            log::warn!(
                "feed: event=store_lost kind=weights error={error:?} retry_ms={}",
                pause.as_millis()
            );
        }
        tokio_time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}

async fn watch_weights(
    app: &app::App,
    pause: &mut time::Duration,
) -> Result<(), store::StoreError> {
    let kind = store::Kind::Weights;
    let listing = app.store.list(kind, store::Freshness::Current).await?;
    *pause = RETRY;
    let mut objects = by_name(listing.objects);
    let mut revision = listing.revision;
    loop {
        want_named(app, &objects);
        app.weights_read.store(true, atomic::Ordering::Relaxed);
        let changes = app.store.watch(kind, revision, WATCH_WAIT).await?;
        revision = changes.revision;
        let kept = changes.changes.into_iter().filter(|one| !one.removed);
        objects.extend(kept.map(|one| (one.object.name.clone(), one.object)));
    }
}

fn want_named(app: &app::App, objects: &Objects) {
    let named = decode::announced_versions(objects);
    let service = app.service.load();
    for (model, version) in named {
        let is_mine = service
            .as_ref()
            .is_none_or(|service| service.figures.models.contains(&model));
        if is_mine {
            app.want(&model, version);
        }
    }
}

/// The agent's copies of what it asks for again and again.
#[derive(Debug, Default)]
struct Copies {
    upstreams: collection::Collection,
    entries: collection::Collection,
    weights: collection::Collection,
}

impl Copies {
    const fn of(&mut self, kind: Refreshed) -> &mut collection::Collection {
        match kind {
            Refreshed::Upstreams => &mut self.upstreams,
            Refreshed::Entries => &mut self.entries,
            Refreshed::Weights => &mut self.weights,
        }
    }
}

/// The kinds of objects that are refreshed.
#[derive(Clone, Copy, Debug)]
enum Refreshed {
    Upstreams,
    Entries,
    Weights,
}

impl Refreshed {
    const fn kind(self) -> store::Kind {
        match self {
            Self::Upstreams => store::Kind::Upstreams,
            Self::Entries => store::Kind::Entries,
            Self::Weights => store::Kind::Weights,
        }
    }

    /// Returns the oldest that an entry's knowledge may be, by how often entries ask the store.
    const fn age_max(self) -> time::Duration {
        match self {
            Self::Upstreams | Self::Entries => AGE_MAX_LISTS,
            Self::Weights => AGE_MAX_WEIGHTS,
        }
    }
}

/// An entry that could not be learned from.
#[derive(Debug, Snafu)]
enum FeedError {
    #[snafu(display("{source}"))]
    Entry { source: client::ClientError },
    /// The entry has lost the store.
    #[snafu(display("entry knows what was {age_ms:?} ms ago"))]
    Old { age_ms: Option<u64> },
}

async fn refresh(app: sync::Arc<app::App>) {
    let mut copies = Copies::default();
    loop {
        let is_known = if app.service.load().is_some() {
            refresh_from_entries(&app, &mut copies, ASK_TIMEOUT).await
        } else {
            first_refresh_from_entries(&app, &mut copies).await
        };
        if !is_known {
            refresh_from_store(&app, &mut copies).await;
        }
        let pause = if app.service.load().is_none() {
            RETRY
        } else if app.transfers.is_under_way() {
            REFRESH_UNDER_WAY
        } else {
            REFRESH_EVERY
        };
        tokio_time::sleep(pause).await;
    }
}

/// Asks entries until one knows the agent's service, for a while that grows with their number.
async fn first_refresh_from_entries(app: &app::App, copies: &mut Copies) -> bool {
    refresh_kind_from_store(app, copies, Refreshed::Entries).await;
    let entry_count = u32::try_from(app.entries.load().len()).unwrap_or(u32::MAX);
    let patience = FIRST_PATIENCE_PER_ENTRY.saturating_mul(entry_count);
    let asked = async {
        while !refresh_from_entries(app, copies, FIRST_ASK_TIMEOUT).await
            || app.service.load().is_none()
        {
            tokio_time::sleep(FIRST_ASK_PAUSE).await;
        }
    };
    tokio_time::timeout(patience, asked).await.is_ok()
}

/// Asks entries, those of the own region first; returns whether one of them knew.
async fn refresh_from_entries(
    app: &app::App,
    copies: &mut Copies,
    timeout: time::Duration,
) -> bool {
    for entry in nearest_entries(app) {
        match refresh_from_entry(app, copies, &entry, timeout).await {
            Ok(()) => return true,
            Err(error) => {
                log::info!(
                    "feed: event=entry_lost entry={} error={error:?}",
                    entry.entry
                );
            }
        }
    }
    false
}

fn nearest_entries(app: &app::App) -> Vec<direct::PeerState> {
    let mut entries = Vec::clone(&app.entries.load());
    entries.sort_by_cached_key(|entry| {
        let is_far = entry.region != app.settings.region;
        (is_far, id::rendezvous_score(app.me.as_str(), &entry.entry))
    });
    entries.truncate(ASKED_MAX);
    entries
}

async fn refresh_from_entry(
    app: &app::App,
    copies: &mut Copies,
    entry: &direct::PeerState,
    timeout: time::Duration,
) -> Result<(), FeedError> {
    for kind in [Refreshed::Upstreams, Refreshed::Entries, Refreshed::Weights] {
        let request = direct::FollowRequest {
            kind: kind.kind().to_string(),
            revision: copies.of(kind).revision(),
            wait_ms: 0,
        };
        let asked = app
            .client
            .call(entry.peers, direct::FOLLOW_PATH, &request, timeout);
        let reply: direct::FollowReply = asked.await.context(EntrySnafu)?;
        let age = reply.age_ms.map(time::Duration::from_millis);
        let age_ms = reply.age_ms;
        ensure!(
            age.is_some_and(|age| age <= kind.age_max()),
            OldSnafu { age_ms }
        );
        if copies.of(kind).merge(reply.delta) {
            apply(app, kind, copies.of(kind).objects());
        }
    }
    refresh_service(app, entry, timeout).await
}

async fn refresh_service(
    app: &app::App,
    entry: &direct::PeerState,
    timeout: time::Duration,
) -> Result<(), FeedError> {
    let known = app.service.load().as_ref().map(|known| known.configuration);
    let request = direct::ServiceRequest {
        service: app.settings.service.clone(),
        configuration: known.unwrap_or(0),
    };
    let asked = app
        .client
        .call(entry.peers, direct::SERVICE_PATH, &request, timeout);
    let reply: direct::ServiceReply = asked.await.context(EntrySnafu)?;
    if let Some(service) = reply.service {
        set_service(app, reply.configuration, service);
    }
    Ok(())
}

/// Asks the store, for what no entry could tell.
async fn refresh_from_store(app: &app::App, copies: &mut Copies) {
    refresh_kind_from_store(app, copies, Refreshed::Entries).await;
    refresh_kind_from_store(app, copies, Refreshed::Upstreams).await;
    // A configuration is large, and what it says of engines hardly ever changes.
    if app.service.load().is_none() {
        read_configuration(app).await;
    }
}

async fn refresh_kind_from_store(app: &app::App, copies: &mut Copies, kind: Refreshed) {
    let Some(listing) = list(app, kind.kind(), store::Freshness::MayBeStale).await else {
        return;
    };
    if copies.of(kind).replace(listing.revision, listing.objects) {
        apply(app, kind, copies.of(kind).objects());
    }
}

async fn read_configuration(app: &app::App) {
    let kind = store::Kind::Configuration;
    let Some(listing) = list(app, kind, store::Freshness::Current).await else {
        return;
    };
    for object in listing.objects {
        match decode::route_table(&object.content) {
            Ok(table) => apply_table(app, &table),
            Err(error) => log::error!("feed: event=configuration_unreadable error={error:?}"),
        }
    }
}

async fn list(
    app: &app::App,
    kind: store::Kind,
    freshness: store::Freshness,
) -> Option<store::Listing> {
    match app.store.list(kind, freshness).await {
        Ok(listing) => {
            let cost = listing.cost;
            log::info!(
                "feed: event=listed kind={kind} bytes={} transfer_ms={}",
                cost.body_bytes,
                cost.transfer.as_millis()
            );
            let name = format!("read_bytes_store_{kind}");
            metrics::Registry::add(&app.metrics, &name, cost.body_bytes);
            Some(listing)
        }
        Err(error) => {
            log::warn!("feed: event=store_lost kind={kind} error={error:?}");
            None
        }
    }
}

fn apply(app: &app::App, kind: Refreshed, objects: &Objects) {
    match kind {
        Refreshed::Upstreams => apply_upstreams(app, &decode::upstreams(objects)),
        Refreshed::Entries => apply_entries(app, objects),
        Refreshed::Weights => want_named(app, objects),
    }
}

fn apply_table(app: &app::App, table: &routes::RouteTable) {
    let service = table.services.get(&app.settings.service);
    if let Some(figures) = service.and_then(|service| service.engine.clone()) {
        let origin = table.origin();
        let service = direct::EngineService { figures, origin };
        set_service(app, table.version.get(), service);
    }
}

fn set_service(app: &app::App, configuration: u64, service: direct::EngineService) {
    let is_first = app.service.load().is_none();
    let direct::EngineService { figures, origin } = service;
    app.service.store(Some(sync::Arc::new(app::Service {
        configuration,
        figures,
        origin,
    })));
    if is_first {
        log::info!("feed: event=configuration_known version={configuration} origin={origin:?}");
    }
}

fn apply_upstreams(app: &app::App, listed: &[upstreams::Upstream]) {
    let vms = upstreams::service_vms(listed, &app.settings.service);
    // Those that leave make no grants and get none, so they are not among the others.
    let mut others = app::Others::new();
    for (vm, failure_domain) in vms.staying {
        let other = app::Other {
            address: net::SocketAddr::new(vm, app.settings.peers.port()),
            is_near: failure_domain == app.settings.failure_domain.as_str(),
        };
        others.insert(app::vm_of(vm), other);
    }
    others.shift_remove(&app.me);
    app.others.store(sync::Arc::new(others));
    let leaving = vms.leaving.iter().map(|vm| app::vm_of(*vm)).collect();
    app.leaving.store(sync::Arc::new(leaving));
}

fn apply_entries(app: &app::App, objects: &Objects) {
    let state = |object: &collection::Object| {
        let state: Result<direct::PeerState, _> = serde_json::from_str(&object.content);
        match state {
            Ok(state) => Some(state),
            Err(error) => {
                log::debug!(
                    "feed: event=entry_unreadable name={} error={error:?}",
                    object.name
                );
                None
            }
        }
    };
    let entries = objects.values().filter_map(state).collect();
    app.entries.store(sync::Arc::new(entries));
}
