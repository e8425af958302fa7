//! Entries that are restarted, in virtual time.

use std::time::{Duration, Instant};

use pimentohook_core::{
    leaving::{Hearing, Leaver, Others, WaitsFor},
    shutdown::Shutdown,
};

use super::roll::Roll;

pub const GRACE: Duration = Duration::from_millis(7_500);
pub const DELAY: Duration = Duration::from_millis(4_500);
pub const START: Duration = Duration::from_millis(500);
/// An entry that is not heard of for so long counts as away.
const LOSS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a message between entries takes at most.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(700);
pub const TTL: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub others: Others,
    pub shutdown: Shutdown,
    /// When it ended before its time.
    pub ended_at: Option<Instant>,
    pub hearing: Hearing,
    /// When it named itself last.
    pub named_at: Instant,
    pub busy_until: Instant,
}

impl Entry {
    pub fn closes_at(&self) -> Instant {
        self.ended_at.unwrap_or(self.shutdown.closes_at())
    }

    pub fn is_up(&self, at: Instant) -> bool {
        at < self.closes_at() || at >= self.ready_again_at()
    }

    pub fn ready_again_at(&self) -> Instant {
        self.ended_at.unwrap_or(self.shutdown.ends_at()) + START
    }

    pub fn is_leaving(&self, at: Instant) -> bool {
        at >= self.shutdown.since && at < self.closes_at()
    }

    pub fn leaver(&self) -> Leaver<'_> {
        Leaver {
            entry: &self.name,
            shutdown: &self.shutdown,
            named_at: self.named_at.max(self.hearing.known_at(&self.others)),
            ttl: TTL,
            connection_count: 0,
        }
    }

    /// Returns whether it may end now.
    pub fn look(&mut self, at: Instant) -> bool {
        let (named, _) = self
            .leaver()
            .named(&self.others, self.others.ready_names(), at);
        if named.contains(&self.name) {
            self.named_at = at;
        }
        let connection_count = usize::from(at < self.busy_until);
        let leaver = Leaver {
            connection_count,
            ..self.leaver()
        };
        leaver.waits_for(&self.others, at) == WaitsFor::Nothing
    }

    pub fn is_ready(&self, at: Instant) -> bool {
        self.is_up(at) && !self.is_leaving(at)
    }
}

/// Returns the entries of a roll.
pub fn entries(roll: &Roll, begins_at: Instant) -> Vec<Entry> {
    let name = |index: usize| format!("entry-{index}");
    (0..roll.entry_count)
        .map(|index| {
            let mut others = Others::default();
            for other in (0..roll.entry_count).filter(|other| *other != index) {
                others.record(&name(other), true, begins_at);
            }
            let step = u32::try_from(index / roll.per_step).expect("a few");
            let since = begins_at + roll.gap * step;
            Entry {
                name: name(index),
                others,
                ended_at: None,
                hearing: Hearing::new(since, MESSAGE_TIMEOUT, LOSS_TIMEOUT),
                named_at: since,
                busy_until: begins_at,
                shutdown: Shutdown {
                    since,
                    delay: DELAY,
                    timeout: GRACE,
                },
            }
        })
        .collect()
}
