//! A bound on the memory of all bodies of a kind.
//!
//! What a body allocates is reserved before. When there is no room, the bodies that have gone longest
//! without progress lose theirs.

mod growing_bytes;

use std::{sync, sync::atomic, time};

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::{sync::Notify, time as tokio_time};

pub(super) use self::growing_bytes::GrowingBytes;

/// A body that has made no progress for this long may lose its room to another.
const EVICTABLE_AFTER: time::Duration = time::Duration::from_secs(1);
/// How long room for a response is waited for, longer than a client may leave one unread when room is
/// short.
const ROOM_WAIT: time::Duration = time::Duration::from_secs(3);
const RELIEF_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// The part of a budget that only small bodies may use, as a divisor.
const SMALL_SHARE_DIVISOR: usize = 8;
/// The size of a small body, which is common, in bytes.
const SMALL_MAX_BYTES: usize = 64 << 10;

/// Frees room that is held by others than the bodies that are being read.
struct Relief(Box<dyn Fn() + Send + Sync>);

impl std::fmt::Debug for Relief {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relief").finish_non_exhaustive()
    }
}

/// A bound on the memory of all bodies of a kind at the same time.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    free_bytes: atomic::AtomicUsize,
    /// The bodies that are being read.
    readings: sync::Mutex<IndexMap<u64, sync::Arc<Reading>>>,
    next_id: atomic::AtomicU64,
    evicted_count: atomic::AtomicU64,
    relief: Option<Relief>,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            free_bytes: atomic::AtomicUsize::new(max_bytes),
            readings: sync::Mutex::default(),
            next_id: atomic::AtomicU64::new(0),
            evicted_count: atomic::AtomicU64::new(0),
            relief: None,
        }
    }

    /// Like [`BodyBudget::new`]; `relieve` is called again and again while room is waited for.
    #[must_use]
    pub fn with_relief<R>(max_bytes: usize, relieve: R) -> Self
    where
        R: Fn() + Send + Sync + 'static,
    {
        Self {
            relief: Some(Relief(Box::new(relieve))),
            ..Self::new(max_bytes)
        }
    }

    /// Returns the number of bytes that are not reserved.
    #[must_use]
    pub fn free_bytes(&self) -> usize {
        self.free_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many bodies have lost their room to others.
    #[must_use]
    pub fn evicted_count(&self) -> u64 {
        self.evicted_count.load(atomic::Ordering::Relaxed)
    }

    /// Reserves bytes if at least `kept_bytes` stay free besides.
    fn try_reserve(&self, bytes: usize, kept_bytes: usize) -> bool {
        let ordering = atomic::Ordering::Relaxed;
        let reserve = |free_bytes: usize| {
            let left = free_bytes.checked_sub(bytes)?;
            (left >= kept_bytes).then_some(left)
        };
        self.free_bytes
            .fetch_update(ordering, ordering, reserve)
            .is_ok()
    }

    /// Frees bytes that were reserved.
    fn release(&self, bytes: usize) {
        self.free_bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
    }

    /// Waits a while for `bytes` to be free, as far as anything can free them.
    pub(super) async fn wait_for(&self, bytes: usize) {
        let Some(Relief(relieve)) = &self.relief else {
            return;
        };
        let gives_up_at = tokio_time::Instant::now() + ROOM_WAIT;
        while bytes <= self.max_bytes
            && self.free_bytes() < bytes
            && tokio_time::Instant::now() < gives_up_at
        {
            relieve();
            tokio_time::sleep(RELIEF_INTERVAL).await;
        }
    }

    fn readings(&self) -> sync::MutexGuard<'_, IndexMap<u64, sync::Arc<Reading>>> {
        self.readings
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn register(&self) -> (u64, sync::Arc<Reading>) {
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let reading = sync::Arc::new(Reading::new());
        self.readings().insert(id, reading.clone());
        (id, reading)
    }

    /// Takes the room of bodies without progress until `bytes` could be reserved.
    fn evict_for(&self, bytes: usize, kept_bytes: usize) {
        let is_short = || self.free_bytes() < bytes.saturating_add(kept_bytes);
        if bytes.saturating_add(kept_bytes) > self.max_bytes {
            return;
        }
        let now = tokio_time::Instant::now();
        let mut stalled: Vec<_> = self
            .readings()
            .values()
            .filter_map(|reading| Some((reading.stalled_since(now)?, reading.clone())))
            .collect();
        stalled.sort_unstable_by_key(|(since, _)| *since);
        for (_, reading) in stalled {
            if !is_short() {
                break;
            }
            if reading.evict() {
                self.evicted_count.fetch_add(1, atomic::Ordering::Relaxed);
            }
        }
    }
}

/// A body that is being read, as others see it.
#[derive(Debug)]
struct Reading {
    started_at: tokio_time::Instant,
    /// When the last piece came, in milliseconds since `started_at`.
    progress_ms: atomic::AtomicU64,
    /// `None` once the body has lost its room.
    bytes: sync::Mutex<Option<GrowingBytes>>,
    evicted: Notify,
}

impl Reading {
    fn new() -> Self {
        Self {
            started_at: tokio_time::Instant::now(),
            progress_ms: atomic::AtomicU64::new(0),
            bytes: sync::Mutex::new(None),
            evicted: Notify::new(),
        }
    }

    fn bytes(&self) -> sync::MutexGuard<'_, Option<GrowingBytes>> {
        self.bytes
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn record_progress(&self) {
        let progress_ms = u64::try_from(self.started_at.elapsed().as_millis());
        let progress_ms = progress_ms.unwrap_or(u64::MAX);
        self.progress_ms
            .store(progress_ms, atomic::Ordering::Relaxed);
    }

    /// Returns since when there was no progress, if that is long enough to lose the room.
    fn stalled_since(&self, now: tokio_time::Instant) -> Option<tokio_time::Instant> {
        let progress_ms = self.progress_ms.load(atomic::Ordering::Relaxed);
        let since = self.started_at + time::Duration::from_millis(progress_ms);
        (now.saturating_duration_since(since) >= EVICTABLE_AFTER).then_some(since)
    }

    /// Frees the bytes; returns whether there were any.
    fn evict(&self) -> bool {
        let bytes = self.bytes().take();
        self.evicted.notify_one();
        bytes.is_some()
    }
}

/// A body that is being read within a budget, which it uses until its last copy is dropped.
#[derive(Debug)]
pub struct BudgetedBody {
    budget: sync::Arc<BodyBudget>,
    id: u64,
    reading: sync::Arc<Reading>,
}

impl Drop for BudgetedBody {
    fn drop(&mut self) {
        self.budget.readings().swap_remove(&self.id);
    }
}

impl BudgetedBody {
    /// Reserves room for a body of `expected_bytes`; returns `None` if there is none.
    ///
    /// A part of the budget is kept for small bodies, so that large ones never use up all of it.
    #[must_use]
    pub fn reserve(budget: &sync::Arc<BodyBudget>, expected_bytes: usize) -> Option<Self> {
        let (id, reading) = budget.register();
        *reading.bytes() = Some(GrowingBytes::new(budget));
        let body = Self {
            budget: budget.clone(),
            id,
            reading,
        };
        let grow =
            |bytes: &mut GrowingBytes, kept_bytes| bytes.allocate(expected_bytes, kept_bytes);
        body.grow(expected_bytes, expected_bytes, grow)
            .then_some(body)
    }

    /// Appends a piece; returns false if it does not fit into the budget.
    pub fn push(&mut self, piece: &[u8]) -> bool {
        self.reading.record_progress();
        let len = self
            .reading
            .bytes()
            .as_ref()
            .map(GrowingBytes::received_bytes);
        let len = len.unwrap_or(0) + piece.len();
        let grow = |bytes: &mut GrowingBytes, kept_bytes| bytes.push(piece, kept_bytes);
        self.grow(len, piece.len(), grow)
    }

    /// Waits until the body has lost its room.
    pub fn until_evicted(&self) -> impl Future<Output = ()> + Send + use<> {
        let reading = self.reading.clone();
        async move { reading.evicted.notified().await }
    }

    /// Returns the body, unless it has lost its room; its bytes stay reserved until the last copy is
    /// dropped.
    #[must_use]
    pub fn into_bytes(self) -> Option<Bytes> {
        let bytes = self.reading.bytes().take();
        bytes.map(GrowingBytes::into_bytes)
    }

    /// Lets the bytes grow to `len`, by at most `missing`, if need be in the room of others.
    fn grow<G>(&self, len: usize, missing: usize, grow: G) -> bool
    where
        G: Fn(&mut GrowingBytes, usize) -> bool,
    {
        let kept_bytes = if len <= SMALL_MAX_BYTES {
            0
        } else {
            self.budget.max_bytes / SMALL_SHARE_DIVISOR
        };
        let try_grow = || {
            let mut bytes = self.reading.bytes();
            bytes.as_mut().is_some_and(|bytes| grow(bytes, kept_bytes))
        };
        if try_grow() {
            return true;
        }
        // Its own bytes are not locked here, as two bodies may look at each other.
        self.budget.evict_for(missing, kept_bytes);
        try_grow()
    }
}
