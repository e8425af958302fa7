//! The regions in which a request may be served, sent and kept, and the regions of failure domains.
//!
//! ```
//! use pimentohook_core::regions::AllowedRegions;
//!
//! let route = AllowedRegions::only(["north", "south"]);
//! let organisation = AllowedRegions::only(["south"]);
//! let both = route.and(&organisation);
//! assert!(both.allows(Some("south")));
//! assert!(!both.allows(Some("north")));
//! ```

use std::fmt;

use indexmap::{IndexMap, IndexSet};

/// The regions that a route or an organisation allows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Any region, also one that is not known.
    #[default]
    Anywhere,
    /// Only these regions; none if the set is empty.
    Only(IndexSet<String>),
}

impl AllowedRegions {
    /// Allows only these regions.
    #[must_use]
    pub fn only<I, T>(regions: I) -> Self
    where
        I: IntoIterator<Item = T>,
        T: Into<String>,
    {
        Self::Only(regions.into_iter().map(Into::into).collect())
    }

    /// Allows no region, because what is allowed can't be read.
    #[must_use]
    pub fn nowhere() -> Self {
        Self::Only(IndexSet::new())
    }

    /// Returns whether requests may go to a region; `None` stands for one that is not known.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Returns the regions that both allow.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, regions) | (regions, Self::Anywhere) => regions.clone(),
            (Self::Only(regions), Self::Only(others)) => {
                Self::Only(regions.intersection(others).cloned().collect())
            }
        }
    }

    /// Returns whether no region at all is allowed.
    #[must_use]
    pub fn is_nowhere(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }

    /// Returns whether some region is not allowed.
    #[must_use]
    pub const fn is_restricted(&self) -> bool {
        matches!(self, Self::Only(_))
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Only(regions) = self else {
            return write!(f, "anywhere");
        };
        let names: Vec<&str> = regions.iter().map(String::as_str).collect();
        write!(f, "[{}]", names.join(","))
    }
}

/// The regions of failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap(IndexMap<String, String>);

impl RegionMap {
    /// Creates a map from failure domains and their regions.
    #[must_use]
    pub fn new<I, T>(regions: I) -> Self
    where
        I: IntoIterator<Item = (T, T)>,
        T: Into<String>,
    {
        let regions = regions.into_iter();
        Self(
            regions
                .map(|(domain, region)| (domain.into(), region.into()))
                .collect(),
        )
    }

    /// Returns the region of a failure domain, if it is known.
    #[must_use]
    pub fn region_of(&self, failure_domain: &str) -> Option<&str> {
        self.0.get(failure_domain).map(String::as_str)
    }

    /// Returns whether a request that is allowed in these regions may go to a failure domain.
    #[must_use]
    pub fn allows(&self, allowed: &AllowedRegions, failure_domain: &str) -> bool {
        !allowed.is_restricted() || allowed.allows(self.region_of(failure_domain))
    }
}
