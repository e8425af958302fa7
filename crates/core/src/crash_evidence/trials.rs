//! When verdicts end by age, and trials of parts on probation.

use std::time;

use super::{REVIEW_INTERVAL, VERDICT_LIFETIME, ends, suspect_id, suspects};
use crate::id;

/// How long a trial may take before the next one may start.
const TRIAL_TIMEOUT: time::Duration = time::Duration::from_mins(2);

/// Returns whether the verdict about a kept part has ended by age.
pub fn is_on_probation(suspect: &suspects::Suspect, ends: &ends::Ends, now: time::Instant) -> bool {
    let is_past = |at: Option<time::Instant>, lifetime| {
        at.is_none_or(|at| now.saturating_duration_since(at) >= lifetime)
    };
    let is_reviewed = is_past(suspect.last_standing_crash_at(ends), REVIEW_INTERVAL);
    let is_unseen = is_past(suspect.last_seen_at(ends), VERDICT_LIFETIME);
    is_reviewed || (is_unseen && !has_failed_trial(suspect))
}

/// Returns whether a trial of a part is under way here.
pub fn is_in_trial(suspect: &suspects::Suspect, now: time::Instant) -> bool {
    let started_at = suspect.trial_started_at;
    started_at.is_some_and(|at| now.saturating_duration_since(at) < TRIAL_TIMEOUT)
}

/// Returns the entry that sends the trials of a part; all entries that know the same entries agree.
pub fn trial_entry<'a, I>(part: suspect_id::SuspectId, own: &'a str, others: I) -> &'a str
where
    I: IntoIterator<Item = &'a str>,
{
    let key = part.to_string();
    let score = |name: &&str| id::rendezvous_score(&key, name);
    others
        .into_iter()
        .chain([own])
        .max_by_key(score)
        .unwrap_or(own)
}

fn has_failed_trial(suspect: &suspects::Suspect) -> bool {
    let mut crashes = suspect.crashes.values();
    crashes.any(|crash| crash.is_trial && !crash.is_refuted)
}
