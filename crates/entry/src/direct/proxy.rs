//! Handles a caller's request, from its arrival to the final response.

use std::{net, sync, time};

use bytes::Bytes;
use gotham::helpers::http::Body;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, header};
use pimentohook_core::{
    at_most_once, crash_evidence::prompt, fingerprint, id, organisation_shares, rank, regions,
    routes,
};
use pimentohook_platform::request;
use pimentohook_runtime::server;

use super::{
    app,
    attempt::{self, Outcome},
    crash_evidence, ending, engine_silence,
    final_response::{self, Ending},
    intake, limited_upstream, open_stream, permits, placement, prompt_admission, request_timeout,
    retries, shutdown_state, stream,
};

/// Subtracted from the deadline, so that a failure reaches the caller in time.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(20);
/// Why a request is given up after an attempt.
const FAILED: &str = "the upstream failed";

/// A caller's request with its complete body.
#[derive(Debug)]
pub struct ProxiedRequest {
    /// The values of the caller's headers.
    pub caller: request::CallerHeaders,
    /// The remote address of the caller's connection.
    pub peer: Option<net::SocketAddr>,
    /// The method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// The host that selects the route.
    pub host: String,
    /// The headers as received from the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The selected route.
    pub route: sync::Arc<routes::Route>,
    /// The service that the route selected.
    pub service: id::ServiceName,
    /// The configuration that the route belongs to.
    pub table: sync::Arc<routes::RouteTable>,
    /// The caller's organisation.
    pub organisation: Option<routes::Organisation>,
    /// The regions in which it may run, by the route and the organisation as of its arrival.
    pub regions: regions::AllowedRegions,
    /// How urgent it is; `None` if all requests of its service are equally urgent.
    pub priority: Option<rank::Priority>,
    /// Whether this is the trial of parts of its prompt.
    pub trial: prompt_admission::Trial,
    /// Whether this is a retry whose caller has already waited longer than the route's goal.
    pub is_late_retry: bool,
    /// When the request arrived.
    pub arrived_at: time::Instant,
    /// The time after which the caller or the route gives up on the request.
    pub timeout: request_timeout::RequestTimeout,
    /// The graceful shutdown of this entry.
    pub shutdown: sync::Arc<shutdown_state::ShutdownState>,
}

impl ProxiedRequest {
    /// Returns the request's id for log lines; `-` if it has none.
    #[must_use]
    pub fn id(&self) -> &str {
        self.caller.request_id.as_deref().unwrap_or("-")
    }

    /// Adds the request itself to what may crash upstreams. Parts of prompts mean nothing to plain
    /// services.
    #[must_use]
    pub(super) fn with_suspects(mut self) -> Self {
        let service = self.table.services.get(&self.service);
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        let prompt = std::mem::take(&mut self.caller.prompt);
        let prompt = if is_engine {
            prompt
        } else {
            prompt::Prompt::default()
        };
        self.caller.prompt = prompt.with_request(self.fingerprint());
        self
    }

    /// Returns what tells whether another request is the same.
    fn fingerprint(&self) -> fingerprint::Fingerprint {
        let path = self.uri.path_and_query();
        let identity = fingerprint::Identity {
            method: self.method.as_str(),
            host: &self.host,
            path: path.map_or("/", |path| path.as_str()),
            organisation: self.organisation_name(),
        };
        fingerprint::Fingerprint::of(&identity, &self.body)
    }

    /// Returns the organisation by which engines are shared; `None` if they are not.
    pub(super) fn sharing_organisation(&self, app: &app::App) -> Option<&str> {
        let is_shared = app.settings.share_policy == organisation_shares::Policy::ByOrganisation;
        let organisation = self.organisation.as_ref();
        let name = organisation.map_or("", |organisation| organisation.name.as_str());
        is_shared.then_some(name)
    }

    /// Returns the priority that agents are told. Where engines are shared, all requests have one.
    pub(super) fn shared_priority(&self, app: &app::App) -> Option<rank::Priority> {
        let shared = self.sharing_organisation(app);
        self.priority
            .or_else(|| shared.map(|_| rank::Priority::default()))
    }

    /// Returns the request's priority for log lines; `-` if it has none.
    pub(super) fn priority_text(&self) -> String {
        let priority = self.priority.map(|priority| priority.to_string());
        priority.unwrap_or_else(|| String::from("-"))
    }

    /// Returns the name of the caller's organisation.
    pub(super) fn organisation_name(&self) -> Option<&str> {
        let organisation = self.organisation.as_ref()?;
        Some(organisation.name.as_str())
    }

    /// Returns when the caller or the route gives up on the request.
    #[must_use]
    pub fn own_deadline(&self) -> time::Instant {
        self.arrived_at + self.timeout.get()
    }

    /// Returns when the caller or the route gives up on the request, or this entry ends.
    #[must_use]
    pub fn deadline(&self) -> time::Instant {
        self.shutdown.limit(self.own_deadline())
    }

    /// Waits until the deadline.
    pub async fn until_over(&self) {
        self.shutdown.wait_until(self.own_deadline()).await;
    }

    /// Returns whether only the end of this entry has ended the request.
    #[must_use]
    pub fn is_cut_short(&self) -> bool {
        let now = time::Instant::now();
        self.deadline() <= now && now < self.own_deadline()
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn remaining(&self) -> time::Duration {
        self.deadline()
            .saturating_duration_since(time::Instant::now())
    }

    /// Returns the time left until the route's goal, up to which a response is worth most.
    #[must_use]
    pub fn goal_remaining(&self) -> time::Duration {
        self.route.goal.saturating_sub(self.arrived_at.elapsed())
    }
}

/// Handles a caller's request.
pub async fn handle(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let record = at_most_once::RunRecord::begin();
    let mut response = match intake::read_request(&app, call).await {
        Ok(request) => {
            crash_evidence::record_invalid(&app, &request);
            serve(&app, request, record).await
        }
        Err((id, rejection)) => {
            app.count("rejected");
            log::info!(
                "proxy: event=rejected request={id} status={} reason={} configuration={} \
                 configuration_age_ms={:?}",
                rejection.status.as_u16(),
                rejection.reason,
                app.configuration_version(),
                app.configuration_age().map(|age| age.as_millis())
            );
            final_response::reject(record, &rejection)
        }
    };
    if app.is_shutting_down() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn serve(
    app: &sync::Arc<app::App>,
    request: ProxiedRequest,
    record: at_most_once::RunRecord,
) -> Response<Body> {
    let request = sync::Arc::new(request);
    let phase = ending::Phase::Waiting;
    let mut unfinished = ending::UnfinishedGuard::new(app.clone(), request.clone(), phase);
    let mut attempts = final_response::Attempts {
        record,
        upstream_error: None,
    };
    let result = tokio::select! {
        biased;
        result = run_attempts(app, &request, &mut attempts) => result,
        () = request_timeout::until_over(app, &request, RESPONSE_MARGIN) => Err(Ending::TimedOut),
    };
    unfinished.finish();
    let response = match result {
        Ok(Answer::Complete(response)) => response,
        Ok(Answer::Stream(open)) => {
            return stream::respond(app.clone(), request, open, attempts.record);
        }
        Err(ending) => final_response::end(app, &request, attempts, ending),
    };
    if !request.route.streaming && response.status() != StatusCode::SERVICE_UNAVAILABLE {
        let time = request.arrived_at.elapsed();
        app.leaving.record_time(&request.route.name, time);
    }
    response
}

/// The answer of an upstream.
enum Answer {
    Complete(Response<Body>),
    Stream(Box<open_stream::OpenStream>),
}

async fn run_attempts(
    app: &sync::Arc<app::App>,
    request: &ProxiedRequest,
    attempts: &mut final_response::Attempts,
) -> Result<Answer, Ending> {
    retries::record_request(app, &request.service);
    let record = &mut attempts.record;
    let mut next: Option<placement::Placement> = None;
    loop {
        if let Err(part) = prompt_admission::admit(app, request) {
            if let Some(placement) = next {
                permits::give_back(app, &placement.candidate.upstream.instance);
            }
            return Err(Ending::HeldBack(part));
        }
        let placement = match next.take() {
            Some(placement) => placement,
            None => place(app, request, record.sent_to()).await?,
        };
        let instance = &placement.candidate.upstream.instance;
        let permit = permit(app, request, record, instance)
            .inspect_err(|_| permits::give_back(app, instance))?;
        let reason = send_reason(app, request, &permit, instance);
        let (sent_to, run_count) = (permit.sent_to(), permit.run_count());
        let moved = engine_silence::next_placement(app, request, &placement, sent_to, run_count);
        let outcome = tokio::select! {
            biased;
            outcome = attempt::run(app, request, &placement, permit, reason, None) => outcome,
            moved = moved => {
                next = Some(moved);
                continue;
            }
            part = prompt_admission::until_held_back(app, request) => {
                return Err(Ending::HeldBack(part));
            }
        };
        match outcome {
            Outcome::Complete(response) => {
                ending::log_response(app, request, record, &placement, response.status());
                return Ok(Answer::Complete(response));
            }
            Outcome::Stream(open) => {
                ending::log_response(app, request, record, &placement, open.head.status);
                return Ok(Answer::Stream(open));
            }
            Outcome::ServerError(response) => {
                ending::log_response(app, request, record, &placement, response.status());
                attempts.upstream_error = Some(response);
            }
            Outcome::Fault(fault) => ending::log_failed_attempt(app, request, &placement, fault),
        }
        if !retries::may_send_again(app, request, record).await {
            return Err(Ending::Failed(FAILED));
        }
    }
}

/// Selects an upstream for a request, within the retry budget if it has been sent before.
async fn place(
    app: &sync::Arc<app::App>,
    request: &ProxiedRequest,
    sent_to: &[String],
) -> Result<placement::Placement, Ending> {
    let placement = choose(app, request, sent_to).await;
    let placement = placement.map_err(Ending::Denied)?;
    let is_retry = !sent_to.is_empty();
    if is_retry && !retries::try_withdraw(app, &request.service, retries::Reason::Failed) {
        permits::give_back(app, &placement.candidate.upstream.instance);
        return Err(Ending::Failed("the retry budget is spent"));
    }
    Ok(placement)
}

/// Returns the permit to send a request to an instance, by what holds now.
fn permit<'a>(
    app: &app::App,
    request: &ProxiedRequest,
    record: &'a mut at_most_once::RunRecord,
    instance: &str,
) -> Result<at_most_once::Permit<'a>, Ending> {
    if let Some(part) = prompt_admission::held_back(app, request) {
        return Err(Ending::HeldBack(part));
    }
    if !record.may_have_run() && !may_send(app, request) {
        return Err(Ending::Leaving);
    }
    let permit = record.permit(instance, retries::repeat_rule(app, request));
    permit.map_err(|_| Ending::Failed(FAILED))
}

/// Returns whether a request that was accepted may still be sent to an upstream.
fn may_send(app: &app::App, request: &ProxiedRequest) -> bool {
    let shutdown = app.shutdown.get();
    let deadline = request.own_deadline();
    let now = app.clock.now();
    app.leaving
        .may_send(shutdown, &request.route, deadline, now)
}

/// Returns why a request is sent now; writes a line if it has been sent before.
fn send_reason(
    app: &app::App,
    request: &ProxiedRequest,
    permit: &at_most_once::Permit<'_>,
    instance: &str,
) -> limited_upstream::SendReason {
    let attempt = permit.sent_to().len();
    if attempt <= 1 {
        return limited_upstream::SendReason::First;
    }
    log::info!(
        "proxy: event=sent_again request={} instance={instance} attempt={attempt} may_have_run={} \
         route={} may_repeat={} configuration={}",
        request.id(),
        permit.run_count() > 1,
        request.route.name,
        retries::may_repeat(app, request),
        request.table.version
    );
    limited_upstream::SendReason::Retry
}

/// Selects an upstream that the request has not been sent to.
///
/// # Errors
///
/// Returns a [`placement::Denial`] if no upstream can take the request now.
pub async fn choose(
    app: &sync::Arc<app::App>,
    request: &ProxiedRequest,
    tried: &[String],
) -> Result<placement::Placement, placement::Denial> {
    let service = request.table.services.get(&request.service);
    let goal_remaining = request.goal_remaining();
    let is_late = goal_remaining.is_zero();
    let placement_request = placement::PlacementRequest {
        service: &request.service,
        profile: service.and_then(|service| service.engine.as_ref()),
        model: request.caller.model.as_deref(),
        prompt_tokens: request.caller.prompt_tokens,
        answer_tokens: request.caller.answer_tokens,
        first_token_max: if is_late {
            request.route.goal.min(request.remaining())
        } else {
            goal_remaining
        },
        spare_only: is_late || request.is_late_retry,
        priority: request.shared_priority(app),
        organisation: request.sharing_organisation(app),
        may_probe: tried.is_empty() && retries::repeat_rule(app, request).check(1).is_ok(),
        regions: &retries::allowed_regions(app, request),
        excluded: tried,
    };
    placement::choose(app, &placement_request).await
}
