//! Rates of requests.
//!
//! ```
//! use pimentohook_core::upstream_limit::rate;
//!
//! let limit: rate::RequestRate = "1.7".parse()?;
//! assert_eq!(limit.to_string(), "1.7/s");
//! assert!("-1".parse::<rate::RequestRate>().is_err());
//! # Ok::<(), rate::ParseError>(())
//! ```

use std::{fmt, str};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The share of a limit that is used.
const TARGET_SHARE: f64 = 0.95;
const RATE_MIN_PER_S: f64 = 0.25;

/// The error for a string or number that is not a rate of requests.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a rate: write a number of requests per second, 0 or more"))]
pub struct ParseError {
    text: String,
}

/// A number of requests per second: finite, and 0 or more.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the number of requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the rate at which requests are sent to an upstream with this limit.
    ///
    /// It is a little lower, since permits are used some time after they are granted. An upstream
    /// with a very low limit, even 0, still gets a request now and then: otherwise its responses
    /// could not show that the limit has changed.
    #[must_use]
    pub fn target(self) -> Self {
        Self((self.0 * TARGET_SHARE).max(RATE_MIN_PER_S))
    }

    /// Returns a share of the rate; `share` is between 0 and 1.
    #[must_use]
    pub fn share(self, share: f64) -> Self {
        Self(self.0 * share.clamp(0.0, 1.0))
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = ParseError;

    fn try_from(per_second: f64) -> Result<Self, ParseError> {
        if per_second.is_finite() && per_second >= 0.0 {
            return Ok(Self(per_second));
        }
        Err(ParseError {
            text: per_second.to_string(),
        })
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl str::FromStr for RequestRate {
    type Err = ParseError;

    /// Parses a decimal number of requests per second, with or without the unit `/s`.
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text.trim();
        let number = number.strip_suffix("/s").unwrap_or(number);
        let parsed: Option<f64> = number.parse().ok();
        parsed
            .and_then(|per_second| Self::try_from(per_second).ok())
            .ok_or_else(|| ParseError {
                text: String::from(text),
            })
    }
}
