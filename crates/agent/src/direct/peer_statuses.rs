//! What other agents last reported of the versions that they hold or download.

use std::time;

use indexmap::IndexMap;
use pimentohook_core::{burst, id};

/// The number of versions of which the reports of one agent are kept.
const VERSIONS_MAX: usize = 3;

/// What an agent reported of one version.
#[derive(Clone, Debug)]
pub struct VersionReport {
    /// The incarnation of the agent's process.
    pub incarnation: id::Incarnation,
    /// The chunks that it holds and the state of its downloads.
    pub progress: burst::Progress,
    /// When the report arrived.
    pub received_at: time::Instant,
}

/// The last reports of other agents, by VM and manifest.
#[derive(Clone, Debug, Default)]
pub struct PeerStatuses {
    by_vm: IndexMap<id::VmId, IndexMap<id::Digest, VersionReport>>,
}

impl PeerStatuses {
    /// Records a report of an agent. Those of an earlier incarnation, which has lost its chunks, are
    /// dropped.
    pub fn record(&mut self, vm: id::VmId, report: VersionReport) {
        let reports = self.by_vm.entry(vm).or_default();
        reports.retain(|_, known| known.incarnation == report.incarnation);
        let manifest = report.progress.manifest;
        reports.shift_remove(&manifest);
        reports.insert(manifest, report);
        if reports.len() > VERSIONS_MAX {
            reports.shift_remove_index(0);
        }
    }

    /// Drops what was reported before `oldest`.
    pub fn forget_before(&mut self, oldest: time::Instant) {
        for reports in self.by_vm.values_mut() {
            reports.retain(|_, report| report.received_at >= oldest);
        }
        self.by_vm.retain(|_, reports| !reports.is_empty());
    }

    /// Returns the last report of a VM on a version.
    #[must_use]
    pub fn report(&self, vm: &id::VmId, manifest: id::Digest) -> Option<&VersionReport> {
        self.by_vm.get(vm)?.get(&manifest)
    }

    /// Returns the last reports on a version.
    pub fn reports_on(
        &self,
        manifest: id::Digest,
    ) -> impl Iterator<Item = (&id::VmId, &VersionReport)> {
        let statuses = self.by_vm.iter();
        statuses.filter_map(move |(vm, reports)| Some((vm, reports.get(&manifest)?)))
    }

    /// Returns the number of VMs that have reported.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_vm.len()
    }

    /// Returns whether no VM has reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_vm.is_empty()
    }
}
