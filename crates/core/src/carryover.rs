//! Objects that a restored store has lost, for as long as their writers may take to write them
//! again.
//!
//! A [`Carryover`] passes on what is listed. When a new era begins, it adds what was listed before
//! and is missing now, until it is listed again or its time is over.
//!
//! ```
//! use std::time;
//!
//! use indexmap::IndexMap;
//! use pimentohook_core::{carryover, id};
//!
//! let now = time::Instant::now();
//! let keep = |_: &u32, listed: u32| listed;
//! let mut carryover = carryover::Carryover::default();
//! let listed = IndexMap::from([(String::from("a"), 1)]);
//! carryover.combine(id::StoreEra::new(1), listed, now, keep);
//! let combined = carryover.combine(id::StoreEra::new(2), IndexMap::new(), now, keep);
//! assert!(combined.contains_key("a"));
//! let late = now + carryover::WRITE_AGAIN_TIMEOUT;
//! assert!(carryover.combine(id::StoreEra::new(2), IndexMap::new(), late, keep).is_empty());
//! ```

use std::time;

use indexmap::{IndexMap, IndexSet};

use crate::id;

/// How long the writer of an object has to write it again: two seconds from the store's return, and
/// what the news of it takes to arrive.
pub const WRITE_AGAIN_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Returns how long a process waits before it calls a restored store, so that the calls of all
/// `process_count` are `interval` apart on average; `fraction` is random, from 0 to 1.
#[must_use]
pub fn spread(process_count: u32, interval: time::Duration, fraction: f64) -> time::Duration {
    interval.saturating_mul(process_count).mul_f64(fraction)
}

/// What was listed in an earlier era, by name.
#[derive(Clone, Debug)]
pub struct Carryover<T> {
    era: id::StoreEra,
    /// The last result.
    known: IndexMap<String, T>,
    /// What was known when the era began.
    earlier: IndexMap<String, T>,
    /// Which of `earlier` were listed in the era, so that their absence is a removal.
    listed_again: IndexSet<String>,
    expires_at: Option<time::Instant>,
}

impl<T> Default for Carryover<T> {
    fn default() -> Self {
        Self {
            era: id::StoreEra::default(),
            known: IndexMap::new(),
            earlier: IndexMap::new(),
            listed_again: IndexSet::new(),
            expires_at: None,
        }
    }
}

impl<T> Carryover<T>
where
    T: Clone,
{
    /// Returns when the objects that are missing since the era began count as removed.
    #[must_use]
    pub const fn expires_at(&self) -> Option<time::Instant> {
        self.expires_at
    }

    /// Returns what is listed in an era, and what it has lost.
    ///
    /// `adjust` combines what was known of an object in the earlier era with what is listed.
    pub fn combine<F>(
        &mut self,
        era: id::StoreEra,
        listed: IndexMap<String, T>,
        now: time::Instant,
        adjust: F,
    ) -> IndexMap<String, T>
    where
        F: Fn(&T, T) -> T,
    {
        if era > self.era {
            self.begin(era, now);
        }
        if self.expires_at.is_some_and(|expires_at| now >= expires_at) {
            self.expires_at = None;
            self.earlier.clear();
            self.listed_again.clear();
        }
        let mut combined = IndexMap::new();
        for (name, object) in listed {
            let adjusted = match self.earlier.get(&name) {
                Some(earlier) => adjust(earlier, object),
                None => object,
            };
            if self.earlier.contains_key(&name) {
                self.listed_again.insert(name.clone());
            }
            combined.insert(name, adjusted);
        }
        for (name, object) in &self.earlier {
            if !self.listed_again.contains(name) {
                combined.insert(name.clone(), object.clone());
            }
        }
        self.known.clone_from(&combined);
        combined
    }

    fn begin(&mut self, era: id::StoreEra, now: time::Instant) {
        self.era = era;
        self.listed_again.clear();
        self.earlier = std::mem::take(&mut self.known);
        self.expires_at = (!self.earlier.is_empty()).then(|| now + WRITE_AGAIN_TIMEOUT);
    }
}
