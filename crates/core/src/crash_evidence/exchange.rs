//! The evidence as it is exchanged with other entries. Merging is idempotent, and the order of
//! reports does not matter, but for their delays.

use std::{cmp, time};

use indexmap::{IndexMap, IndexSet};

use super::{CrashEvidence, ends, prompt, report, retention, suspect_id, suspects};

/// The maximum number of parts in a report.
const PARTS_TOLD_MAX: usize = 128;
/// The maximum number of crashes in a report, of all parts together.
const CRASHES_TOLD_MAX: usize = 1_024;
/// How often a run may have seemed to end; a larger number is an error.
const FALSE_ENDS_MAX: u32 = 1_000;
/// A reported time at which a request was held back is believed if it is later by this: otherwise
/// entries would tell each other the same time again and again, each time a little later.
const HELD_BACK_STEP: time::Duration = time::Duration::from_secs(30);

impl CrashEvidence {
    /// Returns the evidence for other entries.
    #[must_use]
    pub fn report(&self, now: time::Instant) -> report::Report {
        let mut crashes_left = CRASHES_TOLD_MAX;
        let parts: Vec<report::PartReport> = self
            .told_parts(now)
            .into_iter()
            .map(|(part, suspect)| self.part_report(part, suspect, &mut crashes_left, now))
            .collect();
        let crashes = parts.iter().flat_map(|part| &part.crashes);
        let told: IndexSet<prompt::EngineRun> = crashes.map(|crash| crash.run).collect();
        let ends = self.ends.iter().filter(|(run, end)| {
            let is_withdrawn = end.is_false && Self::is_end_told(end.ended_at, now);
            is_withdrawn || told.contains(run)
        });
        let ends = ends.map(|(run, end)| end_report(run, end, now)).collect();
        let (requests, parts) = parts.into_iter().partition(|part| part.part.is_request());
        report::Report {
            ends,
            parts,
            requests,
        }
    }

    fn told_parts(&self, now: time::Instant) -> Vec<(suspect_id::SuspectId, &suspects::Suspect)> {
        let all = self.suspects.iter();
        let mut told: Vec<_> = all
            .filter(|(part, suspect)| self.is_told(suspect, *part, now))
            .collect();
        told.sort_by_cached_key(|(part, suspect)| {
            let is_kept = self.is_kept(*part);
            let crash_count = suspect.standing_crashes(&self.ends).count();
            cmp::Reverse((is_kept, crash_count, suspect.last_crash_at(&self.ends)))
        });
        told.truncate(PARTS_TOLD_MAX);
        told
    }

    fn part_report(
        &self,
        part: suspect_id::SuspectId,
        suspect: &suspects::Suspect,
        crashes_left: &mut usize,
        now: time::Instant,
    ) -> report::PartReport {
        let crashes = suspect.crashes.iter();
        let standing = crashes.filter(|(run, _)| self.ends.ended_at(**run).is_some());
        let crashes: Vec<report::CrashReport> = standing
            .take(*crashes_left)
            .map(|(run, crash)| crash_report(*run, *crash))
            .collect();
        *crashes_left -= crashes.len();
        report::PartReport {
            part,
            crashes,
            was_served: suspect.was_served,
            held_back_age_ms: suspect.held_back_at.map(|at| age_ms(at, now)),
        }
    }

    pub(super) fn merge_ends(
        &mut self,
        reports: &[report::EndReport],
        now: time::Instant,
    ) -> IndexSet<prompt::EngineRun> {
        let readable = reports.iter().take(retention::ENDS_MAX);
        let readable = readable.filter_map(|end| Some((end.run, readable_end(end, now)?)));
        let readable: IndexMap<prompt::EngineRun, ends::End> = readable.collect();
        let mut standing = IndexSet::new();
        for (run, end) in readable {
            let merged = self.ends.merge(run, end);
            if merged == ends::Merged::New {
                self.suspects.remove_crashes(run);
            }
            if merged != ends::Merged::Outdated && !end.is_false {
                self.pending.drop_not_outlived(run, end.ended_at);
                standing.insert(run);
            }
        }
        standing
    }

    pub(super) fn merge_part(
        &mut self,
        part: suspect_id::SuspectId,
        reported: &report::PartReport,
        standing: &IndexSet<prompt::EngineRun>,
        now: time::Instant,
    ) {
        let crashes = reported.crashes.iter().take(retention::ENDS_MAX);
        let crashes: Vec<_> = crashes
            .filter(|crash| standing.contains(&crash.run))
            .collect();
        if crashes.is_empty() {
            return;
        }
        let suspect = self.suspects.get_or_add(part);
        for crash in crashes {
            suspect.merge_crash(crash.run, told_crash(crash), now);
        }
        suspect.was_served |= reported.was_served;
        let held_back_at = reported
            .held_back_age_ms
            .and_then(|age_ms| instant(age_ms, now));
        suspect.held_back_at = later_by_a_step(suspect.held_back_at, held_back_at);
        if let Some(served_here) = self.served.last_served_at(part) {
            suspect.refute(&self.ends, served_here, now);
        }
    }
}

fn later_by_a_step(
    known: Option<time::Instant>,
    reported: Option<time::Instant>,
) -> Option<time::Instant> {
    let (Some(known_at), Some(reported_at)) = (known, reported) else {
        return known.or(reported);
    };
    let is_later = reported_at.saturating_duration_since(known_at) >= HELD_BACK_STEP;
    if is_later { reported } else { known }
}

fn crash_report(run: prompt::EngineRun, crash: suspects::Crash) -> report::CrashReport {
    report::CrashReport {
        run,
        position: crash.position,
        is_refuted: crash.is_refuted,
        is_trial: crash.is_trial,
    }
}

fn told_crash(report: &report::CrashReport) -> suspects::Crash {
    suspects::Crash {
        position: report.position,
        is_refuted: report.is_refuted,
        is_trial: report.is_trial,
        is_own: false,
    }
}

fn end_report(run: prompt::EngineRun, end: &ends::End, now: time::Instant) -> report::EndReport {
    report::EndReport {
        run,
        age_ms: age_ms(end.ended_at, now),
        false_end_count: end.false_end_count,
        is_false: end.is_false,
    }
}

/// Returns a reported end unless it is absurd.
fn readable_end(reported: &report::EndReport, now: time::Instant) -> Option<ends::End> {
    if reported.false_end_count > FALSE_ENDS_MAX {
        return None;
    }
    let ended_at = instant(reported.age_ms, now)?;
    Some(ends::End {
        ended_at,
        last_noticed_at: ended_at,
        false_end_count: reported.false_end_count,
        is_false: reported.is_false,
    })
}

fn age_ms(at: time::Instant, now: time::Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the instant of a reported age unless it is older than any evidence.
fn instant(age_ms: u64, now: time::Instant) -> Option<time::Instant> {
    let age = time::Duration::from_millis(age_ms);
    if age > retention::KEPT_RETENTION {
        return None;
    }
    now.checked_sub(age)
}
