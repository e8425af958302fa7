//! The recent refusal rate of a service, and the retry delay that refused callers are given.
//!
//! Requests are refused while engines are loading weights or when there are too few engines. A
//! caller retries once. At a low refusal rate it is likely to be admitted at once, and its first
//! token may still come in time. At a high rate an early retry would be refused again, so the
//! caller is given a delay long enough for the other requests to be served. Delays are randomised
//! so that callers do not retry together.

use std::{sync::atomic, time};

use crate::rank;

/// Number of buckets in the sliding window that refusals are counted in.
const BUCKET_COUNT: u32 = 4;
const BUCKET_MS: u64 = 250;

/// Below this refusal rate, in percent, a retry is likely to be admitted at once.
const LOW_PERCENT: u32 = 8;
/// From this refusal rate on, in percent, the delay before jitter is [`HIGH_DELAY_MAX`].
const HIGH_PERCENT: u32 = 25;

const LOW_DELAY: time::Duration = time::Duration::from_millis(60);
const HIGH_DELAY_MIN: time::Duration = time::Duration::from_millis(500);
const HIGH_DELAY_MAX: time::Duration = time::Duration::from_secs(2);

/// A delay is at most the caller's remaining time divided by this.
const REMAINING_DIVISOR: u32 = 3;
/// Share of a delay that is subject to random jitter, in percent.
const JITTER_PERCENT: u32 = 30;
const PERCENT_SCALE: u32 = 100;

/// The refusal rate of one service over a sliding window of one second.
#[derive(Debug, Default)]
pub struct RefusalRate {
    buckets: [atomic::AtomicU64; BUCKET_COUNT as usize],
}

/// The refusal rates of one service, by the priority of requests.
#[derive(Debug, Default)]
pub struct Rates {
    without_priority: RefusalRate,
    by_priority: [RefusalRate; rank::Priority::COUNT],
    over_share: RefusalRate,
}

impl Rates {
    /// Returns the refusal rate of requests of organisations that have had more than their shares.
    #[must_use]
    pub const fn over_share(&self) -> &RefusalRate {
        &self.over_share
    }

    /// Returns the refusal rate of requests with a priority, or of those without one.
    #[must_use]
    pub fn of(&self, priority: Option<rank::Priority>) -> &RefusalRate {
        priority.map_or(&self.without_priority, |priority| {
            &self.by_priority[priority.index()]
        })
    }
}

/// The requests counted in one time bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Bucket {
    /// The number of the bucket since the start of the process.
    index: u32,
    total: u16,
    refused: u16,
}

impl Bucket {
    fn unpack(packed: u64) -> Self {
        let [_, _, _, _, total @ .., refused_high, refused_low] = packed.to_be_bytes();
        Self {
            index: u32::try_from(packed >> 32).unwrap_or(u32::MAX),
            total: u16::from_be_bytes(total),
            refused: u16::from_be_bytes([refused_high, refused_low]),
        }
    }

    fn pack(self) -> u64 {
        u64::from(self.index) << 32 | u64::from(self.total) << 16 | u64::from(self.refused)
    }
}

fn bucket_index(now_ms: u64) -> u32 {
    u32::try_from(now_ms / BUCKET_MS).unwrap_or(u32::MAX)
}

impl RefusalRate {
    /// Records that a request was served or refused at `now_ms`, in milliseconds since the start of
    /// the process.
    pub fn record(&self, now_ms: u64, is_refused: bool) {
        let index = bucket_index(now_ms);
        let bucket = &self.buckets[(index % BUCKET_COUNT) as usize];
        let count = |packed| {
            let mut updated = Bucket::unpack(packed);
            if updated.index != index {
                updated = Bucket {
                    index,
                    ..Bucket::default()
                };
            }
            updated.total = updated.total.saturating_add(1);
            updated.refused = updated.refused.saturating_add(u16::from(is_refused));
            Some(updated.pack())
        };
        let ordering = atomic::Ordering::Relaxed;
        // The closure always returns `Some`, so the update can't fail.
        let _ = bucket.fetch_update(ordering, ordering, count);
    }

    /// Returns the share of requests that were refused within the last second, in percent.
    #[must_use]
    pub fn refused_percent(&self, now_ms: u64) -> u32 {
        let newest = bucket_index(now_ms);
        let buckets = self.buckets.iter();
        let buckets = buckets.map(|bucket| Bucket::unpack(bucket.load(atomic::Ordering::Relaxed)));
        let recent = buckets.filter(|bucket| newest.saturating_sub(bucket.index) < BUCKET_COUNT);
        let (total, refused) = recent.fold((0, 0), |(total, refused), bucket| {
            (
                total + u32::from(bucket.total),
                refused + u32::from(bucket.refused),
            )
        });
        (refused * PERCENT_SCALE).checked_div(total).unwrap_or(0)
    }

    /// Returns the delay after which a caller that is refused now should retry.
    ///
    /// `remaining` is the time until the caller's deadline, and `draw` is a random number that is
    /// uniformly distributed between 0 and 1.
    #[must_use]
    pub fn retry_after(&self, now_ms: u64, remaining: time::Duration, draw: f64) -> time::Duration {
        let percent = self.refused_percent(now_ms);
        let delay_max = if percent < LOW_PERCENT {
            LOW_DELAY
        } else {
            let share = f64::from(percent.min(HIGH_PERCENT)) / f64::from(HIGH_PERCENT);
            HIGH_DELAY_MIN + HIGH_DELAY_MAX.saturating_sub(HIGH_DELAY_MIN).mul_f64(share)
        };
        let jitter = delay_max * JITTER_PERCENT / PERCENT_SCALE;
        let delay = delay_max.saturating_sub(jitter.mul_f64(draw.clamp(0.0, 1.0)));
        delay.min(remaining / REMAINING_DIVISOR)
    }
}
