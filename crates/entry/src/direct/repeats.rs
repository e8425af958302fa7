//! Whether a request that may have run may run again.
//!
//! The configuration of the request's arrival does not decide this alone: another one may have come
//! into force since, and one that was replaced shortly before may still have held.

use std::sync;

use pimentohook_core::{at_most_once, replaced_routes, routes};

use super::{app, prompt_admission, proxy};

/// Returns whether a request that may have run may be sent to another upstream, by each configuration
/// that may hold for it.
pub fn may_repeat(app: &app::App, request: &proxy::ProxiedRequest) -> bool {
    let (host, path) = (request.host.as_str(), request.uri.path());
    let table = app.table.load();
    let now = table.as_ref().and_then(|table| table.select(host, path));
    let grace = app.settings.configuration_grace;
    let since = request.arrived_at.checked_sub(grace);
    let may_repeat_since = |since| {
        let replaced = app.replaced_routes.load();
        replaced.may_repeat_since(since, host, path)
    };
    request.route.may_repeat()
        && now.is_none_or(routes::Route::may_repeat)
        && since.is_none_or(may_repeat_since)
}

/// Returns the rule on repeats of a request as of now.
pub fn rule(app: &app::App, request: &proxy::ProxiedRequest) -> at_most_once::RepeatRule {
    let policy = if may_repeat(app, request) {
        routes::RepeatPolicy::Idempotent
    } else {
        routes::RepeatPolicy::AtMostOnce
    };
    at_most_once::RepeatRule {
        policy,
        attempts_max: request.route.attempts_max,
    }
}

/// Returns whether another upstream is looked for after an attempt without an answer.
pub async fn may_send_again(
    app: &sync::Arc<app::App>,
    request: &proxy::ProxiedRequest,
    record: &at_most_once::RunRecord,
) -> bool {
    !record.may_have_run()
        || (record.check(rule(app, request)).is_ok()
            && prompt_admission::may_resend(app, request).await)
}

/// Records the routes that a configuration replaces which comes into force.
pub fn record_replaced(app: &app::App, after: &routes::RouteTable) {
    let Some(before) = app.table.load_full() else {
        return;
    };
    let now = app.clock.now();
    app.replaced_routes.rcu(|replaced| {
        let mut replaced = replaced_routes::ReplacedRoutes::clone(replaced);
        replaced.record(now, &before, after);
        replaced
    });
}
