//! What upstreams say of themselves: leaving, back-offs and hints, in any order of events.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use pimentohook_core::{
    upstream_notice::{
        BACK_OFF_MAX, HINT_LIFETIME, LeavingHint, Notices, Standing, Statement, UNLISTED_RETENTION,
    },
    upstreams::{State, Upstream},
};
use proptest::prelude::*;

/// The longest time that may be added to a back-off.
const JITTER_MAX: Duration = Duration::from_secs(1);
const INCARNATION_COUNT: usize = 3;

/// Returns one of three incarnations at the same address, two of them with the same id.
fn upstream(number: usize) -> Upstream {
    let (instance, born) = [("i-1", 1), ("i-1", 2), ("i-2", 2)][number];
    Upstream {
        instance: String::from(instance),
        started_unix_ms: Some(born),
        service: "plain".parse().expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        failure_domain: String::from("domain-1"),
        slot_count: 4,
        state: State::Ready,
        weights: IndexMap::new(),
        cold_remaining: Duration::ZERO,
    }
}

fn hint(upstream: &Upstream, heard_at: Instant) -> LeavingHint {
    LeavingHint {
        instance: upstream.instance.clone(),
        started_unix_ms: upstream.started_unix_ms,
        address: upstream.address,
        heard_at,
    }
}

const LEAVING: Statement = Statement {
    is_leaving: true,
    back_off: None,
    invalid: Vec::new(),
};

fn backing_off(back_off: Duration) -> Statement {
    Statement {
        back_off: Some(back_off),
        ..Statement::default()
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// A response says nothing.
    Silent,
    Leaving,
    BackOff {
        asked_ms: u64,
        draw: f64,
    },
    /// Another entry tells of an incarnation.
    Hint {
        about: usize,
        age_ms: u64,
    },
    /// The platform lists another incarnation, or the same again.
    List {
        number: usize,
    },
    /// The notices of what isn't listed are dropped if they are old.
    Cleanup,
    Pass {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Silent),
        Just(Event::Leaving),
        (0_u64..400_000, 0.0..=1.0).prop_map(|(asked_ms, draw)| Event::BackOff { asked_ms, draw }),
        (0_u64..5_000, 0.0..=1.0).prop_map(|(asked_ms, draw)| Event::BackOff { asked_ms, draw }),
        (0..INCARNATION_COUNT, 0_u64..20_000)
            .prop_map(|(about, age_ms)| Event::Hint { about, age_ms }),
        (0..INCARNATION_COUNT).prop_map(|number| Event::List { number }),
        Just(Event::Cleanup),
        (0_u64..3_000).prop_map(|ms| Event::Pass { ms }),
        (0_u64..400_000).prop_map(|ms| Event::Pass { ms }),
    ]
}

/// What one incarnation has said, in full.
#[derive(Clone, Debug, Default)]
struct Said {
    is_leaving: bool,
    /// When each back-off was asked for, and for how long.
    back_offs: Vec<(Instant, Duration)>,
    /// When the hints about it, which were fresh when they arrived, were heard.
    hints: Vec<Instant>,
    /// Since when its instance is not listed.
    unlisted_since: Option<Instant>,
}

struct World {
    notices: Notices,
    now: Instant,
    listed: usize,
    said: [Said; INCARNATION_COUNT],
}

impl World {
    fn new() -> Self {
        Self {
            notices: Notices::default(),
            // Far from the earliest instant, so that hints can be older.
            now: Instant::now() + Duration::from_hours(1),
            listed: 0,
            said: Default::default(),
        }
    }

    fn apply(&mut self, event: &Event) {
        let listed = upstream(self.listed);
        let (now, said) = (self.now, &mut self.said);
        match event {
            Event::Silent => {
                let silent = Statement::default();
                self.notices.record_statement(&listed, &silent, now, 0.5);
            }
            Event::Leaving => {
                said[self.listed].is_leaving = true;
                self.notices.record_statement(&listed, &LEAVING, now, 0.5);
            }
            Event::BackOff { asked_ms, draw } => {
                let asked = Duration::from_millis(*asked_ms);
                said[self.listed].back_offs.push((now, asked));
                let statement = backing_off(asked);
                self.notices
                    .record_statement(&listed, &statement, now, *draw);
            }
            Event::Hint { about, age_ms } => {
                let age = Duration::from_millis(*age_ms);
                let heard_at = now.checked_sub(age).expect("an earlier instant");
                let hint = hint(&upstream(*about), heard_at);
                if *about == self.listed && now - heard_at < HINT_LIFETIME {
                    said[*about].hints.push(heard_at);
                }
                self.notices.record_hint(&listed, &hint, now);
            }
            Event::List { number } => {
                // The notices are also cleaned up now and then while an upstream is listed.
                self.clean_up();
                self.list(*number);
            }
            Event::Cleanup => self.clean_up(),
            Event::Pass { ms } => self.now += Duration::from_millis(*ms),
        }
    }

    fn list(&mut self, number: usize) {
        self.listed = number;
        let instance = upstream(number).instance;
        for (other, said) in self.said.iter_mut().enumerate() {
            if upstream(other).instance == instance {
                said.unlisted_since = None;
            } else {
                said.unlisted_since.get_or_insert(self.now);
            }
        }
    }

    fn clean_up(&mut self) {
        let listed = upstream(self.listed).instance;
        self.notices
            .remove_unlisted(self.now, |instance| instance == listed);
        for said in &mut self.said {
            let is_old = |since| self.now - since >= UNLISTED_RETENTION;
            if said.unlisted_since.is_some_and(is_old) {
                *said = Said {
                    unlisted_since: said.unlisted_since,
                    ..Said::default()
                };
            }
        }
    }

    fn check(&self) {
        let said = &self.said[self.listed];
        let standing = self.notices.standing(&upstream(self.listed), self.now);
        if said.is_leaving {
            assert_eq!(standing, Standing::Leaving);
            return;
        }
        let ends = said
            .back_offs
            .iter()
            .map(|(at, asked)| *at + (*asked).min(BACK_OFF_MAX));
        let end = ends.max().unwrap_or(self.now);
        if end > self.now {
            let Standing::BackingOff { until } = standing else {
                panic!("{standing} before the end of a back-off");
            };
            assert!(until >= end, "ends {:?} too early", end - until);
            return;
        }
        if let Standing::BackingOff { until } = standing {
            assert!(until <= end + JITTER_MAX, "ends {:?} too late", until - end);
            return;
        }
        let is_hinted = said.hints.iter().any(|at| self.now - *at < HINT_LIFETIME);
        let expected = if is_hinted {
            Standing::HintedLeaving
        } else {
            Standing::Available
        };
        assert_eq!(standing, expected);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Leaving is final for an incarnation and never follows from a hint; a back-off lasts as long as
    /// asked and ends; nothing of one incarnation holds for another.
    #[test]
    fn what_an_incarnation_said_holds_for_it_in_any_order(
        events in prop::collection::vec(event(), 1..40)
    ) {
        let mut world = World::new();
        for event in &events {
            world.apply(event);
            world.check();
        }
    }
}

#[test]
fn entries_that_are_asked_for_the_same_time_return_one_after_the_other() {
    let now = Instant::now();
    let listed = upstream(0);
    let end = |draw| {
        let mut notices = Notices::default();
        let statement = backing_off(Duration::from_secs(2));
        notices.record_statement(&listed, &statement, now, draw);
        match notices.standing(&listed, now) {
            Standing::BackingOff { until } => until - now,
            standing => panic!("{standing}"),
        }
    };
    assert_eq!(end(0.0), Duration::from_secs(2));
    assert_eq!(end(0.5), Duration::from_millis(2_250));
    assert_eq!(end(1.0), Duration::from_millis(2_500));
}

#[test]
fn an_entry_tells_only_of_leaving_and_only_for_a_while() {
    let now = Instant::now();
    let listed = upstream(0);
    let mut notices = Notices::default();
    let statement = backing_off(Duration::from_secs(2));
    notices.record_statement(&listed, &statement, now, 0.0);
    assert_eq!(notices.hints(now), []);
    notices.record_statement(&listed, &LEAVING, now, 0.0);
    let later = now + Duration::from_secs(9);
    assert_eq!(notices.hints(later), [hint(&listed, now)]);
    let much_later = now + HINT_LIFETIME;
    assert_eq!(notices.hints(much_later), []);
}
