//! A cache of one kind of the platform's objects, with its age.

use std::{sync, time};

use arc_swap::{ArcSwap, ArcSwapOption};
use pimentohook_core::{clock, collection, id, position};
use pimentohook_platform::store;
use strum::IntoEnumIterator as _;
use tokio::{sync::watch, time as tokio_time};

use super::settings;

/// Returns the kinds of objects that an entry with these settings follows.
pub fn followed(settings: &settings::DirectSettings) -> impl Iterator<Item = store::Kind> {
    let has_evacuations = settings.evacuation_grace.is_some();
    store::Kind::iter().filter(move |kind| match kind {
        store::Kind::Configuration
        | store::Kind::Upstreams
        | store::Kind::Weights
        | store::Kind::Entries => true,
        store::Kind::Evacuations => has_evacuations,
        store::Kind::Grants => false,
    })
}

/// The cached objects of one kind.
#[derive(Debug)]
pub struct CachedCollection {
    collection: ArcSwap<collection::Collection>,
    /// The latest instant at which the cached state was the state of the store.
    confirmed_at: ArcSwapOption<clock::BootInstant>,
    changed: watch::Sender<()>,
}

impl Default for CachedCollection {
    fn default() -> Self {
        Self {
            collection: ArcSwap::default(),
            confirmed_at: ArcSwapOption::empty(),
            changed: watch::Sender::new(()),
        }
    }
}

impl CachedCollection {
    /// Returns the cached objects.
    #[must_use]
    pub fn collection(&self) -> sync::Arc<collection::Collection> {
        self.collection.load_full()
    }

    /// Returns the latest instant at which the store confirmed the cached state.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<clock::BootInstant> {
        self.confirmed_at.load().as_deref().copied()
    }

    /// Returns the time since the store last confirmed the cached state; `None` if it never did.
    #[must_use]
    pub fn age(&self, now: clock::BootInstant) -> Option<time::Duration> {
        let confirmed_at = self.confirmed_at()?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Records that the cached state is at least as new as the state of the store at `at`.
    pub fn confirm(&self, at: clock::BootInstant) {
        self.confirmed_at.rcu(|confirmed_at| match confirmed_at {
            Some(confirmed_at) if **confirmed_at >= at => Some(confirmed_at.clone()),
            _ => Some(sync::Arc::new(at)),
        });
    }

    /// Updates the objects; returns what `change` returns, which is whether it changed anything.
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

    /// Waits up to `wait` until the cached state is of `era` or a later one.
    pub async fn wait_for_era(&self, era: id::StoreEra, wait: time::Duration) {
        let mut changed = self.changed.subscribe();
        let era_reached = async {
            while self.collection.load().position().era < era {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio_time::timeout(wait, era_reached).await.is_err() {
            log::info!("feed: event=era_not_reached era={era}");
        }
    }

    /// Waits up to `wait` for changes after `position` and returns them; the result is empty if
    /// nothing changed, and at once if the cache is of an earlier era.
    pub async fn wait_since(
        &self,
        position: position::Position,
        wait: time::Duration,
    ) -> collection::Delta {
        let mut changed = self.changed.subscribe();
        let deadline = tokio_time::Instant::now() + wait;
        loop {
            let delta = self.collection.load().since(position);
            if !delta.is_empty() || delta.position.era < position.era {
                return delta;
            }
            let waited = tokio_time::timeout_at(deadline, changed.changed()).await;
            if !matches!(waited, Ok(Ok(()))) {
                return self.collection.load().since(position);
            }
        }
    }
}
