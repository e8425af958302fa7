//! How long to wait for the changes of what is followed, so that a change is known in time though one
//! answer is lost.
//!
//! A long poll that gets no answer looks like one without changes until it is given up. Whoever acts
//! on a change within a grace period has to give it up, and ask again, within that period: the wait,
//! the time that the answer may take beyond it, the backoff after a failure and the delay between two
//! polls all count. [`FollowTiming::within`] divides the period among them.
//!
//! A change passes over several processes, and a process has several sources, which may fail one after
//! the other. Their waits don't add up, as each process also watches the age of its own copy: once that
//! is over [`HedgeTiming::after`], it asks other sources beside the one that it follows. So the longest
//! time until a process is told of a change, [`HedgeTiming::longest_until_told`], is one sum whatever
//! the number of processes between it and the store.
//!
//! ```
//! use std::time;
//!
//! use pimentohook_core::follow_timing;
//!
//! let grace = time::Duration::from_secs(2);
//! let timing = follow_timing::FollowTiming::within(grace);
//! assert!(timing.longest_unnoticed() <= grace);
//! let hedge = timing.hedge.expect("a hedge");
//! let place = follow_timing::Place::Follower;
//! assert!(hedge.longest_until_told(place, follow_timing::Lost::StoreAnswer) <= grace);
//! ```

use std::time;

use crate::relay;

/// Shares of the grace period after a change.
const PAUSE_PERCENT: u32 = 20;
const WATCH_PERCENT: u32 = 25;
const ANSWER_PERCENT: u32 = 20;
const CONFIRMATION_PERCENT: u32 = 40;
const BACKOFF_PERCENT: u32 = 20;
const BACKOFF_MIN_PERCENT: u32 = 5;
const FOLLOW_PERCENT: u32 = 30;
const FOLLOW_MIN_PERCENT: u32 = 5;
const REPLY_MARGIN_PERCENT: u32 = 15;
const REPLY_BODY_PERCENT: u32 = 50;
const HEDGE_PERCENT: u32 = 35;
const HEDGE_ENTRY_PERCENT: u32 = 20;
const HEDGE_STORE_PERCENT: u32 = 15;
const HEDGE_SPREAD_PERCENT: u32 = 10;
const NEIGHBOUR_DELAY_PERCENT: u32 = 10;
const TRANSFER_PERCENT: u32 = 60;

/// How long an answer may take with the relaxed timing.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// How long another entry may take to reply beyond the wait with the relaxed timing.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(450);
/// How long a reply of another entry may take from its head to its end with the relaxed timing.
const REPLY_BODY_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// The longest pause after a change with the relaxed timing.
const PAUSE_MAX: time::Duration = time::Duration::from_secs(1);

/// The timing with which a kind of objects is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTiming {
    /// The longest pause after a change, so that changes close together are read together.
    pub pause_max: time::Duration,
    /// How long a watch of the store waits for a change.
    pub watch_wait: time::Duration,
    /// How long the answer to a watch may take beyond its wait.
    pub answer_timeout: time::Duration,
    /// How long the answer to a watch may take that only confirms what is known, which is longer, so
    /// that a slow store is followed too.
    pub confirmation_timeout: time::Duration,
    /// The first backoff of a source that failed.
    pub backoff_min: time::Duration,
    /// The longest backoff of a source that failed.
    pub backoff_max: time::Duration,
    /// How long another entry waits for a change before it replies that nothing changed, if the copy
    /// has just been confirmed.
    pub follow_wait: time::Duration,
    /// How long it waits at least.
    pub follow_wait_min: time::Duration,
    /// How long another entry may take to reply beyond that.
    pub reply_margin: time::Duration,
    /// How long a reply of another entry may take from its head to its end.
    pub reply_body_timeout: time::Duration,
    /// The maximum age of another entry's state.
    pub age_max: time::Duration,
    /// When other sources are asked beside the one that is followed; `None` if they never are.
    pub hedge: Option<HedgeTiming>,
}

/// When sources are asked beside the one that is followed, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeTiming {
    /// The age of the copy from which on others are asked.
    pub after: time::Duration,
    /// How long another entry may take to reply.
    pub entry_timeout: time::Duration,
    /// How long the store may take until the head of its answer.
    pub store_timeout: time::Duration,
    /// The longest time by which an entry that follows others waits for them before it asks the store,
    /// so that not all of a region read a large change at once.
    pub spread_max: time::Duration,
    /// How long an entry waits for what it follows after a neighbour has reported a newer version.
    pub neighbour_delay: time::Duration,
    /// The age of the copy from which on others are asked although a newer state is being received.
    pub transfer_max: time::Duration,
    /// How long a source that failed is not asked again at first.
    backoff_min: time::Duration,
}

/// The place of a process among those that pass on the objects of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Place {
    /// It follows the store.
    Relay,
    /// It follows processes that follow the store, or follow others.
    Follower,
}

/// What gets no answer when a process asks other sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Lost {
    /// Nothing: the sources that have no newer state say so.
    Nothing,
    /// The answer of an entry that is asked before the store.
    EntryAnswer,
    /// The first answer of the store.
    StoreAnswer,
    /// Both of these.
    Both,
}

impl HedgeTiming {
    /// Returns the timing for changes that have to be acted on within `grace`.
    #[must_use]
    pub fn within(grace: time::Duration) -> Self {
        let share = |percent| grace * percent / 100;
        Self {
            after: share(HEDGE_PERCENT),
            entry_timeout: share(HEDGE_ENTRY_PERCENT),
            store_timeout: share(HEDGE_STORE_PERCENT),
            spread_max: share(HEDGE_SPREAD_PERCENT),
            neighbour_delay: share(NEIGHBOUR_DELAY_PERCENT),
            transfer_max: share(TRANSFER_PERCENT),
            backoff_min: share(BACKOFF_MIN_PERCENT),
        }
    }

    /// Returns the longest time from a change until a process is told of it by the store, if what it
    /// follows tells it nothing and this is lost besides. What is left of the grace period is for the
    /// transfer.
    #[must_use]
    pub fn longest_until_told(&self, place: Place, lost: Lost) -> time::Duration {
        let entries = match (place, lost) {
            (Place::Relay, _) => time::Duration::ZERO,
            (Place::Follower, Lost::Nothing | Lost::StoreAnswer) => self.spread_max,
            (Place::Follower, Lost::EntryAnswer | Lost::Both) => {
                self.entry_timeout + self.spread_max
            }
        };
        let lost_answer = match lost {
            Lost::Nothing | Lost::EntryAnswer => time::Duration::ZERO,
            Lost::StoreAnswer | Lost::Both => self.store_timeout + self.backoff_min,
        };
        self.after + entries + lost_answer + self.store_timeout
    }
}

impl FollowTiming {
    /// Returns the timing for changes that have to be acted on within `grace`.
    #[must_use]
    pub fn within(grace: time::Duration) -> Self {
        let share = |percent| grace * percent / 100;
        Self {
            pause_max: share(PAUSE_PERCENT),
            watch_wait: share(WATCH_PERCENT),
            answer_timeout: share(ANSWER_PERCENT),
            confirmation_timeout: share(CONFIRMATION_PERCENT),
            backoff_min: share(BACKOFF_MIN_PERCENT),
            backoff_max: share(BACKOFF_PERCENT),
            follow_wait: share(FOLLOW_PERCENT),
            follow_wait_min: share(FOLLOW_MIN_PERCENT),
            reply_margin: share(REPLY_MARGIN_PERCENT),
            reply_body_timeout: share(REPLY_BODY_PERCENT),
            age_max: share(HEDGE_PERCENT),
            hedge: Some(HedgeTiming::within(grace)),
        }
    }

    /// Returns the timing for what may be noticed seconds later, or is heard from others sooner.
    #[must_use]
    pub const fn relaxed(
        watch_wait: time::Duration,
        follow_wait: time::Duration,
        age_max: time::Duration,
    ) -> Self {
        Self {
            pause_max: PAUSE_MAX,
            watch_wait,
            answer_timeout: ANSWER_TIMEOUT,
            confirmation_timeout: ANSWER_TIMEOUT,
            backoff_min: relay::BACKOFF_MIN,
            backoff_max: relay::BACKOFF_MAX,
            follow_wait,
            follow_wait_min: follow_wait,
            reply_margin: REPLY_MARGIN,
            reply_body_timeout: REPLY_BODY_TIMEOUT,
            age_max,
            hedge: None,
        }
    }

    /// Returns how long a watch of the store waits if the copy has this age, so that it is confirmed again
    /// in time; `None` if it is too old to wait.
    #[must_use]
    pub fn watch_wait_at(&self, age: Option<time::Duration>) -> Option<time::Duration> {
        let age = age?;
        if self.hedge.is_none() {
            return (age <= self.watch_wait / 2).then_some(self.watch_wait);
        }
        (age <= self.answer_timeout).then(|| self.watch_wait.saturating_sub(age))
    }

    /// Returns how long to wait for the changes of another entry if the copy has this age, so that it is
    /// confirmed again before others are asked.
    #[must_use]
    pub fn follow_wait_at(&self, age: Option<time::Duration>) -> time::Duration {
        let remaining = self.follow_wait.saturating_sub(age.unwrap_or_default());
        remaining.max(self.follow_wait_min)
    }

    /// Returns how old what is known may be while no answer is lost, for a process that follows another
    /// entry too: each of them waits for a change, and the store may take its time.
    #[must_use]
    pub fn usual_age_max(&self) -> time::Duration {
        self.watch_wait + self.answer_timeout + self.follow_wait
    }

    /// Returns the longest time from a change until the store is asked again, if one answer is lost.
    ///
    /// The lost answer may be that of a watch which waits, or of one that confirms after others were
    /// lost, when the backoff has grown.
    #[must_use]
    pub fn longest_unnoticed(&self) -> time::Duration {
        let waiting = self.pause_max + self.watch_wait + self.answer_timeout;
        waiting.max(self.confirmation_timeout) + self.backoff_max
    }
}
