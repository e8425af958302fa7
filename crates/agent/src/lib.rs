//! The agent, which runs on each upstream VM beside its engine or plain service.
//!
//! In gateway mode all requests to the VM's engine or plain service go through the agent. In
//! [`direct`] mode entries send requests to the engine themselves.
//!
//! * [`direct`]: direct mode, which shares [`transfer`] with gateway mode.
//! * [`transfer`]: downloads of weights from peers and the origin, and uploads to peers.
//! * [`settings`] and [`app`]: settings and shared state of gateway mode.
//! * [`dispatch`] and [`responses`]: execution of requests, and responses buffered until they are
//!   delivered.
//! * [`heartbeat`]: reports to entries, and the configuration, peers and grants in their replies.
//! * [`follow`]: download of the weights that the configuration announces.
//! * [`orders`]: orders to activate weights, and their execution at the engine.

pub mod app;
pub mod direct;
pub mod dispatch;
pub mod follow;
pub mod heartbeat;
mod mutex;
pub mod orders;
pub mod responses;
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

/// An agent failed to start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// Listening on the address failed.
    #[snafu(display("agent: {source}"))]
    Listen {
        /// The underlying error.
        source: server::ServerError,
    },
    /// The metrics client can't be created.
    #[snafu(display("agent: {source}"))]
    Metrics {
        /// The underlying error.
        source: pimentohook_runtime::metrics::MetricsError,
    },
}

/// A running agent.
#[derive(Debug)]
pub struct Running {
    /// The address that the agent listens on.
    pub address: net::SocketAddr,
    /// Stops the agent without draining it.
    pub stop: process::StopSignal,
    app: sync::Arc<app::App>,
    server_task: JoinHandle<()>,
}

impl Running {
    /// Returns the report that heartbeats carry to entries.
    #[must_use]
    pub fn report(&self) -> pimentohook_core::membership::AgentReport {
        self.app.report()
    }

    /// Shuts down gracefully: admits no new requests, waits until the running ones have ended and
    /// their responses have been delivered, for at most `drain_max`, then stops.
    pub async fn drain(self) {
        log::info!(
            "agent: shutting down gracefully, {} requests are running.",
            self.app.running_count()
        );
        self.app.start_draining();
        let deadline = time::Instant::now() + self.app.settings.drain_max;
        while time::Instant::now() < deadline && !self.app.is_idle() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // One more heartbeat interval lets the shutdown be reported to every entry.
        tokio::time::sleep(self.app.settings.heartbeat_every).await;
        self.stop.set();
        let _ = tokio::time::timeout(DRAIN_POLL_INTERVAL * 20, self.server_task).await;
        log::info!("agent: stopped.");
    }
}

const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Starts an agent in gateway mode.
///
/// # Errors
///
/// Returns an [`AgentError`] if listening on the address fails or the metrics client can't be
/// created.
pub async fn start(settings: settings::AgentSettings) -> Result<Running, AgentError> {
    let listener = server::bind(settings.listen).await.context(ListenSnafu)?;
    let address = listener.local_addr().unwrap_or(settings.listen);
    let app = app::App::new(settings, address).context(MetricsSnafu)?;
    let stop = process::StopSignal::new();
    let server_task = tokio::spawn(server::serve(listener, router(&app), stop.clone()));
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
        server_task,
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
            .to_new_handler(server::endpoint(&app.transfers, transfer::upload));
        route
            .post("/v1/activate")
            .to_new_handler(server::endpoint(app, orders::activate));
    })
}
