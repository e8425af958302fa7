//! Selects the announced version of the weights that an agent downloads next.
//!
//! A version may be announced while the previous one is still being distributed. Requests may start
//! on the version that engines serve only for a while after the announcement of its successor. The
//! superseded version is worth its remaining chunks if engines would otherwise be without a usable
//! version for longer until the newest one is there.
//!
//! ```
//! use std::time::Duration;
//!
//! use pimentohook_core::version_selection::{VersionProgress, version_to_download};
//!
//! let progress = |version, age_ms, held| VersionProgress {
//!     version,
//!     age: Duration::from_millis(age_ms),
//!     idle: Duration::ZERO,
//!     held: Some(held),
//!     chunk_count: 64,
//! };
//! let grace = Duration::from_secs(10);
//! let nearly_whole = [progress(2, 4_000, 60), progress(3, 0, 0)];
//! assert_eq!(version_to_download(&nearly_whole, Some(1), grace), Some(2));
//! let barely_started = [progress(2, 4_000, 10), progress(3, 0, 0)];
//! assert_eq!(version_to_download(&barely_started, Some(1), grace), Some(3));
//! ```

use std::time;

use crate::rolling_update;

/// The number of downloaded chunks that a forecast requires.
const FORECAST_CHUNKS_MIN: u32 = 8;

/// A superseded version without a new chunk for this long is given up.
pub const PROGRESS_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// The time in which all engines can load a version one after another without a shortage.
const LOAD_WINDOW: time::Duration = time::Duration::from_millis(2_500);

/// The download progress of an announced version at one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionProgress {
    /// The number of the version.
    pub version: u64,
    /// The time since its announcement.
    pub age: time::Duration,
    /// The time since its last chunk was downloaded, or since its announcement.
    pub idle: time::Duration,
    /// The number of downloaded chunks; `None` while its manifest is not known.
    pub held: Option<u32>,
    /// The number of chunks of the version.
    pub chunk_count: u32,
}

impl VersionProgress {
    fn held(&self) -> u32 {
        self.held.unwrap_or(0)
    }

    fn missing(&self) -> u32 {
        self.chunk_count.saturating_sub(self.held())
    }

    /// Returns the average time per chunk so far; `None` if there are too few of them.
    fn time_per_chunk(&self) -> Option<time::Duration> {
        let held = self.held();
        (held >= FORECAST_CHUNKS_MIN).then(|| self.age / held)
    }
}

/// Selects the version to download from the `announced` ones, which are ordered oldest first.
///
/// This is the newest version, or the one before it if that is unfinished, the engine needs it, and
/// its download is worth the delay of the newest. The origin publishes no version before that.
#[must_use]
pub fn version_to_download(
    announced: &[VersionProgress],
    served: Option<u64>,
    grace: time::Duration,
) -> Option<u64> {
    let (newest, superseded) = announced.split_last()?;
    let previous = superseded.last().filter(|previous| {
        may_be_finished(previous, served, grace)
            && is_worth_finishing(announced, previous, newest, served, grace)
    });
    Some(previous.unwrap_or(newest).version)
}

fn may_be_finished(previous: &VersionProgress, served: Option<u64>, grace: time::Duration) -> bool {
    let is_needed = served.is_some_and(|served| served < previous.version);
    let is_under_way = previous.held() < previous.chunk_count && previous.idle < PROGRESS_TIMEOUT;
    is_needed && is_under_way && previous.age < grace
}

/// Returns whether less service is lost if the previous version is finished before the newest.
fn is_worth_finishing(
    announced: &[VersionProgress],
    previous: &VersionProgress,
    newest: &VersionProgress,
    served: Option<u64>,
    grace: time::Duration,
) -> bool {
    let Some(time_per_chunk) = previous.time_per_chunk() else {
        return false;
    };
    let chunk_count = newest.chunk_count.max(previous.chunk_count);
    let newest_missing = chunk_count - newest.held().min(chunk_count);
    let finish_time = time_per_chunk * previous.missing();
    let newest_time = time_per_chunk * newest_missing;
    let served_for = usable_for(announced, served, grace);
    let previous_for = usable_for(announced, Some(previous.version), grace);
    let lost_directly = lost_service(newest_time, served_for);
    let lost_by_finishing = lost_service(finish_time, served_for)
        + lost_service(finish_time + newest_time, previous_for);
    lost_by_finishing < lost_directly
}

/// Returns for how long requests may still start on a version; nothing if no version is served.
fn usable_for(
    announced: &[VersionProgress],
    version: Option<u64>,
    grace: time::Duration,
) -> time::Duration {
    let lifetime = rolling_update::previous_version_lifetime(grace);
    let successor = announced.iter().find(|next| Some(next.version) > version);
    match (version, successor) {
        (None, _) => time::Duration::ZERO,
        (Some(_), None) => lifetime,
        (Some(_), Some(successor)) => lifetime.saturating_sub(successor.age),
    }
}

/// Estimates the service that all engines lose between the end of a version's use and their loads of
/// another, as the time for which all of them together would be without a usable version.
///
/// `whole_in` is the time until the other version is there, from which on engines load it one after
/// another within [`LOAD_WINDOW`]. `usable_for` is the remaining use of the version before it.
fn lost_service(whole_in: time::Duration, usable_for: time::Duration) -> time::Duration {
    let gap = whole_in.saturating_sub(usable_for);
    let overlap = (whole_in + LOAD_WINDOW)
        .saturating_sub(usable_for)
        .min(LOAD_WINDOW);
    // The share of engines that have not loaded falls linearly over the window.
    let unloaded_share = overlap.as_secs_f64() / LOAD_WINDOW.as_secs_f64();
    gap + overlap.mul_f64(unloaded_share / 2.0)
}
