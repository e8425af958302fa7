//! Which parts of prompts crash the engines that begin to write a response on them, and which
//! requests crash the upstreams that run them.
//!
//! A request is identified by its [`fingerprint`](crate::fingerprint) and weighed like a part, but that
//! it is never accused if it was served. What is said of parts and engines below holds for requests
//! and all upstreams.
//!
//! Against a part counts each distinct run of an engine that ended while a request with the part was
//! under way there. For it count responses on it that their engine outlived: they refute all earlier
//! crashes. A part with enough crashes left is kept from engines, and the crashes that it explains
//! count against no other part. What entries exchange is this evidence and not their verdicts, so
//! entries with the same evidence reach the same verdicts.
//!
//! A verdict ends after some time without requests that have the part. The part is on probation
//! then: one entry sends one such request as a trial.
//!
//! The state is bounded, and nothing of it is used on the path of a request but [`kept::KeptParts`],
//! a snapshot that is empty as long as no part is kept from engines.

mod beliefs;
pub mod change;
mod commands;
pub mod doubts;
mod ends;
mod exchange;
pub mod kept;
pub mod prompt;
mod queries;
pub mod report;
mod retention;
mod served;
pub mod suspect_id;
mod suspects;
mod trials;
mod verdicts;

use std::time;

/// How long a part is kept from engines after the last request with it was seen.
pub const VERDICT_LIFETIME: time::Duration = time::Duration::from_mins(10);
/// How long a part is kept from engines after the last crash, whether or not requests with it come,
/// and after a trial that crashed an engine. A part costs at most three trials a day.
pub const REVIEW_INTERVAL: time::Duration = time::Duration::from_hours(8);

/// An upstream that has ended may be back under its id and address after this time, not before.
pub const RESTART_MIN: time::Duration = time::Duration::from_secs(1);

/// How long a stream must have run after its first event to be recorded as served.
pub const BEGUN_FOR: time::Duration = time::Duration::from_secs(1);

/// What one entry knows for and against parts of prompts and requests.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    ends: ends::Ends,
    suspects: suspects::Suspects,
    served: served::ServedParts,
    pending: served::PendingResponses,
    /// What follows from the above.
    verdicts: verdicts::Verdicts,
    /// Whether the evidence has changed since the verdicts were derived.
    is_stale: bool,
    /// When the verdicts were last derived.
    reviewed_at: Option<time::Instant>,
}
