//! What entries that shut down do for callers while too few others are ready.
//!
//! An entry that shuts down normally refuses what may outlast it, as another entry takes it. While
//! fewer than half of the entries are ready it also accepts what is likely to end in time, by the
//! times that requests of the route have taken. All functions are pure; times are passed in.

mod directory;
mod ending;
mod hearing;
mod others;
mod times;

use std::time;

pub use directory::named;
pub use ending::{Leaver, WaitsFor};
pub use hearing::Hearing;
pub use others::{Others, RETRY_AFTER_ELSEWHERE};
pub use times::Times;

use crate::shutdown;

const PERCENT: u32 = 100;

/// What an entry that shuts down accepts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Requests whose whole time ends before the entry does.
    #[default]
    ByDeadline,
    /// Also requests that are likely to end before it, while too few other entries are ready.
    ByLikelyTime,
}

/// How a request may end that outlasts the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Its caller sends it again after a 504.
    Idempotent,
    /// Its caller does not learn whether it ran.
    NonIdempotent,
    /// Its caller resumes it at another entry.
    ResumableStream,
    /// Its caller loses it.
    Stream,
}

impl Kind {
    /// Returns the kind of a request.
    #[must_use]
    pub const fn new(is_stream: bool, is_resumable: bool, may_repeat: bool) -> Self {
        match (is_stream, is_resumable && may_repeat, may_repeat) {
            (true, true, _) => Self::ResumableStream,
            (true, false, _) => Self::Stream,
            (false, _, true) => Self::Idempotent,
            (false, _, false) => Self::NonIdempotent,
        }
    }

    /// Returns the share of requests, in thousandths, that end within the time by which this kind is
    /// accepted; `None` if it is accepted by its deadline only.
    const fn per_mille(self) -> Option<u32> {
        match self {
            Self::Idempotent => Some(950),
            Self::NonIdempotent => Some(1_000),
            Self::ResumableStream => Some(990),
            Self::Stream => None,
        }
    }

    /// Returns the part of the shutdown, in percent, by which a request is to end; the rest is kept
    /// for what takes longer.
    const fn ends_by_percent(self) -> u32 {
        match self {
            Self::Idempotent => 90,
            Self::NonIdempotent | Self::ResumableStream | Self::Stream => 85,
        }
    }
}

/// Callers establish a connection within this time.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Returns for how long a caller may use an address that a directory named with this time to live.
#[must_use]
pub fn held_for(ttl: time::Duration) -> time::Duration {
    ttl + CONNECT_TIMEOUT
}

/// Returns whether a request is accepted, or sent, because it is likely to end in time.
#[must_use]
pub fn is_likely_in_time(
    shutdown: &shutdown::Shutdown,
    kind: Kind,
    times: &Times,
    now: time::Instant,
) -> bool {
    let Some(likely) = kind.per_mille().and_then(|part| times.within(part)) else {
        return false;
    };
    let ends_by = shutdown.since + shutdown.timeout * kind.ends_by_percent() / PERCENT;
    now + likely <= ends_by
}
