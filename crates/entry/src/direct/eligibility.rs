//! Which upstreams of a service may get a request at all.

use std::sync::atomic;

use pimentohook_core::{evacuation, id, upstreams};

use super::{app, placement};

/// Returns why evacuations keep a request from all ready upstreams in its regions; `None` if they
/// don't.
pub(super) fn closed(
    app: &app::App,
    request: &placement::PlacementRequest<'_>,
    listed: &[app::Candidate],
) -> Option<evacuation::Closed> {
    let allowed = listed.iter();
    let allowed = allowed.filter(|candidate| is_in_region(app, candidate, request));
    let upstreams = allowed.map(|candidate| &candidate.upstream);
    let ready = upstreams.filter(|upstream| upstream.state == upstreams::State::Ready);
    let domains = ready.map(|upstream| upstream.failure_domain.as_str());
    app.evacuations.load().closed(domains)
}

/// Returns whether an upstream may get a request: it is open, has not failed the request before, and
/// wants requests.
pub(super) fn is_usable(
    app: &app::App,
    candidate: &app::Candidate,
    request: &placement::PlacementRequest<'_>,
) -> bool {
    is_open(app, candidate, request)
        && !request.excluded.contains(&candidate.upstream.instance)
        && app
            .upstream_notices
            .allows_requests(&candidate.upstream, app.clock.now())
}

/// Returns whether a request may run in the region of an upstream.
fn is_in_region(
    app: &app::App,
    candidate: &app::Candidate,
    request: &placement::PlacementRequest<'_>,
) -> bool {
    let regions = &app.settings.regions;
    regions.allows(request.regions, &candidate.upstream.failure_domain)
}

/// Returns whether an upstream is in an allowed region, listed as ready, still has its address and is
/// not evacuated.
pub(super) fn is_open(
    app: &app::App,
    candidate: &app::Candidate,
    request: &placement::PlacementRequest<'_>,
) -> bool {
    is_in_region(app, candidate, request)
        && candidate.upstream.state == upstreams::State::Ready
        && app
            .evacuations
            .load()
            .allows(&candidate.upstream.failure_domain)
        && !candidate.state.is_replaced.load(atomic::Ordering::Relaxed)
}

/// Returns whether an upstream is listed as ready now, after it was selected.
pub(super) fn is_still_ready(
    app: &app::App,
    service: &id::ServiceName,
    selected: &app::Candidate,
) -> bool {
    let all = app.candidates.load();
    let listed = all.get(service).into_iter().flatten();
    let mut same = listed.filter(|listed| listed.upstream.instance == selected.upstream.instance);
    same.any(|listed| listed.upstream.state == upstreams::State::Ready)
}
