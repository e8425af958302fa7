//! Notices that the store was restored from a copy, and asks for what it has lost.

use std::sync;

use pimentohook_core::id;
use pimentohook_runtime::metrics;

use super::{app, gossip, grants};
use crate::mutex::lock;

/// Notices each era of the store, until the process exits.
pub async fn run(app: sync::Arc<app::App>) {
    let mut before = id::StoreEra::default();
    loop {
        let after = app.store.wait_for_era_after(before).await;
        lock(&app.recovery).note_era(after, app.clock.now());
        metrics::Registry::set(&app.metrics, "store_era", after.get());
        if before == id::StoreEra::default() {
            log::info!("store: event=era_known era={after}");
        } else {
            app.count("store_restored");
            let announced = app.announced.load_full();
            let granted = announced
                .iter()
                .filter(|target| grants::is_grantor(&app, target));
            let granted: Vec<&app::TargetVersion> = granted.collect();
            let rewritten = granted.iter().map(|target| grants::ledger_name(target));
            let rewritten: Vec<String> = rewritten.collect();
            log::warn!(
                "store: event=restored before={before} after={after} writes_again={rewritten:?}"
            );
            for target in granted {
                gossip::call_all(&app, &sync::Arc::new(target.clone()));
            }
        }
        before = after;
    }
}
