//! Serves followers: other entries and agents.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_core::clock;
use pimentohook_platform::store;
use pimentohook_runtime::server;
use pimentohook_wire::direct;

use super::{history, timing};
use crate::direct::{app, cache};

/// The longest wait that a follower may request.
const FOLLOW_WAIT_MAX: time::Duration = time::Duration::from_secs(5);
const REQUEST_MAX_BYTES: usize = 1 << 12;
/// How long a reply to a follower is delayed while this entry lists a restored store.
const LIST_WAIT: time::Duration = time::Duration::from_millis(300);

/// Returns whether the followers of a kind may wait for its changes here: this entry has been told by the
/// store lately, or is being told.
fn can_help(app: &app::App, kind: store::Kind) -> bool {
    let Some(hedge) = timing::follow_timing(app, kind).hedge else {
        return true;
    };
    let age = app.cached(kind).age(app.clock.boot_now());
    let is_young = age.is_some_and(|age| age <= hedge.after);
    is_young || app.store.transfer_since(kind).is_some()
}

/// Returns the age that a state confirmed at `confirmed_at` had at `received_at`, in whole milliseconds
/// that are not less.
fn age_at(received_at: clock::BootInstant, confirmed_at: clock::BootInstant) -> u64 {
    let age = received_at.saturating_duration_since(confirmed_at);
    u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

/// Handles a request for changes from a follower: another entry or an agent.
pub async fn handle_follow(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: direct::FollowRequest = match call.read_message(REQUEST_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let received_at = app.clock.boot_now();
    let mut followed = cache::followed(&app.settings);
    let kind = followed.find(|kind| kind.to_string() == request.kind);
    let Some(kind) = kind else {
        return server::respond_text(StatusCode::NOT_FOUND, "no such kind is followed");
    };
    let wait = time::Duration::from_millis(u64::from(request.wait_ms)).min(FOLLOW_WAIT_MAX);
    app.store.record_era(request.era);
    let cache = app.cached(kind);
    let wait = if can_help(&app, kind) {
        wait
    } else {
        time::Duration::ZERO
    };
    let mut delta = cache.wait_since(request.position, wait).await;
    if delta.position.era < app.store.era() {
        // The list of the new era is under way, and the follower would not accept an earlier one.
        cache.wait_for_era(app.store.era(), LIST_WAIT).await;
        delta = cache.collection().since(request.position);
    }
    let age_ms = cache
        .confirmed_at()
        .map(|confirmed_at| age_at(received_at, confirmed_at));
    let history = history::statement(&app, kind, request.position, &delta);
    server::respond_message(&direct::FollowReply {
        delta,
        age_ms,
        history,
    })
}
