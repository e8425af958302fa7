//! Handling of signals and the shutdown of a process.

use std::{io, sync, time};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// A signal to all tasks of a process to shut down; clones share their state.
#[derive(Clone, Debug)]
pub struct StopSignal {
    sender: sync::Arc<watch::Sender<bool>>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

impl StopSignal {
    /// Creates a signal that is not set.
    #[must_use]
    pub fn new() -> Self {
        let sender = sync::Arc::new(watch::Sender::new(false));
        Self { sender }
    }

    /// Sets the signal.
    pub fn set(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the signal is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        let _ = self.sender.subscribe().wait_for(|is_set| *is_set).await;
    }

    /// Sleeps for `duration`; returns `false` early if the signal is set meanwhile.
    pub async fn sleep(&self, duration: time::Duration) -> bool {
        tokio::select! {
            () = self.wait() => false,
            () = tokio::time::sleep(duration) => true,
        }
    }
}

/// Waits for SIGTERM or SIGINT, and calls `reload` on each SIGHUP until then.
///
/// # Errors
///
/// Returns [`io::Error`] if the signal handlers can't be installed.
pub async fn wait_for_signal<R>(mut reload: R) -> io::Result<()>
where
    R: FnMut(),
{
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(),
        }
    }
}
