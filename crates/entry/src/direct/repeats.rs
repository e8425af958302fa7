//! Whether a request that may have run may run again.
//!
//! The configuration of the request's arrival does not decide this alone: another one may have come
//! into force since, and one that was replaced shortly before may still have held.

use pimentohook_core::{replaced_routes, routes};

use super::{app, proxy};

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
