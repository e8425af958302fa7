//! Loads weights into the engine: follows its report, and sends load orders once a version is staged.

use std::{sync, sync::atomic, time};

use pimentohook_core::engine;
use pimentohook_platform::runner;
use pimentohook_runtime::process;

use super::{app, engine_report, load_order, load_schedule, reloading, staging};
use crate::mutex::lock;

/// The interval of reports while weights are to be loaded.
const LOADING_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The interval of reports otherwise; requests for slots cause further ones.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The version that an engine is to serve before any version of its model is announced.
const FIRST_VERSION: u64 = 1;

/// Polls the engine's report and loads the newest downloaded version, until the process stops.
pub async fn run(app: sync::Arc<app::App>, stop: process::StopSignal) {
    let mut loader = Loader::default();
    while stop.sleep(report_interval(&app)).await {
        let requested_at = app.clock.now();
        match engine_report::ask(&app, requested_at).await {
            Ok(report) => {
                loader.record_report(&app, requested_at, &report);
                loader.step(&app, &report).await;
            }
            Err(error) => loader.record_engine_failure(&error),
        }
    }
}

fn report_interval(app: &app::App) -> time::Duration {
    let admission = lock(&app.admission);
    let is_known = admission.report_requested_at().is_some();
    let served = admission.weights();
    let is_served =
        |target: &app::TargetVersion| served.get(&target.model).copied() >= Some(target.version);
    let newest = app.newest_version.load();
    if is_known && newest.as_ref().is_some_and(|newest| is_served(newest)) {
        REPORT_INTERVAL
    } else {
        LOADING_REPORT_INTERVAL
    }
}

#[derive(Debug, Default)]
struct Loader {
    /// The version whose chunks have all been staged at the engine.
    staged: Option<app::ModelVersion>,
    /// The version of the last load order.
    ordered: Option<app::ModelVersion>,
    /// Whether the last load is vouched for, and what is done about it.
    doubts: reloading::Doubts,
    is_engine_silent: bool,
    /// The pace that the engine last reported.
    pace: engine::Pace,
}

impl Loader {
    fn record_engine_failure(&mut self, error: &runner::RunnerError) {
        if !self.is_engine_silent {
            log::warn!("loader: event=engine_lost error={error:?}");
        }
        self.is_engine_silent = true;
        // An engine that becomes reachable again may be a new one without staged chunks.
        self.staged = None;
    }

    fn record_report(
        &mut self,
        app: &app::App,
        requested_at: time::Instant,
        report: &runner::Report,
    ) {
        if self.is_engine_silent {
            log::info!("loader: event=engine_regained weights={:?}", report.weights);
        }
        self.is_engine_silent = false;
        if self.pace != report.pace {
            log::info!(
                "loader: event=pace pace={} before={}",
                report.pace,
                self.pace
            );
            self.pace = report.pace;
        }
        let is_usable =
            !report.busy && self.is_loaded(report) && self.doubts.record_report(app, report);
        let mut admission = lock(&app.admission);
        let mut changed =
            admission.record_report(requested_at, engine_report::for_admission(report));
        if admission.is_loading() && is_usable {
            admission.set_loading(false);
            self.ordered = None;
            changed = true;
        }
        drop(admission);
        if changed {
            log::info!("loader: event=engine_serves weights={:?}", report.weights);
            app.engine_state_changed.notify_one();
        }
    }

    /// Returns whether the engine serves the version of the last load order.
    fn is_loaded(&self, report: &runner::Report) -> bool {
        let Some((model, version)) = &self.ordered else {
            return true;
        };
        report.weights.get(model) == Some(version)
    }

    async fn step(&mut self, app: &sync::Arc<app::App>, report: &runner::Report) {
        let Some(service) = app.service.load_full() else {
            return;
        };
        if app.newest_version.load().is_none() {
            assume_version(app, &service, report);
        }
        if report.busy || report.is_leaving {
            return;
        }
        load_schedule::schedule_load(app, report);
        let Some(target) = load_schedule::next_loadable(app, report) else {
            self.doubts.resolve(app, report).await;
            return;
        };
        let serves_no_version =
            !report.weights.contains_key(&target.model) || self.doubts.is_doubted(app, report);
        let version = (target.model.clone(), target.version);
        let Some(manifest) = app.manifest(&version) else {
            return;
        };
        if self.staged.as_ref() != Some(&version) && !staging::stage(app, &manifest).await {
            return;
        }
        self.staged = Some(version.clone());
        if !serves_no_version && !load_schedule::time_to_load(app, &target, report).is_zero() {
            return;
        }
        lock(&app.admission).set_loading(true);
        app.engine_state_changed.notify_one();
        self.ordered = Some(version);
        self.doubts = reloading::Doubts::default();
        if !load_order::order_read_back(app, &manifest, report, None).await {
            self.staged = None;
        }
    }
}

/// Records, until a version is announced, the version that the engine serves, or the first version
/// if it serves none and the store announces none.
fn assume_version(app: &app::App, service: &app::Service, report: &runner::Report) {
    let served = report.weights.first();
    match (served, service.figures.models.first()) {
        (Some((model, version)), _) => app.set_target(model, *version),
        (None, Some(model)) if app.announcements_read.load(atomic::Ordering::Relaxed) => {
            app.set_target(model, FIRST_VERSION);
        }
        (None, _) => {}
    }
}
