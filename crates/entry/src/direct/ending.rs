//! Log lines on requests that end without a complete response.

use std::{fmt, sync, time};

use pimentohook_core::id;

use super::{app, proxy};

/// What a request was waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// For its response, or the first event of a stream.
    Waiting,
    /// For the end of its stream.
    Stream,
}

/// Writes a line if a request is dropped before its response is complete, which is the case if the
/// caller's connection ends.
#[derive(Debug)]
pub struct UnfinishedGuard {
    app: sync::Arc<app::App>,
    request: sync::Arc<proxy::ProxiedRequest>,
    phase: Phase,
    is_finished: bool,
}

impl UnfinishedGuard {
    /// Creates the guard of a request.
    #[must_use]
    pub const fn new(
        app: sync::Arc<app::App>,
        request: sync::Arc<proxy::ProxiedRequest>,
        phase: Phase,
    ) -> Self {
        Self {
            app,
            request,
            phase,
            is_finished: false,
        }
    }

    /// Records that the request has its response, or that its end has been logged.
    pub const fn finish(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for UnfinishedGuard {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.app.count("unfinished");
        log::info!(
            "proxy: event=unfinished request={} peer={:?} route={} phase={} {}",
            self.request.id(),
            self.request.peer,
            self.request.route.name,
            self.phase,
            Timing::new(&self.app, &self.request)
        );
    }
}

/// How long a request has taken, how long it may take, and which configurations were known at its
/// arrival and now; formatted as the end of a log line.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    after: time::Duration,
    timeout: time::Duration,
    configuration: id::ConfigVersion,
    configuration_now: u64,
}

impl Timing {
    /// Returns the figures of a request as of now.
    #[must_use]
    pub fn new(app: &app::App, request: &proxy::ProxiedRequest) -> Self {
        Self {
            after: request.arrived_at.elapsed(),
            timeout: request.timeout.get(),
            configuration: request.table.version,
            configuration_now: app.configuration_version(),
        }
    }
}

impl fmt::Display for Timing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "after_ms={} timeout_ms={} configuration={} configuration_now={}",
            self.after.as_millis(),
            self.timeout.as_millis(),
            self.configuration,
            self.configuration_now
        )
    }
}
