//! Plays upstreams that have just started, in virtual time, with the pace found from their answers,
//! and with what was weighed against it.

use std::{
    fmt::Write as _,
    time::{Duration, Instant},
};

use pimentohook_core::pace;
use proptest::prelude::*;
use strum::IntoEnumIterator as _;

const SLOT_COUNT: u32 = 12;
/// An upstream is no faster with more requests at once than this.
const KNEE: u32 = 8;
/// What a request takes at an upstream that is warm and has room.
const WORK_MS: f64 = 100.0;
const GOAL_MS: f64 = 300.0;
const PLAY_MS: u32 = 8_000;
/// Callers come as fast as a warm upstream works.
const ARRIVAL_INTERVAL_MS: f64 = WORK_MS / KNEE as f64;
const DOWN_MS: u32 = 1_000;
const RAMP_MS: f64 = 5_000.0;

/// How an upstream's requests at once are bounded after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Method {
    /// By its slots only.
    Slots,
    /// By a fixed ramp.
    Ramp,
    /// By one more in the time of an answer, and half after a failure.
    Failures,
    /// In proportion to what an answer takes.
    Proportional,
    /// By `core::pace`.
    Answers,
}

/// How an upstream behaves after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Play {
    SlowAtFirst,
    FullAtOnce,
    SlowForGood,
    CrashesAtTwiceItsPace,
    FallsBack,
    TenAtOnce,
    OneOfThree,
}

impl Play {
    fn speed(self, age_ms: u32) -> f64 {
        match self {
            Self::SlowForGood => 0.4,
            Self::CrashesAtTwiceItsPace => (0.1 + f64::from(age_ms) / 3_000.0).min(1.0),
            Self::FallsBack if (1_000..2_000).contains(&age_ms) => 0.5,
            Self::FallsBack if age_ms < 3_500 => 0.1,
            Self::SlowAtFirst | Self::TenAtOnce | Self::OneOfThree if age_ms < 3_000 => 0.1,
            _ => 1.0,
        }
    }

    const fn upstream_count(self) -> usize {
        match self {
            Self::TenAtOnce => 10,
            Self::OneOfThree => 3,
            _ => 1,
        }
    }

    const fn starts(self, index: usize) -> bool {
        !matches!(self, Self::OneOfThree) || index == 0
    }
}

#[derive(Clone, Copy)]
struct Request {
    sent_ms: u32,
    left_ms: f64,
}

struct Upstream {
    method: Method,
    /// `None` for one that has been warm for long.
    started_ms: Option<u32>,
    requests: Vec<Request>,
    allowed: f64,
    pacer: pace::Pacer,
    full_ms: Option<u32>,
}

impl Upstream {
    fn new(method: Method, starts: bool, origin: Instant) -> Self {
        let mut upstream = Self {
            method,
            started_ms: None,
            requests: Vec::new(),
            allowed: f64::from(SLOT_COUNT),
            pacer: pace::Pacer::default(),
            full_ms: None,
        };
        if starts {
            upstream.start(origin, 0);
        }
        upstream
    }

    fn start(&mut self, origin: Instant, now_ms: u32) {
        self.started_ms = Some(now_ms);
        self.allowed = 2.0;
        self.pacer.begin(at(origin, now_ms));
        self.requests.clear();
        self.full_ms = None;
    }

    fn allowed(&self, origin: Instant, now_ms: u32) -> u32 {
        let Some(started_ms) = self.started_ms else {
            return SLOT_COUNT;
        };
        let age_ms = f64::from(now_ms.saturating_sub(started_ms));
        let allowed = match self.method {
            Method::Slots => f64::from(SLOT_COUNT),
            Method::Ramp => 2.0 + f64::from(SLOT_COUNT) * age_ms / RAMP_MS,
            Method::Failures | Method::Proportional => self.allowed,
            Method::Answers => {
                let allowed = self.pacer.allowed(at(origin, now_ms));
                f64::from(allowed.unwrap_or(SLOT_COUNT))
            }
        };
        let whole = allowed.clamp(1.0, f64::from(SLOT_COUNT));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "bounded"
        )]
        let whole = whole as u32;
        whole
    }

    fn record(&mut self, origin: Instant, now_ms: u32, sent_ms: u32, is_failed: bool) {
        let lateness = f64::from(now_ms - sent_ms) / WORK_MS;
        match self.method {
            Method::Slots | Method::Ramp => {}
            Method::Failures if is_failed => self.allowed = (self.allowed / 2.0).max(1.0),
            Method::Failures => self.allowed += self.allowed.recip(),
            Method::Proportional => {
                let factor = (2.0 / lateness).clamp(0.5, 1.1);
                self.allowed = (self.allowed * factor).clamp(1.0, f64::from(SLOT_COUNT));
            }
            Method::Answers => {
                let outcome = if is_failed {
                    pace::Outcome::Failed
                } else {
                    pace::Outcome::Answered { lateness }
                };
                let answer = pace::Answer {
                    sent_at: at(origin, sent_ms),
                    outcome,
                };
                self.pacer.record(at(origin, now_ms), SLOT_COUNT, answer);
            }
        }
    }
}

fn at(origin: Instant, ms: u32) -> Instant {
    origin + Duration::from_millis(u64::from(ms))
}

#[derive(Debug, Default)]
struct Figures {
    /// The work that the upstreams which started did, and could have done.
    done_ms: f64,
    possible_ms: f64,
    in_goal: u32,
    late: u32,
    failed: u32,
    refused: u32,
    crashes: u32,
    full_ms: Option<u32>,
}

fn play(play: Play, method: Method) -> Figures {
    let origin = Instant::now();
    let mut figures = Figures::default();
    let count = play.upstream_count();
    let mut upstreams: Vec<Upstream> = (0..count)
        .map(|index| Upstream::new(method, play.starts(index), origin))
        .collect();
    let interval_ms = ARRIVAL_INTERVAL_MS / f64::from(u32::try_from(count).expect("few"));
    let mut next_arrival_ms = 0.0;
    for now_ms in 0..PLAY_MS {
        while next_arrival_ms <= f64::from(now_ms) {
            next_arrival_ms += interval_ms;
            send(&mut upstreams, origin, now_ms, &mut figures);
        }
        for upstream in &mut upstreams {
            step(upstream, play, origin, now_ms, &mut figures);
        }
    }
    figures.full_ms = upstreams[0].full_ms;
    figures
}

fn send(upstreams: &mut [Upstream], origin: Instant, now_ms: u32, figures: &mut Figures) {
    let is_up = |upstream: &&mut Upstream| upstream.started_ms.is_none_or(|at| at <= now_ms);
    let room = |upstream: &Upstream| {
        let allowed = upstream.allowed(origin, now_ms) as usize;
        allowed.saturating_sub(upstream.requests.len())
    };
    let most = upstreams.iter_mut().filter(is_up).max_by_key(|up| room(up));
    match most.filter(|upstream| room(upstream) > 0) {
        Some(upstream) => upstream.requests.push(Request {
            sent_ms: now_ms,
            left_ms: WORK_MS,
        }),
        None => figures.refused += 1,
    }
}

fn step(upstream: &mut Upstream, play: Play, origin: Instant, now_ms: u32, figures: &mut Figures) {
    let starts = upstream.started_ms.is_some();
    let age_ms = upstream.started_ms.map(|at| now_ms.checked_sub(at));
    let speed = match age_ms {
        None => 1.0,
        Some(None) => return,
        Some(Some(age_ms)) => play.speed(age_ms),
    };
    if upstream.full_ms.is_none() && upstream.allowed(origin, now_ms) == SLOT_COUNT {
        upstream.full_ms = Some(now_ms - upstream.started_ms.unwrap_or(0));
    }
    let running = f64::from(u32::try_from(upstream.requests.len()).expect("few"));
    let each_ms = speed * (f64::from(KNEE) / running.max(1.0)).min(1.0);
    if starts {
        figures.possible_ms += speed * f64::from(KNEE);
        figures.done_ms += each_ms * running;
    }
    if play == Play::CrashesAtTwiceItsPace && running > (2.0 * f64::from(KNEE) * speed).max(2.0) {
        figures.crashes += 1;
        figures.failed += u32::try_from(upstream.requests.len()).expect("few");
        upstream.start(origin, now_ms + DOWN_MS);
        return;
    }
    for request in &mut upstream.requests {
        request.left_ms -= each_ms;
    }
    let ended: Vec<Request> = upstream
        .requests
        .extract_if(.., |request| request.left_ms <= 0.0)
        .collect();
    for request in ended {
        let is_late = f64::from(now_ms - request.sent_ms) > GOAL_MS;
        figures.late += u32::from(is_late);
        figures.in_goal += u32::from(!is_late);
        upstream.record(origin, now_ms, request.sent_ms, false);
    }
}

#[test]
fn methods_on_the_same_loads() {
    let mut table = String::from(
        "play                       method        done   in goal  late  failed  refused  crashes  full share\n",
    );
    for played in Play::iter() {
        for method in Method::iter() {
            let figures = play(played, method);
            let done = 100.0 * figures.done_ms / figures.possible_ms;
            let full = figures
                .full_ms
                .map_or(String::from("-"), |ms| format!("{ms} ms"));
            writeln!(
                table,
                "{:<26} {:<12} {done:>4.0} % {:>9} {:>5} {:>7} {:>8} {:>8} {full:>11}",
                played.to_string(),
                method.to_string(),
                figures.in_goal,
                figures.late,
                figures.failed,
                figures.refused,
                figures.crashes
            )
            .expect("a text");
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn an_upstream_at_full_speed_has_its_full_share_within_a_second() {
    let figures = play(Play::FullAtOnce, Method::Answers);
    assert!(figures.full_ms.is_some_and(|ms| ms < 1_000), "{figures:?}");
}

#[test]
fn an_upstream_that_crashes_at_twice_its_pace_becomes_warm() {
    let figures = play(Play::CrashesAtTwiceItsPace, Method::Answers);
    assert!(figures.full_ms.is_some(), "{figures:?}");
    assert_eq!(figures.crashes, 0);
}

#[test]
fn an_upstream_that_is_slow_for_good_gets_as_much_as_it_can_do() {
    let figures = play(Play::SlowForGood, Method::Answers);
    assert!(figures.done_ms > 0.7 * figures.possible_ms, "{figures:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever the answers are, it gets at least one, and ends when nothing is late for long.
    #[test]
    fn a_pace_never_stops_an_upstream_and_ends(
        answers in prop::collection::vec((0_u64..400, 0_u64..400, prop::option::of(0.1..50.0_f64)), 0..200),
        slot_count in 0_u32..64,
    ) {
        let mut now = Instant::now();
        let mut pacer = pace::Pacer::default();
        pacer.begin(now);
        for (gap_ms, taken_ms, lateness) in answers {
            now += Duration::from_millis(gap_ms);
            let outcome = lateness.map_or(pace::Outcome::Failed, |lateness| {
                pace::Outcome::Answered { lateness }
            });
            let sent_at = now.checked_sub(Duration::from_millis(taken_ms)).unwrap_or(now);
            pacer.record(now, slot_count, pace::Answer { sent_at, outcome });
            prop_assert!(pacer.allowed(now).is_none_or(|allowed| allowed >= 1));
        }
        prop_assert_eq!(pacer.allowed(now + Duration::from_secs(10)), None);
    }
}

/// The agent sees only how many of the requests that it admitted are still waiting.
#[test]
fn an_engine_whose_requests_wait_gets_less_and_one_whose_begin_gets_more() {
    let origin = Instant::now();
    let expected = Duration::from_millis(100);
    let mut engine = pace::EnginePacer::default();
    engine.begin(origin);
    engine.record_admitted(origin, expected);
    engine.record_admitted(origin, expected);
    engine.record_report(at(origin, 200), 0, SLOT_COUNT);
    assert_eq!(engine.allowed(at(origin, 200)), Some(4));
    engine.record_admitted(at(origin, 200), expected);
    engine.record_admitted(at(origin, 200), expected);
    engine.record_report(at(origin, 400), 2, SLOT_COUNT);
    assert_eq!(
        engine.allowed(at(origin, 400)),
        Some(4),
        "they still have time"
    );
    engine.record_report(at(origin, 600), 2, SLOT_COUNT);
    assert_eq!(engine.allowed(at(origin, 600)), Some(2));
    engine.record_report(at(origin, 800), 2, SLOT_COUNT);
    assert_eq!(engine.allowed(at(origin, 800)), Some(2), "they count once");
}
