//! What a machine passes on: never more than its link carries beside its own copy.

use std::time;

use serde::{Deserialize, Serialize};

use super::chunks;

/// How soon a machine that holds all may pass on more than in the burst.
#[derive(Clone, Copy, Debug)]
pub struct CreditRefill {
    /// How long after it came to hold all.
    pub delay: time::Duration,
    /// How long each further copy takes.
    pub per_copy: time::Duration,
}

/// Why a chunk was not given.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum UploadDenial {
    /// The chunk is not held.
    NotHeld,
    /// Every upload slot is taken.
    Busy,
    /// The machine has passed on as much as its link may carry.
    Spent,
}

/// The upload side of one machine for one manifest.
#[derive(Clone, Debug)]
pub struct Uploader {
    chunk_count: u32,
    link_percent_max: u32,
    slot_count: u32,
    open_count: u32,
    uploaded_count: u32,
    downloaded_count: u32,
    refill: CreditRefill,
    completed_at: Option<time::Instant>,
}

const HUNDRED: u64 = 100;
const OVERDRAFT_PERCENT: u32 = 10;

impl Uploader {
    /// Creates the upload side.
    ///
    /// `link_percent_max` bounds what goes in and out together during the burst, in hundredths of
    /// a copy. After it, `refill` lets machines that join later be served.
    #[must_use]
    pub const fn new(
        chunk_count: u32,
        link_percent_max: u32,
        slot_count: u32,
        refill: CreditRefill,
    ) -> Self {
        Self {
            chunk_count,
            link_percent_max,
            slot_count,
            open_count: 0,
            uploaded_count: 0,
            downloaded_count: 0,
            refill,
            completed_at: None,
        }
    }

    /// Takes an upload slot for a chunk.
    ///
    /// `overdraft` says that the receiver has been starved for a while: bytes that were moved
    /// twice have used up credit that it needs, so a little more is allowed.
    ///
    /// # Errors
    ///
    /// [`UploadDenial`] says why there is none.
    pub fn try_start(
        &mut self,
        now: time::Instant,
        held: &chunks::ChunkSet,
        chunk: u32,
        overdraft: bool,
    ) -> Result<(), UploadDenial> {
        if held.is_full() {
            self.completed_at.get_or_insert(now);
        }
        if !held.contains(chunk) {
            return Err(UploadDenial::NotHeld);
        }
        if self.open_count >= self.slot_count {
            return Err(UploadDenial::Busy);
        }
        if !self.has_credit(now, overdraft) {
            return Err(UploadDenial::Spent);
        }
        self.open_count += 1;
        self.uploaded_count += 1;
        Ok(())
    }

    /// Gives the slot back; the credit stays spent, since the bytes may have left.
    pub fn release_slot(&mut self) {
        self.open_count = self.open_count.saturating_sub(1);
    }

    /// Counts a chunk that came in, whether it was good or not.
    pub fn record_downloaded(&mut self) {
        self.downloaded_count += 1;
    }

    /// Returns how many chunks were passed on.
    #[must_use]
    pub const fn uploaded_count(&self) -> u32 {
        self.uploaded_count
    }

    /// Returns how many chunks came in, good or not.
    #[must_use]
    pub const fn downloaded_count(&self) -> u32 {
        self.downloaded_count
    }

    /// Returns whether one more chunk may be passed on.
    #[must_use]
    pub fn has_credit(&self, now: time::Instant, overdraft: bool) -> bool {
        // The whole own copy is reserved from the start, so that giving early costs nobody later.
        let incoming = u64::from(self.downloaded_count.max(self.chunk_count));
        let moved = incoming + u64::from(self.uploaded_count) + 1;
        let extra_percent = if overdraft { OVERDRAFT_PERCENT } else { 0 };
        let percent = u64::from(self.link_percent_max + extra_percent);
        let allowed = u64::from(self.chunk_count) * percent / HUNDRED;
        moved <= allowed + self.refilled_chunks(now)
    }

    fn refilled_chunks(&self, now: time::Instant) -> u64 {
        let since = self.completed_at.map(|at| now.duration_since(at));
        let refilling = since.unwrap_or_default().saturating_sub(self.refill.delay);
        let per_copy_ms = self.refill.per_copy.as_millis().max(1);
        let chunks = refilling.as_millis() * u128::from(self.chunk_count) / per_copy_ms;
        u64::try_from(chunks).unwrap_or(u64::MAX)
    }
}
