//! Which parts are kept from engines: the fewest and most suspicious ones that explain the crashes.
//!
//! The verdicts are a function of the evidence alone. The most suspicious part is taken first; its
//! crashes are explained and count against no other part, then the next one is taken. So neither a
//! first part that many prompts share nor a part that stood beside another is accused for long.

use std::time;

use indexmap::{IndexMap, IndexSet};

use super::{ends, prompt, suspect_id, suspects};

/// Runs that end within this time after the first of a moment end at one moment. A failure domain
/// that is lost is weak evidence about each request there.
const MOMENT: time::Duration = time::Duration::from_millis(150);
/// The number of moments with crashes from which on a part is kept from engines.
const MOMENTS_MIN: usize = 3;
/// The number of moments and of crashes from which on a request is kept from upstreams. Fewer moments
/// than for a part, which many sound requests may have.
const REQUEST_MOMENTS_MIN: usize = 2;
const REQUEST_CRASHES_MIN: usize = 3;
/// The time within which these moments must be.
const EVIDENCE_WINDOW: time::Duration = time::Duration::from_mins(10);

/// Why a part is kept from engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The number of runs that ended with it and that no other part explains.
    pub crash_count: usize,
    /// The number of moments at which they ended.
    pub moment_count: usize,
    /// Whether it has ended by age.
    pub is_on_probation: bool,
}

/// The parts that are kept from engines.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    /// The parts, the most suspicious first.
    pub by_part: IndexMap<suspect_id::SuspectId, Verdict>,
    /// The runs whose end they explain.
    pub explained: IndexSet<prompt::EngineRun>,
}

impl Verdicts {
    /// Returns the verdicts that follow from the evidence.
    pub fn of(ends: &ends::Ends, suspects: &suspects::Suspects) -> Self {
        let mut verdicts = Self::default();
        while let Some((part, verdict)) = verdicts.next(ends, suspects) {
            verdicts.by_part.insert(part, verdict);
            let explained = suspects.get(part).into_iter();
            let explained = explained.flat_map(|suspect| suspect.standing_crashes(ends));
            verdicts.explained.extend(explained.map(|(run, _)| run));
        }
        verdicts
    }

    /// Returns when runs ended with a part that no kept part explains, in their order.
    pub fn unexplained(
        &self,
        ends: &ends::Ends,
        suspect: &suspects::Suspect,
    ) -> Vec<time::Instant> {
        let crashes = suspect.standing_crashes(ends);
        let unexplained = crashes.filter(|(run, _)| !self.explained.contains(run));
        let mut instants: Vec<time::Instant> = unexplained.map(|(_, at)| at).collect();
        instants.sort_unstable();
        instants
    }

    fn next(
        &self,
        ends: &ends::Ends,
        suspects: &suspects::Suspects,
    ) -> Option<(suspect_id::SuspectId, Verdict)> {
        let others = suspects
            .iter()
            .filter(|(part, _)| !self.by_part.contains_key(part));
        let accused = others.filter_map(|(part, suspect)| {
            let crashes = self.unexplained(ends, suspect);
            let moments = moments(&crashes);
            let is_accused = if part.is_request() {
                // A request that was ever served crashes nothing by itself.
                !suspect.was_served
                    && crashes.len() >= REQUEST_CRASHES_MIN
                    && is_enough(&moments, REQUEST_MOMENTS_MIN)
            } else {
                is_enough(&moments, MOMENTS_MIN)
            };
            is_accused.then_some((part, suspect, crashes.len(), moments.len()))
        });
        let (part, _, crash_count, moment_count) =
            accused.max_by_key(|(part, suspect, crash_count, _)| {
                suspicion(*part, suspect, *crash_count)
            })?;
        let verdict = Verdict {
            crash_count,
            moment_count,
            is_on_probation: false,
        };
        Some((part, verdict))
    }
}

/// Returns when the moments began at which runs ended; `instants` are in their order.
pub fn moments(instants: &[time::Instant]) -> Vec<time::Instant> {
    let mut moments: Vec<time::Instant> = Vec::new();
    for instant in instants {
        let last = moments.last();
        if last.is_none_or(|last| instant.saturating_duration_since(*last) >= MOMENT) {
            moments.push(*instant);
        }
    }
    moments
}

fn is_enough(moments: &[time::Instant], moments_min: usize) -> bool {
    let mut windows = moments.windows(moments_min);
    windows.any(|window| {
        let last = window[moments_min - 1];
        last.saturating_duration_since(window[0]) <= EVIDENCE_WINDOW
    })
}

/// Returns a key that grows with the suspicion against a part.
///
/// A part on which no entry ever received a response is more suspicious than any other, however many
/// crashes there are: a first part may stand beside several parts that crash engines. Prompts begin
/// with the parts that are shared most, so of two that differ in nothing else the later one is
/// accused. No age is compared, since entries don't agree on ages.
fn suspicion(
    part: suspect_id::SuspectId,
    suspect: &suspects::Suspect,
    crash_count: usize,
) -> impl Ord + use<> {
    (!suspect.was_served, crash_count, suspect.position(), part)
}
