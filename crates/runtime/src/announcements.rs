//! The announced versions of weights that the tasks of a process share.

use std::{sync, time};

use arc_swap::ArcSwap;
use pimentohook_core::{announcement, clock, position, standstill};

/// The announced versions as a process knows them, which are read without a lock.
pub struct SharedAnnouncements {
    clock: sync::Arc<dyn clock::Clock>,
    /// Versions that were replaced for this long are forgotten.
    grace: time::Duration,
    known: ArcSwap<announcement::Announcements>,
}

impl std::fmt::Debug for SharedAnnouncements {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SharedAnnouncements")
            .field("grace", &self.grace)
            .field("known", &self.known)
            .finish_non_exhaustive()
    }
}

impl SharedAnnouncements {
    /// Creates the record of a process that knows of no announcement.
    #[must_use]
    pub fn new(clock: sync::Arc<dyn clock::Clock>, grace: time::Duration) -> Self {
        Self {
            clock,
            grace,
            known: ArcSwap::default(),
        }
    }

    /// Returns what is known now.
    #[must_use]
    pub fn known(&self) -> sync::Arc<announcement::Announcements> {
        self.known.load_full()
    }

    /// Starts the span of a watch that continues what was read last.
    #[must_use]
    pub fn start_watch(&self) -> announcement::WatchSpan {
        announcement::WatchSpan::start(&*self.clock, &self.known.load())
    }

    /// Records all announced versions as the process has read them; returns those that are newer
    /// than all known ones.
    pub fn record_read<V>(&self, announced: &V, read: announcement::Read) -> Vec<(String, u64)>
    where
        V: IntoIterator<Item = (String, u64)> + Clone,
    {
        self.update(|announcements| announcements.record_read(announced.clone(), read))
    }

    /// Like [`SharedAnnouncements::record_read`], for versions that are all there were at a position
    /// of the store.
    pub fn record_read_at<V>(
        &self,
        announced: &V,
        read: announcement::Read,
        position: position::Position,
    ) -> Vec<(String, u64)>
    where
        V: IntoIterator<Item = (String, u64)> + Clone,
    {
        self.update(|announcements| announcements.record_read_at(announced.clone(), read, position))
    }

    /// Records that the store was at a position at this instant or later.
    pub fn confirm_position(&self, position: position::Position, at: clock::BootInstant) {
        self.update(|announcements| announcements.confirm_position(position, at));
    }

    /// Records that the process has read that nothing changed.
    pub fn confirm_read(&self, read: announcement::Read) {
        self.update(|announcements| announcements.confirm_read(read));
    }

    /// Records that the response to a watch has been read, whatever it reported.
    pub fn confirm_watch(
        &self,
        span: announcement::WatchSpan,
        standstills: &standstill::Monitor,
        transfer: time::Duration,
    ) {
        self.update(|announcements| {
            announcements.confirm_watch(span, &*self.clock, standstills, transfer);
        });
    }

    /// Records what another process has reported; returns whether any version is newer than all
    /// known ones.
    pub fn merge(&self, report: &announcement::Report, heard: announcement::Heard) -> bool {
        self.update(|announcements| announcements.merge(report, heard))
    }

    /// Returns what to tell other processes.
    #[must_use]
    pub fn report(&self) -> announcement::Report {
        self.known.load().report(self.clock.boot_now())
    }

    /// Changes a copy, again if another task has replaced the original; returns what the last
    /// change returned.
    fn update<F, R>(&self, mut change: F) -> R
    where
        F: FnMut(&mut announcement::Announcements) -> R,
        R: Default,
    {
        let now = self.clock.boot_now();
        let mut result = R::default();
        self.known.rcu(|known| {
            let mut known = announcement::Announcements::clone(known);
            result = change(&mut known);
            known.prune(now, self.grace);
            known
        });
        result
    }
}
