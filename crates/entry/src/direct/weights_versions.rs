//! The versions of weights that requests may run on, and the ones that they did run on.
//!
//! Entries and agents tell each other when versions were announced, so that one that learns of a
//! version late, or starts after it, ends the use of the previous one with the others.

use std::{fmt, sync, time};

use hyper::http;
use pimentohook_core::{announcement, position, rolling_update};
use pimentohook_platform::request;

use super::{app, placement, proxy};

/// Records the announced versions that this entry has read, which are all at a position of the store.
pub fn record_read<V>(
    app: &app::App,
    announced: &V,
    read: announcement::Read,
    position: position::Position,
) where
    V: IntoIterator<Item = (String, u64)> + Clone,
{
    let newest = app.announced.record_read_at(announced, read, position);
    for (model, version) in newest {
        let known = app.announced.known();
        let moment = known.of_model(&model).last().map(|known| known.moment);
        log::info!(
            "feed: event=weights_named model={model} version={version} read={read:?} moment={moment:?}"
        );
    }
}

/// Records what another entry or an agent reported of announced versions.
pub fn merge(
    app: &app::App,
    from: &str,
    report: &announcement::Report,
    heard: announcement::Heard,
) {
    if app.announced.merge(report, heard) {
        log::info!("feed: event=weights_named from={from} stated={report:?}");
    }
}

/// The versions of the weights that may serve a request.
#[derive(Clone, Debug)]
pub struct AllowedVersions {
    /// The oldest allowed version; `None` if every version is allowed.
    pub version_min: Option<u64>,
    announced: sync::Arc<announcement::Announcements>,
}

/// Returns the versions of a model that requests may run on now.
#[must_use]
pub fn allowed(app: &app::App, model: &str) -> AllowedVersions {
    let announced = app.announced.known();
    let lifetime = rolling_update::previous_version_lifetime(app.settings.weights_grace);
    AllowedVersions {
        version_min: announced.version_min(model, app.clock.boot_now(), lifetime),
        announced,
    }
}

impl AllowedVersions {
    /// Returns whether requests may run on a version; not if none is served.
    #[must_use]
    pub fn allows(&self, version: Option<u64>) -> bool {
        version.is_some() && version >= self.version_min
    }

    /// Returns what is left of the grace period of a version; `None` if no newer one is announced.
    #[must_use]
    pub fn grace_remaining(
        &self,
        app: &app::App,
        model: &str,
        version: Option<u64>,
    ) -> Option<time::Duration> {
        let now = app.clock.boot_now();
        let grace = app.settings.weights_grace;
        self.announced.remaining(model, version?, grace, now)
    }
}

/// What an entry knew of an engine's weights when it selected the engine.
#[derive(Clone, Debug)]
pub struct SelectedWeights {
    /// The version that the engine serves.
    pub served: Option<u64>,
    /// The versions that were allowed.
    pub allowed: AllowedVersions,
    /// The version that the engine must check; `None` if any version will do.
    pub expected: Option<u64>,
    /// Within what time from the selection a request that has not started is withdrawn; `None` if
    /// there is no bound.
    pub withdrawn_after: Option<time::Duration>,
    /// When the engine was selected.
    pub selected_at: time::Instant,
}

impl SelectedWeights {
    /// Describes the selection of an engine that serves a version of a model.
    #[must_use]
    pub fn new(app: &app::App, model: &str, served: Option<u64>, allowed: AllowedVersions) -> Self {
        let lifetime = rolling_update::previous_version_lifetime(app.settings.weights_grace);
        let now = app.clock.boot_now();
        let announced = &allowed.announced;
        let remaining = |served| announced.remaining(model, served, lifetime, now);
        Self {
            served,
            expected: rolling_update::expected_version(announced, model, served, lifetime, now),
            withdrawn_after: served.and_then(remaining),
            allowed,
            selected_at: app.clock.now(),
        }
    }
}

impl fmt::Display for SelectedWeights {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "weights={:?} weights_min={:?} withdrawn_after_ms={:?} weights_expected={:?}",
            self.served,
            self.allowed.version_min,
            self.withdrawn_after.map(|after| after.as_millis()),
            self.expected
        )
    }
}

/// Records the version that a request has begun on.
///
/// A version whose time was over by then is logged, with what was known when the request was sent.
pub fn record_begun(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    placement: &placement::Placement,
    head: &http::response::Parts,
) {
    let Some(begun) = request::weights_version(&head.headers) else {
        return;
    };
    let (Some(selected), Some(model)) = (&placement.weights, &request.caller.model) else {
        return;
    };
    let announced = app.announced.known();
    let now = app.clock.boot_now();
    let remaining = announced.remaining(model, begun, app.settings.weights_grace, now);
    if remaining != Some(time::Duration::ZERO) {
        return;
    }
    app.count("older_weights_begun");
    log::warn!(
        "weights: event=older_begun request={} instance={} version={begun} sent_before_ms={} \
         announced={:?} {selected}",
        request.id(),
        placement.candidate.upstream.instance,
        app.clock
            .now()
            .duration_since(selected.selected_at)
            .as_millis(),
        announced.of_model(model),
    );
}
