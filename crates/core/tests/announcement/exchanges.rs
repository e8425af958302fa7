//! Processes that miss, forget and tell each other announcements, in any order.

use pimentohook_core::announcement::{Announcements, Heard, Moment, Read};
use proptest::prelude::*;

use super::{LIFETIME, MODEL, announced, at, revision};

fn moments() -> impl Strategy<Value = Moment> {
    prop_oneof![
        (0..20_000_u64).prop_map(|ms| Moment::Observed(at(ms))),
        (0..20_000_u64).prop_map(|ms| Moment::NotBefore(at(ms))),
        Just(Moment::Unknown),
    ]
}

/// What happens to one of several processes while versions are announced.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The next version is announced; the processes in the mask observe it at once if they have
    /// watched since the version before, else they miss it.
    Announce { observers: u8 },
    /// A process reads all versions after a gap.
    Fetch { process: usize },
    /// Something else changes in the store.
    Change,
    /// A process reads something else, which tells it the revision of the store; it is held up for a
    /// while before it records that.
    ReadOther { process: usize, held_up_ms: u64 },
    /// A process tells another one what it knows.
    Tell { from: usize, to: usize },
    /// A process starts anew and has forgotten everything.
    Restart { process: usize },
    /// Time passes.
    Wait { ms: u64 },
}

const PROCESSES: usize = 4;

fn processes_events() -> impl Strategy<Value = Event> {
    prop_oneof![
        any::<u8>().prop_map(|observers| Event::Announce { observers }),
        (0..PROCESSES).prop_map(|process| Event::Fetch { process }),
        Just(Event::Change),
        (0..PROCESSES, 0..500_u64).prop_map(|(process, held_up_ms)| Event::ReadOther {
            process,
            held_up_ms
        }),
        (0..PROCESSES, 0..PROCESSES).prop_map(|(from, to)| Event::Tell { from, to }),
        (0..PROCESSES).prop_map(|process| Event::Restart { process }),
        (0..4_000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// The versions as announced, and what each process knows of them.
struct World {
    now_ms: u64,
    /// The revision of the store.
    revision: u64,
    announced_at_ms: Vec<u64>,
    processes: Vec<Announcements>,
    /// Whether each process has watched since it read the newest version.
    is_watching: Vec<bool>,
}

impl World {
    fn newest(&self) -> u64 {
        1 + self.announced_at_ms.len() as u64
    }

    fn play(&mut self, event: Event) {
        let now = at(self.now_ms);
        match event {
            Event::Announce { observers } => {
                self.announced_at_ms.push(self.now_ms);
                self.revision += 1;
                let newest = self.newest();
                for (index, process) in self.processes.iter_mut().enumerate() {
                    self.is_watching[index] &= observers & (1 << index) != 0;
                    if self.is_watching[index] {
                        let position = revision(self.revision);
                        process.record_read_at(announced(newest), Read::Pushed(now), position);
                    }
                }
            }
            Event::Fetch { process } => {
                let newest = self.newest();
                let position = revision(self.revision);
                let read = Read::Fetched(now);
                self.processes[process].record_read_at(announced(newest), read, position);
                self.is_watching[process] = true;
            }
            Event::Change => self.revision += 1,
            Event::ReadOther {
                process,
                held_up_ms,
            } => {
                self.processes[process].confirm_position(revision(self.revision), now);
                self.now_ms += held_up_ms;
            }
            Event::Tell { from, to } => {
                let report = self.processes[from].report(now);
                let heard = Heard::InReply {
                    requested_at: now,
                    now,
                };
                self.processes[to].merge(&report, heard);
            }
            Event::Restart { process } => {
                self.processes[process] = Announcements::default();
                self.is_watching[process] = false;
            }
            Event::Wait { ms } => self.now_ms += ms,
        }
        for process in &mut self.processes {
            process.prune(at(self.now_ms), LIFETIME);
        }
    }

    /// Returns the oldest version that requests may start on.
    fn version_min(&self) -> u64 {
        let is_over = |at_ms: &&u64| **at_ms + 8_000 <= self.now_ms;
        1 + self.announced_at_ms.iter().filter(is_over).count() as u64
    }
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(
        a in moments(),
        b in moments(),
        c in moments(),
    ) {
        prop_assert_eq!(a.merge(b), b.merge(a));
        prop_assert_eq!(a.merge(b).merge(c), a.merge(b.merge(c)));
        prop_assert_eq!(a.merge(a), a);
    }

    /// Whatever processes miss, forget and tell each other: one that has read which versions there
    /// are uses no version longer than is allowed.
    #[test]
    fn a_process_that_knows_the_newest_version_ends_older_ones_in_time(
        events in prop::collection::vec(processes_events(), 1..60),
    ) {
        let mut world = World {
            now_ms: 0,
            revision: 40,
            announced_at_ms: Vec::new(),
            processes: vec![Announcements::default(); PROCESSES],
            is_watching: vec![false; PROCESSES],
        };
        for event in events {
            world.play(event);
            let now = at(world.now_ms);
            for process in &world.processes {
                let newest = process.of_model(MODEL).last().map(|known| known.version);
                if newest == Some(world.newest()) {
                    let known_min = process.version_min(MODEL, now, LIFETIME).unwrap_or(1);
                    prop_assert!(known_min >= world.version_min(), "{process:?}");
                }
            }
        }
    }
}
