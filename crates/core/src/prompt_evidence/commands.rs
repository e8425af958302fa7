//! What changes the evidence. Each command returns the changes of belief that it causes; whoever
//! publishes [`kept::KeptParts`](super::kept::KeptParts) does so again if there are any.

use std::time;

use super::{PromptEvidence, change, prompt, report};

impl PromptEvidence {
    /// Records that an engine run ended while a request was under way there: the engine closed or
    /// reset its connection before the response was whole. A connection that was given up by this
    /// side, or fell silent, is no end.
    ///
    /// To be called for each request at the engine whose response had not been recorded as served.
    pub fn record_ended(
        &mut self,
        run: prompt::EngineRun,
        prompt: &prompt::Prompt,
        now: time::Instant,
    ) -> Vec<change::Change> {
        let _ = (run, prompt);
        self.advance(now)
    }

    /// Records that something of a response arrived from an engine run, to a request sent at
    /// `sent_at`. If that shows that the run had not ended, its end counts against no part.
    ///
    /// Needs to be called only for runs of which [`PromptEvidence::has_ended`] returns true.
    pub fn record_alive(
        &mut self,
        run: prompt::EngineRun,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> Vec<change::Change> {
        let _ = (run, sent_at);
        self.advance(now)
    }

    /// Records that a response was received whole, or that its stream still ran
    /// [`BEGUN_FOR`](super::served::BEGUN_FOR) after its first event. It refutes earlier crashes of
    /// all parts of the prompt unless the engine ends within
    /// [`OUTLIVED_FOR`](super::served::OUTLIVED_FOR).
    pub fn record_served(
        &mut self,
        run: prompt::EngineRun,
        prompt: &prompt::Prompt,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> Vec<change::Change> {
        let _ = (run, prompt, sent_at);
        self.advance(now)
    }

    /// Records that a request was held back, which prolongs the verdict about its parts.
    pub fn record_held_back(&mut self, prompt: &prompt::Prompt, now: time::Instant) {
        let _ = (prompt, now);
    }

    /// Records that a request is sent as a trial.
    pub fn record_trial(&mut self, prompt: &prompt::Prompt, now: time::Instant) {
        let _ = (prompt, now);
    }

    /// Records that a trial is over, whatever came of it. Its outcome, if there was one, must be
    /// recorded before.
    pub fn record_trial_over(&mut self, prompt: &prompt::Prompt) {
        let _ = prompt;
    }

    /// Merges the evidence of another entry.
    pub fn merge(&mut self, report: &report::Report, now: time::Instant) -> Vec<change::Change> {
        let _ = report;
        self.advance(now)
    }

    /// Applies what the passing of time changes; to be called about every 100 ms while the evidence
    /// [is not empty](PromptEvidence::is_empty).
    pub fn advance(&mut self, now: time::Instant) -> Vec<change::Change> {
        let _ = now;
        Vec::new()
    }
}
