//! Which of the configurations that were in force lately a process knows.
//!
//! For a while after a change either configuration may hold for a request. A process that starts, or
//! that goes on with a later version than the next one, doesn't know what the versions before allowed;
//! one that stood still or is cut off doesn't know whether there is a newer one. Until it has learned
//! that, or the while has passed, a request counts as one that runs once.
//!
//! ```
//! use std::time;
//!
//! use pimentohook_core::{clock, configuration_history, position};
//!
//! let start = clock::BootInstant::from_boot(time::Duration::from_secs(60));
//! let first = position::Position::new(Default::default(), 7);
//! let read = configuration_history::Read::newest(Some(first));
//! let history = configuration_history::ConfigurationHistory::default().after(start, read);
//! assert!(history.knows_since(start));
//! assert!(!history.knows_since(start.saturating_sub(time::Duration::from_secs(2))));
//! ```

use std::time;

use serde::{Deserialize, Serialize};

use crate::{clock, position::Position};

/// What another process knows of the configuration that it passes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Whether no version came into force between the receiver's configuration and this one.
    pub has_all: bool,
    /// For how long no other version has been in force, in milliseconds; `None` if that is not known.
    pub unchanged_ms: Option<u64>,
}

impl Statement {
    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What was read of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// The position of the newest version's last change; `None` if there is no configuration.
    pub newest: Option<Position>,
    /// What its source knows.
    pub statement: Statement,
}

impl Read {
    /// Creates what was read from a source that says nothing of versions before the newest.
    #[must_use]
    pub fn newest(newest: Option<Position>) -> Self {
        Self {
            newest,
            statement: Statement::default(),
        }
    }

    /// Creates what was read from a source that names each version.
    #[must_use]
    pub const fn all(newest: Option<Position>) -> Self {
        Self {
            newest,
            statement: Statement {
                has_all: true,
                unchanged_ms: None,
            },
        }
    }
}

/// What is known of the newest version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Newest {
    position: Option<Position>,
    /// When it came into force here, or earlier if it is known to have been in force.
    since: clock::BootInstant,
    /// The position of the version before; `None` if there may have been others in between.
    follows: Option<Position>,
}

/// Which of the configurations that were in force lately a process knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationHistory {
    /// `None` before the first read.
    newest: Option<Newest>,
    /// Each version in force after this is known.
    known_since: Option<clock::BootInstant>,
}

impl ConfigurationHistory {
    /// Returns the history after a read at `now`, which is to be recorded before the configuration
    /// comes into force.
    #[must_use]
    pub fn after(self, now: clock::BootInstant, read: Read) -> Self {
        let unchanged = read.statement.unchanged_ms.map(time::Duration::from_millis);
        let unchanged_since = now.saturating_sub(unchanged.unwrap_or_default());
        match self.newest {
            None if read.newest.is_none() => Self::without_configuration(),
            Some(newest) if newest.position == read.newest => {
                self.with_unchanged_since(newest, unchanged_since)
            }
            Some(newest) if read.statement.has_all => Self {
                newest: Some(Newest {
                    position: read.newest,
                    since: now,
                    follows: Some(newest.position.unwrap_or_default()),
                }),
                ..self
            },
            _ => Self {
                newest: Some(Newest {
                    position: read.newest,
                    since: unchanged_since,
                    follows: None,
                }),
                known_since: Some(unchanged_since),
            },
        }
    }

    /// Returns the history of a store that has no configuration yet, so that none was in force.
    fn without_configuration() -> Self {
        let always = clock::BootInstant::from_boot(time::Duration::ZERO);
        Self {
            newest: Some(Newest {
                position: None,
                since: always,
                follows: None,
            }),
            known_since: Some(always),
        }
    }

    fn with_unchanged_since(self, newest: Newest, unchanged_since: clock::BootInstant) -> Self {
        let since = newest.since.min(unchanged_since);
        Self {
            newest: Some(Newest { since, ..newest }),
            known_since: self.known_since.map(|known| known.min(unchanged_since)),
        }
    }

    /// Returns whether each version is known that was in force at `since` or later, as far as they
    /// have been confirmed.
    #[must_use]
    pub fn knows_since(&self, since: clock::BootInstant) -> bool {
        self.known_since.is_some_and(|known| known <= since)
    }

    /// Returns what to tell a process that has the state of the store at `position`, and is passed the
    /// configuration whose last change is at `newest`.
    #[must_use]
    pub fn statement(
        &self,
        now: clock::BootInstant,
        position: Position,
        newest: Option<Position>,
    ) -> Statement {
        let known = self.newest.filter(|known| known.position == newest);
        let (Some(known), Some(known_since)) = (known, self.known_since) else {
            return Statement::default();
        };
        let unchanged = now.saturating_duration_since(known.since.max(known_since));
        let follows = known.follows.is_some_and(|before| before <= position);
        Statement {
            has_all: follows || newest.is_none_or(|newest| newest <= position),
            unchanged_ms: u64::try_from(unchanged.as_millis()).ok(),
        }
    }
}

/// Until when a process knows that its configuration was the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The last instant at which it was the newest; `None` if that is not known.
    pub confirmed_at: Option<clock::BootInstant>,
    /// Since when the process has run without standing still.
    pub ran_since: clock::BootInstant,
    /// How old a confirmation is at most while no answer is lost.
    pub age_max: time::Duration,
}

impl Confirmation {
    /// Returns whether the configuration counts as the newest at `now`.
    #[must_use]
    pub fn holds(&self, now: clock::BootInstant) -> bool {
        let earliest = now.saturating_sub(self.age_max).max(self.ran_since);
        self.confirmed_at.is_some_and(|at| at >= earliest)
    }
}

/// What a request may do when it runs, as far as it shows by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing, by its method.
    None,
    /// It makes an engine generate a response, or is a stream that may be resumed.
    Generation,
    /// Anything.
    Any,
}

impl Effect {
    /// Returns whether a request may repeat only if the versions that may hold for it are known.
    #[must_use]
    pub const fn needs_versions(self) -> bool {
        matches!(self, Self::Any)
    }
}

/// What is known of the configurations that may hold for a request.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge<'a> {
    /// The known versions.
    pub history: &'a ConfigurationHistory,
    /// Until when they are known.
    pub confirmation: Confirmation,
}

impl Knowledge<'_> {
    /// Returns whether a request that each known version lets repeat may do so at `now`, if versions
    /// that were in force at `since` or later may hold for it.
    #[must_use]
    pub fn may_repeat(
        &self,
        effect: Effect,
        since: clock::BootInstant,
        now: clock::BootInstant,
    ) -> bool {
        let is_known = self.history.knows_since(since) && self.confirmation.holds(now);
        is_known || !effect.needs_versions()
    }
}
