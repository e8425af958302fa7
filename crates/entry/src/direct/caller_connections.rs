//! How long callers' connections are kept.

use std::time;

use pimentohook_core::idle_limit;

use super::app;

/// Returns how long a caller's connection may be idle before it is closed.
///
/// The configuration decides what callers go by; the settings hold before there is one.
#[must_use]
pub fn idle_timeout(app: &app::App) -> time::Duration {
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
