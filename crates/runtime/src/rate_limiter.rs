//! A rate limiter for bytes.

use std::{sync, time};

use pimentohook_core::size;
use tokio::time as tokio_time;

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
        let reserved_until = self.reserve(amount);
        tokio_time::sleep_until(tokio_time::Instant::from_std(reserved_until)).await;
    }

    fn reserve(&self, amount: size::ByteCount) -> time::Instant {
        let now = time::Instant::now();
        let mut available_at = self
            .available_at
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *available_at = (*available_at).max(now) + self.rate.duration_of(amount);
        *available_at
    }
}
