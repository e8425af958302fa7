//! Final responses to requests that no upstream answered, and the log lines on refusals.

use std::time;

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_core::{
    at_most_once,
    crash_evidence::{VERDICT_LIFETIME, suspect_id},
    refusal_rate,
};
use rand::RngExt as _;

use super::{
    app, ending, intake,
    own_response::{self, DoubtStatus},
    placement,
    proxy::ProxiedRequest,
};

/// Callers honour a delay of at most their remaining time divided by this.
const RETRY_AFTER_REMAINING_DIVISOR: u32 = 3;

/// Why an entry that shuts down refuses a request.
pub(super) const LEAVING: &str = "this entry is leaving";
/// The status of refusals.
const REFUSED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
const HELD_BACK: &str = "engines crash on a part of the prompt";
const TIME_OVER: &str = "the time for this request is over";

/// The attempts at a request so far.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Where the request was sent and may have run.
    pub(super) record: at_most_once::RunRecord,
    /// The last error response from an upstream.
    pub(super) upstream_error: Option<Response<Body>>,
}

/// Why the attempts at a request end without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) enum Ending {
    /// No upstream can take the request now.
    Denied(placement::Denial),
    /// Engines crash on a part of its prompt.
    HeldBack(suspect_id::SuspectId),
    /// It may last longer than this entry.
    Leaving,
    /// It may not be sent again, for this reason.
    Failed(&'static str),
    /// Its time is over, or this entry can't wait for it any longer.
    TimedOut,
}

/// Returns the final response to a request whose attempts have ended without an answer: with the last
/// error response of an upstream if there is one, else with status 503 if the request did not run and
/// 502 or 504 if it may have run.
pub(super) fn end(
    app: &app::App,
    request: &ProxiedRequest,
    attempts: Attempts,
    ending: Ending,
) -> Response<Body> {
    let record = attempts.record;
    if let Ending::HeldBack(part) = ending {
        ending::log_held_back(app, request, &record, part);
    }
    match (record.settle(), ending) {
        (Ok(promise), ending) => refuse(app, request, &promise, ending),
        (Err(doubt), Ending::TimedOut) => time_out(app, request, &doubt),
        (Err(doubt), ending) => {
            let fail = || fail(app, request, &doubt, ending.reason());
            attempts.upstream_error.unwrap_or_else(fail)
        }
    }
}

impl Ending {
    /// Returns the reason that is given to the caller of a request that may have run.
    const fn reason(self) -> &'static str {
        match self {
            Self::Denied(_) => "no other upstream can take it",
            Self::HeldBack(_) => HELD_BACK,
            Self::Leaving => LEAVING,
            Self::Failed(reason) => reason,
            Self::TimedOut => TIME_OVER,
        }
    }
}

/// Returns the response to a request that was not admitted.
pub(super) fn reject(
    record: at_most_once::RunRecord,
    rejection: &intake::Rejection,
) -> Response<Body> {
    let (status, reason) = (rejection.status, rejection.reason);
    match record.settle() {
        Ok(promise) => own_response::not_run(&promise, status, rejection.retry_after, reason),
        Err(doubt) => own_response::in_doubt(&doubt, DoubtStatus::BadGateway, reason),
    }
}

/// Returns a refusal, which promises that the request has not run.
fn refusal(
    promise: &at_most_once::NotRunPromise,
    retry_after: Option<time::Duration>,
    reason: &str,
) -> Response<Body> {
    own_response::not_run(promise, REFUSED, retry_after, reason)
}

/// Refuses a request that has not run, for what ended its attempts.
fn refuse(
    app: &app::App,
    request: &ProxiedRequest,
    promise: &at_most_once::NotRunPromise,
    ending: Ending,
) -> Response<Body> {
    match ending {
        Ending::Denied(denial) => refuse_denied(app, request, promise, denial),
        Ending::HeldBack(_) => refusal(promise, Some(VERDICT_LIFETIME), HELD_BACK),
        Ending::TimedOut if !request.is_cut_short() => {
            ending::log_timeout(app, request, REFUSED, promise.sent_to());
            refusal(promise, None, TIME_OVER)
        }
        Ending::TimedOut | Ending::Leaving => leave(app, request, promise),
        Ending::Failed(reason) => {
            ending::log_failed(app, request, REFUSED, promise.sent_to(), reason);
            let retry_after = retry_after(app, request);
            refusal(promise, Some(retry_after), reason)
        }
    }
}

/// Refuses a request that no upstream can take now.
fn refuse_denied(
    app: &app::App,
    request: &ProxiedRequest,
    promise: &at_most_once::NotRunPromise,
    denial: placement::Denial,
) -> Response<Body> {
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
        placement::Denial::OverShare => over_share_retry_after(app, request),
    };
    let reason = match denial {
        placement::Denial::NoneInRegions => {
            "no upstream can take it in the regions in which it may run"
        }
        placement::Denial::Evacuated => "every upstream is in an evacuated failure domain",
        placement::Denial::EvacuationsUnknown => "it is not known yet what is evacuated",
        placement::Denial::OverShare => "its organisation has had more than its share",
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
        promise.sent_to().len(),
        request.arrived_at.elapsed().as_millis(),
        retry_after.as_millis()
    );
    refusal(promise, Some(retry_after), reason)
}

/// Refuses a request that may last longer than this entry.
fn leave(
    app: &app::App,
    request: &ProxiedRequest,
    promise: &at_most_once::NotRunPromise,
) -> Response<Body> {
    app.count("refused");
    log::info!(
        "proxy: event=refused request={} route={} service={} reason=leaving tried={} after_ms={}",
        request.id(),
        request.route.name,
        request.service,
        promise.sent_to().len(),
        request.arrived_at.elapsed().as_millis()
    );
    refusal(promise, Some(app.leaving_retry_after()), LEAVING)
}

/// Counts a refusal and returns the delay after which the caller should retry.
fn retry_after(app: &app::App, request: &ProxiedRequest) -> time::Duration {
    let rates = app.refusal_rates(&request.service);
    count_refusal(app, request, rates.of(request.priority))
}

/// Like [`retry_after`], for a refusal beyond a share, which says nothing of other organisations.
fn over_share_retry_after(app: &app::App, request: &ProxiedRequest) -> time::Duration {
    let rates = app.refusal_rates(&request.service);
    count_refusal(app, request, rates.over_share())
}

fn count_refusal(
    app: &app::App,
    request: &ProxiedRequest,
    rate: &refusal_rate::RefusalRate,
) -> time::Duration {
    let now_ms = app.now_ms();
    rate.record(now_ms, true);
    rate.retry_after(now_ms, request.remaining(), rand::rng().random())
}

/// Ends a request that may have run, and for which no upstream gave an error response.
fn fail(
    app: &app::App,
    request: &ProxiedRequest,
    doubt: &at_most_once::Doubt,
    reason: &str,
) -> Response<Body> {
    let status = DoubtStatus::BadGateway;
    ending::log_failed(app, request, status.code(), doubt.sent_to(), reason);
    own_response::in_doubt(doubt, status, reason)
}

/// Ends a request that may have run and whose time is over, or that this entry can't wait for.
fn time_out(
    app: &app::App,
    request: &ProxiedRequest,
    doubt: &at_most_once::Doubt,
) -> Response<Body> {
    let status = DoubtStatus::GatewayTimeout;
    ending::log_timeout(app, request, status.code(), doubt.sent_to());
    own_response::in_doubt(doubt, status, TIME_OVER)
}
