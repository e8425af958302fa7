//! When engines are brought to a newer version of weights, and until when an older one is used.
//!
//! From its naming on a version has a grace: until it ends, requests may begin on the version
//! before. Engines take turns within it, so that the others carry the requests meanwhile. A request
//! that was sent on may wait at its engine for a while before it begins, so both the last turn and
//! the last use of an older version come earlier than the end of the grace.

use std::time;

/// How long a request that an engine took may wait until it begins.
pub const ENGINE_QUEUE_WAIT_MAX: time::Duration = time::Duration::from_millis(1_400);

/// The first turn comes no sooner; before that the chunks are on their way.
const FIRST_TURN: time::Duration = time::Duration::from_secs(3);

/// What a last turn needs beside [`ENGINE_QUEUE_WAIT_MAX`] until the engine has the order.
const ORDER_MAX: time::Duration = time::Duration::from_millis(100);

/// Returns when it is an engine's turn to be loaded, after the version was named.
///
/// `rank` is its place among `count` engines. Turns are spread evenly, so that few engines drain
/// at the same time.
#[must_use]
pub fn load_delay(grace: time::Duration, rank: u32, count: u32) -> time::Duration {
    let last = grace.saturating_sub(ENGINE_QUEUE_WAIT_MAX + ORDER_MAX);
    let first = FIRST_TURN.min(last);
    let share = f64::from(rank.min(count)) / f64::from(count.max(1));
    first + last.saturating_sub(first).mul_f64(share)
}

/// Returns until when requests are sent to engines with an older version, after a newer one was
/// named.
#[must_use]
pub fn previous_version_lifetime(grace: time::Duration) -> time::Duration {
    grace.saturating_sub(ENGINE_QUEUE_WAIT_MAX)
}

/// Chunks that have to be held before a forecast is made.
const FORECAST_MIN: u32 = 8;

/// A version of which no chunk came for this long has come to a stop.
const STALL: time::Duration = time::Duration::from_millis(600);

/// Returns how long after its naming a version will be held whole, from how far it has come after
/// `age`; `None` where it is too early to say or it has come to a stop.
///
/// `idle` is the time since the last chunk.
#[must_use]
pub fn estimated_completion(
    age: time::Duration,
    idle: time::Duration,
    held: u32,
    chunk_count: u32,
) -> Option<time::Duration> {
    if held < FORECAST_MIN.min(chunk_count) || held == 0 || idle > STALL {
        return None;
    }
    Some(age.mul_f64(f64::from(chunk_count) / f64::from(held)))
}

/// How far a named version has come at one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionProgress {
    /// The version.
    pub version: u64,
    /// How long ago it was named.
    pub age: time::Duration,
    /// The chunks held; `None` while its manifest is not known.
    pub held: Option<u32>,
    /// How many chunks there are.
    pub chunk_count: u32,
}

/// Returns the version to pull, of those named, oldest first.
///
/// That is the newest one, but for a replaced one that is more than half here and that the engine
/// needs to go on serving: its grace ends sooner. After its grace it is of no use any more, and to
/// an engine that serves nothing it never was.
#[must_use]
pub fn version_to_download(
    named: &[VersionProgress],
    served: Option<u64>,
    grace: time::Duration,
) -> Option<u64> {
    let (newest, replaced) = named.split_last()?;
    let worth_finishing = |one: &&VersionProgress| {
        let held = one.held.unwrap_or(0);
        let is_near = held < one.chunk_count && held * 2 > one.chunk_count;
        let is_needed = served.is_some_and(|served| served < one.version);
        is_near && is_needed && one.age < grace
    };
    let finished_first = replaced.iter().rev().find(worth_finishing);
    Some(finished_first.unwrap_or(newest).version)
}
