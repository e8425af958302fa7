//! Callers and entries in virtual time while the entries are restarted.

use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use super::{
    entry::{Entry, GRACE, TTL, entries},
    roll::{self, Roll},
};
use indexmap::{IndexMap, IndexSet};
use pimentohook_core::leaving::{self, Kind, Policy, Times};
use rand::{RngExt as _, SeedableRng as _, rngs, seq::IndexedRandom as _};

const DEADLINE_MIN: Duration = Duration::from_millis(600);
const DEADLINE_MAX: Duration = Duration::from_secs(8);
/// Until the others know of a signal.
const HEARD_AFTER: Duration = Duration::from_millis(50);
/// How often an entry that shuts down looks whether it may end.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(20);
const CALLER_COUNT: usize = 60;
const ATTEMPTS_MAX: u32 = 3;
const BEFORE: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(2);
const WINDOW_S: u64 = 2;

/// What callers got, in percent, and how many lost a stream.
#[derive(Debug)]
pub struct Outcome {
    pub served: f64,
    pub cut: f64,
    pub worst: f64,
    pub lost: u32,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}, {:.1}, {:.0}", self.served, self.cut, self.worst)
    }
}

#[derive(Clone, Debug)]
struct Request {
    number: usize,
    kind: Kind,
    asked_at: Instant,
    deadline: Instant,
    answer: Duration,
    attempt: u32,
    failed: IndexSet<usize>,
}

#[derive(Debug)]
enum Event {
    Heard {
        entry: usize,
        is_ready: bool,
    },
    Ask(Request),
    /// An entry that shuts down looks whether it may end.
    Look(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    Refused,
    Cut,
    Lost,
}

struct Play {
    policy: Policy,
    entries: Vec<Entry>,
    /// The times of plain requests, and of streams.
    times: [Times; 2],
    cached: IndexMap<usize, (Vec<usize>, Instant)>,
    events: BTreeMap<(Instant, usize), Event>,
    event_count: usize,
    random: rngs::StdRng,
    ends: Vec<(Instant, End)>,
}

impl Play {
    fn add(&mut self, at: Instant, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn index_of(&self, name: &str) -> usize {
        let mut entries = self.entries.iter();
        entries
            .position(|entry| entry.name == name)
            .expect("an entry")
    }

    /// What the directory of an entry that is up names, and for how long.
    fn resolve(&self, at: Instant, directory: usize) -> (Vec<usize>, Duration) {
        let asked = &self.entries[directory];
        let mut ready = asked.others.ready_names();
        if asked.is_ready(at) {
            ready.push(asked.name.clone());
        }
        let mut ttl = TTL;
        if self.policy == Policy::ByLikelyTime {
            (ready, ttl) = if asked.is_leaving(at) {
                asked.leaver().named(&asked.others, ready, at)
            } else {
                leaving::named(ready, &asked.others.leaving(GRACE, at), TTL)
            };
        }
        if ready.is_empty() {
            ready.push(asked.name.clone());
        }
        let indexes = ready.iter().map(|name| self.index_of(name));
        (indexes.collect(), ttl)
    }

    /// Returns the entries that a caller knows; it asks a directory if it knows none in time.
    fn known(&mut self, at: Instant, caller: usize) -> Vec<usize> {
        if let Some((known, until)) = self.cached.get(&caller)
            && at < *until
        {
            return known.clone();
        }
        let up: Vec<usize> = (0..self.entries.len())
            .filter(|index| self.entries[*index].is_up(at))
            .collect();
        let Some(directory) = up.choose(&mut self.random) else {
            return Vec::new();
        };
        let (known, ttl) = self.resolve(at, *directory);
        // Some callers use a response for three times as long.
        let ttl = if caller.is_multiple_of(5) {
            ttl * 3
        } else {
            ttl
        };
        self.cached.insert(caller, (known.clone(), at + ttl));
        known
    }

    fn ask(&mut self, at: Instant, mut request: Request) {
        request.attempt += 1;
        let known = self.known(at, request.number % CALLER_COUNT);
        let untried = |index: &&usize| !request.failed.contains(*index);
        let untried: Vec<usize> = known.iter().filter(untried).copied().collect();
        let Some(index) = untried.choose(&mut self.random).copied() else {
            self.cached.shift_remove(&(request.number % CALLER_COUNT));
            return self.retry(at, request, leaving::RETRY_AFTER_ELSEWHERE);
        };
        if !self.entries[index].is_up(at) {
            request.failed.insert(index);
            return self.retry(at, request, Duration::ZERO);
        }
        if self.entries[index].is_leaving(at) && !self.is_accepted(at, index, &request) {
            let delay = self.retry_after(at, index);
            return self.retry(at, request, delay);
        }
        self.run(at, index, request);
    }

    fn is_accepted(&self, at: Instant, index: usize, request: &Request) -> bool {
        let entry = &self.entries[index];
        entry.shutdown.accepts(at, request.deadline)
            || self.policy == Policy::ByLikelyTime
                && !entry.others.are_enough(leaving::held_for(TTL), at)
                && leaving::is_likely_in_time(
                    &entry.shutdown,
                    request.kind,
                    &self.times[usize::from(roll::is_stream(request.kind))],
                    at,
                )
    }

    fn retry_after(&mut self, at: Instant, index: usize) -> Duration {
        if self.policy == Policy::ByDeadline {
            return leaving::RETRY_AFTER_ELSEWHERE;
        }
        let draw = self.random.random();
        let entry = &self.entries[index];
        entry.others.retry_after(&entry.shutdown, at, draw)
    }

    fn retry(&mut self, at: Instant, request: Request, delay: Duration) {
        let longest = request.deadline.saturating_duration_since(at) / 3;
        let again_at = at + delay.min(longest) + Duration::from_millis(1);
        if request.attempt > ATTEMPTS_MAX || again_at >= request.deadline {
            self.ends.push((request.asked_at, End::Refused));
            return;
        }
        self.add(again_at, Event::Ask(request));
    }

    fn run(&mut self, at: Instant, index: usize, request: Request) {
        let ends_at = at + request.answer;
        let busy_until = &mut self.entries[index].busy_until;
        *busy_until = (*busy_until).max(ends_at.min(request.deadline));
        let cut_at = self.entries[index].shutdown.responds_at();
        let is_before = at < self.entries[index].closes_at();
        let is_cut = is_before && cut_at < ends_at.min(request.deadline);
        if is_cut && matches!(request.kind, Kind::Idempotent | Kind::ResumableStream) {
            return self.retry(cut_at, request, Duration::ZERO);
        }
        let is_new = at >= self.entries[index].shutdown.since;
        let end = match request.kind {
            Kind::Stream if is_cut && is_new => End::Lost,
            _ if is_cut || ends_at > request.deadline => End::Cut,
            _ => End::Served,
        };
        self.ends.push((request.asked_at, end));
    }

    /// Lets all others that are up respond to an entry that told them again that it shuts down.
    fn hear(&mut self, at: Instant, entry: usize) {
        let told_at = self.entries[entry].hearing.tells_again_at();
        if at < told_at + HEARD_AFTER {
            return;
        }
        let others = self.entries.iter().filter(|other| other.is_up(at));
        let names: Vec<String> = others.map(|other| other.name.clone()).collect();
        for name in names {
            self.entries[entry].hearing.record(&name, told_at, at);
        }
    }

    fn look(&mut self, at: Instant, entry: usize) {
        self.hear(at, entry);
        let looking = &mut self.entries[entry];
        if looking.look(at) {
            looking.ended_at = Some(at);
            let heard_at = looking.ready_again_at() + HEARD_AFTER;
            let is_ready = true;
            self.add(heard_at, Event::Heard { entry, is_ready });
        } else if at < looking.shutdown.closes_at() {
            self.add(at + LOOK_INTERVAL, Event::Look(entry));
        }
    }

    fn run_all(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            match event {
                Event::Ask(request) => self.ask(at, request),
                Event::Look(entry) => self.look(at, entry),
                Event::Heard { entry, is_ready } => {
                    let name = self.entries[entry].name.clone();
                    for (index, other) in self.entries.iter_mut().enumerate() {
                        if index != entry {
                            other.others.record(&name, is_ready, at);
                        }
                    }
                }
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let share = |end: End, ends: &[(Instant, End)]| {
            let count = ends.iter().filter(|(_, other)| *other == end).count();
            let of = u32::try_from(ends.len()).expect("a few");
            100.0 * f64::from(u32::try_from(count).expect("a few")) / f64::from(of)
        };
        let first = self.ends.iter().map(|(at, _)| *at).min().expect("an end");
        let mut windows: IndexMap<u64, Vec<(Instant, End)>> = IndexMap::new();
        for (at, end) in &self.ends {
            let window = at.duration_since(first).as_secs() / WINDOW_S;
            windows.entry(window).or_default().push((*at, *end));
        }
        let worst = windows.values().map(|ends| share(End::Served, ends));
        let lost = self.ends.iter().filter(|(_, end)| *end == End::Lost);
        Outcome {
            served: share(End::Served, &self.ends),
            cut: share(End::Cut, &self.ends),
            worst: worst.fold(100.0, f64::min),
            lost: u32::try_from(lost.count()).expect("a few"),
        }
    }
}

/// Plays a roll, and returns what callers got.
pub fn play(roll: &Roll, policy: Policy) -> Outcome {
    let starts_at = Instant::now();
    let entries = entries(roll, starts_at + BEFORE);
    let mut play = Play {
        policy,
        entries,
        times: <[Times; 2]>::default(),
        cached: IndexMap::new(),
        events: BTreeMap::new(),
        event_count: 0,
        random: rngs::StdRng::seed_from_u64(1),
        ends: Vec::new(),
    };
    for entry in 0..roll.entry_count {
        let shutdown = play.entries[entry].shutdown;
        let ready_at = play.entries[entry].ready_again_at();
        let left = |is_ready| Event::Heard { entry, is_ready };
        if policy == Policy::ByLikelyTime {
            play.add(shutdown.since, Event::Look(entry));
        }
        play.add(shutdown.since + HEARD_AFTER, left(false));
        play.add(ready_at + HEARD_AFTER, left(true));
    }
    let last = play.entries.last().expect("an entry").ready_again_at();
    let length = (last + AFTER).duration_since(starts_at);
    let request_count = length.as_millis() / ARRIVAL_INTERVAL.as_millis();
    for number in 0..usize::try_from(request_count).expect("a few") {
        let asked_at = starts_at + ARRIVAL_INTERVAL * u32::try_from(number).expect("a few");
        let kind = roll.mix.kinds[number % roll.mix.kinds.len()];
        let mean = roll.mix.answer(kind);
        let factor: f64 = play.random.random_range(0.5..1.3);
        let answer = mean.mul_f64(factor);
        play.times[usize::from(roll::is_stream(kind))].record(answer);
        let request = Request {
            number,
            kind,
            asked_at,
            deadline: asked_at + (mean * 4).clamp(DEADLINE_MIN, DEADLINE_MAX),
            answer,
            attempt: 0,
            failed: IndexSet::new(),
        };
        play.add(asked_at, Event::Ask(request));
    }
    play.run_all();
    play.outcome()
}
