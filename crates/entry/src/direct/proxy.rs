//! Handles a caller's request, from its arrival to the final response.

use std::{sync, time};

use bytes::Bytes;
use cadence::Timed as _;
use gotham::helpers::http::Body;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, header};
use pimentohook_core::{
    id,
    prompt_evidence::{VERDICT_LIFETIME, prompt},
    routes,
};
use pimentohook_platform::request;
use pimentohook_runtime::server;
use rand::RngExt as _;

use super::{
    app,
    attempt::{self, Fault, Outcome},
    ending, engine_silence, limited_upstream, permits, placement, prompt_admission,
    prompt_evidence, request_timeout, stream,
};

const BODY_MAX_BYTES: usize = 4 << 20;
/// Subtracted from the deadline, so that a failure reaches the caller in time.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(20);
const RETRY_AFTER_UNAVAILABLE: time::Duration = time::Duration::from_millis(500);
/// Short, because another entry accepts the request immediately.
const RETRY_AFTER_SHUTDOWN: time::Duration = time::Duration::from_millis(20);

/// Callers honour a delay of at most their remaining time divided by this.
const RETRY_AFTER_REMAINING_DIVISOR: u32 = 3;

/// A caller's request with its complete body.
#[derive(Debug)]
pub struct ProxiedRequest {
    /// The values of the caller's headers.
    pub caller: request::CallerHeaders,
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
    /// Whether this is the trial of parts of its prompt.
    pub trial: prompt_admission::Trial,
    /// Whether this is a retry whose caller has already waited longer than the route's goal.
    pub is_late_retry: bool,
    /// When the request arrived.
    pub arrived_at: time::Instant,
    /// The time after which the caller or the route gives up on the request.
    pub timeout: request_timeout::RequestTimeout,
}

impl ProxiedRequest {
    /// Returns the request's id for log lines; `-` if it has none.
    #[must_use]
    pub fn id(&self) -> &str {
        self.caller.request_id.as_deref().unwrap_or("-")
    }

    /// Returns when the caller or the route gives up on the request.
    #[must_use]
    pub fn deadline(&self) -> time::Instant {
        self.arrived_at + self.timeout.get()
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

/// A final response to a request that was not sent to any upstream.
struct Rejection {
    status: StatusCode,
    retry_after: Option<time::Duration>,
    reason: &'static str,
}

const fn rejection(status: StatusCode, reason: &'static str) -> Rejection {
    Rejection {
        status,
        retry_after: None,
        reason,
    }
}

const fn unavailable(reason: &'static str) -> Rejection {
    Rejection {
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after: Some(RETRY_AFTER_UNAVAILABLE),
        reason,
    }
}

/// Handles a caller's request.
pub async fn handle(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let is_shutting_down = app.is_shutting_down();
    let mut response = match read_request(&app, call).await {
        Ok(request) => {
            prompt_evidence::record_invalid(&app, &request);
            serve(&app, request).await
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
            error_response(rejection.status, rejection.retry_after, rejection.reason)
        }
    };
    if is_shutting_down {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn error_response(
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

/// Reads a request, which may be rejected before its body has come.
async fn read_request(
    app: &app::App,
    call: server::Call,
) -> Result<ProxiedRequest, (String, Rejection)> {
    let admitted = match admit(app, &call) {
        Ok(admitted) => admitted,
        Err(rejection) => {
            let table = app.table.load();
            let body_max = table.as_ref().and_then(|table| table.body_max_bytes);
            call.discard_body(body_max.unwrap_or(BODY_MAX_BYTES));
            return Err(rejection);
        }
    };
    let body_max = admitted.table.body_max_bytes.unwrap_or(BODY_MAX_BYTES);
    let body = call.read_body(body_max).await;
    let body = body.map_err(|error| {
        let id = String::from(admitted.id());
        (id, rejection(error.status(), "the body can't be read"))
    })?;
    Ok(ProxiedRequest { body, ..admitted })
}

/// Returns a request, without its body, unless it is rejected for what its head says.
fn admit(app: &app::App, call: &server::Call) -> Result<ProxiedRequest, (String, Rejection)> {
    let arrived_at = app.clock.now();
    let caller = request::CallerHeaders::from_headers(&call.headers);
    let id = caller
        .request_id
        .clone()
        .unwrap_or_else(|| String::from("-"));
    let with_id = |rejection| (id.clone(), rejection);
    let Some(table) = app.table.load_full() else {
        return Err(with_id(unavailable("no configuration is known yet")));
    };
    let host = host(call);
    let route = select(app, &table, &host, call.uri.path()).map_err(with_id)?;
    let organisation = authenticate(app, &table, &route, &caller).map_err(with_id)?;
    let Some(service) = route.target(rand::rng().random()).cloned() else {
        return Err(with_id(unavailable("the route names no service")));
    };
    let timeout = request_timeout::RequestTimeout::new(caller.timeout, route.timeout);
    let deadline = arrived_at + timeout.get();
    let is_late_retry = is_late_retry(app, &route, &caller);
    if !app.accepts(deadline) {
        return Err(with_id(Rejection {
            retry_after: Some(RETRY_AFTER_SHUTDOWN),
            ..unavailable("this entry is leaving")
        }));
    }
    let (method, uri, headers) = (call.method.clone(), call.uri.clone(), call.headers.clone());
    Ok(ProxiedRequest {
        caller,
        method,
        uri,
        host,
        headers,
        body: Bytes::new(),
        route: sync::Arc::new(route),
        service,
        table,
        organisation,
        trial: prompt_admission::Trial::default(),
        is_late_retry,
        arrived_at,
        timeout,
    })
}

/// Returns whether a request is a retry whose caller has already waited longer than the goal.
///
/// A caller sends the time that it still waits, and all callers of a route start with the same
/// time. So the difference to the longest time seen is the time that the caller has already waited.
fn is_late_retry(app: &app::App, route: &routes::Route, caller: &request::CallerHeaders) -> bool {
    let Some(timeout) = caller.timeout else {
        return false;
    };
    let longest_timeout = app.record_caller_timeout(&route.name, timeout);
    longest_timeout.saturating_sub(timeout) > route.goal
}

/// Returns the host of a request, without a port.
fn host(call: &server::Call) -> String {
    let host = call
        .header("host")
        .or_else(|| call.uri.host())
        .unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    host.to_ascii_lowercase()
}

fn select(
    app: &app::App,
    table: &routes::RouteTable,
    host: &str,
    path: &str,
) -> Result<routes::Route, Rejection> {
    let selected = table.select(host, path);
    // A route that is missing in a stale configuration may exist in the one in force.
    selected.cloned().ok_or_else(|| {
        if app.is_stale() {
            unavailable("the configuration may be out of date")
        } else {
            rejection(StatusCode::NOT_FOUND, "no route for this host and path")
        }
    })
}

fn authenticate(
    app: &app::App,
    table: &routes::RouteTable,
    route: &routes::Route,
    caller: &request::CallerHeaders,
) -> Result<Option<routes::Organisation>, Rejection> {
    let organisation = caller.key.as_ref().and_then(|key| table.keys.get(key));
    if organisation.is_some() || route.public || table.keys.is_empty() {
        return Ok(organisation.cloned());
    }
    if app.is_stale() {
        return Err(unavailable("the configuration may be out of date"));
    }
    Err(rejection(
        StatusCode::UNAUTHORIZED,
        "the API key is not known",
    ))
}

/// The attempts at a request so far.
#[derive(Debug, Default)]
struct AttemptHistory {
    /// Instances that the request was sent to.
    tried: Vec<String>,
    /// The number of upstreams that may have run the request.
    run_count: u32,
    /// Whether the request may be running or may have run.
    may_have_run: bool,
    /// The last error response from an upstream.
    upstream_error: Option<Response<Body>>,
}

async fn serve(app: &sync::Arc<app::App>, request: ProxiedRequest) -> Response<Body> {
    let request = sync::Arc::new(request);
    let phase = ending::Phase::Waiting;
    let mut unfinished = ending::UnfinishedGuard::new(app.clone(), request.clone(), phase);
    let deadline = tokio::time::Instant::from_std(request.deadline()) - RESPONSE_MARGIN;
    let mut history = AttemptHistory::default();
    let result = tokio::time::timeout_at(deadline, run_attempts(app, &request, &mut history)).await;
    unfinished.finish();
    result.unwrap_or_else(|_| time_out(app, &request, &history))
}

async fn run_attempts(
    app: &sync::Arc<app::App>,
    request: &sync::Arc<ProxiedRequest>,
    history: &mut AttemptHistory,
) -> Response<Body> {
    let budget = app.retry_budget(&request.service);
    budget.deposit();
    let mut next: Option<placement::Placement> = None;
    loop {
        if let Err(part) = prompt_admission::admit(app, request) {
            if let Some(placement) = next {
                permits::give_back(app, &placement.candidate.upstream.instance);
            }
            return hold_back(app, request, history, part);
        }
        let placement = if let Some(placement) = next.take() {
            placement
        } else {
            let placement = match choose(app, request, &history.tried).await {
                Ok(placement) => placement,
                Err(denial) => return refuse(app, request, history, denial),
            };
            if !history.tried.is_empty() && !budget.try_withdraw() {
                permits::give_back(app, &placement.candidate.upstream.instance);
                return fail(app, request, history, "the retry budget is spent");
            }
            placement
        };
        if let Some(part) = prompt_admission::held_back(app, request) {
            permits::give_back(app, &placement.candidate.upstream.instance);
            return hold_back(app, request, history, part);
        }
        history
            .tried
            .push(placement.candidate.upstream.instance.clone());
        let instance = placement.candidate.upstream.instance.clone();
        let reason = if history.tried.len() > 1 {
            limited_upstream::SendReason::Retry
        } else {
            limited_upstream::SendReason::First
        };
        let (tried, run_count) = (&history.tried, history.run_count);
        let moved = engine_silence::next_placement(app, request, &placement, tried, run_count);
        let outcome = tokio::select! {
            biased;
            outcome = attempt::run(app, request, &placement, reason, None) => outcome,
            moved = moved => {
                // The upstream that is left may still run the request.
                next = Some(moved);
                history.may_have_run = true;
                history.run_count += 1;
                continue;
            }
            part = prompt_admission::until_held_back(app, request) => {
                history.may_have_run = true;
                return hold_back(app, request, history, part);
            }
        };
        match outcome {
            Outcome::Complete(response) => {
                log_response(app, request, history, &placement, response.status());
                return response;
            }
            Outcome::Stream(open) => {
                log_response(app, request, history, &placement, open.head.status);
                return stream::respond(app.clone(), request.clone(), open, history.run_count);
            }
            Outcome::ServerError(response) => {
                log_response(app, request, history, &placement, response.status());
                history.upstream_error = Some(response);
                history.may_have_run = true;
                history.run_count += 1;
            }
            Outcome::Fault(fault) => {
                log::warn!(
                    "proxy: event=attempt_failed request={} instance={instance} fault={fault} \
                     after_ms={}{placement}",
                    request.id(),
                    request.arrived_at.elapsed().as_millis()
                );
                if fault == Fault::MayHaveRun {
                    history.may_have_run = true;
                    history.run_count += 1;
                }
            }
        }
        let may_retry = !history.may_have_run
            || (request.route.may_repeat()
                && history.run_count < request.route.attempts_max
                && prompt_admission::may_resend(app, request));
        if !may_retry {
            return fail(app, request, history, "the upstream failed");
        }
    }
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
        may_probe: tried.is_empty() && request.route.may_repeat() && request.route.attempts_max > 1,
        excluded: tried,
    };
    placement::choose(app, &placement_request).await
}

fn log_response(
    app: &app::App,
    request: &ProxiedRequest,
    history: &AttemptHistory,
    placement: &placement::Placement,
    status: StatusCode,
) {
    app.count("answered");
    app.refusal_rate(&request.service)
        .record(app.now_ms(), false);
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

fn refuse(
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
        placement::Denial::Nobody | placement::Denial::Full => retry_after(app, request),
    };
    app.count("refused");
    log::info!(
        "proxy: event=refused request={} route={} service={} reason={denial} tried={} \
         after_ms={} retry_after_ms={}",
        request.id(),
        request.route.name,
        request.service,
        history.tried.len(),
        request.arrived_at.elapsed().as_millis(),
        retry_after.as_millis()
    );
    let status = StatusCode::SERVICE_UNAVAILABLE;
    error_response(status, Some(retry_after), "every upstream is busy or away")
}

/// Ends a request because engines crash on a part of its prompt.
///
/// The delay tells the caller that coming back does not help.
fn hold_back(
    app: &app::App,
    request: &ProxiedRequest,
    history: &mut AttemptHistory,
    part: prompt::PromptPart,
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
    let refusal_rate = app.refusal_rate(&request.service);
    let now_ms = app.now_ms();
    refusal_rate.record(now_ms, true);
    refusal_rate.retry_after(now_ms, request.remaining(), rand::rng().random())
}

/// Ends a request whose attempts failed: with the last error response of an upstream if there is
/// one, else with status 503 if the request did not run and 502 if it may have run.
fn fail(
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

fn time_out(app: &app::App, request: &ProxiedRequest, history: &AttemptHistory) -> Response<Body> {
    // An attempt that the timeout cancelled may still be running.
    let may_be_running = !history.tried.is_empty();
    let status = if may_be_running {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    app.count("timed_out");
    log::warn!(
        "proxy: event=timeout request={} route={} status={} tried={:?} {}",
        request.id(),
        request.route.name,
        status.as_u16(),
        history.tried,
        ending::Timing::new(app, request)
    );
    error_response(status, None, "the time for this request is over")
}
