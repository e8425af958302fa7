//! Positions in the history of the platform's store.
//!
//! The store numbers its changes with revisions. When it is restored from a copy, the revisions
//! after the copy are lost and given out again, and the store enters a new era. So a revision
//! identifies a state only together with its era.
//!
//! ```
//! use pimentohook_core::{id, position};
//!
//! let lost: position::Position = "1:90".parse()?;
//! let restored = position::Position::new(id::StoreEra::new(2), 60);
//! assert!(lost < restored);
//! assert_eq!(restored.to_string(), "2:60");
//! # Ok::<(), position::ParseError>(())
//! ```

use std::{fmt, str};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id;

/// The error for a string that is not a position.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("position {text:?} is not valid: an era and a revision, separated by a colon"))]
pub struct ParseError {
    text: String,
}

/// A state of the store; positions of a later era are later, whatever their revisions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// The era; 0 if the store has not named one.
    pub era: id::StoreEra,
    /// The revision within the era; 0 before the first list.
    pub revision: u64,
}

impl Position {
    /// Creates a position.
    #[must_use]
    pub const fn new(era: id::StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether the position is before the first list.
    #[must_use]
    pub const fn is_start(self) -> bool {
        self.revision == 0
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

impl str::FromStr for Position {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parse = || {
            let (era, revision) = text.split_once(':')?;
            Some(Self::new(era.parse().ok()?, revision.parse().ok()?))
        };
        parse().ok_or_else(|| ParseError {
            text: text.chars().take(id::NAME_MAX_BYTES).collect(),
        })
    }
}
