//! Asks the engine for its report, and records what it says and whether it answers.

use std::{sync, sync::atomic, time};

use pimentohook_core::{clock, engine_admission};
use pimentohook_platform::runner;

use super::{app, starting};
use crate::mutex::lock;

/// A request for a slot that is decided by a report older than this causes another one.
const DECIDING_REPORT_AGE_MAX: time::Duration = time::Duration::from_millis(100);
/// A request for a slot is not refused by a report that is older than this.
const REFUSING_REPORT_AGE_MAX: time::Duration = time::Duration::from_millis(50);

/// Asks the engine for its report, and records whether it answers.
///
/// # Errors
///
/// Returns [`runner::RunnerError`] if the engine did not answer, or is not asked.
pub async fn ask(
    app: &app::App,
    requested_at: time::Instant,
) -> Result<runner::Report, runner::RunnerError> {
    lock(&app.admission).answers.record_question(requested_at);
    let boot_requested_at = app.clock.boot_now();
    let result = app.runner.report().await;
    let now = app.clock.now();
    match &result {
        Ok(report) => {
            lock(&app.admission)
                .answers
                .record_answer(requested_at, now);
            record_heard(app, now);
            record_order_count(app, boot_requested_at, report);
            record_leaving(app, report);
            starting::record_report(app, report, requested_at);
        }
        Err(runner::RunnerError::BackingOff { .. }) => {
            lock(&app.admission).answers.withdraw_question();
        }
        Err(_) => {}
    }
    end_first_report(app);
    result
}

/// Lets downloads begin: whether the engine leaves is known, or the engine does not say it.
fn end_first_report(app: &app::App) {
    if !app
        .is_first_report_over
        .swap(true, atomic::Ordering::Release)
    {
        app.swarm_changed.notify_one();
    }
}

/// Records the number of accepted orders; an engine that has accepted one gets no requests until the
/// load is vouched for.
fn record_order_count(app: &app::App, requested_at: clock::BootInstant, report: &runner::Report) {
    let answered_at = app.clock.boot_now();
    let mut loads = lock(&app.loads);
    if loads.record_report(requested_at, answered_at, report.order_count) {
        lock(&app.admission).set_loading(true);
        app.engine_state_changed.notify_one();
    }
}

/// Records that the engine does not answer.
pub fn record_silent(app: &app::App) {
    let now = app.clock.now();
    let mut silent_since = lock(&app.engine_silent_since);
    if silent_since.is_none() {
        *silent_since = Some(now);
        app.count("engine_silent");
        log::warn!("loader: event=engine_silent");
    }
}

fn record_heard(app: &app::App, now: time::Instant) {
    if let Some(since) = lock(&app.engine_silent_since).take() {
        let silent_ms = now.saturating_duration_since(since).as_millis();
        app.count("engine_heard");
        log::info!("loader: event=engine_heard silent_ms={silent_ms}");
        starting::begin_pace(app, now);
    }
}

/// Begins to read the engine's report if the last one decides about a request and is not recent, so
/// that an engine that stands still is noticed before more requests are sent there.
pub fn begin_refresh(app: &sync::Arc<app::App>) {
    if is_report_recent(app, DECIDING_REPORT_AGE_MAX) {
        return;
    }
    let app = app.clone();
    tokio::spawn(async move {
        // Whoever holds the lock asks already.
        if let Ok(_reading) = app.report_refresh.try_lock() {
            let _ = read_report(&app).await;
        }
    });
}

/// Reads the engine's report unless the last one is recent, so that a slot that has become free
/// since is used; returns false if the engine did not answer in time.
pub async fn refresh_report(app: &app::App) -> bool {
    let _reading = app.report_refresh.lock().await;
    is_report_recent(app, REFUSING_REPORT_AGE_MAX) || read_report(app).await
}

fn is_report_recent(app: &app::App, age_max: time::Duration) -> bool {
    let now = app.clock.now();
    let last = lock(&app.admission).report_requested_at();
    last.is_some_and(|at| now.duration_since(at) < age_max)
}

/// Reads the engine's report; returns false if the engine did not answer in time.
async fn read_report(app: &app::App) -> bool {
    let requested_at = app.clock.now();
    match ask(app, requested_at).await {
        Ok(report) => {
            let changed = lock(&app.admission).record_report(requested_at, for_admission(&report));
            if changed {
                app.engine_state_changed.notify_one();
            }
            true
        }
        Err(error) => {
            log::debug!("loader: event=no_report error={error:?}");
            !error.is_timeout()
        }
    }
}

/// Returns what admission control takes from a report.
#[must_use]
pub fn for_admission(report: &runner::Report) -> engine_admission::EngineReport {
    engine_admission::EngineReport {
        weights: report.weights.clone(),
        active_count: report.active_count,
        queued_count: report.queued_count,
        pace: report.pace,
    }
}

/// Records whether the engine says that it is leaving; while it does, it is admitted no requests and
/// gets no weights.
fn record_leaving(app: &app::App, report: &runner::Report) {
    let is_leaving = report.is_leaving;
    let ordering = atomic::Ordering::Relaxed;
    if app.is_engine_leaving.swap(is_leaving, ordering) != is_leaving {
        log::info!("loader: event=engine_leaving is_leaving={is_leaving}");
    }
    lock(&app.admission).set_leaving(is_leaving);
}
