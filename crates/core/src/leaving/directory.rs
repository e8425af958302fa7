//! Which entries a directory names while few are ready, and which of those that shut down end first.

use std::time;

use indexmap::{IndexMap, IndexSet};

use super::PERCENT;

/// The part of the longest remaining time, in percent, that an entry must have to be named too.
const NAMED_PERCENT: u32 = 50;
/// Entries that shut down are named beside those that are ready while these are a smaller part of all
/// than one in so many.
const READY_FEW_DIVISOR: usize = 4;

/// Returns the names of the entries that a directory names, and how long callers may use the response.
///
/// While none or few are ready, entries that shut down are named too, after the ready ones, the one
/// with most time first. `leaving` has the remaining time of each, the longest first.
#[must_use]
pub fn named(
    ready: Vec<String>,
    leaving: &IndexMap<String, time::Duration>,
    ttl: time::Duration,
) -> (Vec<String>, time::Duration) {
    let are_few = ready.len() * READY_FEW_DIVISOR < ready.len() + leaving.len();
    if !are_few {
        return (ready, ttl);
    }
    let longest = leaving.values().max().copied().unwrap_or_default();
    let is_other_named = leaving.len() > 1 || !ready.is_empty();
    let first = first_to_end(leaving);
    let (mut names, mut ttl) = (ready, ttl);
    for (name, remaining) in leaving {
        let is_long = *remaining * PERCENT >= longest * NAMED_PERCENT;
        let is_first = is_other_named && first.contains(name.as_str());
        if is_long && !is_first {
            names.push(name.clone());
            ttl = ttl.min(usable_for(*remaining));
        }
    }
    (names, ttl)
}

/// Callers ask again this long before an entry ends that they know, as it refuses most requests by then.
const ASKED_AGAIN_BEFORE: time::Duration = time::Duration::from_secs(2);
/// Callers use a response for this long, unless an entry ends sooner.
const TTL_MIN: time::Duration = time::Duration::from_secs(1);

/// Returns for how long callers may use the address of an entry that ends after `remaining`.
fn usable_for(remaining: time::Duration) -> time::Duration {
    let until_refusing = remaining.saturating_sub(ASKED_AGAIN_BEFORE);
    until_refusing.max(TTL_MIN).min(remaining)
}

/// One in so many entries that shut down may end before the others.
const FIRST_DIVISOR: usize = 4;
/// Entries that end within this time of each other count as ending together.
const TOGETHER: time::Duration = time::Duration::from_secs(1);

/// Returns which of the entries that shut down may end before the others do, a quarter of them at most,
/// or one; all entries choose the same ones.
pub(super) fn first_to_end(leaving: &IndexMap<String, time::Duration>) -> IndexSet<&str> {
    let shortest = leaving.values().min().copied().unwrap_or_default();
    let together = leaving
        .iter()
        .filter(|(_, remaining)| **remaining <= shortest + TOGETHER);
    let mut names: Vec<&str> = together.map(|(name, _)| name.as_str()).collect();
    names.sort_unstable();
    let count = (leaving.len() / FIRST_DIVISOR).max(1);
    names.into_iter().take(count).collect()
}
