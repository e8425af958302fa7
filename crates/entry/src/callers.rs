//! Handles callers' requests: the list of entries, new requests, and resumed responses.

use std::sync;

use cadence::Counted as _;
use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_core::{clock::Clock as _, id, report::commands::Outcome as RequestOutcome};
use pimentohook_runtime::server;
use pimentohook_wire::public;
use rand::seq::SliceRandom as _;

use crate::{app, caller_request, caller_response, dispatch};

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
        return caller_response::not_run("this entry stops; use another", SHUTDOWN_RETRY_MS);
    }
    let mut request = match caller_request::parse(&app, &call, arrived_at) {
        Ok(request) => request,
        Err(error @ caller_request::CallerError::UnknownService { .. }) => {
            return caller_response::error_response(
                StatusCode::NOT_FOUND,
                &error.to_string(),
                None,
                None,
            );
        }
        Err(error) => {
            return caller_response::error_response(
                StatusCode::BAD_REQUEST,
                &error.to_string(),
                None,
                None,
            );
        }
    };
    let body_max = usize::try_from(app.settings.body_max.get()).unwrap_or(usize::MAX);
    request.body = match call.read_body(body_max).await {
        Ok(body) => body,
        Err(error) => {
            return caller_response::error_response(error.status(), &error.to_string(), None, None);
        }
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
        return caller_response::error_response(StatusCode::BAD_REQUEST, &allowed, None, None);
    };
    dispatch::resume(app, request_id, vm, incarnation, offset).await
}
