//! Which version the engine is to load next, and when.

use std::time;

use pimentohook_core::rolling_update;
use pimentohook_platform::runner;

use super::{app, swarm, weights_versions};
use crate::mutex::lock;

/// Returns the newest version that is complete, if the engine serves an earlier one or none.
///
/// A version that was superseded during its download is loaded too if it is complete first:
/// requests may start on the version before it for only a short time more.
#[must_use]
pub fn next_loadable(app: &app::App, report: &runner::Report) -> Option<app::TargetVersion> {
    let announced = app.announced.load();
    let newest = announced
        .iter()
        .rev()
        .find(|target| swarm::is_complete(app, target))?;
    let served = report.weights.get(&newest.model).copied();
    (served < Some(newest.version)).then(|| newest.clone())
}

/// Sets when the next version is to be loaded, so that the engine is free of requests by then.
pub fn schedule_load(app: &app::App, report: &runner::Report) {
    let now = app.clock.now();
    // Without an estimate of when the chunks are complete the engine keeps serving, even if its
    // load slot has started.
    let next_load_at = next_expected(app, report).and_then(|target| {
        let age = weights_versions::age(app, &target);
        let completes_in = whole_after(app, &target)?.saturating_sub(age);
        Some(now + completes_in.max(time_to_load(app, &target, report)))
    });
    lock(&app.admission).set_next_load_at(next_load_at);
}

/// Returns the version that the engine is expected to load next: the newest that is complete, or
/// else the one that is being downloaded.
fn next_expected(app: &app::App, report: &runner::Report) -> Option<app::TargetVersion> {
    if let Some(complete) = next_loadable(app, report) {
        return Some(complete);
    }
    let announced = app.announced.load();
    let is_expected = |target: &&app::TargetVersion| {
        let is_newer = report.weights.get(&target.model).copied() < Some(target.version);
        is_newer && swarm::is_target(app, target)
    };
    announced.iter().find(is_expected).cloned()
}

/// Returns how long after its announcement a version was complete, or is expected to be; `None` if
/// that can't be estimated.
fn whole_after(app: &app::App, target: &app::TargetVersion) -> Option<time::Duration> {
    let manifest = app.manifest(&(target.model.clone(), target.version))?;
    let held = app.transfers.held_chunks(manifest.digest())?;
    let now = app.clock.now();
    let age = weights_versions::age(app, target);
    let last_chunk_at = app.transfers.last_chunk_at(manifest.digest());
    let idle = last_chunk_at.map_or(age, |at| now.duration_since(at));
    if held.is_full() {
        return Some(age.saturating_sub(idle));
    }
    rolling_update::estimated_completion(age, idle, held.len(), held.range())
}

/// Returns the time until this engine's load slot starts; zero if it has started.
#[must_use]
pub fn time_to_load(
    app: &app::App,
    target: &app::TargetVersion,
    report: &runner::Report,
) -> time::Duration {
    let delay = load_delay(app, target, report);
    delay.saturating_sub(weights_versions::age(app, target))
}

/// Returns how long after the announcement of a version this engine's load slot starts.
fn load_delay(
    app: &app::App,
    target: &app::TargetVersion,
    report: &runner::Report,
) -> time::Duration {
    let count = u32::try_from(app.peers.load().len() + 1).unwrap_or(u32::MAX);
    let rank = u32::try_from(app.rank(target)).unwrap_or(u32::MAX);
    let whole_after = whole_after(app, target).unwrap_or_default();
    let usable_for = usable_for(app, target, report);
    rolling_update::load_delay(whole_after, usable_for, rank, count)
}

/// Returns how long after the announcement of a version requests may start on the version that the
/// engine serves, which an earlier announcement may have replaced.
fn usable_for(
    app: &app::App,
    target: &app::TargetVersion,
    report: &runner::Report,
) -> time::Duration {
    let lifetime = rolling_update::previous_version_lifetime(app.settings.weights_grace);
    let served = report.weights.get(&target.model).copied();
    let announced = app.announced.load();
    let replaced_by = announced
        .iter()
        .find(|other| other.model == target.model && Some(other.version) > served);
    let replaced_for = replaced_by.map(|successor| weights_versions::age(app, successor));
    let age = weights_versions::age(app, target);
    let since_replaced = replaced_for.unwrap_or(age).saturating_sub(age);
    lifetime.saturating_sub(since_replaced)
}
