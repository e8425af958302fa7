//! The share of the fleet's burst that one entry may use.

use std::{collections::VecDeque, time};

use super::HUNDREDTHS;

/// The time within which all entries hear of one that starts, and lower their shares.
const NOTICE_MAX: time::Duration = time::Duration::from_secs(5);
/// What an entry may use of its equal share once that counts. With what two starts add, a window
/// holds the whole.
const SETTLED_PERCENT: u64 = 80;
/// What an entry may use of its equal share from its start on: the settled share divided by this.
const START_DIVISOR: u64 = 8;

/// An equal share of the burst of retries that all entries together may send in a window.
///
/// As soon as the fleet is known, an entry may use a small part of it. A lower share counts at once. A higher one counts after a window and the time within which others
/// hear of an entry, so that what was sent under the earlier shares, or by a process that ran under
/// the same name before, is no longer in the window.
#[derive(Clone, Debug)]
pub struct BurstShare {
    burst_count: u64,
    delay: time::Duration,
    /// Shares in hundredths of a retry, each since when it was observed. The first one was in force
    /// when the delay began.
    observed: VecDeque<(time::Instant, u64)>,
}

impl BurstShare {
    /// Creates the share of an entry that starts, which is nothing while the fleet is not known.
    #[must_use]
    pub fn new(burst_count: u64, window: time::Duration, started_at: time::Instant) -> Self {
        Self {
            burst_count,
            delay: window + NOTICE_MAX,
            observed: VecDeque::from([(started_at, 0)]),
        }
    }

    /// Updates the share; `entry_count` is the number of entries that may be running, this one
    /// included, or `None` while they are not known.
    pub fn update(&mut self, now: time::Instant, entry_count: Option<u32>) {
        let share = entry_count.map_or(0, |count| {
            let settled_hundredths = self.burst_count * HUNDREDTHS * SETTLED_PERCENT / 100;
            settled_hundredths / u64::from(count.max(1))
        });
        if self.observed.back().is_none_or(|(_, last)| *last != share) {
            self.observed.push_back((now, share));
        }
        let delay = self.delay;
        let is_over = |&(at, _): &(time::Instant, u64)| now.saturating_duration_since(at) >= delay;
        while self.observed.get(1).is_some_and(is_over) {
            self.observed.pop_front();
        }
    }

    /// Returns the share in hundredths of a retry.
    #[must_use]
    pub fn hundredths(&self) -> u64 {
        let shares = self.observed.iter().map(|(_, share)| *share);
        let newest = self.observed.back().map_or(0, |(_, share)| *share);
        shares.min().unwrap_or(0).max(newest / START_DIVISOR)
    }
}
