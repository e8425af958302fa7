//! What an entry knows of one kind of the platform's objects, and how old that is.

use std::{sync, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use pimentohook_core::collection;
use tokio::{sync::watch, time as tokio_time};

/// A kind of objects as it is known here.
#[derive(Debug)]
pub struct Known {
    collection: ArcSwap<collection::Collection>,
    /// The latest instant for which the store's word is known.
    confirmed_at: ArcSwapOption<time::Instant>,
    changed: watch::Sender<()>,
}

impl Default for Known {
    fn default() -> Self {
        Self {
            collection: ArcSwap::default(),
            confirmed_at: ArcSwapOption::empty(),
            changed: watch::Sender::new(()),
        }
    }
}

impl Known {
    /// Returns the objects.
    #[must_use]
    pub fn collection(&self) -> sync::Arc<collection::Collection> {
        self.collection.load_full()
    }

    /// Returns for how long the store has not confirmed it; `None` where it never did.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> Option<time::Duration> {
        let confirmed_at = self.confirmed_at.load();
        let confirmed_at = confirmed_at.as_ref()?;
        Some(now.saturating_duration_since(**confirmed_at))
    }

    /// Takes in that the store's word at an instant, or a later one, is known.
    pub fn confirm(&self, at: time::Instant) {
        self.confirmed_at.rcu(|known| match known {
            Some(known) if **known >= at => Some(known.clone()),
            _ => Some(sync::Arc::new(at)),
        });
    }

    /// Changes the objects; `change` returns whether it changed anything, as this does.
    pub fn update<F>(&self, change: F) -> bool
    where
        F: FnOnce(&mut collection::Collection) -> bool,
    {
        let mut collection = collection::Collection::clone(&self.collection.load());
        let is_changed = change(&mut collection);
        self.collection.store(sync::Arc::new(collection));
        if is_changed {
            self.changed.send_replace(());
        }
        is_changed
    }

    /// Returns what a copy at `revision` lacks, after `wait` at most; empty where nothing changed.
    pub async fn wait_since(&self, revision: u64, wait: time::Duration) -> collection::Delta {
        let mut changed = self.changed.subscribe();
        let deadline = tokio_time::Instant::now() + wait;
        loop {
            let delta = self.collection.load().since(revision);
            if !delta.is_empty() {
                return delta;
            }
            let waited = tokio_time::timeout_at(deadline, changed.changed()).await;
            if !matches!(waited, Ok(Ok(()))) {
                return self.collection.load().since(revision);
            }
        }
    }
}
