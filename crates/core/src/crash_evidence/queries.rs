//! What the evidence says.

use std::time;

use super::{CrashEvidence, change, kept, prompt, suspect_id, trials};

/// The number of crashes of a part, that of the request itself among them, from which on a request
/// is not sent to another engine.
pub(super) const RESENT_CRASHES_MAX: usize = 2;

impl CrashEvidence {
    /// Returns the parts that are kept from engines, for the path of a request.
    #[must_use]
    pub fn kept_parts(&self) -> kept::KeptParts {
        kept::KeptParts(self.verdicts.by_part.keys().copied().collect())
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
        let others: Vec<&str> = others.into_iter().collect();
        let mut admission = change::Admission::Send;
        for part in self.kept_parts_of(prompt) {
            if !self.may_start_trial(part, own, &others, now) {
                return change::Admission::HoldBack(part);
            }
            admission = change::Admission::Trial;
        }
        admission
    }

    /// Returns whether a request whose own engine ended, which must be recorded before, may be sent
    /// to another engine.
    #[must_use]
    pub fn may_resend(&self, prompt: &prompt::Prompt) -> bool {
        let mut suspects = prompt.suspects().iter();
        suspects
            .all(|part| !self.is_kept(*part) && self.unexplained_count(*part) < RESENT_CRASHES_MAX)
    }

    /// Returns whether an engine run is believed to have ended.
    #[must_use]
    pub fn has_ended(&self, run: prompt::EngineRun) -> bool {
        self.ends.ended_at(run).is_some()
    }

    /// Returns when an engine run that is believed to have ended did so.
    #[must_use]
    pub fn ended_at(&self, run: prompt::EngineRun) -> Option<time::Instant> {
        self.ends.ended_at(run)
    }

    /// Returns whether there is no evidence against any part.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.ends.is_empty()
    }

    /// Returns the parts of a prompt that are kept from engines.
    pub(super) fn kept_parts_of(
        &self,
        prompt: &prompt::Prompt,
    ) -> impl Iterator<Item = suspect_id::SuspectId> {
        let suspects = prompt.suspects().iter().copied();
        suspects.filter(|part| self.is_kept(*part))
    }

    /// Returns whether a kept part is on probation.
    pub(super) fn is_on_probation(&self, part: suspect_id::SuspectId, now: time::Instant) -> bool {
        let suspect = self.suspects.get(part);
        suspect.is_some_and(|suspect| trials::is_on_probation(suspect, &self.ends, now))
    }

    /// Returns whether a part is kept from engines.
    pub(super) fn is_kept(&self, part: suspect_id::SuspectId) -> bool {
        self.verdicts.by_part.contains_key(&part)
    }

    fn unexplained_count(&self, part: suspect_id::SuspectId) -> usize {
        let suspect = self.suspects.get(part);
        suspect.map_or(0, |suspect| {
            self.verdicts.unexplained(&self.ends, suspect).len()
        })
    }

    fn may_start_trial(
        &self,
        part: suspect_id::SuspectId,
        own: &str,
        others: &[&str],
        now: time::Instant,
    ) -> bool {
        let suspect = self.suspects.get(part);
        let is_in_trial = suspect.is_some_and(|suspect| trials::is_in_trial(suspect, now));
        let trial_entry = trials::trial_entry(part, own, others.iter().copied());
        self.is_on_probation(part, now) && !is_in_trial && trial_entry == own
    }
}
