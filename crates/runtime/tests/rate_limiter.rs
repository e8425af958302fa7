//! The rate limiter keeps its rate, also for callers that wake late.

use std::time;

use pimentohook_core::size;
use pimentohook_runtime::rate_limiter;

const RATE: size::ByteRate = size::ByteRate::new(16 << 20);
const PIECE: size::ByteCount = size::ByteCount::new(8 << 10);
const PIECE_COUNT: u32 = 512;

/// Acquires pieces one after the other, each `late` after the one before has passed; returns how long
/// they took.
fn acquire_pieces(late: time::Duration) -> time::Duration {
    let limiter = rate_limiter::RateLimiter::new(RATE);
    let start = time::Instant::now();
    let mut now = start;
    for _ in 0..PIECE_COUNT {
        now = now.max(limiter.reserve(now, PIECE)) + late;
    }
    now.duration_since(start)
}

/// A timer that wakes 0.4 ms late after each piece of 0.5 ms cut the rate of a single transfer by almost
/// half.
#[test]
fn a_caller_that_wakes_late_after_each_piece_reaches_the_rate() {
    let late = time::Duration::from_micros(400);
    let ideal = RATE.duration_of(PIECE) * PIECE_COUNT;
    let taken = acquire_pieces(late);
    assert!(
        taken <= ideal + time::Duration::from_millis(10),
        "{taken:?}"
    );
    assert!(
        taken + time::Duration::from_millis(10) >= ideal,
        "{taken:?}"
    );
}

#[test]
fn time_that_passed_unused_is_made_up_for_only_a_little() {
    let limiter = rate_limiter::RateLimiter::new(RATE);
    let later = time::Instant::now() + time::Duration::from_secs(10);
    let copy = size::ByteCount::new(1 << 20);
    let passed_at = limiter.reserve(later, copy);
    let taken = passed_at.duration_since(later);
    let ideal = RATE.duration_of(copy);
    assert!(taken + time::Duration::from_millis(5) >= ideal, "{taken:?}");
}
