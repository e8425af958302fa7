//! P3, P4 and P5 over orders of events: what agents ran is compared with what callers were told.
//!
//! The harness drives the same tables, views and walks as the binaries, over a network that
//! delays, loses and repeats messages, with agents that die and restart at the same address and
//! entries that freeze.

use std::{collections::BTreeMap, time};

use indexmap::IndexMap;
use pimentohook_core::{
    admission, id, intent, limits, membership,
    routing::{path, walk},
};
use proptest::prelude::*;

const AGENT_COUNT: usize = 5;
const ENTRY_COUNT: usize = 3;
const REQUEST_COUNT: usize = 3;
const WINDOW: time::Duration = time::Duration::from_mins(1);
const VIEW_AGE_MAX: time::Duration = time::Duration::from_secs(3);
const JOIN_AGE: time::Duration = time::Duration::from_secs(5);
const SILENCE_MAX: time::Duration = time::Duration::from_secs(2);
const DECIDE_MAX: time::Duration = time::Duration::from_secs(1);
const HEARTBEAT_EVERY: time::Duration = time::Duration::from_millis(250);
const OLD: time::Duration = time::Duration::from_mins(10);
const CHAIN_LENGTH: usize = 3;

#[derive(Clone, Debug)]
enum Op {
    Pass {
        millis: u64,
    },
    Send {
        request: usize,
        entry: usize,
        numbered: bool,
    },
    Kill {
        agent: usize,
    },
    Restart {
        agent: usize,
    },
    Leave {
        agent: usize,
    },
    Finish {
        agent: usize,
    },
    Freeze {
        entry: usize,
        millis: u64,
    },
    Part {
        entry: usize,
        agent: usize,
    },
    Heal,
}

/// What the network does with one message.
#[derive(Clone, Copy, Debug)]
struct Fate {
    delay_ms: u64,
    lost: bool,
    twice: bool,
}

fn op() -> impl Strategy<Value = Op> {
    let (agent, entry) = (0..AGENT_COUNT, 0..ENTRY_COUNT);
    prop_oneof![
        4 => (1_u64..3_000).prop_map(|millis| Op::Pass { millis }),
        5 => (0..REQUEST_COUNT, entry.clone(), any::<bool>())
            .prop_map(|(request, entry, numbered)| Op::Send { request, entry, numbered }),
        1 => agent.clone().prop_map(|agent| Op::Kill { agent }),
        1 => agent.clone().prop_map(|agent| Op::Restart { agent }),
        1 => agent.clone().prop_map(|agent| Op::Leave { agent }),
        1 => agent.clone().prop_map(|agent| Op::Finish { agent }),
        1 => (entry.clone(), 500_u64..20_000)
            .prop_map(|(entry, millis)| Op::Freeze { entry, millis }),
        1 => (entry, agent).prop_map(|(entry, agent)| Op::Part { entry, agent }),
        1 => Just(Op::Heal),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    let delay_ms = prop_oneof![
        6 => 1_u64..20,
        2 => 20_u64..1_500,
        1 => 1_500_u64..15_000,
    ];
    (
        delay_ms,
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.1),
    )
        .prop_map(|(delay_ms, lost, twice)| Fate {
            delay_ms,
            lost,
            twice,
        })
}

struct Agent {
    vm: id::VmId,
    table: Option<admission::Table>,
    incarnation: u64,
    leaving: bool,
    running: Vec<id::RequestId>,
}

struct Entry {
    view: membership::View,
    frozen_until: time::Instant,
    parted: [bool; AGENT_COUNT],
    held_back: IndexMap<usize, membership::AgentReport>,
}

struct Flight {
    entry: usize,
    request: usize,
    query: path::Query,
    path: path::Path,
    serial: u64,
    timeout_at: Option<time::Instant>,
    told: Option<walk::Verdict>,
    relayed: bool,
}

#[derive(Clone)]
enum Message {
    Dispatch {
        flight: usize,
        serial: u64,
        agent: usize,
        dispatch: admission::Dispatch,
    },
    Revoke {
        flight: usize,
        serial: u64,
        agent: usize,
        through: id::AttemptNumber,
        incarnation: id::Incarnation,
        view_stamp: admission::ViewStamp,
    },
    Reply {
        flight: usize,
        serial: u64,
        event: walk::Event,
    },
}

#[derive(Debug)]
struct Run {
    request: usize,
    attempt: u64,
    after_leave: bool,
}

struct World {
    now: time::Instant,
    heartbeat_at: time::Instant,
    agents: Vec<Agent>,
    entries: Vec<Entry>,
    flights: Vec<Flight>,
    network: BTreeMap<(time::Instant, u64), Message>,
    message_count: u64,
    fates: Vec<Fate>,
    attempts: [u64; REQUEST_COUNT],
    first_sent_at: [Option<time::Instant>; REQUEST_COUNT],
    runs: Vec<Run>,
    config: intent::Config,
}

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    text.parse().expect("a valid name")
}

fn new_table(incarnation: u64, started_at: time::Instant) -> admission::Table {
    let limits = admission::TableLimits {
        window: WINDOW,
        entries_max: 100,
        view_age_max: VIEW_AGE_MAX,
    };
    let slots = limits::FairSlots::new(2, WINDOW);
    admission::Table::new(id::Incarnation::new(incarnation), started_at, limits, slots)
}

impl World {
    fn new(fates: Vec<Fate>) -> Self {
        let started_at = time::Instant::now();
        let now = started_at + OLD;
        let agents = (0..AGENT_COUNT).map(|index| Agent {
            vm: name(&format!("vm-{index}")),
            table: Some(new_table(1, started_at)),
            incarnation: 1,
            leaving: false,
            running: Vec::new(),
        });
        let limits = membership::ViewLimits {
            silence_max: SILENCE_MAX,
            window: WINDOW,
            join_age: JOIN_AGE,
        };
        let entries = (0..ENTRY_COUNT).map(|_| Entry {
            view: membership::View::new(limits),
            frozen_until: now,
            parted: [false; AGENT_COUNT],
            held_back: IndexMap::new(),
        });
        let mut world = Self {
            now,
            heartbeat_at: now,
            agents: agents.collect(),
            entries: entries.collect(),
            flights: Vec::new(),
            network: BTreeMap::new(),
            message_count: 0,
            fates,
            attempts: [0; REQUEST_COUNT],
            first_sent_at: [None; REQUEST_COUNT],
            runs: Vec::new(),
            config: intent::Config::default(),
        };
        world.beat();
        world
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Pass { millis } => self.pass(time::Duration::from_millis(millis)),
            Op::Send {
                request,
                entry,
                numbered,
            } => self.send(request, entry, numbered),
            Op::Kill { agent } => {
                self.agents[agent].table = None;
                self.agents[agent].running.clear();
            }
            Op::Restart { agent } => self.restart(agent),
            Op::Leave { agent } => self.agents[agent].leaving = true,
            Op::Finish { agent } => self.finish(agent),
            Op::Freeze { entry, millis } => {
                self.entries[entry].frozen_until = self.now + time::Duration::from_millis(millis);
            }
            Op::Part { entry, agent } => self.entries[entry].parted[agent] = true,
            Op::Heal => self
                .entries
                .iter_mut()
                .for_each(|one| one.parted = [false; AGENT_COUNT]),
        }
    }

    fn restart(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        agent.incarnation += 1;
        agent.table = Some(new_table(agent.incarnation, self.now));
        agent.leaving = false;
        agent.running.clear();
    }

    fn finish(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if let (Some(table), Some(request_id)) = (&mut agent.table, agent.running.pop()) {
            table.finish(self.now, &request_id);
        }
    }

    /// A caller that does not number its attempts counts as making a second one each time.
    fn send(&mut self, request: usize, entry: usize, numbered: bool) {
        let first_sent_at = *self.first_sent_at[request].get_or_insert(self.now);
        // Callers may ask again within the window; half of it leaves room for what is under way.
        if self.now - first_sent_at > WINDOW / 2 || self.entries[entry].frozen_until > self.now {
            return;
        }
        self.attempts[request] += 1;
        let attempt = if numbered || self.attempts[request] == 1 {
            self.attempts[request]
        } else {
            2
        };
        let query = path::Query {
            request_id: name(&format!("request-{request}")),
            attempt: id::AttemptNumber::new(attempt),
            first: attempt == 1,
            service: name("hooks"),
            idempotent: false,
        };
        let planner = path::Planner {
            view: &self.entries[entry].view,
            config: &self.config,
            now: self.now,
            uptime: OLD,
            chain_length: CHAIN_LENGTH,
        };
        let path = planner.plan_once(&query);
        let flight = Flight {
            entry,
            request,
            query,
            path,
            serial: 0,
            timeout_at: None,
            told: None,
            relayed: false,
        };
        self.flights.push(flight);
        self.step(self.flights.len() - 1);
    }

    /// Performs the next step of a walk, as an entry does.
    fn step(&mut self, index: usize) {
        let flight = &mut self.flights[index];
        flight.serial += 1;
        flight.timeout_at = Some(self.now + DECIDE_MAX);
        let serial = flight.serial;
        match flight.path.walk.step() {
            walk::Step::Tell(verdict) => {
                flight.told = Some(verdict);
                flight.timeout_at = None;
            }
            walk::Step::Relay { .. } => {
                flight.relayed = true;
                flight.timeout_at = None;
            }
            walk::Step::Dispatch { position } => {
                let member = flight.path.members[position].clone();
                let dispatch = admission::Dispatch {
                    request_id: flight.query.request_id.clone(),
                    attempt: flight.query.attempt,
                    incarnation: member.report.incarnation,
                    view_stamp: member.report.view_stamp,
                    organisation: name("member"),
                    weights: None,
                    idempotent: false,
                    remaining_ms: 30_000,
                };
                let agent = self.agent_index(&member.report.vm);
                self.post_to_agent(
                    index,
                    agent,
                    Message::Dispatch {
                        flight: index,
                        serial,
                        agent,
                        dispatch,
                    },
                );
            }
            walk::Step::Revoke { position, through } => {
                let member = flight.path.members[position].clone();
                if member.departed_at.is_some() {
                    return self.record(index, walk::Event::ReceiptLost);
                }
                let agent = self.agent_index(&member.report.vm);
                let message = Message::Revoke {
                    flight: index,
                    serial,
                    agent,
                    through,
                    incarnation: member.report.incarnation,
                    view_stamp: member.report.view_stamp,
                };
                self.post_to_agent(index, agent, message);
            }
        }
    }

    fn record(&mut self, index: usize, event: walk::Event) {
        self.flights[index].path.walk.record(event);
        self.step(index);
    }

    fn agent_index(&self, vm: &id::VmId) -> usize {
        self.agents
            .iter()
            .position(|agent| agent.vm == *vm)
            .expect("a known agent")
    }

    fn post_to_agent(&mut self, flight: usize, agent: usize, message: Message) {
        let entry = self.flights[flight].entry;
        if self.agents[agent].table.is_none() || self.entries[entry].parted[agent] {
            let event = match message {
                Message::Dispatch { .. } => walk::Event::NeverConnected,
                _ => walk::Event::ReceiptLost,
            };
            return self.record(flight, event);
        }
        self.post(message);
    }

    fn post(&mut self, message: Message) {
        let fate = self.fates[usize::try_from(self.message_count).unwrap_or(0) % self.fates.len()];
        let deliver_at = self.now + time::Duration::from_millis(fate.delay_ms);
        self.message_count += 1;
        if !fate.lost {
            self.network
                .insert((deliver_at, self.message_count), message.clone());
        }
        if fate.twice {
            let again_at = deliver_at + time::Duration::from_secs(2);
            self.network
                .insert((again_at, u64::MAX - self.message_count), message);
        }
    }

    fn pass(&mut self, duration: time::Duration) {
        let until = self.now + duration;
        loop {
            let timeouts = self.flights.iter().filter_map(|flight| flight.timeout_at);
            let timeouts = timeouts.map(|at| at.max(self.now));
            let message_at = self.network.keys().next().map(|(at, _)| *at);
            let next = timeouts.chain(message_at).chain([self.heartbeat_at]).min();
            let next = next.expect("heartbeats never end").max(self.now);
            if next > until {
                break;
            }
            self.now = next;
            if self.now >= self.heartbeat_at {
                self.beat();
            }
            self.deliver_due();
            self.time_out();
        }
        self.now = until;
    }

    fn beat(&mut self) {
        self.heartbeat_at = self.now + HEARTBEAT_EVERY;
        for index in 0..AGENT_COUNT {
            let Some(report) = self.report(index) else {
                continue;
            };
            for entry in &mut self.entries {
                if entry.parted[index] {
                    continue;
                }
                if entry.frozen_until > self.now {
                    // It waits in the socket until the entry thaws.
                    entry.held_back.insert(index, report.clone());
                } else {
                    entry.view.record(self.now, report.clone());
                }
            }
        }
        for entry in &mut self.entries {
            if entry.frozen_until <= self.now {
                for (_, report) in entry.held_back.drain(..) {
                    entry.view.record(self.now, report);
                }
                entry.view.expire(self.now);
            }
        }
    }

    fn report(&self, index: usize) -> Option<membership::AgentReport> {
        let agent = &self.agents[index];
        let table = agent.table.as_ref()?;
        Some(membership::AgentReport {
            vm: agent.vm.clone(),
            service: name("hooks"),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: name("fyn"),
            incarnation: table.incarnation(),
            view_stamp: table.view_stamp(self.now),
            openness: openness(agent),
            weights: None,
            slot_count: 2,
            running_count: 0,
            config_version: id::ConfigVersion::new(0),
            fencing: id::FencingNumber::new(0),
            burst: None,
        })
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let message = entry.remove();
            self.deliver(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Dispatch {
                flight,
                serial,
                agent,
                dispatch,
            } => {
                let event = self.admit(flight, agent, &dispatch);
                if let Some(event) = event {
                    self.post(Message::Reply {
                        flight,
                        serial,
                        event,
                    });
                }
            }
            Message::Revoke {
                flight,
                serial,
                agent,
                through,
                incarnation,
                view_stamp,
            } => {
                let request_id = self.flights[flight].query.request_id.clone();
                let Some(table) = &mut self.agents[agent].table else {
                    return;
                };
                let receipt = if table.incarnation() == incarnation {
                    table.revoke(self.now, &request_id, through, view_stamp)
                } else {
                    admission::Receipt::Unknown
                };
                let event = walk::Event::Receipt(receipt);
                self.post(Message::Reply {
                    flight,
                    serial,
                    event,
                });
            }
            Message::Reply {
                flight,
                serial,
                event,
            } => {
                let entry = self.flights[flight].entry;
                let thaws_at = self.entries[entry].frozen_until;
                if thaws_at > self.now {
                    self.message_count += 1;
                    let key = (thaws_at, self.message_count);
                    self.network.insert(
                        key,
                        Message::Reply {
                            flight,
                            serial,
                            event,
                        },
                    );
                } else if self.flights[flight].serial == serial
                    && self.flights[flight].timeout_at.is_some()
                {
                    self.record(flight, event);
                }
            }
        }
    }

    fn admit(
        &mut self,
        flight: usize,
        agent: usize,
        dispatch: &admission::Dispatch,
    ) -> Option<walk::Event> {
        let agent = &mut self.agents[agent];
        let gate = admission::Gate {
            openness: openness(agent),
            weights: None,
            expected: time::Duration::ZERO,
        };
        let admission = agent.table.as_mut()?.admit(self.now, dispatch, &gate);
        Some(match admission {
            admission::Admission::Admitted => {
                agent.running.push(dispatch.request_id.clone());
                self.runs.push(Run {
                    request: self.flights[flight].request,
                    attempt: dispatch.attempt.get(),
                    after_leave: agent.leaving,
                });
                walk::Event::Started
            }
            admission::Admission::Attached => walk::Event::Started,
            admission::Admission::Refused(refusal) => walk::Event::Refused(refusal),
        })
    }

    fn time_out(&mut self) {
        for index in 0..self.flights.len() {
            let flight = &self.flights[index];
            let due = flight.timeout_at.is_some_and(|at| at <= self.now);
            if !due || self.entries[flight.entry].frozen_until > self.now {
                if due {
                    self.flights[index].timeout_at = Some(self.entries[flight.entry].frozen_until);
                }
                continue;
            }
            let event = match flight.path.walk.step() {
                walk::Step::Revoke { .. } => walk::Event::ReceiptLost,
                _ => walk::Event::Lost,
            };
            self.record(index, event);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for request in 0..REQUEST_COUNT {
            let runs: Vec<_> = self
                .runs
                .iter()
                .filter(|run| run.request == request)
                .collect();
            prop_assert!(runs.len() <= 1, "request {request} ran twice: {runs:?}");
        }
        for flight in &self.flights {
            let Some(walk::Verdict::NotRun { .. }) = flight.told else {
                continue;
            };
            let ran = self.runs.iter().any(|run| {
                run.request == flight.request && run.attempt <= flight.query.attempt.get()
            });
            prop_assert!(!ran, "{:?} was told not run, but ran", flight.query);
        }
        let after_leave = self.runs.iter().filter(|run| run.after_leave).count();
        prop_assert_eq!(after_leave, 0, "a leaving agent took new work");
        Ok(())
    }
}

fn openness(agent: &Agent) -> admission::Openness {
    if agent.leaving {
        admission::Openness::Leaving
    } else {
        admission::Openness::Open
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn a_non_idempotent_request_runs_at_most_once_and_not_run_means_not_run(
        ops in prop::collection::vec(op(), 1..40),
        fates in prop::collection::vec(fate(), 1..40),
    ) {
        let mut world = World::new(fates);
        for op in &ops {
            world.apply(op);
            world.check()?;
        }
        // Whatever is still on its way must not run anything that was told not to have run.
        world.pass(time::Duration::from_secs(25));
        world.check()?;
    }
}

#[test]
fn a_healthy_fleet_runs_every_first_attempt_at_once() {
    let fate = Fate {
        delay_ms: 1,
        lost: false,
        twice: false,
    };
    let mut world = World::new(vec![fate]);
    for request in 0..REQUEST_COUNT {
        world.send(request, request % ENTRY_COUNT, true);
    }
    world.pass(time::Duration::from_millis(20));
    assert_eq!(world.runs.len(), REQUEST_COUNT);
    assert!(world.flights.iter().all(|flight| flight.relayed));
}

#[test]
fn a_second_attempt_through_another_entry_finds_the_first() {
    let fate = Fate {
        delay_ms: 1,
        lost: false,
        twice: false,
    };
    let mut world = World::new(vec![fate]);
    world.send(0, 0, true);
    world.pass(time::Duration::from_millis(20));
    world.send(0, 1, true);
    world.pass(time::Duration::from_millis(20));
    assert_eq!(world.runs.len(), 1);
    assert!(world.flights[1].relayed);
}
