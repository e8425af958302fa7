//! Callers that check their answers.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use pimentohook_core::id;
use pimentohook_runtime::client;
use pimentohook_wire::public;

use crate::engine;

const RESUMES_MAX: usize = 6;
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(50);
const HEAD_GRACE: time::Duration = time::Duration::from_secs(2);

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The request's id.
    pub request_id: id::RequestId,
    /// How many times it has been sent, this time included.
    pub attempt: u64,
    /// The service.
    pub service: String,
    /// The organisation.
    pub organisation: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The body.
    pub body: String,
    /// How long the caller waits.
    pub deadline: time::Duration,
}

impl RequestSpec {
    /// Returns the answer that is right.
    #[must_use]
    pub fn expected(&self, plain: bool) -> String {
        if plain {
            engine::expected_plain_response(self.request_id.as_str(), self.body.as_bytes())
        } else {
            engine::expected_response(&self.request_id, &self.body)
        }
    }
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An answer with a clean end.
    Completed {
        /// The answer.
        text: String,
        /// The time to its first byte.
        first_byte: time::Duration,
        /// The time to its end.
        total: time::Duration,
    },
    /// The request was not run.
    NotRun {
        /// When to come back.
        retry_after: time::Duration,
        /// How long it took to be told.
        total: time::Duration,
    },
    /// Nobody can tell whether it ran.
    Unknown,
    /// The answer broke off and could not be resumed.
    Interrupted,
    /// The request itself was refused.
    Rejected(StatusCode),
    /// The entry could not be reached, or did not answer.
    EntryUnavailable {
        /// Whether the request may have been taken in.
        sent: bool,
    },
}

/// A caller.
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
    /// Creates a caller with connections of its own.
    #[must_use]
    pub fn new() -> Self {
        let local = net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED);
        let client = sync::Arc::new(client::Client::new(local));
        Self { client }
    }

    /// Asks an entry which entries to use.
    pub async fn entries(&self, entry: net::SocketAddr) -> Option<public::Entries> {
        let request = client::json_request::<()>(Method::GET, entry, "/v1/entries", None).ok()?;
        let exchange = self
            .client
            .send_and_read_body(entry, request, HEAD_GRACE)
            .await;
        serde_json::from_slice(&exchange.ok()?.1).ok()
    }

    /// Sends a request to `entry`; a broken answer is resumed through `others`.
    pub async fn send(
        &self,
        entry: net::SocketAddr,
        others: &[net::SocketAddr],
        spec: &RequestSpec,
    ) -> RequestOutcome {
        let begun_at = time::Instant::now();
        let Some(request) = request_of(entry, spec) else {
            return RequestOutcome::Rejected(StatusCode::BAD_REQUEST);
        };
        let timeout = spec.deadline + HEAD_GRACE;
        let response = match self.client.send(entry, request, timeout).await {
            Ok(response) => response,
            Err(client::ClientError::Connect { .. }) => {
                return RequestOutcome::EntryUnavailable { sent: false };
            }
            Err(_) => {
                self.client.drop_idle_connections();
                return RequestOutcome::EntryUnavailable { sent: true };
            }
        };
        if response.status() != StatusCode::OK {
            return refused(entry, response, begun_at).await;
        }
        self.read(others, spec, response, begun_at).await
    }

    async fn read(
        &self,
        others: &[net::SocketAddr],
        spec: &RequestSpec,
        response: Response<Incoming>,
        begun_at: time::Instant,
    ) -> RequestOutcome {
        let place = response.headers().get(public::RESUME_HEADER);
        let place = place.and_then(|value| value.to_str().ok());
        let place = place.map_or_else(String::new, String::from);
        let mut text = Vec::new();
        let mut first_byte = None;
        let mut whole = read_body(response, &mut text, begun_at, &mut first_byte, spec).await;
        for resume in 0..RESUMES_MAX {
            if whole || others.is_empty() {
                break;
            }
            tokio::time::sleep(RESUME_PAUSE).await;
            let entry = others[resume % others.len()];
            let path = format!(
                "/v1/answers/{}?at={place}&offset={}",
                spec.request_id,
                text.len()
            );
            if let Some(response) = self.resume(entry, &path, spec.deadline).await {
                whole = read_body(response, &mut text, begun_at, &mut first_byte, spec).await;
            }
        }
        if !whole {
            return RequestOutcome::Interrupted;
        }
        let total = begun_at.elapsed();
        RequestOutcome::Completed {
            text: String::from_utf8_lossy(&text).into_owned(),
            first_byte: first_byte.unwrap_or(total),
            total,
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

fn request_of(entry: net::SocketAddr, spec: &RequestSpec) -> Option<Request<Full<Bytes>>> {
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

async fn refused(
    entry: net::SocketAddr,
    response: Response<Incoming>,
    begun_at: time::Instant,
) -> RequestOutcome {
    let status = response.status();
    let body = client::read_body(entry, response, client::MESSAGE_MAX_BYTES).await;
    let error = body
        .ok()
        .and_then(|body| serde_json::from_slice::<public::ErrorBody>(&body).ok());
    let Some(error) = error else {
        return RequestOutcome::Rejected(status);
    };
    match error.outcome {
        Some(public::Outcome::NotRun) => RequestOutcome::NotRun {
            retry_after: time::Duration::from_millis(error.retry_after_ms.unwrap_or(0)),
            total: begun_at.elapsed(),
        },
        Some(public::Outcome::Unknown) => RequestOutcome::Unknown,
        None => RequestOutcome::Rejected(status),
    }
}

/// Reads a body to its end; true where the end was clean.
async fn read_body(
    response: Response<Incoming>,
    text: &mut Vec<u8>,
    begun_at: time::Instant,
    first_byte: &mut Option<time::Duration>,
    spec: &RequestSpec,
) -> bool {
    let mut body = response.into_body();
    loop {
        match tokio::time::timeout(spec.deadline, body.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    first_byte.get_or_insert_with(|| begun_at.elapsed());
                    text.extend_from_slice(bytes);
                }
            }
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}
