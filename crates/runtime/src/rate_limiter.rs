//! A rate limiter for bytes.

use std::{sync, time};

use pimentohook_core::size;
use tokio::time as tokio_time;

/// How much time that passed unused may be made up for. Timers wake late, so that a caller which
/// acquires small amounts one after the other would stay far below the rate without this.
const CATCH_UP_MAX: time::Duration = time::Duration::from_millis(5);

/// Limits the rate of bytes, in the order in which callers acquire them.
#[derive(Debug)]
pub struct RateLimiter {
    rate: size::ByteRate,
    available_at: sync::Mutex<time::Instant>,
}

impl RateLimiter {
    /// Creates a rate limiter.
    #[must_use]
    pub fn new(rate: size::ByteRate) -> Self {
        let available_at = sync::Mutex::new(time::Instant::now());
        Self { rate, available_at }
    }

    /// Waits until `amount`, after the amounts of all earlier callers, has passed at the rate.
    pub async fn acquire(&self, amount: size::ByteCount) {
        let reserved_until = self.reserve(time::Instant::now(), amount);
        tokio_time::sleep_until(tokio_time::Instant::from_std(reserved_until)).await;
    }

    /// Reserves `amount` after the amounts of all earlier callers; returns when it has passed.
    pub fn reserve(&self, now: time::Instant, amount: size::ByteCount) -> time::Instant {
        let mut available_at = self
            .available_at
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let earliest = now.checked_sub(CATCH_UP_MAX).unwrap_or(now);
        *available_at = (*available_at).max(earliest) + self.rate.duration_of(amount);
        *available_at
    }
}
