//! Follows the configuration, the upstreams, the entries, the announced weights and the evacuations.
//!
//! A few entries of each region, the relays, follow the store; the other entries follow the relays.
//! See [`relay`].

mod apply;
mod fetch;
mod followers;
mod history;
mod sources;
mod timing;

use std::{sync, time};

use pimentohook_core::relay;
use pimentohook_platform::store;
use tokio::time as tokio_time;

use super::{app, cache, restored};

pub use followers::handle_follow;

const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Spawns the tasks that follow each kind of objects, until the process exits.
pub fn start(app: &sync::Arc<app::App>) {
    app.standstills.spawn(&app.metrics);
    for kind in cache::followed(&app.settings) {
        tokio::spawn(follow(app.clone(), kind));
    }
}

async fn follow(app: sync::Arc<app::App>, kind: store::Kind) {
    let timing = timing::follow_timing(&app, kind);
    let mut failures = relay::Failures::with_backoff_max(timing.backoff_max);
    let mut current_source = None;
    sources::wait_for_peers(&app).await;
    loop {
        let order = sources::order(&app, kind);
        let Some(source) = failures.choose(&order, app.clock.now()) else {
            tokio_time::sleep(RETRY_DELAY).await;
            continue;
        };
        match fetch::fetch_changes(&app, kind, source).await {
            Ok(is_changed) => {
                failures.record_success(source);
                if current_source.as_ref() != Some(source) {
                    log::info!("feed: event=following kind={kind} source={source:?}");
                    current_source = Some(source.clone());
                }
                if is_changed && kind == store::Kind::Upstreams {
                    restored::expire_lost_upstreams(&app);
                }
                if is_changed && kind == store::Kind::Evacuations {
                    restored::expire_lost_evacuations(&app);
                }
                if is_changed {
                    tokio_time::sleep(timing::coalesce_delay(&app, kind)).await;
                }
            }
            Err(error) => {
                failures.record_failure(source, app.clock.now());
                log::warn!(
                    "feed: event=source_lost kind={kind} source={source:?} error={error:?} \
                     age_ms={:?}",
                    timing::age_ms(&app, kind)
                );
            }
        }
    }
}
