//! A simulated load: requests, entries that choose agents, and agents that admit or refuse.

use std::{cmp::Reverse, collections::BinaryHeap, time};

use pimentohook_core::{
    id,
    limits::{FairSlots, RetryBudget},
    routing::{choice, score},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

const AGENT_COUNT: usize = 16;
const ENTRY_COUNT: usize = 6;
const SLOT_COUNT: usize = 8;
const QUEUE_MAX: usize = 8;
const STEP_MS: u64 = 10;
const TOKENS_MIN: u64 = 8;
const TOKENS_MAX: u64 = 32;
const REQUEST_COUNT: usize = 60_000;
const ATTEMPTS_MAX: usize = 3;
const RETRY_PERCENT: u64 = 9;
const RETRY_BURST: u64 = 20;
const SLOW_FACTOR: u64 = 10;
const ORGANISATION_COUNT: usize = 10;
const FLOOD_SHARE: f64 = 0.9;
const ACTIVE_WINDOW: time::Duration = time::Duration::from_secs(2);
const FAULTY_AGENT: usize = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    None,
    OneSlow,
    OneDead,
    AllSlow,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub policy: choice::Policy,
    pub fault: Fault,
    pub load_percent: u64,
    /// Whether one organisation sends about nine out of ten requests.
    pub flood: bool,
}

#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub policy: String,
    pub fault: String,
    pub load_percent: u64,
    pub first_p50_ms: f64,
    pub first_p99_ms: f64,
    pub total_p50_ms: f64,
    pub total_p99_ms: f64,
    pub answered_share: f64,
    pub amplification: f64,
    pub small_answered_share: f64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FirstToken {
        entry: usize,
        agent: usize,
        latency_ms: u64,
    },
    End {
        entry: usize,
        agent: usize,
        organisation: usize,
    },
    Arrive {
        number: usize,
    },
}

struct World {
    case: Case,
    rng: ChaCha8Rng,
    now_ms: u64,
    started_at: time::Instant,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    slots: Vec<FairSlots>,
    /// When each slot of each engine becomes free.
    free_at_ms: Vec<Vec<u64>>,
    stats: Vec<Vec<score::UpstreamStats>>,
    budgets: Vec<RetryBudget>,
    choice_counts: Vec<usize>,
    organisations: Vec<id::OrganisationName>,
    first_token_latencies_ms: Vec<u64>,
    total_latencies_ms: Vec<u64>,
    dispatch_count: u64,
    small_answered_and_sent: (u64, u64),
}

/// Runs one case.
pub fn run(case: Case, seed: u64) -> Outcome {
    let mut world = World::new(case, seed);
    world.schedule_arrivals();
    let mut arrivals_left = REQUEST_COUNT;
    while arrivals_left > 0 {
        let Some(Reverse((at_ms, _, event))) = world.events.pop() else {
            break;
        };
        world.now_ms = at_ms;
        match event {
            Event::FirstToken {
                entry,
                agent,
                latency_ms,
            } => {
                let latency = time::Duration::from_millis(latency_ms);
                world.stats[entry][agent].record_success(latency);
            }
            Event::End {
                entry,
                agent,
                organisation,
            } => {
                world.stats[entry][agent].record_end();
                let organisation = world.organisations[organisation].clone();
                world.slots[agent].release(&organisation);
            }
            Event::Arrive { number } => {
                arrivals_left -= 1;
                world.arrive(number);
            }
        }
    }
    world.outcome()
}

impl World {
    fn new(case: Case, seed: u64) -> Self {
        let new_stats = |_| {
            let stats = score::UpstreamStats::default();
            stats.record_slot_count(u32::try_from(SLOT_COUNT).unwrap_or(1));
            stats
        };
        let entry_stats = || (0..AGENT_COUNT).map(new_stats).collect();
        let name = |index| format!("organisation-{index}").parse().expect("a name");
        Self {
            case,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            started_at: time::Instant::now(),
            events: BinaryHeap::new(),
            event_count: 0,
            slots: (0..AGENT_COUNT)
                .map(|_| FairSlots::new(SLOT_COUNT + QUEUE_MAX, ACTIVE_WINDOW))
                .collect(),
            free_at_ms: vec![vec![0; SLOT_COUNT]; AGENT_COUNT],
            stats: (0..ENTRY_COUNT).map(|_| entry_stats()).collect(),
            budgets: (0..ENTRY_COUNT)
                .map(|_| RetryBudget::new(RETRY_PERCENT, RETRY_BURST))
                .collect(),
            choice_counts: vec![0; ENTRY_COUNT],
            organisations: (0..ORGANISATION_COUNT).map(name).collect(),
            first_token_latencies_ms: Vec::new(),
            total_latencies_ms: Vec::new(),
            dispatch_count: 0,
            small_answered_and_sent: (0, 0),
        }
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_ms, self.event_count, event)));
    }

    /// Schedules Poisson arrivals at `load_percent` of the healthy fleet's capacity.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "virtual milliseconds"
    )]
    fn schedule_arrivals(&mut self) {
        let tokens_mean = (TOKENS_MIN + TOKENS_MAX) as f64 / 2.0;
        let service_ms = tokens_mean * STEP_MS as f64;
        let capacity_per_ms = (AGENT_COUNT * SLOT_COUNT) as f64 / service_ms;
        let rate_per_ms = capacity_per_ms * self.case.load_percent as f64 / 100.0;
        let mut at_ms = 0.0;
        for number in 0..REQUEST_COUNT {
            let uniform: f64 = self.rng.random();
            at_ms += -(1.0 - uniform).ln() / rate_per_ms;
            self.push(at_ms as u64, Event::Arrive { number });
        }
    }

    fn random_organisation(&mut self) -> usize {
        if self.case.flood && self.rng.random_bool(FLOOD_SHARE) {
            return 0;
        }
        self.rng.random_range(0..ORGANISATION_COUNT)
    }

    fn arrive(&mut self, number: usize) {
        let entry = number % ENTRY_COUNT;
        let organisation = self.random_organisation();
        let tokens = self.rng.random_range(TOKENS_MIN..=TOKENS_MAX);
        self.budgets[entry].deposit();
        self.small_answered_and_sent.1 += u64::from(organisation != 0);
        let mut untried: Vec<usize> = (0..AGENT_COUNT).collect();
        for attempt in 0..ATTEMPTS_MAX {
            if attempt > 0 && !self.budgets[entry].try_withdraw() {
                return;
            }
            let Some(agent) = self.choose(entry, &mut untried) else {
                return;
            };
            self.dispatch_count += 1;
            if self.dispatch(entry, agent, organisation, tokens) {
                self.small_answered_and_sent.0 += u64::from(organisation != 0);
                return;
            }
        }
    }

    fn choose(&mut self, entry: usize, untried: &mut Vec<usize>) -> Option<usize> {
        let stats = &self.stats[entry];
        let candidates: Vec<_> = untried.iter().map(|agent| &stats[*agent]).collect();
        self.choice_counts[entry] += 1;
        let choice_count = self.choice_counts[entry];
        let policy = self.case.policy;
        let chosen = choice::choose(
            policy,
            &candidates,
            self.now_ms,
            choice_count,
            &mut self.rng,
        )?;
        Some(untried.swap_remove(chosen))
    }

    fn dispatch(&mut self, entry: usize, agent: usize, organisation: usize, tokens: u64) -> bool {
        if self.case.fault == Fault::OneDead && agent == FAULTY_AGENT {
            self.stats[entry][agent].record_failure(self.now_ms);
            return false;
        }
        let now = self.started_at + time::Duration::from_millis(self.now_ms);
        let name = self.organisations[organisation].clone();
        if self.slots[agent].try_acquire(now, &name).is_err() {
            return false;
        }
        let is_slow = match self.case.fault {
            Fault::OneSlow => agent == FAULTY_AGENT,
            Fault::AllSlow => true,
            _ => false,
        };
        let step_ms = if is_slow {
            STEP_MS * SLOW_FACTOR
        } else {
            STEP_MS
        };
        self.stats[entry][agent].record_start();
        let queued_ms = self.occupy_engine_slot(agent, step_ms * tokens);
        let (first_ms, total_ms) = (queued_ms + step_ms, queued_ms + step_ms * tokens);
        self.first_token_latencies_ms.push(first_ms);
        self.total_latencies_ms.push(total_ms);
        let first = Event::FirstToken {
            entry,
            agent,
            latency_ms: first_ms,
        };
        self.push(self.now_ms + first_ms, first);
        let end = Event::End {
            entry,
            agent,
            organisation,
        };
        self.push(self.now_ms + total_ms, end);
        true
    }

    /// Occupies the engine's slot that becomes free first; returns how long the request is queued
    /// for it, in milliseconds.
    fn occupy_engine_slot(&mut self, agent: usize, service_ms: u64) -> u64 {
        let slots = &mut self.free_at_ms[agent];
        let first = (0..slots.len())
            .min_by_key(|slot| slots[*slot])
            .unwrap_or(0);
        let starts_at_ms = slots[first].max(self.now_ms);
        slots[first] = starts_at_ms + service_ms;
        starts_at_ms - self.now_ms
    }

    #[expect(clippy::cast_precision_loss, reason = "ratios for people to read")]
    fn outcome(mut self) -> Outcome {
        let answered = self.total_latencies_ms.len() as f64;
        Outcome {
            policy: self.case.policy.to_string(),
            fault: self.case.fault.to_string(),
            load_percent: self.case.load_percent,
            first_p50_ms: quantile(&mut self.first_token_latencies_ms, 50),
            first_p99_ms: quantile(&mut self.first_token_latencies_ms, 99),
            total_p50_ms: quantile(&mut self.total_latencies_ms, 50),
            total_p99_ms: quantile(&mut self.total_latencies_ms, 99),
            answered_share: answered / REQUEST_COUNT as f64,
            amplification: self.dispatch_count as f64 / REQUEST_COUNT as f64,
            small_answered_share: self.small_answered_and_sent.0 as f64
                / self.small_answered_and_sent.1.max(1) as f64,
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds for people to read"
)]
fn quantile(values: &mut [u64], percent: usize) -> f64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    let rank = (values.len() * percent / 100).min(last);
    values.get(rank).copied().unwrap_or(0) as f64
}
