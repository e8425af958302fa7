//! Holds back what an engine gets that has just started or recovered: by what a cold one bears, and by
//! the pace that its reports show.

use std::{borrow, time};

use pimentohook_core::{cold, engine, engine_admission};
use pimentohook_platform::runner;
use pimentohook_wire::direct;

use super::{app, settings};
use crate::mutex::lock;

/// Admits a request by `admit`, which gets the profile of the engine with the slots that it may use now.
///
/// # Errors
///
/// Returns a [`engine_admission::DenialReason`] if the request is not admitted.
pub fn admit<F>(
    app: &app::App,
    service: &app::Service,
    request: &direct::SlotRequest,
    now: time::Instant,
    admit: F,
) -> Result<time::Duration, engine_admission::DenialReason>
where
    F: FnOnce(&engine::EngineProfile) -> Result<time::Duration, engine_admission::DenialReason>,
{
    let stated = time::Duration::from_millis(u64::from(request.cold_remaining_ms));
    let mut cold = lock(&app.cold);
    cold.record_stated(now, stated);
    cold.admit(now, service.cold.as_ref(), || {
        let mut pace = lock(&app.pace);
        let first_token = admit(&at_allowed(&service.figures, pace.allowed(now)))?;
        pace.record_admitted(now, first_token);
        Ok(first_token)
    })
}

/// Returns the profile with no more slots than are allowed.
fn at_allowed(
    profile: &engine::EngineProfile,
    allowed: Option<u32>,
) -> borrow::Cow<'_, engine::EngineProfile> {
    match allowed.filter(|allowed| *allowed < profile.slot_count) {
        None => borrow::Cow::Borrowed(profile),
        Some(slot_count) => borrow::Cow::Owned(engine::EngineProfile {
            slot_count,
            ..profile.clone()
        }),
    }
}

/// Records a report of the engine that was requested at `requested_at`.
pub fn record_report(app: &app::App, report: &runner::Report, requested_at: time::Instant) {
    let now = app.clock.now();
    let signs = cold::StartSigns {
        started_unix_ms: report.started_unix_ms,
        order_count: report.order_count,
        has_weights: !report.weights.is_empty(),
    };
    if lock(&app.cold).record_report(now, signs) {
        log::info!(
            "starting: event=engine_started started_unix_ms={:?} orders={} has_weights={}",
            signs.started_unix_ms,
            signs.order_count,
            signs.has_weights
        );
        begin_pace(app, now);
    }
    let Some(service) = app.service.load_full() else {
        return;
    };
    let slot_count = service.figures.slot_count;
    let mut pace = lock(&app.pace);
    let before = pace.allowed(now);
    let is_done = pace.record_report(requested_at, report.queued_count, slot_count);
    let after = pace.allowed(now);
    drop(pace);
    if before != after {
        log::info!(
            "starting: event=pace allowed={after:?} before={before:?} is_done={is_done} queued={} \
             active={}",
            report.queued_count,
            report.active_count
        );
    }
}

/// Begins with little, because the engine has started or answers again.
pub fn begin_pace(app: &app::App, now: time::Instant) {
    if app.settings.pace == settings::Pace::ByAnswers {
        app.count("pace_begun");
        lock(&app.pace).begin(now);
    }
}
