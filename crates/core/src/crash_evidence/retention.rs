//! Bounds on the number and the age of evidence.

use std::{cmp, time};

use indexmap::IndexSet;

use super::{CrashEvidence, prompt, suspect_id, suspects};

/// The maximum number of parts with evidence against them.
pub(super) const SUSPECTS_MAX: usize = 256;
/// How many of these parts are kept for their number of crashes, whatever their age.
const STRONGEST_MAX: usize = SUSPECTS_MAX / 2;
/// The maximum number of engine runs that ended.
pub(super) const ENDS_MAX: usize = 256;
/// How long evidence is kept after its last crash, unless the part is kept from engines.
const EVIDENCE_RETENTION: time::Duration = time::Duration::from_mins(10);
/// How long a part is kept from engines, or on probation, after it was last seen.
pub(super) const KEPT_RETENTION: time::Duration = time::Duration::from_hours(24);
/// How long a single crash is told as evidence against a request, by the entry that saw it. Sound
/// requests that were under way are many, and each is seldom seen again.
const SINGLE_CRASH_TOLD: time::Duration = time::Duration::from_secs(10);
/// Evidence is told for this share of the time for which it is kept, so that entries which forget it
/// don't hear it again from one that learned it later.
const TOLD_DIVISOR: u32 = 2;

impl CrashEvidence {
    /// Returns whether evidence is young enough to be told.
    pub(super) fn is_told(
        &self,
        suspect: &suspects::Suspect,
        part: suspect_id::SuspectId,
        now: time::Instant,
    ) -> bool {
        let last = self.last_needed_at(part, suspect);
        let told_for = self.told_for(suspect, part);
        last.zip(told_for)
            .is_some_and(|(at, told_for)| now.saturating_duration_since(at) <= told_for)
    }

    /// Returns for how long evidence is told; `None` if it is left to other entries.
    fn told_for(
        &self,
        suspect: &suspects::Suspect,
        part: suspect_id::SuspectId,
    ) -> Option<time::Duration> {
        let is_single = suspect.standing_crashes(&self.ends).count() < 2;
        if !part.is_request() || !is_single {
            return Some(self.retention(part) / TOLD_DIVISOR);
        }
        let is_own = suspect.crashes.values().any(|crash| crash.is_own);
        is_own.then_some(SINGLE_CRASH_TOLD)
    }

    /// Returns whether an end is young enough to be told for its own sake.
    pub(super) fn is_end_told(ended_at: time::Instant, now: time::Instant) -> bool {
        now.saturating_duration_since(ended_at) <= EVIDENCE_RETENTION / TOLD_DIVISOR
    }

    /// Forgets what is too old or too much.
    pub(super) fn forget(&mut self, now: time::Instant) {
        self.forget_old_parts(now);
        self.limit_parts();
        self.forget_unused_ends(now);
        self.limit_ends();
    }

    fn retention(&self, part: suspect_id::SuspectId) -> time::Duration {
        if self.is_kept(part) {
            KEPT_RETENTION
        } else {
            EVIDENCE_RETENTION
        }
    }

    fn last_needed_at(
        &self,
        part: suspect_id::SuspectId,
        suspect: &suspects::Suspect,
    ) -> Option<time::Instant> {
        let last_crash_at = suspect.last_crash_at(&self.ends)?;
        if self.is_kept(part) {
            suspect.last_seen_at(&self.ends)
        } else {
            Some(last_crash_at).max(suspect.refuted_at)
        }
    }

    fn forget_old_parts(&mut self, now: time::Instant) {
        let old = self.suspects.iter().filter(|(part, suspect)| {
            let last = self.last_needed_at(*part, suspect);
            last.is_none_or(|at| now.saturating_duration_since(at) > self.retention(*part))
        });
        let old: IndexSet<suspect_id::SuspectId> = old.map(|(part, _)| part).collect();
        if !old.is_empty() {
            self.suspects.retain(|part, _| !old.contains(&part));
        }
    }

    /// Keeps the strongest suspicions, and of the others the newest; parts that are kept from
    /// engines are the last to go.
    fn limit_parts(&mut self) {
        let excess = self.suspects.len().saturating_sub(SUSPECTS_MAX);
        if excess == 0 {
            return;
        }
        let mut by_strength: Vec<_> = self.suspects.iter().collect();
        by_strength.sort_by_cached_key(|(part, suspect)| {
            let crash_count = suspect.standing_crashes(&self.ends).count();
            cmp::Reverse((self.is_kept(*part), crash_count))
        });
        let mut by_age = by_strength.split_off(STRONGEST_MAX);
        by_age.sort_by_cached_key(|(_, suspect)| suspect.last_standing_crash_at(&self.ends));
        let least: IndexSet<suspect_id::SuspectId> =
            by_age.iter().take(excess).map(|(part, _)| *part).collect();
        self.suspects.retain(|part, _| !least.contains(&part));
    }

    fn forget_unused_ends(&mut self, now: time::Instant) {
        let used: IndexSet<prompt::EngineRun> = self
            .suspects
            .iter()
            .flat_map(|(_, suspect)| suspect.crashes.keys().copied())
            .collect();
        self.ends.retain(|run, end| {
            let is_old = now.saturating_duration_since(end.ended_at) > EVIDENCE_RETENTION;
            !is_old || used.contains(&run)
        });
    }

    /// Keeps the newest ends; those that kept parts explain are the last to go. An end is forgotten
    /// for all parts at once, so that it does not remain against those that it would not accuse.
    fn limit_ends(&mut self) {
        let excess = self.ends.len().saturating_sub(ENDS_MAX);
        if excess == 0 {
            return;
        }
        let mut by_need: Vec<_> = self.ends.iter().collect();
        by_need.sort_by_key(|(run, end)| (self.verdicts.explained.contains(run), end.ended_at));
        let least: IndexSet<prompt::EngineRun> =
            by_need.iter().take(excess).map(|(run, _)| *run).collect();
        self.ends.retain(|run, _| !least.contains(&run));
        for run in least {
            self.suspects.remove_crashes(run);
        }
    }
}
