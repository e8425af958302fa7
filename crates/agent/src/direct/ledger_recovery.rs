//! What a grantor knows of the ledger of grants besides what the store has.
//!
//! The copy that the store is restored from lacks the grants that were recorded after it was made.
//! Before anything is granted in the new era, every live agent gets the time to report the grants that
//! it received. These and the grants that the grantor remembers are recorded again.

use std::time;

use indexmap::IndexMap;
use pimentohook_core::{burst::ledger, id};

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

    /// Returns whether the store was restored while this process ran.
    #[must_use]
    pub const fn is_restored(&self) -> bool {
        self.restored_at.is_some()
    }

    /// Returns the grants of a manifest that this agent has recorded or read.
    #[must_use]
    pub fn remembered_grants(&self, manifest: id::Digest) -> Vec<ledger::Grant> {
        let remembered = self.remembered.get(&manifest);
        remembered.map_or_else(Vec::new, |remembered| remembered.grants.clone())
    }
}
