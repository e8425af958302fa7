//! Records again the grants that a restored store has lost.

use pimentohook_core::{burst::ledger, id};

use super::app;
use crate::mutex::lock;

/// Adds the grants to a stored ledger that the store has lost; returns how many were added.
pub fn recover(
    app: &app::App,
    manifest: id::Digest,
    stored: &mut ledger::Ledger,
    availability: &ledger::ChunkAvailability,
) -> usize {
    let is_restored = lock(&app.recovery).is_restored();
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
