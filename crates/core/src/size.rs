//! Amounts of data and transfer rates, with their units in the type.
//!
//! ```
//! use pimentohook_core::size;
//!
//! let weights: size::ByteCount = "64MiB".parse()?;
//! assert_eq!(weights.get(), 64 * 1024 * 1024);
//! assert_eq!(weights.to_string(), "64MiB");
//! # Ok::<(), size::ParseError>(())
//! ```

use std::{fmt, str, time};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// The error for a string that is not an amount of data or a rate.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a size: write a whole number and B, KiB, MiB or GiB"))]
pub struct ParseError {
    text: String,
}

/// A number of bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteCount(u64);

impl ByteCount {
    /// Creates an amount from a number of bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |unit: &&(&str, u64)| self.0 != 0 && self.0.is_multiple_of(unit.1);
        let (name, bytes) = UNITS.iter().find(divides).unwrap_or(&("B", 1));
        write!(f, "{}{name}", self.0 / bytes)
    }
}

impl str::FromStr for ByteCount {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parsed = UNITS.iter().find_map(|(name, bytes)| {
            let count: u64 = text.strip_suffix(name)?.trim_end().parse().ok()?;
            count.checked_mul(*bytes)
        });
        parsed.map(Self).ok_or_else(|| ParseError {
            text: String::from(text),
        })
    }
}

const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// A rate in bytes per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteRate(u64);

impl ByteRate {
    /// Creates a rate from a number of bytes per second.
    #[must_use]
    pub const fn new(bytes_per_s: u64) -> Self {
        Self(bytes_per_s)
    }

    /// Creates a rate from a number of megabits per second; returns `None` unless the number is
    /// positive and finite.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive, and a cast of larger floats saturates"
    )]
    #[must_use]
    pub fn from_megabits(megabits_per_s: f64) -> Option<Self> {
        let is_rate = megabits_per_s.is_finite() && megabits_per_s > 0.0;
        is_rate.then_some(Self((megabits_per_s * BYTES_PER_MEGABIT) as u64))
    }

    /// Returns the number of bytes per second.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns how long a transfer of `amount` takes at this rate.
    #[must_use]
    pub fn duration_of(self, amount: ByteCount) -> time::Duration {
        let micros = u128::from(amount.0) * 1_000_000 / u128::from(self.0.max(1));
        time::Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", ByteCount(self.0))
    }
}

impl str::FromStr for ByteRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let amount = text.strip_suffix("/s").ok_or_else(|| ParseError {
            text: String::from(text),
        })?;
        amount.parse().map(|ByteCount(bytes)| Self(bytes))
    }
}
