//! Tests of what an entry knows of an engine whose agent may not respond.

use pimentohook_core::engine_contact::{
    Access, AgentFailure, Change, EngineContact, SILENCE_MIN_MS,
};
use proptest::prelude::*;

const AGENT_TIMEOUT_MS: u64 = 60;
/// Longer than every delay of a probing request.
const LONG_MS: u64 = 5_000;

/// A contact whose agent has not responded to a message sent at `sent_at_ms`.
fn silent_agent(sent_at_ms: u64, failure: AgentFailure) -> EngineContact {
    let contact = EngineContact::default();
    contact.record_agent_failure(sent_at_ms, failure);
    contact
}

#[test]
fn an_engine_that_answers_while_its_agent_does_not_is_used_up_to_a_share() {
    let contact = silent_agent(100, AgentFailure::Timeout);
    contact.record_send(90);
    contact.record_sign(170);
    assert_eq!(contact.access(180, false), Access::Share);
}

#[test]
fn what_was_sent_before_shows_that_an_engine_is_silent() {
    let contact = EngineContact::default();
    contact.record_send(100);
    contact.record_agent_failure(180, AgentFailure::Timeout);
    assert_eq!(contact.update(100 + SILENCE_MIN_MS - 1), None);
    assert_eq!(contact.update(100 + SILENCE_MIN_MS), Some(Change::Silent));
    contact.record_end();
    assert!(contact.try_begin_asking());
    assert_eq!(
        contact.access(LONG_MS, true),
        Access::Closed,
        "its agent is asked"
    );
    contact.end_asking();
    assert_eq!(contact.access(LONG_MS, true), Access::Probe);
}

#[test]
fn a_sign_does_not_outweigh_what_waits() {
    let contact = silent_agent(100, AgentFailure::Timeout);
    contact.record_send(110);
    contact.record_sign(170);
    assert_eq!(
        contact.access(170 + SILENCE_MIN_MS - 1, true),
        Access::Share
    );
    assert_eq!(contact.access(170 + SILENCE_MIN_MS, true), Access::Closed);
}

#[test]
fn what_is_in_flight_shows_the_same_as_a_probe() {
    let contact = silent_agent(100, AgentFailure::Timeout);
    contact.record_send(LONG_MS);
    assert_eq!(contact.access(LONG_MS + 1, true), Access::Closed);
}

/// An engine without agent that took 150 ms on a busy machine was taken for silent by all entries.
#[test]
fn a_slow_engine_on_a_vm_that_runs_is_not_silent() {
    let contact = silent_agent(100, AgentFailure::Refused);
    contact.record_hint(100);
    assert_eq!(contact.access(110, false), Access::Probe);
    contact.record_send(110);
    assert_eq!(contact.update(1_109), None);
    assert_eq!(contact.update(1_110), Some(Change::Silent));
}

#[test]
fn one_request_at_a_time_probes_an_engine_of_which_nothing_is_known() {
    let contact = silent_agent(100, AgentFailure::Timeout);
    assert_eq!(contact.access(200, true), Access::Closed, "others may know");
    assert_eq!(contact.access(LONG_MS, false), Access::Closed);
    assert_eq!(contact.access(LONG_MS, true), Access::Probe);
    assert!(contact.try_begin_probe(LONG_MS));
    assert_eq!(contact.access(LONG_MS, true), Access::Closed);
    assert!(!contact.try_begin_probe(LONG_MS));
}

#[test]
fn any_request_probes_at_once_where_the_vm_was_seen_to_run() {
    let contact = silent_agent(100, AgentFailure::Refused);
    assert_eq!(contact.access(101, false), Access::Probe);
}

#[test]
fn a_hint_only_defers_a_probe_and_ends() {
    let contact = silent_agent(100, AgentFailure::Timeout);
    contact.record_hint(LONG_MS);
    assert_eq!(contact.access(LONG_MS, true), Access::Closed);
    assert_eq!(contact.access(LONG_MS + 1_000, true), Access::Probe);
    contact.record_hint(LONG_MS);
    contact.record_sign(LONG_MS + 10);
    assert_eq!(contact.access(LONG_MS + 20, false), Access::Share);
    let sound = EngineContact::default();
    sound.record_hint(LONG_MS);
    assert_eq!(sound.access(LONG_MS, false), Access::Agent);
}

#[test]
fn the_agent_s_answer_ends_the_silence() {
    let contact = EngineContact::default();
    contact.record_send(100);
    contact.record_agent_failure(180, AgentFailure::Timeout);
    contact.update(300);
    let back = contact.record_agent_reply(900);
    assert_eq!(back, Some(Change::Back { silent_ms: 600 }));
    assert_eq!(contact.access(900, false), Access::Agent);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request comes; it may be repeated or not.
    Request { may_probe: bool },
    /// The oldest request in flight is given up, or has been answered.
    End,
    /// The engine and its agent stand still from now on.
    Pause,
    /// They go on, and everything that waits is answered.
    Resume,
    /// Another entry says that the engine is silent, truly or not.
    Hint,
    /// Time passes.
    Wait { ms: u64 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => any::<bool>().prop_map(|may_probe| Event::Request { may_probe }),
        2 => Just(Event::End),
        1 => Just(Event::Pause),
        1 => Just(Event::Resume),
        1 => Just(Event::Hint),
        4 => (1..400_u64).prop_map(|ms| Event::Wait { ms }),
    ];
    prop::collection::vec(event, 1..200)
}

/// An engine with an agent, and an entry that sends to it.
#[derive(Default)]
struct World {
    contact: EngineContact,
    now_ms: u64,
    is_paused: bool,
    paused_at_ms: u64,
    /// Whether the agent has been found silent in this pause.
    is_agent_known_silent: bool,
    in_flight_count: u32,
    probes_in_flight: u32,
    /// Requests sent in this pause, after the agent was found silent.
    sent_blindly: u32,
}

impl World {
    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Request { may_probe } => self.request(may_probe)?,
            Event::End => self.end_one(),
            Event::Pause if !self.is_paused => {
                self.is_paused = true;
                self.paused_at_ms = self.now_ms;
                self.is_agent_known_silent = false;
                self.sent_blindly = 0;
            }
            Event::Resume if self.is_paused => self.resume(),
            Event::Pause | Event::Resume => {}
            Event::Hint => {
                self.contact.record_hint(self.now_ms);
            }
            Event::Wait { ms } => self.wait(ms)?,
        }
        Ok(())
    }

    fn request(&mut self, may_probe: bool) -> Result<(), TestCaseError> {
        let access = self.contact.access(self.now_ms, may_probe);
        if !self.is_paused {
            // Evidence of a pause that is over is gone, so a hint or a probe can't close it.
            prop_assert_eq!(access, Access::Agent, "a sound engine is used");
            self.send();
            self.contact.record_sign(self.now_ms);
            return Ok(());
        }
        match access {
            Access::Closed => {}
            // What the agent does not answer is known after a while, and sent nowhere.
            Access::Agent => {
                prop_assert!(!self.is_agent_known_silent);
                self.is_agent_known_silent = true;
                let sent_at_ms = self.now_ms;
                self.now_ms += AGENT_TIMEOUT_MS;
                self.contact
                    .record_agent_failure(sent_at_ms, AgentFailure::Timeout);
                self.contact.try_begin_asking();
            }
            Access::Share => prop_assert!(false, "no sign has come since the pause"),
            Access::Probe => {
                prop_assert!(may_probe, "what may not be repeated is no probe");
                prop_assert!(self.contact.try_begin_probe(self.now_ms));
                prop_assert_eq!(self.in_flight_count, 0, "what is in flight shows enough");
                self.probes_in_flight += 1;
                self.sent_blindly += 1;
                self.send();
            }
        }
        prop_assert!(self.probes_in_flight <= 1, "one at a time");
        Ok(())
    }

    fn send(&mut self) {
        self.contact.record_send(self.now_ms);
        self.in_flight_count += 1;
    }

    fn end_one(&mut self) {
        if self.in_flight_count == 0 {
            return;
        }
        self.in_flight_count -= 1;
        self.contact.record_end();
        if self.in_flight_count == 0 && self.probes_in_flight > 0 {
            self.probes_in_flight = 0;
            self.contact.end_probe();
        }
    }

    fn wait(&mut self, ms: u64) -> Result<(), TestCaseError> {
        self.now_ms += ms;
        let was_silent = self.contact.silent_since_ms().is_some();
        let change = self.contact.update(self.now_ms);
        if change == Some(Change::Silent) {
            prop_assert!(self.is_paused && !was_silent);
        }
        let shows = self.is_agent_known_silent && self.in_flight_count > 0 && ms > SILENCE_MIN_MS;
        if self.is_paused && shows {
            prop_assert!(
                self.contact.silent_since_ms().is_some(),
                "known by what was sent"
            );
        }
        Ok(())
    }

    fn resume(&mut self) {
        self.is_paused = false;
        if self.is_agent_known_silent {
            self.contact.end_asking();
        }
        self.contact.record_agent_reply(self.now_ms);
        if self.in_flight_count > 0 {
            self.contact.record_sign(self.now_ms);
        }
        while self.in_flight_count > 0 {
            self.end_one();
        }
    }

    /// The entry's requests that reach a paused engine without knowledge are few.
    fn check_blind_sends(&self) -> Result<(), TestCaseError> {
        let paused_ms = self.now_ms - self.paused_at_ms;
        // One each time that all before it were given up before they showed anything.
        let max = 1 + paused_ms / 2_000;
        prop_assert!(u64::from(self.sent_blindly) <= max);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn a_silent_engine_gets_one_probing_request_at_a_time_and_a_sound_one_is_used(
        events in events()
    ) {
        let mut world = World::default();
        for event in events {
            world.apply(event)?;
            if world.is_paused {
                world.check_blind_sends()?;
            }
        }
    }
}
