//! All entries of a fleet together keep to the retry budget of a service, through starts, losses,
//! cuts and returns.

use std::time;

use pimentohook_core::retry_budget::{BurstShare, RetryBudget};
use proptest::prelude::*;

const WINDOW: time::Duration = time::Duration::from_secs(10);
const TICK_MS: u64 = 250;
const TICKS_PER_WINDOW: usize = 40;
const PERCENT: u64 = 20;
/// The starts within a window that a budget allows for.
const STARTS_PER_WINDOW: usize = 2;
/// What entries know of a start or a loss after this many ticks, 2.5 s.
const NOTICE_TICKS: usize = 10;

/// More than any budget of these tests allows in a tick.
const RETRIES_MAX: u64 = 1_000_000;

/// What happens to some of the entries at a moment.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Their processes are lost and start again after these ticks.
    Restart { down_ticks: usize },
    /// They hear nobody and can't read the registrations for these ticks.
    Cut { ticks: usize },
    /// They are suspended for these ticks.
    Freeze { ticks: usize },
}

#[derive(Clone, Copy, Debug)]
struct Step {
    at_tick: usize,
    event: Event,
    /// Every entry whose number divided by this leaves no rest.
    divisor: usize,
}

struct Entry {
    budget: RetryBudget,
    share: BurstShare,
    started_tick: usize,
    /// When it was lost.
    lost_ticks: Vec<usize>,
    /// When it runs again, if it is lost.
    up_at_tick: usize,
    cut_until_tick: usize,
    frozen_until_tick: usize,
    /// Whether it has read the registrations since its start.
    is_fleet_known: bool,
}

struct Fleet {
    entries: Vec<Entry>,
    burst_count: u64,
    epoch: time::Instant,
    /// The requests and the retries of each tick.
    ticks: Vec<(u64, u64)>,
}

impl Fleet {
    fn new(entry_count: usize, burst_count: u64) -> Self {
        let epoch = time::Instant::now();
        let start = |_| Entry {
            budget: RetryBudget::new(PERCENT, WINDOW),
            share: BurstShare::new(burst_count, WINDOW, epoch),
            started_tick: 0,
            lost_ticks: Vec::new(),
            up_at_tick: 0,
            cut_until_tick: 0,
            frozen_until_tick: 0,
            is_fleet_known: false,
        };
        Self {
            entries: (0..entry_count).map(start).collect(),
            burst_count,
            epoch,
            ticks: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        let tick = step.at_tick;
        for entry in self.entries.iter_mut().step_by(step.divisor) {
            match step.event {
                Event::Restart { down_ticks } => {
                    let first = tick.saturating_sub(TICKS_PER_WINDOW);
                    entry.lost_ticks.retain(|lost| *lost >= first);
                    if entry.lost_ticks.len() == STARTS_PER_WINDOW {
                        continue;
                    }
                    entry.lost_ticks.push(tick);
                    entry.up_at_tick = entry.up_at_tick.max(tick + down_ticks);
                }
                Event::Cut { ticks } => {
                    entry.cut_until_tick = entry.cut_until_tick.max(tick + ticks);
                }
                Event::Freeze { ticks } => {
                    entry.frozen_until_tick = entry.frozen_until_tick.max(tick + ticks);
                }
            }
        }
    }

    /// Plays a tick in which each entry gets requests and sends all the retries that it may.
    fn play(&mut self, tick: usize, requests_per_entry: u64) {
        let entry_count = u32::try_from(self.entries.len()).expect("a count");
        let now = self.epoch
            + time::Duration::from_millis(TICK_MS) * u32::try_from(tick).expect("a tick");
        let mut retry_count = 0;
        for entry in &mut self.entries {
            if tick < entry.up_at_tick {
                entry.is_fleet_known = false;
                continue;
            }
            if entry.up_at_tick == tick && tick > 0 {
                entry.budget = RetryBudget::new(PERCENT, WINDOW);
                entry.share = BurstShare::new(self.burst_count, WINDOW, now);
                entry.started_tick = tick;
            }
            if tick < entry.frozen_until_tick {
                continue;
            }
            let is_cut = tick < entry.cut_until_tick;
            let may_read = tick >= entry.started_tick + 2 && !is_cut;
            entry.is_fleet_known |= may_read;
            let now_ms = TICK_MS * u64::try_from(tick - entry.started_tick).expect("a tick");
            for _ in 0..requests_per_entry {
                entry.budget.record_request(now_ms);
            }
            while entry.budget.try_withdraw(now_ms, entry.share.hundredths()) {
                retry_count += 1;
                assert!(retry_count < RETRIES_MAX, "the budget has no end");
            }
            entry
                .share
                .update(now, entry.is_fleet_known.then_some(entry_count));
        }
        // Requests to entries that are lost or frozen count for the service too.
        let request_count = requests_per_entry * u64::from(entry_count);
        self.ticks.push((request_count, retry_count));
    }

    /// Returns by how many retries the worst window exceeds the budget.
    fn worst_excess(&self) -> i64 {
        let windows = 0..self.ticks.len().saturating_sub(TICKS_PER_WINDOW);
        let excess = |start: usize| {
            let window = &self.ticks[start..start + TICKS_PER_WINDOW];
            let retry_count: u64 = window.iter().map(|(_, retries)| retries).sum();
            let request_count: u64 = window.iter().map(|(requests, _)| requests).sum();
            let allowed_hundredths = PERCENT * request_count + self.burst_count * 100;
            retry_count.cast_signed() - (allowed_hundredths / 100).cast_signed()
        };
        windows.map(excess).max().unwrap_or(i64::MIN)
    }
}

fn play(entry_count: usize, burst_count: u64, steps: &[Step], requests_per_entry: u64) -> i64 {
    let mut fleet = Fleet::new(entry_count, burst_count);
    for tick in 0..6 * TICKS_PER_WINDOW {
        for step in steps.iter().filter(|step| step.at_tick == tick) {
            fleet.apply(*step);
        }
        fleet.play(tick, requests_per_entry);
    }
    fleet.worst_excess()
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let ticks = 1_usize..60;
    let event = prop_oneof![
        3 => ticks.clone().prop_map(|down_ticks| Event::Restart { down_ticks }),
        1 => ticks.clone().prop_map(|ticks| Event::Cut { ticks }),
        1 => ticks.prop_map(|ticks| Event::Freeze { ticks }),
    ];
    let step = (0_usize..200, event, 1_usize..4).prop_map(|(at_tick, event, divisor)| Step {
        at_tick,
        event,
        divisor,
    });
    prop::collection::vec(step, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    #[test]
    fn a_fleet_keeps_to_its_budget_whatever_becomes_of_its_entries(
        entry_count in prop::sample::select(vec![1_usize, 2, 6, 43]),
        burst_count in prop::sample::select(vec![0_u64, 1, 100, 242]),
        requests_per_entry in 0_u64..6,
        steps in steps(),
    ) {
        let excess = play(entry_count, burst_count, &steps, requests_per_entry);
        prop_assert!(excess <= 0, "{} retries too many", excess);
    }
}

/// Power was lost for all at full traffic, twice within one window.
#[test]
fn a_fleet_that_loses_power_twice_keeps_to_its_budget() {
    let loss = |at_tick| Step {
        at_tick,
        event: Event::Restart { down_ticks: 4 },
        divisor: 1,
    };
    for entry_count in [1, 6, 43, 3_700] {
        let excess = play(entry_count, 242, &[loss(100), loss(120)], 2);
        assert!(
            excess <= 0,
            "{entry_count} entries: {excess} retries too many"
        );
    }
}

/// In calm times the burst is there to be used, but for what starts may need and less than a retry an
/// entry.
#[test]
fn a_fleet_that_runs_calmly_may_use_four_fifths_of_its_burst() {
    for entry_count in [1, 6, 43] {
        let excess = play(entry_count, 240, &[], 2);
        let unused_max = 240 / 5 + i64::try_from(entry_count).expect("a count");
        assert!(
            (-unused_max..=0).contains(&excess),
            "{entry_count} entries: {excess}"
        );
    }
}

/// A fleet that grows: entries that nobody has counted until they start.
#[test]
fn entries_that_join_at_once_take_no_more_than_what_the_others_give_up() {
    let epoch = time::Instant::now();
    let at = |tick: usize| epoch + time::Duration::from_millis(TICK_MS * tick as u64);
    let mut old = BurstShare::new(240, WINDOW, epoch);
    old.update(epoch, Some(6));
    let mut joined = BurstShare::new(240, WINDOW, at(200));
    let mut sent = Vec::new();
    for tick in 100..400 {
        let noticed = tick >= 200 + NOTICE_TICKS;
        old.update(at(tick), Some(if noticed { 12 } else { 6 }));
        joined.update(at(tick), (tick >= 202).then_some(12));
        let joined_share = if tick >= 200 { joined.hundredths() } else { 0 };
        sent.push((6 * old.hundredths(), 6 * joined_share));
    }
    for window in sent.windows(TICKS_PER_WINDOW) {
        let old_max = window.iter().map(|(old, _)| old).max();
        let joined_max = window.iter().map(|(_, joined)| joined).max();
        assert!(
            old_max
                .zip(joined_max)
                .is_some_and(|(old, joined)| old + joined <= 24_000)
        );
    }
    assert_eq!(sent.last(), Some(&(9_600, 9_600)));
}

/// An entry that joins a calm fleet may repeat from its first requests on.
#[test]
fn an_entry_that_has_just_started_may_retry_a_share_of_its_requests() {
    let budget = RetryBudget::new(PERCENT, WINDOW);
    for number in 0..10 {
        budget.record_request(number * 100);
    }
    assert!(budget.try_withdraw(1_000, 0));
    assert!(budget.try_withdraw(1_000, 0));
    assert!(!budget.try_withdraw(1_000, 0));
    assert!(!budget.try_withdraw(11_000, 0));
}

/// The first request that an entry gets in a calm fleet may fail at its first upstream.
#[test]
fn the_first_request_of_an_entry_may_be_retried_once_the_fleet_is_known() {
    let started_at = time::Instant::now();
    let budget = RetryBudget::new(PERCENT, WINDOW);
    let mut share = BurstShare::new(100, WINDOW, started_at);
    budget.record_request(0);
    assert!(!budget.try_withdraw(0, share.hundredths()));
    share.update(started_at, Some(6));
    assert!(budget.try_withdraw(0, share.hundredths()));
    assert!(!budget.try_withdraw(0, share.hundredths()));
}
