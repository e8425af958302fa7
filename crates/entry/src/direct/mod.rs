//! The direct mode: callers' requests go from the entry to upstreams without an agent between.
//!
//! It serves platforms whose upstreams check for themselves which instance is meant and say when
//! they did not run a request.
//!
//! * [`settings`] and [`app`]: what the entry is told, and what its parts share.
//! * [`feed`] and [`known`]: configuration, upstreams and named weights, from the store or from
//!   other entries.
//! * [`proxy`], [`attempt`], [`stream`]: a request from its caller to an upstream and back.
//! * [`placement`]: which upstream gets a request.
//! * [`directory`] and [`peers`]: where callers connect, and the other entries.
//! * [`agents`]: what agents tell and ask.

pub mod agents;
pub mod app;
pub mod attempt;
pub mod directory;
pub mod feed;
pub mod known;
pub mod peers;
pub mod placement;
pub mod proxy;
pub mod settings;
pub mod stream;

use std::{sync, time};

use gotham::{
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use pimentohook_runtime::{metrics, process, server};
use pimentohook_wire::direct;
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;

/// An entry that can't start.
#[derive(Debug, Snafu)]
#[snafu(display("entry: {source}"))]
pub struct DirectError {
    source: server::ServerError,
}

/// An entry that runs.
#[derive(Debug)]
pub struct Running {
    /// Ends it without draining.
    pub stop: process::StopSignal,
    app: sync::Arc<app::App>,
    serving: JoinHandle<()>,
}

impl Running {
    /// Leaves the directory, serves on while callers may still use what it said, then finishes
    /// what runs and stops.
    pub async fn drain(self) {
        let settings = &self.app.settings;
        log::info!(
            "entry: event=leaving serves_on_ms={} ends_within_ms={}",
            settings.leave.as_millis(),
            settings.end.as_millis()
        );
        let ends_at = self.app.begin_leaving();
        peers::announce(&self.app).await;
        peers::unregister(&self.app).await;
        tokio::time::sleep(settings.leave).await;
        self.stop.set();
        let rest = ends_at.saturating_duration_since(time::Instant::now());
        let ended = tokio::time::timeout(rest, self.serving).await;
        log::info!("entry: event=stopped finished_all={}", ended.is_ok());
    }
}

/// Starts an entry.
///
/// # Errors
///
/// [`DirectError`] where one of its addresses can't be listened on.
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
    if let Some(listener) = metrics {
        let shown = server::endpoint(&app.kept, metrics::serve);
        tokio::spawn(server::serve(listener, shown, process::StopSignal::new()));
    }
    let stop = process::StopSignal::new();
    log::info!(
        "entry: event=started name={} callers={}",
        app.settings.entry,
        app.settings.callers
    );
    let internal = server::serve(peers, peer_router(&app), process::StopSignal::new());
    tokio::spawn(internal);
    let directory = server::endpoint(&app, directory::resolve);
    tokio::spawn(server::serve(
        resolve,
        directory,
        process::StopSignal::new(),
    ));
    let readiness = server::endpoint(&app, directory::ready);
    tokio::spawn(server::serve(ready, readiness, process::StopSignal::new()));
    let proxy = server::endpoint(&app, proxy::handle);
    let idle_timeout = app.settings.idle_timeout;
    let serving = tokio::spawn(server::serve_with_idle_timeout(
        callers,
        proxy,
        stop.clone(),
        idle_timeout,
    ));
    feed::start(&app);
    tokio::spawn(peers::run(app.clone()));
    Ok(Running { stop, app, serving })
}

fn peer_router(app: &sync::Arc<app::App>) -> router::Router {
    router::build_simple_router(|route| {
        route
            .post(direct::PEER_PATH)
            .to_new_handler(server::endpoint(app, peers::answer));
        route
            .post(direct::FOLLOW_PATH)
            .to_new_handler(server::endpoint(app, feed::answer));
        route
            .post(direct::ENGINE_STATE_PATH)
            .to_new_handler(server::endpoint(app, agents::notice));
        route
            .post(direct::SERVICE_PATH)
            .to_new_handler(server::endpoint(app, agents::service));
    })
}
