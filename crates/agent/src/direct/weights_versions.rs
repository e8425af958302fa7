//! The announced versions of weights, and when they were announced.
//!
//! Agents and entries tell each other, so that an agent that learns of a version late, or starts
//! after it, doesn't take it for a later one.

use std::time;

use pimentohook_core::{announcement, rolling_update};

use super::app;

/// Records the announced versions of this agent's models that it has read.
pub fn record_read(app: &app::App, announced: &[(String, u64)], read: announcement::Read) {
    update(app, |announcements| {
        announcements.record_read(announced.iter().cloned(), read);
    });
    for (model, version) in announced {
        app.set_target(model, *version);
    }
}

/// Records what an entry stated of announced versions.
pub fn merge(app: &app::App, statements: &[announcement::Statement]) {
    let now = app.clock.boot_now();
    update(app, |announcements| {
        announcements.merge(statements, now);
    });
}

/// Returns what this agent states of announced versions.
#[must_use]
pub fn statements(app: &app::App) -> Vec<announcement::Statement> {
    app.announcements.load().statements(app.clock.boot_now())
}

fn update<F>(app: &app::App, mut change: F)
where
    F: FnMut(&mut announcement::Announcements),
{
    let now = app.clock.boot_now();
    app.announcements.rcu(|announcements| {
        let mut announcements = announcement::Announcements::clone(announcements);
        change(&mut announcements);
        announcements.prune(now, app.settings.weights_grace);
        announcements
    });
}

/// Returns the time since the announcement of a version; `None` if nobody knows.
///
/// A version that was not announced is as old as this agent's interest in it.
#[must_use]
pub fn age(app: &app::App, target: &app::TargetVersion) -> Option<time::Duration> {
    let announcements = app.announcements.load();
    let (model, version) = (&target.model, target.version);
    if announcements.is_known(model, version) {
        return announcements.age(model, version, app.clock.boot_now());
    }
    Some(app.clock.now().duration_since(target.learned_at))
}

/// Returns the oldest version of a model that requests may start on; `None` if any will do.
#[must_use]
pub fn version_min(app: &app::App, model: &str) -> Option<u64> {
    let lifetime = rolling_update::previous_version_lifetime(app.settings.weights_grace);
    let announcements = app.announcements.load();
    announcements.version_min(model, app.clock.boot_now(), lifetime)
}
