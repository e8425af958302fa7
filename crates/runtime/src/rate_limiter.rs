//! Pacing of bytes to a rate.

use std::{sync, time};

use pimentohook_core::size;
use tokio::time as tokio_time;

/// Lets bytes pass at a rate, in the order in which they ask.
#[derive(Debug)]
pub struct RateLimiter {
    rate: size::ByteRate,
    free_at: sync::Mutex<time::Instant>,
}

impl RateLimiter {
    /// Creates a rate limiter.
    #[must_use]
    pub fn new(rate: size::ByteRate) -> Self {
        let free_at = sync::Mutex::new(time::Instant::now());
        Self { rate, free_at }
    }

    /// Waits until `amount` has passed.
    pub async fn acquire(&self, amount: size::ByteCount) {
        let until = self.reserve(amount);
        tokio_time::sleep_until(tokio_time::Instant::from_std(until)).await;
    }

    fn reserve(&self, amount: size::ByteCount) -> time::Instant {
        let now = time::Instant::now();
        let mut free_at = self
            .free_at
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *free_at = (*free_at).max(now) + self.rate.duration_of(amount);
        *free_at
    }
}
