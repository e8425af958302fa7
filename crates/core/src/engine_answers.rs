//! Whether an engine answers the questions of its own agent.
//!
//! An agent asks its engine for a report several times a second and before admissions. A sound engine
//! answers at once, or after its current pass. One that takes longer is *silent*: what is sent there
//! lies unread, and begins when the engine goes on, even if its connection was closed meanwhile.
//! An engine that is known to answer late gets more time.

use std::time;

use crate::engine;

/// The time that every engine gets for an answer, for delays between processes of a busy VM.
const ANSWER_TIME_MIN: time::Duration = time::Duration::from_millis(150);
/// The time that no engine gets for an answer.
const ANSWER_TIME_MAX: time::Duration = time::Duration::from_secs(1);
/// An engine gets this many passes of its profile for an answer, in percent.
const PASSES_PERCENT: u32 = 150;
/// An engine that answers late gets this many times as long as its slowest recent answer took.
const LATE_FACTOR: u32 = 2;

/// The questions that an agent has asked its engine.
#[derive(Clone, Debug, Default)]
pub struct EngineAnswers {
    /// When the first question was asked that is not answered.
    unanswered_since: Option<time::Instant>,
    /// What the slowest recent answer took; halves with each answer.
    slowest: time::Duration,
}

impl EngineAnswers {
    /// Creates the state of an engine that has not been asked.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            unanswered_since: None,
            slowest: time::Duration::ZERO,
        }
    }

    /// Records that the engine is asked.
    pub fn record_question(&mut self, asked_at: time::Instant) {
        self.unanswered_since.get_or_insert(asked_at);
    }

    /// Records the answer to a question.
    pub fn record_answer(&mut self, asked_at: time::Instant, now: time::Instant) {
        let taken = now.saturating_duration_since(asked_at);
        self.slowest = taken.max(self.slowest / 2);
        self.unanswered_since = None;
    }

    /// Records that the engine did not have to answer.
    pub const fn withdraw_question(&mut self) {
        self.unanswered_since = None;
    }

    /// Returns how long an answer may take before the engine counts as silent.
    #[must_use]
    pub fn answer_time_max(&self, profile: &engine::EngineProfile) -> time::Duration {
        let prefill = profile.prefill_duration(f64::from(profile.read_chunk_tokens));
        let pass = profile
            .pass_duration(profile.slot_count)
            .saturating_add(prefill);
        let passes = pass.saturating_mul(PASSES_PERCENT) / 100;
        passes
            .max(self.slowest.saturating_mul(LATE_FACTOR))
            .clamp(ANSWER_TIME_MIN, ANSWER_TIME_MAX)
    }

    /// Returns for how long the engine has been silent; `None` if it is not.
    #[must_use]
    pub fn silent_for(
        &self,
        profile: &engine::EngineProfile,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let waiting = now.saturating_duration_since(self.unanswered_since?);
        (waiting > self.answer_time_max(profile)).then_some(waiting)
    }
}
