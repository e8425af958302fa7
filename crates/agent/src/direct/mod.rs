//! Direct mode: the agent controls its engine but is not on the path of requests.
//!
//! It loads weights into its engine and does admission control for it. Entries send requests to the
//! engine themselves, so the failure of an agent interrupts none.
//!
//! * [`settings`] and [`app`]: settings and shared state.
//! * [`feed`] and [`weights_feed`]: configuration, peers and entries, and announced weights.
//! * [`entry_follow`]: what both ask of entries.
//! * [`weights_versions`]: when versions of weights were announced.
//! * [`gossip`] and [`swarm`]: exchange of progress with peers, and download of weights.
//! * [`grants`]: permission to download chunks from the origin, which bounds what it sends.
//! * [`peer_statuses`] and [`version_ledgers`]: what a grantor knows of agents and grants.
//! * [`ledger_recovery`], [`lost_grants`] and [`store_eras`]: the record of grants after the store was
//!   restored from a copy.
//! * [`loader`]: load orders, by the engine's report ([`engine_report`]), after [`staging`] of chunks,
//!   at the time that [`load_schedule`] says.
//! * [`entry_notices`]: tells entries the engine's state.
//! * [`starting`]: what an engine gets that has just started or recovered.
//! * [`place`]: admission: entries request a slot at the engine before they send a request to it.

pub mod app;
pub mod engine_report;
pub mod entry_follow;
pub mod entry_notices;
pub mod feed;
pub mod gossip;
pub mod grants;
pub mod ledger_recovery;
pub mod load_order;
pub mod load_schedule;
pub mod loader;
pub mod lost_grants;
pub mod peer_statuses;
pub mod place;
pub mod reloading;
pub mod settings;
pub mod staging;
pub mod starting;
pub mod store_eras;
pub mod swarm;
pub mod version_ledgers;
pub mod weights_feed;
pub mod weights_versions;

use std::sync;

use gotham::{
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use pimentohook_core::memory_shares;
use pimentohook_runtime::{metrics, process, server};
use pimentohook_wire::direct;
use snafu::{ResultExt, Snafu};

use crate::transfer;

/// An agent failed to start.
#[derive(Debug, Snafu)]
#[snafu(display("agent: {source}"))]
pub struct DirectError {
    source: server::ServerError,
}

/// A running agent.
#[derive(Debug)]
pub struct Running {
    /// Stops the agent.
    pub stop: process::StopSignal,
}

/// Starts an agent in direct mode.
///
/// # Errors
///
/// Returns a [`DirectError`] if listening on one of the addresses fails.
pub async fn start(settings: settings::DirectSettings) -> Result<Running, DirectError> {
    let listener = server::bind(settings.peers).await.context(DirectSnafu)?;
    let metrics = match settings.metrics {
        Some(address) => Some(server::bind(address).await.context(DirectSnafu)?),
        None => None,
    };
    let shares = memory_shares::AgentShares::of(&settings.vm_limits);
    let app = app::App::new(settings);
    if let Some(listener) = metrics {
        let handler = server::endpoint(&app.metrics_registry, metrics::serve);
        tokio::spawn(server::serve_within(
            listener,
            handler,
            process::StopSignal::new(),
            shares.metrics_max,
            shares.messages_bytes,
        ));
    }
    let stop = process::StopSignal::new();
    log::info!(
        "agent: event=started vm={} engine={}",
        app.settings.vm,
        app.settings.engine
    );
    tokio::spawn(server::serve_within(
        listener,
        router(&app),
        stop.clone(),
        shares.peers_max,
        shares.messages_bytes,
    ));
    feed::start(&app);
    tokio::spawn(store_eras::run(app.clone()));
    tokio::spawn(swarm::run(app.clone(), stop.clone()));
    tokio::spawn(loader::run(app.clone(), stop.clone()));
    tokio::spawn(entry_notices::run(app.clone(), stop.clone()));
    Ok(Running { stop })
}

fn router(app: &sync::Arc<app::App>) -> router::Router {
    router::build_simple_router(|route| {
        route
            .post(direct::SLOT_PATH)
            .to_new_handler(server::endpoint(app, place::handle));
        route
            .post(direct::SWARM_PATH)
            .to_new_handler(server::endpoint(app, gossip::handle));
        route
            .post(direct::CHUNK_PATH)
            .to_new_handler(server::endpoint(&app.transfers, transfer::upload));
    })
}
