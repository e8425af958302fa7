//! Prompts and runs of engines.

use std::fmt;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::suspect_id;
use crate::fingerprint;

/// The maximum number of parts of a prompt.
pub const PARTS_MAX: usize = 64;

/// The parts of a prompt in their order, at most [`PARTS_MAX`] and none of them twice, and the
/// request that it belongs to. Without any of these it is never evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    parts: Vec<suspect_id::SuspectId>,
    suspects: Vec<suspect_id::SuspectId>,
}

/// The error for parts that are not those of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidPrompt {
    /// There are too many.
    #[snafu(display("the prompt has {count} parts, at most {PARTS_MAX} are allowed"))]
    TooManyParts {
        /// Their number.
        count: usize,
    },
    /// One of them is there more than once.
    #[snafu(display("the prompt has a part more than once"))]
    RepeatedPart,
}

impl Prompt {
    /// Creates a prompt.
    ///
    /// # Errors
    ///
    /// Returns an error if there are more than [`PARTS_MAX`] parts, or a part is there twice.
    pub fn new(parts: Vec<suspect_id::SuspectId>) -> Result<Self, InvalidPrompt> {
        let count = parts.len();
        if count > PARTS_MAX {
            return TooManyPartsSnafu { count }.fail();
        }
        let distinct: IndexSet<suspect_id::SuspectId> = parts.iter().copied().collect();
        if distinct.len() < count {
            return RepeatedPartSnafu.fail();
        }
        let suspects = parts.split_last().map_or(&[][..], |(_, others)| others);
        Ok(Self {
            suspects: suspects.to_vec(),
            parts,
        })
    }

    /// Adds the request itself, as the last part.
    #[must_use]
    pub fn with_request(mut self, fingerprint: fingerprint::Fingerprint) -> Self {
        let request = suspect_id::SuspectId::of_request(fingerprint.get());
        self.parts.push(request);
        self.suspects.push(request);
        self
    }

    /// Returns all parts, and the request itself.
    #[must_use]
    pub fn parts(&self) -> &[suspect_id::SuspectId] {
        &self.parts
    }

    /// Returns what may crash an upstream: all parts but the last, which belongs to the request
    /// alone, and the request itself.
    #[must_use]
    pub fn suspects(&self) -> &[suspect_id::SuspectId] {
        &self.suspects
    }
}

/// One run of an engine, from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineRun(u64);

impl EngineRun {
    /// Creates an identifier from a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the run of an instance that was started at `started`, a text that differs between
    /// the runs of an instance; all entries get the same.
    #[must_use]
    pub fn of(instance: &str, started: &str) -> Self {
        Self(crate::id::rendezvous_score(instance, started))
    }
}

impl fmt::Display for EngineRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
