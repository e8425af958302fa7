//! The permits that the coordinator of an upstream grants: a token bucket.
//!
//! Entries that are denied a permit are told when to ask again. The more often they ask, the longer
//! they are told to wait, so the number of messages at a coordinator is bounded by the rate of
//! permits and not by the number of entries.

use std::time;

use super::rate;

/// The permits that accumulate while no entry asks, as a time at the granted rate.
const DEPTH: time::Duration = time::Duration::from_millis(250);
/// The minimum number of permits that accumulate.
const DEPTH_MIN: f64 = 2.0;
/// How long an entry may hold a permit.
pub const PERMIT_LIFETIME: time::Duration = time::Duration::from_millis(400);

const ASK_WINDOW: time::Duration = time::Duration::from_secs(1);
/// The number of messages per second above which entries are told to wait longer; at higher rates of
/// permits, the number of permits.
const ASKS_PER_S_MIN: f64 = 50.0;
const EXTRA_WAIT_MIN: time::Duration = time::Duration::from_millis(50);
const EXTRA_WAIT_MAX: time::Duration = time::Duration::from_mins(2);
const EXTRA_WAIT_GROWTH_MAX: f64 = 4.0;
/// The longest time that an entry is told to wait for the next permit, so that it notices changes.
const NEXT_PERMIT_MAX: time::Duration = time::Duration::from_secs(4);

/// The reply to an entry that asks for permits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The number of granted permits.
    pub count: u32,
    /// How long the entry should wait before it asks again.
    pub retry_after: time::Duration,
}

/// The permits for one upstream.
#[derive(Clone, Debug)]
pub struct PermitBucket {
    permits: f64,
    filled_at: time::Instant,
    ask_count: u32,
    window_started_at: time::Instant,
    /// The longest time that is added to the wait of an entry.
    extra_wait: time::Duration,
}

impl PermitBucket {
    /// Creates an empty bucket. Another entry may have granted all permits up to now.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self {
            permits: 0.0,
            filled_at: now,
            ask_count: 0,
            window_started_at: now,
            extra_wait: time::Duration::ZERO,
        }
    }

    /// Grants up to `wanted` permits of those that accumulate at a rate; returns the bucket after
    /// it. `draw` is a random number that is uniformly distributed between 0 and 1.
    #[must_use]
    pub fn grant(
        &self,
        now: time::Instant,
        rate: rate::RequestRate,
        wanted: u32,
        draw: f64,
    ) -> (Self, Grant) {
        let mut after = self.clone();
        after.fill(now, rate);
        after.count_ask(now, rate);
        let lifetime_permits = rate.per_second() * PERMIT_LIFETIME.as_secs_f64();
        let max = whole(lifetime_permits).max(1).min(wanted);
        let count = whole(after.permits).min(max);
        after.permits -= f64::from(count);
        let next_permit = if count < wanted {
            time_until(1.0 - after.permits, rate)
        } else {
            time::Duration::ZERO
        };
        let extra_wait = after.extra_wait.mul_f64(draw.clamp(0.0, 1.0));
        let retry_after = next_permit + extra_wait;
        (after, Grant { count, retry_after })
    }

    fn fill(&mut self, now: time::Instant, rate: rate::RequestRate) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let depth = (rate.per_second() * DEPTH.as_secs_f64()).max(DEPTH_MIN);
        let added = rate.per_second() * elapsed.as_secs_f64();
        self.permits = (self.permits + added).min(depth);
        self.filled_at = self.filled_at.max(now);
    }

    fn count_ask(&mut self, now: time::Instant, rate: rate::RequestRate) {
        let window = now.saturating_duration_since(self.window_started_at);
        if window < ASK_WINDOW {
            self.ask_count = self.ask_count.saturating_add(1);
            return;
        }
        let asks_per_s = f64::from(self.ask_count) / window.as_secs_f64();
        let target = rate.per_second().max(ASKS_PER_S_MIN);
        self.extra_wait = next_extra_wait(self.extra_wait, asks_per_s / target);
        self.ask_count = 1;
        self.window_started_at = now;
    }
}

/// Returns the extra wait after a window in which entries asked `load` times the desired rate.
fn next_extra_wait(before: time::Duration, load: f64) -> time::Duration {
    if load > 1.0 {
        let grown = before.max(EXTRA_WAIT_MIN);
        return grown
            .mul_f64(load.min(EXTRA_WAIT_GROWTH_MAX))
            .min(EXTRA_WAIT_MAX);
    }
    if load > 0.5 {
        return before;
    }
    let shrunk = before / 2;
    if shrunk < EXTRA_WAIT_MIN / 2 {
        time::Duration::ZERO
    } else {
        shrunk
    }
}

/// Returns how long it takes until `missing` permits have accumulated.
pub(super) fn time_until(missing: f64, rate: rate::RequestRate) -> time::Duration {
    let seconds = missing.max(0.0) / rate.per_second();
    time::Duration::try_from_secs_f64(seconds)
        .unwrap_or(NEXT_PERMIT_MAX)
        .min(NEXT_PERMIT_MAX)
}

/// Returns the number of whole permits.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "never negative, and a cast of larger floats saturates"
)]
pub(super) const fn whole(permits: f64) -> u32 {
    permits as u32
}
