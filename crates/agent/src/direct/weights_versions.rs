//! The announced versions of weights, and when they were announced.
//!
//! Agents and entries tell each other, so that an agent that learns of a version late, or starts
//! after it, doesn't take it for a later one.

use std::time;

use pimentohook_core::{announcement, latest_start, rolling_update};

use super::app;
use crate::mutex::lock;

/// Records the announced versions of this agent's models that it has read.
pub fn record_read(app: &app::App, announced: &[(String, u64)], read: announcement::Read) {
    app.announcements
        .record_read(&announced.iter().cloned(), read);
    for (model, version) in announced {
        app.set_target(model, *version);
    }
}

/// Returns the time since the announcement of a version, or since this agent learned of it if nobody
/// is known to have observed the announcement.
#[must_use]
pub fn age(app: &app::App, target: &app::TargetVersion) -> time::Duration {
    let announcements = app.announcements.known();
    let now = app.clock.boot_now();
    let age = announcements.age(&target.model, target.version, now);
    age.unwrap_or_else(|| app.clock.now().duration_since(target.learned_at))
}

/// Returns the oldest version of a model that requests may start on; `None` if any will do.
///
/// Entries decide by all that is known. The agent only refuses what is certainly too old, which an
/// entry may have missed.
#[must_use]
pub fn version_min(app: &app::App, model: &str) -> Option<u64> {
    let lifetime = rolling_update::previous_version_lifetime(app.settings.weights_grace);
    let announcements = app.announcements.known();
    announcements.observed_version_min(model, app.clock.boot_now(), lifetime)
}

/// Returns the longest estimated time to the start of a request on the version that the engine serves;
/// `None` if there is no bound.
///
/// As for [`version_min`], only what is certain counts.
#[must_use]
pub fn estimate_max(app: &app::App, model: &str) -> Option<time::Duration> {
    let served = lock(&app.admission).weights().get(model).copied()?;
    let grace = app.settings.weights_grace;
    let now = app.clock.boot_now();
    let announcements = app.announcements.known();
    let remaining = announcements.observed_remaining(model, served, grace, now)?;
    Some(latest_start::estimate_max(remaining))
}
