//! Bytes that grow within a budget.

use std::{mem, sync};

use bytes::Bytes;

use super::BodyBudget;

/// Bytes of unknown length get as much room as has been used of it, within these bounds.
const STEP_MIN_BYTES: usize = 256;
const STEP_MAX_BYTES: usize = 64 << 10;
/// From this size on, the allocator takes pages of their own from the system, which can grow.
const OWN_PAGES_MIN_BYTES: usize = 128 << 10;

/// The bytes of a budget that one body has reserved; they are free again when it is dropped.
#[derive(Debug)]
struct Reservation {
    budget: sync::Arc<BodyBudget>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// An allocation.
///
/// The allocator takes the largest one that was freed with pages of its own for a size that comes
/// often, and keeps room for it between small allocations from then on. So it is shrunk before.
#[derive(Debug, Default)]
struct Segment(Vec<u8>);

impl Segment {
    fn with_capacity(bytes: usize) -> Self {
        let mut segment = Self::default();
        segment.0.reserve_exact(bytes);
        segment
    }

    fn spare(&self) -> usize {
        self.0.capacity() - self.0.len()
    }
}

impl Drop for Segment {
    fn drop(&mut self) {
        self.0.clear();
        self.0.shrink_to(STEP_MAX_BYTES);
    }
}

/// The bytes of a body that has been read, which are reserved until they are dropped.
#[derive(Debug)]
struct HeldBytes {
    bytes: Segment,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes.0
    }
}

/// Bytes that never allocate more than they have reserved.
///
/// As long as they are few, they are kept in segments: small allocations that grow leave gaps between
/// them which nothing else fits in.
#[derive(Debug)]
pub(in crate::body) struct GrowingBytes {
    segments: Vec<Segment>,
    len: usize,
    reservation: Reservation,
}

impl GrowingBytes {
    pub(in crate::body) fn new(budget: &sync::Arc<BodyBudget>) -> Self {
        let reservation = Reservation {
            budget: budget.clone(),
            bytes: 0,
        };
        Self {
            segments: Vec::new(),
            len: 0,
            reservation,
        }
    }

    /// Returns the number of bytes that have been appended.
    pub(in crate::body) const fn received_bytes(&self) -> usize {
        self.len
    }

    /// Allocates `missing` bytes, for which it waits a while; returns false if there is no room.
    pub(in crate::body) async fn wait_for_room(&mut self, missing: usize) -> bool {
        if self.allocate(missing, 0) {
            return true;
        }
        let budget = self.reservation.budget.clone();
        budget.wait_for(missing).await;
        self.allocate(missing, 0)
    }

    /// Appends a piece; returns false if there is no room beside `kept_bytes`.
    pub(in crate::body) fn push(&mut self, piece: &[u8], kept_bytes: usize) -> bool {
        let missing = piece.len().saturating_sub(self.spare());
        let wished = missing.max(self.len.clamp(STEP_MIN_BYTES, STEP_MAX_BYTES));
        let has_room =
            missing == 0 || self.allocate(wished, kept_bytes) || self.allocate(missing, kept_bytes);
        if has_room {
            self.append(piece);
        }
        has_room
    }

    /// Returns what fits into the segments that have room.
    fn spare(&self) -> usize {
        self.reservation.bytes - self.len
    }

    /// Allocates so many bytes besides.
    pub(in crate::body) fn allocate(&mut self, bytes: usize, kept_bytes: usize) -> bool {
        let is_reserved = self.reservation.budget.try_reserve(bytes, kept_bytes);
        if is_reserved && bytes > 0 {
            self.reservation.bytes += bytes;
            self.add_capacity(bytes);
        }
        is_reserved
    }

    fn add_capacity(&mut self, bytes: usize) {
        if self.reservation.bytes < OWN_PAGES_MIN_BYTES {
            self.segments.push(Segment::with_capacity(bytes));
            return;
        }
        let mut joined = self.take_joined();
        joined.0.reserve_exact(self.reservation.bytes - self.len);
        self.segments.push(joined);
    }

    /// Fills the last two segments, of which only one has been begun.
    fn append(&mut self, piece: &[u8]) {
        self.len += piece.len();
        let mut rest = piece;
        let first = self.segments.len().saturating_sub(2);
        for segment in &mut self.segments[first..] {
            let fitting = rest.len().min(segment.spare());
            segment.0.extend_from_slice(&rest[..fitting]);
            rest = &rest[fitting..];
        }
    }

    /// Takes all bytes in one segment, which is copied as long as they are few.
    fn take_joined(&mut self) -> Segment {
        let mut segments = mem::take(&mut self.segments);
        if segments.len() <= 1 {
            return segments.pop().unwrap_or_default();
        }
        let mut joined = Segment::with_capacity(self.len);
        for segment in segments {
            joined.0.extend_from_slice(&segment.0);
        }
        joined
    }

    /// Returns the bytes, which stay reserved until their last copy is dropped.
    pub(in crate::body) fn into_bytes(mut self) -> Bytes {
        let bytes = self.take_joined();
        Bytes::from_owner(HeldBytes {
            bytes,
            _reservation: self.reservation,
        })
    }
}
