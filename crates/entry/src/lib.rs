//! The entry process, which serves callers and operators and performs duties under a lease.
//!
//! In gateway mode the entry dispatches callers' requests through agents. In [`direct`] mode it
//! sends them to upstreams without an agent in between.
//!
//! * [`direct`]: direct mode. The other modules make up gateway mode.
//! * [`settings`] and [`app`]: the settings and the shared state.
//! * [`callers`], [`caller_request`] and [`caller_response`]: callers' requests, and the list of
//!   entries.
//! * [`dispatch`], [`stream`] and [`forward`]: the dispatch of a request to agents with failover,
//!   and the response that is read from an agent and forwarded.
//! * [`agents`]: heartbeats from agents.
//! * [`operators`]: intents, plans, confirmations, status and the burn report.
//! * [`phone`]: a page for operators with phones.
//! * [`configuration`]: the configuration in force, from the platform or from other entries.
//! * [`duties`] and [`origin`]: rollouts and origin grants, under a lease.
//! * [`peers`] and [`peer_client`]: the status and the counts of the other entries.

pub mod agents;
pub mod app;
pub mod caller_request;
pub mod caller_response;
pub mod callers;
pub mod configuration;
pub mod direct;
pub mod dispatch;
pub mod duties;
pub mod forward;
pub mod operators;
pub mod origin;
pub mod peer_client;
pub mod peers;
pub mod phone;
pub mod settings;
pub mod stream;

use std::{net, sync, time};

use gotham::{
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use pimentohook_runtime::{metrics, process, server};
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;

/// An entry failed to start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// Listening on the address failed.
    #[snafu(display("entry: {source}"))]
    Listen {
        /// The underlying error.
        source: server::ServerError,
    },
    /// The metrics client can't be created.
    #[snafu(display("entry: {source}"))]
    Metrics {
        /// The underlying error.
        source: metrics::MetricsError,
    },
}

/// A running entry.
#[derive(Debug)]
pub struct Running {
    /// The address that it listens on.
    pub address: net::SocketAddr,
    /// Stops the entry without draining it.
    pub stop: process::StopSignal,
    app: sync::Arc<app::App>,
    server_task: JoinHandle<()>,
}

const DRAIN_TIMEOUT: time::Duration = time::Duration::from_mins(2);

impl Running {
    /// Shuts down gracefully.
    ///
    /// The entry leaves the list of entries, keeps serving while callers may have that list cached,
    /// and then refuses new requests, finishes the running ones and stops.
    pub async fn drain(self) {
        log::info!(
            "entry: graceful shutdown started; new requests are accepted for {:?}.",
            self.app.settings.directory_ttl
        );
        self.app.begin_shutdown();
        duties::release(&self.app).await;
        tokio::time::sleep(self.app.settings.directory_ttl).await;
        self.app.refuse_all();
        self.stop.set();
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, self.server_task).await;
        log::info!("entry: stopped.");
    }
}

/// Starts an entry in gateway mode.
///
/// # Errors
///
/// Returns an [`EntryError`] if listening on the address fails or the metrics client can't be
/// created.
pub async fn start(settings: settings::EntrySettings) -> Result<Running, EntryError> {
    let listener = server::bind(settings.listen).await.context(ListenSnafu)?;
    let address = listener.local_addr().unwrap_or(settings.listen);
    let app = app::App::new(settings, address).context(MetricsSnafu)?;
    let stop = process::StopSignal::new();
    let server_task = tokio::spawn(server::serve(listener, router(&app), stop.clone()));
    tokio::spawn(agents::run(app.clone(), stop.clone()));
    tokio::spawn(peers::run(app.clone(), stop.clone()));
    tokio::spawn(configuration::run(app.clone(), stop.clone()));
    tokio::spawn(duties::run(app.clone(), stop.clone()));
    log::info!("entry: {} listens on {address}.", app.settings.entry);
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
            .get("/v1/entries")
            .to_new_handler(server::endpoint(app, callers::entries));
        route
            .post("/v1/services/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(app, callers::request));
        route
            .get("/v1/answers/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(app, callers::resume));
        route
            .post("/v1/heartbeats")
            .to_new_handler(server::endpoint(app, agents::heartbeat));
        route
            .get("/v1/peer")
            .to_new_handler(server::endpoint(app, peers::status));
        route
            .get("/v1/config")
            .to_new_handler(server::endpoint(app, configuration::current));
        route
            .get("/v1/counts")
            .to_new_handler(server::endpoint(app, operators::counts));
        route
            .get("/v1/status")
            .to_new_handler(server::endpoint(app, operators::status));
        route
            .post("/v1/intents")
            .to_new_handler(server::endpoint(app, operators::intent));
        route
            .post("/v1/confirm")
            .to_new_handler(server::endpoint(app, operators::confirm));
        route
            .get("/v1/burn")
            .to_new_handler(server::endpoint(app, operators::burn));
        route
            .get("/phone")
            .to_new_handler(server::endpoint(app, phone::show));
        route
            .post("/phone")
            .to_new_handler(server::endpoint(app, phone::submit));
    })
}
