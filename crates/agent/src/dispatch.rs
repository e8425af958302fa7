//! Requests: decided on, run, resumed, revoked and released.

use std::{sync, time};

use cadence::Counted as _;
use futures_util::StreamExt as _;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, StatusCode, body};
use pimentohook_core::{admission, clock::Clock as _, id};
use pimentohook_platform::engine;
use pimentohook_runtime::server;
use pimentohook_wire::{frames, messages};

use crate::{
    answers,
    app::{self, lock},
    settings,
};

const MESSAGE_MAX_BYTES: usize = 4 << 20;
const PLAIN_ANSWER_MAX_BYTES: usize = 16 << 20;
const ENGINE_FULL_RETRY_MS: u64 = 200;

/// Handles a dispatch; the response is a stream of frames.
pub async fn dispatch(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::DispatchRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let request_id = request.dispatch.request_id.clone();
    let gate = app.gate();
    let now = app.clock.now();
    let mut table = lock(&app.table);
    let admission = table.admit(now, &request.dispatch, &gate);
    match admission {
        admission::Admission::Refused(refusal) => {
            drop(table);
            let _ = app.metrics.count("refused", 1);
            log::debug!("dispatch: refused {request_id}, {}.", refusal.reason);
            refusal_response(refusal)
        }
        admission::Admission::Attached => {
            drop(table);
            answer_response(&app, &request_id, 0)
        }
        admission::Admission::Admitted => {
            // Opened under the table's lock, so whoever attaches next finds the answer.
            let answer = app.answers.open(&request_id);
            drop(table);
            let _ = app.metrics.count("admitted", 1);
            let response = stream_response(&answer, 0);
            tokio::spawn(run(app, request, answer));
            response
        }
    }
}

/// Handles a resumption; the response is a stream of frames.
pub async fn resume(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::ResumeRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    if request.incarnation != lock(&app.table).incarnation() {
        return server::respond_text(StatusCode::GONE, "this agent has restarted since");
    }
    let offset = usize::try_from(request.offset_bytes).unwrap_or(usize::MAX);
    answer_response(&app, &request.request_id, offset)
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
    let receipt = table.revoke(
        app.clock.now(),
        &request.request_id,
        request.through,
        request.view_stamp,
    );
    drop(table);
    server::respond_message(&receipt)
}

/// Handles the news that nobody waits for an answer any more.
pub async fn release(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: messages::ReleaseRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    if let Some(answer) = app.answers.get(&request.request_id)
        && request.delivered
    {
        answer.record_fetched();
    }
    app.answers.evict(app.clock.now());
    server::respond_message(&())
}

fn refusal_response(refusal: admission::Refusal) -> Response<Body> {
    let frame = frames::Frame::Admission(admission::Admission::Refused(refusal));
    match frame.to_bytes() {
        Ok(bytes) => server::respond(StatusCode::OK, pimentohook_wire::CONTENT_TYPE, bytes),
        Err(error) => server::respond_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn answer_response(app: &app::App, request_id: &id::RequestId, offset: usize) -> Response<Body> {
    match app.answers.get(request_id) {
        Some(answer) => stream_response(&answer, offset),
        None => server::respond_text(StatusCode::GONE, "the answer is no longer kept"),
    }
}

fn stream_response(answer: &sync::Arc<answers::Answer>, offset: usize) -> Response<Body> {
    let frames = answers::read(answer, offset).map(|frame| {
        let bytes = frame.to_bytes().map_err(std::io::Error::other)?;
        Ok::<_, std::io::Error>(body::Frame::data(bytes))
    });
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// Runs an admitted request to its end.
async fn run(
    app: sync::Arc<app::App>,
    request: messages::DispatchRequest,
    answer: sync::Arc<answers::Answer>,
) {
    let request_id = request.dispatch.request_id.clone();
    let remaining = time::Duration::from_millis(request.dispatch.remaining_ms);
    let idempotent = request.dispatch.idempotent;
    let work = work(&app, request, &answer);
    let end = tokio::select! {
        end = work => end,
        () = tokio::time::sleep(remaining) => {
            answers::End::Failed(String::from("the deadline has passed"))
        }
        () = wait_orphaned(&app, &answer), if idempotent => {
            answers::End::Failed(String::from("nobody waits for the answer"))
        }
    };
    let now = app.clock.now();
    let mut table = lock(&app.table);
    if matches!(end, answers::End::Refused(_)) {
        table.abandon(now, &request_id);
        app.answers.forget(&request_id);
    } else {
        table.finish(now, &request_id);
    }
    drop(table);
    if let answers::End::Failed(reason) = &end {
        log::warn!("dispatch: {request_id} failed, {reason}.");
    }
    answer.end(now, end);
    app.answers.evict(now);
}

const ORPHAN_POLL: time::Duration = time::Duration::from_millis(100);

/// Waits until the callers of an answer have been gone for too long.
async fn wait_orphaned(app: &app::App, answer: &answers::Answer) {
    while !answer.is_orphaned(app.clock.now(), app.settings.orphan_max) {
        tokio::time::sleep(ORPHAN_POLL).await;
    }
}

async fn work(
    app: &app::App,
    request: messages::DispatchRequest,
    answer: &answers::Answer,
) -> answers::End {
    match app.settings.kind {
        settings::UpstreamKind::Engine => generate(app, request, answer).await,
        settings::UpstreamKind::Plain => call_plain(app, request, answer).await,
    }
}

async fn call_plain(
    app: &app::App,
    request: messages::DispatchRequest,
    answer: &answers::Answer,
) -> answers::End {
    answer.start();
    let request_id = &request.dispatch.request_id;
    let call = app
        .engine
        .call(request_id, request.body, PLAIN_ANSWER_MAX_BYTES);
    match call.await {
        Ok(body) => {
            answer.push(&body);
            answers::End::Whole
        }
        Err(error) => answers::End::Failed(error.to_string()),
    }
}

async fn generate(
    app: &app::App,
    request: messages::DispatchRequest,
    answer: &answers::Answer,
) -> answers::End {
    let begun_at = app.clock.now();
    let generate = engine::GenerateRequest {
        request_id: request.dispatch.request_id.clone(),
        priority: request.priority,
        prompt: String::from_utf8_lossy(&request.body).into_owned(),
    };
    let mut lines = match app.engine.generate(&generate).await {
        Ok(lines) => lines,
        Err(error) => return not_started(&error),
    };
    answer.start();
    let mut first = true;
    loop {
        let line = match lines.try_next().await {
            Ok(line) => line,
            Err(error) => return answers::End::Failed(error.to_string()),
        };
        if Some(line.weights) != request.dispatch.weights {
            lock(&app.activation).record_stamp_mismatch();
            return answers::End::Failed(String::from("the engine answered from other weights"));
        }
        if first {
            app.record_first_byte(app.clock.now().duration_since(begun_at));
            first = false;
        }
        if line.done {
            return answers::End::Whole;
        }
        answer.push(line.text.as_bytes());
    }
}

/// Tells a request that surely never ran from one that may have.
fn not_started(error: &engine::EngineError) -> answers::End {
    let surely = match error {
        engine::EngineError::Refused { .. } => true,
        engine::EngineError::Unreachable { source } => {
            matches!(
                source,
                pimentohook_runtime::client::ClientError::Connect { .. }
            )
        }
        _ => false,
    };
    if !surely {
        return answers::End::Failed(error.to_string());
    }
    answers::End::Refused(admission::Refusal {
        reason: admission::RefusalReason::Full,
        revoked: true,
        retry_after_ms: ENGINE_FULL_RETRY_MS,
    })
}
