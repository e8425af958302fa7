//! Classifies the response of an upstream, and reads it if it is the answer.

use std::{sync::atomic, time};

use hyper::{Response, StatusCode, body::Incoming, header};
use pimentohook_core::{
    at_most_once::{Fault, NotRunProof, Refusal},
    event_stream,
};
use pimentohook_platform::request;
use pimentohook_runtime::{body, client, server};

use super::{Outcome, record_sign, respond};
use crate::direct::{
    app, crash_evidence, open_stream, placement, proxy, request_timeout, stream_evidence,
    upstream_limits, upstream_notices, weights_versions,
};

const RESPONSE_MAX_BYTES: usize = 8 << 20;
const EVENT_STREAM: &str = "text/event-stream";

/// Why a response is not believed to answer the request that it came for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Disbelief {
    /// It echoes the id of an earlier request on the connection.
    EarlierRequest,
    /// It echoes the request's id, which the connection had carried before.
    SentBefore,
    /// It echoes another id, or several.
    OtherId,
    /// It echoes no id.
    NoId,
}

impl Disbelief {
    fn of(app: &app::App, request: &proxy::ProxiedRequest, response: &Response<Incoming>) -> Self {
        if request::certainly_belongs(response.headers(), &request.headers) {
            return Self::SentBefore;
        }
        match request::attempt_id(response.headers()) {
            None => Self::NoId,
            Some(id) if app.upstreams.has_carried(response, id) => Self::EarlierRequest,
            Some(_) => Self::OtherId,
        }
    }
}

/// A response whose head has been received.
pub(super) struct UpstreamResponse {
    pub(super) identified: client::IdentifiedResponse,
    pub(super) in_flight: placement::InFlightGuard,
    pub(super) started_at: time::Instant,
    /// Whether the request resumes a stream.
    pub(super) is_resumed: bool,
    /// The last event that an earlier upstream sent, if the request resumes a stream.
    pub(super) last_event_id: Option<u64>,
}

impl UpstreamResponse {
    /// Classifies the response, and reads it if it is the answer.
    ///
    /// # Errors
    ///
    /// Returns the proof that the upstream did not run the request.
    pub(super) async fn receive(
        mut self,
        app: &app::App,
        request: &proxy::ProxiedRequest,
        placement: &placement::Placement,
    ) -> Result<Outcome, NotRunProof> {
        let candidate = &placement.candidate;
        let response = &self.identified.response;
        let (status, headers) = (response.status(), response.headers());
        let class = request::classify_response(status, headers, &request.headers);
        let first_send = self.identified.first_send.take();
        let Some(first_send) = first_send.filter(|_| class != request::ResponseClass::Foreign)
        else {
            return Ok(self.discard(app, request, candidate));
        };
        self.record_statements(app, request, candidate, class);
        match class {
            request::ResponseClass::Answer if self.is_resumed && !self.may_go_on() => {
                Ok(self.leave(app, request, placement))
            }
            request::ResponseClass::Answer => Ok(self.read(app, request, placement).await),
            request::ResponseClass::NotRun => {
                self.log_refusal(request, candidate, Refusal::Marked);
                Err(NotRunProof::refused(Refusal::Marked, first_send))
            }
            request::ResponseClass::OtherInstance => {
                // An upstream that doesn't serve the expected version responds in the same way, so
                // only a request without one shows that another instance has the address.
                if placement.expected_weights().is_none() {
                    let is_replaced = &candidate.state.is_replaced;
                    is_replaced.store(true, atomic::Ordering::Relaxed);
                }
                self.log_refusal(request, candidate, Refusal::OtherInstance);
                Err(NotRunProof::refused(Refusal::OtherInstance, first_send))
            }
            request::ResponseClass::Invalid | request::ResponseClass::Foreign => {
                candidate.state.stats.record_failure(app.now_ms());
                log::info!(
                    "attempt: event=invalid_response request={} instance={} status={}",
                    request.id(),
                    candidate.upstream.instance,
                    status.as_u16()
                );
                Ok(Outcome::Fault(Fault::MayHaveRun))
            }
        }
    }

    /// Records what the response says of its upstream.
    fn record_statements(
        &self,
        app: &app::App,
        request: &proxy::ProxiedRequest,
        candidate: &app::Candidate,
        class: request::ResponseClass,
    ) {
        let response = &self.identified.response;
        let (status, headers) = (response.status(), response.headers());
        record_sign(app, candidate);
        let instance = &candidate.upstream.instance;
        upstream_limits::record_head(app, instance, class, headers, self.started_at);
        let statement = request::upstream_statement(status, headers, class);
        upstream_notices::record_response(app, request.id(), &candidate.upstream, &statement);
        if crash_evidence::shows_life(class) {
            crash_evidence::record_alive(app, candidate, self.started_at);
        }
    }

    /// Discards a response that does not certainly belong to the request, which may be running.
    fn discard(
        self,
        app: &app::App,
        request: &proxy::ProxiedRequest,
        candidate: &app::Candidate,
    ) -> Outcome {
        let response = &self.identified.response;
        // The response to this request may still come, and would meet the next one.
        client::close_connection(response);
        candidate.state.stats.record_failure(app.now_ms());
        let why = Disbelief::of(app, request, response);
        app.count("response_not_believed");
        log::info!(
            "attempt: event=foreign_response request={} instance={} status={} why={why} \
             connection={:?}",
            request.id(),
            candidate.upstream.instance,
            response.status().as_u16(),
            client::connection_number(response)
        );
        Outcome::Fault(Fault::MayHaveRun)
    }

    fn log_refusal(
        &self,
        request: &proxy::ProxiedRequest,
        candidate: &app::Candidate,
        refusal: Refusal,
    ) {
        let response = &self.identified.response;
        log::info!(
            "attempt: event=refused request={} instance={} status={} evidence={} connection={:?}",
            request.id(),
            candidate.upstream.instance,
            response.status().as_u16(),
            refusal.evidence(),
            client::connection_number(response)
        );
    }

    fn is_event_stream(&self) -> bool {
        let content_type = self.identified.response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let media_type = content_type.and_then(|value| value.split(';').next());
        media_type.is_some_and(|value| value.trim().eq_ignore_ascii_case(EVENT_STREAM))
    }

    /// Returns whether the body may follow the events of another upstream.
    fn may_go_on(&self) -> bool {
        self.identified.response.status() == StatusCode::OK && self.is_event_stream()
    }

    /// Leaves a response that can't go on with a stream, whose body is not waited for.
    fn leave(
        self,
        app: &app::App,
        request: &proxy::ProxiedRequest,
        placement: &placement::Placement,
    ) -> Outcome {
        let status = self.identified.response.status();
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
        if self.identified.response.status().is_success() && is_stream {
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
        let (head, body) = self.identified.response.into_parts();
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
        let has_marked_end = body::has_marked_end(&self.identified.response);
        let (head, body) = self.identified.response.into_parts();
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
