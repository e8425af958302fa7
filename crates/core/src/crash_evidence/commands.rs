//! What changes the evidence. Each command returns the changes of belief that it causes; whoever
//! publishes [`kept::KeptParts`](super::kept::KeptParts) does so again if there are any.

use std::time;

use super::{CrashEvidence, change, prompt, report, retention, served, suspect_id, suspects};

/// What an engine sent before its end arrives within this time after the end is noticed.
const ARRIVAL_MAX: time::Duration = time::Duration::from_secs(1);
/// How often the age of the evidence is looked at.
const REVIEW_PERIOD: time::Duration = time::Duration::from_millis(100);

impl CrashEvidence {
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
        self.settle(now);
        self.ends.record(run, now);
        self.pending.drop_not_outlived(run, now);
        for (position, part) in prompt.suspects().iter().enumerate() {
            self.accuse(*part, position, run, now);
        }
        self.review(now)
    }

    /// Records that something of a response arrived from an engine run, to a request sent at
    /// `sent_at`. If that shows that the run had not ended, its end counts against no part.
    ///
    /// Needs to be called only for runs of which [`CrashEvidence::has_ended`] returns true.
    pub fn record_alive(
        &mut self,
        run: prompt::EngineRun,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> Vec<change::Change> {
        self.settle(now);
        if self.disproves_end(run, sent_at, now) {
            self.ends.withdraw(run);
            self.suspects.remove_crashes(run);
            self.is_stale = true;
        }
        self.review_if_due(now)
    }

    /// Records that a response was received whole, or that its stream still ran
    /// [`BEGUN_FOR`](super::BEGUN_FOR) after its first event. Unless its engine ends half a second
    /// later, it refutes the earlier crashes of all parts of the prompt, the last one too: that may
    /// stand before others in the next prompt of a session.
    pub fn record_served(
        &mut self,
        run: prompt::EngineRun,
        prompt: &prompt::Prompt,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> Vec<change::Change> {
        let changes = self.record_alive(run, sent_at, now);
        if self.ends.ended_at(run).is_none() {
            self.pending.add(served::PendingResponse {
                run,
                prompt: prompt.clone(),
                served_at: now,
            });
        }
        changes
    }

    /// Records that a request was held back, which prolongs the verdict about its parts.
    pub fn record_held_back(&mut self, prompt: &prompt::Prompt, now: time::Instant) {
        let kept = self.kept_parts_of(prompt);
        let held_back = kept.filter(|part| !self.is_on_probation(*part, now));
        for part in held_back.collect::<Vec<_>>() {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.held_back_at = suspect.held_back_at.max(Some(now));
            }
        }
    }

    /// Records that a request is sent as a trial.
    pub fn record_trial(&mut self, prompt: &prompt::Prompt, now: time::Instant) {
        for part in self.kept_parts_of(prompt).collect::<Vec<_>>() {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.trial_started_at = Some(now);
            }
        }
    }

    /// Records that a trial is over, whatever came of it. Its outcome, if there was one, must be
    /// recorded before.
    pub fn record_trial_over(&mut self, prompt: &prompt::Prompt) {
        for part in prompt.suspects() {
            if let Some(suspect) = self.suspects.get_mut(*part) {
                suspect.trial_started_at = None;
            }
        }
    }

    /// Merges the evidence of another entry.
    pub fn merge(&mut self, report: &report::Report, now: time::Instant) -> Vec<change::Change> {
        self.settle(now);
        let standing = self.merge_ends(&report.ends, now);
        for reported in report.parts.iter().take(retention::SUSPECTS_MAX) {
            self.merge_part(reported.part, reported, &standing, now);
        }
        for reported in report.requests.iter().take(retention::SUSPECTS_MAX) {
            let request = suspect_id::SuspectId::of_request(reported.part.into());
            self.merge_part(request, reported, &standing, now);
        }
        if report.is_empty() {
            return self.review_if_due(now);
        }
        self.review(now)
    }

    /// Applies what the passing of time changes; to be called about every 100 ms while the evidence
    /// [is not empty](CrashEvidence::is_empty).
    pub fn advance(&mut self, now: time::Instant) -> Vec<change::Change> {
        self.settle(now);
        self.review_if_due(now)
    }

    /// Applies the responses that their engines have outlived.
    fn settle(&mut self, now: time::Instant) {
        while let Some(response) = self.pending.pop_outlived(now) {
            for part in response.prompt.parts() {
                self.served.record(*part, response.served_at);
                if let Some(suspect) = self.suspects.get_mut(*part) {
                    self.is_stale |= suspect.refute(&self.ends, response.served_at, now);
                }
            }
        }
    }

    fn accuse(
        &mut self,
        part: suspect_id::SuspectId,
        position: usize,
        run: prompt::EngineRun,
        now: time::Instant,
    ) {
        let is_trial = self.is_kept(part) && self.is_on_probation(part, now);
        let served_here = self.served.last_served_at(part);
        let suspect = self.suspects.get_or_add(part);
        let crash = suspects::Crash {
            position: u8::try_from(position).unwrap_or(u8::MAX),
            is_refuted: false,
            is_trial,
            is_own: true,
        };
        suspect.merge_crash(run, crash, now);
        if let Some(served_here) = served_here {
            suspect.refute(&self.ends, served_here, now);
        }
    }

    /// Returns whether something that arrived from a run shows that it had not ended. What was sent
    /// before its end may arrive a little later than the end is noticed.
    fn disproves_end(
        &self,
        run: prompt::EngineRun,
        sent_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        self.ends.ended_at(run).is_some_and(|ended_at| {
            sent_at > ended_at || now.saturating_duration_since(ended_at) >= ARRIVAL_MAX
        })
    }

    fn review_if_due(&mut self, now: time::Instant) -> Vec<change::Change> {
        let is_old = self
            .reviewed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REVIEW_PERIOD);
        let is_due = is_old && !self.is_empty();
        if self.is_stale || is_due {
            return self.review(now);
        }
        Vec::new()
    }
}
