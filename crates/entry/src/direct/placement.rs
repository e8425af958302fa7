//! Selects the upstream that gets a request.
//!
//! Upstreams of a plain service are selected by their score. For an engine, the entry requests a
//! slot from the agent beside it, because only the agent sees the load from all entries. While the
//! agent doesn't respond, an entry limits itself to its share of the engine's slots, if the engine
//! itself responds.

use std::{fmt, sync, sync::atomic, time};

use pimentohook_core::{
    engine, evacuation, id, rank, regions, rolling_update,
    routing::{choice, score},
    upstream_notice, upstreams,
};
use rand::RngExt as _;

use super::{app, engine_placement, permits, weights_versions};

/// How much likelier than others a limited upstream is to be tried first, so that it is used up to
/// its limit.
const LIMITED_PREFERENCE: usize = 2;

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
    /// How urgent it is; `None` if all requests of its service are equally urgent.
    pub priority: Option<rank::Priority>,
    /// The organisation of its caller; `None` if engines are not shared by organisation.
    pub organisation: Option<&'a str>,
    /// Whether only spare capacity may be used, because the request has already missed its goal.
    pub spare_only: bool,
    /// Whether it may be sent to an engine of which nothing is known, because it may be sent to
    /// another one too.
    pub may_probe: bool,
    /// The regions in which it may run.
    pub regions: &'a regions::AllowedRegions,
    /// Instances that have already failed this request.
    pub excluded: &'a [String],
}

/// A selected upstream.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The upstream.
    pub candidate: app::Candidate,
    /// What was known of the weights of an engine; `None` for a plain service.
    pub weights: Option<weights_versions::SelectedWeights>,
    /// The mark of a request that probes whether the upstream responds.
    pub probe: Option<sync::Arc<ProbeGuard>>,
}

impl Placement {
    /// Returns within what time a request that has not started is withdrawn, so that it does not
    /// start on weights whose time is over; `None` if there is no bound.
    #[must_use]
    pub fn withdrawn_after(&self) -> Option<time::Duration> {
        let weights = self.weights.as_ref()?;
        let after = weights.withdrawn_after?;
        Some(after.saturating_sub(weights.selected_at.elapsed()))
    }

    /// Returns within what time a request must start that has this much left; `None` if it must not be
    /// sent, because it is due to be withdrawn.
    #[must_use]
    pub fn start_timeout(&self, remaining: time::Duration) -> Option<time::Duration> {
        rolling_update::start_timeout(self.withdrawn_after(), remaining)
    }

    /// Returns whether a request that has not started by now is withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_after() == Some(time::Duration::ZERO)
    }

    /// Returns the version of the weights that the upstream must check; `None` if any will do.
    #[must_use]
    pub fn expected_weights(&self) -> Option<u64> {
        self.weights.as_ref()?.expected
    }
}

impl fmt::Display for Placement {
    /// Formats what was known of the weights as the end of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.weights {
            Some(weights) => write!(f, " {weights}"),
            None => Ok(()),
        }
    }
}

/// Marks that a request probes an upstream until the guard is dropped.
#[derive(Debug)]
pub struct ProbeGuard(sync::Arc<app::UpstreamState>);

impl ProbeGuard {
    /// Marks a request as the one that probes the upstream.
    pub(super) const fn new(state: sync::Arc<app::UpstreamState>) -> Self {
        Self(state)
    }
}

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
    /// No usable upstream of the service is known in the regions in which the request may run.
    NoneInRegions,
    /// All upstreams of the service are in evacuated failure domains.
    Evacuated,
    /// It is not known yet which failure domains are evacuated.
    EvacuationsUnknown,
    /// All upstreams of the service are at capacity.
    Full,
    /// All upstreams of the service are at capacity, and the organisation has had more than its share.
    OverShare,
    /// All upstreams of the service that could take the request want none for a while.
    BackingOff {
        /// When the first of them may take requests again.
        retry_after: time::Duration,
    },
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
    let usable = |candidate: &&app::Candidate| is_usable(app, candidate, request);
    let usable: Vec<&app::Candidate> = listed.iter().filter(usable).collect();
    let chosen = match (request.profile, request.model) {
        (Some(profile), Some(model)) => {
            engine_placement::choose(app, request, profile, model, &usable).await
        }
        _ => choose_plain(app, &usable).await,
    };
    chosen.map_err(|denial| match back_off_end(app, request, listed) {
        Some(retry_after) => Denial::BackingOff { retry_after },
        None => match closed(app, request, listed) {
            Some(evacuation::Closed::Evacuated) => Denial::Evacuated,
            Some(evacuation::Closed::Unknown) => Denial::EvacuationsUnknown,
            None if denial == Denial::Nobody && request.regions.is_restricted() => {
                Denial::NoneInRegions
            }
            None => denial,
        },
    })
}

/// Returns why evacuations keep a request from all ready upstreams in its regions; `None` if they
/// don't.
fn closed(
    app: &app::App,
    request: &PlacementRequest<'_>,
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
    request: &PlacementRequest<'_>,
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
    request: &PlacementRequest<'_>,
) -> bool {
    let regions = &app.settings.regions;
    regions.allows(request.regions, &candidate.upstream.failure_domain)
}

/// Returns whether an upstream is in an allowed region, listed as ready, still has its address and is
/// not evacuated.
fn is_open(app: &app::App, candidate: &app::Candidate, request: &PlacementRequest<'_>) -> bool {
    is_in_region(app, candidate, request)
        && candidate.upstream.state == upstreams::State::Ready
        && app
            .evacuations
            .load()
            .allows(&candidate.upstream.failure_domain)
        && !candidate.is_replaced()
}

/// Returns when the first back-off ends if all upstreams that could take the request back off.
///
/// Those that have already failed the request count too, because the caller's next one may go there.
fn back_off_end(
    app: &app::App,
    request: &PlacementRequest<'_>,
    listed: &[app::Candidate],
) -> Option<time::Duration> {
    let now = app.clock.now();
    let model = request.model.filter(|_| request.profile.is_some());
    let allowed = model.map(|model| (model, weights_versions::allowed(app, model)));
    let could_serve = |candidate: &&app::Candidate| {
        let serves = allowed
            .as_ref()
            .is_none_or(|(model, allowed)| allowed.allows(candidate.served_version(model)));
        is_open(app, candidate, request) && serves
    };
    let notices = &app.upstream_notices;
    let standing = |candidate: &app::Candidate| notices.standing(&candidate.upstream, now);
    let standings = listed.iter().filter(could_serve).map(standing);
    upstream_notice::first_return(standings).map(|until| until.saturating_duration_since(now))
}

/// Returns the upstreams of a plain service without those that are only hinted to be leaving, unless
/// no other one is sound.
fn without_hinted<'a>(app: &app::App, usable: &[&'a app::Candidate]) -> Vec<&'a app::Candidate> {
    let now = app.clock.now();
    let is_hinted = |candidate: &&app::Candidate| {
        let standing = app.upstream_notices.standing(&candidate.upstream, now);
        standing == upstream_notice::Standing::HintedLeaving
    };
    let others = usable.iter().filter(|candidate| !is_hinted(candidate));
    let others: Vec<&app::Candidate> = others.copied().collect();
    let now_ms = app.now_ms();
    if others
        .iter()
        .any(|candidate| !candidate.state.stats.is_ejected(now_ms))
    {
        others
    } else {
        usable.to_vec()
    }
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

async fn choose_plain(app: &app::App, usable: &[&app::Candidate]) -> Result<Placement, Denial> {
    let mut shuffled = without_hinted(app, usable);
    let usable_count = shuffled.len();
    rand::seq::SliceRandom::shuffle(shuffled.as_mut_slice(), &mut rand::rng());
    let is_limited = |candidate: &&app::Candidate| {
        let instance = &candidate.upstream.instance;
        app.upstream_limits.limited(instance).is_some()
    };
    let (limited, unlimited): (Vec<_>, Vec<_>) = shuffled.into_iter().partition(is_limited);
    let mut denial = Denial::Nobody;
    if unlimited.is_empty() || is_limited_first(limited.len(), usable_count) {
        let skips_ejected = !unlimited.is_empty();
        match choose_limited(app, &limited, skips_ejected).await {
            Ok(placement) => return Ok(placement),
            Err(denied) => denial = denied,
        }
    }
    let stats = unlimited.iter().map(|candidate| &candidate.state.stats);
    let stats: Vec<&score::UpstreamStats> = stats.collect();
    let policy = choice::Policy::LeastScore;
    let index = choice::choose(policy, &stats, app.now_ms(), 0, &mut rand::rng());
    index
        .map(|index| Placement {
            candidate: unlimited[index].clone(),
            weights: None,
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
    let mut denials = permits::PermitDenials::default();
    for candidate in limited.iter().filter(is_tried) {
        if denials.acquire(app, candidate).await {
            return Ok(Placement {
                candidate: app::Candidate::clone(candidate),
                weights: None,
                probe: None,
            });
        }
    }
    let limited = denials.retry_after();
    Err(
        limited.map_or(Denial::Nobody, |retry_after| Denial::Limited {
            retry_after,
        }),
    )
}
