//! Which organisations use more of an engine than their share while it is short.
//!
//! What an engine serves is divided by max-min fairness: each organisation gets what it asks for, up
//! to a level at which all of it is used. What an organisation doesn't ask for is lent to the others.
//! A request of an organisation that has had more than the level goes after all others.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use pimentohook_core::organisation_shares::Shares;
//!
//! let start = Instant::now();
//! let mut shares = Shares::new(start);
//! for index in 0..100 {
//!     let now = start + Duration::from_millis(20 * index);
//!     shares.record(now, "large", 400, true, true);
//!     shares.record(now, "small", 200, true, index % 2 == 0);
//! }
//! assert!(shares.is_over("large"));
//! assert!(!shares.is_over("small"));
//! assert!(!shares.is_over("new"));
//! ```

use std::time;

use indexmap::IndexMap;

/// The time in which what was asked for and served fades to half.
const HALF_LIFE: time::Duration = time::Duration::from_secs(4);
/// An engine is short if it serves less than this many percent of what is asked for.
const SHORT_PERCENT: f64 = 95.0;
/// What an organisation may have beyond the level, in percent, as requests come unevenly.
const TOLERANCE_PERCENT: f64 = 15.0;
/// The most organisations that are told apart; the others share one place.
const ORGANISATIONS_MAX: usize = 256;
/// An organisation with fewer tokens than this left of what it asked for is forgotten.
const FORGOTTEN_TOKENS: f64 = 1.0;
const PERCENT_SCALE: f64 = 100.0;
/// The place of those beyond [`ORGANISATIONS_MAX`].
const OTHERS: &str = "";

/// How an engine that is short is shared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// By the ranks of requests alone.
    #[default]
    ByRank,
    /// By the shares of organisations, and within them by the ranks of requests.
    ByOrganisation,
}

/// What one organisation has asked for and was served of late, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    asked_tokens: f64,
    served_tokens: f64,
}

/// What the organisations have asked of one engine and were served.
#[derive(Clone, Debug)]
pub struct Shares {
    by_organisation: IndexMap<String, Usage>,
    updated_at: time::Instant,
}

impl Shares {
    /// Creates the state of an engine that nobody has asked yet.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            by_organisation: IndexMap::new(),
            updated_at: now,
        }
    }

    /// Returns whether an organisation has had more than its share, of an engine that is short.
    #[must_use]
    pub fn is_over(&self, organisation: &str) -> bool {
        let usage = self.by_organisation.get(self.place(organisation));
        let Some(usage) = usage else {
            return false;
        };
        self.level_tokens().is_some_and(|level_tokens| {
            let max_tokens = level_tokens * (1.0 + TOLERANCE_PERCENT / PERCENT_SCALE);
            usage.served_tokens > max_tokens
        })
    }

    /// Records what became of a request of an organisation for `tokens`.
    ///
    /// `is_first_ask` states that no other engine was asked for it before, so that it is counted as
    /// asked for once.
    pub fn record(
        &mut self,
        now: time::Instant,
        organisation: &str,
        tokens: u32,
        is_first_ask: bool,
        is_served: bool,
    ) {
        self.fade(now);
        let usage = self.usage_mut(organisation);
        let tokens = f64::from(tokens);
        if is_first_ask {
            usage.asked_tokens += tokens;
        }
        if is_served {
            usage.served_tokens += tokens;
        }
    }

    fn usage_mut(&mut self, organisation: &str) -> &mut Usage {
        let place = self.place(organisation);
        if !self.by_organisation.contains_key(place) {
            self.by_organisation
                .insert(String::from(place), Usage::default());
        }
        &mut self.by_organisation[place]
    }

    fn place<'a>(&self, organisation: &'a str) -> &'a str {
        let is_told_apart = self.by_organisation.len() < ORGANISATIONS_MAX
            || self.by_organisation.contains_key(organisation);
        if is_told_apart { organisation } else { OTHERS }
    }

    /// Returns what each organisation may have; `None` if the engine isn't short.
    fn level_tokens(&self) -> Option<f64> {
        let usages = self.by_organisation.values();
        let mut asked: Vec<f64> = usages.clone().map(|usage| usage.asked_tokens).collect();
        let asked_tokens: f64 = asked.iter().sum();
        let mut left_tokens: f64 = usages.map(|usage| usage.served_tokens).sum();
        if left_tokens >= asked_tokens * SHORT_PERCENT / PERCENT_SCALE {
            return None;
        }
        asked.sort_by(f64::total_cmp);
        let mut remaining = asked.len();
        for tokens in asked {
            let level = left_tokens / f64::from(u32::try_from(remaining).unwrap_or(u32::MAX));
            if tokens > level {
                return Some(level);
            }
            left_tokens -= tokens;
            remaining -= 1;
        }
        None
    }

    fn fade(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let left = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.updated_at = self.updated_at.max(now);
        for usage in self.by_organisation.values_mut() {
            usage.asked_tokens *= left;
            usage.served_tokens *= left;
        }
        self.by_organisation
            .retain(|_, usage| usage.asked_tokens.max(usage.served_tokens) >= FORGOTTEN_TOKENS);
    }
}
