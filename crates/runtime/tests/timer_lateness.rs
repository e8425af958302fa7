//! Tests that a process states how late its timers fire.

use std::{sync, sync::atomic, time};

use pimentohook_core::{
    clock::{self, BootInstant},
    timer_lateness,
};
use pimentohook_runtime::{metrics, standstill};

/// The time in which the monitor ticks several times.
const RUN_TIME: time::Duration = time::Duration::from_secs(1);

/// A clock that is an interval later each time that it is asked.
#[derive(Default)]
struct FastClock {
    asked_count: atomic::AtomicU32,
}

impl clock::Clock for FastClock {
    fn now(&self) -> time::Instant {
        time::Instant::now()
    }

    fn boot_now(&self) -> BootInstant {
        let asked_count = self.asked_count.fetch_add(1, atomic::Ordering::SeqCst);
        BootInstant::from_boot(timer_lateness::INTERVAL * asked_count)
    }
}

async fn metrics_after_run(clock: sync::Arc<dyn clock::Clock>, spawned_at: BootInstant) -> String {
    let registry = metrics::Registry::default();
    let client = registry.client("entry");
    let standstills = standstill::Standstills::new(clock);
    let ran = tokio::time::timeout(RUN_TIME, standstills.run(&client, spawned_at)).await;
    assert!(ran.is_err(), "it runs until it is dropped");
    registry.to_text()
}

#[tokio::test]
async fn the_lateness_of_an_interval_is_on_the_metrics_address() {
    // The second time that the clock is asked.
    let spawned_at = BootInstant::from_boot(timer_lateness::INTERVAL);
    let text = metrics_after_run(sync::Arc::new(FastClock::default()), spawned_at).await;
    assert_eq!(text, "entry_timer_late_max_ms 9900\n");
}

#[tokio::test]
async fn nothing_is_stated_before_an_interval_is_over() {
    let clock = sync::Arc::new(clock::SystemClock);
    let spawned_at = clock::Clock::boot_now(&*clock);
    let text = metrics_after_run(clock, spawned_at).await;
    assert_eq!(text, "");
}
