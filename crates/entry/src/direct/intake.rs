//! Reads callers' requests, and rejects those that no upstream may get.

use std::{sync, time};

use bytes::Bytes;
use hyper::StatusCode;
use pimentohook_core::routes;
use pimentohook_platform::request;
use pimentohook_runtime::server;
use rand::RngExt as _;

use super::{app, final_response, leaving, prompt_admission, proxy, request_timeout};

const BODY_MAX_BYTES: usize = 4 << 20;
const RETRY_AFTER_UNAVAILABLE: time::Duration = time::Duration::from_millis(500);

/// A final response to a request that was not sent to any upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejection {
    /// The status.
    pub(super) status: StatusCode,
    /// When the caller may come back, if that helps.
    pub(super) retry_after: Option<time::Duration>,
    /// The reason, which the body of the response says.
    pub(super) reason: &'static str,
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

fn leaving_rejection(app: &app::App) -> Rejection {
    Rejection {
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after: Some(app.leaving_retry_after()),
        reason: final_response::LEAVING,
    }
}

/// Reads a request, which may be rejected before its body has come.
///
/// # Errors
///
/// Returns the request's id and how it is rejected.
pub(super) async fn read_request(
    app: &app::App,
    call: server::Call,
) -> Result<proxy::ProxiedRequest, (String, Rejection)> {
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
    let budget = &app.holdings.requests;
    let body = call.read_body_within(body_max, budget, admitted.until_over());
    let body = body.await.map_err(|error| {
        let rejection = match error {
            _ if admitted.is_cut_short() => leaving_rejection(app),
            server::BodyError::NoRoom => {
                app.count("no_room");
                unavailable("there is no room for the body")
            }
            error => rejection(error.status(), "the body can't be read"),
        };
        (String::from(admitted.id()), rejection)
    })?;
    let request = proxy::ProxiedRequest { body, ..admitted };
    Ok(request.with_suspects())
}

/// Returns a request, without its body, unless it is rejected for what its head says.
fn admit(
    app: &app::App,
    call: &server::Call,
) -> Result<proxy::ProxiedRequest, (String, Rejection)> {
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
    let regions = match &organisation {
        Some(organisation) => route.regions.and(&organisation.regions),
        None => route.regions.clone(),
    };
    let priority = table.priority(&service, &route, organisation.as_ref());
    let timeout = request_timeout::RequestTimeout::new(caller.timeout, route.timeout);
    let deadline = arrived_at + timeout.get();
    let is_late_retry = is_late_retry(app, &route, &caller);
    if !is_accepted(app, &id, &route, deadline) {
        return Err(with_id(leaving_rejection(app)));
    }
    let (method, uri, headers) = (call.method.clone(), call.uri.clone(), call.headers.clone());
    Ok(proxy::ProxiedRequest {
        caller,
        peer: call.peer,
        method,
        uri,
        host,
        headers,
        body: Bytes::new(),
        route: sync::Arc::new(route),
        service,
        table,
        organisation,
        regions,
        priority,
        trial: prompt_admission::Trial::default(),
        is_late_retry,
        arrived_at,
        timeout,
        shutdown: app.shutdown.clone(),
    })
}

/// Returns whether a request that may last until `deadline` is accepted; writes a line if that is only
/// because it is likely to end before this entry does.
fn is_accepted(
    app: &app::App,
    request: &str,
    route: &routes::Route,
    deadline: time::Instant,
) -> bool {
    let (shutdown, now) = (app.shutdown.get(), app.clock.now());
    let acceptance = app.leaving.accepts(shutdown, route, deadline, now);
    if acceptance == leaving::Acceptance::LikelyInTime {
        app.count("accepted_by_likely_time");
        log::info!(
            "proxy: event=accepted_by_likely_time request={request} route={} ready_entries={} \
             leaving_for_ms={}",
            route.name,
            app.leaving.others().ready_names().len(),
            shutdown.map_or(0, |shutdown| shutdown.since.elapsed().as_millis())
        );
    }
    acceptance != leaving::Acceptance::Refused
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
    match table.admission(route, caller.key.as_deref()) {
        routes::Admission::Organisation(organisation) => return Ok(Some(organisation.clone())),
        routes::Admission::Anonymous => return Ok(None),
        routes::Admission::Denied => {}
    }
    if app.is_stale() {
        return Err(unavailable("the configuration may be out of date"));
    }
    Err(rejection(
        StatusCode::UNAUTHORIZED,
        "the API key is not known",
    ))
}
