//! The longest time to first token at an engine, by what its reports confirm.

use std::{collections::VecDeque, time};

use crate::{engine, latest_start};

/// The prompts that were admitted at one engine and that its reports do not show to be prefilled.
///
/// Unlike in an [`engine::PrefillQueue`], none is taken to be prefilled before the engine has reported again,
/// because an engine that stands still prefills none.
#[derive(Clone, Debug)]
pub struct UnconfirmedQueue {
    /// The tokens that were pending at the last report.
    pending_tokens: f64,
    reported_at: time::Instant,
    /// The prompts that may not have arrived by then, in tokens.
    admitted: VecDeque<(time::Instant, f64)>,
}

impl UnconfirmedQueue {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self {
            pending_tokens: 0.0,
            reported_at: now,
            admitted: VecDeque::new(),
        }
    }

    /// Records that the engine has reported at `reported_at`, so that it has worked until then.
    pub fn confirm(
        &mut self,
        profile: &engine::EngineProfile,
        decoding_count: u32,
        reported_at: time::Instant,
    ) {
        let elapsed = reported_at.saturating_duration_since(self.reported_at);
        let prefilled = profile.prefilled_tokens(decoding_count, elapsed);
        self.pending_tokens = (self.pending_tokens - prefilled).max(0.0);
        self.reported_at = self.reported_at.max(reported_at);
        let is_included = |(admitted_at, _): &mut (time::Instant, f64)| {
            *admitted_at + latest_start::DELIVERY_TIME_MAX <= reported_at
        };
        while let Some((_, tokens)) = self.admitted.pop_front_if(is_included) {
            self.pending_tokens += tokens;
        }
    }

    /// Returns the longest time to first token of a request with `prompt_tokens` if it were admitted
    /// now and the engine worked on at its pace.
    #[must_use]
    pub fn time_to_first_token(
        &self,
        profile: &engine::EngineProfile,
        decoding_count: u32,
        prompt_tokens: u32,
    ) -> time::Duration {
        let admitted: f64 = self.admitted.iter().map(|(_, tokens)| tokens).sum();
        let tokens = self.pending_tokens + admitted + f64::from(prompt_tokens);
        let chunk_tokens = f64::from(profile.read_chunk_tokens.max(1));
        // The request may come right after the beginning of a pass.
        let passes = 1.0 + (tokens / chunk_tokens).floor();
        profile.prefill_duration(tokens)
            + engine::scaled(profile.pass_duration(decoding_count), passes)
            + profile.pass_duration(1) / profile.steps_per_pass.max(1)
    }

    /// Adds the prompt of a request that is admitted at `now`.
    pub fn admit(&mut self, now: time::Instant, prompt_tokens: u32) {
        self.admitted.push_back((now, f64::from(prompt_tokens)));
    }
}
