//! Signals and the end of a process.

use std::{io, sync, time};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Tells every part of a process to stop.
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
    /// Creates a switch that is not set.
    #[must_use]
    pub fn new() -> Self {
        let sender = sync::Arc::new(watch::Sender::new(false));
        Self { sender }
    }

    /// Sets the switch.
    pub fn set(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the switch is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the switch is set.
    pub async fn wait(&self) {
        let _ = self.sender.subscribe().wait_for(|stop| *stop).await;
    }

    /// Sleeps; returns false as soon as the switch is set.
    pub async fn sleep(&self, duration: time::Duration) -> bool {
        tokio::select! {
            () = self.wait() => false,
            () = tokio::time::sleep(duration) => true,
        }
    }
}

/// Waits for SIGTERM or SIGINT; SIGHUP calls `reload` and ends nothing.
///
/// # Errors
///
/// [`io::Error`] where the handlers can't be installed.
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
