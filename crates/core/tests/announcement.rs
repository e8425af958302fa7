//! Tests of what processes together know of when versions of weights were announced.

use std::time;

use pimentohook_core::{
    announcement::{
        Announcement, Announcements, Heard, Moment, Read, Report, Statement, WatchSpan,
    },
    clock::{self, BootInstant, Clock as _},
    standstill,
};
use proptest::prelude::*;
use rstest::rstest;

const MODEL: &str = "model-1";
const LIFETIME: time::Duration = time::Duration::from_secs(8);

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(time::Duration::from_millis(100_000 + ms))
}

fn announced(version: u64) -> Vec<(String, u64)> {
    vec![(String::from(MODEL), version)]
}

fn moment_of(announcements: &Announcements, version: u64) -> Option<Moment> {
    let of_model = announcements.of_model(MODEL);
    let known = of_model.iter().find(|known| known.version == version);
    known.map(|known| known.moment)
}

/// The clocks of a process, which differ by the time for which its VM was suspended, and its monitor,
/// which is ticked while it runs.
#[derive(Clone)]
struct TestClock {
    started_at: time::Instant,
    running: time::Duration,
    suspended: time::Duration,
    standstills: standstill::Monitor,
}

impl clock::Clock for TestClock {
    fn now(&self) -> time::Instant {
        self.started_at + self.running
    }

    fn boot_now(&self) -> BootInstant {
        at(0) + self.running + self.suspended
    }
}

impl TestClock {
    fn new() -> Self {
        Self {
            started_at: time::Instant::now(),
            running: time::Duration::ZERO,
            suspended: time::Duration::ZERO,
            standstills: standstill::Monitor::new(at(0)),
        }
    }

    fn run(&mut self, ms: u64) {
        let mut remaining = time::Duration::from_millis(ms);
        while !remaining.is_zero() {
            let step = remaining.min(standstill::TICK_INTERVAL);
            self.running += step;
            remaining -= step;
            self.standstills.tick(self.boot_now());
        }
    }

    /// Lets the clocks go on while the process does not run.
    fn stand_still(&mut self, ms: u64) {
        self.running += time::Duration::from_millis(ms);
    }

    fn suspend(&mut self, ms: u64) {
        self.suspended += time::Duration::from_millis(ms);
    }
}

#[test]
fn the_use_of_older_versions_ends_a_lifetime_after_the_first_newer_one() {
    let mut announcements = Announcements::default();
    announcements.record(MODEL, 3, Moment::Observed(at(2_000)));
    announcements.record(MODEL, 2, Moment::Observed(at(0)));
    let version_min = |ms| announcements.version_min(MODEL, at(ms), LIFETIME);
    assert_eq!(version_min(7_999), None);
    assert_eq!(version_min(8_000), Some(2));
    assert_eq!(version_min(10_000), Some(3));
    let remaining = |version| announcements.remaining(MODEL, version, LIFETIME, at(5_000));
    assert_eq!(remaining(1), Some(time::Duration::from_secs(3)));
    assert_eq!(remaining(2), Some(time::Duration::from_secs(5)));
    assert_eq!(remaining(3), None);
}

/// A process that stood still took an announcement for younger by the time of its suspension.
#[test]
fn the_time_for_which_a_vm_is_suspended_counts() {
    let mut clock = TestClock::new();
    let mut announcements = Announcements::default();
    announcements.record_read(announced(1), Read::Fetched(clock.boot_now()));
    let span = WatchSpan::start(&clock, &announcements);
    clock.run(1_000);
    let read = span.end(&clock, &clock.standstills, time::Duration::ZERO);
    announcements.record_read(announced(2), read);
    clock.run(1_000);
    clock.suspend(7_000);
    let now = clock.boot_now();
    assert_eq!(announcements.version_min(MODEL, now, LIFETIME), Some(2));
}

#[rstest]
#[case::during_the_watch(100, 1_000, 0, 0, Read::Pushed(at(1_100)))]
#[case::while_the_vm_was_suspended(100, 1_000, 3_000, 0, Read::PushedSince(at(1_100)))]
#[case::while_the_process_stood_still(100, 1_000, 0, 3_000, Read::PushedSince(at(1_100)))]
#[case::before_a_watch_that_started_late(900, 10, 0, 0, Read::Fetched(at(900)))]
fn an_announcement_is_observed_only_if_a_watch_was_under_way_all_the_time(
    #[case] gap_ms: u64,
    #[case] wait_ms: u64,
    #[case] suspended_ms: u64,
    #[case] still_ms: u64,
    #[case] expected: Read,
) {
    let mut clock = TestClock::new();
    let mut announcements = Announcements::default();
    announcements.confirm_read(Read::Fetched(clock.boot_now()));
    clock.run(gap_ms);
    let span = WatchSpan::start(&clock, &announcements);
    clock.run(wait_ms);
    clock.suspend(suspended_ms);
    clock.stand_still(still_ms);
    let read = span.end(&clock, &clock.standstills, time::Duration::ZERO);
    assert_eq!(read, expected);
    let responded_at = span.responded_at(&clock, &clock.standstills, time::Duration::ZERO);
    assert_eq!(responded_at, at(gap_ms + wait_ms));
}

/// A watch that starts after the change replies at once, as one that is under way does.
#[test]
fn a_change_between_two_watches_is_not_dated_at_the_reply_to_the_second() {
    let mut clock = TestClock::new();
    let mut announcements = Announcements::default();
    announcements.record_read(announced(1), Read::Fetched(clock.boot_now()));
    clock.run(250);
    let span = WatchSpan::start(&clock, &announcements);
    clock.run(200);
    let read = span.end(&clock, &clock.standstills, time::Duration::ZERO);
    announcements.record_read(announced(2), read);
    assert_eq!(moment_of(&announcements, 2), Some(Moment::NotBefore(at(0))));
}

/// A watch that had not continued the last read was followed by others that didn't either.
#[test]
fn an_announcement_is_observed_again_after_a_watch_that_started_late() {
    let mut clock = TestClock::new();
    let mut announcements = Announcements::default();
    announcements.record_read(announced(1), Read::Fetched(clock.boot_now()));
    clock.run(2_000);
    let span = WatchSpan::start(&clock, &announcements);
    clock.run(12_000);
    announcements.confirm_watch(span, &clock, &clock.standstills, time::Duration::ZERO);
    let span = WatchSpan::start(&clock, &announcements);
    clock.run(1_000);
    let read = span.end(&clock, &clock.standstills, time::Duration::ZERO);
    assert_eq!(read, Read::Pushed(at(15_000)));
}

/// Ages were cut to whole milliseconds, and of two bounds the later one counts.
#[test]
fn a_bound_that_is_told_to_and_fro_does_not_become_later() {
    let announced_at = at(1_000);
    let bound = Moment::NotBefore(announced_at);
    let mut processes = [Announcements::default(), Announcements::default()];
    processes[0].record(MODEL, 2, bound);
    let mut now = announced_at;
    for exchange in 0..1_000 {
        now = now + time::Duration::from_micros(10_700);
        let report = processes[exchange % 2].report(now);
        let heard = Heard::InReply {
            requested_at: now,
            now,
        };
        processes[(exchange + 1) % 2].merge(&report, heard);
    }
    for process in &processes {
        let Some(Moment::NotBefore(counted_from)) = moment_of(process, 2) else {
            panic!("no bound");
        };
        assert!(counted_from <= announced_at, "{counted_from:?}");
    }
}

/// The ticks may go on before what has waited is read.
#[test]
fn what_is_read_shortly_after_a_standstill_is_not_dated_after_it() {
    let mut clock = TestClock::new();
    let mut announcements = Announcements::default();
    announcements.record_read(announced(1), Read::Fetched(clock.boot_now()));
    let span = WatchSpan::start(&clock, &announcements);
    clock.run(1_000);
    clock.stand_still(2_000);
    clock.run(300);
    let read = span.end(&clock, &clock.standstills, time::Duration::ZERO);
    announcements.record_read(announced(2), read);
    assert_eq!(
        moment_of(&announcements, 2),
        Some(Moment::NotBefore(at(1_000)))
    );
}

#[test]
fn a_reply_that_waited_is_not_taken_for_what_held_when_it_was_read() {
    let requested_at = at(1_000);
    let age = time::Duration::from_millis(300);
    assert_eq!(
        Read::fetched_ago(Some(age), requested_at),
        Read::Fetched(at(700))
    );
}

#[test]
fn what_is_fetched_after_a_gap_was_announced_after_the_last_read() {
    let mut announcements = Announcements::default();
    announcements.record_read(announced(1), Read::Fetched(at(0)));
    announcements.confirm_read(Read::Fetched(at(500)));
    announcements.record_read(announced(2), Read::Fetched(at(9_000)));
    assert_eq!(moment_of(&announcements, 1), Some(Moment::Unknown));
    let not_before = Moment::NotBefore(at(500));
    assert_eq!(moment_of(&announcements, 2), Some(not_before));
    announcements.record_read(announced(2), Read::Fetched(at(20_000)));
    assert_eq!(moment_of(&announcements, 2), Some(not_before));
}

/// Another process had told of the version before this one read it.
#[test]
fn an_observation_counts_for_a_version_that_is_known_from_others() {
    let mut announcements = Announcements::default();
    announcements.record_read(announced(1), Read::Fetched(at(0)));
    announcements.record(MODEL, 2, Moment::Unknown);
    announcements.record_read(announced(2), Read::Pushed(at(300)));
    assert_eq!(
        moment_of(&announcements, 2),
        Some(Moment::Observed(at(300)))
    );
}

#[test]
fn more_versions_than_are_remembered_still_end_the_use_of_the_first() {
    let mut announcements = Announcements::default();
    for version in 2..200 {
        let moment = Moment::Observed(at(version * 10));
        announcements.record(MODEL, version, moment);
    }
    assert!(announcements.of_model(MODEL).len() <= 32);
    let now = at(20) + LIFETIME;
    assert!(announcements.version_min(MODEL, now, LIFETIME) >= Some(2));
}

#[test]
fn statements_keep_age_and_kind_and_count_from_their_arrival() {
    let mut told = Announcements::default();
    told.record(MODEL, 2, Moment::Observed(at(1_000)));
    told.record(MODEL, 3, Moment::NotBefore(at(2_000)));
    told.record(MODEL, 4, Moment::Unknown);
    let report = told.report(at(5_000));
    let ages: Vec<_> = report
        .statements
        .iter()
        .map(|one| (one.age_ms, one.is_observed))
        .collect();
    assert_eq!(
        ages,
        [(Some(4_000), true), (Some(3_000), false), (None, false)]
    );
    let mut heard = Announcements::default();
    let in_reply = Heard::InReply {
        requested_at: at(5_900),
        now: at(6_100),
    };
    heard.merge(&report, in_reply);
    let expected = [
        Moment::Observed(at(2_100)),
        Moment::NotBefore(at(2_900)),
        Moment::Unknown,
    ];
    let moments: Vec<_> = heard.of_model(MODEL).iter().map(|one| one.moment).collect();
    assert_eq!(moments, expected);
    let mut heard = Announcements::default();
    heard.merge(&report, Heard::InRequest { now: at(6_100) });
    assert_eq!(
        heard.of_model(MODEL).len(),
        1,
        "bounds are taken from replies"
    );
}

/// An entry that was held up took a bound for the present, and passed it on.
#[test]
fn a_bound_does_not_become_later_on_its_way() {
    let mut processes = [Announcements::default(), Announcements::default()];
    processes[0].confirm_read(Read::Fetched(at(0)));
    processes[0].record_read(announced(2), Read::Fetched(at(3_000)));
    let mut now_ms = 3_000;
    for round in 0..200 {
        let report = processes[round % 2].report(at(now_ms + 20));
        let heard = Heard::InReply {
            requested_at: at(now_ms),
            now: at(now_ms + 40),
        };
        processes[(round + 1) % 2].merge(&report, heard);
        let late = Heard::InRequest {
            now: at(now_ms + 4_000),
        };
        processes[(round + 1) % 2].merge(&report, late);
        now_ms += 40;
    }
    for process in &processes {
        let moment = moment_of(process, 2);
        let Some(Moment::NotBefore(bound)) = moment else {
            panic!("{moment:?}");
        };
        assert!(bound <= at(0), "the version was announced right after 0 ms");
        assert!(at(0).saturating_duration_since(bound) < time::Duration::from_millis(100));
    }
}

/// What is unknown is refused only until somebody who observed the announcement replies.
#[test]
fn a_process_that_starts_uses_the_older_version_again_once_an_observer_replies() {
    let mut observer = Announcements::default();
    observer.record_read(announced(1), Read::Fetched(at(0)));
    observer.record_read(announced(2), Read::Pushed(at(1_000)));
    let mut started = Announcements::default();
    started.record_read(announced(2), Read::Fetched(at(2_000)));
    let version_min = |known: &Announcements| known.version_min(MODEL, at(2_010), LIFETIME);
    assert_eq!(version_min(&started), Some(2));
    let heard = Heard::InReply {
        requested_at: at(2_000),
        now: at(2_010),
    };
    started.merge(&observer.report(at(2_005)), heard);
    assert_eq!(version_min(&started), Some(1));
}

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
        (0..PROCESSES, 0..PROCESSES).prop_map(|(from, to)| Event::Tell { from, to }),
        (0..PROCESSES).prop_map(|process| Event::Restart { process }),
        (0..4_000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// The versions as announced, and what each process knows of them.
struct World {
    now_ms: u64,
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
                let newest = self.newest();
                for (index, process) in self.processes.iter_mut().enumerate() {
                    self.is_watching[index] &= observers & (1 << index) != 0;
                    if self.is_watching[index] {
                        process.record_read(announced(newest), Read::Pushed(now));
                    }
                }
            }
            Event::Fetch { process } => {
                let newest = self.newest();
                self.processes[process].record_read(announced(newest), Read::Fetched(now));
                self.is_watching[process] = true;
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

#[test]
fn an_unknown_moment_counts_as_long_ago() {
    let known = Announcement {
        version: 2,
        moment: Moment::Unknown,
    };
    assert!(known.is_older_than(LIFETIME, at(0)));
    let statement = Statement {
        model: String::from(MODEL),
        version: 2,
        age_ms: None,
        is_observed: false,
    };
    let mut announcements = Announcements::default();
    let report = Report {
        statements: vec![statement],
        read_age_ms: None,
    };
    let heard = Heard::InReply {
        requested_at: at(0),
        now: at(0),
    };
    announcements.merge(&report, heard);
    assert_eq!(moment_of(&announcements, 2), Some(Moment::Unknown));
}
