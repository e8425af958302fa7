//! From whom an entry learns what the platform keeps.
//!
//! Links between regions are narrow, so few entries of a region, its relays, follow the platform's
//! store, and the others follow them. Nobody is elected: each entry orders those that it knows, and
//! turns to the next [`Source`] when one fails or knows nothing new. How old knowledge is counts
//! from the store's word, whatever way it came, so that entries that only follow each other notice.
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

/// Relays of a region; the second one is there for the loss of the first.
const RELAYS: usize = 2;
/// Entries that are no relays and are asked where neither the relays nor the store can be.
const OTHERS_MAX: usize = 4;
const PAUSE_MIN: time::Duration = time::Duration::from_millis(150);
const PAUSE_MAX: time::Duration = time::Duration::from_millis(2_400);

/// An entry that may be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// What its link carries.
    pub link_rate: size::ByteRate,
    /// Whether it has run for long enough to know the others of its region.
    pub is_settled: bool,
}

/// From where knowledge comes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another entry, by name.
    Entry(String),
}

/// Returns from whom `me` learns, the first choice first; `others` are the entries that live.
///
/// Entries that are not settled relay for nobody: those that start together would follow each other.
#[must_use]
pub fn source_order(me: &RelayCandidate, others: &[RelayCandidate]) -> Vec<Source> {
    let of_region = |one: &&RelayCandidate| one.region == me.region && one.is_settled;
    let all = others.iter().chain([me]);
    let mut candidates: Vec<&RelayCandidate> = all.filter(of_region).collect();
    candidates.sort_by_cached_key(|one| {
        let score = id::rendezvous_score(&me.region, &one.name);
        cmp::Reverse((one.link_rate, score))
    });
    candidates.truncate(RELAYS);
    let is_relay = candidates.contains(&me);
    let mut relays: Vec<&RelayCandidate> =
        candidates.into_iter().filter(|one| *one != me).collect();
    sort_for(me, &mut relays);
    let is_other = |one: &&RelayCandidate| !relays.contains(one);
    let mut rest: Vec<&RelayCandidate> = others.iter().filter(is_other).collect();
    sort_for(me, &mut rest);
    rest.sort_by_key(|one| one.region != me.region);
    let entry = |one: &&RelayCandidate| Source::Entry(one.name.clone());
    let mut sources: Vec<Source> = relays.iter().map(entry).collect();
    let place = if is_relay { 0 } else { sources.len() };
    sources.insert(place, Source::Store);
    sources.extend(rest.iter().take(OTHERS_MAX).map(entry));
    sources
}

/// Returns whether others of the region may follow `me`, so that its knowledge has to be young.
#[must_use]
pub fn may_have_followers(me: &RelayCandidate, others: &[RelayCandidate]) -> bool {
    let of_region = others.iter().filter(|one| one.region == me.region);
    of_region.count() >= RELAYS
}

/// Orders entries so that those that choose among them spread evenly.
fn sort_for(me: &RelayCandidate, members: &mut [&RelayCandidate]) {
    members.sort_by_cached_key(|one| id::rendezvous_score(&me.name, &one.name));
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    until: time::Instant,
    pause: time::Duration,
}

/// The sources that failed, each left out for a while that grows.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    by_source: IndexMap<Source, Failure>,
    has_entry_just_failed: bool,
}

impl Failures {
    /// Takes in that a source failed.
    pub fn record_failure(&mut self, source: &Source, now: time::Instant) {
        let before = self.by_source.get(source);
        let pause = before.map_or(PAUSE_MIN, |before| (before.pause * 2).min(PAUSE_MAX));
        let until = now + pause;
        self.has_entry_just_failed = *source != Source::Store;
        self.by_source
            .insert(source.clone(), Failure { until, pause });
    }

    /// Takes in that a source answered with what is known now.
    pub fn record_success(&mut self, source: &Source) {
        self.has_entry_just_failed = false;
        self.by_source.swap_remove(source);
    }

    /// Returns the source to turn to: the first one of an order that is not left out, but the store
    /// right after another entry failed, because time has passed and the next entry may fail too.
    #[must_use]
    pub fn choose<'a>(&self, order: &'a [Source], now: time::Instant) -> Option<&'a Source> {
        let is_usable = |source: &&Source| {
            let failure = self.by_source.get(*source);
            failure.is_none_or(|failure| failure.until <= now)
        };
        let store = order.iter().find(|source| **source == Source::Store);
        let store = store.filter(|_| self.has_entry_just_failed);
        store
            .filter(is_usable)
            .or_else(|| order.iter().find(is_usable))
    }
}
