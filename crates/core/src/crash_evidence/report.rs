//! The evidence that entries exchange. Ages instead of instants, since the clocks of entries differ.

use serde::{Deserialize, Serialize};

use super::{prompt, suspect_id};

/// The evidence of an entry; empty on most days.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The engine runs that ended.
    #[serde(default)]
    pub ends: Vec<EndReport>,
    /// The parts that are suspected, the strongest suspicion first.
    #[serde(default)]
    pub parts: Vec<PartReport>,
    /// The requests that are suspected, by their fingerprints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub requests: Vec<PartReport>,
}

impl Report {
    /// Returns whether the report says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.parts.is_empty() && self.requests.is_empty()
    }
}

/// An engine run that ended, or seemed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// The engine run.
    pub run: prompt::EngineRun,
    /// How long ago its end was noticed.
    pub age_ms: u64,
    /// How often it had seemed to end before, but was alive.
    #[serde(default)]
    pub false_end_count: u32,
    /// Whether it was alive after all.
    #[serde(default)]
    pub is_false: bool,
}

/// What is known for and against a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: suspect_id::SuspectId,
    /// The ends of engine runs at which requests with the part were under way.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// Whether an entry ever received a response on it, as far as known.
    #[serde(default)]
    pub was_served: bool,
    /// How long ago a request with the part was last held back, at any entry.
    #[serde(default)]
    pub held_back_age_ms: Option<u64>,
}

/// The end of an engine run while a request with a part was under way there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The engine run.
    pub run: prompt::EngineRun,
    /// The last position of the part in a prompt of such a request, counted from 0.
    #[serde(default)]
    pub position: u8,
    /// Whether a later response on the part refutes it.
    #[serde(default)]
    pub is_refuted: bool,
    /// Whether the request was the trial of a part on probation.
    #[serde(default)]
    pub is_trial: bool,
}
