//! The recovery of the ledger of grants after the store was restored from a copy.
//!
//! The copy lacks the grants that were recorded after it was made. Before anything is granted in the
//! new era, every live agent gets the time to report the grants that it received. These and the
//! grants that the grantor remembers are recorded again.

use std::{sync, time};

use indexmap::IndexMap;
use pimentohook_core::{burst::ledger, id};
use pimentohook_runtime::metrics;

use super::{app, gossip, grants};
use crate::mutex::lock;

/// The number of versions whose grants are remembered.
const VERSIONS_MAX: usize = 3;

/// What a grantor knows of the ledger of a version besides what the store has.
#[derive(Debug)]
struct RememberedLedger {
    /// The era in which the ledger is complete.
    era: id::StoreEra,
    /// The grants that this agent has recorded or read, in any era.
    grants: Vec<ledger::Grant>,
}

/// What a grantor knows of the ledgers besides what the store has.
#[derive(Debug, Default)]
pub struct Recovery {
    era: id::StoreEra,
    /// When a restore of the store was last noticed.
    restored_at: Option<time::Instant>,
    remembered: IndexMap<id::Digest, RememberedLedger>,
}

impl Recovery {
    /// Records that the store is in an era.
    pub fn note_era(&mut self, era: id::StoreEra, now: time::Instant) {
        if self.era != id::StoreEra::default() {
            self.restored_at = Some(now);
        }
        self.era = era;
    }

    /// Returns whether every live agent has had the time `report_timeout` to report its grants
    /// since the store entered `era`.
    #[must_use]
    pub fn is_ready(
        &self,
        era: id::StoreEra,
        now: time::Instant,
        report_timeout: time::Duration,
    ) -> bool {
        let is_over = |at: time::Instant| now.saturating_duration_since(at) >= report_timeout;
        era == self.era && self.restored_at.is_none_or(is_over)
    }

    /// Returns whether the ledger of a manifest was recovered in an era, if there was need to.
    #[must_use]
    pub fn is_complete(&self, manifest: id::Digest, era: id::StoreEra) -> bool {
        let remembered = self.remembered.get(&manifest);
        remembered.is_some_and(|remembered| remembered.era == era)
    }

    /// Records the complete ledger of a manifest.
    pub fn record(&mut self, manifest: id::Digest, era: id::StoreEra, ledger: &ledger::Ledger) {
        let grants = ledger.grants().to_vec();
        let remembered = RememberedLedger { era, grants };
        self.remembered.insert(manifest, remembered);
        if self.remembered.len() > VERSIONS_MAX {
            self.remembered.shift_remove_index(0);
        }
    }

    fn remembered_grants(&self, manifest: id::Digest) -> Vec<ledger::Grant> {
        let remembered = self.remembered.get(&manifest);
        remembered.map_or_else(Vec::new, |remembered| remembered.grants.clone())
    }
}

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

/// Adds the grants to a stored ledger that the store has lost; returns how many were added.
pub fn recover(
    app: &app::App,
    manifest: id::Digest,
    stored: &mut ledger::Ledger,
    availability: &ledger::ChunkAvailability,
) -> usize {
    let is_restored = lock(&app.recovery).restored_at.is_some();
    let mut known = lock(&app.recovery).remembered_grants(manifest);
    known.extend(reported_grants(app, manifest));
    // Without a restore, chunks without a grant were beside the engine before.
    let added_count = if is_restored {
        stored.recover(&known, availability)
    } else {
        stored.recover(&known, &ledger::ChunkAvailability::default())
    };
    if added_count > 0 {
        log::warn!(
            "grants: event=recovered added={added_count} known={} recorded={}",
            known.len(),
            stored.grants().len()
        );
    }
    added_count
}

/// Returns the grants that this agent and others received, as far as they have reported them.
fn reported_grants(app: &app::App, manifest: id::Digest) -> Vec<ledger::Grant> {
    let mut reported = Vec::new();
    if let Some(progress) = app.transfers.progress_of(manifest) {
        let own = progress.grants.into_iter();
        reported.extend(own.map(|id| ledger::Grant::new(id, app.own_vm.clone(), app.incarnation)));
    }
    for (vm, report) in lock(&app.peer_statuses).reports_on(manifest) {
        let received = report.progress.grants.iter();
        let grant = |id| ledger::Grant::new(id, vm.clone(), report.incarnation);
        reported.extend(received.copied().map(grant));
    }
    reported
}
