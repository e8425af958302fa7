//! Tests that all entries together send a cold instance no more than it bears.

use std::time::{Duration, Instant};

use pimentohook_core::{cold, engine_admission, routes};
use proptest::prelude::*;
use rstest::rstest;

const INSTANCE: &str = "i-1";
const SECOND: Duration = Duration::from_secs(1);
/// How long an admitted request takes to reach the instance at most.
const ARRIVAL_MAX_MS: u64 = 100;

fn limit(requests_per_s: f64) -> routes::ColdLimit {
    routes::ColdLimit {
        duration: Duration::from_secs(3),
        requests_per_s,
    }
}

fn entries(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("entry-{number}")).collect()
}

fn unwatched_sum(limit: &routes::ColdLimit, entries: &[String]) -> u32 {
    let names = || entries.iter().map(String::as_str);
    let count = |own| cold::Ceiling::of_unwatched(limit, INSTANCE, own, names()).count;
    names().map(count).sum()
}

#[rstest]
#[case::above_the_entries(26.0, 3, 26)]
#[case::below_the_entries(26.0, 40, 26)]
#[case::few(3.0, 40, 3)]
#[case::one(1.0, 3, 1)]
#[case::below_one(0.25, 3, 1)]
#[case::nothing_for_entries(f64::MIN_POSITIVE, 3, 1)]
fn agent_and_entries_together_stay_under_the_limit(
    #[case] requests_per_s: f64,
    #[case] entry_count: usize,
    #[case] total: u32,
) {
    let limit = limit(requests_per_s);
    let agent = cold::Ceiling::of_agent(&limit);
    let unwatched = unwatched_sum(&limit, &entries(entry_count));
    assert!(agent.count >= 1);
    assert!(agent.count + unwatched <= total);
    let allowed_per_s = f64::from(total) / agent.window.as_secs_f64();
    assert!(allowed_per_s <= requests_per_s.max(1.0 / 60.0));
}

#[test]
fn a_list_that_is_read_again_does_not_make_an_instance_cold_for_longer() {
    let heard_at = Instant::now();
    let left = Duration::from_secs(2);
    let first = cold::Registered::after(None, heard_at, left);
    let again = cold::Registered::after(Some(first), heard_at + SECOND, left);
    assert_eq!(again.remaining(heard_at + SECOND), SECOND);
    let other = cold::Registered::after(Some(first), heard_at + SECOND, 2 * left);
    assert_eq!(other.remaining(heard_at + SECOND), 2 * left);
}

fn signs(started_unix_ms: u64, order_count: u64, has_weights: bool) -> cold::StartSigns {
    cold::StartSigns {
        started_unix_ms: Some(started_unix_ms),
        order_count,
        has_weights,
    }
}

#[rstest]
#[case::same(signs(1, 2, true), false)]
#[case::ordered(signs(1, 3, false), false)]
#[case::born_again(signs(9, 2, true), true)]
#[case::forgot_orders(signs(1, 0, true), true)]
#[case::lost_weights(signs(1, 2, false), true)]
fn an_engine_that_has_started_is_cold(#[case] after: cold::StartSigns, #[case] is_start: bool) {
    let now = Instant::now();
    let limit = limit(8.0);
    let mut engine = cold::ColdEngine::new(now);
    assert!(engine.is_cold(now, &limit), "nothing is known");
    assert!(engine.record_report(now, signs(1, 2, true)));
    let later = now + 2 * limit.duration;
    assert!(!engine.is_cold(later, &limit));
    assert_eq!(engine.record_report(later, after), is_start);
    assert_eq!(engine.is_cold(later, &limit), is_start);
}

/// What happens to a cold engine, and when.
#[derive(Clone, Copy, Debug)]
enum Event {
    AskAgent,
    /// An entry that can't reach the agent has a request for the engine.
    SendUnwatched(usize),
    RestartAgent,
    RestartEntry(usize),
    Report {
        started_unix_ms: u64,
    },
    State {
        remaining_ms: u64,
    },
}

const ENTRY_COUNT: usize = 5;

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        20 => Just(Event::AskAgent),
        20 => (0..ENTRY_COUNT).prop_map(Event::SendUnwatched),
        1 => Just(Event::RestartAgent),
        1 => (0..ENTRY_COUNT).prop_map(Event::RestartEntry),
        1 => (1_u64..4).prop_map(|started_unix_ms| Event::Report { started_unix_ms }),
        1 => (0_u64..3_000).prop_map(|remaining_ms| Event::State { remaining_ms }),
    ]
}

/// The agent beside an engine that stays cold, and entries that can't reach it.
struct Fleet {
    limit: routes::ColdLimit,
    names: Vec<String>,
    agent: cold::ColdEngine,
    entries: Vec<cold::SentRequests>,
    arrivals: Vec<Instant>,
}

impl Fleet {
    fn new(now: Instant, requests_per_s: f64) -> Self {
        let mut fleet = Self {
            limit: limit(requests_per_s),
            names: entries(ENTRY_COUNT),
            agent: cold::ColdEngine::new(now),
            entries: vec![cold::SentRequests::new(now); ENTRY_COUNT],
            arrivals: Vec::new(),
        };
        fleet.become_cold(now);
        fleet
    }

    fn become_cold(&mut self, now: Instant) {
        self.agent.record_stated(now, Duration::from_hours(1));
    }

    fn apply(&mut self, now: Instant, event: Event, arrival: Duration) {
        match event {
            Event::AskAgent => {
                let admitted = self.agent.admit(now, Some(&self.limit), || Ok(()));
                if admitted.is_ok() {
                    self.arrivals.push(now + arrival);
                }
            }
            Event::SendUnwatched(entry) => {
                let names = self.names.iter().map(String::as_str);
                let own = &self.names[entry];
                let ceiling = cold::Ceiling::of_unwatched(&self.limit, INSTANCE, own, names);
                if self.entries[entry].wait(now, ceiling).is_none() {
                    self.entries[entry].record(now);
                    self.arrivals.push(now + arrival);
                }
            }
            Event::RestartAgent => {
                self.agent = cold::ColdEngine::new(now);
                self.become_cold(now);
            }
            Event::RestartEntry(entry) => self.entries[entry] = cold::SentRequests::new(now),
            Event::Report { started_unix_ms } => {
                self.agent
                    .record_report(now, signs(started_unix_ms, 1, true));
            }
            Event::State { remaining_ms } => {
                let remaining = Duration::from_millis(remaining_ms);
                self.agent.record_registered(now, remaining);
            }
        }
    }

    fn most_in_a_second(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let in_second = |from: &Instant| {
            let is_within = |at: &&Instant| *at >= from && **at < *from + SECOND;
            self.arrivals.iter().filter(is_within).count()
        };
        self.arrivals.iter().map(in_second).max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_second_has_more_than_the_limit_over_any_order_of_events(
        events in prop::collection::vec((0_u64..60, event(), 0..ARRIVAL_MAX_MS), 1..400),
        requests_per_s in 1_u32..40,
    ) {
        let mut now = Instant::now();
        let mut fleet = Fleet::new(now, f64::from(requests_per_s));
        for (after_ms, event, arrival_ms) in events {
            now += Duration::from_millis(after_ms);
            fleet.apply(now, event, Duration::from_millis(arrival_ms));
        }
        let most = fleet.most_in_a_second();
        prop_assert!(most <= requests_per_s as usize, "{most} in a second");
    }

    /// The engine was warm, and was granted what it had room for.
    #[test]
    fn what_was_granted_before_an_engine_became_cold_counts(
        gaps_ms in prop::collection::vec(0_u64..80, 1..100),
        requests_per_s in 4_u32..20,
    ) {
        let started_at = Instant::now();
        let limit = limit(f64::from(requests_per_s));
        let mut engine = cold::ColdEngine::new(started_at);
        engine.record_report(started_at, signs(1, 1, true));
        let mut now = started_at + 2 * limit.duration;
        let mut granted = Vec::new();
        let cold_from = now + Duration::from_millis(gaps_ms.iter().sum::<u64>() / 2);
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            if now >= cold_from {
                engine.record_stated(now, Duration::from_hours(1));
            }
            match engine.admit(now, Some(&limit), || Ok(())) {
                Ok(()) => granted.push(now),
                Err(reason) => {
                    prop_assert_eq!(reason, engine_admission::DenialReason::Cold);
                    prop_assert!(now >= cold_from);
                }
            }
        }
        for (index, at) in granted.iter().enumerate() {
            let before = granted[..index].iter().filter(|earlier| **earlier + SECOND > *at);
            let is_over = before.count() >= requests_per_s as usize;
            prop_assert!(*at < cold_from || !is_over);
        }
    }
}

#[test]
fn a_service_without_a_limit_is_not_held_back() {
    let now = Instant::now();
    let mut engine = cold::ColdEngine::new(now);
    engine.record_stated(now, SECOND);
    for _ in 0..100 {
        assert_eq!(engine.admit(now, None, || Ok(())), Ok(()));
    }
}
