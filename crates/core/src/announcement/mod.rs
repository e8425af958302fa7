//! When versions of weights were announced, as far as processes together can tell.
//!
//! The grace period of a version runs from its announcement, whenever a process learns of it. A
//! process that starts later, is cut off from the platform for a while or stands still can't tell
//! when that was. So processes pass on what they know, and each [`Announcements`] merges it: an
//! observed announcement counts more than a bound, an earlier observation more than a later one,
//! and of two bounds the later one is closer. What nobody knows counts as long ago.
//!
//! ```
//! use std::time;
//!
//! use pimentohook_core::{announcement, clock};
//!
//! let now = clock::BootInstant::from_boot(time::Duration::from_secs(60));
//! let lifetime = time::Duration::from_secs(8);
//! let mut announcements = announcement::Announcements::default();
//! announcements.record("model-1", 2, announcement::Moment::Observed(now));
//! assert_eq!(announcements.version_min("model-1", now, lifetime), None);
//! assert_eq!(announcements.version_min("model-1", now + lifetime, lifetime), Some(2));
//! ```

use std::time;

use indexmap::IndexMap;

use crate::{clock, position, standstill};

mod report;
mod watch;

pub use report::{Heard, Report, Statement};
pub use watch::{Read, WatchSpan};

/// The number of versions of a model that are remembered. If there are more, the grace periods of
/// the oldest ones end at once.
const VERSIONS_MAX: usize = 32;

/// When a version was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// A process received the announcement at this instant, as soon as it was made.
    Observed(clock::BootInstant),
    /// Nobody is known to have observed it; it was not announced before this instant.
    NotBefore(clock::BootInstant),
    /// Nothing is known, so it may have been long ago.
    Unknown,
}

impl Moment {
    /// Returns the instant from which the grace period is counted; `None` if it counts as over.
    #[must_use]
    pub const fn counted_from(self) -> Option<clock::BootInstant> {
        match self {
            Self::Observed(at) | Self::NotBefore(at) => Some(at),
            Self::Unknown => None,
        }
    }

    /// Combines what two processes know.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Observed(at), Self::Observed(other)) => Self::Observed(at.min(other)),
            (Self::NotBefore(at), Self::NotBefore(other)) => Self::NotBefore(at.max(other)),
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (Self::Observed(at), Self::NotBefore(_)) | (Self::NotBefore(_), Self::Observed(at)) => {
                Self::Observed(at)
            }
        }
    }
}

/// An announced version of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The version.
    pub version: u64,
    /// When it was announced.
    pub moment: Moment,
}

impl Announcement {
    /// Returns whether a process observed the announcement.
    #[must_use]
    pub const fn is_observed(&self) -> bool {
        matches!(self.moment, Moment::Observed(_))
    }

    /// Returns how much of `span` from the announcement on is left.
    fn remaining(&self, span: time::Duration, now: clock::BootInstant) -> time::Duration {
        match self.moment.counted_from() {
            Some(at) => span.saturating_sub(now.saturating_duration_since(at)),
            None => time::Duration::ZERO,
        }
    }

    /// Returns whether a span of time has passed since the announcement.
    #[must_use]
    pub fn is_older_than(&self, span: time::Duration, now: clock::BootInstant) -> bool {
        let counted_from = self.moment.counted_from();
        counted_from.is_none_or(|at| now.saturating_duration_since(at) >= span)
    }
}

/// The announced versions of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ModelVersions {
    /// Ordered by version.
    versions: Vec<Announcement>,
    /// The newest version that was forgotten because there were too many.
    forgotten: Option<u64>,
}

/// The announced versions of each model, as a process knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announcements {
    models: IndexMap<String, ModelVersions>,
    /// The newest version of each model that the process has read itself.
    read_versions: IndexMap<String, u64>,
    /// The last instant for which the process knows what it had read to be complete.
    read_at: Option<clock::BootInstant>,
    /// The state of the store of which the process has read all announced versions.
    read_position: Option<position::Position>,
}

impl Announcements {
    /// Records what is known of a version; returns whether the version is newer than all known
    /// ones.
    pub fn record(&mut self, model: &str, version: u64, moment: Moment) -> bool {
        let of_model = self.models.entry(String::from(model)).or_default();
        let versions = &mut of_model.versions;
        let is_newest = versions.last().is_none_or(|last| last.version < version);
        match versions.binary_search_by_key(&version, |known| known.version) {
            Ok(index) => versions[index].moment = versions[index].moment.merge(moment),
            Err(index) => versions.insert(index, Announcement { version, moment }),
        }
        while versions.len() > VERSIONS_MAX {
            of_model.forgotten = of_model.forgotten.max(Some(versions.remove(0).version));
        }
        is_newest
    }

    /// Records all announced versions as the process has read them; returns those that are newer
    /// than all known ones.
    ///
    /// A change that was pushed was made just now, or while the process stood still; one that was
    /// fetched since the last read.
    pub fn record_read<V>(&mut self, announced: V, read: Read) -> Vec<(String, u64)>
    where
        V: IntoIterator<Item = (String, u64)>,
    {
        let moment = match (read, self.read_at) {
            (Read::Pushed(at), _) => Moment::Observed(at),
            (Read::PushedSince(at), _) => Moment::NotBefore(at),
            (Read::Fetched(_), Some(before)) => Moment::NotBefore(before),
            (Read::Fetched(_), None) => Moment::Unknown,
        };
        let mut newest = Vec::new();
        for (model, version) in announced {
            let known = self.read_versions.get(&model).copied();
            if known >= Some(version) {
                continue;
            }
            self.read_versions.insert(model.clone(), version);
            if self.record(&model, version, moment) {
                newest.push((model, version));
            }
        }
        self.confirm_read(read);
        newest
    }

    /// Like [`Announcements::record_read`], for versions that are all there were at a position of the
    /// store.
    pub fn record_read_at<V>(
        &mut self,
        announced: V,
        read: Read,
        position: position::Position,
    ) -> Vec<(String, u64)>
    where
        V: IntoIterator<Item = (String, u64)>,
    {
        self.read_position = self.read_position.max(Some(position));
        self.record_read(announced, read)
    }

    /// Records that the store was at a position at this instant or later, whatever was read from it.
    ///
    /// A store that is still where all announced versions were read has had no change since.
    pub fn confirm_position(&mut self, position: position::Position, at: clock::BootInstant) {
        if self.read_position == Some(position) {
            self.confirm_read(Read::Fetched(at));
        }
    }

    /// Records that the process has read that nothing changed.
    pub fn confirm_read(&mut self, read: Read) {
        let (Read::Pushed(at) | Read::PushedSince(at) | Read::Fetched(at)) = read;
        self.read_at = self.read_at.max(Some(at));
    }

    /// Records that the response to a watch has been read, whatever it reported.
    pub fn confirm_watch(
        &mut self,
        span: WatchSpan,
        clock: &dyn clock::Clock,
        standstills: &standstill::Monitor,
        transfer: time::Duration,
    ) {
        let responded_at = span.responded_at(clock, standstills, transfer);
        self.confirm_read(Read::Fetched(responded_at));
    }

    fn forgotten(&self, model: &str) -> Option<u64> {
        self.models.get(model)?.forgotten
    }

    /// Returns the time since a version was announced; `None` if nobody observed it.
    #[must_use]
    pub fn age(
        &self,
        model: &str,
        version: u64,
        now: clock::BootInstant,
    ) -> Option<time::Duration> {
        let mut of_model = self.of_model(model).iter();
        let known = of_model.find(|known| known.version == version)?;
        match known.moment {
            Moment::Observed(at) => Some(now.saturating_duration_since(at)),
            Moment::NotBefore(_) | Moment::Unknown => None,
        }
    }

    /// Returns how much of `span` from the announcement of the first newer version on is left;
    /// `None` if no newer version is known.
    #[must_use]
    pub fn remaining(
        &self,
        model: &str,
        version: u64,
        span: time::Duration,
        now: clock::BootInstant,
    ) -> Option<time::Duration> {
        if self.forgotten(model) > Some(version) {
            return Some(time::Duration::ZERO);
        }
        self.remaining_by(|_| true, model, version, span, now)
    }

    /// Like [`Announcements::remaining`], for announcements that were observed only.
    #[must_use]
    pub fn observed_remaining(
        &self,
        model: &str,
        version: u64,
        span: time::Duration,
        now: clock::BootInstant,
    ) -> Option<time::Duration> {
        self.remaining_by(Announcement::is_observed, model, version, span, now)
    }

    /// Returns what the announcements that count leave of `span`.
    fn remaining_by<F>(
        &self,
        counts: F,
        model: &str,
        version: u64,
        span: time::Duration,
        now: clock::BootInstant,
    ) -> Option<time::Duration>
    where
        F: Fn(&Announcement) -> bool,
    {
        let of_model = self.of_model(model).iter();
        let newer = of_model.filter(|known| known.version > version && counts(known));
        newer.map(|known| known.remaining(span, now)).min()
    }

    /// Forgets versions that no longer matter: those before one whose grace period is over for
    /// certain. A bound that counts as over may still be replaced by a later moment.
    pub fn prune(&mut self, now: clock::BootInstant, grace: time::Duration) {
        for of_model in self.models.values_mut() {
            let is_over =
                |known: &Announcement| known.is_observed() && known.is_older_than(grace, now);
            let newest_over = of_model.versions.iter().rposition(is_over).unwrap_or(0);
            of_model.versions.drain(..newest_over);
        }
    }

    /// Returns the announced versions of a model, the newest last.
    #[must_use]
    pub fn of_model(&self, model: &str) -> &[Announcement] {
        let of_model = self.models.get(model);
        of_model.map_or(&[], |of_model| of_model.versions.as_slice())
    }

    /// Returns the newest version that was announced at least `lifetime` ago, which is the oldest
    /// that requests may still start on; `None` if they may start on any version.
    #[must_use]
    pub fn version_min(
        &self,
        model: &str,
        now: clock::BootInstant,
        lifetime: time::Duration,
    ) -> Option<u64> {
        self.version_min_by(|_| true, model, now, lifetime)
            .max(self.forgotten(model))
    }

    /// Like [`Announcements::version_min`], for announcements that were observed only.
    #[must_use]
    pub fn observed_version_min(
        &self,
        model: &str,
        now: clock::BootInstant,
        lifetime: time::Duration,
    ) -> Option<u64> {
        self.version_min_by(Announcement::is_observed, model, now, lifetime)
    }

    /// Returns the newest version that the announcements that count require.
    fn version_min_by<F>(
        &self,
        counts: F,
        model: &str,
        now: clock::BootInstant,
        lifetime: time::Duration,
    ) -> Option<u64>
    where
        F: Fn(&Announcement) -> bool,
    {
        let mut newest_first = self.of_model(model).iter().rev();
        let is_required =
            |known: &&Announcement| counts(known) && known.is_older_than(lifetime, now);
        let newest = newest_first.find(is_required);
        newest.map(|known| known.version)
    }
}
