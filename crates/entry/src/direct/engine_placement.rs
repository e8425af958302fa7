//! Selects the engine that gets a request: by what its agent grants, or by a probe where it is not
//! known whether the engine responds.

use std::sync::{self, atomic};

use pimentohook_core::{engine, engine_contact::Access, upstream_notice};
use rand::RngExt as _;

use super::{app, permits, placement, slot, weights_versions};

/// Maximum number of agents that are asked for a slot for one request, one after the other.
const SLOT_REQUESTS_MAX: usize = 10;
/// Like [`SLOT_REQUESTS_MAX`], for a request that has already missed its goal.
const SLOT_REQUESTS_LATE_MAX: usize = 4;
/// The number of requests in flight that an engine of another failure domain is charged in the
/// ranking, because links between failure domains are expensive and low-bandwidth.
const CROSS_DOMAIN_COST: u32 = 2;

/// Selects an engine that serves the model and has a slot for the request.
///
/// # Errors
///
/// Returns a [`placement::Denial`] if no engine can take the request now.
pub async fn choose(
    app: &sync::Arc<app::App>,
    request: &placement::PlacementRequest<'_>,
    profile: &engine::EngineProfile,
    model: &str,
    usable: &[&app::Candidate],
) -> Result<placement::Placement, placement::Denial> {
    let allowed = weights_versions::allowed(app, model);
    let serving = usable
        .iter()
        .filter(|candidate| allowed.allows(candidate.served_version(model)));
    let mut serving: Vec<&app::Candidate> = serving.copied().collect();
    if serving.is_empty() {
        return Err(placement::Denial::Nobody);
    }
    rank(app, &mut serving);
    let slot_requests_max = if request.spare_only {
        SLOT_REQUESTS_LATE_MAX
    } else {
        SLOT_REQUESTS_MAX
    };
    let mut denials = placement::PermitDenials::default();
    let mut slot_requests = 0;
    for candidate in &serving {
        if slot_requests == slot_requests_max {
            break;
        }
        match candidate.state.contact.access(app.now_ms(), false) {
            Access::Closed => continue,
            Access::Probe => {
                if let Some(placement) =
                    probe(app, request, candidate, model, false, &mut denials).await
                {
                    return Ok(placement);
                }
                continue;
            }
            Access::Agent | Access::Share => {}
        }
        if !denials.acquire(app, candidate).await {
            continue;
        }
        slot_requests += 1;
        let slot_request = slot::Request {
            placement: request,
            profile,
            model,
            version_min: allowed.version_min,
            start_within: allowed.start_within(app, model, candidate.served_version(model)),
        };
        if slot::request(app, &slot_request, candidate).await {
            if let Some(placement) = engine_placement(app, request, candidate, model, None) {
                return Ok(placement);
            }
        } else if may_wait_unwatched(app, candidate, model)
            // Its agent may just have turned out to be gone, and a permit is held already.
            && let Some(probe) = mark_probe(app, candidate, false)
            && let Some(placement) = engine_placement(app, request, candidate, model, Some(probe))
        {
            return Ok(placement);
        }
        permits::give_back(app, &candidate.upstream.instance);
    }
    // Only if nobody else takes the request, because it may wait there in vain.
    for candidate in &serving {
        let may_probe = request.may_probe;
        let access = candidate.state.contact.access(app.now_ms(), may_probe);
        if access != Access::Probe {
            continue;
        }
        if let Some(placement) =
            probe(app, request, candidate, model, may_probe, &mut denials).await
        {
            return Ok(placement);
        }
    }
    match denials.denial() {
        Some(denial) if slot_requests == 0 => Err(denial),
        _ => Err(placement::Denial::Full),
    }
}

/// Sorts engines by how well they suit a request, the best first.
fn rank(app: &app::App, serving: &mut [&app::Candidate]) {
    let now = app.clock.now();
    let now_ms = app.now_ms();
    let rank = |candidate: &&app::Candidate| {
        let may_stand_still = candidate.state.contact.may_stand_still();
        let standing = app.upstream_notices.standing(&candidate.upstream, now);
        let is_hinted = standing == upstream_notice::Standing::HintedLeaving;
        let is_refusing = candidate
            .state
            .refusing_until_ms
            .load(atomic::Ordering::Relaxed)
            > now_ms;
        let is_ejected = candidate.state.stats.is_ejected(now_ms);
        let in_flight = candidate.state.in_flight.load(atomic::Ordering::Relaxed);
        let is_cross_domain = candidate.upstream.failure_domain != app.settings.failure_domain;
        let cost = in_flight + u32::from(is_cross_domain) * CROSS_DOMAIN_COST;
        let random = rand::rng().random::<u32>();
        (
            may_stand_still,
            is_ejected,
            is_hinted,
            is_refusing,
            cost,
            random,
        )
    };
    serving.sort_by_cached_key(rank);
}

/// Returns the placement of a request at an engine, unless what was waited for took so long that the
/// engine may not take it any more.
fn engine_placement(
    app: &app::App,
    request: &placement::PlacementRequest<'_>,
    candidate: &app::Candidate,
    model: &str,
    probe: Option<placement::ProbeGuard>,
) -> Option<placement::Placement> {
    let served = candidate.served_version(model);
    let allowed = weights_versions::allowed(app, model);
    let weights = weights_versions::SelectedWeights::new(app, model, served, allowed);
    let placement = placement::Placement {
        candidate: candidate.clone(),
        weights: Some(weights),
        probe: probe.map(sync::Arc::new),
    };
    let is_allowed = !placement.is_withdrawn()
        && placement::is_usable(app, candidate, request)
        && placement::is_still_ready(app, request.service, candidate);
    is_allowed.then_some(placement)
}

/// Returns whether a request may wait in the queue of an engine that nobody watches, and still
/// starts before the time of the engine's weights is over.
fn may_wait_unwatched(app: &app::App, candidate: &app::Candidate, model: &str) -> bool {
    let allowed = weights_versions::allowed(app, model);
    let start_within = allowed.start_within(app, model, candidate.served_version(model));
    slot::may_wait_unwatched(start_within)
}

/// Lets a request probe an engine and returns its placement there; `None` if it may not.
async fn probe(
    app: &app::App,
    request: &placement::PlacementRequest<'_>,
    candidate: &app::Candidate,
    model: &str,
    may_probe: bool,
    denials: &mut placement::PermitDenials,
) -> Option<placement::Placement> {
    if !may_wait_unwatched(app, candidate, model) {
        return None;
    }
    let probe = begin_probe(app, candidate, may_probe, denials).await?;
    let placement = engine_placement(app, request, candidate, model, Some(probe));
    if placement.is_none() {
        permits::give_back(app, &candidate.upstream.instance);
    }
    placement
}

/// Lets a request probe an engine of which it is not known whether it responds, unless another one
/// does so or there is no permit.
async fn begin_probe(
    app: &app::App,
    candidate: &app::Candidate,
    may_probe: bool,
    denials: &mut placement::PermitDenials,
) -> Option<placement::ProbeGuard> {
    // A probe that a denied permit prevents does not count as one.
    if !denials.acquire(app, candidate).await {
        return None;
    }
    let probe = mark_probe(app, candidate, may_probe);
    if probe.is_none() {
        permits::give_back(app, &candidate.upstream.instance);
    }
    probe
}

/// Marks a request as the one that probes an engine; returns `None` if none is due.
fn mark_probe(
    app: &app::App,
    candidate: &app::Candidate,
    may_probe: bool,
) -> Option<placement::ProbeGuard> {
    let (contact, now_ms) = (&candidate.state.contact, app.now_ms());
    let is_due = contact.access(now_ms, may_probe) == Access::Probe;
    if !is_due || !contact.try_begin_probe(now_ms) {
        return None;
    }
    let instance = &candidate.upstream.instance;
    log::info!("placement: event=probe instance={instance}");
    app.count("probed");
    Some(placement::ProbeGuard::new(candidate.state.clone()))
}
