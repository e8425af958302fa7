//! Dispatches a request to agents with failover.
//!
//! Its log lines have the part `relay`, which operators search for.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_core::{
    admission,
    clock::Clock as _,
    id, membership,
    routing::{failover, planner},
};
use pimentohook_runtime::client;
use pimentohook_wire::messages;

use crate::{agents, app, caller_request::CallerRequest, caller_response, forward, stream};

const RETRIES_MAX: usize = 2;

/// Dispatches a request and returns the response to its caller.
pub async fn serve(
    app: sync::Arc<app::App>,
    request: CallerRequest,
    arrived_at: time::Instant,
) -> Response<Body> {
    let dispatcher = Dispatcher::new(app, request, arrived_at);
    dispatcher.run().await
}

/// Resumes a response for a caller from an offset.
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
        return caller_response::error_response(StatusCode::GONE, error, None, None);
    };
    let deadline = app.clock.now() + app.settings.deadline_max;
    let location = location_of(&member);
    let mut response_stream =
        stream::ResponseStream::new(app, location, request_id.clone(), deadline, None);
    let first = response_stream.next().await;
    match first {
        Ok(first) => forward::respond(response_stream, &request_id, first, offset, None),
        Err(error) => {
            caller_response::error_response(StatusCode::GONE, &error.to_string(), None, None)
        }
    }
}

struct Dispatcher {
    app: sync::Arc<app::App>,
    request: CallerRequest,
    arrived_at: time::Instant,
    members: Vec<sync::Arc<membership::Member>>,
    failover: failover::Failover,
    sent_at: Option<time::Instant>,
    dispatch_count: usize,
    reader: Option<stream::FrameReader>,
    in_flight: Option<forward::InFlightGuard>,
}

impl Dispatcher {
    fn new(app: sync::Arc<app::App>, request: CallerRequest, arrived_at: time::Instant) -> Self {
        let planner::RoutePlan { members, failover } = plan_route(&app, &request);
        Self {
            app,
            request,
            arrived_at,
            members,
            failover,
            sent_at: None,
            dispatch_count: 0,
            reader: None,
            in_flight: None,
        }
    }

    async fn run(mut self) -> Response<Body> {
        loop {
            let event = match self.failover.step() {
                failover::Step::Fail(outcome) => return failure_response(outcome),
                failover::Step::Revoke { position, through } => {
                    self.revoke(position, through).await
                }
                failover::Step::Dispatch { position } => self.dispatch(position).await,
                failover::Step::Relay { position } => match self.open_response(position).await {
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
        if let Some(stats) = self.app.stats(&member.report.vm) {
            self.in_flight = Some(forward::InFlightGuard::start(stats));
        }
        self.sent_at = Some(now);
        let event = self.send(&member, &message).await;
        if !matches!(event, failover::Event::Started) {
            self.record_failure(&member, event);
            self.in_flight = None;
        }
        event
    }

    /// Returns whether another dispatch is allowed; each one after the first is a retry and is
    /// charged to the retry budget.
    fn may_dispatch(&self) -> bool {
        if self.dispatch_count == 0 {
            return true;
        }
        self.dispatch_count <= RETRIES_MAX && self.app.retry_budget.try_withdraw()
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
                log::info!("relay: dispatch to an agent failed: {error}.");
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

    fn record_failure(&self, member: &membership::Member, event: failover::Event) {
        if let failover::Event::Refused(refusal) = event {
            if refusal.reason == admission::RefusalReason::Leaving {
                agents::record_leaving(&self.app, &member.report.vm, member.report.incarnation);
            }
            if !refusal.reason.is_upstream_failure() {
                return;
            }
        }
        if let Some(stats) = self.app.stats(&member.report.vm) {
            stats.record_failure(self.app.now_ms());
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
            Ok(reply) => failover::Event::RevocationReply(reply),
            Err(error) => {
                log::info!("relay: revocation at an agent failed: {error}.");
                failover::Event::RevocationReplyLost
            }
        }
    }

    /// Waits for the first data of the response, so that a response that is interrupted earlier can
    /// be retried at another agent.
    async fn open_response(&mut self, position: usize) -> Result<Response<Body>, failover::Event> {
        let member = self.members[position].clone();
        let mut response_stream = stream::ResponseStream::new(
            self.app.clone(),
            location_of(&member),
            self.request.request_id.clone(),
            self.request.deadline,
            self.reader.take(),
        );
        match response_stream.next().await {
            Ok(first) => {
                let now = self.app.clock.now();
                if let (Some(stats), Some(sent_at)) =
                    (self.app.stats(&member.report.vm), self.sent_at)
                {
                    stats.record_success(now.duration_since(sent_at));
                }
                let counter = forward::OutcomeCounter {
                    service: self.request.service.clone(),
                    latency: now.duration_since(self.arrived_at),
                    in_flight: self.in_flight.take(),
                };
                let request_id = &self.request.request_id;
                Ok(forward::respond(
                    response_stream,
                    request_id,
                    first,
                    0,
                    Some(counter),
                ))
            }
            Err(error) => {
                log::info!(
                    "relay: response to {} was interrupted before its first data: {error}.",
                    self.request.request_id
                );
                if let Some(stats) = self.app.stats(&member.report.vm) {
                    stats.record_failure(self.app.now_ms());
                }
                response_stream.release(false);
                self.in_flight = None;
                Err(failover::Event::ResponseLost)
            }
        }
    }
}

fn failure_response(outcome: failover::FailureOutcome) -> Response<Body> {
    match outcome {
        failover::FailureOutcome::NotRun { retry_after_ms } => {
            caller_response::not_run("no replica can take it now", retry_after_ms)
        }
        failover::FailureOutcome::Unknown => {
            caller_response::outcome_unknown("contact with a replica was lost")
        }
    }
}

fn location_of(member: &membership::Member) -> stream::ResponseLocation {
    stream::ResponseLocation {
        vm: member.report.vm.clone(),
        address: member.report.address,
        incarnation: member.report.incarnation,
    }
}

/// Plans the agents that a request may be dispatched to, in order.
fn plan_route(app: &app::App, request: &CallerRequest) -> planner::RoutePlan {
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
        is_new: request.is_new,
        service: request.service.clone(),
        idempotent: request.idempotent,
    };
    if request.idempotent {
        let stats = app.stats_by_vm.load();
        let stats_of = |vm: &id::VmId| stats.get(vm).cloned();
        planner.plan_idempotent(&query, stats_of, app.now_ms(), &mut rand::rng())
    } else {
        planner.plan_non_idempotent(&query)
    }
}
