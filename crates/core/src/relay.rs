//! Relays: from whom an entry follows the objects of the platform.
//!
//! Links between regions have low bandwidth. Therefore a few entries of each region, its relays,
//! follow the platform's store, and the others follow them. There is no election: each entry ranks
//! the entries that it knows, and fails over to the next [`Source`] when one fails or has nothing
//! newer. The age of a copy counts from the last contact with the store, over however many relays,
//! so entries that only follow each other notice that their copies grow old.
//!
//! ```
//! use pimentohook_core::{relay, size};
//!
//! let me = relay::RelayCandidate {
//!     name: String::from("entry-1"),
//!     region: String::from("jylland"),
//!     link_rate: size::ByteRate::new(5_000_000),
//!     is_settled: true,
//! };
//! assert_eq!(relay::source_order(&me, &[]), [relay::Source::Store]);
//! ```

use std::{cmp, time};

use indexmap::IndexMap;

use crate::{id, size};

/// The number of relays of a region. Both follow the store and the followers are spread over them,
/// so that the loss of one is borne by the other.
const RELAY_COUNT: usize = 2;
/// The number of other entries that are tried when neither the relays nor the store respond.
const FALLBACK_ENTRIES_MAX: usize = 4;
/// The first backoff of a source, unless what is read from it has to be noticed sooner.
pub const BACKOFF_MIN: time::Duration = time::Duration::from_millis(150);
/// The longest backoff of a source, unless what is read from it has to be noticed sooner.
pub const BACKOFF_MAX: time::Duration = time::Duration::from_millis(2_400);

/// An entry that can be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The name of the entry.
    pub name: String,
    /// The region of the entry.
    pub region: String,
    /// The bandwidth of its link.
    pub link_rate: size::ByteRate,
    /// Whether it has run for long enough to know the other entries of its region.
    pub is_settled: bool,
}

/// A source of the platform's objects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another entry, by name.
    Entry(String),
}

/// Returns the sources of `me` in order of preference; `others` are the other live entries.
///
/// Entries that are not settled are never relays: entries that start together would otherwise
/// follow each other.
#[must_use]
pub fn source_order(me: &RelayCandidate, others: &[RelayCandidate]) -> Vec<Source> {
    let is_eligible =
        |candidate: &&RelayCandidate| candidate.region == me.region && candidate.is_settled;
    let all = others.iter().chain([me]);
    let mut candidates: Vec<&RelayCandidate> = all.filter(is_eligible).collect();
    candidates.sort_by_cached_key(|candidate| {
        let score = id::rendezvous_score(&me.region, &candidate.name);
        cmp::Reverse((candidate.link_rate, score))
    });
    candidates.truncate(RELAY_COUNT);
    let is_relay = candidates.contains(&me);
    let mut relays: Vec<&RelayCandidate> = candidates
        .into_iter()
        .filter(|candidate| *candidate != me)
        .collect();
    sort_for(me, &mut relays);
    let is_no_relay = |candidate: &&RelayCandidate| !relays.contains(candidate);
    let mut fallbacks: Vec<&RelayCandidate> = others.iter().filter(is_no_relay).collect();
    sort_for(me, &mut fallbacks);
    fallbacks.sort_by_key(|candidate| candidate.region != me.region);
    let to_source = |candidate: &&RelayCandidate| Source::Entry(candidate.name.clone());
    let mut sources: Vec<Source> = relays.iter().map(to_source).collect();
    let store_index = if is_relay { 0 } else { sources.len() };
    sources.insert(store_index, Source::Store);
    sources.extend(fallbacks.iter().take(FALLBACK_ENTRIES_MAX).map(to_source));
    sources
}

/// Orders candidates by rendezvous hashing with the name of `me`, which balances followers among
/// them.
fn sort_for(me: &RelayCandidate, candidates: &mut [&RelayCandidate]) {
    candidates.sort_by_cached_key(|candidate| id::rendezvous_score(&me.name, &candidate.name));
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    until: time::Instant,
    backoff: time::Duration,
}

/// Sources that failed, each with an exponential backoff.
#[derive(Clone, Debug)]
pub struct Failures {
    by_source: IndexMap<Source, Failure>,
    entry_failed_last: bool,
    backoff_min: time::Duration,
    backoff_max: time::Duration,
}

impl Default for Failures {
    fn default() -> Self {
        Self::with_backoffs(BACKOFF_MIN, BACKOFF_MAX)
    }
}

impl Failures {
    /// Creates an empty record whose backoffs are between `backoff_min` and `backoff_max`.
    #[must_use]
    pub fn with_backoffs(backoff_min: time::Duration, backoff_max: time::Duration) -> Self {
        Self {
            by_source: IndexMap::new(),
            entry_failed_last: false,
            backoff_min,
            backoff_max,
        }
    }

    /// Records that a source failed after some time.
    pub fn record_failure(&mut self, source: &Source, now: time::Instant) {
        self.entry_failed_last = *source != Source::Store;
        self.record_useless(source, now);
    }

    /// Records that a source has nothing to tell, and said so at once or was asked beside others.
    pub fn record_useless(&mut self, source: &Source, now: time::Instant) {
        let before = self.by_source.get(source);
        let backoff = before.map_or(self.backoff_min, |before| before.backoff * 2);
        let backoff = backoff.min(self.backoff_max);
        let until = now + backoff;
        self.by_source
            .insert(source.clone(), Failure { until, backoff });
    }

    /// Records that a source responded with its current copy.
    pub fn record_success(&mut self, source: &Source) {
        self.entry_failed_last = false;
        self.by_source.swap_remove(source);
    }

    /// Selects the first source of an order that is not in backoff. Right after an entry failed,
    /// the store comes first, because time was lost and the next entry may fail too.
    #[must_use]
    pub fn choose<'a>(&self, sources: &'a [Source], now: time::Instant) -> Option<&'a Source> {
        let store = sources.iter().find(|source| **source == Source::Store);
        let store = store.filter(|_| self.entry_failed_last);
        store
            .filter(|store| self.is_usable(store, now))
            .or_else(|| self.first_usable(sources, now))
    }

    /// Returns the first source of an order that is not in backoff.
    #[must_use]
    pub fn first_usable<'a>(
        &self,
        sources: &'a [Source],
        now: time::Instant,
    ) -> Option<&'a Source> {
        sources.iter().find(|source| self.is_usable(source, now))
    }

    fn is_usable(&self, source: &Source, now: time::Instant) -> bool {
        let failure = self.by_source.get(source);
        failure.is_none_or(|failure| failure.until <= now)
    }
}

/// A source that is followed, which is asked again and again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Followed {
    /// The source.
    pub source: Source,
    /// When it was asked last.
    pub asked_at: time::Instant,
}

impl Followed {
    /// Returns whether the answer of `source` may still be on its way to whoever follows this one, so
    /// that it need not be asked beside it: for an entry always, and for the store within `timeout`.
    #[must_use]
    pub fn may_still_answer(
        &self,
        source: &Source,
        timeout: time::Duration,
        now: time::Instant,
    ) -> bool {
        let is_recent = now.saturating_duration_since(self.asked_at) < timeout;
        self.source == *source && (is_recent || *source != Source::Store)
    }
}
