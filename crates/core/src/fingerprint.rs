//! Fingerprints of requests: equal for requests with the same path, caller and body.
//!
//! ```
//! use pimentohook_core::fingerprint::{Fingerprint, Identity};
//!
//! let identity = Identity {
//!     method: "POST",
//!     host: "host.example",
//!     path: "/a/b",
//!     organisation: Some("org-1"),
//! };
//! assert_eq!(Fingerprint::of(&identity, b"body"), Fingerprint::of(&identity, b"body"));
//! assert_ne!(Fingerprint::of(&identity, b"body"), Fingerprint::of(&identity, b"other"));
//! ```

use std::fmt;

/// What identifies a request besides its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that selects the route.
    pub host: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// The caller's organisation.
    pub organisation: Option<&'a str>,
}

/// A hash of what identifies a request; all entries compute the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    #[must_use]
    pub fn of(identity: &Identity<'_>, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        let organisation = identity.organisation.unwrap_or_default();
        for text in [identity.method, identity.host, identity.path, organisation] {
            // With its length, so that no two identities have the same bytes.
            hasher.update(&text.len().to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(body);
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }

    /// Returns the hash.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
