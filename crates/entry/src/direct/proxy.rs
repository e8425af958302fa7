//! A caller's request from its arrival to its final answer.

use std::{sync, time};

use bytes::Bytes;
use cadence::Timed as _;
use gotham::helpers::http::Body;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, header};
use pimentohook_core::{id, routes};
use pimentohook_platform::request;
use pimentohook_runtime::server;
use rand::RngExt as _;

use super::{
    app,
    attempt::{self, Fault, Outcome},
    placement, stream,
};

const BODY_MAX_BYTES: usize = 4 << 20;
/// Time kept back so that a failure reaches the caller before its deadline.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(20);
const RETRY_AFTER_NOBODY: time::Duration = time::Duration::from_millis(500);
/// Another entry takes it at once.
const RETRY_AFTER_LEAVING: time::Duration = time::Duration::from_millis(20);

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub struct Job {
    /// What its headers say.
    pub caller: request::CallerHeaders,
    /// The method.
    pub method: Method,
    /// The target.
    pub uri: Uri,
    /// The headers as the caller sent them.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: sync::Arc<routes::Route>,
    /// The service that the route led to.
    pub service: id::ServiceName,
    /// The configuration that the route is of.
    pub table: sync::Arc<routes::RouteTable>,
    /// The caller's organisation.
    pub organisation: Option<routes::Organisation>,
    /// Whether its caller has spent more time already than the goal allows.
    pub is_return: bool,
    /// When it arrived.
    pub arrived_at: time::Instant,
    /// When its caller or its route gives it up.
    pub deadline: time::Instant,
}

impl Job {
    /// Returns the request's id for logs.
    #[must_use]
    pub fn id(&self) -> &str {
        self.caller.request_id.as_deref().unwrap_or("-")
    }

    /// Returns what is left of the time.
    #[must_use]
    pub fn remaining(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// Returns what is left of the time in which an answer is worth most.
    #[must_use]
    pub fn goal_remaining(&self) -> time::Duration {
        self.route.goal.saturating_sub(self.arrived_at.elapsed())
    }
}

/// A request that gets its final answer without having been sent anywhere.
struct Rejected {
    status: StatusCode,
    retry_after: Option<time::Duration>,
    reason: &'static str,
}

const fn rejected(status: StatusCode, reason: &'static str) -> Rejected {
    Rejected {
        status,
        retry_after: None,
        reason,
    }
}

const fn unavailable(reason: &'static str) -> Rejected {
    Rejected {
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after: Some(RETRY_AFTER_NOBODY),
        reason,
    }
}

/// Handles a caller's request.
pub async fn handle(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let is_leaving = app.is_leaving();
    let mut response = match read(&app, call).await {
        Ok(job) => serve(&app, job).await,
        Err((id, rejected)) => {
            app.count("rejected");
            log::info!(
                "proxy: event=rejected request={id} status={} reason={} configuration={} \
                 configuration_age_ms={:?}",
                rejected.status.as_u16(),
                rejected.reason,
                app.configuration(),
                app.configuration_age().map(|age| age.as_millis())
            );
            refusal(rejected.status, rejected.retry_after, rejected.reason)
        }
    };
    if is_leaving {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn refusal(
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

async fn read(app: &app::App, call: server::Call) -> Result<Job, (String, Rejected)> {
    let arrived_at = app.clock.now();
    let caller = request::CallerHeaders::from_headers(&call.headers);
    let id = caller
        .request_id
        .clone()
        .unwrap_or_else(|| String::from("-"));
    let failed = |rejected| (id.clone(), rejected);
    let Some(table) = app.table.load_full() else {
        return Err(failed(unavailable("no configuration is known yet")));
    };
    let route = select(app, &table, &call).map_err(failed)?;
    let organisation = authenticate(app, &table, &route, &caller).map_err(failed)?;
    let Some(service) = route.target(rand::rng().random()).cloned() else {
        return Err(failed(unavailable("the route names no service")));
    };
    let wait = caller.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived_at + wait;
    let is_return = is_return(app, &route, &caller);
    if !app.takes(deadline) {
        return Err(failed(Rejected {
            retry_after: Some(RETRY_AFTER_LEAVING),
            ..unavailable("this entry is leaving")
        }));
    }
    let (method, uri, headers) = (call.method.clone(), call.uri.clone(), call.headers.clone());
    let body_max = table.body_max_bytes.unwrap_or(BODY_MAX_BYTES);
    let body = match call.read_body(body_max).await {
        Ok(body) => body,
        Err(error) => return Err(failed(rejected(error.status(), "the body can't be read"))),
    };
    Ok(Job {
        caller,
        method,
        uri,
        headers,
        body,
        route: sync::Arc::new(route),
        service,
        table,
        organisation,
        is_return,
        arrived_at,
        deadline,
    })
}

/// Returns whether a caller has come back after its goal.
///
/// A caller says how long it still waits, and callers of one route wait for the same time at first.
fn is_return(app: &app::App, route: &routes::Route, caller: &request::CallerHeaders) -> bool {
    let Some(wait) = caller.timeout else {
        return false;
    };
    let longest = app.longest_wait(&route.name, wait);
    longest.saturating_sub(wait) > route.goal
}

fn select(
    app: &app::App,
    table: &routes::RouteTable,
    call: &server::Call,
) -> Result<routes::Route, Rejected> {
    let host = call
        .header("host")
        .or_else(|| call.uri.host())
        .unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let found = table.select(&host.to_ascii_lowercase(), call.uri.path());
    // What is missing in an old configuration may be in the one in force.
    found.cloned().ok_or_else(|| {
        if app.is_stale() {
            unavailable("the configuration may be out of date")
        } else {
            rejected(StatusCode::NOT_FOUND, "no route for this host and path")
        }
    })
}

fn authenticate(
    app: &app::App,
    table: &routes::RouteTable,
    route: &routes::Route,
    caller: &request::CallerHeaders,
) -> Result<Option<routes::Organisation>, Rejected> {
    let found = caller.key.as_ref().and_then(|key| table.keys.get(key));
    if found.is_some() || route.public || table.keys.is_empty() {
        return Ok(found.cloned());
    }
    if app.is_stale() {
        return Err(unavailable("the configuration may be out of date"));
    }
    Err(rejected(
        StatusCode::UNAUTHORIZED,
        "the API key is not known",
    ))
}

/// What became of a request so far.
#[derive(Debug, Default)]
struct Tally {
    /// Instances that got it.
    tried: Vec<String>,
    /// Upstreams that may have run it.
    ran_count: u32,
    /// Whether it may be running or have run.
    may_have_run: bool,
    /// The last failure of an upstream's own.
    failure: Option<Response<Body>>,
}

async fn serve(app: &sync::Arc<app::App>, job: Job) -> Response<Body> {
    let job = sync::Arc::new(job);
    let deadline = tokio::time::Instant::from_std(job.deadline) - ANSWER_MARGIN;
    let mut tally = Tally::default();
    let result = tokio::time::timeout_at(deadline, run(app, &job, &mut tally)).await;
    result.unwrap_or_else(|_| finish_late(app, &job, &tally))
}

async fn run(app: &sync::Arc<app::App>, job: &sync::Arc<Job>, tally: &mut Tally) -> Response<Body> {
    let budget = app.budget(&job.service);
    budget.deposit();
    loop {
        let place = match choose(app, job, &tally.tried).await {
            Ok(place) => place,
            Err(denied) => return deny(app, job, tally, denied),
        };
        if !tally.tried.is_empty() && !budget.try_withdraw() {
            return fail(app, job, tally, "the retry budget is spent");
        }
        tally.tried.push(place.candidate.upstream.instance.clone());
        let instance = place.candidate.upstream.instance.clone();
        match attempt::run(app, job, &place, None).await {
            Outcome::Whole(response) => {
                log_answer(app, job, tally, &instance, response.status());
                return response;
            }
            Outcome::Stream(open) => {
                log_answer(app, job, tally, &instance, open.head.status);
                return stream::respond(app.clone(), job.clone(), open, tally.ran_count);
            }
            Outcome::Failure(response) => {
                log_answer(app, job, tally, &instance, response.status());
                tally.failure = Some(response);
                tally.may_have_run = true;
                tally.ran_count += 1;
            }
            Outcome::Fault(fault) => {
                log::warn!(
                    "proxy: event=attempt_failed request={} instance={instance} fault={fault} \
                     after_ms={}",
                    job.id(),
                    job.arrived_at.elapsed().as_millis()
                );
                if fault == Fault::MayHaveRun {
                    tally.may_have_run = true;
                    tally.ran_count += 1;
                }
            }
        }
        let may_go_on = !tally.may_have_run
            || (job.route.may_repeat() && tally.ran_count < job.route.attempts_max);
        if !may_go_on {
            return fail(app, job, tally, "the upstream failed");
        }
    }
}

async fn choose(
    app: &app::App,
    job: &Job,
    tried: &[String],
) -> Result<placement::Place, placement::Denied> {
    let service = job.table.services.get(&job.service);
    let need = placement::Need {
        service: &job.service,
        figures: service.and_then(|service| service.engine.as_ref()),
        model: job.caller.model.as_deref(),
        prompt_tokens: job.caller.prompt_tokens,
        answer_tokens: job.caller.answer_tokens,
        first_token_max: job.goal_remaining(),
        spare_only: job.is_return,
        excluded: tried,
    };
    placement::choose(app, &need).await
}

fn log_answer(app: &app::App, job: &Job, tally: &Tally, instance: &str, status: StatusCode) {
    app.count("answered");
    app.pressure(&job.service).record(app.now_ms(), false);
    if let Err(error) = app.metrics.time("first_byte", job.arrived_at.elapsed()) {
        log::debug!("metrics: event=not_kept name=first_byte error={error:?}");
    }
    log::info!(
        "proxy: event=answered request={} route={} instance={instance} status={} attempt={} \
         after_ms={} configuration={}",
        job.id(),
        job.route.name,
        status.as_u16(),
        tally.tried.len(),
        job.arrived_at.elapsed().as_millis(),
        job.table.version
    );
}

fn deny(app: &app::App, job: &Job, tally: &mut Tally, denied: placement::Denied) -> Response<Body> {
    if tally.may_have_run {
        return fail(app, job, tally, "no other upstream can take it");
    }
    let retry_after = retry_after(app, job);
    app.count("refused");
    log::info!(
        "proxy: event=refused request={} route={} service={} reason={denied} tried={} \
         after_ms={} retry_after_ms={}",
        job.id(),
        job.route.name,
        job.service,
        tally.tried.len(),
        job.arrived_at.elapsed().as_millis(),
        retry_after.as_millis()
    );
    let status = StatusCode::SERVICE_UNAVAILABLE;
    refusal(status, Some(retry_after), "every upstream is busy or away")
}

/// Counts a refusal and returns when the caller is to come back.
fn retry_after(app: &app::App, job: &Job) -> time::Duration {
    let pressure = app.pressure(&job.service);
    let now_ms = app.now_ms();
    pressure.record(now_ms, true);
    pressure.retry_after(now_ms, job.remaining(), rand::rng().random())
}

/// Ends a request that was sent on; only where it did not run anywhere, the caller is told so.
fn fail(app: &app::App, job: &Job, tally: &mut Tally, reason: &str) -> Response<Body> {
    if let Some(response) = tally.failure.take() {
        return response;
    }
    let status = if tally.may_have_run {
        StatusCode::BAD_GATEWAY
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    app.count("failed");
    log::warn!(
        "proxy: event=failed request={} route={} status={} may_have_run={} tried={:?} \
         after_ms={} reason={reason:?}",
        job.id(),
        job.route.name,
        status.as_u16(),
        tally.may_have_run,
        tally.tried,
        job.arrived_at.elapsed().as_millis()
    );
    let retry_after = (!tally.may_have_run).then(|| retry_after(app, job));
    refusal(status, retry_after, reason)
}

fn finish_late(app: &app::App, job: &Job, tally: &Tally) -> Response<Body> {
    // An attempt that was cut off here may be running.
    let sent = !tally.tried.is_empty();
    let status = if sent {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    app.count("timed_out");
    log::warn!(
        "proxy: event=timeout request={} route={} status={} tried={:?} after_ms={}",
        job.id(),
        job.route.name,
        status.as_u16(),
        tally.tried,
        job.arrived_at.elapsed().as_millis()
    );
    refusal(status, None, "the time for this request is over")
}
