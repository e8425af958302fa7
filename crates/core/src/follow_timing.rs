//! How long to wait for the changes of what is followed, so that one lost answer is noticed in time.
//!
//! A long poll that gets no answer looks like one without changes until it is given up. Whoever acts
//! on a change within a grace period has to give it up, and ask again, within that period: the wait,
//! the time that the answer may take beyond it, the backoff after a failure and the delay between two
//! polls all count. [`FollowTiming::within`] divides the period among them.
//!
//! ```
//! use std::time;
//!
//! use pimentohook_core::follow_timing;
//!
//! let grace = time::Duration::from_secs(2);
//! let timing = follow_timing::FollowTiming::within(grace);
//! assert!(timing.longest_unnoticed() <= grace);
//! ```

use std::time;

use crate::relay;

/// Shares of the grace period after a change.
const PAUSE_PERCENT: u32 = 20;
const WATCH_PERCENT: u32 = 40;
const ANSWER_PERCENT: u32 = 20;
const CONFIRMATION_PERCENT: u32 = 40;
const BACKOFF_PERCENT: u32 = 20;
const FOLLOW_PERCENT: u32 = 20;
const AGE_MAX_PERCENT: u32 = 60;

/// How long an answer may take with the relaxed timing.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
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
    /// The longest backoff of a source that failed.
    pub backoff_max: time::Duration,
    /// How long another entry waits for a change before it replies that nothing changed.
    pub follow_wait: time::Duration,
    /// The maximum age of another entry's state.
    pub age_max: time::Duration,
}

impl FollowTiming {
    /// Returns the timing for changes that have to be acted on within `grace`.
    ///
    /// A copy that fails over from a relay to another source stays fresh enough too.
    #[must_use]
    pub fn within(grace: time::Duration) -> Self {
        let share = |percent| grace * percent / 100;
        Self {
            pause_max: share(PAUSE_PERCENT),
            watch_wait: share(WATCH_PERCENT),
            answer_timeout: share(ANSWER_PERCENT),
            confirmation_timeout: share(CONFIRMATION_PERCENT),
            backoff_max: share(BACKOFF_PERCENT),
            follow_wait: share(FOLLOW_PERCENT),
            age_max: share(AGE_MAX_PERCENT),
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
            backoff_max: relay::BACKOFF_MAX,
            follow_wait,
            age_max,
        }
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
