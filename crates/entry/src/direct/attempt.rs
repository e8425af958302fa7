//! One attempt to send a request to an upstream.

mod response;

use std::{net, time};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::Full;
use hyper::{Request, Response, Uri, http};
use pimentohook_core::{
    at_most_once::{self, Fault, NotRunProof, Unsent},
    rank,
};
use pimentohook_platform::request;
use pimentohook_runtime::client;

use super::{
    app, crash_evidence, engine_silence, limited_upstream, open_stream, placement, proxy,
    request_timeout, retries,
};

/// The outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// A complete response.
    Complete(Response<Body>),
    /// An error response from the upstream, forwarded if no other upstream can be tried.
    ServerError(Response<Body>),
    /// An event stream whose first event has been received.
    Stream(Box<open_stream::OpenStream>),
    /// No response.
    Fault(Fault),
}

/// Sends a request to an upstream; `last_event_id` resumes a stream after that event.
///
/// If this is cancelled once the request is being sent, the request may have run.
pub async fn run(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    placement: &placement::Placement,
    permit: at_most_once::Permit<'_>,
    reason: limited_upstream::SendReason,
    last_event_id: Option<u64>,
) -> Outcome {
    let upstream = &placement.candidate.upstream;
    let in_flight = placement::InFlightGuard::new(placement.candidate.state.clone(), app.now_ms());
    let started_at = time::Instant::now();
    let upstream_request = match build(request, placement, last_event_id) {
        Ok(upstream_request) => upstream_request,
        Err(error) => {
            log::error!(
                "attempt: event=build_failed request={} error={error:?}",
                request.id()
            );
            return Outcome::Fault(permit.not_built());
        }
    };
    // The domain may have been evacuated or forbidden while the request waited for its turn.
    let domain = &upstream.failure_domain;
    let is_allowed = app.evacuations.load().allows(domain)
        && app
            .settings
            .regions
            .allows(&retries::allowed_regions(app, request), domain);
    let start_timeout = placement.start_timeout(request_timeout::longest_remaining(request));
    let Some(start_timeout) = start_timeout.filter(|_| is_allowed) else {
        app.count("withdrawn");
        return Outcome::Fault(permit.withdraw());
    };
    if let Some(limited) = app.upstream_limits.get(&upstream.instance) {
        limited.count_send(reason);
    }
    let under_way = permit.send();
    let id = request::attempt_id(&request.headers).unwrap_or_default();
    let result = app
        .upstreams
        .send_identified(upstream.address, upstream_request, id, start_timeout)
        .await;
    let outcome = match result {
        Ok(identified) => {
            let response = response::UpstreamResponse {
                identified,
                in_flight,
                started_at,
                is_resumed: reason == limited_upstream::SendReason::Resume,
                last_event_id,
            };
            response.receive(app, request, placement).await
        }
        Err(error) => send_failed(app, request, placement, &error),
    };
    match outcome {
        Err(proof) => Outcome::Fault(under_way.not_run(proof)),
        Ok(Outcome::Fault(_)) => Outcome::Fault(under_way.in_doubt()),
        Ok(Outcome::Complete(response)) => {
            under_way.answered();
            Outcome::Complete(response)
        }
        // It may be sent again if it may repeat.
        Ok(outcome @ (Outcome::ServerError(_) | Outcome::Stream(_))) => outcome,
    }
}

/// Records that something has come from an upstream.
pub(super) fn record_sign(app: &app::App, candidate: &app::Candidate) {
    let change = candidate.state.contact.record_sign(app.now_ms());
    engine_silence::log_change(app, &candidate.upstream.instance, change);
}

/// Records that there is no response.
///
/// # Errors
///
/// Returns the proof that the request was not run, if the client says that nothing was sent.
fn send_failed(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    placement: &placement::Placement,
    error: &client::ClientError,
) -> Result<Outcome, NotRunProof> {
    if placement.is_withdrawn() {
        app.count("withdrawn");
        return Ok(Outcome::Fault(Fault::MayHaveRun));
    }
    let candidate = &placement.candidate;
    let progress = crash_evidence::Progress::NoResponse;
    crash_evidence::record_failure(app, request, candidate, error, progress);
    log::info!(
        "attempt: event=unanswered request={} instance={} reason={error}",
        request.id(),
        candidate.upstream.instance
    );
    candidate.state.stats.record_failure(app.now_ms());
    if matches!(error, client::ClientError::OddStatus { .. }) {
        app.count("response_not_believed");
    }
    match error {
        client::ClientError::Connect { .. } => Err(NotRunProof::unsent(Unsent::NotConnected)),
        error if error.is_unsent() => Err(NotRunProof::unsent(Unsent::ClosedBeforeWrite)),
        _ => Ok(Outcome::Fault(Fault::MayHaveRun)),
    }
}

fn build(
    request: &proxy::ProxiedRequest,
    placement: &placement::Placement,
    last_event_id: Option<u64>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let upstream = &placement.candidate.upstream;
    let added_headers = request::AddedHeaders {
        instance: &upstream.instance,
        organisation: request.organisation_name(),
        priority: request.priority.map(rank::Priority::get),
        remaining: request.remaining(),
        weights_version: placement.expected_weights(),
        last_event_id,
    };
    let mut upstream_request = Request::builder()
        .method(request.method.clone())
        .uri(target(upstream.address, &request.uri)?)
        .body(Full::new(request.body.clone()))?;
    *upstream_request.headers_mut() = request::forwarded_headers(&request.headers, &added_headers);
    Ok(upstream_request)
}

fn target(address: net::SocketAddr, uri: &Uri) -> Result<Uri, http::Error> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
}

/// Builds the response to the caller from the head of an upstream's response.
#[must_use]
pub fn respond(head: &http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = request::response_headers(&head.headers);
    response
}
