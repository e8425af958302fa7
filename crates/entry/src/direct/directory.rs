//! The directory, which tells callers where to connect, and the readiness check.

use std::{net, sync, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_core::leaving;
use pimentohook_platform::directory;
use pimentohook_runtime::server;
use pimentohook_wire::direct;

use super::{app, leaving_end::named_entries};

/// Maximum number of addresses in a response.
const ADDRESSES_MAX: usize = 64;

/// Handles a caller's request for the addresses of entries.
pub async fn resolve(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    if call.uri.path() != directory::RESOLVE_PATH {
        return server::respond_text(StatusCode::NOT_FOUND, "no such path");
    }
    let request = directory::ResolveRequest::from_uri(&call.uri);
    let (addresses, ttl) = addresses(&app, &request);
    if addresses.is_empty() {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "no entry is known");
    }
    let response = directory::ResolveResponse::new(addresses, ttl);
    server::respond_json(StatusCode::OK, &response)
}

/// Returns the addresses of the entries that accept requests and are best for the caller, and how long
/// the caller may use them.
fn addresses(
    app: &app::App,
    request: &directory::ResolveRequest,
) -> (Vec<net::SocketAddr>, time::Duration) {
    let peers = app.peers.load();
    let others = peers.values().map(|peer| peer.state.clone());
    let mut ready: Vec<_> = others.filter(|state| state.ready).collect();
    if app.is_ready() {
        ready.push(app.peer_state());
    }
    let mut ttl = app.settings.directory_ttl;
    if app.settings.leave_policy == leaving::Policy::ByLikelyTime {
        (ready, ttl) = named_entries(app, &ready);
    }
    if ready.is_empty() {
        ready.push(app.peer_state());
    }
    let nearest = nearest(app, request, &ready).into_iter();
    let addresses = nearest.map(|state| state.callers).take(ADDRESSES_MAX);
    (addresses.collect(), ttl)
}

/// Returns the entries of the caller's failure domain if there are at least two, as a single one would
/// leave the caller without a fallback; else all, but where requests may not run in every region,
/// those of the caller's region, if there are any.
fn nearest<'a>(
    app: &app::App,
    request: &directory::ResolveRequest,
    ready: &'a [direct::PeerState],
) -> Vec<&'a direct::PeerState> {
    let is_local = |state: &&direct::PeerState| state.failure_domain == request.failure_domain;
    let local: Vec<_> = ready.iter().filter(is_local).collect();
    if local.len() > 1 {
        return local;
    }
    let host = request.host.to_ascii_lowercase();
    let table = app.table.load();
    let is_restricted = table
        .as_ref()
        .is_some_and(|table| table.restricts_regions(&host));
    if is_restricted {
        let region = caller_region(app, request);
        let is_in_region = |state: &&direct::PeerState| region == Some(state.region.as_str());
        let in_region: Vec<_> = ready.iter().filter(is_in_region).collect();
        if !in_region.is_empty() {
            return in_region;
        }
    }
    ready.iter().collect()
}

/// Returns the region of a caller that named it, or its failure domain.
fn caller_region<'a>(app: &'a app::App, request: &'a directory::ResolveRequest) -> Option<&'a str> {
    if request.region.is_empty() {
        app.settings.regions.region_of(&request.failure_domain)
    } else {
        Some(&request.region)
    }
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
