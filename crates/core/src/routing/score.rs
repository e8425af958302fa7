//! What an entry has learned of one agent, readable without a lock.
//!
//! The score mixes a mean with a tail that rises fast and falls slowly, and inflates with the
//! entry's own requests in flight. Lower is better. `docs/DESIGN.md` says what was tried besides.

use std::{sync::atomic, time};

const MEAN_UP: f64 = 0.4;
const MEAN_DOWN: f64 = 0.2;
const TAIL_UP: f64 = 0.5;
const TAIL_DOWN: f64 = 0.05;
const MEAN_SHARE: f64 = 0.6;
const FAILURE_STEP: f64 = 0.3;
const FAILURE_WEIGHT: f64 = 8.0;
const INITIAL_MS: f64 = 1.0;
const FAILURE_MS: f64 = 1_000.0;
const FAILURES_TO_EJECT: u64 = 3;
const EJECTION_MS: u64 = 2_000;

/// A float kept in an atomic.
#[derive(Debug)]
struct AtomicFloat(atomic::AtomicU64);

impl AtomicFloat {
    fn new(value: f64) -> Self {
        Self(atomic::AtomicU64::new(value.to_bits()))
    }

    fn get(&self) -> f64 {
        f64::from_bits(self.0.load(atomic::Ordering::Relaxed))
    }

    /// Moves the value towards a sample; a lost race loses one sample, which is harmless.
    fn approach(&self, sample: f64, step: f64) {
        let value = self.get();
        let moved = value + step * (sample - value);
        self.0.store(moved.to_bits(), atomic::Ordering::Relaxed);
    }
}

/// The record of one agent at one entry.
#[derive(Debug)]
pub struct UpstreamStats {
    in_flight: atomic::AtomicU64,
    slot_count: atomic::AtomicU64,
    mean_ms: AtomicFloat,
    tail_ms: AtomicFloat,
    failure_rate: AtomicFloat,
    failures_in_row: atomic::AtomicU64,
    ejected_until_ms: atomic::AtomicU64,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        Self {
            in_flight: atomic::AtomicU64::new(0),
            slot_count: atomic::AtomicU64::new(1),
            mean_ms: AtomicFloat::new(INITIAL_MS),
            tail_ms: AtomicFloat::new(INITIAL_MS),
            failure_rate: AtomicFloat::new(0.0),
            failures_in_row: atomic::AtomicU64::new(0),
            ejected_until_ms: atomic::AtomicU64::new(0),
        }
    }
}

impl UpstreamStats {
    /// Records that a request was sent.
    pub fn record_start(&self) {
        self.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Records that a request has left, however it ended.
    pub fn record_end(&self) {
        self.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Records the time that an answer took to begin.
    pub fn record_success(&self, latency: time::Duration) {
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let mean_step = step_for(latency_ms > self.mean_ms.get(), MEAN_UP, MEAN_DOWN);
        let tail_step = step_for(latency_ms > self.tail_ms.get(), TAIL_UP, TAIL_DOWN);
        self.mean_ms.approach(latency_ms, mean_step);
        self.tail_ms.approach(latency_ms, tail_step);
        self.failure_rate.approach(0.0, FAILURE_STEP);
        self.failures_in_row.store(0, atomic::Ordering::Relaxed);
    }

    /// Records a failure of the agent; several in a row eject it for a while.
    pub fn record_failure(&self, now_ms: u64) {
        self.failure_rate.approach(1.0, FAILURE_STEP);
        // An agent that never answered would otherwise look faster than all others.
        self.mean_ms.approach(FAILURE_MS, MEAN_UP);
        self.tail_ms.approach(FAILURE_MS, TAIL_UP);
        let in_row = self.failures_in_row.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        if in_row >= FAILURES_TO_EJECT {
            self.ejected_until_ms
                .store(now_ms + EJECTION_MS, atomic::Ordering::Relaxed);
        }
    }

    /// Takes in how many requests the engine runs at once.
    pub fn record_slot_count(&self, slot_count: u32) {
        self.slot_count
            .store(u64::from(slot_count.max(1)), atomic::Ordering::Relaxed);
    }

    /// Returns whether the agent is out of the choice at present.
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
        // Only the own requests count: what others sent is known too late, and leads all entries
        // to the same agents until the next report.
        let running = self.in_flight.load(atomic::Ordering::Relaxed) as f64;
        let slots = self.slot_count.load(atomic::Ordering::Relaxed) as f64;
        let load = running / slots;
        let inflation = 1.0 + running + load * load * slots;
        (mean + tail) * inflation * (1.0 + FAILURE_WEIGHT * self.failure_rate.get())
    }
}

fn step_for(rises: bool, up: f64, down: f64) -> f64 {
    if rises { up } else { down }
}
