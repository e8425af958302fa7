//! What a machine passes on: never more than its link carries beside its own copy.

use serde::{Deserialize, Serialize};

use super::chunks;

/// Why a chunk was not given.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// The chunk is not held.
    NotHeld,
    /// Every upload slot is taken.
    Busy,
    /// The machine has passed on as much as its link may carry.
    Spent,
}

/// The upload side of one machine for one manifest.
#[derive(Clone, Debug)]
pub struct Giver {
    chunk_count: u32,
    link_percent_max: u32,
    slot_count: u32,
    open_count: u32,
    given_count: u32,
    received_count: u32,
}

const HUNDRED: u64 = 100;

impl Giver {
    /// Creates the upload side.
    ///
    /// `link_percent_max` bounds what goes in and out together, in hundredths of a copy.
    #[must_use]
    pub const fn new(chunk_count: u32, link_percent_max: u32, slot_count: u32) -> Self {
        Self {
            chunk_count,
            link_percent_max,
            slot_count,
            open_count: 0,
            given_count: 0,
            received_count: 0,
        }
    }

    /// Takes an upload slot for a chunk.
    ///
    /// # Errors
    ///
    /// [`Denial`] says why there is none.
    pub fn try_start(&mut self, held: &chunks::ChunkSet, chunk: u32) -> Result<(), Denial> {
        if !held.contains(chunk) {
            return Err(Denial::NotHeld);
        }
        if self.open_count >= self.slot_count {
            return Err(Denial::Busy);
        }
        if !self.has_credit() {
            return Err(Denial::Spent);
        }
        self.open_count += 1;
        self.given_count += 1;
        Ok(())
    }

    /// Gives the slot back; the credit stays spent, since the bytes may have left.
    pub fn stop(&mut self) {
        self.open_count = self.open_count.saturating_sub(1);
    }

    /// Counts a chunk that came in, whether it was good or not.
    pub fn record_received(&mut self) {
        self.received_count += 1;
    }

    /// Returns how many chunks were passed on.
    #[must_use]
    pub const fn given_count(&self) -> u32 {
        self.given_count
    }

    /// Returns how many chunks came in, good or not.
    #[must_use]
    pub const fn received_count(&self) -> u32 {
        self.received_count
    }

    /// Returns whether one more chunk may be passed on.
    #[must_use]
    pub fn has_credit(&self) -> bool {
        // The whole own copy is reserved from the start, so that giving early costs nobody later.
        let incoming = u64::from(self.received_count.max(self.chunk_count));
        let moved = incoming + u64::from(self.given_count) + 1;
        moved * HUNDRED <= u64::from(self.chunk_count) * u64::from(self.link_percent_max)
    }
}
