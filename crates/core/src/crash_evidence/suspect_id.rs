//! Identifiers of what may crash an upstream: parts of prompts and whole requests.

use std::{fmt, num, str};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};

const HEX_RADIX: u32 = 16;

/// The identifier of a part of prompts, written in hexadecimal, or the fingerprint of a request.
///
/// In messages it is a number; what it identifies is told beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct SuspectId {
    number: u64,
    is_request: bool,
}

impl SuspectId {
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

impl From<u64> for SuspectId {
    fn from(number: u64) -> Self {
        Self::new(number)
    }
}

impl From<SuspectId> for u64 {
    fn from(part: SuspectId) -> Self {
        part.number
    }
}

/// The error for a text that does not identify a part.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ParseSuspectIdError {
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

impl str::FromStr for SuspectId {
    type Err = ParseSuspectIdError;

    /// Parses a hexadecimal number of up to 64 bits without sign or prefix.
    fn from_str(text: &str) -> Result<Self, ParseSuspectIdError> {
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return NotHexadecimalSnafu.fail();
        }
        u64::from_str_radix(text, HEX_RADIX)
            .map(Self::new)
            .context(NotANumberSnafu)
    }
}

impl fmt::Display for SuspectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_request { "request:" } else { "" };
        write!(f, "{kind}{:x}", self.number)
    }
}
