//! A client that sends requests to entries and resumes interrupted responses.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use pimentohook_core::id;
use pimentohook_runtime::{body, client};
use pimentohook_wire::public;

use crate::engine;

const RESUMES_MAX: usize = 6;
const RESUME_DELAY: time::Duration = time::Duration::from_millis(50);
const RESPONSE_HEAD_MARGIN: time::Duration = time::Duration::from_secs(2);

/// A request and its delivery options.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The id by which retries of the request are recognised.
    pub request_id: id::RequestId,
    /// The number of times the request has been sent, including this time.
    pub attempt: u64,
    /// The service that the request is for.
    pub service: String,
    /// The organisation that sends the request.
    pub organisation: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The request body.
    pub body: String,
    /// The deadline sent with the request; also the timeout of each read from the response.
    pub deadline: time::Duration,
}

impl RequestSpec {
    /// Returns the correct response from a plain service or from an engine.
    #[must_use]
    pub fn expected_response(&self, plain: bool) -> String {
        if plain {
            engine::expected_plain_response(self.request_id.as_str(), self.body.as_bytes())
        } else {
            engine::expected_response(&self.request_id, &self.body)
        }
    }
}

/// The outcome of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response arrived and ended normally.
    Completed {
        /// The response body.
        text: String,
        /// The time from the request to the first byte of the response.
        time_to_first_byte: time::Duration,
        /// The time from the request to the end of the response.
        total_duration: time::Duration,
    },
    /// The request was refused and certainly did not run.
    NotRun {
        /// The delay before the request should be retried.
        retry_after: time::Duration,
        /// The time from the request to the refusal.
        total_duration: time::Duration,
    },
    /// It is unknown whether the request ran.
    Unknown,
    /// The response was interrupted and could not be resumed.
    Interrupted,
    /// The request was rejected as invalid, with this status.
    Rejected(StatusCode),
    /// The entry could not be reached or did not respond.
    NoResponse {
        /// Whether the entry may have received the request.
        sent: bool,
    },
}

/// A client for the public API of entries.
#[derive(Clone, Debug)]
pub struct Caller {
    client: sync::Arc<client::Client>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Creates a caller with its own connection pool.
    #[must_use]
    pub fn new() -> Self {
        let local_ip = net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED);
        let client = sync::Arc::new(client::Client::new(local_ip));
        Self { client }
    }

    /// Returns the entries that an entry lists, or `None` if the entry does not respond.
    pub async fn entries(&self, entry: net::SocketAddr) -> Option<public::Entries> {
        let request = client::json_request::<()>(Method::GET, entry, "/v1/entries", None).ok()?;
        let result = self
            .client
            .send_and_read_body(entry, request, RESPONSE_HEAD_MARGIN)
            .await;
        serde_json::from_slice(&result.ok()?.1).ok()
    }

    /// Sends a request to `entry`; an interrupted response is resumed through `other_entries`.
    pub async fn send(
        &self,
        entry: net::SocketAddr,
        other_entries: &[net::SocketAddr],
        spec: &RequestSpec,
    ) -> Outcome {
        let started_at = time::Instant::now();
        let Some(request) = build_request(entry, spec) else {
            return Outcome::Rejected(StatusCode::BAD_REQUEST);
        };
        let timeout = spec.deadline + RESPONSE_HEAD_MARGIN;
        let response = match self.client.send(entry, request, timeout).await {
            Ok(response) => response,
            Err(client::ClientError::Connect { .. }) => return Outcome::NoResponse { sent: false },
            Err(_) => {
                self.client.drop_idle_connections();
                return Outcome::NoResponse { sent: true };
            }
        };
        if response.status() != StatusCode::OK {
            return read_refusal(entry, response, started_at).await;
        }
        self.read_response(other_entries, spec, response, started_at)
            .await
    }

    async fn read_response(
        &self,
        other_entries: &[net::SocketAddr],
        spec: &RequestSpec,
        response: Response<Incoming>,
        started_at: time::Instant,
    ) -> Outcome {
        let place = response.headers().get(public::RESUME_HEADER);
        let place = place.and_then(|value| value.to_str().ok());
        let place = place.map_or_else(String::new, String::from);
        let mut text = Vec::new();
        let mut time_to_first_byte = None;
        let mut complete = read_body(
            response,
            &mut text,
            started_at,
            &mut time_to_first_byte,
            spec,
        )
        .await;
        for resume in 0..RESUMES_MAX {
            if complete || other_entries.is_empty() {
                break;
            }
            tokio::time::sleep(RESUME_DELAY).await;
            let entry = other_entries[resume % other_entries.len()];
            let path = format!(
                "/v1/answers/{}?at={place}&offset={}",
                spec.request_id,
                text.len()
            );
            if let Some(response) = self.resume(entry, &path, spec.deadline).await {
                complete = read_body(
                    response,
                    &mut text,
                    started_at,
                    &mut time_to_first_byte,
                    spec,
                )
                .await;
            }
        }
        if !complete {
            return Outcome::Interrupted;
        }
        let total_duration = started_at.elapsed();
        Outcome::Completed {
            text: String::from_utf8_lossy(&text).into_owned(),
            time_to_first_byte: time_to_first_byte.unwrap_or(total_duration),
            total_duration,
        }
    }

    async fn resume(
        &self,
        entry: net::SocketAddr,
        path: &str,
        timeout: time::Duration,
    ) -> Option<Response<Incoming>> {
        let request = client::json_request::<()>(Method::GET, entry, path, None).ok()?;
        let response = self
            .client
            .send_on_new_connection(entry, request, timeout)
            .await
            .ok()?;
        (response.status() == StatusCode::OK).then_some(response)
    }
}

fn build_request(entry: net::SocketAddr, spec: &RequestSpec) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/v1/services/{}", spec.service))
        .header(public::REQUEST_ID_HEADER, spec.request_id.as_str())
        .header(public::ATTEMPT_HEADER, spec.attempt)
        .header(public::ORGANISATION_HEADER, &spec.organisation)
        .header(public::IDEMPOTENT_HEADER, spec.idempotent.to_string())
        .header(
            public::DEADLINE_HEADER,
            spec.deadline.as_millis().to_string(),
        )
        .body(Full::new(Bytes::from(spec.body.clone())))
        .ok()
}

async fn read_refusal(
    entry: net::SocketAddr,
    response: Response<Incoming>,
    started_at: time::Instant,
) -> Outcome {
    let status = response.status();
    let body = body::read_body(entry, response, client::MESSAGE_MAX_BYTES).await;
    let error = body
        .ok()
        .and_then(|body| serde_json::from_slice::<public::ErrorBody>(&body).ok());
    let Some(error) = error else {
        return Outcome::Rejected(status);
    };
    match error.outcome {
        Some(public::Outcome::NotRun) => Outcome::NotRun {
            retry_after: time::Duration::from_millis(error.retry_after_ms.unwrap_or(0)),
            total_duration: started_at.elapsed(),
        },
        Some(public::Outcome::Unknown) => Outcome::Unknown,
        None => Outcome::Rejected(status),
    }
}

/// Reads a body to its end; returns false if it was interrupted.
async fn read_body(
    response: Response<Incoming>,
    text: &mut Vec<u8>,
    started_at: time::Instant,
    time_to_first_byte: &mut Option<time::Duration>,
    spec: &RequestSpec,
) -> bool {
    let mut body = response.into_body();
    loop {
        match tokio::time::timeout(spec.deadline, body.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    time_to_first_byte.get_or_insert_with(|| started_at.elapsed());
                    text.extend_from_slice(bytes);
                }
            }
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}
