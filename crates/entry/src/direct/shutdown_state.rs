//! The graceful shutdown of this entry, as requests see it.

use std::time;

use arc_swap::ArcSwapOption;
use pimentohook_core::shutdown;
use pimentohook_runtime::process;

/// The graceful shutdown of this entry, once it has begun.
#[derive(Debug, Default)]
pub struct ShutdownState {
    shutdown: ArcSwapOption<shutdown::Shutdown>,
    begun: process::StopSignal,
}

impl ShutdownState {
    /// Begins a shutdown.
    pub fn begin(&self, shutdown: shutdown::Shutdown) {
        self.shutdown.store(Some(std::sync::Arc::new(shutdown)));
        self.begun.set();
    }

    /// Returns the shutdown; `None` if it has not begun.
    #[must_use]
    pub fn get(&self) -> Option<shutdown::Shutdown> {
        self.shutdown.load().as_deref().copied()
    }

    /// Returns until when a request may last that has this deadline by itself.
    #[must_use]
    pub fn limit(&self, deadline: time::Instant) -> time::Instant {
        let shutdown = self.get();
        shutdown.map_or(deadline, |shutdown| shutdown.limit(deadline))
    }

    /// Waits until [`ShutdownState::limit`] of a deadline, which a shutdown moves forward.
    pub async fn wait_until(&self, deadline: time::Instant) {
        tokio::select! {
            () = tokio::time::sleep_until(deadline.into()) => return,
            () = self.begun.wait() => {}
        }
        tokio::time::sleep_until(self.limit(deadline).into()).await;
    }
}
