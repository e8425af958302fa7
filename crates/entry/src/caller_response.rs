//! Responses to callers whose requests were not answered.

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode, header};
use pimentohook_runtime::server;
use pimentohook_wire::public;

/// Builds the response to a request that did not run.
#[must_use]
pub fn not_run(reason: &str, retry_after_ms: u64) -> Response<Body> {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        &format!("not run: {reason}; come back after the time in Retry-After"),
        Some(public::Outcome::NotRun),
        Some(retry_after_ms),
    )
}

/// Builds the response to a request that may or may not have run.
#[must_use]
pub fn outcome_unknown(reason: &str) -> Response<Body> {
    error_response(
        StatusCode::BAD_GATEWAY,
        &format!("outcome unknown: {reason}; it may have run"),
        Some(public::Outcome::Unknown),
        None,
    )
}

/// Builds an error response.
#[must_use]
pub fn error_response(
    status: StatusCode,
    error: &str,
    outcome: Option<public::Outcome>,
    retry_after_ms: Option<u64>,
) -> Response<Body> {
    let body = public::ErrorBody {
        error: String::from(error),
        outcome,
        retry_after_ms,
    };
    let mut response = server::respond_json(status, &body);
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    response
}
