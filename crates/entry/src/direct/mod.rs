//! Direct mode: the entry sends callers' requests to upstreams without an agent in between.
//!
//! It is for platforms whose upstreams check that a request is meant for their instance and report
//! when they did not run one.
//!
//! * [`settings`] and [`app`]: the settings and the shared state.
//! * [`feed`] and [`cache`]: the configuration, the upstreams, the entries and the announced
//!   weights, from the store or from other entries.
//! * [`proxy`]: a caller's request, from its arrival to the final response, with [`intake`], which
//!   reads it, [`final_response`] and `own_response`.
//! * [`placement`], [`engine_placement`] and [`slot`]: the selection of an upstream, of an engine, and
//!   the slots that agents grant.
//! * [`weights_versions`]: the versions of weights that a request may run on.
//! * [`attempt`], [`open_stream`] and [`stream`]: one attempt to send a request to an upstream, and
//!   responses that are event streams.
//! * [`engine_question`]: questions to engines that may stand still.
//! * [`engine_silence`]: engines that stand still, and what happens to requests that wait there.
//! * [`cold_upstreams`]: engines that are cold, and what they get without their agents.
//! * [`upstream_limits`], [`limited_upstream`], [`limit_gossip`] and [`permits`]: the limits that
//!   upstreams name in their responses, and the permits with which all entries together keep them.
//! * [`upstream_notices`]: which upstreams have said that they are leaving, or that they want no
//!   requests for a while.
//! * [`crash_evidence`], [`stream_evidence`] and [`prompt_admission`]: which parts of prompts crash
//!   engines, and requests that are held back because of them.
//! * [`holdings`]: bounds on what callers and upstreams make the entry hold.
//! * [`directory`]: the addresses of entries for callers, and the readiness check.
//! * [`peers`]: the discovery of the other entries, and heartbeats between them.
//! * [`shutdown_state`] and [`leaving`]: the graceful shutdown, as requests see it, and what is accepted
//!   while others shut down too.
//! * [`restored`]: what an entry does when the store was restored from a copy, and evacuations.
//! * [`agents`]: agents' reports of engine states, and their requests for the configuration of a
//!   service.

pub mod agents;
pub mod app;
pub mod attempt;
pub mod cache;
pub mod caller_connections;
mod candidate;
pub mod cold_upstreams;
pub mod crash_evidence;
pub mod directory;
pub mod end_questions;
pub mod ending;
pub mod engine_placement;
pub mod engine_question;
pub mod engine_silence;
pub mod feed;
pub mod final_response;
pub mod holdings;
pub mod intake;
pub mod leaving;
pub mod leaving_end;
pub mod limit_gossip;
pub mod limited_upstream;
pub mod open_stream;
mod own_response;
pub mod peers;
pub mod permits;
pub mod placement;
pub mod prompt_admission;
pub mod proxy;
pub mod request_timeout;
pub mod restored;
pub mod retries;
pub mod settings;
pub mod shutdown_state;
pub mod slot;
pub mod stream;
pub mod stream_evidence;
pub mod upstream_limits;
pub mod upstream_notices;
pub mod weights_versions;

use std::sync;

use gotham::{
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use pimentohook_runtime::{metrics, process, server};
use pimentohook_wire::direct;
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;

/// An entry failed to start.
#[derive(Debug, Snafu)]
#[snafu(display("entry: {source}"))]
pub struct DirectError {
    source: server::ServerError,
}

/// A running entry.
#[derive(Debug)]
pub struct Running {
    /// Stops the entry without draining it.
    pub stop: process::StopSignal,
    app: sync::Arc<app::App>,
    server_task: JoinHandle<()>,
}

impl Running {
    /// Shuts down gracefully.
    ///
    /// The entry leaves the directory and keeps listening until its end, while callers may use a
    /// cached response of it. Requests that can't be answered by then are refused.
    pub async fn drain(self) {
        let settings = &self.app.settings;
        log::info!(
            "entry: event=leaving serves_on_ms={} ends_after_ms={}",
            settings.shutdown_delay.as_millis(),
            settings.shutdown_timeout.as_millis()
        );
        let shutdown = self.app.begin_shutdown();
        let closes_at = shutdown.closes_at().into();
        let told = tokio::time::timeout_at(closes_at, leave_directory(&self.app)).await;
        if told.is_err() {
            log::warn!("entry: event=still_listed");
        }
        let waited_for = leaving_end::until_end(&self.app, &shutdown).await;
        self.stop.set();
        let ends_at = shutdown.ends_at().into();
        let finished = tokio::time::timeout_at(ends_at, self.server_task).await;
        log::info!(
            "entry: event=stopped finished_all={} waited_for={waited_for} after_ms={}",
            finished.is_ok(),
            shutdown.since.elapsed().as_millis()
        );
    }
}

async fn leave_directory(app: &sync::Arc<app::App>) {
    peers::announce(app).await;
    peers::unregister(app).await;
}

/// Starts an entry in direct mode.
///
/// # Errors
///
/// Returns a [`DirectError`] if listening on one of the addresses fails.
pub async fn start(settings: settings::DirectSettings) -> Result<Running, DirectError> {
    let callers = server::bind(settings.callers).await.context(DirectSnafu)?;
    let ready = server::bind(settings.ready).await.context(DirectSnafu)?;
    let resolve = server::bind(settings.directory)
        .await
        .context(DirectSnafu)?;
    let peers = server::bind(settings.peers).await.context(DirectSnafu)?;
    let metrics = match settings.metrics {
        Some(address) => Some(server::bind(address).await.context(DirectSnafu)?),
        None => None,
    };
    let app = sync::Arc::new(app::App::new(settings));
    let shares = app.holdings.shares;
    if let Some(listener) = metrics {
        let metrics_handler = server::endpoint(&app.metrics_registry, metrics::serve);
        tokio::spawn(server::serve_within(
            listener,
            metrics_handler,
            process::StopSignal::new(),
            shares.checks_max,
            shares.messages_bytes,
        ));
    }
    let stop = process::StopSignal::new();
    log::info!(
        "entry: event=started name={} callers={}",
        app.settings.entry,
        app.settings.callers
    );
    tokio::spawn(server::serve_within(
        peers,
        peer_router(&app),
        process::StopSignal::new(),
        shares.peers_max,
        shares.messages_bytes,
    ));
    let directory = server::endpoint(&app, directory::resolve);
    tokio::spawn(server::serve_within(
        resolve,
        directory,
        process::StopSignal::new(),
        shares.directory_max,
        shares.messages_bytes,
    ));
    let readiness = server::endpoint(&app, directory::ready);
    tokio::spawn(server::serve_within(
        ready,
        readiness,
        process::StopSignal::new(),
        shares.checks_max,
        shares.messages_bytes,
    ));
    let proxy = server::endpoint(&app, proxy::handle);
    let limits_app = app.clone();
    let limits = move || caller_connections::limits(&limits_app);
    let server_task = tokio::spawn(server::serve_with_limits(
        callers,
        proxy,
        stop.clone(),
        app.holdings.connections.clone(),
        limits,
    ));
    feed::start(&app);
    tokio::spawn(peers::run(app.clone()));
    tokio::spawn(restored::run(app.clone()));
    tokio::spawn(limit_gossip::run(app.clone()));
    tokio::spawn(engine_silence::run(app.clone()));
    tokio::spawn(crash_evidence::run(app.clone()));
    Ok(Running {
        stop,
        app,
        server_task,
    })
}

fn peer_router(app: &sync::Arc<app::App>) -> router::Router {
    router::build_simple_router(|route| {
        route
            .post(direct::PEER_PATH)
            .to_new_handler(server::endpoint(app, peers::handle_heartbeat));
        route
            .post(direct::PERMIT_PATH)
            .to_new_handler(server::endpoint(app, permits::handle));
        route
            .post(direct::LIMITS_PATH)
            .to_new_handler(server::endpoint(app, limit_gossip::handle));
        route
            .post(direct::SILENCE_PATH)
            .to_new_handler(server::endpoint(app, engine_silence::handle));
        route
            .post(direct::FOLLOW_PATH)
            .to_new_handler(server::endpoint(app, feed::handle_follow));
        route
            .post(direct::ENGINE_STATE_PATH)
            .to_new_handler(server::endpoint(app, agents::record_engine_state));
        route
            .post(direct::SERVICE_PATH)
            .to_new_handler(server::endpoint(app, agents::describe_service));
    })
}
