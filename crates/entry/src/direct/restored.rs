//! What an entry does when the platform's store was restored from a copy.
//!
//! The feeds list each kind again by themselves. This module reports the restore, and drops the
//! upstreams that the copy lacks once their writers have had the time to write them again.

use std::{fmt::Write as _, sync};

use pimentohook_core::id;
use pimentohook_runtime::metrics;
use tokio::time as tokio_time;

use super::{app, feed};

/// Reports each era of the store, until the process exits.
pub async fn run(app: sync::Arc<app::App>) {
    let mut era = id::StoreEra::default();
    loop {
        let newest = app.store.wait_for_era_after(era).await;
        report(&app, era, newest);
        era = newest;
    }
}

fn report(app: &app::App, before: id::StoreEra, after: id::StoreEra) {
    metrics::Registry::set(&app.metrics, "store_era", after.get());
    if before == id::StoreEra::default() {
        log::info!("store: event=era_known era={after}");
        return;
    }
    app.count("store_restored");
    log::warn!(
        "store: event=restored before={before} after={after} positions={} \
         writes_again=entries/{}",
        positions(app),
        app.settings.entry
    );
}

/// Returns the positions of the kinds that are followed as text.
fn positions(app: &app::App) -> String {
    let mut text = String::new();
    for kind in feed::FOLLOWED {
        let separator = if text.is_empty() { "" } else { "," };
        let position = app.cached(kind).collection().position();
        let _ = write!(text, "{separator}{kind}={position}");
    }
    text
}

/// Drops the upstreams that a restored store has lost when their time is over.
pub fn expire_lost_upstreams(app: &sync::Arc<app::App>) {
    let Some(expires_at) = app.lost_upstreams_expire_at() else {
        return;
    };
    let app = app.clone();
    tokio::spawn(async move {
        tokio_time::sleep_until(expires_at.into()).await;
        app.set_listed_upstreams();
    });
}
