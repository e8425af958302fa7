//! Log lines on attempts that ended, and on requests that end without a complete response.

use std::{fmt, sync, time};

use cadence::Timed as _;
use hyper::StatusCode;
use pimentohook_core::{at_most_once, crash_evidence::suspect_id, id};

use super::{app, placement, proxy, retries};

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

/// Logs and counts a response of an upstream.
pub(super) fn log_response(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    record: &at_most_once::RunRecord,
    placement: &placement::Placement,
    status: StatusCode,
) {
    app.count("answered");
    let rates = app.refusal_rates(&request.service);
    rates.of(request.priority).record(app.now_ms(), false);
    if let Err(error) = app.metrics.time("first_byte", request.arrived_at.elapsed()) {
        log::debug!("metrics: event=not_kept name=first_byte error={error:?}");
    }
    log::info!(
        "proxy: event=answered request={} route={} instance={} status={} attempt={} \
         after_ms={} configuration={}{placement}",
        request.id(),
        request.route.name,
        placement.candidate.upstream.instance,
        status.as_u16(),
        record.sent_to().len(),
        request.arrived_at.elapsed().as_millis(),
        request.table.version
    );
}

/// Writes a line on an attempt without a response, with what shows that the request did not run.
pub(super) fn log_failed_attempt(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    placement: &placement::Placement,
    fault: at_most_once::Fault,
) {
    let evidence = match fault {
        at_most_once::Fault::NotRun(evidence) => evidence.to_string(),
        at_most_once::Fault::MayHaveRun => String::from("-"),
    };
    log::warn!(
        "proxy: event=attempt_failed request={} instance={} fault={fault} evidence={evidence} \
         may_repeat={} after_ms={}{placement}",
        request.id(),
        placement.candidate.upstream.instance,
        retries::may_repeat(app, request),
        request.arrived_at.elapsed().as_millis()
    );
}

/// Counts and logs a request that ends because engines crash on a part of its prompt.
pub(super) fn log_held_back(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    record: &at_most_once::RunRecord,
    part: suspect_id::SuspectId,
) {
    app.count("held_back");
    log::info!(
        "proxy: event=held_back request={} route={} part={part} may_have_run={} tried={} \
         after_ms={}",
        request.id(),
        request.route.name,
        record.may_have_run(),
        record.sent_to().len(),
        request.arrived_at.elapsed().as_millis()
    );
}

/// Counts and logs a request that no upstream answered.
pub(super) fn log_failed(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    status: StatusCode,
    sent_to: &[String],
    reason: &str,
) {
    app.count("failed");
    log::warn!(
        "proxy: event=failed request={} route={} status={} may_have_run={} tried={sent_to:?} \
         after_ms={} reason={reason:?}",
        request.id(),
        request.route.name,
        status.as_u16(),
        status != StatusCode::SERVICE_UNAVAILABLE,
        request.arrived_at.elapsed().as_millis()
    );
}

/// Counts and logs a request whose time is over, or that this entry can't wait for any longer.
pub(super) fn log_timeout(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    status: StatusCode,
    sent_to: &[String],
) {
    app.count("timed_out");
    log::warn!(
        "proxy: event=timeout request={} route={} status={} leaving={} tried={sent_to:?} {}",
        request.id(),
        request.route.name,
        status.as_u16(),
        request.is_cut_short(),
        Timing::new(app, request)
    );
}
