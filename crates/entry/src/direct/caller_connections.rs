//! How long callers' connections are kept, and which heads they may send.

use std::time;

use pimentohook_core::idle_limit;
use pimentohook_runtime::server;

use super::app;

/// Returns the limits of a caller's connection.
#[must_use]
pub fn limits(app: &app::App) -> server::ConnectionLimits {
    let table = app.table.load();
    let head = table.as_ref().map(|table| table.head_limits);
    server::ConnectionLimits {
        idle_timeout: idle_timeout(app),
        head: head.unwrap_or_default(),
    }
}

/// Returns how long a caller's connection may be idle before it is closed.
///
/// The configuration decides what callers go by; the settings hold before there is one.
#[must_use]
fn idle_timeout(app: &app::App) -> time::Duration {
    app.idle_limit.load().get(app.clock.now())
}

/// Records the idle limit of a configuration that comes into force.
pub fn set_idle_timeout(app: &app::App, limit: time::Duration) {
    let now = app.clock.now();
    app.idle_limit.rcu(|idle_limit| {
        let mut idle_limit = idle_limit::IdleLimit::clone(idle_limit);
        idle_limit.change(now, limit);
        idle_limit
    });
}
