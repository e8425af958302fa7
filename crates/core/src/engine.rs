//! How long an engine takes: a model of batching engines from the figures of their service.
//!
//! An engine works in passes. A pass runs several token steps for all requests that write, and
//! reads prompts of waiting requests in between, up to a limit. [`PrefillQueue`] keeps the prompts that
//! were let in but are not read yet, and says when the first token of one more would come.

use std::time;

use serde::{Deserialize, Serialize};

/// What engines of one service can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slot_count: u32,
    /// Time of one token step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each writing request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// Time that 1,000 tokens of context add to a step, in milliseconds.
    pub per_context_k_ms: f64,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Most prompt tokens read in one pass.
    pub read_chunk_tokens: u32,
    /// Token steps in a pass while something writes.
    pub steps_per_pass: u32,
    /// Mean prompt, in tokens.
    pub prompt_mean_tokens: u32,
    /// Mean answer, in tokens.
    pub answer_mean_tokens: u32,
    /// Chunks that a version of the weights consists of.
    pub chunk_count: u32,
    /// Models that the service serves.
    pub models: Vec<String>,
}

impl EngineProfile {
    /// Returns the time that a pass takes while `writing_count` requests write.
    #[must_use]
    pub fn pass_duration(&self, writing_count: u32) -> time::Duration {
        let context_k = f64::from(self.prompt_mean_tokens + self.answer_mean_tokens / 2) / 1_000.0;
        let per_request_ms = self.per_request_ms + self.per_context_k_ms * context_k;
        let step_ms = self.step_ms + per_request_ms * f64::from(writing_count);
        millis(step_ms * f64::from(self.steps_per_pass.max(1)))
    }

    /// Returns the time that writing an answer takes beside others, prompts read between its passes
    /// included.
    #[must_use]
    pub fn decode_duration(&self, writing_count: u32, answer_tokens: u32) -> time::Duration {
        let passes = f64::from(answer_tokens) / f64::from(self.steps_per_pass.max(1));
        let pass = self.pass_duration(writing_count);
        pass.mul_f64(passes * READING_STRETCH)
    }

    /// Returns the time that reading a prompt takes.
    #[must_use]
    pub fn prefill_duration(&self, prompt_tokens: f64) -> time::Duration {
        millis(prompt_tokens * 1_000.0 / self.read_per_s.max(1.0))
    }
}

/// How much longer passes take while prompts are read between them.
const READING_STRETCH: f64 = 1.4;

fn millis(value_ms: f64) -> time::Duration {
    time::Duration::from_secs_f64(value_ms.max(0.0) / 1_000.0)
}

/// The prompts let in at one engine and not read yet, by the model.
#[derive(Clone, Debug)]
pub struct PrefillQueue {
    unread_tokens: f64,
    updated_at: time::Instant,
}

impl PrefillQueue {
    /// Starts with nothing to read.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self {
            unread_tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns how long a request with `prompt_tokens` would wait for its first token.
    #[must_use]
    pub fn time_to_first_token(
        &self,
        figures: &EngineProfile,
        now: time::Instant,
        writing_count: u32,
        prompt_tokens: u32,
    ) -> time::Duration {
        let tokens = self.unread_at(figures, now, writing_count) + f64::from(prompt_tokens);
        let chunk_tokens = f64::from(figures.read_chunk_tokens.max(1));
        let pass = figures.pass_duration(writing_count);
        let passes = if writing_count == 0 {
            0.0
        } else {
            // Half a pass until the present one ends, then one for each chunk but the first.
            0.5 + (tokens / chunk_tokens).floor()
        };
        figures.prefill_duration(tokens)
            + pass.mul_f64(passes)
            + figures.pass_duration(1) / figures.steps_per_pass.max(1)
    }

    /// Records that a request was let in.
    pub fn admit(
        &mut self,
        figures: &EngineProfile,
        now: time::Instant,
        writing_count: u32,
        prompt_tokens: u32,
    ) {
        self.unread_tokens = self.unread_at(figures, now, writing_count) + f64::from(prompt_tokens);
        self.updated_at = now;
    }

    /// The engine shares its time between passes that write and the prompts between them.
    fn unread_at(&self, figures: &EngineProfile, now: time::Instant, writing_count: u32) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let chunk_tokens = f64::from(figures.read_chunk_tokens.max(1));
        let chunk_s = figures.prefill_duration(chunk_tokens).as_secs_f64();
        let pass_s = if writing_count == 0 {
            0.0
        } else {
            figures.pass_duration(writing_count).as_secs_f64()
        };
        let read = elapsed * chunk_tokens / (chunk_s + pass_s).max(f64::EPSILON);
        (self.unread_tokens - read).max(0.0)
    }
}
