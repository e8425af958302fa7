//! Spreads what entries believe of upstreams' limits, so that an entry knows a limit before it sends
//! its first request to the upstream, and which upstreams have said that they are leaving.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::Response;
use pimentohook_runtime::server;
use pimentohook_wire::direct;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use tokio::time as tokio_time;

use super::{app, permits, retries, upstream_limits, upstream_notices};

const ROUND_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The shortest time between two messages about changes, however often limits change.
const CHANGE_INTERVAL_MIN: time::Duration = time::Duration::from_millis(100);
const USAGE_LOG_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// The number of entries that are told in each round.
const FANOUT: usize = 3;
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// The number of limits in a message, a random sample of them.
const LIMITS_MAX: usize = 12;
/// The number of leaving upstreams in a message, a random sample of them.
const LEAVING_MAX: usize = 12;
/// How long an upstream that has withdrawn its limit is mentioned.
const WITHDRAWN_MENTION: time::Duration = time::Duration::from_secs(10);
const MESSAGE_MAX_BYTES: usize = 1 << 13;

/// Spreads limits and updates the coordinators until the process exits.
pub async fn run(app: sync::Arc<app::App>) {
    let mut round_at = tokio_time::Instant::now();
    let mut log_at = round_at + USAGE_LOG_INTERVAL;
    loop {
        let changed = app.upstream_limits.changed.notified();
        let is_changed = tokio_time::timeout_at(round_at, changed).await.is_ok();
        let now = tokio_time::Instant::now();
        if now >= round_at {
            upstream_limits::update_fleet(&app);
            retries::update_burst_share(&app);
            round_at = now + ROUND_INTERVAL;
        }
        if is_changed {
            report_changes(&app);
        }
        for address in round_targets(&app) {
            tokio::spawn(exchange(app.clone(), address));
        }
        if now >= log_at {
            upstream_limits::log_usage(&app);
            retries::log_usage(&app);
            app.upstream_limits.remove_untracked(app.clock.now());
            upstream_notices::remove_unlisted(&app);
            log_at = now + USAGE_LOG_INTERVAL;
        }
        if is_changed {
            tokio_time::sleep(CHANGE_INTERVAL_MIN).await;
        }
    }
}

/// Reports the limits that were stated a moment ago to their coordinators.
fn report_changes(app: &sync::Arc<app::App>) {
    let now = app.clock.now();
    for (instance, upstream) in app.upstream_limits.all().iter() {
        let is_recent = upstream.belief().is_some_and(|belief| {
            now.saturating_duration_since(belief.stated_at) < CHANGE_INTERVAL_MIN
        });
        if is_recent {
            let (app, instance, upstream) = (app.clone(), instance.clone(), upstream.clone());
            tokio::spawn(async move { permits::report_limit(&app, &instance, &upstream).await });
        }
    }
}

/// Returns a sample of the other entries; none if there is nothing to tell.
fn round_targets(app: &app::App) -> Vec<std::net::SocketAddr> {
    let message = stated_limits(app);
    if message.limits.is_empty() && message.leaving.is_empty() {
        return Vec::new();
    }
    let peers = app.peers.load();
    let addresses: Vec<_> = peers.values().map(|peer| peer.state.peers).collect();
    let sample = addresses.sample(&mut rand::rng(), FANOUT);
    sample.copied().collect()
}

async fn exchange(app: sync::Arc<app::App>, address: std::net::SocketAddr) {
    let message = stated_limits(&app);
    let call = app
        .internal
        .call(address, direct::LIMITS_PATH, &message, MESSAGE_TIMEOUT);
    let reply: direct::StatedLimits = match call.await {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!("limit: event=not_told address={address} error={error:?}");
            return;
        }
    };
    record(&app, &reply);
}

fn record(app: &app::App, message: &direct::StatedLimits) {
    for stated in &message.limits {
        upstream_limits::record_stated(app, stated, "gossip");
    }
    for stated in &message.leaving {
        upstream_notices::record_hint(app, stated);
    }
}

/// Handles a message of another entry.
pub async fn handle(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let message: direct::StatedLimits = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(message) => message,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    record(&app, &message);
    server::respond_message(&stated_limits(&app))
}

/// Returns what to tell another entry.
fn stated_limits(app: &app::App) -> direct::StatedLimits {
    let now = app.clock.now();
    let all = app.upstream_limits.all();
    let stated = all
        .iter()
        .filter_map(|(instance, upstream)| upstream.stated(instance, now));
    let mut limits: Vec<_> = stated.filter(is_mentioned).collect();
    limits.shuffle(&mut rand::rng());
    limits.truncate(LIMITS_MAX);
    let mut leaving = app.upstream_notices.stated(now);
    leaving.shuffle(&mut rand::rng());
    leaving.truncate(LEAVING_MAX);
    direct::StatedLimits { limits, leaving }
}

fn is_mentioned(stated: &direct::StatedLimit) -> bool {
    let age = time::Duration::from_millis(stated.age_ms);
    stated.limit.is_some() || age <= WITHDRAWN_MENTION
}
