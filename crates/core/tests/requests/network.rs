//! The simulated network, which delays, loses and duplicates messages, and how agents handle them.

use std::time;

use pimentohook_core::{admission, id, membership, routing::failover};

use super::world::{AGENT_COUNT, Agent, HEARTBEAT_EVERY, Message, Run, Sent, World, name};

impl World {
    pub fn send_to_agent(&mut self, flight: usize, agent: usize, message: Message) {
        let entry = self.flights[flight].entry;
        if self.agents[agent].table.is_none() || self.entries[entry].partitioned[agent] {
            let event = match message {
                Message::Dispatch { .. } => failover::Event::NeverConnected,
                _ => failover::Event::RevocationReplyLost,
            };
            return self.record(flight, event);
        }
        self.send_message(message);
    }

    pub fn send_message(&mut self, message: Message) {
        let delivery = self.deliveries
            [usize::try_from(self.message_count).unwrap_or(0) % self.deliveries.len()];
        let deliver_at = self.now + time::Duration::from_millis(delivery.delay_ms);
        self.message_count += 1;
        let sent = Sent {
            connection: self.message_count,
            message,
        };
        if !delivery.lost {
            self.network
                .insert((deliver_at, self.message_count), sent.clone());
        }
        if delivery.duplicated {
            let duplicate_at = deliver_at + time::Duration::from_secs(2);
            self.network
                .insert((duplicate_at, u64::MAX - self.message_count), sent);
        }
    }

    pub fn advance(&mut self, duration: time::Duration) {
        let until = self.now + duration;
        loop {
            let timeouts = self.flights.iter().filter_map(|flight| flight.timeout_at);
            let timeouts = timeouts.map(|at| at.max(self.now));
            let message_at = self.network.keys().next().map(|(at, _)| *at);
            let next = timeouts.chain(message_at).chain([self.heartbeat_at]).min();
            let next = next
                .expect("there is always a next heartbeat")
                .max(self.now);
            if next > until {
                break;
            }
            self.now = next;
            if self.now >= self.heartbeat_at {
                self.send_heartbeats();
            }
            self.deliver_due();
            self.handle_timeouts();
        }
        self.now = until;
    }

    pub fn send_heartbeats(&mut self) {
        self.heartbeat_at = self.now + HEARTBEAT_EVERY;
        for index in 0..AGENT_COUNT {
            let Some(report) = self.report(index) else {
                continue;
            };
            for entry in &mut self.entries {
                if entry.partitioned[index] {
                    continue;
                }
                if entry.suspended_until > self.now {
                    // The report waits in the socket until the entry resumes.
                    entry.delayed_reports.insert(index, report.clone());
                } else {
                    entry.view.record(self.now, report.clone());
                }
            }
        }
        for entry in &mut self.entries {
            if entry.suspended_until <= self.now {
                for (_, report) in entry.delayed_reports.drain(..) {
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
            let sent = entry.remove();
            self.deliver(sent);
        }
    }

    /// Returns whether a message on a connection reaches the process that runs at an agent now.
    ///
    /// A connection that a process has received a message on is lost when that process ends, so a
    /// copy of the message never reaches the process that is started after it.
    fn reaches_agent(&mut self, connection: u64, agent: usize) -> bool {
        let Some(table) = &self.agents[agent].table else {
            return false;
        };
        let incarnation = table.incarnation();
        *self.receivers.entry(connection).or_insert(incarnation) == incarnation
    }

    pub fn deliver(&mut self, sent: Sent) {
        if let Some(agent) = sent.message.receiving_agent() {
            if !self.reaches_agent(sent.connection, agent) {
                return;
            }
            self.delivered_to_agents += 1;
        }
        match sent.message {
            Message::Dispatch {
                flight,
                serial,
                agent,
                dispatch,
            } => {
                let event = self.admit(flight, agent, &dispatch);
                if let Some(event) = event {
                    self.send_message(Message::Reply {
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
                let reply = if table.incarnation() == incarnation {
                    table.revoke(self.now, &request_id, through, view_stamp)
                } else {
                    admission::RevocationReply::Unknown
                };
                let event = failover::Event::RevocationReply(reply);
                self.send_message(Message::Reply {
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
                let resumes_at = self.entries[entry].suspended_until;
                if resumes_at > self.now {
                    self.message_count += 1;
                    let key = (resumes_at, self.message_count);
                    let message = Message::Reply {
                        flight,
                        serial,
                        event,
                    };
                    let connection = sent.connection;
                    self.network.insert(
                        key,
                        Sent {
                            connection,
                            message,
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
        let conditions = admission::AdmissionConditions {
            openness: openness(agent),
            weights: None,
            expected_duration: time::Duration::ZERO,
        };
        let admission = agent.table.as_mut()?.admit(self.now, dispatch, &conditions);
        Some(match admission {
            admission::Admission::Admitted => {
                agent.running.push(dispatch.request_id.clone());
                self.runs.push(Run {
                    request: self.flights[flight].request,
                    attempt: dispatch.attempt.get(),
                    while_leaving: agent.leaving,
                });
                failover::Event::Started
            }
            admission::Admission::Attached => failover::Event::Started,
            admission::Admission::Refused(refusal) => failover::Event::Refused(refusal),
        })
    }

    pub fn handle_timeouts(&mut self) {
        for index in 0..self.flights.len() {
            let flight = &self.flights[index];
            let is_due = flight.timeout_at.is_some_and(|at| at <= self.now);
            if !is_due || self.entries[flight.entry].suspended_until > self.now {
                if is_due {
                    self.flights[index].timeout_at =
                        Some(self.entries[flight.entry].suspended_until);
                }
                continue;
            }
            let event = match flight.plan.failover.step() {
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
