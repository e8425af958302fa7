//! Follows the configuration, peers and entries through entries, preferably of the own region.
//! [`weights_feed`] follows the announced weights.
//!
//! Links between regions have low bandwidth, so of the configuration and the lists only what no
//! entry could supply is read from the store.

mod apply;
mod caches;

use std::{sync, time};

use pimentohook_core::announcement;
use pimentohook_platform::{decode, skipped, store};
use pimentohook_runtime::{client, metrics};
use pimentohook_wire::direct;
use snafu::ResultExt as _;
use tokio::time as tokio_time;

use self::{
    apply::{apply, apply_table, set_service},
    caches::{CachedCollections, RefreshedKind},
};
use super::{
    app,
    entry_follow::{self, EntrySnafu, FollowError},
    weights_feed,
};
pub(super) use caches::Objects;

const RETRY_DELAY: time::Duration = time::Duration::from_millis(400);
const REFRESH_INTERVAL: time::Duration = time::Duration::from_secs(3);
const ENTRY_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// An agent that has just started retries soon: entries may be starting too.
const STARTUP_ENTRY_TIMEOUT: time::Duration = time::Duration::from_millis(100);
const STARTUP_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
/// How long, per registered entry, a starting agent waits for entries before it reads the
/// configuration from the store: the larger the fleet, the more agents would read it at once.
const STARTUP_WAIT_PER_ENTRY: time::Duration = time::Duration::from_millis(10);
pub(super) const WEIGHTS_AGE_MAX: time::Duration = time::Duration::from_secs(14);
/// The interval while weights are downloaded, shorter so that VMs that join are found sooner.
const DOWNLOADING_REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(800);

/// Spawns the tasks that follow the store and the entries, until the process exits.
pub fn start(app: &sync::Arc<app::App>) {
    app.standstills.spawn(&app.metrics);
    tokio::spawn(weights_feed::run(app.clone()));
    tokio::spawn(refresh(app.clone()));
}

async fn refresh(app: sync::Arc<app::App>) {
    let mut caches = CachedCollections::default();
    loop {
        let is_refreshed = if app.service.load().is_some() {
            refresh_from_entries(&app, &mut caches, ENTRY_TIMEOUT).await
        } else {
            refresh_at_startup(&app, &mut caches).await
        };
        if !is_refreshed {
            refresh_from_store(&app, &mut caches).await;
        }
        expire_lost(&app, &mut caches);
        app.report_skipped();
        let pause = if app.service.load().is_none() {
            RETRY_DELAY
        } else if app.transfers.is_downloading() {
            DOWNLOADING_REFRESH_INTERVAL
        } else {
            REFRESH_INTERVAL
        };
        tokio_time::sleep(pause).await;
    }
}

/// Retries entries until one knows the agent's service, for a time that grows with their number.
async fn refresh_at_startup(app: &app::App, caches: &mut CachedCollections) -> bool {
    refresh_kind_from_store(app, caches, RefreshedKind::Entries).await;
    let entry_count = u32::try_from(app.entries.load().len()).unwrap_or(u32::MAX);
    let startup_wait = STARTUP_WAIT_PER_ENTRY.saturating_mul(entry_count);
    let attempts = async {
        while !refresh_from_entries(app, caches, STARTUP_ENTRY_TIMEOUT).await
            || app.service.load().is_none()
        {
            tokio_time::sleep(STARTUP_RETRY_DELAY).await;
        }
    };
    tokio_time::timeout(startup_wait, attempts).await.is_ok()
}

/// Refreshes from an entry, those of the own region first; returns whether one succeeded.
async fn refresh_from_entries(
    app: &app::App,
    caches: &mut CachedCollections,
    timeout: time::Duration,
) -> bool {
    for entry in entry_follow::preferred_entries(app) {
        match refresh_from_entry(app, caches, &entry, timeout).await {
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

async fn refresh_from_entry(
    app: &app::App,
    caches: &mut CachedCollections,
    entry: &direct::PeerState,
    timeout: time::Duration,
) -> Result<(), FollowError> {
    for kind in [
        RefreshedKind::Upstreams,
        RefreshedKind::Entries,
        RefreshedKind::Weights,
    ] {
        let question = entry_follow::Question {
            kind: kind.store_kind(),
            position: caches.get_mut(kind).position(),
            wait: time::Duration::ZERO,
            age_max: kind.age_max(),
            timeouts: client::Timeouts {
                head: timeout,
                body: timeout,
            },
        };
        let (delta, read) = entry_follow::ask(app, entry, &question).await?;
        if caches.get_mut(kind).merge(delta) {
            apply(app, kind, caches, read);
        }
    }
    refresh_service(app, entry, timeout).await
}

pub(super) async fn refresh_service(
    app: &app::App,
    entry: &direct::PeerState,
    timeout: time::Duration,
) -> Result<(), FollowError> {
    let known = app
        .service
        .load()
        .as_ref()
        .map(|known| known.configuration_version);
    let request = direct::ServiceRequest {
        service: app.settings.service.clone(),
        configuration: known.unwrap_or(0),
        announced: app.announcements.report(),
    };
    let requested_at = app.clock.boot_now();
    let call = app
        .client
        .call(entry.peers, direct::SERVICE_PATH, &request, timeout);
    let reply: direct::ServiceReply = call.await.context(EntrySnafu)?;
    let heard = announcement::Heard::InReply {
        requested_at,
        now: app.clock.boot_now(),
    };
    app.announcements.merge(&reply.announced, heard);
    if let Some(service) = reply.service {
        set_service(app, reply.configuration, service);
    }
    Ok(())
}

/// Refreshes from the store what no entry could supply.
async fn refresh_from_store(app: &app::App, caches: &mut CachedCollections) {
    refresh_kind_from_store(app, caches, RefreshedKind::Entries).await;
    refresh_kind_from_store(app, caches, RefreshedKind::Upstreams).await;
    // A configuration is large, and its part about engines rarely changes.
    if app.service.load().is_none() {
        read_configuration(app).await;
    }
}

async fn refresh_kind_from_store(
    app: &app::App,
    caches: &mut CachedCollections,
    kind: RefreshedKind,
) {
    let read = announcement::Read::Fetched(app.clock.boot_now());
    let Some(listing) = list(app, kind.store_kind(), store::Freshness::MayBeStale).await else {
        return;
    };
    if caches
        .get_mut(kind)
        .replace(listing.position, listing.objects)
    {
        apply(app, kind, caches, read);
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
            Err(error) => {
                if app.store.skipped().record(kind, &object.name, &object) {
                    log::error!(
                        "feed: event=configuration_unreadable name={} error={}",
                        object.name,
                        skipped::shortened(&error)
                    );
                }
            }
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

/// Drops the upstreams and entries that a restored store has lost when their time is over.
fn expire_lost(app: &app::App, caches: &mut CachedCollections) {
    let now = app.clock.now();
    let read = announcement::Read::Fetched(app.clock.boot_now());
    let is_over = |at: Option<time::Instant>| at.is_some_and(|at| at <= now);
    if is_over(caches.lost_upstreams.expires_at()) {
        apply(app, RefreshedKind::Upstreams, caches, read);
    }
    if is_over(caches.lost_entries.expires_at()) {
        apply(app, RefreshedKind::Entries, caches, read);
    }
}
