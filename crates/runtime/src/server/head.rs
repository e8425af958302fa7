//! The head that a connection is receiving, as its socket and its task see it.

use std::{sync::atomic, time};

use pimentohook_core::head_limits;
use tokio::sync::Notify;

/// A head of which the end has not come.
#[derive(Debug, Default)]
pub(super) struct Head {
    /// When it began, in milliseconds from the opening of the connection; 0 if there is none.
    began_ms: atomic::AtomicU64,
    /// How long it may take, in milliseconds; 0 if that has no limit.
    timeout_ms: atomic::AtomicU64,
    is_too_large: atomic::AtomicBool,
    changes: Notify,
}

impl Head {
    /// Records how far a head has come.
    pub(super) fn record(&self, now_ms: u64, progress: head_limits::Progress) {
        match progress {
            head_limits::Progress::Between => self.clear(),
            head_limits::Progress::Partial(timeout) => self.begin(now_ms, timeout),
            head_limits::Progress::TooLarge => {
                self.is_too_large.store(true, atomic::Ordering::Relaxed);
                self.changes.notify_one();
            }
        }
    }

    fn begin(&self, now_ms: u64, timeout: Option<time::Duration>) {
        let ordering = atomic::Ordering::Relaxed;
        if self.has_begun() {
            return;
        }
        let timeout_ms = timeout.map_or(0, |timeout| timeout.as_millis().max(1));
        let timeout_ms = u64::try_from(timeout_ms).unwrap_or(u64::MAX);
        self.timeout_ms.store(timeout_ms, ordering);
        self.began_ms.store(now_ms, ordering);
        self.changes.notify_one();
    }

    /// Records that no head has begun.
    pub(super) fn clear(&self) {
        self.began_ms.store(0, atomic::Ordering::Relaxed);
    }

    /// Returns whether a part of a head has come.
    pub(super) fn has_begun(&self) -> bool {
        self.began_ms.load(atomic::Ordering::Relaxed) > 0
    }

    /// Returns when the head began, in milliseconds, and how long it may take, if that has a limit.
    pub(super) fn limited(&self) -> Option<(u64, time::Duration)> {
        let began_ms = self.began_ms.load(atomic::Ordering::Relaxed);
        let timeout_ms = self.timeout_ms.load(atomic::Ordering::Relaxed);
        let is_limited = began_ms > 0 && timeout_ms > 0;
        is_limited.then(|| (began_ms, time::Duration::from_millis(timeout_ms)))
    }

    pub(super) fn is_too_large(&self) -> bool {
        self.is_too_large.load(atomic::Ordering::Relaxed)
    }

    /// Waits until a head has begun or is too large.
    pub(super) async fn until_changed(&self) {
        self.changes.notified().await;
    }
}
