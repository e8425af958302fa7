//! The newest version of the configuration that other entries have in force, by their heartbeats.
//!
//! ```
//! use std::time;
//!
//! use pimentohook_core::{clock, reported_version::ReportedVersion};
//!
//! let first_at = clock::BootInstant::from_boot(time::Duration::from_secs(60));
//! let reported = ReportedVersion::default().after(7, first_at, None);
//! assert_eq!(reported.version(), 7);
//! let later = first_at + time::Duration::from_secs(1);
//! assert_eq!(reported.after(7, later, None).reported_at(), Some(first_at));
//! ```

use crate::clock;

/// An entry of the same region that has the newest version in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// The name of the entry.
    pub entry: String,
    /// When the first entry of the region reported the version.
    pub since: clock::BootInstant,
}

/// The newest version that another entry reported in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedVersion {
    version: u64,
    reported_at: Option<clock::BootInstant>,
    neighbour: Option<Neighbour>,
}

impl ReportedVersion {
    /// Returns the newest reported version; 0 if there is none.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns when the version was reported first.
    #[must_use]
    pub const fn reported_at(&self) -> Option<clock::BootInstant> {
        self.reported_at
    }

    /// Returns the entry of the same region that reported the version last.
    #[must_use]
    pub const fn neighbour(&self) -> Option<&Neighbour> {
        self.neighbour.as_ref()
    }

    /// Returns what is known after an entry reported `version` at `now`; `neighbour` is its name if it
    /// is of the same region.
    #[must_use]
    pub fn after(&self, version: u64, now: clock::BootInstant, neighbour: Option<&str>) -> Self {
        if version < self.version {
            return self.clone();
        }
        let before = (version == self.version).then_some(self);
        let known = before.and_then(Self::neighbour);
        let since = known.map_or(now, |known| known.since);
        let reported = neighbour.map(|entry| Neighbour {
            entry: String::from(entry),
            since,
        });
        Self {
            version,
            reported_at: before.and_then(Self::reported_at).or(Some(now)),
            neighbour: reported.or_else(|| known.cloned()),
        }
    }
}
