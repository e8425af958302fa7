//! How urgent a request is in comparison with others of its service.

use std::{cmp, collections::BTreeSet, fmt};

use serde::{Deserialize, Serialize};

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

/// The position of an urgency among those of its service; 0 is the most urgent one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u8", into = "u8")]
pub struct Priority(u8);

impl Priority {
    /// The number of priorities. If a service has more urgencies, the least urgent ones share one.
    pub const COUNT: usize = 10;
    const LAST: u8 = 9;

    /// Returns the number of the priority, from 0 to 9.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }

    /// Returns the priority as the index of an array of [`Priority::COUNT`] elements.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl From<u8> for Priority {
    /// Returns the priority with a number; greater ones than 9 count as 9.
    fn from(number: u8) -> Self {
        Self(number.min(Self::LAST))
    }
}

impl From<Priority> for u8 {
    fn from(priority: Priority) -> Self {
        priority.0
    }
}

/// The distinct urgencies of the requests of one service, the most urgent first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Urgencies(BTreeSet<Urgency>);

impl Urgencies {
    /// Returns whether requests differ in urgency.
    #[must_use]
    pub fn is_ranked(&self) -> bool {
        self.0.len() > 1
    }

    /// Returns the priority of a request; `None` if all requests of the service are equally urgent.
    #[must_use]
    pub fn priority(&self, urgency: Urgency) -> Option<Priority> {
        let position = self.0.range(..urgency).count();
        let priority = Priority::from(u8::try_from(position).unwrap_or(u8::MAX));
        self.is_ranked().then_some(priority)
    }
}

impl fmt::Display for Urgencies {
    /// Formats them as `ORGANISATION.ROUTE` pairs of ranks, the most urgent first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, urgency) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "," };
            let (organisation, route) = (urgency.organisation.get(), urgency.route.get());
            write!(f, "{separator}{organisation}.{route}")?;
        }
        Ok(())
    }
}

impl FromIterator<Urgency> for Urgencies {
    fn from_iter<T>(urgencies: T) -> Self
    where
        T: IntoIterator<Item = Urgency>,
    {
        Self(urgencies.into_iter().collect())
    }
}
