//! Upload limits of a VM: its link carries a bounded amount of traffic beside its own download.

use std::time;

use serde::{Deserialize, Serialize};

use super::chunks;

/// How a VM with complete weights regains upload credit, for VMs that join after the burst.
#[derive(Clone, Copy, Debug)]
pub struct CreditRefill {
    /// The time after completion at which the refill starts.
    pub delay: time::Duration,
    /// The time in which the credit for one more copy of the weights accrues.
    pub per_copy: time::Duration,
}

/// Why an upload was denied.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum UploadDenial {
    /// This VM does not have the chunk.
    NotHeld,
    /// Every upload slot is in use, or what is left of the upload credit is kept for other chunks.
    Busy,
    /// The upload credit of this VM is used up.
    Spent,
}

/// The upload side of one VM for one manifest.
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
    /// The chunks from the origin that were not uploaded yet, so that perhaps no other VM has them.
    not_passed_on: chunks::ChunkSet,
    last_started_at: Option<time::Instant>,
}

/// How long credit is kept for chunks that were not passed on while nothing is uploaded.
const RESERVATION_MAX: time::Duration = time::Duration::from_secs(1);
const PERCENT_SCALE: u64 = 100;
/// By how much an overdraft raises the link limit, in percent of one copy of the weights.
const OVERDRAFT_PERCENT: u32 = 10;

impl Uploader {
    /// Creates the upload side.
    ///
    /// `link_percent_max` bounds the sum of downloads and uploads during the burst, in percent of
    /// one copy of the weights. After completion, `refill` adds credit to serve VMs that join
    /// later.
    #[must_use]
    pub fn new(
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
            not_passed_on: chunks::ChunkSet::new(chunk_count),
            last_started_at: None,
        }
    }

    /// Acquires an upload slot for a chunk.
    ///
    /// `overdraft` states that the peer has been starved for a while: chunks that were transferred
    /// more than once have used up the credit that its remaining downloads need. This VM may then
    /// upload slightly more than its link limit allows.
    ///
    /// # Errors
    ///
    /// Returns an [`UploadDenial`] if the chunk is missing, or if no slot or no credit is left.
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
        if self.is_reserved(now, chunk, overdraft) {
            return Err(UploadDenial::Busy);
        }
        self.open_count += 1;
        self.uploaded_count += 1;
        self.not_passed_on.remove(chunk);
        self.last_started_at = Some(now);
        Ok(())
    }

    /// Returns whether the credit that is left is needed to pass on other chunks for the first time.
    ///
    /// The reservation ends once peers have requested none of these chunks for a while: they have
    /// them from elsewhere.
    fn is_reserved(&self, now: time::Instant, chunk: u32, overdraft: bool) -> bool {
        let is_wanted = self
            .last_started_at
            .is_some_and(|at| now.duration_since(at) < RESERVATION_MAX);
        let needed = u64::from(self.not_passed_on.len());
        is_wanted && !self.not_passed_on.contains(chunk) && self.credit(now, overdraft) <= needed
    }

    /// Releases an upload slot. The credit is not returned, since the bytes may have been sent.
    pub fn release_slot(&mut self) {
        self.open_count = self.open_count.saturating_sub(1);
    }

    /// Records that a chunk was downloaded from the origin, which other VMs wait for.
    pub fn record_introduced(&mut self, chunk: u32) {
        self.not_passed_on.insert(chunk);
    }

    /// Counts a chunk that was transferred to this VM, valid or not.
    pub fn record_downloaded(&mut self) {
        self.downloaded_count += 1;
    }

    /// Returns how many chunk uploads were started.
    #[must_use]
    pub const fn uploaded_count(&self) -> u32 {
        self.uploaded_count
    }

    /// Returns how many chunks were transferred to this VM, valid or not.
    #[must_use]
    pub const fn downloaded_count(&self) -> u32 {
        self.downloaded_count
    }

    /// Returns whether the credit allows one more upload.
    #[must_use]
    pub fn has_credit(&self, now: time::Instant, overdraft: bool) -> bool {
        self.credit(now, overdraft) > 0
    }

    /// Returns how many more uploads the credit allows.
    fn credit(&self, now: time::Instant, overdraft: bool) -> u64 {
        // The VM's own complete download is reserved from the start, so that early uploads never
        // reduce what it may download later.
        let incoming = u64::from(self.downloaded_count.max(self.chunk_count));
        let transferred = incoming + u64::from(self.uploaded_count);
        let extra_percent = if overdraft { OVERDRAFT_PERCENT } else { 0 };
        let percent = u64::from(self.link_percent_max + extra_percent);
        let allowed = u64::from(self.chunk_count) * percent / PERCENT_SCALE;
        (allowed + self.refilled_chunks(now)).saturating_sub(transferred)
    }

    fn refilled_chunks(&self, now: time::Instant) -> u64 {
        let since = self.completed_at.map(|at| now.duration_since(at));
        let refill_time = since.unwrap_or_default().saturating_sub(self.refill.delay);
        let per_copy_ms = self.refill.per_copy.as_millis().max(1);
        let chunks = refill_time.as_millis() * u128::from(self.chunk_count) / per_copy_ms;
        u64::try_from(chunks).unwrap_or(u64::MAX)
    }
}
