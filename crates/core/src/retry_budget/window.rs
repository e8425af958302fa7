//! Counts of the requests and retries in a sliding window.

use std::{array, sync::atomic, time};

/// The number of intervals that a window is divided into.
const INTERVAL_COUNT: u64 = 40;
/// The intervals of a window, and the one that it has begun to leave.
const SLOT_COUNT: usize = 41;

/// Sliding counts. Requests are counted for slightly less than the window and retries for slightly
/// more.
#[derive(Debug)]
pub(super) struct Window {
    interval_ms: u64,
    slots: [atomic::AtomicU64; SLOT_COUNT],
}

/// The counts of an interval, kept in 64 bits.
#[derive(Clone, Copy)]
struct Counts {
    /// The number of the interval.
    interval: u32,
    request_count: u16,
    retry_count: u16,
}

impl Counts {
    fn unpack(packed: u64) -> Self {
        let [
            interval @ ..,
            request_high,
            request_low,
            retry_high,
            retry_low,
        ] = packed.to_be_bytes();
        Self {
            interval: u32::from_be_bytes(interval),
            request_count: u16::from_be_bytes([request_high, request_low]),
            retry_count: u16::from_be_bytes([retry_high, retry_low]),
        }
    }

    fn pack(self) -> u64 {
        let counts = u64::from(self.request_count) << 16 | u64::from(self.retry_count);
        u64::from(self.interval) << 32 | counts
    }
}

impl Window {
    pub(super) fn new(length: time::Duration) -> Self {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        Self {
            interval_ms: length_ms.div_ceil(INTERVAL_COUNT).max(1),
            slots: array::from_fn(|_| atomic::AtomicU64::new(0)),
        }
    }

    pub(super) fn add_request(&self, now_ms: u64) {
        self.change(now_ms, |counts| {
            counts.request_count = counts.request_count.saturating_add(1);
        });
    }

    pub(super) fn add_retry(&self, now_ms: u64) {
        self.change(now_ms, |counts| {
            counts.retry_count = counts.retry_count.saturating_add(1);
        });
    }

    pub(super) fn remove_retry(&self, now_ms: u64) {
        self.change(now_ms, |counts| {
            counts.retry_count = counts.retry_count.saturating_sub(1);
        });
    }

    pub(super) fn request_count(&self, now_ms: u64) -> u64 {
        self.sum(now_ms, INTERVAL_COUNT, |counts| counts.request_count)
    }

    pub(super) fn retry_count(&self, now_ms: u64) -> u64 {
        self.sum(now_ms, INTERVAL_COUNT + 1, |counts| counts.retry_count)
    }

    fn interval(&self, now_ms: u64) -> u32 {
        u32::try_from(now_ms / self.interval_ms).unwrap_or(u32::MAX)
    }

    fn change<C>(&self, now_ms: u64, change: C)
    where
        C: Fn(&mut Counts),
    {
        let interval = self.interval(now_ms);
        let slot = &self.slots[interval as usize % SLOT_COUNT];
        let ordering = atomic::Ordering::AcqRel;
        let changed = |packed| {
            let mut counts = Counts::unpack(packed);
            if counts.interval < interval {
                counts = Counts {
                    interval,
                    request_count: 0,
                    retry_count: 0,
                };
            }
            change(&mut counts);
            Some(counts.pack())
        };
        slot.fetch_update(ordering, atomic::Ordering::Acquire, changed)
            .ok();
    }

    /// Sums a count over the last intervals, the present one included.
    fn sum(&self, now_ms: u64, interval_count: u64, count: fn(&Counts) -> u16) -> u64 {
        let interval = u64::from(self.interval(now_ms));
        let is_counted = |counts: &Counts| u64::from(counts.interval) + interval_count > interval;
        let slots = self.slots.iter();
        let counts = slots.map(|slot| Counts::unpack(slot.load(atomic::Ordering::Acquire)));
        let counted = counts.filter(is_counted);
        counted.map(|counts| u64::from(count(&counts))).sum()
    }
}
