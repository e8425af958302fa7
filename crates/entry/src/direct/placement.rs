//! Which upstream gets a request.
//!
//! A plain service's upstream is chosen by the score of its record. For an engine the agent beside
//! it is asked for a place, because it alone sees what all entries send there; while it is silent,
//! an entry keeps to its share of the slots.

use std::{sync, sync::atomic, time};

use pimentohook_core::{
    engine, id, rolling_update,
    routing::{choice, score},
    upstreams,
};
use pimentohook_wire::direct;
use rand::RngExt as _;

use super::app;

const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(60);
const AGENT_SILENT_MS: u64 = 500;
/// An engine that let nothing in is asked again after this long.
const CLOSED_MS: u64 = 30;
/// Agents asked for one request, one after the other.
const ASKED_MAX: usize = 10;
/// Agents asked for a request that is late already.
const ASKED_LATE_MAX: usize = 4;
/// The part of the time to the first token that may be planned for, in hundredths; the rest is for
/// what the model does not know.
const PLANNED_PERCENT: u32 = 85;
/// An engine of another failure domain is asked first only where its own requests are fewer by
/// more than this, since links between failure domains are narrow and dear.
const FAR_COST: u32 = 2;

/// What a request needs of an upstream.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a id::ServiceName,
    /// What the engines of the service can do; `None` for a plain service.
    pub figures: Option<&'a engine::EngineProfile>,
    /// The model asked for.
    pub model: Option<&'a str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer will have, as far as can be guessed.
    pub answer_tokens: u32,
    /// What is left of the time to the first token.
    pub first_token_max: time::Duration,
    /// Whether the request is late already.
    pub spare_only: bool,
    /// Instances that have failed this request already.
    pub excluded: &'a [String],
}

/// A chosen upstream.
#[derive(Clone, Debug)]
pub struct Place {
    /// The upstream.
    pub candidate: app::Candidate,
    /// The version of weights that it has to have.
    pub weights_version: Option<u64>,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Denied {
    /// No upstream of the service is known to live.
    Nobody,
    /// All of them have as much as they can do.
    Full,
}

/// Counts a request at an upstream for as long as it lives.
#[derive(Debug)]
pub struct InFlight(sync::Arc<app::Live>);

impl InFlight {
    /// Counts one more.
    #[must_use]
    pub fn new(live: sync::Arc<app::Live>) -> Self {
        live.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        live.record.record_start();
        Self(live)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
        self.0.record.record_end();
    }
}

/// Chooses an upstream.
///
/// # Errors
///
/// [`Denied`] where none can take the request now.
pub async fn choose(app: &app::App, need: &Need<'_>) -> Result<Place, Denied> {
    let all = app.candidates.load_full();
    let Some(listed) = all.get(need.service) else {
        return Err(Denied::Nobody);
    };
    let usable = |one: &&app::Candidate| is_usable(one, need);
    let usable: Vec<&app::Candidate> = listed.iter().filter(usable).collect();
    match (need.figures, need.model) {
        (Some(figures), Some(model)) => choose_engine(app, need, figures, model, &usable).await,
        _ => choose_plain(app, &usable),
    }
}

fn is_usable(candidate: &app::Candidate, need: &Need<'_>) -> bool {
    candidate.upstream.state == upstreams::State::Ready
        && !candidate.live.gone.load(atomic::Ordering::Relaxed)
        && !need.excluded.contains(&candidate.upstream.instance)
}

fn choose_plain(app: &app::App, usable: &[&app::Candidate]) -> Result<Place, Denied> {
    let mut shuffled = usable.to_vec();
    rand::seq::SliceRandom::shuffle(shuffled.as_mut_slice(), &mut rand::rng());
    let records: Vec<&score::UpstreamStats> = shuffled.iter().map(|one| &one.live.record).collect();
    let policy = choice::Policy::LeastScore;
    let index = choice::choose(policy, &records, app.now_ms(), 0, &mut rand::rng());
    let candidate = index.map(|index| shuffled[index].clone());
    candidate
        .map(|candidate| Place {
            candidate,
            weights_version: None,
        })
        .ok_or(Denied::Nobody)
}

/// What weights a request may be served from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Allowed {
    /// The oldest version that may be used.
    version_min: Option<u64>,
}

fn allowed(app: &app::App, model: &str) -> Allowed {
    let wanted = app.wanted.load();
    let last_use = rolling_update::previous_version_lifetime(app.settings.weights_grace);
    let now = app.clock.now();
    let due = |wanted: &&app::Wanted| now.duration_since(wanted.since) >= last_use;
    let named = wanted.get(model).map_or(&[][..], Vec::as_slice);
    Allowed {
        version_min: named.iter().filter(due).map(|wanted| wanted.version).max(),
    }
}

async fn choose_engine(
    app: &app::App,
    need: &Need<'_>,
    figures: &engine::EngineProfile,
    model: &str,
    usable: &[&app::Candidate],
) -> Result<Place, Denied> {
    let allowed = allowed(app, model);
    let serves = |one: &&&app::Candidate| {
        let version = one.weights(model);
        version.is_some_and(|version| Some(version) >= allowed.version_min)
    };
    let mut serving: Vec<&app::Candidate> = usable.iter().filter(serves).copied().collect();
    if serving.is_empty() {
        return Err(Denied::Nobody);
    }
    let now_ms = app.now_ms();
    let rank = |one: &&app::Candidate| {
        let closed = one.live.closed_until_ms.load(atomic::Ordering::Relaxed) > now_ms;
        let ejected = one.live.record.is_ejected(now_ms);
        let own = one.live.in_flight.load(atomic::Ordering::Relaxed);
        let is_far = one.upstream.failure_domain != app.settings.failure_domain;
        let cost = own + u32::from(is_far) * FAR_COST;
        (ejected, closed, cost, rand::rng().random::<u32>())
    };
    serving.sort_by_cached_key(rank);
    let asked_max = if need.spare_only {
        ASKED_LATE_MAX
    } else {
        ASKED_MAX
    };
    for candidate in serving.into_iter().take(asked_max) {
        if is_granted(app, need, figures, model, allowed, candidate).await {
            // An engine that has been loaded meanwhile must not run it unnoticed on weights that
            // are too old; which of the allowed ones it has does not matter otherwise.
            let weights_version = allowed.version_min.and_then(|_| candidate.weights(model));
            return Ok(Place {
                candidate: candidate.clone(),
                weights_version,
            });
        }
    }
    Err(Denied::Full)
}

async fn is_granted(
    app: &app::App,
    need: &Need<'_>,
    figures: &engine::EngineProfile,
    model: &str,
    allowed: Allowed,
    candidate: &app::Candidate,
) -> bool {
    let live = &candidate.live;
    let now_ms = app.now_ms();
    if live.agent_silent_until_ms.load(atomic::Ordering::Relaxed) > now_ms {
        return is_within_share(app, figures, live);
    }
    let max_ms = need.first_token_max.as_millis() * u128::from(PLANNED_PERCENT) / 100;
    let request = direct::SlotRequest {
        instance: candidate.upstream.instance.clone(),
        model: String::from(model),
        prompt_tokens: need.prompt_tokens,
        answer_tokens: need.answer_tokens,
        first_token_max_ms: u32::try_from(max_ms).unwrap_or(u32::MAX),
        version_min: allowed.version_min,
        spare_only: need.spare_only,
    };
    let agent = app.agent_of(&candidate.upstream);
    let asked = app
        .own
        .call(agent, direct::SLOT_PATH, &request, ASK_TIMEOUT);
    let reply: direct::SlotReply = match asked.await {
        Ok(reply) => reply,
        Err(error) => {
            log::warn!(
                "placement: event=agent_silent instance={} error={error:?}",
                candidate.upstream.instance
            );
            let until = now_ms + AGENT_SILENT_MS;
            live.agent_silent_until_ms
                .store(until, atomic::Ordering::Relaxed);
            return is_within_share(app, figures, live);
        }
    };
    if !reply.granted {
        live.closed_until_ms
            .store(now_ms + CLOSED_MS, atomic::Ordering::Relaxed);
    }
    live.told.store(Some(sync::Arc::new(reply.state)));
    reply.granted
}

/// Returns whether the entry has less than its share of an engine's slots in use.
fn is_within_share(app: &app::App, figures: &engine::EngineProfile, live: &app::Live) -> bool {
    let share = figures.slot_count.div_ceil(app.entry_count()).max(1);
    live.in_flight.load(atomic::Ordering::Relaxed) < share
}
