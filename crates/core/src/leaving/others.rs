//! The other entries: which are ready, which shut down, and when these are back.

use std::time;

use indexmap::{IndexMap, IndexSet};

use super::PERCENT;
use crate::shutdown;

/// What a start of an entry takes at least.
const START_MIN: time::Duration = time::Duration::from_millis(300);
/// An entry that is away for longer is not expected back.
const ABSENCE_MAX: time::Duration = time::Duration::from_secs(20);
/// A delay is longer by at most this part of itself, in percent, so that callers spread.
const SPREAD_PERCENT: f64 = 30.0;
/// The delay of a refusal while another entry takes the request.
pub const RETRY_AFTER_ELSEWHERE: time::Duration = time::Duration::from_millis(20);
/// For this part of its shutdown, in percent, an entry is likely to accept requests.
const ACCEPTS_PERCENT: u32 = 70;

/// An entry that is not ready, or not heard of any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Absence {
    /// When it was first known not to be ready.
    since: time::Instant,
    /// Whether it was ready just before.
    was_ready: bool,
    /// Whether it still exchanges heartbeats.
    pub(super) is_live: bool,
}

impl Absence {
    fn is_expected(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.since) < ABSENCE_MAX
    }
}

/// The other entries, whether they are ready, and how long they are away when they restart.
#[derive(Clone, Debug, Default)]
pub struct Others {
    ready: IndexSet<String>,
    absent: IndexMap<String, Absence>,
    /// Since when half of all are ready; `None` if they are not, by the last change.
    enough_since: Option<time::Instant>,
    /// The last time from the beginning of a shutdown until the entry was ready again.
    last_absence: Option<time::Duration>,
}

impl Others {
    /// Records whether an entry was ready at `at`.
    pub fn record(&mut self, entry: &str, is_ready: bool, at: time::Instant) {
        if is_ready {
            self.record_ready(entry, at);
        } else {
            self.record_absent(entry, at);
        }
        let since = self.enough_since.unwrap_or(at);
        self.enough_since = self.are_half(at).then_some(since);
    }

    fn record_absent(&mut self, entry: &str, at: time::Instant) {
        self.absent
            .retain(|_, absence| absence.is_live || absence.is_expected(at));
        let was_ready = self.ready.shift_remove(entry);
        let absence = self.absent.entry(String::from(entry)).or_insert(Absence {
            since: at,
            was_ready,
            is_live: true,
        });
        absence.is_live = true;
    }

    fn record_ready(&mut self, entry: &str, at: time::Instant) {
        let absence = self.absent.shift_remove(entry);
        let absence = absence.filter(|absence| absence.was_ready);
        if let Some(absence) = absence {
            self.last_absence = Some(at.saturating_duration_since(absence.since));
        }
        self.ready.insert(String::from(entry));
    }

    /// Records that an entry is not heard of any more, last at `at`.
    pub fn record_lost(&mut self, entry: &str, at: time::Instant) {
        self.record(entry, false, at);
        if let Some(absence) = self.absent.get_mut(entry) {
            absence.is_live = false;
        }
    }

    pub(super) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Returns the names of the entries that are ready.
    #[must_use]
    pub fn ready_names(&self) -> Vec<String> {
        self.ready.iter().cloned().collect()
    }

    /// Returns the names of the entries that exchange heartbeats, ready or not.
    pub(super) fn live_names(&self) -> impl Iterator<Item = &str> {
        let absent = self.absent.iter();
        let live = absent.filter(|(_, absence)| absence.is_live);
        let ready = self.ready.iter();
        ready.chain(live.map(|(name, _)| name)).map(String::as_str)
    }

    /// Returns whether half of all entries are ready, without the one that asks, which is not, and
    /// have been for `held`, for which callers may still know only entries that shut down.
    #[must_use]
    pub fn are_enough(&self, held: time::Duration, now: time::Instant) -> bool {
        let is_known = self.enough_since.is_none_or(|since| since + held <= now);
        is_known && self.are_half(now)
    }

    fn are_half(&self, now: time::Instant) -> bool {
        let absent_count = self.expected(now).count() + 1;
        !self.ready.is_empty() && self.ready.len() >= absent_count
    }

    /// Returns how long each entry lives on that shuts down, the longest first; entries whose
    /// shutdown lasts `timeout`.
    #[must_use]
    pub fn leaving(
        &self,
        timeout: time::Duration,
        now: time::Instant,
    ) -> IndexMap<String, time::Duration> {
        let live = self.absent.iter();
        let live = live.filter(|(_, absence)| absence.is_live && absence.was_ready);
        let mut leaving: IndexMap<String, time::Duration> = live
            .map(|(entry, absence)| {
                let ends_at = absence.since + timeout;
                (entry.clone(), ends_at.saturating_duration_since(now))
            })
            .filter(|(_, remaining)| !remaining.is_zero())
            .collect();
        leaving.sort_by(|_, left, _, right| right.cmp(left));
        leaving
    }

    /// Returns the delay of a refusal of an entry that shuts down.
    ///
    /// `draw` is a uniformly distributed random number from 0 to 1.
    #[must_use]
    pub fn retry_after(
        &self,
        shutdown: &shutdown::Shutdown,
        now: time::Instant,
        draw: f64,
    ) -> time::Duration {
        if self.does_another_accept(shutdown.timeout, now) {
            return RETRY_AFTER_ELSEWHERE;
        }
        let absence = self.last_absence.unwrap_or(shutdown.timeout + START_MIN);
        let restarts = self
            .expected(now)
            .map(|restarting| restarting.since + absence);
        let own = shutdown.ends_at() + START_MIN;
        let first = restarts.fold(own, time::Instant::min);
        let delay = first.saturating_duration_since(now).max(START_MIN);
        delay.mul_f64(1.0 + draw * SPREAD_PERCENT / f64::from(PERCENT))
    }

    fn does_another_accept(&self, timeout: time::Duration, now: time::Instant) -> bool {
        let refuses_for = timeout * (PERCENT - ACCEPTS_PERCENT) / PERCENT;
        let leaving = self.leaving(timeout, now);
        let does_leaving_one = leaving.values().any(|remaining| *remaining > refuses_for);
        !self.ready.is_empty() || does_leaving_one
    }

    /// Returns the entries that are away and expected back.
    pub(super) fn expected(&self, now: time::Instant) -> impl Iterator<Item = &Absence> {
        self.absent
            .values()
            .filter(move |absence| absence.is_expected(now))
    }
}
