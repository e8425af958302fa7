//! How many requests a cold instance gets from all entries together.
//!
//! An instance that has just started, or has become cold again, bears only a few requests a second
//! (see [`routes::ColdLimit`]). The agent beside an engine grants most of them. The rest is set aside
//! for entries that can't reach the agent: a few of them, on which all entries that know the same
//! fleet agree. So both together stay under the limit, whether or not they can reach each other.
//!
//! Every request counts for a second and the time that it may take to arrive, also while the instance
//! is warm, as it may become cold at any moment. Whoever has just started has forgotten what it sent,
//! and counts as having sent all that it may.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use pimentohook_core::{cold, routes};
//!
//! let limit = routes::ColdLimit { duration: Duration::from_secs(3), requests_per_s: 8.0 };
//! let ceiling = cold::Ceiling::of_agent(&limit);
//! assert_eq!(ceiling.count, 6);
//! let started_at = Instant::now();
//! let mut sent = cold::SentRequests::new(started_at);
//! assert!(sent.wait(started_at, ceiling).is_some());
//! assert!(sent.wait(started_at + ceiling.window, ceiling).is_none());
//! ```

use std::{collections::VecDeque, time};

use crate::{engine_admission, latest_start, routes};

const SECOND: time::Duration = time::Duration::from_secs(1);

/// The share of a limit for entries that can't reach the agent beside the engine, in percent.
const UNWATCHED_PERCENT: u32 = 25;

/// The longest time over which one request is counted.
const WINDOW_MAX: time::Duration = time::Duration::from_mins(1);

/// How many requests may be sent to a cold instance within a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ceiling {
    /// The number of requests.
    pub count: u32,
    /// The time.
    pub window: time::Duration,
}

impl Ceiling {
    /// Returns the ceiling of the agent beside an engine; at least one request.
    #[must_use]
    pub fn of_agent(limit: &routes::ColdLimit) -> Self {
        let total = Self::total(limit);
        Self {
            count: total.count - total.unwatched_count(),
            ..total
        }
    }

    /// Returns the ceiling of one entry that can't reach the agent; zero for most entries.
    ///
    /// `entries` are all that may be running, `own` among them.
    #[must_use]
    pub fn of_unwatched<'a, I>(
        limit: &routes::ColdLimit,
        instance: &str,
        own: &str,
        entries: I,
    ) -> Self
    where
        I: IntoIterator<Item = &'a str>,
    {
        let total = Self::total(limit);
        let count = total.unwatched_count();
        let users = latest_start::users_of_unwatched(instance, count, entries);
        let user_count = u32::try_from(users.len()).unwrap_or(u32::MAX);
        let own_count = count.checked_div(user_count).unwrap_or(0);
        Self {
            count: if users.contains(&own) { own_count } else { 0 },
            ..total
        }
    }

    /// Returns the ceiling of all entries together; at least one request, over a longer time if the
    /// limit is below one a second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "never below one, and a cast of larger floats saturates"
    )]
    fn total(limit: &routes::ColdLimit) -> Self {
        let per_s = limit.requests_per_s;
        let interval = time::Duration::try_from_secs_f64(per_s.recip()).unwrap_or(WINDOW_MAX);
        Self {
            count: per_s.max(1.0) as u32,
            window: interval.clamp(SECOND, WINDOW_MAX) + latest_start::DELIVERY_TIME_MAX,
        }
    }

    fn unwatched_count(self) -> u32 {
        let share = u64::from(self.count) * u64::from(UNWATCHED_PERCENT) / 100;
        u32::try_from(share).unwrap_or(u32::MAX)
    }
}

/// The requests that were sent to an instance lately.
#[derive(Clone, Debug)]
pub struct SentRequests {
    /// Since when all of them are known.
    known_since: time::Instant,
    /// The number that was allowed last; `None` if nobody has asked.
    allowed_count: Option<u32>,
    sent_at: VecDeque<time::Instant>,
}

impl SentRequests {
    /// Creates the state of a process that does not know what was sent before `now`.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self {
            known_since: now,
            allowed_count: None,
            sent_at: VecDeque::new(),
        }
    }

    /// Returns how long a request has to wait under a ceiling; `None` if it may be sent now.
    ///
    /// A ceiling that has become higher is used after a window, because somebody else may have used
    /// the difference up to now.
    pub fn wait(&mut self, now: time::Instant, ceiling: Ceiling) -> Option<time::Duration> {
        let before = self.allowed_count.replace(ceiling.count);
        if before.is_some_and(|before| before < ceiling.count) {
            self.known_since = now;
        }
        self.forget(now, ceiling);
        if ceiling.count == 0 {
            return Some(ceiling.window);
        }
        let unknown_until = self.known_since + ceiling.window;
        if unknown_until > now {
            return Some(unknown_until - now);
        }
        let count = usize::try_from(ceiling.count).unwrap_or(usize::MAX);
        let surplus_at = self.sent_at.len().checked_sub(count)?;
        let frees_at = self.sent_at.get(surplus_at)?;
        Some((*frees_at + ceiling.window).saturating_duration_since(now))
    }

    /// Records that a request is sent.
    pub fn record(&mut self, now: time::Instant) {
        self.sent_at.push_back(now);
    }

    /// Forgets what was sent longer ago than a ceiling counts.
    pub fn forget(&mut self, now: time::Instant, ceiling: Ceiling) {
        let is_counted = |sent_at: &time::Instant| *sent_at + ceiling.window > now;
        while self.sent_at.front().is_some_and(|at| !is_counted(at)) {
            self.sent_at.pop_front();
        }
    }
}

/// What an instance has registered of being cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registered {
    remaining: time::Duration,
    heard_at: time::Instant,
}

impl Registered {
    /// Returns what is known after a list was read; the same statement keeps its time.
    #[must_use]
    pub fn after(before: Option<Self>, now: time::Instant, remaining: time::Duration) -> Self {
        let same = before.filter(|before| before.remaining == remaining);
        same.unwrap_or(Self {
            remaining,
            heard_at: now,
        })
    }

    /// Returns how much longer the instance is cold.
    #[must_use]
    pub fn remaining(&self, now: time::Instant) -> time::Duration {
        let age = now.saturating_duration_since(self.heard_at);
        self.remaining.saturating_sub(age)
    }
}

/// What a report shows of the start of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartSigns {
    /// When the engine started, in milliseconds of Unix time; `None` if it does not say.
    pub started_unix_ms: Option<u64>,
    /// The number of load orders since its start.
    pub order_count: u64,
    /// Whether it serves any weights.
    pub has_weights: bool,
}

impl StartSigns {
    fn shows_start_after(&self, before: &Self) -> bool {
        let is_other = self.started_unix_ms != before.started_unix_ms;
        let has_forgotten = self.order_count < before.order_count;
        let has_lost_weights =
            before.has_weights && !self.has_weights && self.order_count == before.order_count;
        is_other || has_forgotten || has_lost_weights
    }
}

/// What an agent knows of whether its engine is cold, and what it has granted lately.
#[derive(Clone, Debug)]
pub struct ColdEngine {
    granted: SentRequests,
    signs: Option<StartSigns>,
    /// When the engine was first seen after its start.
    started_at: Option<time::Instant>,
    /// Until when others have said that it is cold.
    stated_until: Option<time::Instant>,
    registered: Option<Registered>,
}

impl ColdEngine {
    /// Creates the state of an agent that has just started.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self {
            granted: SentRequests::new(now),
            signs: None,
            started_at: None,
            stated_until: None,
            registered: None,
        }
    }

    /// Records a report; returns whether the engine has started since the last one, or may have.
    pub fn record_report(&mut self, now: time::Instant, signs: StartSigns) -> bool {
        let before = self.signs.replace(signs);
        let is_start = before.is_none_or(|before| signs.shows_start_after(&before));
        if is_start {
            self.started_at = Some(now);
        }
        is_start
    }

    /// Records how much longer the engine is cold by its registration.
    pub fn record_registered(&mut self, now: time::Instant, remaining: time::Duration) {
        self.registered = Some(Registered::after(self.registered, now, remaining));
    }

    /// Records how much longer the engine is cold by what an entry knows.
    pub fn record_stated(&mut self, now: time::Instant, remaining: time::Duration) {
        if !remaining.is_zero() {
            self.stated_until = self.stated_until.max(now.checked_add(remaining));
        }
    }

    /// Returns whether the engine is cold, as far as is known.
    #[must_use]
    pub fn is_cold(&self, now: time::Instant, limit: &routes::ColdLimit) -> bool {
        let since_start = self.started_at.map(|at| now.saturating_duration_since(at));
        since_start.is_none_or(|since| since < limit.duration)
            || self.stated_until > Some(now)
            || self
                .registered
                .is_some_and(|registered| !registered.remaining(now).is_zero())
    }

    /// Admits a request by `admit`, unless the engine is cold and has got all that it bears.
    ///
    /// # Errors
    ///
    /// Returns a [`engine_admission::DenialReason`] if the request is not admitted.
    pub fn admit<T, F>(
        &mut self,
        now: time::Instant,
        limit: Option<&routes::ColdLimit>,
        admit: F,
    ) -> Result<T, engine_admission::DenialReason>
    where
        F: FnOnce() -> Result<T, engine_admission::DenialReason>,
    {
        let Some(limit) = limit else {
            return admit();
        };
        let ceiling = Ceiling::of_agent(limit);
        self.granted.forget(now, ceiling);
        if self.is_cold(now, limit) && self.granted.wait(now, ceiling).is_some() {
            return Err(engine_admission::DenialReason::Cold);
        }
        let admitted = admit()?;
        self.granted.record(now);
        Ok(admitted)
    }
}
