//! The timing with which an entry follows each kind of objects.

use std::time;

use pimentohook_core::follow_timing::FollowTiming;
use pimentohook_platform::store;

use super::sources;
use crate::direct::app;

/// The delay after a change, so that changes close together are fetched together.
const COALESCE_DELAY: time::Duration = time::Duration::from_millis(100);
/// Longer, because upstreams change in bursts and their agents report what they serve earlier.
const COALESCE_DELAY_UPSTREAMS: time::Duration = time::Duration::from_millis(350);
/// Longer, because heartbeats also spread the state of entries.
const COALESCE_DELAY_ENTRIES: time::Duration = time::Duration::from_millis(700);

const TIMING_LISTS: FollowTiming = FollowTiming::relaxed(
    time::Duration::from_secs(4),
    time::Duration::from_millis(700),
    time::Duration::from_secs(6),
);
/// For a relay, as a share of the weights' grace period, so that a connection that has fallen silent
/// does not hold back an announcement.
const RELAY_WEIGHTS_WATCH_PERCENT: u32 = 25;
/// Announced versions are few and small, so each entry prefers the store over relays for them.
/// Heartbeats spread them too.
const TIMING_WEIGHTS: FollowTiming = FollowTiming::relaxed(
    time::Duration::from_secs(12),
    time::Duration::from_secs(1),
    time::Duration::from_secs(14),
);

/// Returns the timing with which this entry follows a kind.
pub(super) fn follow_timing(app: &app::App, kind: store::Kind) -> FollowTiming {
    match kind {
        store::Kind::Configuration => FollowTiming::within(app.settings.configuration_grace),
        // Entries learn in time that an upstream is leaving, even if an answer of the store is lost or
        // they follow a relay that has lost its connection to the store.
        store::Kind::Upstreams => FollowTiming::within(app.settings.drain_grace),
        store::Kind::Evacuations => app
            .settings
            .evacuation_grace
            .map_or(TIMING_LISTS, FollowTiming::within),
        store::Kind::Entries | store::Kind::Grants => TIMING_LISTS,
        store::Kind::Weights if sources::is_relay(app) => FollowTiming {
            watch_wait: app.settings.weights_grace * RELAY_WEIGHTS_WATCH_PERCENT / 100,
            ..TIMING_WEIGHTS
        },
        store::Kind::Weights => TIMING_WEIGHTS,
    }
}

/// Returns the delay after a change of a kind before the next changes are fetched.
pub(super) fn coalesce_delay(app: &app::App, kind: store::Kind) -> time::Duration {
    let delay = match kind {
        store::Kind::Upstreams => COALESCE_DELAY_UPSTREAMS,
        store::Kind::Entries => COALESCE_DELAY_ENTRIES,
        store::Kind::Configuration
        | store::Kind::Weights
        | store::Kind::Evacuations
        | store::Kind::Grants => COALESCE_DELAY,
    };
    delay.min(follow_timing(app, kind).pause_max)
}

/// Returns the age of what is known of a kind; `None` if the store never confirmed it.
pub(super) fn age_ms(app: &app::App, kind: store::Kind) -> Option<u64> {
    let age = app.cached(kind).age(app.clock.boot_now())?;
    Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
