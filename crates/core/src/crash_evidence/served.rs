//! The responses that speak for the parts of their prompts.

use std::{collections, mem, time};

use indexmap::IndexMap;

use super::{prompt, suspect_id};

/// How long an engine must go on after a response for the response to speak for the parts.
const OUTLIVED_FOR: time::Duration = time::Duration::from_millis(500);

/// The number of parts in each half of the history.
const HALF_MAX: usize = 4_096;
/// The maximum number of responses whose engine may still end.
const PENDING_MAX: usize = 4_096;

/// The parts on which responses were received, at least the newest [`HALF_MAX`] of them.
#[derive(Clone, Debug, Default)]
pub struct ServedParts {
    newer: IndexMap<suspect_id::SuspectId, time::Instant>,
    older: IndexMap<suspect_id::SuspectId, time::Instant>,
}

impl ServedParts {
    /// Records a response on a part.
    pub fn record(&mut self, part: suspect_id::SuspectId, served_at: time::Instant) {
        if self.newer.len() >= HALF_MAX {
            self.older = mem::take(&mut self.newer);
        }
        let last = self.newer.entry(part).or_insert(served_at);
        *last = served_at.max(*last);
    }

    /// Returns when the last response on a part was received.
    pub fn last_served_at(&self, part: suspect_id::SuspectId) -> Option<time::Instant> {
        let newer = self.newer.get(&part).copied();
        newer.max(self.older.get(&part).copied())
    }
}

/// A response whose engine may still end.
#[derive(Clone, Debug)]
pub struct PendingResponse {
    /// The engine run that wrote it.
    pub run: prompt::EngineRun,
    /// The prompt of its request.
    pub prompt: prompt::Prompt,
    /// When it was received.
    pub served_at: time::Instant,
}

impl PendingResponse {
    fn is_outlived_at(&self, at: time::Instant) -> bool {
        at.saturating_duration_since(self.served_at) >= OUTLIVED_FOR
    }
}

/// The responses whose engine may still end.
#[derive(Clone, Debug, Default)]
pub struct PendingResponses {
    queue: collections::VecDeque<PendingResponse>,
}

impl PendingResponses {
    /// Adds a response; drops the oldest one if there are too many.
    pub fn add(&mut self, response: PendingResponse) {
        if self.queue.len() >= PENDING_MAX {
            self.queue.pop_front();
        }
        self.queue.push_back(response);
    }

    /// Drops the responses that an engine run did not outlive.
    pub fn drop_not_outlived(&mut self, run: prompt::EngineRun, ended_at: time::Instant) {
        self.queue
            .retain(|response| response.run != run || response.is_outlived_at(ended_at));
    }

    /// Removes the next response that its engine has outlived.
    pub fn pop_outlived(&mut self, now: time::Instant) -> Option<PendingResponse> {
        self.queue
            .pop_front_if(|response| response.is_outlived_at(now))
    }
}
