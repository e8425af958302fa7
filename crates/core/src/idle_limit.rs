//! How long an idle connection of a caller has to be kept.
//!
//! Callers go by the limit that was in force when they last used a connection, so a lower one holds
//! only once a connection that was used just before the change has reached the earlier limit.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use pimentohook_core::idle_limit;
//!
//! let mut limit = idle_limit::IdleLimit::new(Duration::from_secs(15));
//! let now = Instant::now();
//! limit.change(now, Duration::from_secs(5));
//! assert_eq!(limit.get(now), Duration::from_secs(15));
//! assert_eq!(limit.get(now + Duration::from_secs(15)), Duration::from_secs(5));
//! ```

use std::time;

/// The limit in force, and an earlier one that callers may still go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimit {
    current: time::Duration,
    earlier: Option<EarlierLimit>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EarlierLimit {
    limit: time::Duration,
    holds_until: time::Instant,
}

impl IdleLimit {
    /// Creates the limit that holds before any change.
    #[must_use]
    pub const fn new(limit: time::Duration) -> Self {
        Self {
            current: limit,
            earlier: None,
        }
    }

    /// Returns how long an idle connection has to be kept.
    #[must_use]
    pub fn get(&self, now: time::Instant) -> time::Duration {
        let earlier = self.earlier.filter(|earlier| now < earlier.holds_until);
        let earlier = earlier.map(|earlier| earlier.limit);
        earlier.unwrap_or_default().max(self.current)
    }

    /// Puts another limit in force.
    pub fn change(&mut self, now: time::Instant, limit: time::Duration) {
        if limit < self.current {
            let earlier = self.earlier.filter(|earlier| now < earlier.holds_until);
            let holds_until = now + self.current;
            self.earlier = Some(EarlierLimit {
                limit: self.get(now),
                holds_until: earlier
                    .map_or(holds_until, |earlier| earlier.holds_until.max(holds_until)),
            });
        }
        self.current = limit;
    }
}
