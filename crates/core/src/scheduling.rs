//! How much of an engine is kept for more urgent requests while engines are short.
//!
//! A request is bound by the reserves of all classes that go before its own. The reserve of a class
//! grows when one of its requests is refused for want of room, and shrinks when one is admitted, so
//! that it settles where few of them are refused. Reserves only ever take away from what
//! [`EngineAdmission`](crate::engine_admission::EngineAdmission) would admit.
//!
//! Requests of organisations beyond their shares go after all others, whatever their priority; see
//! [`organisation_shares`](crate::organisation_shares).
//!
//! No priority is starved: it earns a credit with each request, and requests with credit are bound by
//! no reserve. Large requests earn credits of their own.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use pimentohook_core::{rank::Priority, scheduling};
//!
//! let now = Instant::now();
//! let mut scheduler = scheduling::Scheduler::new(now);
//! let urgent = scheduling::Ask {
//!     priority: Priority::from(0),
//!     is_second: false,
//!     is_over_share: false,
//!     is_first_ask: true,
//!     prompt_tokens: 700,
//!     first_token_max: Duration::from_millis(340),
//! };
//! let usual = scheduling::Ask { priority: Priority::from(1), ..urgent };
//! assert_eq!(scheduler.reserved(now, &usual, 12), scheduling::Reserved::default());
//! for _ in 0..10 {
//!     scheduler.record(now, &urgent, scheduling::Outcome::NoRoom);
//! }
//! assert!(scheduler.reserved(now, &usual, 12).slot_count > 0);
//! assert_eq!(scheduler.reserved(now, &urgent, 12), scheduling::Reserved::default());
//! ```

use std::time;

use crate::rank;

/// Classes of each priority: requests that come first, and those that come second.
const CLASSES_PER_PRIORITY: usize = 2;
/// The classes of organisations within their shares; as many come after them for the others.
const CLASSES_WITHIN_SHARES: usize = rank::Priority::COUNT * CLASSES_PER_PRIORITY;
const CLASS_COUNT: usize = CLASSES_WITHIN_SHARES * 2;

/// By how many slots a reserve grows with a refusal, and shrinks with an admission.
const RESERVE_PER_REFUSAL: f64 = 0.15;
const RESERVE_PER_ADMISSION: f64 = 0.1;
/// The time in which a reserve fades to half if nobody of its class is refused.
const RESERVE_HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// The largest share of the slots that is kept for one class.
const RESERVE_SHARE_MAX: f64 = 0.5;
/// The largest number of prompts of a class for which time is kept.
const RESERVED_PROMPTS_MAX: f64 = 1.0;

/// The time in which the counted requests fade to half.
const COUNT_HALF_LIFE: time::Duration = time::Duration::from_secs(3);
/// The part of the mean share served that every priority gets at least.
const SHARE_MIN: f64 = 0.25;
/// The largest credit, in requests.
const CREDIT_MAX: f64 = 3.0;
/// Weight of a request in the means of its class.
const MEAN_WEIGHT: f64 = 0.1;

/// A request for a slot, as far as it matters for what is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Its priority.
    pub priority: rank::Priority,
    /// Whether it goes after the others of its priority.
    pub is_second: bool,
    /// Whether its organisation has had more than its share, so that it goes after all others.
    pub is_over_share: bool,
    /// Whether no other agent was asked before for this request.
    pub is_first_ask: bool,
    /// The length of its prompt, in tokens.
    pub prompt_tokens: u32,
    /// The longest acceptable time to the first token.
    pub first_token_max: time::Duration,
}

impl Ask {
    fn class(&self) -> usize {
        let of_priority = self.priority.index() * CLASSES_PER_PRIORITY;
        let of_share = usize::from(self.is_over_share) * CLASSES_WITHIN_SHARES;
        of_share + of_priority + usize::from(self.is_second)
    }
}

/// What became of a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was admitted.
    Admitted,
    /// It was refused because there was no room, though the engine could serve it if it were idle.
    NoRoom,
    /// It was refused for another reason.
    Refused,
}

/// What a request must leave to more urgent ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reserved {
    /// The number of slots.
    pub slot_count: u32,
    /// The length of the prompts for which there must be time, in tokens.
    pub prompt_tokens: u32,
    /// The time within which their first tokens must come; `None` if nothing is kept.
    pub first_token_max: Option<time::Duration>,
}

/// What is known of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    /// The reserve, in slots.
    reserve: f64,
    prompt_tokens_mean: f64,
    first_token_max_mean_s: f64,
}

/// What is known of the requests of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// How many requests are owed to it, because it was served too little.
    credit: f64,
}

/// What one engine keeps for whom.
#[derive(Clone, Debug)]
pub struct Scheduler {
    classes: [Class; CLASS_COUNT],
    shares: [Share; rank::Priority::COUNT],
    /// Recent requests for which this agent was the first to be asked, and those it admitted.
    asked_count: f64,
    admitted_count: f64,
    updated_at: time::Instant,
}

/// Returns what is left of 1 after a time.
fn faded(elapsed: time::Duration, half_life: time::Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}

fn blend(mean: &mut f64, value: f64) {
    let weight = if *mean > 0.0 { MEAN_WEIGHT } else { 1.0 };
    *mean += (value - *mean) * weight;
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the casts saturate"
)]
const fn whole(value: f64) -> u32 {
    value as u32
}

impl Scheduler {
    /// Creates the state of an engine that keeps nothing for anybody.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            classes: [Class::default(); CLASS_COUNT],
            shares: [Share::default(); rank::Priority::COUNT],
            asked_count: 0.0,
            admitted_count: 0.0,
            updated_at: now,
        }
    }

    /// Returns what a request must leave to more urgent ones at an engine with this many slots.
    #[must_use]
    pub fn reserved(&self, now: time::Instant, ask: &Ask, slot_count: u32) -> Reserved {
        let mut reserved = Reserved::default();
        if !ask.is_over_share && self.shares[ask.priority.index()].credit >= 1.0 {
            return reserved;
        }
        let elapsed = now.saturating_duration_since(self.updated_at);
        let left = faded(elapsed, RESERVE_HALF_LIFE);
        let (mut slots, mut tokens) = (0.0, 0.0);
        for class in &self.classes[..ask.class()] {
            let reserve = (class.reserve * left).min(f64::from(slot_count) * RESERVE_SHARE_MAX);
            slots += reserve;
            tokens += class.prompt_tokens_mean * reserve.min(RESERVED_PROMPTS_MAX);
            if reserve >= RESERVED_PROMPTS_MAX {
                let own = time::Duration::from_secs_f64(class.first_token_max_mean_s);
                let shortest = reserved.first_token_max.map_or(own, |other| other.min(own));
                reserved.first_token_max = Some(shortest);
            }
        }
        reserved.slot_count = whole(slots).min(slot_count);
        reserved.prompt_tokens = whole(tokens);
        reserved
    }

    /// Records what became of a request; once for each, at the end.
    pub fn record(&mut self, now: time::Instant, ask: &Ask, outcome: Outcome) {
        self.fade(now);
        let class = &mut self.classes[ask.class()];
        if ask.is_first_ask {
            blend(&mut class.prompt_tokens_mean, f64::from(ask.prompt_tokens));
            let first_token_max_s = ask.first_token_max.as_secs_f64();
            blend(&mut class.first_token_max_mean_s, first_token_max_s);
        }
        let step = match outcome {
            Outcome::Admitted => -RESERVE_PER_ADMISSION,
            Outcome::NoRoom => RESERVE_PER_REFUSAL,
            Outcome::Refused => 0.0,
        };
        class.reserve = (class.reserve + step).max(0.0);
        if !ask.is_over_share {
            self.record_share(ask, outcome);
        }
    }

    fn record_share(&mut self, ask: &Ask, outcome: Outcome) {
        if ask.is_first_ask {
            self.asked_count += 1.0;
        }
        if outcome == Outcome::Admitted {
            self.admitted_count += 1.0;
        }
        let served = (self.admitted_count / self.asked_count.max(1.0)).min(1.0);
        let share = &mut self.shares[ask.priority.index()];
        if ask.is_first_ask {
            share.credit = (share.credit + served * SHARE_MIN).min(CREDIT_MAX);
        }
        if outcome == Outcome::Admitted {
            share.credit = (share.credit - 1.0).max(0.0);
        }
    }

    /// Lets what was learned before fade.
    fn fade(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let left = faded(elapsed, RESERVE_HALF_LIFE);
        for class in &mut self.classes {
            class.reserve *= left;
        }
        let left = faded(elapsed, COUNT_HALF_LIFE);
        self.asked_count *= left;
        self.admitted_count *= left;
    }
}
