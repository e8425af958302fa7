//! How urgent a request is in comparison with others of its service.

use std::cmp;

/// The rank of a route or of an organisation; 0 is the most urgent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// The least urgent rank, which also stands for one that is missing or can't be read.
    pub const LAST: Self = Self(u8::MAX);

    /// Creates a rank.
    #[must_use]
    pub const fn new(rank: u8) -> Self {
        Self(rank)
    }

    /// Returns the number of the rank.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl Default for Rank {
    fn default() -> Self {
        Self::LAST
    }
}

/// How urgent a request is: the rank of its organisation decides, then that of its route.
///
/// ```
/// use pimentohook_core::rank::{Rank, Urgency};
///
/// let urgent = Urgency { organisation: Rank::new(0), route: Rank::new(2) };
/// let usual = Urgency { organisation: Rank::new(1), route: Rank::new(0) };
/// assert!(urgent.is_before(usual));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Urgency {
    /// The rank of the organisation.
    pub organisation: Rank,
    /// The rank of the route.
    pub route: Rank,
}

impl Urgency {
    /// Returns whether the request goes before one with another urgency.
    #[must_use]
    pub fn is_before(self, other: Self) -> bool {
        self.cmp(&other) == cmp::Ordering::Less
    }
}

impl PartialOrd for Urgency {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Urgency {
    /// Compares so that the more urgent one is less.
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let key = |urgency: &Self| (urgency.organisation, urgency.route);
        key(self).cmp(&key(other))
    }
}
