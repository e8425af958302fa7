//! Timing estimates for batching engines, computed from the profile of their service.
//!
//! An engine works in passes. A pass runs several decode steps for all requests that are decoding;
//! between passes the engine prefills prompts of waiting requests, up to a limit of tokens.
//! [`PrefillQueue`] tracks the prompts that were admitted but not prefilled yet and estimates the
//! time to first token of one more request.

use std::{borrow, fmt, str, time};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};

/// The performance profile that all engines of one service share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Number of requests that run concurrently.
    pub slot_count: u32,
    /// Duration of one decode step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// Time that 1,000 tokens of context add to a step, in milliseconds.
    pub per_context_k_ms: f64,
    /// Prefill rate, in prompt tokens per second.
    pub read_per_s: f64,
    /// Maximum number of prompt tokens prefilled in one pass.
    pub read_chunk_tokens: u32,
    /// Decode steps in a pass while any request is decoding.
    pub steps_per_pass: u32,
    /// Mean length of a prompt, in tokens.
    pub prompt_mean_tokens: u32,
    /// Mean length of a response, in tokens.
    pub answer_mean_tokens: u32,
    /// Number of chunks in a version of the weights.
    pub chunk_count: u32,
    /// Models that the service serves.
    pub models: Vec<String>,
}

/// How many times as long as its profile says an engine takes for its work.
///
/// An engine is not taken to be faster than its profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace {
    percent: u32,
}

/// A text is not the pace of an engine.
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} is not a pace: {source}"))]
pub struct PaceError {
    text: String,
    source: std::num::ParseFloatError,
}

impl Pace {
    const PERCENT_MAX: f64 = 100_000.0;

    /// Returns the pace with this factor; one that is no number is that of the profile.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is within the bounds"
    )]
    pub fn from_factor(factor: f64) -> Self {
        let factor = if factor.is_nan() { 1.0 } else { factor };
        let percent = (factor * 100.0).clamp(100.0, Self::PERCENT_MAX);
        Self {
            percent: percent as u32,
        }
    }

    /// Returns the factor; 1 if the engine works as its profile says.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.percent) / 100.0
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self { percent: 100 }
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.factor())
    }
}

impl str::FromStr for Pace {
    type Err = PaceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let factor = text.parse().context(PaceSnafu { text })?;
        Ok(Self::from_factor(factor))
    }
}

impl EngineProfile {
    /// Returns the profile of an engine that works at this pace.
    #[must_use]
    pub fn at_pace(&self, pace: Pace) -> borrow::Cow<'_, Self> {
        if pace == Pace::default() {
            return borrow::Cow::Borrowed(self);
        }
        let factor = pace.factor();
        borrow::Cow::Owned(Self {
            step_ms: self.step_ms * factor,
            per_request_ms: self.per_request_ms * factor,
            per_context_k_ms: self.per_context_k_ms * factor,
            read_per_s: self.read_per_s / factor,
            ..self.clone()
        })
    }

    /// Returns the duration of a pass while `decoding_count` requests are decoding.
    #[must_use]
    pub fn pass_duration(&self, decoding_count: u32) -> time::Duration {
        let context_tokens =
            f64::from(self.prompt_mean_tokens) + f64::from(self.answer_mean_tokens / 2);
        let context_k = context_tokens / 1_000.0;
        let per_request_ms = self.per_request_ms + self.per_context_k_ms * context_k;
        let step_ms = self.step_ms + per_request_ms * f64::from(decoding_count);
        millis(step_ms * f64::from(self.steps_per_pass.max(1)))
    }

    /// Returns the time to decode a response of `answer_tokens` while `decoding_count` requests are
    /// decoding, including the prefills that run between its passes.
    #[must_use]
    pub fn decode_duration(&self, decoding_count: u32, answer_tokens: u32) -> time::Duration {
        let passes = f64::from(answer_tokens) / f64::from(self.steps_per_pass.max(1));
        let pass = self.pass_duration(decoding_count);
        scaled(pass, passes * PREFILL_SLOWDOWN)
    }

    /// Returns the time until the last request has started if all slots are taken at once.
    #[must_use]
    pub fn full_batch_start(&self) -> time::Duration {
        let tokens = f64::from(self.slot_count) * f64::from(self.prompt_mean_tokens);
        let chunk_count = (tokens / f64::from(self.read_chunk_tokens.max(1))).ceil();
        self.prefill_duration(tokens) + scaled(self.pass_duration(self.slot_count), chunk_count)
    }

    /// Returns how many tokens of waiting prompts are prefilled within a time.
    ///
    /// The engine alternates between decode passes and prefill chunks, so each chunk takes its own
    /// time plus that of a pass.
    pub(crate) fn prefilled_tokens(&self, decoding_count: u32, elapsed: time::Duration) -> f64 {
        let chunk_tokens = f64::from(self.read_chunk_tokens.max(1));
        let chunk_s = self.prefill_duration(chunk_tokens).as_secs_f64();
        let pass_s = if decoding_count == 0 {
            0.0
        } else {
            self.pass_duration(decoding_count).as_secs_f64()
        };
        elapsed.as_secs_f64() * chunk_tokens / (chunk_s + pass_s).max(f64::EPSILON)
    }

    /// Returns the time to prefill a prompt.
    #[must_use]
    pub fn prefill_duration(&self, prompt_tokens: f64) -> time::Duration {
        millis(prompt_tokens * 1_000.0 / self.read_per_s.max(1.0))
    }
}

/// Factor by which prefills between passes lengthen decoding.
const PREFILL_SLOWDOWN: f64 = 1.4;

/// The longest estimate, so that estimates of any profile can be added to each other and to an
/// instant.
const ESTIMATE_MAX: time::Duration = time::Duration::from_hours(24);

fn millis(value_ms: f64) -> time::Duration {
    let duration = time::Duration::try_from_secs_f64(value_ms.max(0.0) / 1_000.0);
    duration.unwrap_or(ESTIMATE_MAX).min(ESTIMATE_MAX)
}

pub(crate) fn scaled(duration: time::Duration, factor: f64) -> time::Duration {
    millis(duration.as_secs_f64() * 1_000.0 * factor)
}

/// An estimate of the prompts that were admitted at one engine but not prefilled yet.
#[derive(Clone, Debug)]
pub struct PrefillQueue {
    pending_tokens: f64,
    updated_at: time::Instant,
}

impl PrefillQueue {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self {
            pending_tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns the time to first token of a request with `prompt_tokens` if it were admitted now.
    #[must_use]
    pub fn time_to_first_token(
        &self,
        profile: &EngineProfile,
        now: time::Instant,
        decoding_count: u32,
        prompt_tokens: u32,
    ) -> time::Duration {
        let tokens = self.pending_at(profile, now, decoding_count) + f64::from(prompt_tokens);
        let chunk_tokens = f64::from(profile.read_chunk_tokens.max(1));
        let pass = profile.pass_duration(decoding_count);
        let passes = if decoding_count == 0 {
            0.0
        } else {
            // Assumes that half of the current pass remains; one pass runs between consecutive
            // chunks.
            0.5 + (tokens / chunk_tokens).floor()
        };
        profile.prefill_duration(tokens)
            + scaled(pass, passes)
            + profile.pass_duration(1) / profile.steps_per_pass.max(1)
    }

    /// Adds the prompt of an admitted request.
    pub fn admit(
        &mut self,
        profile: &EngineProfile,
        now: time::Instant,
        decoding_count: u32,
        prompt_tokens: u32,
    ) {
        self.pending_tokens =
            self.pending_at(profile, now, decoding_count) + f64::from(prompt_tokens);
        self.updated_at = now;
    }

    /// Returns the tokens still pending at `now`.
    fn pending_at(&self, profile: &EngineProfile, now: time::Instant, decoding_count: u32) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let prefilled = profile.prefilled_tokens(decoding_count, elapsed);
        (self.pending_tokens - prefilled).max(0.0)
    }
}
