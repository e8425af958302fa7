//! Requests slots for requests from the agents beside engines.

use std::{sync, sync::atomic, time};

use indexmap::IndexSet;
use pimentohook_core::{cold, engine, engine_contact::Access, latest_start};
use pimentohook_platform::store;
use pimentohook_runtime::client;
use pimentohook_wire::direct;

use super::{app, engine_silence, placement, restored};

/// How long an engine that refused a slot is ranked after the others.
const REFUSAL_BACKOFF_MS: u64 = 30;
/// The share of the remaining time to the first token that the agent may plan with; the rest is a
/// margin for what the engine profile doesn't cover.
const FIRST_TOKEN_BUDGET_PERCENT: u32 = 85;

/// What is requested of an engine.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The request that is placed.
    pub placement: &'a placement::PlacementRequest<'a>,
    /// The profile of the engine.
    pub profile: &'a engine::EngineProfile,
    /// The requested model.
    pub model: &'a str,
    /// The oldest version of the weights that will do.
    pub version_min: Option<u64>,
    /// Whether other agents were asked before for it.
    pub is_asked_again: bool,
    /// What is left of the grace period of the weights that the engine serves; `None` if there is no
    /// bound.
    pub grace_remaining: Option<time::Duration>,
}

/// Returns whether a request of this entry may wait in the queue of an engine that nobody watches.
#[must_use]
pub fn may_wait_unwatched(
    app: &app::App,
    profile: &engine::EngineProfile,
    instance: &str,
    grace_remaining: Option<time::Duration>,
) -> bool {
    grace_remaining.is_none_or(|remaining| {
        latest_start::may_wait_unwatched(profile, remaining)
            && is_user_of_unwatched(app, profile, instance)
    })
}

fn is_user_of_unwatched(app: &app::App, profile: &engine::EngineProfile, instance: &str) -> bool {
    let own = app.settings.entry.as_str();
    let peers = app.peers.load();
    let entries = peers.keys().map(String::as_str).chain([own]);
    latest_start::users_of_unwatched(instance, profile.slot_count, entries).contains(&own)
}

/// What became of a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request may be sent to the engine.
    Granted,
    /// The engine has no room for it.
    Refused,
    /// It was refused, and its organisation has had more than its share of the engine.
    OverShare,
}

impl Answer {
    const fn without_agent(is_admitted: bool) -> Self {
        if is_admitted {
            Self::Granted
        } else {
            Self::Refused
        }
    }
}

/// Requests a slot from the agent beside an engine.
pub async fn request(
    app: &sync::Arc<app::App>,
    request: &Request<'_>,
    candidate: &app::Candidate,
) -> Answer {
    let state = &candidate.state;
    let now_ms = app.now_ms();
    let is_admitted_without_agent = || {
        let instance = &candidate.upstream.instance;
        may_wait_unwatched(app, request.profile, instance, request.grace_remaining)
            && is_within_share(app, request.profile, state)
            && admits_cold(app, candidate)
    };
    if state.contact.access(now_ms, false) != Access::Agent {
        return Answer::without_agent(is_admitted_without_agent());
    }
    let first_token_max = request.placement.first_token_max * FIRST_TOKEN_BUDGET_PERCENT / 100;
    let estimate_max = request.grace_remaining.map(latest_start::estimate_max);
    let first_token_max = first_token_max.min(estimate_max.unwrap_or(first_token_max));
    let slot_request = direct::SlotRequest {
        instance: candidate.upstream.instance.clone(),
        model: String::from(request.model),
        prompt_tokens: request.placement.prompt_tokens,
        answer_tokens: request.placement.answer_tokens,
        first_token_max_ms: u32::try_from(first_token_max.as_millis()).unwrap_or(u32::MAX),
        version_min: request.version_min,
        spare_only: request.placement.spare_only,
        cold_remaining_ms: cold_remaining_ms(app, &candidate.upstream.instance),
        priority: request.placement.priority,
        is_asked_again: is_asked_again(request),
        organisation: request.placement.organisation.map(String::from),
    };
    let agent = app.agent_address(&candidate.upstream);
    let call = app.internal.call(
        agent,
        direct::SLOT_PATH,
        &slot_request,
        engine_silence::AGENT_TIMEOUT,
    );
    let reply: direct::SlotReply = match call.await {
        Ok(reply) => reply,
        Err(error) => {
            log_agent_silence(app, candidate, &error);
            engine_silence::record_agent_failure(app, candidate, now_ms, &error);
            return Answer::without_agent(is_admitted_without_agent());
        }
    };
    let is_over_share = reply.is_over_share;
    // What is refused beyond a share says nothing of the requests of other organisations.
    if !reply.granted && !is_over_share {
        let (priority, is_second) = (request.placement.priority, request.placement.spare_only);
        let until_ms = now_ms + REFUSAL_BACKOFF_MS;
        state.refusing.record(priority, is_second, until_ms);
    }
    let is_granted = reply.granted;
    engine_silence::record_agent_reply(app, candidate, reply);
    match (is_granted, is_over_share) {
        (true, _) => Answer::Granted,
        (false, true) => Answer::OverShare,
        (false, false) => Answer::Refused,
    }
}

/// Returns what an agent is told of whether others were asked before; only what it needs to know.
fn is_asked_again(request: &Request<'_>) -> Option<bool> {
    let is_stated = request.placement.organisation.is_some()
        || (request.placement.priority.is_some() && request.is_asked_again);
    is_stated.then_some(request.is_asked_again)
}

/// Logs that an agent has stopped responding, once.
fn log_agent_silence(app: &app::App, candidate: &app::Candidate, error: &client::ClientError) {
    if !candidate.state.contact.responds() {
        return;
    }
    app.count("agent_silent");
    log::warn!(
        "placement: event=agent_silent instance={} error={error:?}",
        candidate.upstream.instance
    );
}

/// Returns whether an engine whose agent doesn't respond responds itself, and this entry uses less
/// than its share of the engine's slots.
///
/// Entries that are not heard may be cut off and use the engine too, so they keep their shares for a
/// while.
fn is_within_share(
    app: &app::App,
    profile: &engine::EngineProfile,
    state: &app::UpstreamState,
) -> bool {
    if state.contact.access(app.now_ms(), false) != Access::Share {
        return false;
    }
    let share = app.upstream_limits.shares().of_slots(profile.slot_count);
    state.in_flight.load(atomic::Ordering::Relaxed) < share
}

/// Returns how much longer an engine is cold by its registration.
fn cold_remaining_ms(app: &app::App, instance: &str) -> u32 {
    let cold = &app.upstream_limits.cold;
    let remaining = cold.remaining(app.clock.now(), instance);
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
}

/// Returns whether a request may be sent to an engine without asking its agent, as far as the engine
/// may be cold, and counts it.
#[must_use]
pub fn admits_cold(app: &app::App, candidate: &app::Candidate) -> bool {
    let upstream = &candidate.upstream;
    let table = app.table.load();
    let table = table.as_ref();
    let service = table.and_then(|table| table.services.get(&upstream.service));
    let Some(limit) = service.and_then(|service| service.cold) else {
        return true;
    };
    let own = app.settings.entry.as_str();
    let registered = restored::registered_entries(app);
    let peers = app.peers.load();
    let mut entries: IndexSet<&str> = registered.iter().map(String::as_str).collect();
    entries.extend(peers.keys().map(String::as_str));
    entries.insert(own);
    let ceiling = cold::Ceiling::of_unwatched(&limit, &upstream.instance, own, entries);
    let list_age = app.cached(store::Kind::Upstreams).age(app.clock.boot_now());
    let knows_registrations = list_age.is_some_and(|age| age < limit.duration);
    let is_admitted = app.upstream_limits.cold.admits_unwatched(
        app.clock.now(),
        &upstream.instance,
        ceiling,
        knows_registrations,
    );
    if !is_admitted {
        app.count("cold_denied");
    }
    is_admitted
}
