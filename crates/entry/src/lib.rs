//! The entry process: callers, operators, and the duties that one entry performs for all.
//!
//! * [`settings`] and [`app`]: what it is told, and what its parts share.
//! * [`callers`], [`relay`], [`stream`]: a request from its caller to an agent and back.
//! * [`agents`]: heartbeats of agents.
//! * [`operators`] and [`phone`]: intents, plans, confirmations, status.
//! * [`configuration`]: the configuration in force, from the platform or from peers.
//! * [`duties`] and [`origin`]: rollouts and origin grants, under a lease.
//! * [`peers`]: the other entries.
//! * [`direct`]: the mode in which requests go to upstreams without an agent between.

pub mod agents;
pub mod app;
pub mod callers;
pub mod configuration;
pub mod direct;
pub mod duties;
pub mod operators;
pub mod origin;
pub mod peers;
pub mod phone;
pub mod relay;
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

/// An entry that can't start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The address is taken.
    #[snafu(display("entry: {source}"))]
    Listen {
        /// The cause.
        source: server::ServerError,
    },
    /// Metrics can't be sent.
    #[snafu(display("entry: {source}"))]
    Metrics {
        /// The cause.
        source: metrics::MetricsError,
    },
}

/// An entry that runs.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Ends it without draining.
    pub stop: process::StopSignal,
    app: sync::Arc<app::App>,
    serving: JoinHandle<()>,
}

const DRAIN_MAX: time::Duration = time::Duration::from_mins(2);

impl Running {
    /// Drops out of the list of entries, serves on for as long as that list may be kept, then
    /// refuses, finishes what runs and stops.
    pub async fn drain(self) {
        log::info!(
            "entry: leaving, serves on for {:?}.",
            self.app.settings.keep
        );
        self.app.begin_leaving();
        duties::release(&self.app).await;
        tokio::time::sleep(self.app.settings.keep).await;
        self.app.refuse_all();
        self.stop.set();
        let _ = tokio::time::timeout(DRAIN_MAX, self.serving).await;
        log::info!("entry: stopped.");
    }
}

/// Starts an entry.
///
/// # Errors
///
/// [`EntryError`] where its address can't be listened on.
pub async fn start(settings: settings::EntrySettings) -> Result<Running, EntryError> {
    let listener = server::bind(settings.listen).await.context(ListenSnafu)?;
    let address = listener.local_addr().unwrap_or(settings.listen);
    let app = app::App::new(settings, address).context(MetricsSnafu)?;
    let stop = process::StopSignal::new();
    let serving = tokio::spawn(server::serve(listener, router(&app), stop.clone()));
    tokio::spawn(agents::run(app.clone(), stop.clone()));
    tokio::spawn(peers::run(app.clone(), stop.clone()));
    tokio::spawn(configuration::run(app.clone(), stop.clone()));
    tokio::spawn(duties::run(app.clone(), stop.clone()));
    log::info!("entry: {} listens on {address}.", app.settings.entry);
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
            .get("/v1/entries")
            .to_new_handler(server::endpoint(app, callers::entries));
        route
            .post("/v1/services/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(app, callers::request));
        route
            .get("/v1/answers/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(app, callers::answer));
        route
            .post("/v1/heartbeats")
            .to_new_handler(server::endpoint(app, agents::heartbeat));
        route
            .get("/v1/peer")
            .to_new_handler(server::endpoint(app, peers::notice));
        route
            .get("/v1/config")
            .to_new_handler(server::endpoint(app, configuration::present));
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
            .to_new_handler(server::endpoint(app, phone::act));
    })
}
