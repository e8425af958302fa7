//! One sending of a request to one upstream.

use std::{net, sync, sync::atomic, time};

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, Response, StatusCode, Uri, body::Incoming, header, http};
use pimentohook_platform::request;
use pimentohook_runtime::{client, server};

use super::{app, placement, proxy};

const ANSWER_MAX_BYTES: usize = 8 << 20;
const EVENT_STREAM: &str = "text/event-stream";
/// Where a request may be sent again, an upstream gets this many goals to begin its answer.
const PATIENCE_GOALS: u32 = 4;
const PATIENCE_MIN: time::Duration = time::Duration::from_millis(150);

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// It is proved that the request did not run.
    NotRun,
    /// The request may be running or have run.
    MayHaveRun,
}

/// A stream whose first event has come.
#[derive(Debug)]
pub struct OpenStream {
    /// The head of the answer.
    pub head: http::response::Parts,
    /// The rest of the body.
    pub body: Incoming,
    /// What has been read and not passed on.
    pub buffer: BytesMut,
    /// Whether the body has ended.
    pub ended: bool,
    /// The upstream.
    pub live: sync::Arc<app::Live>,
    /// The upstream's instance.
    pub instance: String,
    /// Keeps the request counted there.
    pub in_flight: placement::InFlight,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// With a whole answer.
    Whole(Response<Body>),
    /// With the upstream's own failure, which is passed on where nobody else can be tried.
    Failure(Response<Body>),
    /// With a stream that has begun.
    Stream(Box<OpenStream>),
    /// Without an answer.
    Fault(Fault),
}

/// Sends a request to an upstream; `last_event_id` resumes a stream after that event.
pub async fn run(
    app: &app::App,
    job: &proxy::Job,
    place: &placement::Place,
    last_event_id: Option<&str>,
) -> Outcome {
    let upstream = &place.candidate.upstream;
    let live = &place.candidate.live;
    let in_flight = placement::InFlight::new(live.clone());
    let started_at = time::Instant::now();
    let request = match build(job, place, last_event_id) {
        Ok(request) => request,
        Err(error) => {
            log::error!(
                "attempt: event=build_failed request={} error={error:?}",
                job.id()
            );
            return Outcome::Fault(Fault::NotRun);
        }
    };
    let patience = patience(job);
    let sent = app
        .upstreams
        .send(upstream.address, request, patience)
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => return unanswered(app, live, &error),
    };
    let verdict = request::classify_response(
        response.status(),
        response.headers(),
        job.caller.request_id.as_deref(),
    );
    match verdict {
        request::ResponseClass::Answer => {}
        request::ResponseClass::NotRun => return Outcome::Fault(Fault::NotRun),
        request::ResponseClass::OtherInstance => {
            // A version that was expected and is not there is refused in the same way.
            if place.weights_version.is_none() {
                live.gone.store(true, atomic::Ordering::Relaxed);
            }
            return Outcome::Fault(Fault::NotRun);
        }
        request::ResponseClass::Foreign => {
            live.record.record_failure(app.now_ms());
            return Outcome::Fault(Fault::MayHaveRun);
        }
    }
    let answer = Answer {
        response,
        in_flight,
        started_at,
        patience: patience.saturating_sub(started_at.elapsed()),
    };
    answer.read(app, job, place).await
}

/// Returns how long an upstream may take to begin its answer.
fn patience(job: &proxy::Job) -> time::Duration {
    let remaining = job.remaining();
    if !job.route.may_repeat() || job.route.attempts_max < 2 {
        return remaining;
    }
    let patience = (job.route.goal * PATIENCE_GOALS).max(PATIENCE_MIN);
    // The last part of the time is no use to another upstream.
    if remaining > patience * 2 {
        patience
    } else {
        (remaining / 2).max(PATIENCE_MIN).min(remaining)
    }
}

fn unanswered(app: &app::App, live: &app::Live, error: &client::ClientError) -> Outcome {
    log::debug!("attempt: event=unanswered error={error:?}");
    live.record.record_failure(app.now_ms());
    if error.is_unsent() {
        return Outcome::Fault(Fault::NotRun);
    }
    Outcome::Fault(Fault::MayHaveRun)
}

fn build(
    job: &proxy::Job,
    place: &placement::Place,
    last_event_id: Option<&str>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let upstream = &place.candidate.upstream;
    let forwarded = request::AddedHeaders {
        instance: &upstream.instance,
        organisation: job.organisation.as_ref().map(|one| one.name.as_str()),
        remaining: job.remaining(),
        weights_version: place.weights_version,
        last_event_id,
    };
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(target(upstream.address, &job.uri)?)
        .body(Full::new(job.body.clone()))?;
    *request.headers_mut() = request::forwarded_headers(&job.headers, &forwarded);
    Ok(request)
}

fn target(address: net::SocketAddr, uri: &Uri) -> Result<Uri, http::Error> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
}

/// An answer whose head has come.
struct Answer {
    response: Response<Incoming>,
    in_flight: placement::InFlight,
    started_at: time::Instant,
    patience: time::Duration,
}

impl Answer {
    async fn read(self, app: &app::App, job: &proxy::Job, place: &placement::Place) -> Outcome {
        let is_events = self
            .response
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with(EVENT_STREAM));
        if self.response.status().is_success() && (is_events || job.route.streaming) {
            return self.read_stream(app, place).await;
        }
        self.read_whole(app, place).await
    }

    async fn read_whole(self, app: &app::App, place: &placement::Place) -> Outcome {
        let live = &place.candidate.live;
        let address = place.candidate.upstream.address;
        let (head, body) = self.response.into_parts();
        let read = client::read_body(address, Response::new(body), ANSWER_MAX_BYTES);
        let Ok(Ok(body)) = tokio::time::timeout(self.patience, read).await else {
            live.record.record_failure(app.now_ms());
            return Outcome::Fault(Fault::MayHaveRun);
        };
        drop(self.in_flight);
        if head.status.is_server_error() {
            live.record.record_failure(app.now_ms());
            return Outcome::Failure(respond(&head, server::full(body)));
        }
        live.record.record_success(self.started_at.elapsed());
        Outcome::Whole(respond(&head, server::full(body)))
    }

    async fn read_stream(self, app: &app::App, place: &placement::Place) -> Outcome {
        let live = place.candidate.live.clone();
        let (head, body) = self.response.into_parts();
        let mut open = OpenStream {
            head,
            body,
            buffer: BytesMut::new(),
            ended: false,
            live,
            instance: place.candidate.upstream.instance.clone(),
            in_flight: self.in_flight,
        };
        let first = tokio::time::timeout(self.patience, open.fill()).await;
        if !matches!(first, Ok(true)) {
            open.live.record.record_failure(app.now_ms());
            return Outcome::Fault(Fault::MayHaveRun);
        }
        open.live.record.record_success(self.started_at.elapsed());
        Outcome::Stream(Box::new(open))
    }
}

/// Builds the caller's answer from an upstream's head.
#[must_use]
pub fn respond(head: &http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = request::response_headers(&head.headers);
    response
}

impl OpenStream {
    /// Reads until a whole event is there or the body has ended; false where it broke off.
    pub async fn fill(&mut self) -> bool {
        while events_end(&self.buffer) == 0 {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.buffer.extend_from_slice(&bytes);
                    }
                }
                Some(Err(_)) => return false,
                None => {
                    self.ended = true;
                    // A body that ends within an event was cut off.
                    return self.buffer.is_empty();
                }
            }
        }
        true
    }

    /// Takes the whole events that have been read.
    pub fn take_events(&mut self) -> Bytes {
        let end = events_end(&self.buffer);
        self.buffer.split_to(end).freeze()
    }

    /// Returns whether an answer with this status may be resumed elsewhere.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.head.status == StatusCode::OK
    }
}

/// Returns where the last whole event ends.
fn events_end(buffer: &[u8]) -> usize {
    let ends = |mark: &[u8]| {
        let start = buffer
            .windows(mark.len())
            .rposition(|window| window == mark);
        start.map_or(0, |start| start + mark.len())
    };
    ends(b"\n\n").max(ends(b"\r\n\r\n"))
}
