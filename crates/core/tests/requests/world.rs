//! Agents, entries and callers that share a simulated clock.

use std::{collections::BTreeMap, time};

use indexmap::IndexMap;
use pimentohook_core::{
    admission, id, intent, limits, membership,
    routing::{failover, planner},
};
use proptest::prelude::*;

use super::ops::{Delivery, Op};

pub const AGENT_COUNT: usize = 5;
pub const ENTRY_COUNT: usize = 3;
pub const REQUEST_COUNT: usize = 3;
pub const WINDOW: time::Duration = time::Duration::from_mins(1);
pub const VIEW_AGE_MAX: time::Duration = time::Duration::from_secs(3);
pub const JOIN_AGE: time::Duration = time::Duration::from_secs(5);
pub const SILENCE_MAX: time::Duration = time::Duration::from_secs(2);
pub const DECIDE_MAX: time::Duration = time::Duration::from_secs(1);
pub const HEARTBEAT_EVERY: time::Duration = time::Duration::from_millis(250);
pub const UPTIME: time::Duration = time::Duration::from_mins(10);
pub const CHAIN_LENGTH: usize = 3;

pub struct Agent {
    pub vm: id::VmId,
    pub table: Option<admission::RequestTable>,
    pub incarnation: u64,
    pub leaving: bool,
    pub running: Vec<id::RequestId>,
}

pub struct Entry {
    pub view: membership::View,
    pub suspended_until: time::Instant,
    pub partitioned: [bool; AGENT_COUNT],
    pub delayed_reports: IndexMap<usize, membership::AgentReport>,
}

/// One attempt of a caller in progress at an entry.
pub struct Flight {
    pub entry: usize,
    pub request: usize,
    pub query: planner::RouteQuery,
    pub plan: planner::RoutePlan,
    pub serial: u64,
    pub timeout_at: Option<time::Instant>,
    pub reported: Option<failover::FailureOutcome>,
    pub relayed: bool,
}

#[derive(Clone)]
pub enum Message {
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
        event: failover::Event,
    },
}

impl Message {
    /// Returns the agent that the message is sent to, if it isn't a reply.
    pub fn receiving_agent(&self) -> Option<usize> {
        match self {
            Self::Dispatch { agent, .. } | Self::Revoke { agent, .. } => Some(*agent),
            Self::Reply { .. } => None,
        }
    }
}

/// A message in transit; its copies are on the same connection.
#[derive(Clone)]
pub struct Sent {
    pub connection: u64,
    pub message: Message,
}

/// One start of a request at an agent.
#[derive(Debug)]
pub struct Run {
    pub request: usize,
    pub attempt: u64,
    pub while_leaving: bool,
}

pub struct World {
    pub now: time::Instant,
    pub heartbeat_at: time::Instant,
    pub agents: Vec<Agent>,
    pub entries: Vec<Entry>,
    pub flights: Vec<Flight>,
    pub network: BTreeMap<(time::Instant, u64), Sent>,
    pub message_count: u64,
    /// The incarnation of the agent that has received a message, by connection.
    pub receivers: IndexMap<u64, id::Incarnation>,
    pub delivered_to_agents: u64,
    pub deliveries: Vec<Delivery>,
    pub attempts: [u64; REQUEST_COUNT],
    pub first_sent_at: [Option<time::Instant>; REQUEST_COUNT],
    pub runs: Vec<Run>,
    pub config: intent::Config,
}

pub fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    text.parse().expect("a valid name")
}

pub fn new_table(incarnation: u64, started_at: time::Instant) -> admission::RequestTable {
    let limits = admission::RequestTableLimits {
        window: WINDOW,
        entries_max: 100,
        view_age_max: VIEW_AGE_MAX,
    };
    let slots = limits::FairSlots::new(2, WINDOW);
    admission::RequestTable::new(id::Incarnation::new(incarnation), started_at, limits, slots)
}

impl World {
    pub fn new(deliveries: Vec<Delivery>) -> Self {
        let started_at = time::Instant::now();
        let now = started_at + UPTIME;
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
            suspended_until: now,
            partitioned: [false; AGENT_COUNT],
            delayed_reports: IndexMap::new(),
        });
        let mut world = Self {
            now,
            heartbeat_at: now,
            agents: agents.collect(),
            entries: entries.collect(),
            flights: Vec::new(),
            network: BTreeMap::new(),
            message_count: 0,
            receivers: IndexMap::new(),
            delivered_to_agents: 0,
            deliveries,
            attempts: [0; REQUEST_COUNT],
            first_sent_at: [None; REQUEST_COUNT],
            runs: Vec::new(),
            config: intent::Config::default(),
        };
        world.send_heartbeats();
        world
    }

    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Advance { millis } => self.advance(time::Duration::from_millis(millis)),
            Op::Send {
                request,
                entry,
                numbered,
            } => self.send(request, entry, numbered),
            Op::Crash { agent } => {
                self.agents[agent].table = None;
                self.agents[agent].running.clear();
            }
            Op::Restart { agent } => self.restart(agent),
            Op::Leave { agent } => self.agents[agent].leaving = true,
            Op::Finish { agent } => self.finish(agent),
            Op::Suspend { entry, millis } => {
                self.entries[entry].suspended_until =
                    self.now + time::Duration::from_millis(millis);
            }
            Op::Partition { entry, agent } => self.entries[entry].partitioned[agent] = true,
            Op::Heal => self
                .entries
                .iter_mut()
                .for_each(|entry| entry.partitioned = [false; AGENT_COUNT]),
        }
    }

    pub fn restart(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        agent.incarnation += 1;
        agent.table = Some(new_table(agent.incarnation, self.now));
        agent.leaving = false;
        agent.running.clear();
    }

    pub fn finish(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if let (Some(table), Some(request_id)) = (&mut agent.table, agent.running.pop()) {
            table.finish(self.now, &request_id);
        }
    }

    /// Sends a request through an entry. For a caller that does not number its attempts, every
    /// attempt after the first counts as the second.
    pub fn send(&mut self, request: usize, entry: usize, numbered: bool) {
        let first_sent_at = *self.first_sent_at[request].get_or_insert(self.now);
        // Callers may retry within the window; half of it leaves time for messages in transit.
        if self.now - first_sent_at > WINDOW / 2 || self.entries[entry].suspended_until > self.now {
            return;
        }
        self.attempts[request] += 1;
        let attempt = if numbered || self.attempts[request] == 1 {
            self.attempts[request]
        } else {
            2
        };
        let query = planner::RouteQuery {
            request_id: name(&format!("request-{request}")),
            attempt: id::AttemptNumber::new(attempt),
            is_new: attempt == 1,
            service: name("hooks"),
            idempotent: false,
        };
        let planner = planner::Planner {
            view: &self.entries[entry].view,
            config: &self.config,
            now: self.now,
            uptime: UPTIME,
            chain_length: CHAIN_LENGTH,
        };
        let plan = planner.plan_non_idempotent(&query);
        let flight = Flight {
            entry,
            request,
            query,
            plan,
            serial: 0,
            timeout_at: None,
            reported: None,
            relayed: false,
        };
        self.flights.push(flight);
        self.step(self.flights.len() - 1);
    }

    /// Performs the next step of a failover, as an entry does.
    pub fn step(&mut self, index: usize) {
        let flight = &mut self.flights[index];
        flight.serial += 1;
        flight.timeout_at = Some(self.now + DECIDE_MAX);
        let serial = flight.serial;
        match flight.plan.failover.step() {
            failover::Step::Fail(outcome) => {
                flight.reported = Some(outcome);
                flight.timeout_at = None;
            }
            failover::Step::Relay { .. } => {
                flight.relayed = true;
                flight.timeout_at = None;
            }
            failover::Step::Dispatch { position } => {
                let member = flight.plan.members[position].clone();
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
                self.send_to_agent(
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
            failover::Step::Revoke { position, through } => {
                let member = flight.plan.members[position].clone();
                if member.departed_at.is_some() {
                    return self.record(index, failover::Event::RevocationReplyLost);
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
                self.send_to_agent(index, agent, message);
            }
        }
    }

    pub fn record(&mut self, index: usize, event: failover::Event) {
        self.flights[index].plan.failover.record(event);
        self.step(index);
    }

    pub fn agent_index(&self, vm: &id::VmId) -> usize {
        self.agents
            .iter()
            .position(|agent| agent.vm == *vm)
            .expect("a known agent")
    }

    pub fn check(&self) -> Result<(), TestCaseError> {
        for request in 0..REQUEST_COUNT {
            let runs: Vec<_> = self
                .runs
                .iter()
                .filter(|run| run.request == request)
                .collect();
            prop_assert!(runs.len() <= 1, "request {request} ran twice: {runs:?}");
        }
        for flight in &self.flights {
            let Some(failover::FailureOutcome::NotRun { .. }) = flight.reported else {
                continue;
            };
            let ran = self.runs.iter().any(|run| {
                run.request == flight.request && run.attempt <= flight.query.attempt.get()
            });
            prop_assert!(!ran, "{:?} was reported as not run, but ran", flight.query);
        }
        let while_leaving = self.runs.iter().filter(|run| run.while_leaving).count();
        prop_assert_eq!(while_leaving, 0, "a leaving agent admitted a request");
        Ok(())
    }
}
