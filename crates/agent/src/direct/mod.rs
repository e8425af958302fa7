//! The direct mode: the agent is beside the path of requests, not on it.
//!
//! It brings weights into its engine and says what may start there; entries send requests to the
//! engine themselves, so an agent that dies cuts none.
//!
//! * [`settings`] and [`app`]: what the agent is told, and what its parts share.
//! * [`feed`]: configuration, named weights, other agents and entries.
//! * [`swarm`] and [`grants`]: weights from peers, and few of them from the origin.
//! * [`loader`]: staged chunks, orders to the engine, its report.
//! * [`place`]: whether a request may start.

pub mod app;
pub mod feed;
pub mod gossip;
pub mod grants;
pub mod loader;
pub mod place;
pub mod settings;
pub mod swarm;

use std::sync;

use gotham::{
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use pimentohook_runtime::{metrics, process, server};
use pimentohook_wire::direct;
use snafu::{ResultExt, Snafu};

use crate::transfer;

/// An agent that can't start.
#[derive(Debug, Snafu)]
#[snafu(display("agent: {source}"))]
pub struct DirectError {
    source: server::ServerError,
}

/// An agent that runs.
#[derive(Debug)]
pub struct Running {
    /// Ends it.
    pub stop: process::StopSignal,
}

/// Starts an agent.
///
/// # Errors
///
/// [`DirectError`] where its address can't be listened on.
pub async fn start(settings: settings::DirectSettings) -> Result<Running, DirectError> {
    let listener = server::bind(settings.peers).await.context(DirectSnafu)?;
    let metrics = match settings.metrics {
        Some(address) => Some(server::bind(address).await.context(DirectSnafu)?),
        None => None,
    };
    let app = app::App::new(settings);
    if let Some(listener) = metrics {
        let shown = server::endpoint(&app.kept, metrics::serve);
        tokio::spawn(server::serve(listener, shown, process::StopSignal::new()));
    }
    let stop = process::StopSignal::new();
    log::info!(
        "agent: event=started vm={} engine={}",
        app.settings.vm,
        app.settings.engine
    );
    tokio::spawn(server::serve(listener, router(&app), stop.clone()));
    feed::start(&app);
    tokio::spawn(swarm::run(app.clone(), stop.clone()));
    tokio::spawn(loader::run(app.clone(), stop.clone()));
    tokio::spawn(loader::notify_entries(app.clone(), stop.clone()));
    Ok(Running { stop })
}

fn router(app: &sync::Arc<app::App>) -> router::Router {
    router::build_simple_router(|route| {
        route
            .post(direct::SLOT_PATH)
            .to_new_handler(server::endpoint(app, place::answer));
        route
            .post(direct::SWARM_PATH)
            .to_new_handler(server::endpoint(app, gossip::answer));
        route
            .post(direct::CHUNK_PATH)
            .to_new_handler(server::endpoint(&app.transfers, transfer::give));
    })
}
