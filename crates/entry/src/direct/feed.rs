//! Follows the configuration, the upstreams, the entries, the announced weights and the evacuations.
//!
//! A few entries of each region, the relays, follow the store; the other entries follow the relays.
//! See [`relay`].

mod apply;
mod fetch;
mod followers;
mod hedge;
mod history;
mod sources;
mod timing;

use std::{sync, time};

use pimentohook_core::{follow_timing, relay};
use pimentohook_platform::store;
use tokio::time as tokio_time;

use super::{app, cache, restored};

pub use followers::handle_follow;

const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Spawns the tasks that follow each kind of objects, until the process exits.
pub fn start(app: &sync::Arc<app::App>) {
    app.standstills.spawn(&app.metrics);
    for kind in cache::followed(&app.settings) {
        tokio::spawn(follow(app.clone(), kind));
    }
}

/// Follows a kind, and asks other sources beside the one that is followed where that is needed.
async fn follow(app: sync::Arc<app::App>, kind: store::Kind) {
    sources::wait_for_peers(&app).await;
    let follower = Follower::new(app, kind);
    tokio::join!(follower.run(), hedge::run(&follower));
}

/// Follows a kind of objects.
///
/// What is fetched beside the source that is followed is put into force in the same task, so that no
/// two reads change the copy at once.
struct Follower {
    app: sync::Arc<app::App>,
    kind: store::Kind,
    failures: sync::Mutex<relay::Failures>,
    followed: sync::Mutex<Option<relay::Followed>>,
}

impl Follower {
    fn new(app: sync::Arc<app::App>, kind: store::Kind) -> Self {
        let timing = timing::follow_timing(&app, kind);
        let failures = relay::Failures::with_backoffs(timing.backoff_min, timing.backoff_max);
        Self {
            app,
            kind,
            failures: sync::Mutex::new(failures),
            followed: sync::Mutex::default(),
        }
    }

    fn timing(&self) -> follow_timing::FollowTiming {
        timing::follow_timing(&self.app, self.kind)
    }

    /// Follows one source after the other, until the process exits.
    async fn run(&self) {
        let (app, kind) = (&*self.app, self.kind);
        let mut current_source = None;
        loop {
            let Some(source) = self.next_to_follow() else {
                tokio_time::sleep(RETRY_DELAY).await;
                continue;
            };
            match fetch::fetch_changes(app, kind, &source, fetch::Purpose::Follow).await {
                Ok(is_changed) => {
                    self.record_success(&source);
                    if current_source.as_ref() != Some(&source) {
                        log::info!("feed: event=following kind={kind} source={source:?}");
                        current_source = Some(source);
                    }
                    self.expire_lost(is_changed);
                    if is_changed {
                        tokio_time::sleep(timing::coalesce_delay(app, kind)).await;
                    }
                }
                Err(error) => {
                    self.record_failure(&source, &error);
                    log::warn!(
                        "feed: event=source_lost kind={kind} source={source:?} error={error:?} \
                         age_ms={:?}",
                        timing::age_ms(app, kind)
                    );
                }
            }
        }
    }

    /// Returns the source to follow now, which is recorded; `None` if all are in backoff.
    fn next_to_follow(&self) -> Option<relay::Source> {
        let order = sources::order(&self.app, self.kind);
        let now = self.app.clock.now();
        let source = lock(&self.failures).choose(&order, now)?.clone();
        *lock(&self.followed) = Some(relay::Followed {
            source: source.clone(),
            asked_at: now,
        });
        Some(source)
    }

    /// Returns the first source of `order` that can be asked beside the one that is followed.
    fn next_beside(
        &self,
        order: &[relay::Source],
        timing: &follow_timing::HedgeTiming,
    ) -> Option<relay::Source> {
        let now = self.app.clock.now();
        let followed = lock(&self.followed).clone();
        let is_free = |source: &&relay::Source| {
            let followed = followed.as_ref();
            !followed.is_some_and(|followed| {
                followed.may_still_answer(source, timing.store_timeout, now)
            })
        };
        let free: Vec<relay::Source> = order.iter().filter(is_free).cloned().collect();
        lock(&self.failures).first_usable(&free, now).cloned()
    }

    fn record_success(&self, source: &relay::Source) {
        lock(&self.failures).record_success(source);
    }

    fn record_failure(&self, source: &relay::Source, error: &fetch::FeedError) {
        let now = self.app.clock.now();
        let mut failures = lock(&self.failures);
        if error.is_immediate() {
            failures.record_useless(source, now);
        } else {
            failures.record_failure(source, now);
        }
    }

    fn record_useless(&self, source: &relay::Source) {
        let now = self.app.clock.now();
        lock(&self.failures).record_useless(source, now);
    }

    /// Removes later what a restored store has lost, after a read that changed the copy.
    fn expire_lost(&self, is_changed: bool) {
        match self.kind {
            store::Kind::Upstreams if is_changed => restored::expire_lost_upstreams(&self.app),
            store::Kind::Evacuations if is_changed => restored::expire_lost_evacuations(&self.app),
            _ => {}
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
