//! The agent in the slot of an upstream VM: the only gate to its engine or service.
//!
//! * [`settings`]: what it is told at its start.
//! * [`app`]: what its parts share.
//! * [`dispatch`] and [`answers`]: requests, and answers kept until they are passed on.
//! * [`heartbeat`]: what it tells entries, and learns from them.
//! * [`transfer`]: weights pulled and passed on.
//! * [`follow`]: which weights those are, in the mode with agents on the path.
//! * [`orders`]: weights brought into service.

pub mod answers;
pub mod app;
pub mod direct;
pub mod dispatch;
pub mod follow;
pub mod heartbeat;
pub mod orders;
pub mod settings;
pub mod transfer;

use std::{net, sync, time};

use gotham::{
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use pimentohook_runtime::{process, server};
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;

/// An agent that can't start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The address is taken.
    #[snafu(display("agent: {source}"))]
    Listen {
        /// The cause.
        source: server::ServerError,
    },
    /// Metrics can't be sent.
    #[snafu(display("agent: {source}"))]
    Metrics {
        /// The cause.
        source: pimentohook_runtime::metrics::MetricsError,
    },
}

/// An agent that runs.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Ends it without draining.
    pub stop: process::StopSignal,
    app: sync::Arc<app::App>,
    serving: JoinHandle<()>,
}

impl Running {
    /// Returns what the agent tells entries.
    #[must_use]
    pub fn report(&self) -> pimentohook_core::membership::AgentReport {
        self.app.report()
    }

    /// Takes no new work, lets what runs end and its answers be fetched, then stops.
    pub async fn drain(self) {
        log::info!("agent: leaving, {} requests run.", self.app.running_count());
        self.app.leave();
        let deadline = time::Instant::now() + self.app.settings.drain_max;
        while time::Instant::now() < deadline && !self.app.is_idle() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        // One more heartbeat interval lets every entry hear that this agent leaves.
        tokio::time::sleep(self.app.settings.heartbeat_every).await;
        self.stop.set();
        let _ = tokio::time::timeout(DRAIN_POLL * 20, self.serving).await;
        log::info!("agent: stopped.");
    }
}

const DRAIN_POLL: time::Duration = time::Duration::from_millis(20);

/// Starts an agent.
///
/// # Errors
///
/// [`AgentError`] where its address can't be listened on.
pub async fn start(settings: settings::AgentSettings) -> Result<Running, AgentError> {
    let listener = server::bind(settings.listen).await.context(ListenSnafu)?;
    let address = listener.local_addr().unwrap_or(settings.listen);
    let app = app::App::new(settings, address).context(MetricsSnafu)?;
    let stop = process::StopSignal::new();
    let serving = tokio::spawn(server::serve(listener, router(&app), stop.clone()));
    for entry in app.settings.entries.clone() {
        tokio::spawn(heartbeat::run(app.clone(), entry, stop.clone()));
    }
    if app.settings.kind == settings::UpstreamKind::Engine {
        tokio::spawn(follow::run(app.clone(), stop.clone()));
        tokio::spawn(orders::run(app.clone(), stop.clone()));
    }
    log::info!("agent: {} listens on {address}.", app.settings.vm);
    Ok(Running {
        address,
        stop,
        app,
        serving,
    })
}

fn router(app: &sync::Arc<app::App>) -> router::Router {
    router::build_simple_router(|route| {
        route
            .post("/v1/dispatch")
            .to_new_handler(server::endpoint(app, dispatch::dispatch));
        route
            .post("/v1/resume")
            .to_new_handler(server::endpoint(app, dispatch::resume));
        route
            .post("/v1/revoke")
            .to_new_handler(server::endpoint(app, dispatch::revoke));
        route
            .post("/v1/release")
            .to_new_handler(server::endpoint(app, dispatch::release));
        route
            .post("/v1/chunks")
            .to_new_handler(server::endpoint(&app.transfers, transfer::give));
        route
            .post("/v1/activate")
            .to_new_handler(server::endpoint(app, orders::activate));
    })
}
