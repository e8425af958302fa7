//! Which agent grants the chunks of a version, and when the first grants are due.
//!
//! The agents are ranked for each version; the first one that is live grants. An agent that begins
//! to download a version has heard nobody's report on it yet, however long ago the version was
//! announced. So it counts from when it began: until then silence says nothing.
//!
//! ```
//! use std::time::Duration;
//!
//! use pimentohook_core::burst::grantor::Standing;
//!
//! let third = |ms| Standing {
//!     rank: 2,
//!     takes_part_for: Duration::from_millis(ms),
//!     hears_earlier: false,
//! };
//! assert!(!third(60).is_grantor());
//! assert!(third(600).is_grantor());
//! ```

use std::time;

/// How long an agent that isn't first by rank hears nobody before it, until it grants in their place.
const TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(500);
/// How long the first grants wait for agents to take part, so that they are spread over several.
const FIRST_GRANT_DELAY_MAX: time::Duration = time::Duration::from_millis(400);
/// The first grants wait for at most this many agents to take part.
const FIRST_GRANT_PARTICIPANTS_MAX: usize = 6;

/// What an agent knows of its place among the possible grantors of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// How many agents are ranked before it.
    pub rank: usize,
    /// For how long it has downloaded the version, or known of it if that is shorter.
    pub takes_part_for: time::Duration,
    /// Whether it hears an agent that is ranked before it.
    pub hears_earlier: bool,
}

impl Standing {
    /// Returns whether the agent is the grantor.
    #[must_use]
    pub fn is_grantor(&self) -> bool {
        let is_first = self.rank == 0;
        is_first || (!self.hears_earlier && self.takes_part_for >= TAKEOVER_DELAY)
    }
}

/// Returns whether the first grants of a version still wait for more agents to take part.
///
/// `takes_part_for` is how long the grantor has downloaded the version, `participant_count` how many
/// agents do, itself included, and `peer_count` how many others there are.
#[must_use]
pub fn awaits_participants(
    takes_part_for: time::Duration,
    participant_count: usize,
    peer_count: usize,
) -> bool {
    let participants_min = (peer_count / 2 + 1).min(FIRST_GRANT_PARTICIPANTS_MAX);
    participant_count < participants_min && takes_part_for < FIRST_GRANT_DELAY_MAX
}
