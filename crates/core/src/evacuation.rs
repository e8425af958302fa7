//! Failure domains that are evacuated: nothing more is sent to their upstreams.
//!
//! ```
//! use pimentohook_core::evacuation::Evacuations;
//!
//! let evacuations = Evacuations::of([String::from("north-1")]);
//! assert!(!evacuations.allows("north-1"));
//! assert!(evacuations.allows("north-2"));
//! ```

use indexmap::IndexSet;

/// What is known of the evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Evacuations {
    /// Evacuations are not in use.
    #[default]
    Unused,
    /// They are in use, but not known yet.
    Unknown,
    /// These failure domains are evacuated.
    Known(IndexSet<String>),
}

/// Why none of several upstreams may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// The evacuations are not known yet.
    Unknown,
    /// All of them are in evacuated failure domains.
    Evacuated,
}

/// How the set of evacuated failure domains has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The domains that are evacuated now and were not before.
    pub evacuated: Vec<String>,
    /// The domains that were evacuated before and are not any more.
    pub taken_back: Vec<String>,
}

impl Evacuations {
    /// Returns what an entry knows when it starts.
    #[must_use]
    pub const fn at_start(is_used: bool) -> Self {
        if is_used { Self::Unknown } else { Self::Unused }
    }

    /// Returns that exactly these failure domains are evacuated.
    #[must_use]
    pub fn of<I>(domains: I) -> Self
    where
        I: IntoIterator<Item = String>,
    {
        Self::Known(domains.into_iter().collect())
    }

    /// Returns whether it is known which domains are evacuated, if any can be.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        !matches!(self, Self::Unknown)
    }

    /// Returns the evacuated domains; `None` if they are not in use or not known.
    #[must_use]
    pub const fn domains(&self) -> Option<&IndexSet<String>> {
        match self {
            Self::Known(domains) => Some(domains),
            Self::Unused | Self::Unknown => None,
        }
    }

    /// Returns whether the upstreams of a failure domain may get requests.
    ///
    /// An upstream without a domain may be in an evacuated one.
    #[must_use]
    pub fn allows(&self, domain: &str) -> bool {
        match self {
            Self::Unused => true,
            Self::Unknown => false,
            Self::Known(domains) if domain.is_empty() => domains.is_empty(),
            Self::Known(domains) => !domains.contains(domain),
        }
    }

    /// Returns why none of several upstreams, in these domains, may get requests; `None` if one may,
    /// or if there is no upstream.
    pub fn closed<'a, I>(&self, domains: I) -> Option<Closed>
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut domains = domains.into_iter().peekable();
        domains.peek()?;
        if domains.any(|domain| self.allows(domain)) {
            return None;
        }
        Some(if self.is_known() {
            Closed::Evacuated
        } else {
            Closed::Unknown
        })
    }

    /// Returns how the evacuated domains have changed since `before`.
    #[must_use]
    pub fn changes_since(&self, before: &Self) -> Changes {
        let missing = |from: &Self, of: &Self| {
            let from = from.domains().into_iter().flatten();
            let is_missing = |domain: &&String| of.domains().is_none_or(|of| !of.contains(*domain));
            from.filter(is_missing).cloned().collect()
        };
        Changes {
            evacuated: missing(self, before),
            taken_back: missing(before, self),
        }
    }
}
