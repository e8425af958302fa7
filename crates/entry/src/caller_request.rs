//! A caller's request, as its headers describe it.

use std::time;

use pimentohook_core::id;
use pimentohook_runtime::server;
use pimentohook_wire::public;
use rand::RngExt as _;
use snafu::{OptionExt, Snafu, ensure};

use crate::app;

const PRIORITY_DEFAULT: u8 = 5;
const PRIORITY_MAX: u8 = 9;

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

/// Parses a caller's request, except for its body.
///
/// # Errors
///
/// Returns [`CallerError`] if a header is invalid or the service is not configured.
pub fn parse(
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
