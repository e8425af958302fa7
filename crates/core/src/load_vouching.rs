//! Whether it is known that an engine has loaded what was read back of its staged chunks.
//!
//! A load order may lie unread at an engine that stands still, and a write of a chunk as well. So the
//! moment at which an order was accepted is known only within a window: after the last report that
//! does not count it, and by the first one that does, or by the response to it. A load is vouched for
//! if no chunk was written since that window began, and the chunks were read back, all intact, either
//! shortly before its end or after it: a chunk that has turned bad stays bad until it is written.
//!
//! A write that was not confirmed may take effect at any later time. With one of those, chunks must
//! have been read back twice: before the window began, but shortly before its end, and after it. That
//! says nothing of a chunk with two such writes, one of which may have undone the other.
//!
//! ```
//! use std::time;
//!
//! use indexmap::IndexMap;
//! use pimentohook_core::{clock, load_vouching, read_back};
//!
//! let at = |s| clock::BootInstant::from_boot(time::Duration::from_secs(s));
//! let weights = IndexMap::from([(String::from("m"), 2)]);
//! let mut vouching = load_vouching::LoadVouching::default();
//! vouching.record_report(at(9), at(9), 0);
//! vouching.record_read_back("m", 2, read_back::ReadBack::begin(at(10)), at(11));
//! vouching.record_report(at(11), at(11), 0);
//! // The engine stood still as the order arrived.
//! vouching.record_report(at(12), at(16), 1);
//! assert_eq!(vouching.verdict(&weights), load_vouching::Verdict::ReadBackWanted);
//! vouching.record_read_back("m", 2, read_back::ReadBack::begin(at(17)), at(18));
//! assert_eq!(vouching.verdict(&weights), load_vouching::Verdict::Vouched);
//! ```

use indexmap::{IndexMap, IndexSet};

use crate::{clock, read_back};

/// What is known of the weights that an engine loaded last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// They are those that were read back, or the engine has loaded none that was seen.
    Vouched,
    /// They are if all staged chunks are intact now.
    ReadBackWanted,
    /// It can't be known; they have to be loaded again.
    LoadWanted,
}

/// The time within which an order was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Window {
    after: clock::BootInstant,
    by: clock::BootInstant,
}

/// An order whose acceptance the engine confirmed.
#[derive(Clone, Copy, Debug)]
struct Confirmed {
    /// The number of orders that the engine had accepted before.
    order_count: u64,
    window: Window,
}

/// The staged chunks of a version that were read back, all intact.
#[derive(Clone, Debug)]
struct Intact {
    model: String,
    version: u64,
    read_back: read_back::ReadBack,
    ended_at: clock::BootInstant,
}

impl Intact {
    fn is_of(&self, weights: &IndexMap<String, u64>) -> bool {
        weights.get(&self.model) == Some(&self.version)
    }
}

/// A write of a staged chunk that was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UnconfirmedWrite {
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub version: u64,
    /// The number of the chunk.
    pub chunk: u32,
}

/// A load that was seen and is not vouched for yet.
#[derive(Clone, Debug)]
struct Load {
    window: Window,
    /// The chunks as they were last read back before the load was seen.
    read_before: Option<Intact>,
    /// The chunks as they were read back since.
    read_after: Option<Intact>,
    is_found_bad: bool,
}

/// What is known of the loads of one engine.
#[derive(Clone, Debug, Default)]
pub struct LoadVouching {
    /// The orders that the engine had accepted by its last report, and when that was requested.
    reported: Option<(u64, clock::BootInstant)>,
    confirmed: Option<Confirmed>,
    read_back: Option<Intact>,
    written_at: Option<clock::BootInstant>,
    unconfirmed: IndexSet<UnconfirmedWrite>,
    load: Option<Load>,
}

impl LoadVouching {
    /// Records the number of orders that the engine had accepted by a report; returns whether it has
    /// accepted one since the report before.
    ///
    /// A report that was requested before the last recorded one changes nothing. A lower number
    /// means that the engine has started again, and has lost what lay unread there.
    pub fn record_report(
        &mut self,
        requested_at: clock::BootInstant,
        answered_at: clock::BootInstant,
        order_count: u64,
    ) -> bool {
        let Some((before, after)) = self.reported else {
            self.reported = Some((order_count, requested_at));
            return false;
        };
        if requested_at < after {
            return false;
        }
        self.reported = Some((order_count, requested_at));
        let by = answered_at;
        let mut window = Window { after, by };
        if order_count < before {
            self.unconfirmed.clear();
            self.load = None;
        }
        if order_count == before || order_count == 0 {
            return false;
        }
        let is_confirmed =
            |confirmed: &Confirmed| confirmed.order_count == before && order_count == before + 1;
        if let Some(confirmed) = self.confirmed.take_if(|confirmed| is_confirmed(confirmed)) {
            window.after = window.after.max(confirmed.window.after);
            window.by = window.by.min(confirmed.window.by);
        }
        self.load = Some(Load {
            window,
            read_before: self.read_back.clone(),
            read_after: None,
            is_found_bad: false,
        });
        true
    }

    /// Records that the engine confirmed to have accepted an order after `order_count` others, which
    /// was sent and answered at these times.
    pub const fn record_accepted(
        &mut self,
        order_count: u64,
        sent_at: clock::BootInstant,
        answered_at: clock::BootInstant,
    ) {
        self.confirmed = Some(Confirmed {
            order_count,
            window: Window {
                after: sent_at,
                by: answered_at,
            },
        });
    }

    /// Records a write of a staged chunk that has ended by now, after which what was read back holds no
    /// longer; one that the engine did not confirm may still take effect.
    pub fn record_write(&mut self, now: clock::BootInstant, unconfirmed: Option<UnconfirmedWrite>) {
        self.read_back = None;
        self.written_at = self.written_at.max(Some(now));
        self.unconfirmed.extend(unconfirmed);
    }

    /// Returns whether a write of the loaded version may have undone one of another version.
    fn may_undo_each_other(&self, weights: &IndexMap<String, u64>) -> bool {
        let is_loaded =
            |write: &&UnconfirmedWrite| weights.get(&write.model) == Some(&write.version);
        let mut loaded = self.unconfirmed.iter().filter(is_loaded);
        loaded.any(|loaded| {
            let is_conflicting = |other: &UnconfirmedWrite| {
                let is_same_chunk = (&other.model, other.chunk) == (&loaded.model, loaded.chunk);
                is_same_chunk && other.version != loaded.version
            };
            self.unconfirmed.iter().any(is_conflicting)
        })
    }

    /// Records that all staged chunks were read back as those of a version, the last of them by
    /// `ended_at`.
    pub fn record_read_back(
        &mut self,
        model: &str,
        version: u64,
        read_back: read_back::ReadBack,
        ended_at: clock::BootInstant,
    ) {
        let intact = Intact {
            model: String::from(model),
            version,
            read_back,
            ended_at,
        };
        let load = self.load.as_mut();
        if let Some(load) = load.filter(|load| read_back.began_after(load.window.by)) {
            load.read_after = Some(intact.clone());
        }
        self.read_back = Some(intact);
    }

    /// Records that a staged chunk was found bad or missing after a load.
    pub const fn record_found_bad(&mut self) {
        if let Some(load) = &mut self.load {
            load.is_found_bad = true;
        }
    }

    /// Returns what is known of the load of the weights that the engine serves.
    #[must_use]
    pub fn verdict(&self, weights: &IndexMap<String, u64>) -> Verdict {
        let Some(load) = &self.load else {
            return Verdict::Vouched;
        };
        let holds =
            |intact: &&Intact| intact.is_of(weights) && intact.read_back.holds_for(load.window.by);
        let holding = load.read_before.as_ref().filter(holds);
        let is_read_in_time = holding.is_some();
        let is_read_before = holding.is_some_and(|intact| intact.ended_at <= load.window.after);
        let read_after = load.read_after.as_ref();
        let is_read_after = read_after.is_some_and(|intact| intact.is_of(weights));
        let is_written_since = self.written_at > Some(load.window.after);
        let has_unconfirmed = !self.unconfirmed.is_empty();
        let may_be_repaired = is_written_since
            || (has_unconfirmed && !is_read_before)
            || self.may_undo_each_other(weights);
        if may_be_repaired || load.is_found_bad {
            Verdict::LoadWanted
        } else if is_read_after || (is_read_in_time && !has_unconfirmed) {
            Verdict::Vouched
        } else {
            Verdict::ReadBackWanted
        }
    }

    /// Ends the judgement of the last load, because it is vouched for.
    pub fn settle(&mut self) {
        self.load = None;
    }
}
