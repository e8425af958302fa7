//! The order in which the agents beside engines are asked for a slot for a request.
//!
//! In a large fleet an entry has hardly any requests of its own at an engine, so it knows little of
//! how full engines are, and asks one agent after the other. Engines of the own failure domain come
//! first, as links between domains have low bandwidth. The load that this answers: the callers of
//! one domain want more than its engines have room for, while those of other domains have room.
//! After some refusals in its own domain, an entry asks elsewhere.
//!
//! ```
//! use pimentohook_core::ask_order::{self, Candidate, Doubt};
//!
//! let candidate = |is_same_domain, draw| Candidate {
//!     doubt: Doubt::None,
//!     is_same_domain,
//!     in_flight_count: 0,
//!     draw,
//! };
//! let candidates = [candidate(false, 1), candidate(true, 2), candidate(true, 3)];
//! assert_eq!(ask_order::order(&candidates, 2), [1, 0, 2]);
//! ```

use std::sync::atomic;

use crate::rank;

/// The fewest agents that are asked for one request before it is refused.
const ASKS_MIN: usize = 10;
/// The most agents that are asked, each of which costs the request a round trip.
const ASKS_MAX: usize = 20;
/// One agent is asked for this many engines.
const ENGINES_PER_ASK: usize = 8;
/// The number of requests in flight that an engine of another failure domain is charged in the
/// ranking.
const OTHER_DOMAIN_COST: u32 = 2;

/// Why an engine is asked after others, the slightest reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::EnumIter)]
pub enum Doubt {
    /// There is none.
    None,
    /// Its agent has just refused a request.
    Refusing,
    /// Another entry has heard that it is leaving.
    Leaving,
    /// It has failed requests.
    Failing,
    /// It may stand still.
    Still,
}

/// Until when the agent beside an engine is taken to refuse requests, by their priority.
#[derive(Debug, Default)]
pub struct Refusing {
    until_ms: [atomic::AtomicU64; rank::Priority::COUNT],
}

impl Refusing {
    /// Records that requests with a priority and less urgent ones are refused until `until_ms`; all are
    /// if the refused request had no priority. One that comes second says nothing of those before it.
    pub fn record(&self, priority: Option<rank::Priority>, is_second: bool, until_ms: u64) {
        let first = priority.map_or(0, |priority| priority.index() + usize::from(is_second));
        for refused in &self.until_ms[first..] {
            refused.store(until_ms, atomic::Ordering::Relaxed);
        }
    }

    /// Returns whether a request with a priority is likely to be refused.
    #[must_use]
    pub fn is_refusing(&self, priority: Option<rank::Priority>, now_ms: u64) -> bool {
        let until_ms = &self.until_ms[priority.map_or(0, rank::Priority::index)];
        until_ms.load(atomic::Ordering::Relaxed) > now_ms
    }
}

/// An engine as an entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Why it is asked after others.
    pub doubt: Doubt,
    /// Whether it is in the entry's failure domain.
    pub is_same_domain: bool,
    /// The requests of this entry that are in flight there.
    pub in_flight_count: u32,
    /// A random number, which spreads requests over engines that are alike.
    pub draw: u32,
}

impl Candidate {
    const fn cost(&self) -> u32 {
        if self.is_same_domain {
            self.in_flight_count
        } else {
            self.in_flight_count + OTHER_DOMAIN_COST
        }
    }
}

/// Returns how many of `engine_count` agents are asked for one request.
#[must_use]
pub fn asks_max(engine_count: usize) -> usize {
    (engine_count / ENGINES_PER_ASK).clamp(ASKS_MIN, ASKS_MAX)
}

/// Returns the indices of candidates in the order in which they are asked, if at most `asks_max` are
/// asked: doubtful ones last, and of the others half of the asks in the own failure domain before
/// those elsewhere.
#[must_use]
pub fn order(candidates: &[Candidate], asks_max: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by_key(|index| {
        let candidate = &candidates[*index];
        (candidate.doubt, candidate.cost(), candidate.draw)
    });
    let is_first_choice = |index: &usize| {
        let candidate = &candidates[*index];
        candidate.is_same_domain && candidate.doubt == Doubt::None
    };
    let local_max = asks_max.div_ceil(2);
    let late_locals: Vec<usize> = ranked
        .iter()
        .copied()
        .filter(is_first_choice)
        .skip(local_max)
        .collect();
    let (mut asked, rest): (Vec<usize>, Vec<usize>) = ranked
        .into_iter()
        .filter(|index| !late_locals.contains(index))
        .partition(|index| candidates[*index].doubt == Doubt::None);
    asked.extend(late_locals);
    asked.extend(rest);
    asked
}
