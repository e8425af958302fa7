//! Sends load orders to the engine while what was read back of the staged chunks holds.

use std::ops;

use pimentohook_platform::{origin, runner};

use super::{app, engine_report, staging};
use crate::mutex::lock;

/// How often staged chunks are read back for an order before the engine's report is read again.
const READ_BACK_ATTEMPTS: usize = 3;

/// Verifies the staged chunks and orders the engine to load them, or those of some layers, while what
/// was verified holds; returns false if they could not be verified.
///
/// The report is read again before the order, so that one that lies unread is known not to have been
/// accepted while chunks were written.
pub async fn order_read_back(
    app: &app::App,
    manifest: &origin::Manifest,
    report: &runner::Report,
    layers: Option<&ops::Range<u32>>,
) -> bool {
    for _ in 0..READ_BACK_ATTEMPTS {
        let Some(read_back) = staging::verify_staged(app, manifest).await else {
            return false;
        };
        if !is_unchanged(app, report).await {
            return true;
        }
        let may_order = || read_back.may_order(app.clock.boot_now());
        let ordered = send(app, manifest, report, layers, may_order).await;
        if ordered != Some(runner::OrderOutcome::Withheld) {
            return true;
        }
        app.count("check_aged");
        log::warn!(
            "loader: event=check_aged version={} age_ms={}",
            manifest.version,
            read_back.age(app.clock.boot_now()).as_millis()
        );
    }
    true
}

/// Returns whether the engine has accepted no order since a report.
async fn is_unchanged(app: &app::App, report: &runner::Report) -> bool {
    match engine_report::ask(app, app.clock.now()).await {
        Ok(newer) => !newer.busy && newer.order_count == report.order_count,
        Err(error) => {
            log::warn!("loader: event=not_ordered error={error:?}");
            false
        }
    }
}

/// Orders the engine to load the staged chunks, or to hold some layers only, if `may_order` allows it
/// once a connection is open; returns the outcome, if there was one.
pub async fn send<F>(
    app: &app::App,
    manifest: &origin::Manifest,
    report: &runner::Report,
    layers: Option<&ops::Range<u32>>,
    may_order: F,
) -> Option<runner::OrderOutcome>
where
    F: FnOnce() -> bool + Send,
{
    let (model, version) = (&manifest.model, manifest.version);
    let order_count = report.order_count;
    let sent_at = app.clock.boot_now();
    let load = app
        .runner
        .load(model, version, layers.cloned(), order_count, may_order);
    let ordered = load.await;
    if matches!(ordered, Ok(runner::OrderOutcome::Withheld)) {
        return Some(runner::OrderOutcome::Withheld);
    }
    app.count("ordered");
    match ordered {
        Ok(outcome) => {
            if outcome == runner::OrderOutcome::Begun {
                let answered_at = app.clock.boot_now();
                lock(&app.loads).record_accepted(order_count, sent_at, answered_at);
            }
            log::info!(
                "loader: event=ordered model={model} version={version} outcome={outcome} \
                 since_named_ms={} active={} layers={layers:?}",
                since_learned_ms(app, manifest),
                report.active_count
            );
            Some(outcome)
        }
        Err(error) => {
            log::warn!("loader: event=order_failed version={version} error={error:?}");
            None
        }
    }
}

/// Returns how long ago this agent learned of a version, in milliseconds; zero if that is unknown.
fn since_learned_ms(app: &app::App, manifest: &origin::Manifest) -> u128 {
    let announced = app.announced.load();
    let is_of = |target: &&app::TargetVersion| {
        target.model == manifest.model && target.version == manifest.version
    };
    let target = announced.iter().find(is_of);
    let now = app.clock.now();
    target.map_or(0, |target| {
        now.saturating_duration_since(target.learned_at).as_millis()
    })
}
