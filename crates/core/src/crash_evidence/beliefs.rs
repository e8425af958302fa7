//! Verdicts as they follow from the evidence, and the changes of belief that they bring.

use std::{mem, time};

use super::{CrashEvidence, change, suspect_id, suspects, trials, verdicts};

impl CrashEvidence {
    /// Derives the verdicts from the evidence, and returns the changes of belief.
    pub(super) fn review(&mut self, now: time::Instant) -> Vec<change::Change> {
        let before = mem::take(&mut self.verdicts);
        self.verdicts = self.verdicts_at(now);
        // What is forgotten depends on the verdicts, and they on what is left.
        self.forget(now);
        self.verdicts = self.verdicts_at(now);
        self.is_stale = false;
        self.reviewed_at = Some(now);
        let ended = before.by_part.iter();
        let ended = ended.filter_map(|(part, verdict)| self.ended(*part, *verdict));
        let begun = self.verdicts.by_part.iter().filter_map(|(part, verdict)| {
            let known = before.by_part.get(part);
            let is_known =
                known.is_some_and(|known| known.is_on_probation == verdict.is_on_probation);
            (!is_known).then(|| change_to(*part, *verdict))
        });
        ended.chain(begun).collect()
    }

    fn verdicts_at(&self, now: time::Instant) -> verdicts::Verdicts {
        let mut verdicts = verdicts::Verdicts::of(&self.ends, &self.suspects);
        for (part, verdict) in &mut verdicts.by_part {
            let suspect = self.suspects.get(*part);
            verdict.is_on_probation =
                suspect.is_some_and(|suspect| trials::is_on_probation(suspect, &self.ends, now));
        }
        verdicts
    }

    /// Returns the change of a part that was kept from engines, if it isn't any more.
    fn ended(
        &self,
        part: suspect_id::SuspectId,
        before: verdicts::Verdict,
    ) -> Option<change::Change> {
        if self.is_kept(part) {
            return None;
        }
        let suspect = self.suspects.get(part);
        let belief = suspect.map_or(change::Belief::Forgotten, |suspect| {
            self.belief_of_cleared(suspect, before)
        });
        let crashes = suspect.map_or_else(Vec::new, |suspect| {
            self.verdicts.unexplained(&self.ends, suspect)
        });
        Some(change::Change {
            part,
            belief,
            crash_count: crashes.len(),
            moment_count: verdicts::moments(&crashes).len(),
        })
    }

    fn belief_of_cleared(
        &self,
        suspect: &suspects::Suspect,
        before: verdicts::Verdict,
    ) -> change::Belief {
        let has_fewer = suspect.standing_crashes(&self.ends).count() < before.crash_count;
        let is_refuted = suspect.crashes.values().any(|crash| crash.is_refuted);
        if has_fewer && is_refuted {
            change::Belief::Served
        } else {
            change::Belief::Explained
        }
    }
}

fn change_to(part: suspect_id::SuspectId, verdict: verdicts::Verdict) -> change::Change {
    let belief = if verdict.is_on_probation {
        change::Belief::Probation
    } else {
        change::Belief::Kept
    };
    change::Change {
        part,
        belief,
        crash_count: verdict.crash_count,
        moment_count: verdict.moment_count,
    }
}
