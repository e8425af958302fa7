//! The engine runs that ended.

use std::time;

use indexmap::IndexMap;

use super::prompt;

/// The end of an engine run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// When an entry first noticed it, as far as known.
    pub ended_at: time::Instant,
    /// When it was last noticed here, by another connection that broke; not told.
    pub last_noticed_at: time::Instant,
    /// How often the run had seemed to end before, but was alive.
    pub false_end_count: u32,
    /// Whether the run was alive after all.
    pub is_false: bool,
}

impl End {
    /// The order of what is known of a run: a later statement replaces an earlier one, whatever the
    /// order in which they arrive.
    const fn order(&self) -> (u32, bool) {
        (self.false_end_count, self.is_false)
    }
}

/// How a reported end relates to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It replaces what was known.
    New,
    /// It was known.
    Known,
    /// It was replaced before.
    Outdated,
}

/// The engine runs that ended, or seemed to.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    by_run: IndexMap<prompt::EngineRun, End>,
}

impl Ends {
    /// Records an end that this entry noticed.
    pub fn record(&mut self, run: prompt::EngineRun, now: time::Instant) {
        let known = self.by_run.get_mut(&run);
        let false_end_count = match known {
            Some(end) if !end.is_false => {
                end.last_noticed_at = end.last_noticed_at.max(now);
                return;
            }
            Some(end) => end.false_end_count.saturating_add(1),
            None => 0,
        };
        let end = End {
            ended_at: now,
            last_noticed_at: now,
            false_end_count,
            is_false: false,
        };
        self.by_run.insert(run, end);
    }

    /// Records that a run was alive.
    pub fn withdraw(&mut self, run: prompt::EngineRun) {
        if let Some(end) = self.by_run.get_mut(&run) {
            end.is_false = true;
        }
    }

    /// Merges a reported end. Of the times at which it was noticed the earliest is kept, so that it
    /// does not grow younger as it travels.
    pub fn merge(&mut self, run: prompt::EngineRun, reported: End) -> Merged {
        let Some(known) = self.by_run.get_mut(&run) else {
            self.by_run.insert(run, reported);
            return Merged::New;
        };
        if reported.order() < known.order() {
            return Merged::Outdated;
        }
        if reported.order() > known.order() {
            *known = reported;
            return Merged::New;
        }
        known.ended_at = known.ended_at.min(reported.ended_at);
        Merged::Known
    }

    /// Returns when a run ended, unless it was alive after all.
    pub fn ended_at(&self, run: prompt::EngineRun) -> Option<time::Instant> {
        self.get(run).map(|end| end.ended_at)
    }

    /// Returns the end of a run, unless it was alive after all.
    pub fn get(&self, run: prompt::EngineRun) -> Option<&End> {
        self.by_run.get(&run).filter(|end| !end.is_false)
    }

    /// Returns all ends.
    pub fn iter(&self) -> impl Iterator<Item = (prompt::EngineRun, &End)> {
        self.by_run.iter().map(|(run, end)| (*run, end))
    }

    /// Returns the number of ends.
    pub fn len(&self) -> usize {
        self.by_run.len()
    }

    /// Returns whether no end is known.
    pub fn is_empty(&self) -> bool {
        self.by_run.is_empty()
    }

    /// Keeps the ends for which `is_needed` returns true.
    pub fn retain<F>(&mut self, mut is_needed: F)
    where
        F: FnMut(prompt::EngineRun, &End) -> bool,
    {
        self.by_run.retain(|run, end| is_needed(*run, end));
    }
}
