//! Keeps an engine out of service until its last load is vouched for: reads the staged chunks back
//! after it, and has the engine load again what can't be vouched for.

use std::ops;

use pimentohook_core::{load_vouching, reload};
use pimentohook_platform::{origin, runner};

use super::{app, load_order, staging};
use crate::mutex::lock;

/// What is done about a load that is not vouched for.
#[derive(Debug, Default)]
pub struct Doubts {
    reload: Option<reload::Reload>,
    is_withheld: bool,
}

impl Doubts {
    /// Records a report of an engine that is not busy; returns whether what it serves is vouched for.
    pub fn record_report(&mut self, app: &app::App, report: &runner::Report) -> bool {
        let verdict = verdict(app, report);
        let is_vouched = match &mut self.reload {
            None => verdict == load_vouching::Verdict::Vouched,
            Some(reload) => record_reload(reload, report, verdict),
        };
        if is_vouched {
            lock(&app.loads).settle();
            self.reload = None;
            self.is_withheld = false;
        }
        is_vouched
    }

    /// Returns whether what the engine serves is not vouched for.
    #[must_use]
    pub fn is_doubted(&self, app: &app::App, report: &runner::Report) -> bool {
        self.reload.is_some() || verdict(app, report) != load_vouching::Verdict::Vouched
    }

    /// Takes the next step to vouch for what the engine serves, if it is doubted.
    pub async fn resolve(&mut self, app: &app::App, report: &runner::Report) {
        if !self.is_doubted(app, report) {
            return;
        }
        let served = report.weights.first();
        let version = served.map(|(model, version)| (model.clone(), *version));
        let Some(manifest) = version.and_then(|version| app.manifest(&version)) else {
            self.withhold(app, report);
            return;
        };
        let is_read_back_wanted = verdict(app, report) == load_vouching::Verdict::ReadBackWanted;
        if is_read_back_wanted && self.holds_all(report) {
            let is_intact = staging::read_loaded(app, &manifest).await;
            log::warn!(
                "loader: event=load_doubted version={} is_intact={is_intact:?}",
                manifest.version
            );
        } else {
            self.reload(app, &manifest, report).await;
        }
    }

    /// Returns whether the engine holds all layers, as far as is known.
    fn holds_all(&self, report: &runner::Report) -> bool {
        let held = held_layers(report);
        let reload = self.reload.as_ref();
        reload.is_none_or(|reload| held.is_some_and(|held| reload.is_all(held)))
    }

    async fn reload(
        &mut self,
        app: &app::App,
        manifest: &origin::Manifest,
        report: &runner::Report,
    ) {
        let Some(held) = held_layers(report) else {
            self.withhold(app, report);
            return;
        };
        let begin = || {
            app.count("reload_begun");
            log::warn!("loader: event=reload_begun version={}", manifest.version);
            reload::Reload::new(held.end)
        };
        let reload = self.reload.get_or_insert_with(begin);
        let Some(order) = reload.next_order(held) else {
            self.withhold(app, report);
            return;
        };
        reload.record_order();
        if reload.is_all(&order) {
            if !load_order::order_read_back(app, manifest, report, None).await {
                staging::stage(app, manifest).await;
            }
        } else {
            load_order::send(app, manifest, report, Some(&order), || true).await;
        }
    }

    /// Says, once, that the engine gets no requests until it loads other weights.
    fn withhold(&mut self, app: &app::App, report: &runner::Report) {
        if !self.is_withheld {
            self.is_withheld = true;
            app.count("load_withheld");
            log::error!("loader: event=load_withheld weights={:?}", report.weights);
        }
    }
}

fn verdict(app: &app::App, report: &runner::Report) -> load_vouching::Verdict {
    lock(&app.loads).verdict(&report.weights)
}

/// Returns the layers that the engine holds of the model that it serves, if it says so.
fn held_layers(report: &runner::Report) -> Option<&ops::Range<u32>> {
    let (model, _) = report.weights.first()?;
    report.layers.get(model)
}

/// Records what the engine holds; returns whether all of it was loaded again and is vouched for.
fn record_reload(
    reload: &mut reload::Reload,
    report: &runner::Report,
    verdict: load_vouching::Verdict,
) -> bool {
    let Some(held) = held_layers(report) else {
        return false;
    };
    // Whether all layers were loaded well is not known before they are read back.
    let is_known = verdict != load_vouching::Verdict::ReadBackWanted;
    if is_known || !reload.is_all(held) {
        reload.record_held(held, verdict == load_vouching::Verdict::Vouched);
    }
    reload.is_done()
}
