//! By when all other entries know that this one shuts down.

use std::time;

use indexmap::IndexMap;

use super::Others;

/// The other entries' responses to heartbeats of an entry that shuts down.
#[derive(Clone, Debug)]
pub struct Hearing {
    since: time::Instant,
    message_timeout: time::Duration,
    loss_timeout: time::Duration,
    answered_at: IndexMap<String, time::Instant>,
}

impl Hearing {
    /// Creates the state of an entry that was asked to stop at `since`.
    ///
    /// Messages between entries take `message_timeout` at most, and an entry that is not heard of for
    /// `loss_timeout` counts as away.
    #[must_use]
    pub fn new(
        since: time::Instant,
        message_timeout: time::Duration,
        loss_timeout: time::Duration,
    ) -> Self {
        Self {
            since,
            message_timeout,
            loss_timeout,
            answered_at: IndexMap::new(),
        }
    }

    /// Returns when the other entries are told again: a message from before the signal, which says
    /// that this entry is ready, can arrive until then.
    #[must_use]
    pub fn tells_again_at(&self) -> time::Instant {
        self.since + self.message_timeout
    }

    /// Records that an entry responded at `at` to a heartbeat that was sent at `sent_at`.
    pub fn record(&mut self, entry: &str, sent_at: time::Instant, at: time::Instant) {
        if sent_at >= self.tells_again_at() {
            self.answered_at.entry(String::from(entry)).or_insert(at);
        }
    }

    /// Returns from when on no directory names this entry as ready: when the last of the others that
    /// live has responded, else when all have taken it for lost.
    #[must_use]
    pub fn known_at(&self, others: &Others) -> time::Instant {
        let lost_at = self.since + self.loss_timeout;
        let answers = others
            .live_names()
            .map(|name| self.answered_at.get(name).copied());
        let answers: Option<Vec<time::Instant>> = answers.collect();
        let last = answers.and_then(|answers| answers.into_iter().max());
        last.map_or(lost_at, |last| last.min(lost_at))
    }
}
