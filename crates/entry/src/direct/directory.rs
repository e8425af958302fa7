//! Where callers connect: the directory, and whether this entry is ready.

use std::{net, sync};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_platform::directory;
use pimentohook_runtime::server;

use super::app;

/// Most addresses in an answer.
const ADDRESSES_MAX: usize = 64;

/// Handles a caller's question where to connect.
pub async fn resolve(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    if call.uri.path() != directory::RESOLVE_PATH {
        return server::respond_text(StatusCode::NOT_FOUND, "no such path");
    }
    let question = directory::ResolveRequest::from_uri(&call.uri);
    let addresses = addresses(&app, &question);
    if addresses.is_empty() {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "no entry is known");
    }
    let answer = directory::ResolveResponse::new(addresses, app.settings.keep);
    server::respond_json(StatusCode::OK, &answer)
}

/// Returns the entries that take requests, those of the caller's failure domain if there are any
/// two, since one alone would leave it nowhere to go.
fn addresses(app: &app::App, question: &directory::ResolveRequest) -> Vec<net::SocketAddr> {
    let peers = app.peers.load();
    let others = peers.values().map(|peer| peer.state.clone());
    let mut ready: Vec<_> = others.filter(|state| state.ready).collect();
    if app.is_ready() || ready.is_empty() {
        ready.push(app.peer_state());
    }
    let near = |state: &&_| is_near(state, question);
    let near: Vec<_> = ready
        .iter()
        .filter(near)
        .map(|state| state.callers)
        .collect();
    let mut addresses = if near.len() > 1 {
        near
    } else {
        ready.iter().map(|state| state.callers).collect()
    };
    addresses.truncate(ADDRESSES_MAX);
    addresses
}

fn is_near(
    state: &pimentohook_wire::direct::PeerState,
    question: &directory::ResolveRequest,
) -> bool {
    state.failure_domain == question.failure_domain
}

/// Handles the question whether this entry takes requests.
pub async fn ready(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    if call.uri.path() != directory::READY_PATH {
        return server::respond_text(StatusCode::NOT_FOUND, "no such path");
    }
    if app.is_ready() {
        return server::respond_text(StatusCode::OK, "ready");
    }
    server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}
