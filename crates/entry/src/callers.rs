//! Handles callers' requests: the list of entries, new requests, and resumed responses.

use std::{sync, time};

use cadence::Counted as _;
use gotham::helpers::http::Body;
use hyper::{Response, StatusCode, header};
use pimentohook_core::{clock::Clock as _, id, report::commands::Outcome as RequestOutcome};
use pimentohook_runtime::server;
use pimentohook_wire::public;
use rand::{RngExt as _, seq::SliceRandom as _};
use snafu::{OptionExt, Snafu, ensure};

use crate::{app, dispatch};

/// A request is invalid.
#[derive(Debug, Snafu)]
pub enum CallerError {
    /// A header has an invalid value.
    #[snafu(display("header {name} has {value:?}; allowed: {allowed}"))]
    Header {
        /// The header.
        name: String,
        /// Its value.
        value: String,
        /// The allowed values.
        allowed: String,
    },
    /// The header with the organisation is missing.
    #[snafu(display("header {} is needed", public::ORGANISATION_HEADER))]
    NoOrganisation,
    /// The service is not configured.
    #[snafu(display("service {name:?} is not configured"))]
    UnknownService {
        /// The name.
        name: String,
    },
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its id.
    pub request_id: id::RequestId,
    /// The number of the caller's attempt, starting at 1.
    pub attempt: id::AttemptNumber,
    /// Whether this is the first attempt, so that no entry can have received the request before.
    pub is_new: bool,
    /// The service.
    pub service: id::ServiceName,
    /// The organisation.
    pub organisation: id::OrganisationName,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Until when the caller waits.
    pub deadline: time::Instant,
    /// Its priority.
    pub priority: u8,
    /// Its body.
    pub body: bytes::Bytes,
}

const PRIORITY_DEFAULT: u8 = 5;
const PRIORITY_MAX: u8 = 9;

/// Handles a request for the list of entries.
pub async fn entries(app: sync::Arc<app::App>, _call: server::Call) -> Response<Body> {
    let ready = app.ready_peers.load();
    let entries = &app.settings.entries;
    let mut names: Vec<&id::EntryId> = ready.iter().collect();
    if !app.is_shutting_down() {
        names.push(&app.settings.entry);
    }
    names.shuffle(&mut rand::rng());
    let mut listed: Vec<_> = names.iter().filter_map(|name| entries.get(*name)).collect();
    spread_over_domains(&mut listed);
    let keep_ms = u64::try_from(app.settings.directory_ttl.as_millis()).unwrap_or(u64::MAX);
    let response = public::Entries {
        addresses: listed.iter().map(|entry| entry.address).collect(),
        keep_ms,
    };
    server::respond_json(StatusCode::OK, &response)
}

/// Reorders the entries so that neighbours in the list are in different failure domains.
fn spread_over_domains(listed: &mut [&crate::settings::EntryLocation]) {
    for index in 1..listed.len() {
        let previous = &listed[index - 1].failure_domain;
        let next =
            (index..listed.len()).find(|candidate| listed[*candidate].failure_domain != *previous);
        if let Some(next) = next {
            listed.swap(index, next);
        }
    }
}

/// Handles a caller's request to a service.
pub async fn request(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let arrived_at = app.clock.now();
    if app.is_refusing() {
        return not_run("this entry stops; use another", SHUTDOWN_RETRY_MS);
    }
    let mut request = match parse(&app, &call, arrived_at) {
        Ok(request) => request,
        Err(error @ CallerError::UnknownService { .. }) => {
            return error_response(StatusCode::NOT_FOUND, &error.to_string(), None, None);
        }
        Err(error) => {
            return error_response(StatusCode::BAD_REQUEST, &error.to_string(), None, None);
        }
    };
    let body_max = usize::try_from(app.settings.body_max.get()).unwrap_or(usize::MAX);
    request.body = match call.read_body(body_max).await {
        Ok(body) => body,
        Err(error) => return error_response(error.status(), &error.to_string(), None, None),
    };
    app.retry_budget.deposit();
    let service = request.service.clone();
    let response = dispatch::serve(app.clone(), request, arrived_at).await;
    if !response.status().is_success() {
        let _ = app.metrics.count("not_answered", 1);
        app.count(&service, RequestOutcome::Failed);
    }
    response
}

const SHUTDOWN_RETRY_MS: u64 = 50;

/// Handles a caller's request to resume a response from an offset.
pub async fn resume(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request_id = call.name.parse::<id::RequestId>();
    let offset = call.query("offset").map_or(Ok(0), str::parse::<u64>);
    let location = call.query("at").and_then(|text| text.rsplit_once(':'));
    let location = location.and_then(|(vm, incarnation)| {
        let vm = vm.parse::<id::VmId>().ok()?;
        let incarnation = incarnation.parse::<id::Incarnation>().ok()?;
        Some((vm, incarnation))
    });
    let (Ok(request_id), Ok(offset), Some((vm, incarnation))) = (request_id, offset, location)
    else {
        let allowed = format!(
            "write /v1/answers/ID?at=PLACE&offset=BYTES with PLACE from header {}",
            public::RESUME_HEADER
        );
        return error_response(StatusCode::BAD_REQUEST, &allowed, None, None);
    };
    dispatch::resume(app, request_id, vm, incarnation, offset).await
}

fn parse(
    app: &app::App,
    call: &server::Call,
    now: time::Instant,
) -> Result<CallerRequest, CallerError> {
    let config = app.config.load();
    let service = call.name.parse::<id::ServiceName>().ok();
    let service_config = service
        .as_ref()
        .and_then(|service| config.services.get(service));
    let (Some(service), Some(service_config)) = (service, service_config) else {
        let name = call.name.clone();
        return UnknownServiceSnafu { name }.fail();
    };
    let sent_id = parse_header(call, public::REQUEST_ID_HEADER, "1 to 64 name characters")?;
    let attempt = parse_header(call, public::ATTEMPT_HEADER, "a whole number from 1")?;
    let organisation = parse_header(call, public::ORGANISATION_HEADER, "1 to 64 characters")?;
    let idempotent = parse_header(call, public::IDEMPOTENT_HEADER, "true or false")?;
    let deadline_ms: Option<u64> = parse_header(call, public::DEADLINE_HEADER, "milliseconds")?;
    let priority = parse_header(call, public::PRIORITY_HEADER, "0 to 9")?;
    let priority = priority.unwrap_or(PRIORITY_DEFAULT);
    ensure!(
        priority <= PRIORITY_MAX,
        HeaderSnafu {
            name: public::PRIORITY_HEADER,
            value: priority.to_string(),
            allowed: "0 to 9",
        }
    );
    let deadline_max = app.settings.deadline_max;
    let requested = deadline_ms.map_or(deadline_max, time::Duration::from_millis);
    let is_generated = sent_id.is_none();
    let first_attempt = id::AttemptNumber::new(1);
    let is_first_attempt = attempt == Some(first_attempt);
    Ok(CallerRequest {
        request_id: sent_id.map_or_else(new_request_id, Ok)?,
        // An attempt without a number isn't necessarily the first, so it is treated as a later one.
        attempt: attempt.unwrap_or(if is_generated {
            first_attempt
        } else {
            first_attempt.next()
        }),
        is_new: is_generated || is_first_attempt,
        service,
        organisation: organisation.context(NoOrganisationSnafu)?,
        idempotent: idempotent.unwrap_or(service_config.idempotent),
        deadline: now + requested.min(deadline_max),
        priority,
        body: bytes::Bytes::new(),
    })
}

fn parse_header<T>(call: &server::Call, name: &str, allowed: &str) -> Result<Option<T>, CallerError>
where
    T: std::str::FromStr,
{
    if !call.headers.contains_key(name) {
        return Ok(None);
    }
    let text = call.header(name).unwrap_or("(not text)");
    let parsed = text.parse().ok().context(HeaderSnafu {
        name,
        value: text.chars().take(id::NAME_MAX_BYTES).collect::<String>(),
        allowed,
    })?;
    Ok(Some(parsed))
}

fn new_request_id() -> Result<id::RequestId, CallerError> {
    let number: u128 = rand::rng().random();
    let text = format!("e-{number:032x}");
    text.parse().ok().context(HeaderSnafu {
        name: public::REQUEST_ID_HEADER,
        value: text,
        allowed: "a name",
    })
}

/// Builds the response to a request that did not run.
#[must_use]
pub fn not_run(reason: &str, retry_after_ms: u64) -> Response<Body> {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        &format!("not run: {reason}; come back after the time in Retry-After"),
        Some(public::Outcome::NotRun),
        Some(retry_after_ms),
    )
}

/// Builds the response to a request that may or may not have run.
#[must_use]
pub fn outcome_unknown(reason: &str) -> Response<Body> {
    error_response(
        StatusCode::BAD_GATEWAY,
        &format!("outcome unknown: {reason}; it may have run"),
        Some(public::Outcome::Unknown),
        None,
    )
}

/// Builds an error response.
#[must_use]
pub fn error_response(
    status: StatusCode,
    error: &str,
    outcome: Option<public::Outcome>,
    retry_after_ms: Option<u64>,
) -> Response<Body> {
    let body = public::ErrorBody {
        error: String::from(error),
        outcome,
        retry_after_ms,
    };
    let mut response = server::respond_json(status, &body);
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    response
}
