//! The times that the requests of a route take.

use std::{sync::atomic, time};

const PER_MILLE: u32 = 1_000;
/// The number of buckets in which a time doubles.
const BUCKETS_PER_DOUBLING: u32 = 4;
/// The last bucket begins at about 65 s.
const BUCKET_COUNT: usize = 64;
/// With fewer requests nothing is known of their times.
const SAMPLES_MIN: u32 = 20;
/// When this many requests are counted, all counts are halved.
const SAMPLES_MAX: u32 = 2_000;

/// The times that the requests of a route have taken, the last thousand or so.
#[derive(Debug)]
pub struct Times {
    counts: [atomic::AtomicU32; BUCKET_COUNT],
    total: atomic::AtomicU32,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            counts: std::array::from_fn(|_| atomic::AtomicU32::new(0)),
            total: atomic::AtomicU32::new(0),
        }
    }
}

impl Times {
    /// Records the time of a request that has ended.
    pub fn record(&self, taken: time::Duration) {
        let ordering = atomic::Ordering::Relaxed;
        self.counts[bucket(taken)].fetch_add(1, ordering);
        if self.total.fetch_add(1, ordering) + 1 == SAMPLES_MAX {
            self.halve();
        }
    }

    /// Returns the time within which `per_mille` thousandths of the requests ended; `None` if too few
    /// are known.
    #[must_use]
    pub fn within(&self, per_mille: u32) -> Option<time::Duration> {
        let counts = self.counts.iter();
        let counts: Vec<u32> = counts
            .map(|count| count.load(atomic::Ordering::Relaxed))
            .collect();
        let total: u32 = counts.iter().sum();
        if total < SAMPLES_MIN {
            return None;
        }
        let wanted = (total * per_mille).div_ceil(PER_MILLE);
        let mut seen = 0;
        for (index, count) in counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return Some(upper_edge(index));
            }
        }
        None
    }

    /// Halves the counts, upwards, so that a rare long time is kept.
    fn halve(&self) {
        let ordering = atomic::Ordering::Relaxed;
        let mut total = 0;
        for count in &self.counts {
            let kept = count.load(ordering).div_ceil(2);
            count.store(kept, ordering);
            total += kept;
        }
        self.total.store(total, ordering);
    }
}

fn bucket(taken: time::Duration) -> usize {
    (0..BUCKET_COUNT - 1)
        .find(|index| taken <= upper_edge(*index))
        .unwrap_or(BUCKET_COUNT - 1)
}

fn upper_edge(index: usize) -> time::Duration {
    let doublings = u32::try_from(index).unwrap_or(u32::MAX) / BUCKETS_PER_DOUBLING;
    let step = u32::try_from(index).unwrap_or(u32::MAX) % BUCKETS_PER_DOUBLING;
    let begin = time::Duration::from_millis(1 << doublings);
    begin + begin * (step + 1) / BUCKETS_PER_DOUBLING
}
