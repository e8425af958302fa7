//! When an entry that shuts down may end before its time.

use std::time;

use indexmap::IndexMap;

use super::{Others, directory, held_for};
use crate::shutdown;

/// An entry ends early only if another one lives on for this long.
const OTHERS_REMAINING_MIN: time::Duration = time::Duration::from_secs(2);
/// An entry ends early beside others only if fewer than one in so many are away.
const AWAY_DIVISOR: usize = 3;

/// What keeps an entry that shuts down from ending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum WaitsFor {
    /// The time for which it accepts requests.
    Delay,
    /// Callers that may hold its address.
    Addresses,
    /// Callers' connections, with requests or without.
    Connections,
    /// Another entry that takes its requests.
    Others,
    /// Nothing: it may end.
    Nothing,
}

/// An entry that shuts down.
#[derive(Clone, Copy, Debug)]
pub struct Leaver<'a> {
    /// Its name.
    pub entry: &'a str,
    /// Its shutdown.
    pub shutdown: &'a shutdown::Shutdown,
    /// When a directory named it last.
    pub named_at: time::Instant,
    /// How long callers may use what a directory names.
    pub ttl: time::Duration,
    /// How many connections callers have to it.
    pub connection_count: usize,
}

impl Leaver<'_> {
    /// Returns all entries that shut down, with the remaining time of each, the longest first.
    fn all_leaving(&self, others: &Others, now: time::Instant) -> IndexMap<String, time::Duration> {
        let mut leaving = others.leaving(self.shutdown.timeout, now);
        let own = self.shutdown.ends_at().saturating_duration_since(now);
        leaving.insert(String::from(self.entry), own);
        leaving.sort_by(|_, left, _, right| right.cmp(left));
        leaving
    }

    /// Returns the entries that the directory of this one names beside those that are `ready`, and for
    /// how long.
    #[must_use]
    pub fn named(
        &self,
        others: &Others,
        ready: Vec<String>,
        now: time::Instant,
    ) -> (Vec<String>, time::Duration) {
        directory::named(ready, &self.all_leaving(others, now), self.ttl)
    }

    /// Returns what keeps the entry from ending before its time.
    #[must_use]
    pub fn waits_for(&self, others: &Others, now: time::Instant) -> WaitsFor {
        if now < self.shutdown.since + self.shutdown.delay {
            return WaitsFor::Delay;
        }
        if now < self.named_at + held_for(self.ttl) {
            return WaitsFor::Addresses;
        }
        if self.connection_count > 0 {
            return WaitsFor::Connections;
        }
        if self.is_replaced(others, now) {
            WaitsFor::Nothing
        } else {
            WaitsFor::Others
        }
    }

    /// Returns whether others take its requests while it is away: most are ready, or all others stay
    /// until it is back.
    fn is_replaced(&self, others: &Others, now: time::Instant) -> bool {
        let ready_count = others.ready_count();
        let away_count = others.expected(now).count() + 1;
        if ready_count > 0 && away_count * AWAY_DIVISOR <= ready_count + away_count {
            return true;
        }
        let leaving = self.all_leaving(others, now);
        let first = directory::first_to_end(&leaving);
        let is_nobody_restarting = others.expected(now).all(|absence| absence.is_live);
        let mut remaining = leaving
            .iter()
            .filter(|(name, _)| !first.contains(name.as_str()));
        let does_another_stay = remaining.any(|(_, remaining)| *remaining >= OTHERS_REMAINING_MIN);
        first.contains(self.entry) && is_nobody_restarting && (ready_count > 0 || does_another_stay)
    }
}
