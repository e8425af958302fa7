//! When a request that is sent to an engine can start at the latest.
//!
//! The estimated time to the first token holds for an engine that works on at the pace of its last
//! report. After the request has been sent, the engine may turn slow, and a sound engine may stand
//! still for a moment; both may happen to the same request. A request may start on older weights
//! only if it starts within their grace period in spite of all of this.
//!
//! ```
//! use std::time::Duration;
//!
//! use pimentohook_core::latest_start;
//!
//! let estimate = Duration::from_millis(100);
//! let remaining = latest_start::after(estimate);
//! assert_eq!(latest_start::estimate_max(remaining), estimate);
//! assert_eq!(latest_start::estimate_max(Duration::from_secs(1)), Duration::ZERO);
//! ```

use std::{cmp, time};

use crate::{engine, id};

/// How long a sound engine may stand still.
const PAUSE_MAX: time::Duration = time::Duration::from_millis(1_500);

/// How many times slower an engine may turn than it has reported.
const SLOWDOWN_MAX: u32 = 5;

/// How late the known moment of an announcement may be.
const MOMENT_ERROR_MAX: time::Duration = time::Duration::from_millis(300);

/// How long a request may take from the decision to send it until it reaches the engine.
pub const DELIVERY_TIME_MAX: time::Duration = time::Duration::from_millis(100);

/// Returns how long before the end of a grace period, as it is known, a request must be sent even if it
/// starts as soon as the engine has read it.
#[must_use]
pub const fn margin() -> time::Duration {
    PAUSE_MAX
        .saturating_add(MOMENT_ERROR_MAX)
        .saturating_add(DELIVERY_TIME_MAX)
}

/// Returns how long before the end of a grace period, as it is known, a request must be sent that is
/// estimated to start after `estimate`.
#[must_use]
pub const fn after(estimate: time::Duration) -> time::Duration {
    estimate
        .saturating_mul(SLOWDOWN_MAX)
        .saturating_add(margin())
}

/// Returns the longest estimate with which a request may be sent when `remaining` of a grace period is
/// left; zero if none may.
#[must_use]
pub const fn estimate_max(remaining: time::Duration) -> time::Duration {
    match remaining.saturating_sub(margin()).checked_div(SLOWDOWN_MAX) {
        Some(estimate) => estimate,
        None => time::Duration::ZERO,
    }
}

/// Returns whether a request may be sent to an engine whose queue nobody watches when `remaining` of a
/// grace period is left.
///
/// Its queue holds no more requests than the engine has slots: only so many entries use it then (see
/// [`users_of_unwatched`]).
#[must_use]
pub fn may_wait_unwatched(profile: &engine::EngineProfile, remaining: time::Duration) -> bool {
    profile.full_batch_start() <= estimate_max(remaining)
}

/// Returns the entries that use an engine whose queue nobody watches while a newer version of its
/// weights is announced, each for one request at a time.
#[must_use]
pub fn users_of_unwatched<'a, I>(instance: &str, slot_count: u32, entries: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut entries: Vec<&str> = entries.into_iter().collect();
    entries.sort_by_cached_key(|entry| cmp::Reverse(id::rendezvous_score(instance, entry)));
    entries.truncate(slot_count.try_into().unwrap_or(usize::MAX));
    entries
}
