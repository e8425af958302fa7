//! Final responses to requests, and the log lines on them.

use std::time;

use cadence::Timed as _;
use gotham::helpers::http::Body;
use hyper::{Response, StatusCode, header};
use pimentohook_core::crash_evidence::{VERDICT_LIFETIME, suspect_id};
use pimentohook_runtime::server;
use rand::RngExt as _;

use super::{app, ending, leaving, placement, proxy::ProxiedRequest};

/// Callers honour a delay of at most their remaining time divided by this.
const RETRY_AFTER_REMAINING_DIVISOR: u32 = 3;

/// Short, because another entry accepts the request immediately.
pub(super) const RETRY_AFTER_SHUTDOWN: time::Duration = time::Duration::from_millis(20);
/// Why an entry that shuts down refuses a request.
pub(super) const LEAVING: &str = "this entry is leaving";

/// The attempts at a request so far.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// Instances that the request was sent to.
    pub(super) tried: Vec<String>,
    /// The number of upstreams that may have run the request.
    pub(super) run_count: u32,
    /// Whether the request may be running or may have run.
    pub(super) may_have_run: bool,
    /// Whether an attempt is under way.
    pub(super) is_under_way: bool,
    /// The last error response from an upstream.
    pub(super) upstream_error: Option<Response<Body>>,
}

/// Builds an error response of the entry itself.
pub(super) fn error_response(
    status: StatusCode,
    retry_after: Option<time::Duration>,
    reason: &str,
) -> Response<Body> {
    let mut response = server::respond_text(status, reason);
    if let Some(retry_after) = retry_after {
        let text = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Logs and counts a response of an upstream.
pub(super) fn log_response(
    app: &app::App,
    request: &ProxiedRequest,
    history: &AttemptHistory,
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
        history.tried.len(),
        request.arrived_at.elapsed().as_millis(),
        request.table.version
    );
}

/// Refuses a request that no upstream can take now.
pub(super) fn refuse(
    app: &app::App,
    request: &ProxiedRequest,
    history: &mut AttemptHistory,
    denial: placement::Denial,
) -> Response<Body> {
    if history.may_have_run {
        return fail(app, request, history, "no other upstream can take it");
    }
    let retry_after = match denial {
        placement::Denial::Limited {
            retry_after: limited,
        } => {
            let longest = request.remaining() / RETRY_AFTER_REMAINING_DIVISOR;
            retry_after(app, request).max(limited.min(longest))
        }
        placement::Denial::BackingOff {
            retry_after: back_off,
        } => retry_after(app, request).max(back_off),
        placement::Denial::Nobody
        | placement::Denial::NoneInRegions
        | placement::Denial::Evacuated
        | placement::Denial::EvacuationsUnknown
        | placement::Denial::Full => retry_after(app, request),
    };
    let reason = match denial {
        placement::Denial::NoneInRegions => {
            "no upstream can take it in the regions in which it may run"
        }
        placement::Denial::Evacuated => "every upstream is in an evacuated failure domain",
        placement::Denial::EvacuationsUnknown => "it is not known yet what is evacuated",
        _ => "every upstream is busy or away",
    };
    app.count("refused");
    app.count(&format!("refused_{denial}"));
    log::info!(
        "proxy: event=refused request={} route={} service={} priority={} reason={denial} regions={} \
         tried={} after_ms={} retry_after_ms={}",
        request.id(),
        request.route.name,
        request.service,
        request.priority_text(),
        request.regions,
        history.tried.len(),
        request.arrived_at.elapsed().as_millis(),
        retry_after.as_millis()
    );
    let status = StatusCode::SERVICE_UNAVAILABLE;
    error_response(status, Some(retry_after), reason)
}

/// Refuses a request that may last longer than this entry.
pub(super) fn leave(
    app: &app::App,
    request: &ProxiedRequest,
    history: &AttemptHistory,
) -> Response<Body> {
    app.count("refused");
    log::info!(
        "proxy: event=refused request={} route={} service={} reason=leaving tried={} after_ms={}",
        request.id(),
        request.route.name,
        request.service,
        history.tried.len(),
        request.arrived_at.elapsed().as_millis()
    );
    let status = StatusCode::SERVICE_UNAVAILABLE;
    error_response(status, Some(leaving::retry_after(app)), LEAVING)
}

/// Ends a request because engines crash on a part of its prompt.
///
/// The delay tells the caller that coming back does not help.
pub(super) fn hold_back(
    app: &app::App,
    request: &ProxiedRequest,
    history: &mut AttemptHistory,
    part: suspect_id::SuspectId,
) -> Response<Body> {
    app.count("held_back");
    log::info!(
        "proxy: event=held_back request={} route={} part={part} may_have_run={} tried={} \
         after_ms={}",
        request.id(),
        request.route.name,
        history.may_have_run,
        history.tried.len(),
        request.arrived_at.elapsed().as_millis()
    );
    let reason = "engines crash on a part of the prompt";
    if history.may_have_run {
        return fail(app, request, history, reason);
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    error_response(status, Some(VERDICT_LIFETIME), reason)
}

/// Counts a refusal and returns the delay after which the caller should retry.
fn retry_after(app: &app::App, request: &ProxiedRequest) -> time::Duration {
    let rates = app.refusal_rates(&request.service);
    let refusal_rate = rates.of(request.priority);
    let now_ms = app.now_ms();
    refusal_rate.record(now_ms, true);
    refusal_rate.retry_after(now_ms, request.remaining(), rand::rng().random())
}

/// Ends a request whose attempts failed: with the last error response of an upstream if there is
/// one, else with status 503 if the request did not run and 502 if it may have run.
pub(super) fn fail(
    app: &app::App,
    request: &ProxiedRequest,
    history: &mut AttemptHistory,
    reason: &str,
) -> Response<Body> {
    if let Some(response) = history.upstream_error.take() {
        return response;
    }
    let status = if history.may_have_run {
        StatusCode::BAD_GATEWAY
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    app.count("failed");
    log::warn!(
        "proxy: event=failed request={} route={} status={} may_have_run={} tried={:?} \
         after_ms={} reason={reason:?}",
        request.id(),
        request.route.name,
        status.as_u16(),
        history.may_have_run,
        history.tried,
        request.arrived_at.elapsed().as_millis()
    );
    let retry_after = (!history.may_have_run).then(|| retry_after(app, request));
    error_response(status, retry_after, reason)
}

/// Ends a request whose time is over, or that this entry can't wait for any longer.
pub(super) fn time_out(
    app: &app::App,
    request: &ProxiedRequest,
    history: &AttemptHistory,
) -> Response<Body> {
    let is_cut_short = request.is_cut_short();
    // An attempt that the timeout cancelled may still be running.
    let may_be_running = history.may_have_run || history.is_under_way;
    if is_cut_short && !may_be_running {
        return leave(app, request, history);
    }
    let status = if may_be_running {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    app.count("timed_out");
    log::warn!(
        "proxy: event=timeout request={} route={} status={} leaving={is_cut_short} tried={:?} {}",
        request.id(),
        request.route.name,
        status.as_u16(),
        history.tried,
        ending::Timing::new(app, request)
    );
    error_response(status, None, "the time for this request is over")
}
