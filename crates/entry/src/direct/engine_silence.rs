//! Finds out which engines stand still together with their agents, tells other entries, and moves
//! requests that wait at one to another upstream.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::Response;
use pimentohook_core::engine_contact::{self, AgentFailure, Change};
use pimentohook_runtime::{client, server};
use pimentohook_wire::direct;
use rand::seq::IndexedRandom as _;
use tokio::time as tokio_time;

use super::{app, permits, placement, proxy, retries};

/// An agent that has not responded for this long is treated as silent.
pub const AGENT_TIMEOUT: time::Duration = time::Duration::from_millis(60);
/// How long one question waits at an agent: it is answered as soon as a VM that stood still goes on.
const AGENT_PATIENCE: time::Duration = time::Duration::from_secs(10);
const AGENT_RETRY_DELAY: time::Duration = time::Duration::from_millis(250);
const AGENT_RETRY_DELAY_MAX: time::Duration = time::Duration::from_secs(1);
/// A version that no engine serves, so that the agent reports its state and reserves no slot.
const NO_VERSION: u64 = u64::MAX;

const HINT_INTERVAL: time::Duration = time::Duration::from_millis(500);
const HINT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// The number of entries that are told at once.
const HINT_FANOUT: usize = 4;
/// The maximum number of engines in a message.
const HINT_ENGINES_MAX: usize = 32;
const HINT_MAX_BYTES: usize = 1 << 13;

/// An attempt at a request that may be retried is slow after this multiple of the route's goal.
const SLOW_AFTER_GOALS: u32 = 4;
const SLOW_AFTER_MIN: time::Duration = time::Duration::from_millis(150);

/// How long to wait before another upstream is looked for again; doubled each time.
const MOVE_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
const MOVE_RETRY_DELAY_MAX: time::Duration = time::Duration::from_millis(800);
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Records that a message to the agent beside an engine got no response, and asks it until it does.
pub fn record_agent_failure(
    app: &sync::Arc<app::App>,
    candidate: &app::Candidate,
    sent_at_ms: u64,
    error: &client::ClientError,
) {
    let contact = &candidate.state.contact;
    contact.record_agent_failure(sent_at_ms, agent_failure(error));
    update(app, candidate);
    ask_agent(app, candidate);
}

const fn agent_failure(error: &client::ClientError) -> AgentFailure {
    match error {
        client::ClientError::Timeout { .. } => AgentFailure::Timeout,
        _ => AgentFailure::Refused,
    }
}

/// Finds out whether an engine at which requests wait is silent, and asks its agent if so.
///
/// Returns whether it is known to be silent.
pub fn is_silent(app: &sync::Arc<app::App>, candidate: &app::Candidate) -> bool {
    let contact = &candidate.state.contact;
    if contact.is_waiting(app.now_ms()) {
        ask_agent(app, candidate);
        update(app, candidate);
    }
    contact.silent_since_ms().is_some()
}

fn update(app: &app::App, candidate: &app::Candidate) {
    let change = candidate.state.contact.update(app.now_ms());
    log_change(app, &candidate.upstream.instance, change);
}

/// Logs and counts a change of what is believed of an engine.
pub fn log_change(app: &app::App, instance: &str, change: Option<Change>) {
    match change {
        Some(Change::Silent) => {
            app.count("engine_silent");
            app.silence_changed.notify_one();
            log::warn!("silence: event=engine_silent instance={instance}");
        }
        Some(Change::Back { silent_ms }) => {
            app.count("engine_back");
            log::info!("silence: event=engine_back instance={instance} silent_ms={silent_ms}");
        }
        None => {}
    }
}

/// Asks the agent beside an engine for its state until it responds; one question waits at a time.
fn ask_agent(app: &sync::Arc<app::App>, candidate: &app::Candidate) {
    if candidate.state.contact.try_begin_asking() {
        tokio::spawn(ask_until_reply(app.clone(), candidate.clone()));
    }
}

async fn ask_until_reply(app: sync::Arc<app::App>, candidate: app::Candidate) {
    let contact = &candidate.state.contact;
    let mut delay = AGENT_RETRY_DELAY;
    while is_listed(&app, &candidate) {
        if let Some(reply) = ask_once(&app, &candidate).await {
            record_agent_reply(&app, &candidate, reply);
            break;
        }
        contact.end_asking();
        tokio_time::sleep(delay).await;
        delay = (delay * 2).min(AGENT_RETRY_DELAY_MAX);
        if !contact.try_begin_asking() {
            return;
        }
    }
    contact.end_asking();
}

fn is_listed(app: &app::App, candidate: &app::Candidate) -> bool {
    let candidates = app.candidates.load();
    let mut states = candidates.values().flatten().map(|listed| &listed.state);
    states.any(|state| sync::Arc::ptr_eq(state, &candidate.state))
}

/// Asks an agent for its state and waits for long; returns `None` if it does not respond.
async fn ask_once(app: &app::App, candidate: &app::Candidate) -> Option<direct::SlotReply> {
    let question = direct::SlotRequest {
        instance: candidate.upstream.instance.clone(),
        model: String::new(),
        prompt_tokens: 0,
        answer_tokens: 0,
        first_token_max_ms: 0,
        version_min: Some(NO_VERSION),
        spare_only: true,
        cold_remaining_ms: 0,
        priority: None,
        is_asked_again: None,
        organisation: None,
    };
    let sent_at_ms = app.now_ms();
    let agent = app.agent_address(&candidate.upstream);
    let call = app
        .internal
        .call(agent, direct::SLOT_PATH, &question, AGENT_PATIENCE);
    tokio::pin!(call);
    let in_time = tokio_time::timeout(AGENT_TIMEOUT, &mut call).await;
    let contact = &candidate.state.contact;
    let result: Result<direct::SlotReply, _> = if let Ok(result) = in_time {
        result
    } else {
        contact.record_agent_failure(sent_at_ms, AgentFailure::Timeout);
        update(app, candidate);
        call.await
    };
    match result {
        Ok(reply) => Some(reply),
        Err(error) => {
            let instance = &candidate.upstream.instance;
            log::debug!("silence: event=agent_not_reached instance={instance} error={error:?}");
            contact.record_agent_failure(sent_at_ms, agent_failure(&error));
            update(app, candidate);
            None
        }
    }
}

/// Records a response of the agent beside an engine.
pub fn record_agent_reply(app: &app::App, candidate: &app::Candidate, reply: direct::SlotReply) {
    let state = &candidate.state;
    state.engine_state.store(Some(sync::Arc::new(reply.state)));
    let change = state.contact.record_agent_reply(app.now_ms());
    log_change(app, &candidate.upstream.instance, change);
}

/// Tells other entries of silent engines until the process exits.
pub async fn run(app: sync::Arc<app::App>) {
    loop {
        let changed = app.silence_changed.notified();
        // A round without a change renews the hints.
        let _ = tokio_time::timeout(HINT_INTERVAL, changed).await;
        // Engines of one failure fall silent within a few milliseconds.
        tokio_time::sleep(CHECK_INTERVAL).await;
        let message = silent_engines(&app);
        if message.engines.is_empty() {
            continue;
        }
        for address in hint_targets(&app) {
            tokio::spawn(send_hint(app.clone(), address, message.clone()));
        }
    }
}

fn hint_targets(app: &app::App) -> Vec<std::net::SocketAddr> {
    let peers = app.peers.load();
    let addresses: Vec<_> = peers.values().map(|peer| peer.state.peers).collect();
    let sample = addresses.sample(&mut rand::rng(), HINT_FANOUT);
    sample.copied().collect()
}

async fn send_hint(
    app: sync::Arc<app::App>,
    address: std::net::SocketAddr,
    message: direct::SilentEngines,
) {
    let call = app
        .internal
        .call(address, direct::SILENCE_PATH, &message, HINT_TIMEOUT);
    let result: Result<direct::SilentEngines, _> = call.await;
    if let Err(error) = result {
        log::debug!("silence: event=not_told address={address} error={error:?}");
    }
}

/// Returns the engines that this entry has itself found silent.
fn silent_engines(app: &app::App) -> direct::SilentEngines {
    let now_ms = app.now_ms();
    let candidates = app.candidates.load();
    let engines = candidates.values().flatten().filter_map(|candidate| {
        let since_ms = candidate.state.contact.silent_since_ms()?;
        Some(direct::SilentEngine {
            instance: candidate.upstream.instance.clone(),
            silent_ms: now_ms.saturating_sub(since_ms),
        })
    });
    direct::SilentEngines {
        engines: engines.take(HINT_ENGINES_MAX).collect(),
    }
}

/// Handles another entry's message about silent engines.
pub async fn handle(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let message: direct::SilentEngines = match call.read_message(HINT_MAX_BYTES).await {
        Ok(message) => message,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let now_ms = app.now_ms();
    let candidates = app.candidates.load();
    for hint in &message.engines {
        let instance = &hint.instance;
        let is_hinted = |candidate: &&app::Candidate| candidate.upstream.instance == *instance;
        if let Some(candidate) = candidates.values().flatten().find(is_hinted) {
            let is_first = candidate.state.contact.record_hint(now_ms);
            if is_first {
                log::info!(
                    "silence: event=hint instance={instance} silent_ms={}",
                    hint.silent_ms
                );
            }
        }
    }
    server::respond_message(&silent_engines(&app))
}

/// Waits until the upstream of an attempt is silent or slow and another one takes the request;
/// never returns for a request that may not be sent again, once `run_count` upstreams may have run
/// it.
pub async fn next_placement(
    app: &sync::Arc<app::App>,
    request: &proxy::ProxiedRequest,
    current: &placement::Placement,
    tried: &[String],
    run_count: u32,
) -> placement::Placement {
    let may_move = || retries::repeat_rule(app, request).check(run_count).is_ok();
    if !may_move() {
        return std::future::pending().await;
    }
    let slow_at = tokio_time::Instant::now() + slow_after(request);
    tokio_time::sleep(time::Duration::from_millis(engine_contact::SILENCE_MIN_MS)).await;
    let mut delay = MOVE_RETRY_DELAY;
    loop {
        let is_silent = is_silent(app, &current.candidate);
        if !is_silent && tokio_time::Instant::now() < slow_at {
            tokio_time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        // Another configuration may have come into force meanwhile.
        if !may_move() {
            return std::future::pending().await;
        }
        if let Some(placement) = choose_retry(app, request, tried).await {
            log::info!(
                "silence: event=moved request={} from={} to={} is_silent={is_silent} after_ms={}",
                request.id(),
                current.candidate.upstream.instance,
                placement.candidate.upstream.instance,
                request.arrived_at.elapsed().as_millis()
            );
            app.count("moved");
            if !is_silent {
                let stats = &current.candidate.state.stats;
                stats.record_failure(app.now_ms());
            }
            return placement;
        }
        tokio_time::sleep(delay).await;
        delay = (delay * 2).min(MOVE_RETRY_DELAY_MAX);
    }
}

/// Returns after how long an attempt without a complete response, or without the first event of a
/// stream, is given up if another upstream takes the request.
fn slow_after(request: &proxy::ProxiedRequest) -> time::Duration {
    let remaining = request.remaining();
    let slow_after = (request.route.goal * SLOW_AFTER_GOALS).max(SLOW_AFTER_MIN);
    // If less than this would remain for another upstream, the time is split in half.
    if remaining > slow_after * 2 {
        slow_after
    } else {
        (remaining / 2).max(SLOW_AFTER_MIN).min(remaining)
    }
}

/// Selects another upstream for a request that has been sent, within the retry budget.
async fn choose_retry(
    app: &sync::Arc<app::App>,
    request: &proxy::ProxiedRequest,
    tried: &[String],
) -> Option<placement::Placement> {
    let placement = proxy::choose(app, request, tried).await.ok()?;
    if retries::try_withdraw(app, &request.service, retries::Reason::Moved) {
        return Some(placement);
    }
    permits::give_back(app, &placement.candidate.upstream.instance);
    None
}
