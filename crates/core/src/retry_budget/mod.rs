//! The retry budget of a service, which all entries of a fleet use together.
//!
//! In any window of time, all entries together may send a percentage of the requests, and a burst,
//! to the upstreams of a service beyond the first attempts. The percentage needs no agreement: each
//! entry counts its own requests, in [`RetryBudget`]. The burst is divided among the entries, in
//! [`BurstShare`]. An entry can't know what was sent under its name before it started, so its share
//! is small at first, and a larger one counts only after a whole window. Two starts within a window
//! are allowed for; what more of them add is small beside the percentage that is not used.
//!
//! The load that this answers: all VMs lose power and start again at full traffic, and upstreams
//! reject what is sent by an old list.
//!
//! ```
//! use std::time;
//!
//! use pimentohook_core::retry_budget::RetryBudget;
//!
//! let budget = RetryBudget::new(20, time::Duration::from_secs(10));
//! assert!(!budget.try_withdraw(0, 0));
//! for _ in 0..5 {
//!     budget.record_request(100);
//! }
//! assert!(budget.try_withdraw(200, 0));
//! assert!(!budget.try_withdraw(300, 0));
//! ```

mod burst_share;
mod window;

use std::time;

pub use burst_share::BurstShare;

/// Hundredths in one retry.
const HUNDREDTHS: u64 = 100;

/// What one entry has sent to the upstreams of a service in the last window.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    window: window::Window,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each hundred requests of a window.
    #[must_use]
    pub fn new(percent: u64, window: time::Duration) -> Self {
        Self {
            percent,
            window: window::Window::new(window),
        }
    }

    /// Counts a caller's request; `now_ms` is the time since the entry started.
    pub fn record_request(&self, now_ms: u64) {
        self.window.add_request(now_ms);
    }

    /// Withdraws one retry; returns `false` if the last window's requests and the burst share, in
    /// hundredths of a retry, don't allow it.
    pub fn try_withdraw(&self, now_ms: u64, burst_hundredths: u64) -> bool {
        // Withdrawn before the check, so that of two at once at most one passes.
        self.window.add_retry(now_ms);
        let allowed_hundredths =
            self.percent * self.window.request_count(now_ms) + burst_hundredths;
        let is_allowed = self.window.retry_count(now_ms) * HUNDREDTHS <= allowed_hundredths;
        if !is_allowed {
            self.window.remove_retry(now_ms);
        }
        is_allowed
    }
}
