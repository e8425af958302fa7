//! Handlers of dispatches, resumptions, revocations and releases, and the execution of requests.

use std::{sync, time};

use cadence::Counted as _;
use futures_util::StreamExt as _;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, StatusCode, body};
use pimentohook_core::{admission, clock::Clock as _, id};
use pimentohook_platform::engine;
use pimentohook_runtime::{client, server};
use pimentohook_wire::{frames, messages};

use crate::{app, mutex::lock, responses, settings};

const MESSAGE_MAX_BYTES: usize = 4 << 20;
const PLAIN_RESPONSE_MAX_BYTES: usize = 16 << 20;
const ENGINE_FULL_RETRY_MS: u64 = 200;
const ENGINE_DOWN_RETRY_MS: u64 = 1_000;

/// Handles a dispatch; the response is a stream of frames.
pub async fn dispatch(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::DispatchRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let request_id = request.dispatch.request_id.clone();
    let conditions = app.admission_conditions();
    let now = app.clock.now();
    let mut table = lock(&app.table);
    let admission = table.admit(now, &request.dispatch, &conditions);
    match admission {
        admission::Admission::Refused(refusal) => {
            drop(table);
            let _ = app.metrics.count("refused", 1);
            log::debug!(
                "dispatch: request {request_id} is refused: {}.",
                refusal.reason
            );
            refusal_response(refusal)
        }
        admission::Admission::Attached => {
            drop(table);
            resume_response(&app, &request_id, 0)
        }
        admission::Admission::Admitted => {
            // Opened under the table's lock, so that the next attached request finds the response.
            let buffered = app.responses.open(&request_id);
            drop(table);
            let _ = app.metrics.count("admitted", 1);
            let response = stream_response(&buffered, 0);
            tokio::spawn(run(app, request, buffered));
            response
        }
    }
}

/// Handles the resumption of a response from an offset; the response is a stream of frames.
pub async fn resume(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::ResumeRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    if request.incarnation != lock(&app.table).incarnation() {
        return server::respond_text(StatusCode::GONE, "this agent has restarted since");
    }
    let offset_bytes = usize::try_from(request.offset_bytes).unwrap_or(usize::MAX);
    resume_response(&app, &request.request_id, offset_bytes)
}

/// Handles a revocation.
pub async fn revoke(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::RevokeRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let mut table = lock(&app.table);
    if request.incarnation != table.incarnation() {
        drop(table);
        return server::respond_message(&admission::RevocationReply::Unknown);
    }
    let reply = table.revoke(
        app.clock.now(),
        &request.request_id,
        request.through,
        request.view_stamp,
    );
    drop(table);
    server::respond_message(&reply)
}

/// Handles the notice that a response is no longer needed.
pub async fn release(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::ReleaseRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    if let Some(response) = app.responses.get(&request.request_id)
        && request.delivered
    {
        response.record_delivered();
    }
    app.responses.evict(app.clock.now());
    server::respond_message(&())
}

fn refusal_response(refusal: admission::Refusal) -> Response<Body> {
    let frame = frames::Frame::Admission(admission::Admission::Refused(refusal));
    match frame.to_bytes() {
        Ok(bytes) => server::respond(StatusCode::OK, pimentohook_wire::CONTENT_TYPE, bytes),
        Err(error) => server::respond_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn resume_response(
    app: &app::App,
    request_id: &id::RequestId,
    offset_bytes: usize,
) -> Response<Body> {
    match app.responses.get(request_id) {
        Some(response) => stream_response(&response, offset_bytes),
        None => server::respond_text(StatusCode::GONE, "the answer is no longer kept"),
    }
}

fn stream_response(
    response: &sync::Arc<responses::BufferedResponse>,
    offset_bytes: usize,
) -> Response<Body> {
    let frames = responses::read(response, offset_bytes).map(|frame| {
        let bytes = frame.to_bytes().map_err(std::io::Error::other)?;
        Ok::<_, std::io::Error>(body::Frame::data(bytes))
    });
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// Runs an admitted request until it ends, its deadline passes or, if it is idempotent, it is
/// orphaned.
async fn run(
    app: sync::Arc<app::App>,
    request: messages::DispatchRequest,
    response: sync::Arc<responses::BufferedResponse>,
) {
    let request_id = request.dispatch.request_id.clone();
    let remaining = time::Duration::from_millis(request.dispatch.remaining_ms);
    let idempotent = request.dispatch.idempotent;
    let execution = execute(&app, request, &response);
    let end = tokio::select! {
        end = execution => end,
        () = tokio::time::sleep(remaining) => {
            responses::End::Failed(String::from("the deadline has passed"))
        }
        () = wait_until_orphaned(&app, &response), if idempotent => {
            responses::End::Failed(String::from("nobody waits for the answer"))
        }
    };
    let now = app.clock.now();
    let mut table = lock(&app.table);
    if matches!(end, responses::End::Refused(_)) {
        table.abandon(now, &request_id);
        app.responses.remove(&request_id);
    } else {
        table.finish(now, &request_id);
    }
    drop(table);
    match &end {
        responses::End::Failed(reason) => {
            log::warn!("dispatch: request {request_id} failed: {reason}.");
        }
        responses::End::Refused(refusal) => {
            let reason = refusal.reason;
            log::info!("dispatch: request {request_id} is refused by the engine: {reason}.");
        }
        responses::End::Complete => {}
    }
    response.end(now, end);
    app.responses.evict(now);
}

const ORPHAN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Waits until a response has had no readers for too long.
async fn wait_until_orphaned(app: &app::App, response: &responses::BufferedResponse) {
    while !response.is_orphaned(app.clock.now(), app.settings.orphan_max) {
        tokio::time::sleep(ORPHAN_POLL_INTERVAL).await;
    }
}

async fn execute(
    app: &app::App,
    request: messages::DispatchRequest,
    response: &responses::BufferedResponse,
) -> responses::End {
    match app.settings.kind {
        settings::UpstreamKind::Engine => generate(app, request, response).await,
        settings::UpstreamKind::Plain => call_plain(app, request, response).await,
    }
}

async fn call_plain(
    app: &app::App,
    request: messages::DispatchRequest,
    response: &responses::BufferedResponse,
) -> responses::End {
    response.start();
    let request_id = &request.dispatch.request_id;
    let call = app
        .engine
        .call(request_id, request.body, PLAIN_RESPONSE_MAX_BYTES);
    match call.await {
        Ok(body) => {
            response.push(&body);
            responses::End::Complete
        }
        Err(error) => responses::End::Failed(error.to_string()),
    }
}

async fn generate(
    app: &app::App,
    request: messages::DispatchRequest,
    response: &responses::BufferedResponse,
) -> responses::End {
    let started_at = app.clock.now();
    let generate = engine::GenerateRequest {
        request_id: request.dispatch.request_id.clone(),
        priority: request.priority,
        prompt: String::from_utf8_lossy(&request.body).into_owned(),
    };
    let mut lines = match app.engine.generate(&generate).await {
        Ok(lines) => lines,
        Err(error) => return classify_start_error(&error),
    };
    response.start();
    let mut is_first_line = true;
    loop {
        let line = match lines.try_next().await {
            Ok(line) => line,
            Err(error) => return responses::End::Failed(error.to_string()),
        };
        if Some(line.weights) != request.dispatch.weights {
            lock(&app.activation).record_stamp_mismatch();
            return responses::End::Failed(String::from("the engine answered from other weights"));
        }
        if is_first_line {
            app.record_first_byte(app.clock.now().duration_since(started_at));
            is_first_line = false;
        }
        if line.done {
            return responses::End::Complete;
        }
        response.push(line.text.as_bytes());
    }
}

/// Distinguishes a request that certainly did not run from one that may have.
#[must_use]
pub fn classify_start_error(error: &engine::EngineError) -> responses::End {
    let (reason, retry_after_ms) = match error {
        engine::EngineError::Refused { .. } => {
            (admission::RefusalReason::Full, ENGINE_FULL_RETRY_MS)
        }
        engine::EngineError::Unreachable {
            source: client::ClientError::Connect { .. },
        } => (admission::RefusalReason::EngineDown, ENGINE_DOWN_RETRY_MS),
        _ => return responses::End::Failed(error.to_string()),
    };
    responses::End::Refused(admission::Refusal {
        reason,
        revoked: true,
        retry_after_ms,
    })
}
