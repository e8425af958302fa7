//! The evidence against each part.

use std::time;

use indexmap::IndexMap;

use super::{ends, prompt, suspect_id};

/// The end of an engine run while a request with a part was under way there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crash {
    /// The last position of the part in a prompt of such a request, counted from 0.
    pub position: u8,
    /// Whether a later response on the part refutes it.
    pub is_refuted: bool,
    /// Whether the part was on probation.
    pub is_trial: bool,
    /// Whether this entry saw it, which is not told.
    pub is_own: bool,
}

impl Crash {
    /// Returns what follows from both, in whatever order they are learned.
    pub fn join(self, other: Self) -> Self {
        Self {
            position: self.position.max(other.position),
            is_refuted: self.is_refuted || other.is_refuted,
            is_trial: self.is_trial || other.is_trial,
            is_own: self.is_own || other.is_own,
        }
    }
}

/// A part with which engine runs ended.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// The runs that ended while a request with the part was under way there.
    pub crashes: IndexMap<prompt::EngineRun, Crash>,
    /// Whether an entry ever received a response on it, as far as known.
    pub was_served: bool,
    /// When this entry last learned that a crash is refuted.
    pub refuted_at: Option<time::Instant>,
    /// When a request with the part was last held back, at any entry.
    pub held_back_at: Option<time::Instant>,
    /// Since when a trial of the part is under way here.
    pub trial_started_at: Option<time::Instant>,
}

impl Suspect {
    /// Returns the crashes that count against the part, and when they were.
    pub fn standing_crashes(
        &self,
        ends: &ends::Ends,
    ) -> impl Iterator<Item = (prompt::EngineRun, time::Instant)> {
        let unrefuted = self.crashes.iter().filter(|(_, crash)| !crash.is_refuted);
        unrefuted.filter_map(|(run, _)| Some((*run, ends.ended_at(*run)?)))
    }

    /// Returns the last position of the part in the prompts with which it crashed engines.
    pub fn position(&self) -> u8 {
        let positions = self.crashes.values().map(|crash| crash.position);
        positions.max().unwrap_or(0)
    }

    /// Returns when the last crash was that counts against the part.
    pub fn last_standing_crash_at(&self, ends: &ends::Ends) -> Option<time::Instant> {
        self.standing_crashes(ends).map(|(_, at)| at).max()
    }

    /// Returns when the last crash was, refuted or not.
    pub fn last_crash_at(&self, ends: &ends::Ends) -> Option<time::Instant> {
        let runs = self.crashes.keys();
        runs.filter_map(|run| ends.ended_at(*run)).max()
    }

    /// Returns when the part was last seen: a crash or a request that was held back.
    pub fn last_seen_at(&self, ends: &ends::Ends) -> Option<time::Instant> {
        self.last_crash_at(ends).max(self.held_back_at)
    }

    /// Records a response on the part, which refutes earlier crashes; returns whether there were
    /// any.
    pub fn refute(
        &mut self,
        ends: &ends::Ends,
        served_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        self.was_served = true;
        let mut is_changed = false;
        for (run, crash) in &mut self.crashes {
            let is_earlier = ends.ended_at(*run).is_some_and(|at| at < served_at);
            is_changed |= is_earlier && !crash.is_refuted;
            crash.is_refuted |= is_earlier;
        }
        if is_changed {
            self.refuted_at = Some(now);
        }
        is_changed
    }

    /// Merges a crash that another entry told.
    pub fn merge_crash(&mut self, run: prompt::EngineRun, told: Crash, now: time::Instant) {
        let known = self.crashes.entry(run).or_default();
        if told.is_refuted && !known.is_refuted {
            self.refuted_at = Some(now);
        }
        *known = known.join(told);
    }
}

/// The parts with which engine runs ended.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_part: IndexMap<suspect_id::SuspectId, Suspect>,
}

impl Suspects {
    /// Returns the evidence against a part.
    pub fn get(&self, part: suspect_id::SuspectId) -> Option<&Suspect> {
        self.by_part.get(&part)
    }

    /// Returns the evidence against a part, to change it.
    pub fn get_mut(&mut self, part: suspect_id::SuspectId) -> Option<&mut Suspect> {
        self.by_part.get_mut(&part)
    }

    /// Returns the evidence against a part, to change it; adds it if there is none.
    pub fn get_or_add(&mut self, part: suspect_id::SuspectId) -> &mut Suspect {
        self.by_part.entry(part).or_default()
    }

    /// Returns the evidence against all parts.
    pub fn iter(&self) -> impl Iterator<Item = (suspect_id::SuspectId, &Suspect)> {
        self.by_part.iter().map(|(part, suspect)| (*part, suspect))
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.by_part.len()
    }

    /// Returns whether there is no evidence against any part.
    pub fn is_empty(&self) -> bool {
        self.by_part.is_empty()
    }

    /// Removes the end of a run from the evidence.
    pub fn remove_crashes(&mut self, run: prompt::EngineRun) {
        for suspect in self.by_part.values_mut() {
            suspect.crashes.swap_remove(&run);
        }
    }

    /// Keeps the parts for which `is_needed` returns true.
    pub fn retain<F>(&mut self, mut is_needed: F)
    where
        F: FnMut(suspect_id::SuspectId, &Suspect) -> bool,
    {
        self.by_part
            .retain(|part, suspect| is_needed(*part, suspect));
    }
}
