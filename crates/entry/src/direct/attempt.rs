//! One attempt to send a request to an upstream.

use std::{net, sync::atomic, time};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, Uri, body::Incoming, header, http};
use pimentohook_core::{
    at_most_once::{self, Fault, NotRunEvidence},
    event_stream, rank,
};
use pimentohook_platform::request;
use pimentohook_runtime::{body, client, server};

use super::{
    app, crash_evidence, engine_silence, limited_upstream, open_stream, placement, proxy,
    request_timeout, retries, stream_evidence, upstream_limits, upstream_notices, weights_versions,
};

const RESPONSE_MAX_BYTES: usize = 8 << 20;
const EVENT_STREAM: &str = "text/event-stream";

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
    let result = app
        .upstreams
        .send(upstream.address, upstream_request, start_timeout)
        .await;
    let outcome = match result {
        Ok(response) => {
            let response = UpstreamResponse {
                response,
                in_flight,
                started_at,
                is_resumed: reason == limited_upstream::SendReason::Resume,
                last_event_id,
            };
            response.receive(app, request, placement).await
        }
        Err(error) => Outcome::Fault(send_failed(app, request, placement, &error)),
    };
    match outcome {
        Outcome::Fault(Fault::NotRun(evidence)) => Outcome::Fault(under_way.not_run(evidence)),
        Outcome::Fault(Fault::MayHaveRun) => Outcome::Fault(under_way.in_doubt()),
        Outcome::Complete(response) => {
            under_way.answered();
            Outcome::Complete(response)
        }
        // It may be sent again if it may repeat.
        Outcome::ServerError(_) | Outcome::Stream(_) => outcome,
    }
}

/// Discards a response that does not certainly belong to the request, which may be running.
fn discard(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    candidate: &app::Candidate,
    response: &Response<Incoming>,
) -> Outcome {
    // The response to this request may still come, and would meet the next one.
    client::close_connection(response);
    candidate.state.stats.record_failure(app.now_ms());
    log::info!(
        "attempt: event=foreign_response request={} instance={} status={}",
        request.id(),
        candidate.upstream.instance,
        response.status()
    );
    Outcome::Fault(Fault::MayHaveRun)
}

/// Records that something has come from an upstream.
pub(super) fn record_sign(app: &app::App, candidate: &app::Candidate) {
    let change = candidate.state.contact.record_sign(app.now_ms());
    engine_silence::log_change(app, &candidate.upstream.instance, change);
}

/// Records that there is no response; returns what that says of the request.
fn send_failed(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    placement: &placement::Placement,
    error: &client::ClientError,
) -> Fault {
    if placement.is_withdrawn() {
        app.count("withdrawn");
        return Fault::MayHaveRun;
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
    match error {
        client::ClientError::Connect { .. } => Fault::NotRun(NotRunEvidence::NotConnected),
        error if error.is_unsent() => Fault::NotRun(NotRunEvidence::ClosedBeforeWrite),
        _ => Fault::MayHaveRun,
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

/// A response whose head has been received.
struct UpstreamResponse {
    response: Response<Incoming>,
    in_flight: placement::InFlightGuard,
    started_at: time::Instant,
    /// Whether the request resumes a stream.
    is_resumed: bool,
    /// The last event that an earlier upstream sent, if the request resumes a stream.
    last_event_id: Option<u64>,
}

impl UpstreamResponse {
    /// Classifies the response, and reads it if it is the answer.
    async fn receive(
        self,
        app: &app::App,
        request: &proxy::ProxiedRequest,
        placement: &placement::Placement,
    ) -> Outcome {
        let (candidate, response) = (&placement.candidate, &self.response);
        let (status, headers) = (response.status(), response.headers());
        let class = request::classify_response(status, headers, &request.headers);
        if class == request::ResponseClass::Foreign {
            return discard(app, request, candidate, response);
        }
        record_sign(app, candidate);
        let instance = &candidate.upstream.instance;
        upstream_limits::record_head(app, instance, class, headers, self.started_at);
        let statement = request::upstream_statement(status, headers, class);
        upstream_notices::record_response(app, request.id(), &candidate.upstream, &statement);
        if crash_evidence::shows_life(class) {
            crash_evidence::record_alive(app, candidate, self.started_at);
        }
        match class {
            request::ResponseClass::Answer if self.is_resumed && !self.may_go_on() => {
                self.leave(app, request, placement)
            }
            request::ResponseClass::Answer => self.read(app, request, placement).await,
            request::ResponseClass::NotRun => Outcome::Fault(Fault::NotRun(NotRunEvidence::Marked)),
            request::ResponseClass::OtherInstance => {
                // An upstream that doesn't serve the expected version responds in the same way, so
                // only a request without one shows that another instance has the address.
                if placement.expected_weights().is_none() {
                    let is_replaced = &candidate.state.is_replaced;
                    is_replaced.store(true, atomic::Ordering::Relaxed);
                }
                Outcome::Fault(Fault::NotRun(NotRunEvidence::OtherInstance))
            }
            request::ResponseClass::Invalid | request::ResponseClass::Foreign => {
                candidate.state.stats.record_failure(app.now_ms());
                log::info!(
                    "attempt: event=invalid_response request={} instance={instance} status={}",
                    request.id(),
                    status.as_u16()
                );
                Outcome::Fault(Fault::MayHaveRun)
            }
        }
    }

    fn is_event_stream(&self) -> bool {
        let content_type = self.response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let media_type = content_type.and_then(|value| value.split(';').next());
        media_type.is_some_and(|value| value.trim().eq_ignore_ascii_case(EVENT_STREAM))
    }

    /// Returns whether the body may follow the events of another upstream.
    fn may_go_on(&self) -> bool {
        self.response.status() == StatusCode::OK && self.is_event_stream()
    }

    /// Leaves a response that can't go on with a stream, whose body is not waited for.
    fn leave(
        self,
        app: &app::App,
        request: &proxy::ProxiedRequest,
        placement: &placement::Placement,
    ) -> Outcome {
        let status = self.response.status();
        log::warn!(
            "attempt: event=not_a_stream request={} instance={} status={}",
            request.id(),
            placement.candidate.upstream.instance,
            status.as_u16()
        );
        if !status.is_client_error() {
            placement.candidate.state.stats.record_failure(app.now_ms());
        }
        Outcome::Fault(Fault::MayHaveRun)
    }

    async fn read(
        self,
        app: &app::App,
        request: &proxy::ProxiedRequest,
        placement: &placement::Placement,
    ) -> Outcome {
        let is_stream = self.is_event_stream() || request.route.streaming;
        if self.response.status().is_success() && is_stream {
            return self.read_stream(app, request, placement).await;
        }
        self.read_complete(app, request, placement).await
    }

    async fn read_complete(
        self,
        app: &app::App,
        request: &proxy::ProxiedRequest,
        placement: &placement::Placement,
    ) -> Outcome {
        let state = &placement.candidate.state;
        let address = placement.candidate.upstream.address;
        let (head, body) = self.response.into_parts();
        let response = Response::new(body);
        let budget = &app.holdings.responses;
        let read = body::read_body_within(address, response, RESPONSE_MAX_BYTES, budget);
        let read = tokio::time::timeout(request_timeout::longest_remaining(request), read).await;
        if let Ok(Err(error)) = &read {
            let progress = crash_evidence::Progress::Begun;
            let candidate = &placement.candidate;
            crash_evidence::record_failure(app, request, candidate, error, progress);
        }
        let Ok(Ok(body)) = read else {
            state.stats.record_failure(app.now_ms());
            log::info!(
                "attempt: event=response_broken request={} instance={} status={}",
                request.id(),
                placement.candidate.upstream.instance,
                head.status.as_u16()
            );
            return Outcome::Fault(Fault::MayHaveRun);
        };
        drop(self.in_flight);
        if head.status.is_server_error() {
            state.stats.record_failure(app.now_ms());
            return Outcome::ServerError(respond(&head, server::full(body)));
        }
        state.stats.record_success(self.started_at.elapsed());
        if head.status.is_success() {
            let candidate = &placement.candidate;
            crash_evidence::record_served(app, request, candidate, self.started_at);
        }
        Outcome::Complete(respond(&head, server::full(body)))
    }

    async fn read_stream(
        self,
        app: &app::App,
        request: &proxy::ProxiedRequest,
        placement: &placement::Placement,
    ) -> Outcome {
        let has_marked_end = body::has_marked_end(&self.response);
        let (head, body) = self.response.into_parts();
        let mut open = open_stream::OpenStream {
            head,
            body,
            has_marked_end,
            events: event_stream::EventReader::new(self.last_event_id),
            body_state: open_stream::BodyState::Open,
            candidate: placement.candidate.clone(),
            in_flight: self.in_flight,
            evidence: stream_evidence::StreamEvidence::new(self.started_at),
        };
        let start_timeout = placement.start_timeout(request_timeout::longest_remaining(request));
        let start_timeout = start_timeout.unwrap_or_default();
        let first = tokio::time::timeout(start_timeout, open.fill(app)).await;
        if first.is_err() && placement.is_withdrawn() {
            app.count("withdrawn");
            return Outcome::Fault(Fault::MayHaveRun);
        }
        let has_begun = matches!(first, Ok(true));
        if first.is_ok() && !has_begun {
            let progress = crash_evidence::Progress::Begun;
            stream_evidence::record_cut(app, request, &open, progress);
        }
        if !has_begun {
            open.candidate.state.stats.record_failure(app.now_ms());
            return Outcome::Fault(Fault::MayHaveRun);
        }
        let stats = &open.candidate.state.stats;
        stats.record_success(self.started_at.elapsed());
        weights_versions::record_begun(app, request, placement, &open.head);
        Outcome::Stream(Box::new(open))
    }
}

/// Builds the response to the caller from the head of an upstream's response.
#[must_use]
pub fn respond(head: &http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = request::response_headers(&head.headers);
    response
}
