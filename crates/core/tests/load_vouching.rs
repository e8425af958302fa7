//! Guards against weights that are used although an order or a write that lay unread at the engine
//! has put bad chunks, or such of another version, into them.

use std::time::Duration;

use indexmap::IndexMap;
use pimentohook_core::{
    clock::BootInstant,
    load_vouching::{LoadVouching, UnconfirmedWrite, Verdict},
    read_back::ReadBack,
};
use proptest::prelude::*;
use rstest::rstest;

const MODEL: &str = "m";
const VERSION: u64 = 2;
/// The rule excuses a chunk that turned bad in the last 3 s before it was taken.
const EXCUSED_MS: u64 = 3_000;
const CHUNK_COUNT: usize = 2;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(now_ms: u64) -> BootInstant {
    BootInstant::from_boot(ms(now_ms))
}

fn weights() -> IndexMap<String, u64> {
    IndexMap::from([(String::from(MODEL), VERSION)])
}

fn unconfirmed(chunk: usize, version: u64) -> UnconfirmedWrite {
    UnconfirmedWrite {
        model: String::from(MODEL),
        version,
        chunk: u32::try_from(chunk).expect("a small number"),
    }
}

/// Chunks are read back at 0.1 s, and the order is sent at 0.2 s after a report that doesn't count it.
fn ordered() -> LoadVouching {
    let mut vouching = LoadVouching::default();
    vouching.record_report(at(0), at(10), 0);
    vouching.record_write(at(90), None);
    vouching.record_read_back(MODEL, VERSION, ReadBack::begin(at(100)), at(100));
    vouching.record_report(at(190), at(200), 0);
    vouching
}

#[rstest]
#[case::confirmed(Some(300), 4_200, Verdict::Vouched)]
#[case::confirmed_late(Some(2_900), 4_200, Verdict::ReadBackWanted)]
#[case::seen_soon(None, 2_800, Verdict::Vouched)]
#[case::seen_late(None, 2_900, Verdict::ReadBackWanted)]
fn a_load_is_vouched_for_by_the_time_of_its_acceptance(
    #[case] confirmed_ms: Option<u64>,
    #[case] seen_ms: u64,
    #[case] expected: Verdict,
) {
    let mut vouching = ordered();
    if let Some(confirmed_ms) = confirmed_ms {
        vouching.record_accepted(0, at(200), at(confirmed_ms));
    }
    assert!(vouching.record_report(at(seen_ms - 10), at(seen_ms), 1));
    assert_eq!(vouching.verdict(&weights()), expected);
}

/// The response was to another order than the one that was accepted.
#[test]
fn a_response_to_an_earlier_order_does_not_date_a_later_one() {
    let mut vouching = ordered();
    vouching.record_accepted(0, at(200), at(300));
    assert!(vouching.record_report(at(4_190), at(4_200), 2));
    assert_eq!(vouching.verdict(&weights()), Verdict::ReadBackWanted);
}

#[rstest]
#[case::intact(true, Verdict::Vouched)]
#[case::bad(false, Verdict::LoadWanted)]
fn a_load_by_an_order_that_lay_unread_is_judged_by_reading_back(
    #[case] is_intact: bool,
    #[case] expected: Verdict,
) {
    let mut vouching = ordered();
    vouching.record_report(at(4_190), at(4_200), 1);
    if is_intact {
        vouching.record_read_back(MODEL, VERSION, ReadBack::begin(at(4_210)), at(4_210));
    } else {
        vouching.record_found_bad();
    }
    assert_eq!(vouching.verdict(&weights()), expected);
}

/// The order was taken while chunks were written, perhaps before one of them.
#[rstest]
#[case::confirmed(true)]
#[case::not_confirmed(false)]
fn a_load_while_chunks_were_written_is_never_vouched_for(#[case] is_confirmed: bool) {
    let mut vouching = ordered();
    vouching.record_write(at(250), (!is_confirmed).then(|| unconfirmed(0, VERSION)));
    vouching.record_report(at(300), at(310), 1);
    vouching.record_read_back(MODEL, VERSION, ReadBack::begin(at(320)), at(320));
    assert_eq!(vouching.verdict(&weights()), Verdict::LoadWanted);
}

/// A write that was not confirmed may have replaced a chunk after it was read back.
#[test]
fn with_an_unconfirmed_write_chunks_are_read_back_after_the_load_too() {
    let mut vouching = LoadVouching::default();
    vouching.record_report(at(0), at(10), 0);
    vouching.record_write(at(50), Some(unconfirmed(0, VERSION - 1)));
    vouching.record_read_back(MODEL, VERSION, ReadBack::begin(at(100)), at(100));
    vouching.record_report(at(190), at(200), 0);
    vouching.record_report(at(300), at(310), 1);
    assert_eq!(vouching.verdict(&weights()), Verdict::ReadBackWanted);
    vouching.record_read_back(MODEL, VERSION, ReadBack::begin(at(320)), at(320));
    assert_eq!(vouching.verdict(&weights()), Verdict::Vouched);
}

#[test]
fn chunks_of_another_version_vouch_for_nothing() {
    let mut vouching = ordered();
    vouching.record_report(at(300), at(310), 1);
    let other = IndexMap::from([(String::from(MODEL), VERSION + 1)]);
    assert_eq!(vouching.verdict(&other), Verdict::ReadBackWanted);
}

/// An engine that has started again holds nothing, and what lay unread there is lost.
#[test]
fn a_start_of_the_engine_ends_all_doubts() {
    let mut vouching = ordered();
    vouching.record_write(at(250), Some(unconfirmed(0, VERSION)));
    assert!(vouching.record_report(at(4_190), at(4_200), 1));
    assert!(!vouching.record_report(at(5_000), at(5_010), 0));
    vouching.record_read_back(MODEL, VERSION, ReadBack::begin(at(5_100)), at(5_100));
    vouching.record_report(at(5_200), at(5_210), 0);
    vouching.record_report(at(5_300), at(5_310), 1);
    assert_eq!(vouching.verdict(&weights()), Verdict::Vouched);
}

/// A report that was requested before the last one, and came after it, says nothing new.
#[test]
fn a_report_that_comes_late_changes_nothing() {
    let mut vouching = ordered();
    vouching.record_report(at(300), at(310), 1);
    assert!(!vouching.record_report(at(290), at(320), 0));
    assert!(!vouching.record_report(at(330), at(340), 1));
}

/// What may happen at an engine and its agent.
#[derive(Clone, Copy, Debug)]
enum Event {
    Pass {
        duration_ms: u64,
    },
    TurnBad {
        chunk: usize,
    },
    Write {
        chunk: usize,
        version: u64,
        is_unread: bool,
    },
    ReadBack {
        duration_ms: u64,
        turns_bad: bool,
    },
    Order {
        duration_ms: u64,
        is_unread: bool,
    },
    TakeUnread {
        index: usize,
    },
    Report {
        duration_ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let chunk = 0..CHUNK_COUNT;
    let version = prop_oneof![3 => Just(VERSION), 1 => Just(VERSION - 1)];
    prop_oneof![
        2 => (0..2_500_u64).prop_map(|duration_ms| Event::Pass { duration_ms }),
        1 => chunk.clone().prop_map(|chunk| Event::TurnBad { chunk }),
        2 => (chunk, version, prop::bool::weighted(0.3)).prop_map(
            |(chunk, version, is_unread)| Event::Write { chunk, version, is_unread }),
        3 => (0..400_u64, prop::bool::weighted(0.1)).prop_map(
            |(duration_ms, turns_bad)| Event::ReadBack { duration_ms, turns_bad }),
        3 => (0..1_000_u64, any::<bool>()).prop_map(
            |(duration_ms, is_unread)| Event::Order { duration_ms, is_unread }),
        2 => (0..4_usize).prop_map(|index| Event::TakeUnread { index }),
        5 => (0..1_000_u64).prop_map(|duration_ms| Event::Report { duration_ms }),
    ]
}

#[derive(Clone, Copy, Debug)]
enum Unread {
    Write { chunk: usize, version: u64 },
    Order { order_count: u64 },
}

/// An engine whose staged chunks are known, with its agent.
struct Model {
    now_ms: u64,
    versions: [u64; CHUNK_COUNT],
    bad_since_ms: [Option<u64>; CHUNK_COUNT],
    unread: Vec<Unread>,
    order_count: u64,
    is_sound: bool,
    reported_count: u64,
    vouching: LoadVouching,
}

impl Model {
    fn new() -> Self {
        let mut vouching = LoadVouching::default();
        vouching.record_report(at(0), at(0), 0);
        Self {
            now_ms: 0,
            versions: [VERSION; CHUNK_COUNT],
            bad_since_ms: [None; CHUNK_COUNT],
            unread: Vec::new(),
            order_count: 0,
            is_sound: true,
            reported_count: 0,
            vouching,
        }
    }

    fn is_intact(&self, chunk: usize) -> bool {
        self.versions[chunk] == VERSION && self.bad_since_ms[chunk].is_none()
    }

    fn turn_bad(&mut self, chunk: usize) {
        self.bad_since_ms[chunk].get_or_insert(self.now_ms);
    }

    fn write(&mut self, chunk: usize, version: u64) {
        self.versions[chunk] = version;
        self.bad_since_ms[chunk] = None;
    }

    fn take_order(&mut self, order_count: u64) -> bool {
        if self.order_count != order_count {
            return false;
        }
        self.order_count += 1;
        let is_excused = |since: &u64| self.now_ms - since <= EXCUSED_MS;
        let is_sound = |chunk: usize| {
            self.versions[chunk] == VERSION && self.bad_since_ms[chunk].iter().all(is_excused)
        };
        self.is_sound = (0..CHUNK_COUNT).all(is_sound);
        true
    }

    fn read_back(&mut self, duration_ms: u64, turns_bad: bool) {
        let read_back = ReadBack::begin(at(self.now_ms));
        let mut are_intact = self.is_intact(0);
        if turns_bad {
            self.turn_bad(0);
        }
        self.now_ms += duration_ms;
        are_intact &= self.is_intact(1);
        if are_intact {
            self.vouching
                .record_read_back(MODEL, VERSION, read_back, at(self.now_ms));
        } else {
            self.vouching.record_found_bad();
        }
    }

    fn order(&mut self, duration_ms: u64, is_unread: bool) {
        let order_count = self.reported_count;
        if is_unread {
            self.unread.push(Unread::Order { order_count });
            return;
        }
        let sent_at = at(self.now_ms);
        self.now_ms += duration_ms;
        if self.take_order(order_count) {
            let answered_at = at(self.now_ms);
            self.vouching
                .record_accepted(order_count, sent_at, answered_at);
        }
    }

    fn take_unread(&mut self, index: usize) {
        if index >= self.unread.len() {
            return;
        }
        match self.unread.remove(index) {
            Unread::Write { chunk, version } => self.write(chunk, version),
            Unread::Order { order_count } => {
                self.take_order(order_count);
            }
        }
    }

    fn report(&mut self, duration_ms: u64) {
        let requested_at = at(self.now_ms);
        self.reported_count = self.order_count;
        self.now_ms += duration_ms;
        self.vouching
            .record_report(requested_at, at(self.now_ms), self.reported_count);
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Pass { duration_ms } => self.now_ms += duration_ms,
            Event::TurnBad { chunk } => self.turn_bad(chunk),
            Event::Write {
                chunk,
                version,
                is_unread: true,
            } => {
                self.unread.push(Unread::Write { chunk, version });
                let unconfirmed = unconfirmed(chunk, version);
                self.vouching
                    .record_write(at(self.now_ms), Some(unconfirmed));
            }
            Event::Write {
                chunk,
                version,
                is_unread: false,
            } => {
                self.write(chunk, version);
                self.vouching.record_write(at(self.now_ms), None);
            }
            Event::ReadBack {
                duration_ms,
                turns_bad,
            } => self.read_back(duration_ms, turns_bad),
            Event::Order {
                duration_ms,
                is_unread,
            } => self.order(duration_ms, is_unread),
            Event::TakeUnread { index } => self.take_unread(index),
            Event::Report { duration_ms } => self.report(duration_ms),
        }
        // Events that follow take place later.
        self.now_ms += 1;
    }

    /// Returns whether the last load is vouched for, as far as the agent has heard of it.
    fn is_vouched(&self) -> bool {
        self.reported_count == self.order_count
            && self.vouching.verdict(&weights()) == Verdict::Vouched
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    /// Whatever lies unread and turns bad, what is vouched for was loaded from intact chunks.
    #[test]
    fn what_is_vouched_for_is_sound(events in prop::collection::vec(event(), 1..30)) {
        let mut model = Model::new();
        for event in events {
            model.play(event);
            if model.is_vouched() {
                prop_assert!(model.is_sound, "at {} ms", model.now_ms);
                model.vouching.settle();
            }
        }
    }
}

/// What was read back for a second load was taken for a check of the first.
#[test]
fn chunks_that_are_read_back_after_a_doubted_load_vouch_for_the_next() {
    let mut vouching = ordered();
    vouching.record_write(at(90), Some(unconfirmed(0, VERSION - 1)));
    vouching.record_report(at(300), at(310), 1);
    vouching.record_found_bad();
    vouching.record_write(at(400), None);
    vouching.record_read_back(MODEL, VERSION, ReadBack::begin(at(410)), at(420));
    vouching.record_report(at(430), at(440), 1);
    vouching.record_report(at(500), at(510), 2);
    assert_eq!(vouching.verdict(&weights()), Verdict::ReadBackWanted);
    vouching.record_read_back(MODEL, VERSION, ReadBack::begin(at(520)), at(530));
    assert_eq!(vouching.verdict(&weights()), Verdict::Vouched);
}
