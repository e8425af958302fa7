//! Selects the upstream that gets a request.
//!
//! Upstreams of a plain service are selected by their score. For an engine, the entry requests a
//! slot from the agent beside it, because only the agent sees the load from all entries. While the
//! agent doesn't respond, an entry limits itself to its share of the engine's slots, if the engine
//! itself responds.

use std::{sync, sync::atomic, time};

use pimentohook_core::{
    engine,
    engine_contact::Access,
    id, rolling_update,
    routing::{choice, score},
    upstreams,
};
use rand::RngExt as _;

use super::{app, permits, slot};

/// Maximum number of agents that are asked for a slot for one request, one after the other.
const SLOT_REQUESTS_MAX: usize = 10;
/// Like [`SLOT_REQUESTS_MAX`], for a request that has already missed its goal.
const SLOT_REQUESTS_LATE_MAX: usize = 4;
/// How much likelier than others a limited upstream is to be tried first, so that it is used up to
/// its limit.
const LIMITED_PREFERENCE: usize = 2;
/// Maximum number of coordinators that deny a permit for one request, one after the other. After
/// that, limited upstreams are passed over.
const PERMIT_DENIALS_MAX: usize = 3;
/// The number of requests in flight that an engine of another failure domain is charged in the
/// ranking, because links between failure domains are expensive and low-bandwidth.
const CROSS_DOMAIN_COST: u32 = 2;

/// What a request requires of an upstream.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a id::ServiceName,
    /// The profile of the service's engines; `None` for a plain service.
    pub profile: Option<&'a engine::EngineProfile>,
    /// The requested model.
    pub model: Option<&'a str>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The estimated number of tokens in the response.
    pub answer_tokens: u32,
    /// The longest acceptable time from now to the first token.
    pub first_token_max: time::Duration,
    /// Whether only spare capacity may be used, because the request has already missed its goal.
    pub spare_only: bool,
    /// Whether it may be sent to an engine of which nothing is known, because it may be sent to
    /// another one too.
    pub may_probe: bool,
    /// Instances that have already failed this request.
    pub excluded: &'a [String],
}

/// A selected upstream.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The upstream.
    pub candidate: app::Candidate,
    /// The version of the weights that the upstream must serve; `None` if any version will do.
    pub weights_version: Option<u64>,
    /// The mark of a request that probes whether the upstream responds.
    pub probe: Option<sync::Arc<ProbeGuard>>,
}

/// Marks that a request probes an upstream until the guard is dropped.
#[derive(Debug)]
pub struct ProbeGuard(sync::Arc<app::UpstreamState>);

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.0.contact.end_probe();
    }
}

/// Why no upstream was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No usable upstream of the service is known.
    Nobody,
    /// All upstreams of the service are at capacity.
    Full,
    /// All upstreams of the service that could take the request get as many as their limits allow.
    Limited {
        /// When one of them may take another request.
        retry_after: time::Duration,
    },
}

/// Counts a request as in flight at an upstream until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard(sync::Arc<app::UpstreamState>);

impl InFlightGuard {
    /// Counts a request at the upstream.
    #[must_use]
    pub fn new(state: sync::Arc<app::UpstreamState>, now_ms: u64) -> Self {
        state.contact.record_send(now_ms);
        state.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        state.stats.record_start();
        Self(state)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.contact.record_end();
        self.0.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
        self.0.stats.record_end();
    }
}

/// Selects an upstream for a request.
///
/// # Errors
///
/// Returns a [`Denial`] if no upstream can take the request now.
pub async fn choose(
    app: &sync::Arc<app::App>,
    request: &PlacementRequest<'_>,
) -> Result<Placement, Denial> {
    let all = app.candidates.load_full();
    let Some(listed) = all.get(request.service) else {
        return Err(Denial::Nobody);
    };
    let usable = |candidate: &&app::Candidate| is_usable(candidate, request);
    let usable: Vec<&app::Candidate> = listed.iter().filter(usable).collect();
    match (request.profile, request.model) {
        (Some(profile), Some(model)) => choose_engine(app, request, profile, model, &usable).await,
        _ => choose_plain(app, &usable).await,
    }
}

fn is_usable(candidate: &app::Candidate, request: &PlacementRequest<'_>) -> bool {
    candidate.upstream.state == upstreams::State::Ready
        && !candidate.state.is_replaced.load(atomic::Ordering::Relaxed)
        && !request.excluded.contains(&candidate.upstream.instance)
}

async fn choose_plain(app: &app::App, usable: &[&app::Candidate]) -> Result<Placement, Denial> {
    let mut shuffled = usable.to_vec();
    rand::seq::SliceRandom::shuffle(shuffled.as_mut_slice(), &mut rand::rng());
    let is_limited = |candidate: &&app::Candidate| {
        let instance = &candidate.upstream.instance;
        app.upstream_limits.limited(instance).is_some()
    };
    let (limited, unlimited): (Vec<_>, Vec<_>) = shuffled.into_iter().partition(is_limited);
    let mut denial = Denial::Nobody;
    if unlimited.is_empty() || is_limited_first(limited.len(), usable.len()) {
        let skips_ejected = !unlimited.is_empty();
        match choose_limited(app, &limited, skips_ejected).await {
            Ok(placement) => return Ok(placement),
            Err(denied) => denial = denied,
        }
    }
    let stats: Vec<&score::UpstreamStats> = unlimited
        .iter()
        .map(|candidate| &candidate.state.stats)
        .collect();
    let policy = choice::Policy::LeastScore;
    let index = choice::choose(policy, &stats, app.now_ms(), 0, &mut rand::rng());
    let candidate = index.map(|index| unlimited[index].clone());
    candidate
        .map(|candidate| Placement {
            candidate,
            weights_version: None,
            probe: None,
        })
        .ok_or(denial)
}

/// Draws whether a request is offered to the limited upstreams before the others.
///
/// Without a preference, an upstream would get only a part of what its limit allows whenever
/// requests come unevenly; with too strong a one, an upstream in need would get requests that
/// others have room for.
fn is_limited_first(limited_count: usize, usable_count: usize) -> bool {
    rand::rng().random_range(0..usable_count.max(1)) < limited_count * LIMITED_PREFERENCE
}

/// Selects a limited upstream for which there is a permit.
async fn choose_limited(
    app: &app::App,
    limited: &[&app::Candidate],
    skips_ejected: bool,
) -> Result<Placement, Denial> {
    let now_ms = app.now_ms();
    let is_tried =
        |candidate: &&&app::Candidate| !(skips_ejected && candidate.state.stats.is_ejected(now_ms));
    let mut denials = PermitDenials::default();
    for candidate in limited.iter().filter(is_tried) {
        if denials.acquire(app, candidate).await {
            return Ok(Placement {
                candidate: app::Candidate::clone(candidate),
                weights_version: None,
                probe: None,
            });
        }
    }
    Err(denials.denial().unwrap_or(Denial::Nobody))
}

/// The permits that were denied for one request.
#[derive(Debug, Default)]
struct PermitDenials {
    /// The number of coordinators that were asked.
    asked_count: usize,
    /// When there may be a permit; `None` if none was denied.
    retry_after: Option<time::Duration>,
}

impl PermitDenials {
    /// Acquires a permit for an upstream; returns false if it is denied.
    async fn acquire(&mut self, app: &app::App, candidate: &app::Candidate) -> bool {
        let instance = &candidate.upstream.instance;
        let is_limited = app.upstream_limits.limited(instance).is_some();
        if is_limited && self.asked_count == PERMIT_DENIALS_MAX {
            return false;
        }
        let Err(denied) = permits::acquire(app, instance).await else {
            return true;
        };
        self.asked_count += usize::from(denied.is_asked);
        let earliest = self.retry_after.unwrap_or(denied.retry_after);
        self.retry_after = Some(earliest.min(denied.retry_after));
        false
    }

    const fn denial(&self) -> Option<Denial> {
        match self.retry_after {
            Some(retry_after) => Some(Denial::Limited { retry_after }),
            None => None,
        }
    }
}

/// The versions of the weights that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AllowedVersions {
    /// The oldest allowed version; `None` if every version is allowed.
    version_min: Option<u64>,
}

fn allowed_versions(app: &app::App, model: &str) -> AllowedVersions {
    let announced = app.announced.load();
    let previous_version_lifetime =
        rolling_update::previous_version_lifetime(app.settings.weights_grace);
    let now = app.clock.now();
    let is_required = |announced: &&app::AnnouncedVersion| {
        now.duration_since(announced.learned_at) >= previous_version_lifetime
    };
    let versions = announced.get(model).map_or(&[][..], Vec::as_slice);
    AllowedVersions {
        version_min: versions
            .iter()
            .filter(is_required)
            .map(|announced| announced.version)
            .max(),
    }
}

async fn choose_engine(
    app: &sync::Arc<app::App>,
    request: &PlacementRequest<'_>,
    profile: &engine::EngineProfile,
    model: &str,
    usable: &[&app::Candidate],
) -> Result<Placement, Denial> {
    let allowed = allowed_versions(app, model);
    let serves = |candidate: &&&app::Candidate| {
        let version = candidate.served_version(model);
        version.is_some_and(|version| Some(version) >= allowed.version_min)
    };
    let mut serving: Vec<&app::Candidate> = usable.iter().filter(serves).copied().collect();
    if serving.is_empty() {
        return Err(Denial::Nobody);
    }
    rank(app, &mut serving);
    let slot_requests_max = if request.spare_only {
        SLOT_REQUESTS_LATE_MAX
    } else {
        SLOT_REQUESTS_MAX
    };
    let mut denials = PermitDenials::default();
    let mut slot_requests = 0;
    for candidate in &serving {
        if slot_requests == slot_requests_max {
            break;
        }
        match candidate.state.contact.access(app.now_ms(), false) {
            Access::Closed => continue,
            Access::Probe => {
                if let Some(probe) = begin_probe(app, candidate, false, &mut denials).await {
                    return Ok(engine_placement(candidate, model, allowed, Some(probe)));
                }
                continue;
            }
            Access::Agent | Access::Share => {}
        }
        if !denials.acquire(app, candidate).await {
            continue;
        }
        slot_requests += 1;
        let version_min = allowed.version_min;
        if slot::request(app, request, profile, model, version_min, candidate).await {
            return Ok(engine_placement(candidate, model, allowed, None));
        }
        // Its agent may just have turned out to be gone, and a permit is held already.
        if let Some(probe) = mark_probe(app, candidate, false) {
            return Ok(engine_placement(candidate, model, allowed, Some(probe)));
        }
        permits::give_back(app, &candidate.upstream.instance);
    }
    // Only if nobody else takes the request, because it may wait there in vain.
    for candidate in &serving {
        let access = candidate
            .state
            .contact
            .access(app.now_ms(), request.may_probe);
        if access != Access::Probe {
            continue;
        }
        if let Some(probe) = begin_probe(app, candidate, request.may_probe, &mut denials).await {
            return Ok(engine_placement(candidate, model, allowed, Some(probe)));
        }
    }
    match denials.denial() {
        Some(denial) if slot_requests == 0 => Err(denial),
        _ => Err(Denial::Full),
    }
}

/// Sorts engines by how well they suit a request, the best first.
fn rank(app: &app::App, serving: &mut [&app::Candidate]) {
    let now_ms = app.now_ms();
    let rank = |candidate: &&app::Candidate| {
        let may_stand_still = candidate.state.contact.may_stand_still();
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
        (may_stand_still, is_ejected, is_refusing, cost, random)
    };
    serving.sort_by_cached_key(rank);
}

fn engine_placement(
    candidate: &app::Candidate,
    model: &str,
    allowed: AllowedVersions,
    probe: Option<ProbeGuard>,
) -> Placement {
    // The upstream checks this version, so that an engine that loads other weights in the
    // meantime can't run the request on a version that is too old. Without an oldest version, any
    // version that the engine serves will do.
    let weights_version = allowed
        .version_min
        .and_then(|_| candidate.served_version(model));
    Placement {
        candidate: candidate.clone(),
        weights_version,
        probe: probe.map(sync::Arc::new),
    }
}

/// Lets a request probe an engine of which it is not known whether it responds, unless another one
/// does so or there is no permit.
async fn begin_probe(
    app: &app::App,
    candidate: &app::Candidate,
    may_probe: bool,
    denials: &mut PermitDenials,
) -> Option<ProbeGuard> {
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
fn mark_probe(app: &app::App, candidate: &app::Candidate, may_probe: bool) -> Option<ProbeGuard> {
    let (contact, now_ms) = (&candidate.state.contact, app.now_ms());
    let is_due = contact.access(now_ms, may_probe) == Access::Probe;
    if !is_due || !contact.try_begin_probe(now_ms) {
        return None;
    }
    let instance = &candidate.upstream.instance;
    log::info!("placement: event=probe instance={instance}");
    app.count("probed");
    Some(ProbeGuard(candidate.state.clone()))
}
