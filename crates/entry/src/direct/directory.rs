//! The directory, which tells callers where to connect, and the readiness check.

use std::{net, sync};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_platform::directory;
use pimentohook_runtime::server;

use super::app;

/// Maximum number of addresses in a response.
const ADDRESSES_MAX: usize = 64;

/// Handles a caller's request for the addresses of entries.
pub async fn resolve(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    if call.uri.path() != directory::RESOLVE_PATH {
        return server::respond_text(StatusCode::NOT_FOUND, "no such path");
    }
    let request = directory::ResolveRequest::from_uri(&call.uri);
    let addresses = addresses(&app, &request);
    if addresses.is_empty() {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "no entry is known");
    }
    let response = directory::ResolveResponse::new(addresses, app.settings.directory_ttl);
    server::respond_json(StatusCode::OK, &response)
}

/// Returns the addresses of the entries that accept requests.
///
/// If at least two of them are in the caller's failure domain, only those are returned. A single
/// one would leave the caller without a fallback.
fn addresses(app: &app::App, request: &directory::ResolveRequest) -> Vec<net::SocketAddr> {
    let peers = app.peers.load();
    let others = peers.values().map(|peer| peer.state.clone());
    let mut ready: Vec<_> = others.filter(|state| state.ready).collect();
    if app.is_ready() || ready.is_empty() {
        ready.push(app.peer_state());
    }
    let is_local = |state: &&_| is_local(state, request);
    let local: Vec<_> = ready
        .iter()
        .filter(is_local)
        .map(|state| state.callers)
        .collect();
    let mut addresses = if local.len() > 1 {
        local
    } else {
        ready.iter().map(|state| state.callers).collect()
    };
    addresses.truncate(ADDRESSES_MAX);
    addresses
}

fn is_local(
    state: &pimentohook_wire::direct::PeerState,
    request: &directory::ResolveRequest,
) -> bool {
    state.failure_domain == request.failure_domain
}

/// Handles the readiness check.
pub async fn ready(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    if call.uri.path() != directory::READY_PATH {
        return server::respond_text(StatusCode::NOT_FOUND, "no such path");
    }
    if app.is_ready() {
        return server::respond_text(StatusCode::OK, "ready");
    }
    server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
}
