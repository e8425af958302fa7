//! Messages on their way: delayed, lost and repeated, and what agents do with them.

use std::time;

use pimentohook_core::{admission, id, membership, routing::failover};

use super::world::{AGENT_COUNT, Agent, HEARTBEAT_EVERY, Message, Run, World, name};

impl World {
    pub fn post_to_agent(&mut self, flight: usize, agent: usize, message: Message) {
        let entry = self.flights[flight].entry;
        if self.agents[agent].table.is_none() || self.entries[entry].parted[agent] {
            let event = match message {
                Message::Dispatch { .. } => failover::Event::NeverConnected,
                _ => failover::Event::RevocationReplyLost,
            };
            return self.record(flight, event);
        }
        self.post(message);
    }

    pub fn post(&mut self, message: Message) {
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

    pub fn pass(&mut self, duration: time::Duration) {
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

    pub fn beat(&mut self) {
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

    pub fn report(&self, index: usize) -> Option<membership::AgentReport> {
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

    pub fn deliver_due(&mut self) {
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let message = entry.remove();
            self.deliver(message);
        }
    }

    pub fn deliver(&mut self, message: Message) {
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
                    admission::RevocationReply::Unknown
                };
                let event = failover::Event::RevocationReply(receipt);
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

    pub fn admit(
        &mut self,
        flight: usize,
        agent: usize,
        dispatch: &admission::Dispatch,
    ) -> Option<failover::Event> {
        let agent = &mut self.agents[agent];
        let gate = admission::AdmissionConditions {
            openness: openness(agent),
            weights: None,
            expected_duration: time::Duration::ZERO,
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
                failover::Event::Started
            }
            admission::Admission::Attached => failover::Event::Started,
            admission::Admission::Refused(refusal) => failover::Event::Refused(refusal),
        })
    }

    pub fn time_out(&mut self) {
        for index in 0..self.flights.len() {
            let flight = &self.flights[index];
            let due = flight.timeout_at.is_some_and(|at| at <= self.now);
            if !due || self.entries[flight.entry].frozen_until > self.now {
                if due {
                    self.flights[index].timeout_at = Some(self.entries[flight.entry].frozen_until);
                }
                continue;
            }
            let event = match flight.path.failover.step() {
                failover::Step::Revoke { .. } => failover::Event::RevocationReplyLost,
                _ => failover::Event::ConnectionLost,
            };
            self.record(index, event);
        }
    }
}

fn openness(agent: &Agent) -> admission::AdmissionState {
    if agent.leaving {
        admission::AdmissionState::Leaving
    } else {
        admission::AdmissionState::Open
    }
}
