//! What the evidence says.

use std::time;

use super::{PromptEvidence, change, kept, prompt, report};

impl PromptEvidence {
    /// Returns the parts that are kept from engines, for the path of a request.
    #[must_use]
    pub fn kept_parts(&self) -> kept::KeptParts {
        kept::KeptParts(self.verdicts.keys().copied().collect())
    }

    /// Returns whether a request may be sent to an engine, be it for the first time or again. To be
    /// asked only for prompts with a [kept part](kept::KeptParts::find); others may be sent.
    ///
    /// `own` is the name of this entry, and `others` are those of the entries that it hears.
    #[must_use]
    pub fn admission<'a, I>(
        &self,
        prompt: &prompt::Prompt,
        own: &'a str,
        others: I,
        now: time::Instant,
    ) -> change::Admission
    where
        I: IntoIterator<Item = &'a str>,
    {
        let _ = (prompt, own, others.into_iter().count(), now);
        change::Admission::Send
    }

    /// Returns whether a request whose own engine ended, which must be recorded before, may be sent
    /// to another engine.
    #[must_use]
    pub fn may_resend(&self, prompt: &prompt::Prompt) -> bool {
        self.kept_parts().find(prompt).is_none()
    }

    /// Returns whether an engine run is believed to have ended.
    #[must_use]
    pub fn has_ended(&self, run: prompt::EngineRun) -> bool {
        let _ = run;
        false
    }

    /// Returns whether there is no evidence against any part.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Returns the evidence for other entries.
    #[must_use]
    pub fn report(&self, now: time::Instant) -> report::Report {
        let _ = now;
        report::Report::default()
    }
}
