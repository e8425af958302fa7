//! Tests of the age of what an entry has cached.

use std::time;

use pimentohook_core::clock::BootInstant;
use pimentohook_entry::direct::cache;

const fn seconds(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

/// An entry whose VM had been suspended took its configuration for younger by that time, and
/// responded that new routes and keys don't exist.
#[test]
fn the_age_of_what_is_cached_counts_the_time_of_a_suspension() {
    let cached = cache::CachedCollection::default();
    let confirmed_at = BootInstant::from_boot(seconds(100));
    assert_eq!(cached.age(confirmed_at), None);
    cached.confirm(confirmed_at);
    cached.confirm(BootInstant::from_boot(seconds(90)));
    let resumed_at = confirmed_at + seconds(4);
    assert_eq!(cached.age(resumed_at), Some(seconds(4)));
}
