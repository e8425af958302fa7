//! Typed identifiers, so that the name of a VM can't be passed where the name of a service is
//! expected.
//!
//! Names are short strings that are validated when they are parsed. Numbers only increase.
//!
//! ```
//! use pimentohook_core::id;
//!
//! let vm: id::VmId = "gulf-runner-3".parse()?;
//! assert_eq!(vm.to_string(), "gulf-runner-3");
//! assert!("no spaces".parse::<id::VmId>().is_err());
//! # Ok::<(), id::ParseError>(())
//! ```

use std::{fmt, str};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// The error for a string that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{kind} {text:?} is not valid: {allowed}"))]
pub struct ParseError {
    kind: String,
    text: String,
    allowed: String,
}

fn check_name(kind: &str, text: &str) -> Result<String, ParseError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_valid = !text.is_empty() && text.len() <= NAME_MAX_BYTES && text.chars().all(is_allowed);
    if is_valid {
        return Ok(String::from(text));
    }
    Err(ParseError {
        kind: String::from(kind),
        text: text.chars().take(NAME_MAX_BYTES).collect(),
        allowed: format!("1 to {NAME_MAX_BYTES} of letters, digits, '-', '_' and '.'"),
    })
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident $kind:literal;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl str::FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                check_name($kind, text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )+};
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident $kind:literal;)+) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates an identifier from a number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse().map(Self).map_err(|_| ParseError {
                    kind: String::from($kind),
                    text: text.chars().take(NAME_MAX_BYTES).collect(),
                    allowed: String::from("a whole number"),
                })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )+};
}

names! {
    /// A VM and the agent that runs on it.
    VmId "VM";
    /// An entry process.
    EntryId "entry";
    /// A failure domain.
    FailureDomain "failure domain";
    /// A service: model runners or a plain service.
    ServiceName "service";
    /// An organisation whose members call services.
    OrganisationName "organisation";
    /// A caller's request, unique within the retention window.
    RequestId "request id";
    /// A version of model weights.
    WeightsVersion "weights version";
    /// An operator.
    OperatorName "operator";
    /// A plan computed for an intent.
    PlanId "plan";
}

numbers! {
    /// An attempt at a request, counted from 1 by the caller.
    AttemptNumber "attempt";
    /// One run of an agent process; each restart has a new one.
    Incarnation "incarnation";
    /// The version of the configuration; it only increases.
    ConfigVersion "configuration version";
    /// The fencing token that a lease's holder sends with each command; it only increases.
    FencingNumber "fencing number";
    /// How often the platform's store was restored from a copy; 0 if it has not said so.
    StoreEra "era of the store";
}

/// A BLAKE3 digest, written in hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Creates a digest from the 32 bytes of a hash.
    #[must_use]
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the 32 bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl str::FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        blake3::Hash::from_hex(text)
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|_| ParseError {
                kind: String::from("digest"),
                text: text.chars().take(NAME_MAX_BYTES).collect(),
                allowed: String::from("64 hexadecimal digits"),
            })
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// Returns the score of `candidate` for `key` in rendezvous hashing; the highest score comes first.
///
/// Every process computes the same score, so all agree on an order without communicating.
#[must_use]
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Computes the [`Digest`] of content that arrives in pieces.
#[derive(Clone, Debug, Default)]
pub struct Hasher(blake3::Hasher);

impl Hasher {
    /// Creates a hasher without content.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a piece.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the digest of all pieces added so far.
    #[must_use]
    pub fn finish(&self) -> Digest {
        Digest(*self.0.finalize().as_bytes())
    }
}
