//! Tests that a process repeats only what each configuration allows that was in force lately.

use std::time;

use pimentohook_core::{
    clock,
    configuration_history::{ConfigurationHistory, Confirmation, Effect, Knowledge, Read},
    id, position,
};
use proptest::prelude::*;

const GRACE_MS: u64 = 2_000;
const AGE_MAX_MS: u64 = 1_600;
const CHANGE_COUNT_MAX: usize = 12;

fn at(ms: u64) -> clock::BootInstant {
    clock::BootInstant::from_boot(time::Duration::from_millis(60_000 + ms))
}

fn position(revision: usize) -> position::Position {
    position::Position::new(id::StoreEra::new(1), revision as u64)
}

/// What happens to the store and to two processes that follow it; the second may follow the first.
#[derive(Clone, Copy, Debug)]
enum Event {
    Change { runs_once: bool },
    Watch { process: usize },
    List { process: usize },
    Follow,
    Start { process: usize },
    StandStill { process: usize },
}

#[derive(Clone, Debug)]
struct Version {
    from_ms: u64,
    runs_once: bool,
}

#[derive(Clone, Debug)]
struct Process {
    history: ConfigurationHistory,
    /// The versions that it has put into force, each with when it was replaced.
    in_force: Vec<(usize, Option<u64>)>,
    confirmed_ms: Option<u64>,
    ran_since_ms: u64,
}

impl Process {
    fn start(now_ms: u64) -> Self {
        Self {
            history: ConfigurationHistory::default(),
            in_force: Vec::new(),
            confirmed_ms: None,
            ran_since_ms: now_ms,
        }
    }

    fn newest(&self) -> Option<usize> {
        self.in_force.last().map(|(version, _)| *version)
    }

    fn put_into_force(&mut self, now_ms: u64, version: usize) {
        if self.newest().is_some_and(|newest| newest >= version) {
            return;
        }
        if let Some(last) = self.in_force.last_mut() {
            last.1 = Some(now_ms);
        }
        self.in_force.push((version, None));
    }

    fn read(&mut self, now_ms: u64, version: usize, read: Read) {
        self.history = self.history.after(at(now_ms), read);
        self.put_into_force(now_ms, version);
        self.confirmed_ms = Some(now_ms);
    }

    fn knowledge(&self) -> Knowledge<'_> {
        Knowledge {
            history: &self.history,
            confirmation: Confirmation {
                confirmed_at: self.confirmed_ms.map(at),
                ran_since: at(self.ran_since_ms),
                age_max: time::Duration::from_millis(AGE_MAX_MS),
            },
        }
    }

    /// Returns whether a request that arrives now may repeat.
    fn may_repeat(&self, now_ms: u64, versions: &[Version]) -> bool {
        let since = at(now_ms).saturating_sub(time::Duration::from_millis(GRACE_MS));
        let known_allow = self.in_force.iter().all(|(version, replaced_ms)| {
            let holds = replaced_ms.is_none_or(|replaced_ms| replaced_ms + GRACE_MS > now_ms);
            !(holds && versions[*version - 1].runs_once)
        });
        !self.in_force.is_empty()
            && known_allow
            && self.knowledge().may_repeat(Effect::Any, since, at(now_ms))
    }
}

struct World {
    versions: Vec<Version>,
    processes: [Process; 2],
}

impl World {
    fn new() -> Self {
        Self {
            versions: vec![Version {
                from_ms: 0,
                runs_once: true,
            }],
            processes: [Process::start(0), Process::start(0)],
        }
    }

    fn play(&mut self, now_ms: u64, event: Event) {
        let newest = self.versions.len();
        match event {
            Event::Change { runs_once } => self.versions.push(Version {
                from_ms: now_ms,
                runs_once,
            }),
            Event::Watch { process } => {
                let process = &mut self.processes[process];
                let Some(known) = process.newest() else {
                    return;
                };
                for version in known..=newest {
                    let read = Read::all(Some(position(version)));
                    process.read(now_ms, version, read);
                }
            }
            Event::List { process } => {
                let read = Read::newest(Some(position(newest)));
                self.processes[process].read(now_ms, newest, read);
            }
            Event::Follow => self.follow(now_ms),
            Event::Start { process } => self.processes[process] = Process::start(now_ms),
            Event::StandStill { process } => self.processes[process].ran_since_ms = now_ms,
        }
    }

    /// The second process reads from the first, whose state may be older than the store's.
    fn follow(&mut self, now_ms: u64) {
        let [relay, follower] = &mut self.processes;
        let (Some(newest), Some(confirmed_ms)) = (relay.newest(), relay.confirmed_ms) else {
            return;
        };
        let has = follower.newest().map(position).unwrap_or_default();
        if has > position(newest) {
            return;
        }
        let newest_position = Some(position(newest));
        let read = Read {
            newest: newest_position,
            statement: relay.history.statement(at(now_ms), has, newest_position),
        };
        let confirmed_before_ms = follower.confirmed_ms;
        follower.read(now_ms, newest, read);
        follower.confirmed_ms = confirmed_before_ms.max(Some(confirmed_ms));
    }

    /// Returns whether a version was in force in a span of time that lets requests run once.
    fn ran_once_between(&self, from_ms: u64, until_ms: u64) -> bool {
        let ends = self.versions.iter().skip(1).map(|next| next.from_ms);
        let ends = ends.chain([u64::MAX]);
        let mut spans = self.versions.iter().zip(ends);
        spans.any(|(version, end_ms)| {
            version.runs_once && version.from_ms <= until_ms && end_ms > from_ms
        })
    }
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![
        2 => any::<bool>().prop_map(|runs_once| Event::Change { runs_once }),
        4 => (0..2_usize).prop_map(|process| Event::Watch { process }),
        1 => (0..2_usize).prop_map(|process| Event::List { process }),
        3 => Just(Event::Follow),
        1 => (0..2_usize).prop_map(|process| Event::Start { process }),
        1 => (0..2_usize).prop_map(|process| Event::StandStill { process }),
    ];
    prop::collection::vec((1..900_u64, event), 1..CHANGE_COUNT_MAX * 4)
}

proptest! {
    #[test]
    fn nothing_repeats_that_ran_once_within_the_grace_period(events in events()) {
        let mut world = World::new();
        let mut now_ms = 10_000;
        for (delay_ms, event) in events {
            now_ms += delay_ms;
            world.play(now_ms, event);
            for process in &world.processes {
                if !process.may_repeat(now_ms, &world.versions) {
                    continue;
                }
                let confirmed_ms = process.confirmed_ms.expect("a confirmation");
                prop_assert!(confirmed_ms + AGE_MAX_MS >= now_ms);
                prop_assert!(confirmed_ms >= process.ran_since_ms);
                let from_ms = now_ms - GRACE_MS + 1;
                prop_assert!(!world.ran_once_between(from_ms, confirmed_ms.max(from_ms)));
            }
        }
    }

    #[test]
    fn who_has_followed_for_the_grace_period_repeats(
        events in events(),
        follows in any::<bool>(),
    ) {
        let mut world = World::new();
        let mut now_ms = 10_000;
        for (delay_ms, event) in events {
            now_ms += delay_ms;
            world.play(now_ms, event);
        }
        let calm = [Event::Change { runs_once: false }, Event::List { process: 0 }];
        for event in calm {
            world.play(now_ms, event);
        }
        for _ in 0..3 {
            now_ms += GRACE_MS / 2;
            world.play(now_ms, Event::Watch { process: 0 });
            world.play(now_ms, if follows { Event::Follow } else { Event::List { process: 1 } });
        }
        prop_assert!(world.processes[0].may_repeat(now_ms, &world.versions));
        prop_assert!(world.processes[1].may_repeat(now_ms, &world.versions));
    }
}

#[test]
fn who_starts_beside_one_that_knows_repeats_at_once() {
    let mut world = World::new();
    let mut now_ms = 10_000;
    world.play(now_ms, Event::Change { runs_once: false });
    world.play(now_ms, Event::List { process: 0 });
    now_ms += GRACE_MS;
    world.play(now_ms, Event::Watch { process: 0 });
    world.play(now_ms, Event::Start { process: 1 });
    world.play(now_ms, Event::Follow);
    assert!(world.processes[1].may_repeat(now_ms, &world.versions));
}

#[test]
fn a_follower_that_sees_each_version_repeats_through_changes() {
    let mut world = World::new();
    let mut now_ms = 10_000;
    world.play(now_ms, Event::Change { runs_once: false });
    for process in 0..2 {
        world.play(now_ms, Event::List { process });
    }
    for _ in 0..4 {
        now_ms += GRACE_MS / 2;
        world.play(now_ms, Event::Change { runs_once: false });
        world.play(now_ms, Event::Watch { process: 0 });
        world.play(now_ms, Event::Follow);
    }
    assert!(world.processes[1].may_repeat(now_ms, &world.versions));
}

#[test]
fn who_read_that_there_was_no_configuration_knows_all_since() {
    let history = ConfigurationHistory::default().after(at(0), Read::newest(None));
    let history = history.after(at(100), Read::all(Some(position(1))));
    assert!(history.knows_since(at(0)));
}

#[test]
fn a_request_without_an_effect_or_for_an_engine_needs_no_history() {
    let process = Process::start(0);
    let may_repeat = |effect| process.knowledge().may_repeat(effect, at(0), at(0));
    assert!(!may_repeat(Effect::Any));
    assert!(may_repeat(Effect::None));
    assert!(may_repeat(Effect::Generation));
}
