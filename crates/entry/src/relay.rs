//! The walk of a request performed, and its answer passed on.

use std::{sync, time};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, StatusCode, body::Frame};
use pimentohook_core::{
    admission,
    clock::Clock as _,
    id, membership,
    report::commands::Outcome as Counted,
    routing::{failover, planner, score},
};
use pimentohook_runtime::client;
use pimentohook_wire::{messages, public};
use tokio::sync::mpsc;

use crate::{
    agents, app,
    callers::{self, CallerRequest},
    stream,
};

const RETRIES_MAX: usize = 2;
const PIECES_AHEAD: usize = 16;

/// Serves a request.
pub async fn relay(
    app: sync::Arc<app::App>,
    request: CallerRequest,
    begun_at: time::Instant,
) -> Response<Body> {
    let relay = Relay::new(app, request, begun_at);
    relay.run().await
}

/// Serves a caller that wants an answer again.
pub async fn resume(
    app: sync::Arc<app::App>,
    request_id: id::RequestId,
    vm: id::VmId,
    incarnation: id::Incarnation,
    offset: u64,
) -> Response<Body> {
    let member = app.view.load().member(&vm).cloned();
    let member = member.filter(|member| member.report.incarnation == incarnation);
    let Some(member) = member else {
        let error = "the agent that had this answer is gone";
        return callers::error_response(StatusCode::GONE, error, None, None);
    };
    let deadline = app.clock.now() + app.settings.deadline_max;
    let place = place_of(&member);
    let mut answer = stream::AnswerStream::new(app, place, request_id.clone(), deadline, None);
    let first = answer.next().await;
    match first {
        Ok(first) => respond(answer, &request_id, first, offset, None),
        Err(error) => callers::error_response(StatusCode::GONE, &error.to_string(), None, None),
    }
}

/// What a request left open at an agent.
struct Flight {
    record: sync::Arc<score::UpstreamStats>,
}

impl Flight {
    fn begin(record: sync::Arc<score::UpstreamStats>) -> Self {
        record.record_start();
        Self { record }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.record.record_end();
    }
}

struct Relay {
    app: sync::Arc<app::App>,
    request: CallerRequest,
    begun_at: time::Instant,
    members: Vec<sync::Arc<membership::Member>>,
    failover: failover::Failover,
    sent_at: Option<time::Instant>,
    dispatch_count: usize,
    reader: Option<stream::FrameReader>,
    flight: Option<Flight>,
}

impl Relay {
    fn new(app: sync::Arc<app::App>, request: CallerRequest, begun_at: time::Instant) -> Self {
        let planner::RoutePlan { members, failover } = plan(&app, &request);
        Self {
            app,
            request,
            begun_at,
            members,
            failover,
            sent_at: None,
            dispatch_count: 0,
            reader: None,
            flight: None,
        }
    }

    async fn run(mut self) -> Response<Body> {
        loop {
            let event = match self.failover.step() {
                failover::Step::Fail(verdict) => return tell(verdict),
                failover::Step::Revoke { position, through } => {
                    self.revoke(position, through).await
                }
                failover::Step::Dispatch { position } => self.dispatch(position).await,
                failover::Step::Relay { position } => match self.open_answer(position).await {
                    Ok(response) => return response,
                    Err(event) => event,
                },
            };
            self.failover.record(event);
        }
    }

    async fn dispatch(&mut self, position: usize) -> failover::Event {
        let now = self.app.clock.now();
        let remaining = self.request.deadline.saturating_duration_since(now);
        if remaining.is_zero() || !self.may_dispatch() {
            return failover::Event::RetryDenied;
        }
        self.dispatch_count += 1;
        let member = self.members[position].clone();
        let message = self.message_for(&member, remaining);
        if let Some(record) = self.app.record(&member.report.vm) {
            self.flight = Some(Flight::begin(record));
        }
        self.sent_at = Some(now);
        let event = self.send(&member, &message).await;
        if !matches!(event, failover::Event::Started) {
            self.note_failure(&member, event);
            self.flight = None;
        }
        event
    }

    /// The first dispatch is free; every other is a retry and is paid from the budget.
    fn may_dispatch(&self) -> bool {
        if self.dispatch_count == 0 {
            return true;
        }
        self.dispatch_count <= RETRIES_MAX && self.app.retries.try_withdraw()
    }

    fn message_for(
        &self,
        member: &membership::Member,
        remaining: time::Duration,
    ) -> messages::DispatchRequest {
        let dispatch = admission::Dispatch {
            request_id: self.request.request_id.clone(),
            attempt: self.request.attempt,
            incarnation: member.report.incarnation,
            view_stamp: member.report.view_stamp,
            organisation: self.request.organisation.clone(),
            weights: member.report.weights,
            idempotent: self.request.idempotent,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        messages::DispatchRequest {
            dispatch,
            priority: self.request.priority,
            body: self.request.body.clone(),
        }
    }

    async fn send(
        &mut self,
        member: &membership::Member,
        message: &messages::DispatchRequest,
    ) -> failover::Event {
        let address = member.report.address;
        let Ok(request) = client::message_request(address, "/v1/dispatch", message) else {
            return failover::Event::NeverConnected;
        };
        let timeout = self.app.settings.decide_max;
        let response = match self.app.client.send(address, request, timeout).await {
            Ok(response) if response.status() == StatusCode::OK => response,
            Ok(_) => return failover::Event::ConnectionLost,
            Err(client::ClientError::Connect { .. }) => return failover::Event::NeverConnected,
            Err(error) => {
                log::info!("relay: {error}.");
                self.app.client.drop_idle_connections();
                return failover::Event::ConnectionLost;
            }
        };
        let silence_max = self.app.settings.frame_silence_max;
        let mut reader = stream::FrameReader::new(response, silence_max);
        match reader.admission().await {
            Ok(admission::Admission::Refused(refusal)) => failover::Event::Refused(refusal),
            Ok(_) => {
                self.reader = Some(reader);
                failover::Event::Started
            }
            Err(_) => {
                self.app.client.drop_idle_connections();
                failover::Event::ConnectionLost
            }
        }
    }

    fn note_failure(&self, member: &membership::Member, event: failover::Event) {
        if let failover::Event::Refused(refusal) = event {
            if refusal.reason == admission::RefusalReason::Leaving {
                agents::record_leaving(&self.app, &member.report.vm, member.report.incarnation);
            }
            return;
        }
        if let Some(record) = self.app.record(&member.report.vm) {
            record.record_failure(self.app.now_ms());
        }
    }

    async fn revoke(&mut self, position: usize, through: id::AttemptNumber) -> failover::Event {
        let member = self.members[position].clone();
        if member.departed_at.is_some() {
            return failover::Event::RevocationReplyLost;
        }
        let request = messages::RevokeRequest {
            request_id: self.request.request_id.clone(),
            through,
            incarnation: member.report.incarnation,
            view_stamp: member.report.view_stamp,
        };
        let timeout = self.app.settings.decide_max;
        let call = self.app.client.call_on_new_connection(
            member.report.address,
            "/v1/revoke",
            &request,
            timeout,
        );
        match call.await {
            Ok(receipt) => failover::Event::RevocationReply(receipt),
            Err(error) => {
                log::info!("relay: {error}.");
                failover::Event::RevocationReplyLost
            }
        }
    }

    /// Waits for the first piece, so that an answer that breaks off before it can be had
    /// elsewhere.
    async fn open_answer(&mut self, position: usize) -> Result<Response<Body>, failover::Event> {
        let member = self.members[position].clone();
        let mut answer = stream::AnswerStream::new(
            self.app.clone(),
            place_of(&member),
            self.request.request_id.clone(),
            self.request.deadline,
            self.reader.take(),
        );
        match answer.next().await {
            Ok(first) => {
                let now = self.app.clock.now();
                if let (Some(record), Some(sent_at)) =
                    (self.app.record(&member.report.vm), self.sent_at)
                {
                    record.record_success(now.duration_since(sent_at));
                }
                let counted = Counting {
                    service: self.request.service.clone(),
                    latency: now.duration_since(self.begun_at),
                    _flight: self.flight.take(),
                };
                let request_id = &self.request.request_id;
                Ok(respond(answer, request_id, first, 0, Some(counted)))
            }
            Err(error) => {
                log::info!("relay: {} broke off, {error}.", self.request.request_id);
                if let Some(record) = self.app.record(&member.report.vm) {
                    record.record_failure(self.app.now_ms());
                }
                answer.release(false);
                self.flight = None;
                Err(failover::Event::ResponseLost)
            }
        }
    }
}

fn tell(verdict: failover::FailureOutcome) -> Response<Body> {
    match verdict {
        failover::FailureOutcome::NotRun { retry_after_ms } => {
            callers::not_run("no replica can take it now", retry_after_ms)
        }
        failover::FailureOutcome::Unknown => callers::unknown("contact with a replica was lost"),
    }
}

fn place_of(member: &membership::Member) -> stream::Place {
    stream::Place {
        vm: member.report.vm.clone(),
        address: member.report.address,
        incarnation: member.report.incarnation,
    }
}

/// What is counted once an answer has been passed on.
struct Counting {
    service: id::ServiceName,
    latency: time::Duration,
    _flight: Option<Flight>,
}

/// Makes the response that passes an answer on, without its first `skip` bytes.
fn respond(
    answer: stream::AnswerStream,
    request_id: &id::RequestId,
    first: Option<Bytes>,
    skip: u64,
    counting: Option<Counting>,
) -> Response<Body> {
    let place = format!("{}:{}", answer.place.vm, answer.place.incarnation);
    let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
    tokio::spawn(pump(answer, first, skip, sender, counting));
    let pieces = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let piece: Result<Frame<Bytes>, std::io::Error> = receiver.recv().await?;
        Some((piece, receiver))
    });
    let response = Response::builder()
        .header(public::REQUEST_ID_HEADER, request_id.as_str())
        .header(public::RESUME_HEADER, place)
        .body(StreamBody::new(pieces).boxed_unsync());
    response.unwrap_or_else(|_| callers::unknown("the answer's head can't be made"))
}

/// Passes pieces on until the answer ends, breaks off, or its caller is gone.
async fn pump(
    mut answer: stream::AnswerStream,
    first: Option<Bytes>,
    mut skip: u64,
    sender: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
    counting: Option<Counting>,
) {
    let app = answer.app();
    let mut next: Result<Option<Bytes>, stream::StreamError> = Ok(first);
    loop {
        let bytes = match next {
            Ok(Some(bytes)) => bytes,
            Ok(None) => {
                answer.release(true);
                if let Some(counting) = counting {
                    app.count(&counting.service, Counted::Answered(counting.latency));
                }
                return;
            }
            Err(error) => {
                log::warn!("relay: an answer breaks off, {error}.");
                // An error ends the body without its terminator, so no caller takes it for whole.
                let broken = std::io::Error::other(error.to_string());
                let _ = sender.send(Err(broken)).await;
                answer.release(false);
                if let Some(counting) = counting {
                    app.count(&counting.service, Counted::Failed);
                }
                return;
            }
        };
        let skipped = skip.min(bytes.len() as u64);
        skip -= skipped;
        let rest = bytes.slice(usize::try_from(skipped).unwrap_or(0)..);
        if !rest.is_empty() && sender.send(Ok(Frame::data(rest))).await.is_err() {
            answer.release(false);
            return;
        }
        next = tokio::select! {
            next = answer.next() => next,
            () = sender.closed() => {
                answer.release(false);
                return;
            }
        };
    }
}

/// Chooses the agents that a request may go to, in order.
fn plan(app: &app::App, request: &CallerRequest) -> planner::RoutePlan {
    let now = app.clock.now();
    let planner = planner::Planner {
        view: &app.view.load(),
        config: &app.config.load(),
        now,
        uptime: now.duration_since(app.started_at),
        chain_length: app.settings.chain_length,
    };
    let query = planner::RouteQuery {
        request_id: request.request_id.clone(),
        attempt: request.attempt,
        is_new: request.first,
        service: request.service.clone(),
        idempotent: request.idempotent,
    };
    if request.idempotent {
        let records = app.records.load();
        let record_of = |vm: &id::VmId| records.get(vm).cloned();
        planner.plan_idempotent(&query, record_of, app.now_ms(), &mut rand::rng())
    } else {
        planner.plan_non_idempotent(&query)
    }
}
