//! The ledgers of grants that this agent has recorded or read as a grantor, by version.

use std::sync;

use indexmap::IndexMap;
use pimentohook_core::{burst::ledger, id};

/// The number of versions whose ledgers are kept.
const VERSIONS_MAX: usize = 3;

/// What a grantor keeps for one version.
#[derive(Clone, Debug, Default)]
pub struct VersionLedger {
    /// The ledger as recorded in the store; `None` if it has to be read again.
    pub recorded: Option<sync::Arc<ledger::Ledger>>,
    /// The times of the grants that this agent made.
    pub grant_times: ledger::GrantTimes,
}

/// The ledgers of the last versions, by manifest.
#[derive(Clone, Debug, Default)]
pub struct VersionLedgers {
    by_manifest: IndexMap<id::Digest, VersionLedger>,
}

impl VersionLedgers {
    /// Returns what is kept for a version.
    #[must_use]
    pub fn get(&self, manifest: id::Digest) -> VersionLedger {
        let known = self.by_manifest.get(&manifest);
        known.cloned().unwrap_or_default()
    }

    /// Returns the recorded ledger of a version.
    #[must_use]
    pub fn recorded(&self, manifest: id::Digest) -> Option<sync::Arc<ledger::Ledger>> {
        self.by_manifest.get(&manifest)?.recorded.clone()
    }

    /// Replaces what is kept for a version; drops the oldest if there are too many.
    pub fn set(&mut self, manifest: id::Digest, version_ledger: VersionLedger) {
        self.by_manifest.insert(manifest, version_ledger);
        if self.by_manifest.len() > VERSIONS_MAX {
            self.by_manifest.shift_remove_index(0);
        }
    }

    /// Has the ledger of a version read from the store again before the next grant.
    pub fn forget_recorded(&mut self, manifest: id::Digest) {
        if let Some(known) = self.by_manifest.get_mut(&manifest) {
            known.recorded = None;
        }
    }
}
