//! What is under way on a connection, and since when nothing moves.

use std::{net, sync, sync::atomic, time};

use pimentohook_core::head_limits;
use tokio::{sync::Notify, time as tokio_time};

use super::head::Head;

/// Times are kept in whole milliseconds, rounded down.
const RESOLUTION: time::Duration = time::Duration::from_millis(1);

/// A request that makes no progress for this long may lose its connection when room is short.
const STALLED_AFTER: time::Duration = time::Duration::from_secs(1);

/// The requests that are under way on a connection, and since when there is none.
#[derive(Debug)]
pub(super) struct Activity {
    pub(super) peer: net::SocketAddr,
    opened_at: tokio_time::Instant,
    request_count: atomic::AtomicUsize,
    /// Bodies of requests of which the end has not come.
    open_bodies: atomic::AtomicUsize,
    /// Whether a body was given up before its end, so that the client may still send.
    is_cut: atomic::AtomicBool,
    /// When the last request ended, in milliseconds from `opened_at`.
    last_end_ms: atomic::AtomicU64,
    /// When the client last sent bytes, in milliseconds from `opened_at`.
    last_read_ms: atomic::AtomicU64,
    /// Since when the client takes no bytes, in milliseconds from `opened_at`; 0 if it takes them.
    blocked_since_ms: atomic::AtomicU64,
    /// The head that is being received.
    pub(super) head: Head,
    /// When the client last took bytes that it had not taken at once, in milliseconds from `opened_at`.
    last_taken_ms: atomic::AtomicU64,
    /// Set by who wants the place of this connection for another.
    closes: Notify,
}

impl Activity {
    pub(super) fn new(peer: net::SocketAddr) -> Self {
        Self {
            peer,
            opened_at: tokio_time::Instant::now(),
            request_count: atomic::AtomicUsize::new(0),
            open_bodies: atomic::AtomicUsize::new(0),
            is_cut: atomic::AtomicBool::new(false),
            last_end_ms: atomic::AtomicU64::new(0),
            last_read_ms: atomic::AtomicU64::new(0),
            blocked_since_ms: atomic::AtomicU64::new(0),
            head: Head::default(),
            last_taken_ms: atomic::AtomicU64::new(0),
            closes: Notify::new(),
        }
    }

    /// Returns the time since the connection was opened, which is never 0.
    fn now_ms(&self) -> u64 {
        let now_ms = u64::try_from(self.opened_at.elapsed().as_millis());
        now_ms.unwrap_or(u64::MAX).max(1)
    }

    fn at(&self, time_ms: u64) -> tokio_time::Instant {
        self.opened_at + time::Duration::from_millis(time_ms)
    }

    /// Returns since when the connection is idle; `None` while a request is under way or the client has
    /// not taken all of a response.
    pub(super) fn idle_since(&self) -> Option<tokio_time::Instant> {
        // The end is written before the count falls.
        let request_count = self.request_count.load(atomic::Ordering::Acquire);
        let last_end_ms = self.last_end_ms.load(atomic::Ordering::Relaxed);
        let last_taken_ms = self.last_taken_ms.load(atomic::Ordering::Relaxed);
        let is_idle = request_count == 0 && self.blocked_since().is_none();
        is_idle.then_some(self.at(last_end_ms.max(last_taken_ms)))
    }

    /// Returns until when the head that is being received has to be whole, if it has to be.
    pub(super) fn head_due(&self) -> Option<tokio_time::Instant> {
        let (began_ms, timeout) = self.head.limited()?;
        let last_end = self.at(self.last_end_ms.load(atomic::Ordering::Relaxed));
        let began_at = self.at(began_ms).into_std();
        let due = head_limits::due(began_at, last_end.into_std(), timeout)?;
        due.checked_add(RESOLUTION)
            .map(tokio_time::Instant::from_std)
    }

    /// Returns whether the client may still send parts of a body that has not ended.
    pub(super) fn has_open_body(&self) -> bool {
        self.open_bodies.load(atomic::Ordering::Relaxed) > 0
    }

    /// Records how far the client has come with a head.
    pub(super) fn record_head(&self, progress: head_limits::Progress) {
        self.head.record(self.now_ms(), progress);
    }

    /// Returns whether a request is under way, or the client may be sending one: it has sent bytes since
    /// the last, or was connected or answered less than `quiet` ago.
    pub(super) fn is_in_use(&self, quiet: time::Duration) -> bool {
        let last_end_ms = self.last_end_ms.load(atomic::Ordering::Relaxed);
        let last_read_ms = self.last_read_ms.load(atomic::Ordering::Relaxed);
        let is_sending = last_read_ms > last_end_ms || self.may_still_send();
        let is_quiet = self
            .idle_since()
            .is_some_and(|since| since.elapsed() >= quiet);
        is_sending || !is_quiet
    }

    /// Returns whether a request has ended.
    fn has_served(&self) -> bool {
        self.last_end_ms.load(atomic::Ordering::Relaxed) > 0
    }

    /// Returns since when the client sends nothing of a body whose end has not come.
    fn body_stalled_since(&self) -> Option<tokio_time::Instant> {
        let since = self.at(self.last_read_ms.load(atomic::Ordering::Relaxed));
        (self.has_open_body() && since.elapsed() >= STALLED_AFTER).then_some(since)
    }

    /// Returns since when the client takes nothing of what it has asked for.
    pub(super) fn blocked_since(&self) -> Option<tokio_time::Instant> {
        let since_ms = self.blocked_since_ms.load(atomic::Ordering::Relaxed);
        (since_ms > 0).then(|| self.at(since_ms))
    }

    /// Like [`Activity::blocked_since`], if that is long ago.
    pub(super) fn reader_stalled_since(&self) -> Option<tokio_time::Instant> {
        let since = self.blocked_since()?;
        (since.elapsed() >= STALLED_AFTER).then_some(since)
    }

    /// Returns how readily the connection is closed for another one: the least first.
    pub(super) fn rank(&self) -> Option<(u8, tokio_time::Instant)> {
        // The end of a response may be written after its request has ended.
        if self.blocked_since().is_some() {
            return Some((2, self.reader_stalled_since()?));
        }
        if let Some(since) = self.idle_since() {
            return Some((u8::from(self.has_served()), since));
        }
        Some((0, self.body_stalled_since()?))
    }

    /// Returns whether the client may still be sending a body that nobody reads.
    pub(super) fn may_still_send(&self) -> bool {
        self.is_cut.load(atomic::Ordering::Relaxed)
    }

    /// Records that a body was given up before its end.
    pub(super) fn record_cut(&self) {
        self.is_cut.store(true, atomic::Ordering::Relaxed);
    }

    pub(super) fn record_read(&self) {
        let ordering = atomic::Ordering::Relaxed;
        self.last_read_ms.store(self.now_ms(), ordering);
    }

    /// Records whether the client took what was written.
    pub(super) fn record_write(&self, is_blocked: bool) {
        let ordering = atomic::Ordering::Relaxed;
        let was_blocked = self.blocked_since_ms.load(ordering) > 0;
        if is_blocked != was_blocked {
            let since_ms = if is_blocked { self.now_ms() } else { 0 };
            self.blocked_since_ms.store(since_ms, ordering);
        }
        if was_blocked && !is_blocked {
            self.last_taken_ms.store(self.now_ms(), ordering);
        }
    }

    fn record_end(&self) {
        let ordering = atomic::Ordering::Relaxed;
        self.last_end_ms.store(self.now_ms(), ordering);
        self.request_count.fetch_sub(1, atomic::Ordering::AcqRel);
    }

    /// Asks the connection to close, if what it is doing still allows that.
    pub(super) fn close(&self) {
        self.closes.notify_one();
    }

    /// Waits until the connection is to be closed for another one.
    pub(super) async fn until_closed(&self) {
        loop {
            self.closes.notified().await;
            if self.rank().is_some() {
                return;
            }
        }
    }
}

/// Counts a request as under way until it is dropped.
#[derive(Debug)]
pub(super) struct ActivityGuard(sync::Arc<Activity>);

impl ActivityGuard {
    pub(super) fn new(activity: &sync::Arc<Activity>) -> Self {
        activity
            .request_count
            .fetch_add(1, atomic::Ordering::AcqRel);
        activity.head.clear();
        Self(activity.clone())
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.record_end();
    }
}

/// Counts the body of a request as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenBodyGuard(sync::Arc<Activity>);

impl OpenBodyGuard {
    pub(super) fn new(activity: &sync::Arc<Activity>) -> Self {
        let ordering = atomic::Ordering::Relaxed;
        activity.open_bodies.fetch_add(1, ordering);
        Self(activity.clone())
    }
}

impl Drop for OpenBodyGuard {
    fn drop(&mut self) {
        let ordering = atomic::Ordering::Relaxed;
        self.0.open_bodies.fetch_sub(1, ordering);
    }
}
