//! Callers: the list of entries, requests, and answers resumed.

use std::{sync, time};

use cadence::Counted as _;
use gotham::helpers::http::Body;
use hyper::{Response, StatusCode, header};
use pimentohook_core::{clock::Clock as _, id, report::commands::Outcome as Counted};
use pimentohook_runtime::server;
use pimentohook_wire::public;
use rand::{RngExt as _, seq::SliceRandom as _};
use snafu::{OptionExt, Snafu, ensure};

use crate::{app, relay};

/// A request that can't be served as it is.
#[derive(Debug, Snafu)]
pub enum CallerError {
    /// A header can't be read.
    #[snafu(display("header {name} has {value:?}; allowed: {allowed}"))]
    Header {
        /// The header.
        name: String,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// The organisation is missing.
    #[snafu(display("header {} is needed", public::ORGANISATION_HEADER))]
    NoOrganisation,
    /// The service is not configured.
    #[snafu(display("service {name:?} is not configured"))]
    UnknownService {
        /// The name.
        name: String,
    },
}

/// A request as it goes through the entry.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its id.
    pub request_id: id::RequestId,
    /// How many times its caller has sent it.
    pub attempt: id::AttemptNumber,
    /// Whether no entry can have seen it before.
    pub first: bool,
    /// The service.
    pub service: id::ServiceName,
    /// The organisation.
    pub organisation: id::OrganisationName,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Until when its caller waits.
    pub deadline: time::Instant,
    /// Its priority.
    pub priority: u8,
    /// Its body.
    pub body: bytes::Bytes,
}

const PRIORITY_DEFAULT: u8 = 5;
const PRIORITY_MAX: u8 = 9;

/// Handles the question which entries to use.
pub async fn entries(app: sync::Arc<app::App>, _call: server::Call) -> Response<Body> {
    let ready = app.ready_peers.load();
    let entries = &app.settings.entries;
    let mut names: Vec<&id::EntryId> = ready.iter().collect();
    if !app.is_leaving() {
        names.push(&app.settings.entry);
    }
    names.shuffle(&mut rand::rng());
    let mut places: Vec<_> = names.iter().filter_map(|name| entries.get(*name)).collect();
    spread(&mut places);
    let keep_ms = u64::try_from(app.settings.keep.as_millis()).unwrap_or(u64::MAX);
    let answer = public::Entries {
        addresses: places.iter().map(|place| place.address).collect(),
        keep_ms,
    };
    server::respond_json(StatusCode::OK, &answer)
}

/// Orders places so that neighbours in the list are in different failure domains.
fn spread(places: &mut [&crate::settings::EntryPlace]) {
    for index in 1..places.len() {
        let previous = &places[index - 1].failure_domain;
        let other = (index..places.len()).find(|at| places[*at].failure_domain != *previous);
        if let Some(other) = other {
            places.swap(index, other);
        }
    }
}

/// Handles a request.
pub async fn request(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let begun_at = app.clock.now();
    if app.is_refusing() {
        return not_run("this entry stops; use another", MOVED_RETRY_MS);
    }
    let mut request = match parse(&app, &call, begun_at) {
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
    app.retries.deposit();
    let service = request.service.clone();
    let response = relay::relay(app.clone(), request, begun_at).await;
    if !response.status().is_success() {
        let _ = app.metrics.count("not_answered", 1);
        app.count(&service, Counted::Failed);
    }
    response
}

const MOVED_RETRY_MS: u64 = 50;

/// Handles a caller that wants an answer again from an offset.
pub async fn answer(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request_id = call.name.parse::<id::RequestId>();
    let offset = call.query("offset").map_or(Ok(0), str::parse::<u64>);
    let place = call.query("at").and_then(|text| text.rsplit_once(':'));
    let place = place.and_then(|(vm, incarnation)| {
        let vm = vm.parse::<id::VmId>().ok()?;
        let incarnation = incarnation.parse::<id::Incarnation>().ok()?;
        Some((vm, incarnation))
    });
    let (Ok(request_id), Ok(offset), Some((vm, incarnation))) = (request_id, offset, place) else {
        let allowed = format!(
            "write /v1/answers/ID?at=PLACE&offset=BYTES with PLACE from header {}",
            public::RESUME_HEADER
        );
        return error_response(StatusCode::BAD_REQUEST, &allowed, None, None);
    };
    relay::resume(app, request_id, vm, incarnation, offset).await
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
    let given_id = parse_header(call, public::REQUEST_ID_HEADER, "1 to 64 name characters")?;
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
    let wanted = deadline_ms.map_or(deadline_max, time::Duration::from_millis);
    let made_here = given_id.is_none();
    let first_attempt = id::AttemptNumber::new(1);
    let said_first = attempt == Some(first_attempt);
    Ok(CallerRequest {
        request_id: given_id.map_or_else(new_request_id, Ok)?,
        // An attempt that is not numbered may be any; it is treated as a later one.
        attempt: attempt.unwrap_or(if made_here {
            first_attempt
        } else {
            first_attempt.next()
        }),
        first: made_here || said_first,
        service,
        organisation: organisation.context(NoOrganisationSnafu)?,
        idempotent: idempotent.unwrap_or(service_config.idempotent),
        deadline: now + wanted.min(deadline_max),
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

/// Makes the response to a request that was not run.
#[must_use]
pub fn not_run(reason: &str, retry_after_ms: u64) -> Response<Body> {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        &format!("not run: {reason}; come back after the time in Retry-After"),
        Some(public::Outcome::NotRun),
        Some(retry_after_ms),
    )
}

/// Makes the response to a request of which nobody can tell whether it ran.
#[must_use]
pub fn unknown(reason: &str) -> Response<Body> {
    error_response(
        StatusCode::BAD_GATEWAY,
        &format!("outcome unknown: {reason}; it may have run"),
        Some(public::Outcome::Unknown),
        None,
    )
}

/// Makes an error response.
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
