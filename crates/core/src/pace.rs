//! How many requests an upstream gets at once that has just started or recovered.
//!
//! Such an upstream may be slow at first, or may crash again under what a warm one bears. It begins
//! with little. While its answers take no longer than is expected of a warm one, each adds one to what
//! it gets at once, which doubles it about once in the time of an answer. An answer that takes too
//! long, or fails, halves it; from then on it grows by one in the time of an answer, until several were in
//! time. An upstream that is slow even with few requests is slow by itself: less and less is expected of it. It is as
//! the others when it has got what it has room for, and some more answers were in time; or when
//! nothing was late for long.
//!
//! What an upstream names itself, such as a limit or a back-off, goes before this.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use pimentohook_core::pace;
//!
//! let now = Instant::now();
//! let mut pacer = pace::Pacer::default();
//! assert_eq!(pacer.allowed(now), None);
//! pacer.begin(now);
//! assert_eq!(pacer.allowed(now), Some(2));
//! let answer = pace::Answer { sent_at: now, outcome: pace::Outcome::Answered { lateness: 1.0 } };
//! pacer.record(now + Duration::from_millis(80), 12, answer);
//! assert_eq!(pacer.allowed(now), Some(3));
//! ```

use std::{collections::VecDeque, time};

/// What an upstream gets at once when it has just started.
const FIRST_COUNT: f64 = 2.0;
/// What it gets at least.
const LEAST_COUNT: f64 = 1.0;
/// An answer that takes this many times as long as is expected is still in time.
const KEPT_MAX: f64 = 2.0;
/// One that takes longer than this shows that the upstream has got too much; between the two, what it
/// gets stands still.
const LATE_MIN: f64 = 3.0;
/// After a late answer, this many in time show that the upstream has become faster.
const KEPT_BEFORE_DOUBLING: u32 = 8;
/// How much less is expected of an upstream that is slow with few requests.
const LEARNED_STEP: f64 = 1.5;
/// How much less is expected of an upstream at most.
const LEARNED_MAX: f64 = 20.0;
/// How much of that each answer in time takes back.
const RELEARNED_STEP: f64 = 0.98;
/// An upstream that has got this many times what it has room for, as far as its answers allow, is as
/// the others.
const DONE_FACTOR: f64 = 1.5;
/// After this long without a late answer, an upstream is as the others.
const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// How an upstream answered a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Its first event came.
    Answered {
        /// How many times as long as is expected of a warm upstream it took.
        lateness: f64,
    },
    /// It failed, or refused the request although it was said to have room.
    Failed,
}

/// An answer of an upstream, or a request that has waited for one for too long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// When the request was sent.
    pub sent_at: time::Instant,
    /// How it was answered.
    pub outcome: Outcome,
}

/// What an upstream gets at once, as far as its answers have shown.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    /// `None` if the upstream is as the others.
    pacing: Option<Pacing>,
}

#[derive(Clone, Debug)]
struct Pacing {
    allowed: f64,
    /// The number of answers in time since the last one that was not.
    kept_count: u32,
    /// After this many of them, what it gets doubles in the time of an answer.
    kept_before_doubling: u32,
    /// How many times as long as a warm one the upstream takes with few requests.
    learned: f64,
    /// When it last got less. Answers to requests from before say nothing about what it gets now.
    lowered_at: time::Instant,
}

impl Pacer {
    /// Begins with little, because the upstream has just started or recovered.
    pub fn begin(&mut self, now: time::Instant) {
        self.pacing = Some(Pacing {
            allowed: FIRST_COUNT,
            kept_count: 0,
            kept_before_doubling: 0,
            learned: 1.0,
            lowered_at: now,
        });
    }

    /// Returns how many requests the upstream may have at once; `None` if there is no bound.
    #[must_use]
    pub fn allowed(&self, now: time::Instant) -> Option<u32> {
        let pacing = self.pacing.as_ref()?;
        let is_over = now.saturating_duration_since(pacing.lowered_at) >= PATIENCE;
        (!is_over).then(|| whole(pacing.allowed))
    }

    /// Records an answer of the upstream, which has room for `slot_count` requests at once; returns
    /// whether it is as the others from now on.
    pub fn record(&mut self, now: time::Instant, slot_count: u32, answer: Answer) -> bool {
        let Some(pacing) = &mut self.pacing else {
            return false;
        };
        let is_over = now.saturating_duration_since(pacing.lowered_at) >= PATIENCE;
        if answer.sent_at >= pacing.lowered_at {
            pacing.record(now, answer.outcome);
        }
        let is_done = pacing.allowed >= f64::from(slot_count.max(1)) * DONE_FACTOR;
        if is_over || is_done {
            self.pacing = None;
        }
        is_over || is_done
    }
}

impl Pacing {
    fn record(&mut self, now: time::Instant, outcome: Outcome) {
        let lateness = match outcome {
            Outcome::Answered { lateness } => lateness / self.learned,
            Outcome::Failed => f64::INFINITY,
        };
        if lateness <= KEPT_MAX {
            let is_doubling = self.kept_count >= self.kept_before_doubling;
            self.allowed += if is_doubling {
                1.0
            } else {
                self.allowed.recip()
            };
            self.kept_count = self.kept_count.saturating_add(1);
            if lateness * self.learned <= KEPT_MAX {
                self.learned = (self.learned * RELEARNED_STEP).max(1.0);
            }
            return;
        }
        if self.allowed <= FIRST_COUNT && outcome != Outcome::Failed {
            self.learned = (self.learned * LEARNED_STEP).min(LEARNED_MAX);
        }
        if lateness >= LATE_MIN {
            self.allowed = (self.allowed / 2.0).max(LEAST_COUNT);
            self.kept_count = 0;
            self.kept_before_doubling = KEPT_BEFORE_DOUBLING;
            self.lowered_at = now;
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "never below one, and a cast of larger floats saturates"
)]
const fn whole(count: f64) -> u32 {
    count as u32
}

/// The shortest time that is expected of an engine, so that delays of reports are not taken for it.
const EXPECTED_MIN: time::Duration = time::Duration::from_millis(100);
/// How long a request may take to reach an engine and its next report.
const ARRIVAL_TIME_MAX: time::Duration = time::Duration::from_millis(40);
/// The requests that are followed at once.
const FOLLOWED_MAX: usize = 256;

/// The pace of an engine by what its agent sees: what it admitted, and how many of these the engine's
/// reports say are still waiting.
#[derive(Clone, Debug, Default)]
pub struct EnginePacer {
    pacer: Pacer,
    waiting: VecDeque<Waiting>,
    /// When the last report was requested.
    reported_at: Option<time::Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    admitted_at: time::Instant,
    expected: time::Duration,
}

impl Waiting {
    fn answer(self, waited_until: time::Instant) -> Answer {
        let waited = waited_until.saturating_duration_since(self.admitted_at);
        Answer {
            sent_at: self.admitted_at,
            outcome: Outcome::Answered {
                lateness: waited.as_secs_f64() / self.expected.max(EXPECTED_MIN).as_secs_f64(),
            },
        }
    }
}

impl EnginePacer {
    /// Begins with little, because the engine has just started or recovered.
    pub fn begin(&mut self, now: time::Instant) {
        self.pacer.begin(now);
        self.waiting.clear();
    }

    /// Returns how many requests the engine may have at once; `None` if there is no bound.
    #[must_use]
    pub fn allowed(&self, now: time::Instant) -> Option<u32> {
        self.pacer.allowed(now)
    }

    /// Records that a request was admitted whose first event is expected after `expected`.
    pub fn record_admitted(&mut self, now: time::Instant, expected: time::Duration) {
        if self.pacer.allowed(now).is_some() && self.waiting.len() < FOLLOWED_MAX {
            self.waiting.push_back(Waiting {
                admitted_at: now,
                expected,
            });
        }
    }

    /// Records a report that was requested at `requested_at`; returns whether the engine is as the
    /// others from now on.
    pub fn record_report(
        &mut self,
        requested_at: time::Instant,
        queued_count: u32,
        slot_count: u32,
    ) -> bool {
        let before = self.reported_at.replace(requested_at);
        let is_included =
            |waiting: &&Waiting| waiting.admitted_at + ARRIVAL_TIME_MAX <= requested_at;
        let included_count = self.waiting.iter().take_while(is_included).count();
        let queued_count = usize::try_from(queued_count).unwrap_or(usize::MAX);
        let begun_count = included_count.saturating_sub(queued_count);
        let mut is_done = false;
        for waiting in self.waiting.drain(..begun_count) {
            // It may have begun right after the report before this one.
            let answer = waiting.answer(before.unwrap_or(requested_at));
            is_done |= self.pacer.record(requested_at, slot_count, answer);
        }
        if let Some(longest) = self.waiting.front() {
            let answer = longest.answer(requested_at);
            let is_late =
                matches!(answer.outcome, Outcome::Answered { lateness } if lateness >= LATE_MIN);
            if is_late {
                is_done |= self.pacer.record(requested_at, slot_count, answer);
            }
        }
        if is_done {
            self.waiting.clear();
        }
        is_done
    }
}
