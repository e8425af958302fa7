//! The versions of weights that requests may run on, and the ones that they did run on.

use std::{fmt, time};

use hyper::http;
use pimentohook_core::rolling_update;
use pimentohook_platform::request;

use super::{app, placement, proxy};

/// The versions of the weights that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllowedVersions {
    /// The oldest allowed version; `None` if every version is allowed.
    pub version_min: Option<u64>,
    /// The newest announced version; `None` if none is known.
    pub newest: Option<app::AnnouncedVersion>,
}

/// Returns the versions of a model that requests may run on now.
#[must_use]
pub fn allowed(app: &app::App, model: &str) -> AllowedVersions {
    let announced = app.announced.load();
    let previous_version_lifetime =
        rolling_update::previous_version_lifetime(app.settings.weights_grace);
    let now = app.clock.now();
    let is_required = |announced: &&app::AnnouncedVersion| {
        now.duration_since(announced.learned_at) >= previous_version_lifetime
    };
    let versions = announced.get(model).map_or(&[][..], Vec::as_slice);
    AllowedVersions {
        version_min: versions
            .iter()
            .filter(is_required)
            .map(|announced| announced.version)
            .max(),
        newest: versions.last().copied(),
    }
}

/// What an entry knew of an engine's weights when it selected the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectedWeights {
    /// The version that the engine serves.
    pub served: Option<u64>,
    /// The versions that were allowed.
    pub allowed: AllowedVersions,
    /// When the engine was selected.
    pub selected_at: time::Instant,
}

impl SelectedWeights {
    /// Returns the version that the engine must check; `None` if any version will do.
    ///
    /// The engine checks it so that a request does not run on a version that is too old if the
    /// engine loads other weights in the meantime.
    #[must_use]
    pub fn expected(&self) -> Option<u64> {
        self.allowed.version_min.and(self.served)
    }
}

impl fmt::Display for SelectedWeights {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let newest = self.allowed.newest;
        let age = newest.map(|newest| self.selected_at.duration_since(newest.learned_at));
        write!(
            f,
            "weights={:?} weights_min={:?} weights_newest={:?} newest_age_ms={:?}",
            self.served,
            self.allowed.version_min,
            newest.map(|newest| newest.version),
            age.map(|age| age.as_millis())
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
    let announced = app.announced.load();
    let now = app.clock.now();
    let grace = app.settings.weights_grace;
    let is_over = |announced: &&app::AnnouncedVersion| {
        announced.version > begun && now.duration_since(announced.learned_at) > grace
    };
    let replaced_by = announced.get(model).into_iter().flatten().find(is_over);
    let Some(replaced_by) = replaced_by else {
        return;
    };
    app.count("older_weights_begun");
    log::warn!(
        "weights: event=older_begun request={} instance={} version={begun} replaced_by={} \
         announced_before_ms={} sent_before_ms={} {selected}",
        request.id(),
        placement.candidate.upstream.instance,
        replaced_by.version,
        now.duration_since(replaced_by.learned_at).as_millis(),
        now.duration_since(selected.selected_at).as_millis(),
    );
}
