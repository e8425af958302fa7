//! An entry's statistics of one upstream, readable without a lock.
//!
//! The score combines two exponentially weighted moving averages of the latency: a mean, and a tail
//! estimate that rises fast and falls slowly. It grows with the number of this entry's own requests
//! in flight. A lower score is better. `docs/DESIGN.md` describes the alternatives that were tried.

use std::{sync::atomic, time};

// Weights of a new latency sample in the moving averages.
const MEAN_RISE_WEIGHT: f64 = 0.4;
const MEAN_FALL_WEIGHT: f64 = 0.2;
const TAIL_RISE_WEIGHT: f64 = 0.5;
const TAIL_FALL_WEIGHT: f64 = 0.05;
/// Share of the mean in the latency that the score is computed from; the rest is the tail.
const MEAN_SHARE: f64 = 0.6;
/// Weight of a new sample in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.3;
/// How strongly the failure rate increases the score.
const FAILURE_PENALTY: f64 = 8.0;

const INITIAL_LATENCY_MS: f64 = 1.0;
/// The latency that a failure is recorded with.
const FAILURE_LATENCY_MS: f64 = 1_000.0;
/// Number of consecutive failures that eject an upstream.
const EJECTION_FAILURE_COUNT: u64 = 3;
const EJECTION_DURATION_MS: u64 = 2_000;

/// A floating-point number stored in an atomic integer.
#[derive(Debug)]
struct AtomicFloat(atomic::AtomicU64);

impl AtomicFloat {
    fn new(value: f64) -> Self {
        Self(atomic::AtomicU64::new(value.to_bits()))
    }

    fn get(&self) -> f64 {
        f64::from_bits(self.0.load(atomic::Ordering::Relaxed))
    }

    /// Moves the average towards a sample. Concurrent calls may lose a sample, which is harmless.
    fn add_sample(&self, sample: f64, weight: f64) {
        let value = self.get();
        let updated = value + weight * (sample - value);
        self.0.store(updated.to_bits(), atomic::Ordering::Relaxed);
    }
}

/// One entry's statistics of one upstream.
#[derive(Debug)]
pub struct UpstreamStats {
    in_flight: atomic::AtomicU64,
    slot_count: atomic::AtomicU64,
    mean_ms: AtomicFloat,
    tail_ms: AtomicFloat,
    failure_rate: AtomicFloat,
    consecutive_failures: atomic::AtomicU64,
    ejected_until_ms: atomic::AtomicU64,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        Self {
            in_flight: atomic::AtomicU64::new(0),
            slot_count: atomic::AtomicU64::new(1),
            mean_ms: AtomicFloat::new(INITIAL_LATENCY_MS),
            tail_ms: AtomicFloat::new(INITIAL_LATENCY_MS),
            failure_rate: AtomicFloat::new(0.0),
            consecutive_failures: atomic::AtomicU64::new(0),
            ejected_until_ms: atomic::AtomicU64::new(0),
        }
    }
}

impl UpstreamStats {
    /// Records that a request was sent.
    pub fn record_start(&self) {
        self.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Records that a request is no longer in flight, whether it succeeded or failed.
    pub fn record_end(&self) {
        self.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Records a success and the time until its response began.
    pub fn record_success(&self, latency: time::Duration) {
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let mean_weight = weight_for(
            latency_ms > self.mean_ms.get(),
            MEAN_RISE_WEIGHT,
            MEAN_FALL_WEIGHT,
        );
        let tail_weight = weight_for(
            latency_ms > self.tail_ms.get(),
            TAIL_RISE_WEIGHT,
            TAIL_FALL_WEIGHT,
        );
        self.mean_ms.add_sample(latency_ms, mean_weight);
        self.tail_ms.add_sample(latency_ms, tail_weight);
        self.failure_rate.add_sample(0.0, FAILURE_RATE_WEIGHT);
        self.consecutive_failures
            .store(0, atomic::Ordering::Relaxed);
    }

    /// Records a failure of the upstream; several consecutive ones eject it for a while.
    pub fn record_failure(&self, now_ms: u64) {
        self.failure_rate.add_sample(1.0, FAILURE_RATE_WEIGHT);
        // Otherwise an upstream that never responds would keep its low initial latency and be
        // preferred to all others.
        self.mean_ms
            .add_sample(FAILURE_LATENCY_MS, MEAN_RISE_WEIGHT);
        self.tail_ms
            .add_sample(FAILURE_LATENCY_MS, TAIL_RISE_WEIGHT);
        let failures = self
            .consecutive_failures
            .fetch_add(1, atomic::Ordering::Relaxed)
            + 1;
        if failures >= EJECTION_FAILURE_COUNT {
            self.ejected_until_ms
                .store(now_ms + EJECTION_DURATION_MS, atomic::Ordering::Relaxed);
        }
    }

    /// Records how many requests the engine runs concurrently.
    pub fn record_slot_count(&self, slot_count: u32) {
        self.slot_count
            .store(u64::from(slot_count.max(1)), atomic::Ordering::Relaxed);
    }

    /// Returns whether the upstream is ejected at `now_ms`.
    #[must_use]
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms.load(atomic::Ordering::Relaxed) > now_ms
    }

    /// Returns the score; lower is better.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
    pub fn score(&self) -> f64 {
        let mean = MEAN_SHARE * self.mean_ms.get();
        let tail = (1.0 - MEAN_SHARE) * self.tail_ms.get();
        // Counts only this entry's own requests. The load that other entries cause is known too
        // late and would direct all entries to the same upstreams until the next report.
        let running = self.in_flight.load(atomic::Ordering::Relaxed) as f64;
        let slots = self.slot_count.load(atomic::Ordering::Relaxed) as f64;
        let load = running / slots;
        let inflation = 1.0 + running + load * load * slots;
        (mean + tail) * inflation * (1.0 + FAILURE_PENALTY * self.failure_rate.get())
    }
}

fn weight_for(rises: bool, rise_weight: f64, fall_weight: f64) -> f64 {
    if rises { rise_weight } else { fall_weight }
}
