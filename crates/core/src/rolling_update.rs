//! The schedule of a rolling update: when engines load a newer version of weights, and how long the
//! previous one is used.
//!
//! The announcement of a version starts its grace period, during which requests may still start on
//! the previous version. Engines load one after another within it, so that the others serve the
//! requests meanwhile. A request may start later than expected (see [`latest_start`]), so the last load
//! and the last use of the previous version both come earlier than the end of the grace period, and
//! what has not started by then is withdrawn.

use std::time;

use crate::{announcement, clock, latest_start};

/// The time that the load order takes to reach the last engine.
const LOAD_ORDER_TIME_MAX: time::Duration = time::Duration::from_millis(100);

/// Returns how long after the announcement of a version an engine starts to load it.
///
/// `rank` is the engine's position among `count` engines. Loads are spread evenly from `whole_after`,
/// when the version is completely downloaded, to `usable_for`, until when requests may start on the
/// version that the engine serves, so that few engines drain at the same time. Both are counted
/// from the announcement too.
#[must_use]
pub fn load_delay(
    whole_after: time::Duration,
    usable_for: time::Duration,
    rank: u32,
    count: u32,
) -> time::Duration {
    let last = usable_for.saturating_sub(LOAD_ORDER_TIME_MAX);
    let first = whole_after.min(last);
    let share = f64::from(rank.min(count)) / f64::from(count.max(1));
    first + last.saturating_sub(first).mul_f64(share)
}

/// Returns how long after the announcement of a newer version the previous one is used.
///
/// Until then, what is estimated to start early enough is sent. What has not started by then is at an
/// engine that stands still, or is slower than was reckoned with, and is withdrawn.
#[must_use]
pub const fn previous_version_lifetime(grace: time::Duration) -> time::Duration {
    grace.saturating_sub(latest_start::margin())
}

/// Returns the version that an engine must check before it starts a request; `None` if it starts the
/// request on whatever it serves.
///
/// `served` is the version that the engine is believed to serve, and `lifetime` is that of a previous
/// version. While all versions may be used, an engine that has loaded a newer one meanwhile may start
/// what was sent to the previous one, which is withdrawn in time. What is not withdrawn is checked, as
/// the engine may serve an older version than it is believed to.
#[must_use]
pub fn expected_version(
    announcements: &announcement::Announcements,
    model: &str,
    served: Option<u64>,
    lifetime: time::Duration,
    now: clock::BootInstant,
) -> Option<u64> {
    let served = served?;
    if announcements.of_model(model).is_empty() {
        return None;
    }
    let is_any_over = announcements.version_min(model, now, lifetime).is_some();
    let remaining = announcements.remaining(model, served, lifetime, now);
    (is_any_over || remaining.is_none()).then_some(served)
}

/// Returns how long a request that is sent now may wait for its start; `None` if it must not be sent,
/// because it is due to be withdrawn.
///
/// `withdrawn_after` is the time after which it is withdrawn, if there is one, and `remaining` the time
/// for which its caller waits. A request that is sent with no time left reaches the engine before it is
/// withdrawn.
#[must_use]
pub fn start_timeout(
    withdrawn_after: Option<time::Duration>,
    remaining: time::Duration,
) -> Option<time::Duration> {
    match withdrawn_after {
        Some(after) => (!after.is_zero()).then(|| after.min(remaining)),
        None => Some(remaining),
    }
}

/// The number of downloaded chunks that an estimate requires.
const ESTIMATE_CHUNKS_MIN: u32 = 8;

/// A download without a new chunk for this long is stalled.
const STALL: time::Duration = time::Duration::from_millis(600);

/// Estimates how long after its announcement the download of a version will be complete, by
/// extrapolation from the chunks `held` at `age`. Returns `None` if too few chunks are downloaded
/// or the download is stalled.
///
/// `age` is the time since the announcement, `idle` the time since the last chunk.
#[must_use]
pub fn estimated_completion(
    age: time::Duration,
    idle: time::Duration,
    held: u32,
    chunk_count: u32,
) -> Option<time::Duration> {
    if held < ESTIMATE_CHUNKS_MIN.min(chunk_count) || held == 0 || idle > STALL {
        return None;
    }
    Some(age.mul_f64(f64::from(chunk_count) / f64::from(held)))
}
