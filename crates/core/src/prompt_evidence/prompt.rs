//! Parts of prompts, fingerprints of requests, and runs of engines.

use std::{fmt, num, str};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};

use crate::fingerprint;

/// The maximum number of parts of a prompt.
pub const PARTS_MAX: usize = 64;
const HEX_RADIX: u32 = 16;

/// The identifier of a part of prompts, written in hexadecimal, or the fingerprint of a request.
///
/// In messages it is a number; what it identifies is told beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct PromptPart {
    number: u64,
    is_request: bool,
}

impl PromptPart {
    /// Creates the identifier of a part from a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self {
            number,
            is_request: false,
        }
    }

    /// Creates the identifier that stands for a whole request.
    #[must_use]
    pub const fn of_request(fingerprint: u64) -> Self {
        Self {
            number: fingerprint,
            is_request: true,
        }
    }

    /// Returns whether it stands for a whole request.
    #[must_use]
    pub const fn is_request(self) -> bool {
        self.is_request
    }
}

impl From<u64> for PromptPart {
    fn from(number: u64) -> Self {
        Self::new(number)
    }
}

impl From<PromptPart> for u64 {
    fn from(part: PromptPart) -> Self {
        part.number
    }
}

/// The error for a text that does not identify a part.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ParsePartError {
    /// It has a character that is not a hexadecimal digit.
    #[snafu(display("a part of a prompt is not identified by hexadecimal digits"))]
    NotHexadecimal,
    /// It is empty or too large.
    #[snafu(display("the number of a part of a prompt can't be read: {source}"))]
    NotANumber {
        /// What is wrong with the number.
        source: num::ParseIntError,
    },
}

impl str::FromStr for PromptPart {
    type Err = ParsePartError;

    /// Parses a hexadecimal number of up to 64 bits without sign or prefix.
    fn from_str(text: &str) -> Result<Self, ParsePartError> {
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return NotHexadecimalSnafu.fail();
        }
        u64::from_str_radix(text, HEX_RADIX)
            .map(Self::new)
            .context(NotANumberSnafu)
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_request { "request:" } else { "" };
        write!(f, "{kind}{:x}", self.number)
    }
}

/// The parts of a prompt in their order, at most [`PARTS_MAX`] and none of them twice, and the
/// request that it belongs to. Without any of these it is never evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    parts: Vec<PromptPart>,
    suspects: Vec<PromptPart>,
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
    pub fn new(parts: Vec<PromptPart>) -> Result<Self, InvalidPrompt> {
        let count = parts.len();
        if count > PARTS_MAX {
            return TooManyPartsSnafu { count }.fail();
        }
        let distinct: IndexSet<PromptPart> = parts.iter().copied().collect();
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
        let request = PromptPart::of_request(fingerprint.get());
        self.parts.push(request);
        self.suspects.push(request);
        self
    }

    /// Returns all parts, and the request itself.
    #[must_use]
    pub fn parts(&self) -> &[PromptPart] {
        &self.parts
    }

    /// Returns what may crash an upstream: all parts but the last, which belongs to the request
    /// alone, and the request itself.
    #[must_use]
    pub fn suspects(&self) -> &[PromptPart] {
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
