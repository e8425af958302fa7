//! Watches a process for standstills, by the ticks of a timer, and how late that timer fires.

use std::{convert, sync, time};

use cadence::StatsdClient;
use pimentohook_core::{clock, standstill, timer_lateness};
use tokio::time as tokio_time;

use crate::metrics;

/// The standstills of this process.
pub struct Standstills {
    clock: sync::Arc<dyn clock::Clock>,
    monitor: sync::Mutex<standstill::Monitor>,
}

impl std::fmt::Debug for Standstills {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Standstills")
            .field("monitor", &self.monitor)
            .finish_non_exhaustive()
    }
}

impl Standstills {
    /// Creates the record of a process that runs now.
    #[must_use]
    pub fn new(clock: sync::Arc<dyn clock::Clock>) -> Self {
        let monitor = standstill::Monitor::new(clock.boot_now());
        Self {
            clock,
            monitor: sync::Mutex::new(monitor),
        }
    }

    /// Returns what is known of recent standstills.
    #[must_use]
    pub fn monitor(&self) -> standstill::Monitor {
        self.lock().clone()
    }

    /// Returns since when the process has run without standing still.
    #[must_use]
    pub fn ran_since(&self) -> clock::BootInstant {
        let now = self.clock.boot_now();
        self.lock().ran_since(now)
    }

    /// Spawns [`Self::run`], until the process exits.
    pub fn spawn(self: &sync::Arc<Self>, metrics: &sync::Arc<StatsdClient>) {
        let (standstills, metrics) = (self.clone(), metrics.clone());
        let spawned_at = self.clock.boot_now();
        tokio::spawn(async move { standstills.run(&metrics, spawned_at).await });
    }

    /// Ticks the monitor until it is dropped, and states after each interval how late the ticks were.
    ///
    /// The first tick is due when the task is spawned, at `spawned_at`: a task may wait for its first
    /// turn as others wait for their next one.
    pub async fn run(
        &self,
        metrics: &StatsdClient,
        spawned_at: clock::BootInstant,
    ) -> convert::Infallible {
        let mut now = self.clock.boot_now();
        let mut lateness = timer_lateness::TimerLateness::new(spawned_at);
        lateness.record(spawned_at, now);
        loop {
            self.lock().tick(now);
            let due_at = now + standstill::TICK_INTERVAL;
            tokio_time::sleep(standstill::TICK_INTERVAL).await;
            now = self.clock.boot_now();
            lateness.record(due_at, now);
            if let Some(largest) = lateness.of_interval(now) {
                state_lateness(metrics, largest);
                lateness = timer_lateness::TimerLateness::new(now);
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, standstill::Monitor> {
        self.monitor
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn state_lateness(metrics: &StatsdClient, largest: time::Duration) {
    let largest_ms = u64::try_from(largest.as_millis()).unwrap_or(u64::MAX);
    metrics::Registry::set(metrics, "timer_late_max_ms", largest_ms);
    if timer_lateness::is_too_late(largest) {
        log::warn!("timers: event=late largest_ms={largest_ms}");
    }
}
