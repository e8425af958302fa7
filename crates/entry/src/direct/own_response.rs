//! Responses of the entry itself. Those that say that a request has not run need the promise of it.

use std::time;

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode, header};
use pimentohook_core::at_most_once;
use pimentohook_runtime::server;

/// The statuses of responses that promise nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubtStatus {
    /// The request failed.
    BadGateway,
    /// Its time is over.
    GatewayTimeout,
}

impl DoubtStatus {
    /// Returns the status.
    #[must_use]
    pub const fn code(self) -> StatusCode {
        match self {
            Self::BadGateway => StatusCode::BAD_GATEWAY,
            Self::GatewayTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Returns a response, with any status, to a request that has not run and never will.
#[must_use]
pub fn not_run(
    _promise: &at_most_once::NotRunPromise,
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

/// Returns a response to a request that may have run, which promises nothing.
#[must_use]
pub fn in_doubt(_doubt: &at_most_once::Doubt, status: DoubtStatus, reason: &str) -> Response<Body> {
    server::respond_text(status.code(), reason)
}
