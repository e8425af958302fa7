//! Changes of what an entry believes of a part.

use super::suspect_id;

/// A change of what an entry believes of a part of prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The part.
    pub part: suspect_id::SuspectId,
    /// What is believed from now on.
    pub belief: Belief,
    /// The number of distinct engine runs that ended with the part and are not refuted.
    pub crash_count: usize,
    /// The number of moments at which they ended.
    pub moment_count: usize,
}

/// What an entry believes of a part from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Belief {
    /// It crashes engines and is kept from them.
    Kept,
    /// Its verdict has ended by age; it is kept from engines but for trials.
    Probation,
    /// A response on it was outlived by its engine.
    Served,
    /// Another part explains its crashes, or the engines that had ended were alive after all.
    Explained,
    /// Its evidence is too old.
    Forgotten,
}

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Send,
    /// It may, as the trial of its parts that are on probation. The trial must be recorded before
    /// the request is sent.
    Trial,
    /// It may not, because of this part.
    HoldBack(suspect_id::SuspectId),
}
