//! Ends that may be those of a connection only.
//!
//! An upstream may close or reset a connection and live on. One that accepts another connection a
//! little later, and can't have started again by then, has not ended.

use std::time;

use super::{CrashEvidence, RESTART_MIN, change, prompt, queries, suspect_id};

/// How long after a connection broke an upstream that has ended accepts no others any more.
pub const CLOSED_AFTER: time::Duration = time::Duration::from_millis(30);

impl CrashEvidence {
    /// Returns the runs because of whose ends a request [may not be sent
    /// again](CrashEvidence::may_resend), and that can still be shown to live on. There are none if
    /// other ends forbid it too.
    #[must_use]
    pub fn doubts(&self, prompt: &prompt::Prompt, now: time::Instant) -> Vec<prompt::EngineRun> {
        let mut doubts = Vec::new();
        for part in prompt.suspects() {
            let runs = self.unexplained_runs(*part);
            if self.is_kept(*part) {
                return Vec::new();
            }
            if runs.len() < queries::RESENT_CRASHES_MAX {
                continue;
            }
            let is_sure = |run: &prompt::EngineRun| self.asked_from(*run, now).is_none();
            let (sure, doubted): (Vec<_>, Vec<_>) = runs.into_iter().partition(is_sure);
            if sure.len() >= queries::RESENT_CRASHES_MAX {
                return Vec::new();
            }
            doubts.extend(doubted);
        }
        doubts.sort_unstable();
        doubts.dedup();
        doubts
    }

    /// Returns from when on a new connection shows that a run lives on which is believed to have
    /// ended; `None` if nothing can show it, as another run may accept the connection.
    #[must_use]
    pub fn asked_from(&self, run: prompt::EngineRun, now: time::Instant) -> Option<time::Instant> {
        let end = self.ends.get(run)?;
        let is_young = now.saturating_duration_since(end.ended_at) < RESTART_MIN;
        is_young.then(|| end.last_noticed_at + CLOSED_AFTER)
    }

    /// Records that an upstream accepted a connection that was begun at `begun_at`, and has kept it
    /// until now. If that shows that the run lives on, its end counts against no part.
    pub fn record_accepted(
        &mut self,
        run: prompt::EngineRun,
        begun_at: time::Instant,
        now: time::Instant,
    ) -> Vec<change::Change> {
        let asked_from = self.asked_from(run, now);
        if asked_from.is_some_and(|asked_from| begun_at >= asked_from) {
            self.record_alive(run, begun_at, now)
        } else {
            Vec::new()
        }
    }

    fn unexplained_runs(&self, part: suspect_id::SuspectId) -> Vec<prompt::EngineRun> {
        let suspect = self.suspects.get(part).into_iter();
        let crashes = suspect.flat_map(|suspect| suspect.standing_crashes(&self.ends));
        let runs = crashes.map(|(run, _)| run);
        runs.filter(|run| !self.verdicts.explained.contains(run))
            .collect()
    }
}
