//! Selects the engine that gets a request: by what its agent grants, or where it is not known whether
//! the engine responds, by a probe, or by a question if its VM may stand still.

use std::sync::{self, atomic};

use pimentohook_core::{ask_order, engine, engine_contact::Access, rank, upstream_notice};
use rand::RngExt as _;

use super::{app, engine_question, permits, placement, slot, weights_versions};

/// Maximum number of agents that are asked for a slot for a request that has already missed its goal.
const SLOT_REQUESTS_LATE_MAX: usize = 4;

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
    let serving: Vec<&app::Candidate> = serving.copied().collect();
    if serving.is_empty() {
        return Err(placement::Denial::Nobody);
    }
    let slot_requests_max = if request.spare_only {
        SLOT_REQUESTS_LATE_MAX
    } else {
        ask_order::asks_max(serving.len())
    };
    let serving = in_ask_order(app, &serving, request.priority, slot_requests_max);
    let mut search = Search {
        app,
        request,
        profile,
        model,
        allowed,
        denials: permits::PermitDenials::default(),
        slot_requests_max,
        slot_request_count: 0,
        is_over_share: false,
    };
    if let Some(placement) = search.ask_agents(&serving).await {
        return Ok(placement);
    }
    // Only if nobody else takes the request, because it may wait there in vain.
    if let Some(placement) = search.probe_any(&serving).await {
        return Ok(placement);
    }
    Err(search.denial())
}

/// The search for an engine for one request.
struct Search<'a> {
    app: &'a sync::Arc<app::App>,
    request: &'a placement::PlacementRequest<'a>,
    profile: &'a engine::EngineProfile,
    model: &'a str,
    /// The versions of the weights that the request may run on.
    allowed: weights_versions::AllowedVersions,
    denials: permits::PermitDenials,
    /// The maximum number of agents that are asked for a slot.
    slot_requests_max: usize,
    /// The number of agents that were asked for a slot.
    slot_request_count: usize,
    /// Whether an agent has refused the request because its organisation has had more than its share.
    is_over_share: bool,
}

impl Search<'_> {
    /// Requests slots from the agents beside these engines, one after the other.
    async fn ask_agents(&mut self, serving: &[&app::Candidate]) -> Option<placement::Placement> {
        for candidate in serving {
            if self.slot_request_count == self.slot_requests_max {
                return None;
            }
            let access = candidate.state.contact.access(self.app.now_ms(), false);
            let placement = match access {
                Access::Closed => None,
                Access::Probe => self.probe(candidate, false).await,
                Access::Agent | Access::Share => self.ask_agent(candidate).await,
            };
            if placement.is_some() {
                return placement;
            }
        }
        None
    }

    /// Requests a slot from the agent beside an engine.
    async fn ask_agent(&mut self, candidate: &app::Candidate) -> Option<placement::Placement> {
        if !self.denials.acquire(self.app, candidate).await {
            return None;
        }
        self.slot_request_count += 1;
        let allowed = &self.allowed;
        let served = candidate.served_version(self.model);
        let slot_request = slot::Request {
            placement: self.request,
            profile: self.profile,
            model: self.model,
            version_min: allowed.version_min,
            is_asked_again: self.slot_request_count > 1 || !self.request.excluded.is_empty(),
            grace_remaining: allowed.grace_remaining(self.app, self.model, served),
        };
        let answer = slot::request(self.app, &slot_request, candidate).await;
        self.is_over_share |= answer == slot::Answer::OverShare;
        let placement = if answer == slot::Answer::Granted {
            self.placement(candidate, None)
        } else {
            // Its agent may just have turned out to be gone, and a permit is held already.
            self.may_wait_unwatched(candidate)
                .then(|| mark_probe(self.app, candidate, false))
                .flatten()
                .and_then(|probe| self.placement(candidate, Some(probe)))
        };
        if placement.is_none() {
            permits::give_back(self.app, &candidate.upstream.instance);
        }
        placement
    }

    /// Lets the request probe one of these engines.
    async fn probe_any(&mut self, serving: &[&app::Candidate]) -> Option<placement::Placement> {
        let may_probe = self.request.may_probe;
        let mut is_asked = false;
        for candidate in serving {
            let access = candidate.state.contact.access(self.app.now_ms(), may_probe);
            if access != Access::Probe {
                continue;
            }
            let placement = if !candidate.state.contact.may_stand_still() {
                self.probe(candidate, may_probe).await
            } else if is_asked {
                // A request waits for one such engine at most.
                None
            } else {
                is_asked = true;
                self.ask_engine(candidate).await
            };
            if placement.is_some() {
                return placement;
            }
        }
        None
    }

    /// Asks an engine whose VM may stand still, and uses it if it responds.
    async fn ask_engine(&mut self, candidate: &app::Candidate) -> Option<placement::Placement> {
        if self.may_wait_unwatched(candidate)
            && engine_question::responds(self.app, candidate).await
        {
            self.ask_agent(candidate).await
        } else {
            None
        }
    }

    /// Lets the request probe an engine and returns its placement there; `None` if it may not.
    async fn probe(
        &mut self,
        candidate: &app::Candidate,
        may_probe: bool,
    ) -> Option<placement::Placement> {
        if !self.may_wait_unwatched(candidate) {
            return None;
        }
        let probe = begin_probe(self.app, candidate, may_probe, &mut self.denials).await?;
        let placement = self.placement(candidate, Some(probe));
        if placement.is_none() {
            permits::give_back(self.app, &candidate.upstream.instance);
        }
        placement
    }

    /// Returns whether the request may wait in the queue of an engine that nobody watches, and still
    /// starts before the time of the engine's weights is over.
    fn may_wait_unwatched(&self, candidate: &app::Candidate) -> bool {
        let allowed = weights_versions::allowed(self.app, self.model);
        let served = candidate.served_version(self.model);
        let grace_remaining = allowed.grace_remaining(self.app, self.model, served);
        let instance = &candidate.upstream.instance;
        slot::may_wait_unwatched(self.app, self.profile, instance, grace_remaining)
    }

    fn placement(
        &self,
        candidate: &app::Candidate,
        probe: Option<placement::ProbeGuard>,
    ) -> Option<placement::Placement> {
        engine_placement(self.app, self.request, candidate, self.model, probe)
    }

    /// Returns why no engine takes the request.
    const fn denial(&self) -> placement::Denial {
        match self.denials.retry_after() {
            Some(retry_after) if self.slot_request_count == 0 => {
                placement::Denial::Limited { retry_after }
            }
            _ if self.is_over_share => placement::Denial::OverShare,
            _ => placement::Denial::Full,
        }
    }
}

/// Returns engines in the order in which their agents are asked for a slot.
fn in_ask_order<'a>(
    app: &app::App,
    serving: &[&'a app::Candidate],
    priority: Option<rank::Priority>,
    asks_max: usize,
) -> Vec<&'a app::Candidate> {
    let now = app.clock.now();
    let now_ms = app.now_ms();
    let describe = |candidate: &&app::Candidate| {
        let state = &candidate.state;
        let standing = app.upstream_notices.standing(&candidate.upstream, now);
        let is_refusing = state.refusing.is_refusing(priority, now_ms);
        let doubt = if state.contact.may_stand_still() {
            ask_order::Doubt::Still
        } else if state.stats.is_ejected(now_ms) {
            ask_order::Doubt::Failing
        } else if standing == upstream_notice::Standing::HintedLeaving {
            ask_order::Doubt::Leaving
        } else if is_refusing {
            ask_order::Doubt::Refusing
        } else {
            ask_order::Doubt::None
        };
        ask_order::Candidate {
            doubt,
            is_same_domain: candidate.upstream.failure_domain == app.settings.failure_domain,
            in_flight_count: state.in_flight.load(atomic::Ordering::Relaxed),
            draw: rand::rng().random(),
        }
    };
    let candidates: Vec<_> = serving.iter().map(describe).collect();
    let order = ask_order::order(&candidates, asks_max);
    order.into_iter().map(|index| serving[index]).collect()
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

/// Lets a request probe an engine of which it is not known whether it responds, unless another one
/// does so or there is no permit.
async fn begin_probe(
    app: &app::App,
    candidate: &app::Candidate,
    may_probe: bool,
    denials: &mut permits::PermitDenials,
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
    if !is_due || !slot::admits_cold(app, candidate) || !contact.try_begin_probe(now_ms) {
        return None;
    }
    let instance = &candidate.upstream.instance;
    log::info!("placement: event=probe instance={instance}");
    app.count("probed");
    Some(placement::ProbeGuard::new(candidate.state.clone()))
}
