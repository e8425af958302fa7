//! Watches a process for standstills, by the ticks of a timer.

use std::{convert, sync};

use pimentohook_core::{clock, standstill};
use tokio::time as tokio_time;

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

    /// Ticks the monitor until it is dropped.
    pub async fn run(&self) -> convert::Infallible {
        loop {
            self.lock().tick(self.clock.boot_now());
            tokio_time::sleep(standstill::TICK_INTERVAL).await;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, standstill::Monitor> {
        self.monitor
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
