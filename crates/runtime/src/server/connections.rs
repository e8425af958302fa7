//! The open connections of a port, of which there are at most so many.

use std::{net, sync, sync::atomic, time};

use indexmap::IndexMap;
use pimentohook_core::head_limits;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time as tokio_time,
};

use super::activity::Activity;
use crate::body;

/// How long a connection that is asked to close may take before another one is asked.
const CLOSE_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// The most that the bodies of messages to one port take together.
const MESSAGES_MAX_BYTES: usize = 64 << 20;
/// One in this many closed connections, and one in this many refused heads, is logged.
const LOGGED_DIVISOR: u64 = 1_000;

/// The open connections of a port.
#[derive(Debug)]
pub struct Connections {
    max: usize,
    permits: sync::Arc<Semaphore>,
    open: sync::Mutex<IndexMap<u64, sync::Arc<Activity>>>,
    next_id: atomic::AtomicU64,
    closed_count: atomic::AtomicU64,
    refused_heads: atomic::AtomicU64,
    messages: sync::Arc<body::BodyBudget>,
}

impl Connections {
    /// Creates a bound of so many connections.
    #[must_use]
    pub fn new(max: usize) -> sync::Arc<Self> {
        Self::with_messages(max, MESSAGES_MAX_BYTES)
    }

    /// Like [`Connections::new`], with a bound on the bodies that are read as messages.
    pub(super) fn with_messages(max: usize, messages_bytes: usize) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            max,
            permits: sync::Arc::new(Semaphore::new(max)),
            open: sync::Mutex::default(),
            next_id: atomic::AtomicU64::new(0),
            closed_count: atomic::AtomicU64::new(0),
            refused_heads: atomic::AtomicU64::new(0),
            messages: sync::Arc::new(body::BodyBudget::new(messages_bytes)),
        })
    }

    /// Returns how many connections were closed because room was short.
    #[must_use]
    pub fn closed_count(&self) -> u64 {
        self.closed_count.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many heads were refused because they took too long or were too large.
    #[must_use]
    pub fn refused_head_count(&self) -> u64 {
        self.refused_heads.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many connections have a request under way, or one that its client may be sending:
    /// all but those on which nothing has come or gone for `quiet`.
    #[must_use]
    pub fn in_use_count(&self, quiet: time::Duration) -> usize {
        let open = self.open();
        let in_use = open.values().filter(|activity| activity.is_in_use(quiet));
        in_use.count()
    }

    fn open(&self) -> sync::MutexGuard<'_, IndexMap<u64, sync::Arc<Activity>>> {
        self.open
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Waits for a place, for which the connection that has been of least use is closed.
    pub(super) async fn place(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if let Ok(permit) = self.permits.clone().try_acquire_owned() {
                return Some(permit);
            }
            self.close_first(Activity::rank, "connections");
            let place = self.permits.clone().acquire_owned();
            if let Ok(permit) = tokio_time::timeout(CLOSE_INTERVAL, place).await {
                return permit.ok();
            }
        }
    }

    /// Closes the connection whose client has not read its response for longest.
    pub fn close_slowest_reader(&self) {
        self.close_first(Activity::reader_stalled_since, "responses");
    }

    fn close_first<K, R>(&self, rank: R, limit: &str)
    where
        K: Ord,
        R: Fn(&Activity) -> Option<K>,
    {
        let first = self
            .open()
            .values()
            .filter_map(|activity| Some((rank(activity)?, activity)))
            .min_by(|(one, _), (other, _)| one.cmp(other))
            .map(|(_, activity)| activity.clone());
        let Some(activity) = first else {
            return;
        };
        activity.close();
        let count = self.closed_count.fetch_add(1, atomic::Ordering::Relaxed);
        if count.is_multiple_of(LOGGED_DIVISOR) {
            log::warn!(
                "server: event=room_short limit={limit} closed_peer={} closed_before={count} \
                 connections_max={}",
                activity.peer,
                self.max
            );
        }
    }

    pub(super) fn register(self: &sync::Arc<Self>, peer: net::SocketAddr) -> Registered {
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let activity = sync::Arc::new(Activity::new(peer));
        self.open().insert(id, activity.clone());
        Registered {
            connections: self.clone(),
            id,
            activity,
        }
    }
}

/// A connection that is listed as open until this is dropped.
pub(super) struct Registered {
    connections: sync::Arc<Connections>,
    id: u64,
    pub(super) activity: sync::Arc<Activity>,
}

impl Registered {
    /// Records that a head was refused on this connection.
    pub(super) fn record_refusal(&self, refusal: head_limits::Refusal) {
        let refused = &self.connections.refused_heads;
        let count = refused.fetch_add(1, atomic::Ordering::Relaxed);
        if count.is_multiple_of(LOGGED_DIVISOR) {
            log::warn!(
                "server: event=head_refused reason={refusal:?} peer={} refused_before={count}",
                self.activity.peer
            );
        }
    }

    /// Returns the room for the bodies of messages.
    pub(super) fn messages(&self) -> sync::Arc<body::BodyBudget> {
        self.connections.messages.clone()
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.connections.open().swap_remove(&self.id);
    }
}
