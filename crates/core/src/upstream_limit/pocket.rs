//! The permits that an entry holds for one upstream.
//!
//! Permits come from the coordinator and are short-lived. While the coordinator does not respond,
//! they accumulate at the entry's own share of the limit.

use std::time;

use super::{bucket, rate};

/// How long the own share is used before the coordinator is asked again.
const SILENCE: time::Duration = time::Duration::from_secs(1);
/// If the coordinator has responded for this long, its next silence begins a new period in which the
/// own share accumulates.
const SILENCE_GAP: time::Duration = time::Duration::from_millis(500);
/// The permits of the own share that accumulate, as a time at its rate.
const OWN_DEPTH: time::Duration = time::Duration::from_millis(250);
const OWN_DEPTH_MIN: f64 = 1.5;
/// If permits are used up within this time, the entry asks for more of them next time.
const USED_UP_QUICKLY: time::Duration = time::Duration::from_millis(200);
const WANTED_MAX: u32 = 64;

/// The result of taking a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// A permit for one request.
    Permit,
    /// There is no permit now.
    Denied {
        /// When there may be one.
        retry_after: time::Duration,
    },
    /// The coordinator has to be asked for permits.
    Ask {
        /// The number of permits to ask for.
        wanted: u32,
    },
}

/// The permits granted by the coordinator.
#[derive(Clone, Copy, Debug)]
struct Granted {
    count: u32,
    left: u32,
    at: time::Instant,
}

/// The permits of the entry's own share.
#[derive(Clone, Copy, Debug)]
struct OwnShare {
    permits: f64,
    filled_at: time::Instant,
    until: time::Instant,
}

/// The permits for one upstream.
#[derive(Clone, Debug, Default)]
pub struct PermitPocket {
    granted: Option<Granted>,
    wanted: u32,
    ask_at: Option<time::Instant>,
    own: Option<OwnShare>,
}

impl PermitPocket {
    /// Takes a permit; returns the pocket after it. `own_rate` is the entry's own share of the
    /// limit.
    #[must_use]
    pub fn take(&self, now: time::Instant, own_rate: rate::RequestRate) -> (Self, Taken) {
        let mut after = self.clone();
        let taken = after.take_one(now, own_rate);
        (after, taken)
    }

    fn take_one(&mut self, now: time::Instant, own_rate: rate::RequestRate) -> Taken {
        let valid = self
            .granted
            .as_mut()
            .filter(|granted| granted.is_valid(now));
        if let Some(granted) = valid.filter(|granted| granted.left > 0) {
            granted.left -= 1;
            return Taken::Permit;
        }
        if let Some(own) = self.own.as_mut().filter(|own| own.until > now) {
            return own.take(now, own_rate);
        }
        match self.ask_at {
            Some(ask_at) if ask_at > now => Taken::Denied {
                retry_after: ask_at.duration_since(now),
            },
            _ => Taken::Ask {
                wanted: self.next_wanted(now),
            },
        }
    }

    /// Returns how many permits to ask for: more if the last ones were used up quickly, and only as
    /// many as were used if some expired.
    fn next_wanted(&self, now: time::Instant) -> u32 {
        let wanted = self.wanted.max(1);
        let Some(granted) = self.granted else {
            return wanted;
        };
        if granted.left > 0 {
            return (granted.count - granted.left).max(1);
        }
        let used_up_quickly = now.saturating_duration_since(granted.at) < USED_UP_QUICKLY;
        if granted.count > 0 && used_up_quickly {
            (wanted * 2).min(WANTED_MAX)
        } else {
            wanted
        }
    }

    /// Records the coordinator's reply; returns the pocket after it.
    #[must_use]
    pub fn record_grant(&self, now: time::Instant, wanted: u32, grant: bucket::Grant) -> Self {
        let granted = Granted {
            count: grant.count,
            left: grant.count,
            at: now,
        };
        Self {
            // A denial doesn't show how quickly permits are used.
            granted: (grant.count > 0).then_some(granted),
            wanted,
            ask_at: Some(now + grant.retry_after),
            own: self.own,
        }
    }

    /// Records that there is no coordinator or that it did not respond; returns the pocket after
    /// it, which holds permits of the own share for a while.
    ///
    /// All entries may begin to use their own shares at the same time. So `draw`, a random number
    /// that is uniformly distributed between 0 and 1, is the first fraction of a permit.
    #[must_use]
    pub fn record_silence(&self, now: time::Instant, draw: f64) -> Self {
        let until = now + SILENCE;
        let own = match self.own {
            Some(own) if own.until + SILENCE_GAP > now => OwnShare { until, ..own },
            Some(own) => OwnShare {
                until,
                filled_at: now,
                ..own
            },
            None => OwnShare {
                permits: draw.clamp(0.0, 1.0),
                filled_at: now,
                until,
            },
        };
        Self {
            own: Some(own),
            ..self.clone()
        }
    }

    /// Gives back a permit that was not used; returns the pocket after it.
    #[must_use]
    pub fn give_back(&self, now: time::Instant) -> Self {
        let mut after = self.clone();
        let own = after.own.as_mut().filter(|own| own.until > now);
        if let Some(own) = own {
            own.permits += 1.0;
        } else if let Some(granted) = after.granted.as_mut() {
            granted.left = (granted.left + 1).min(granted.count);
        }
        after
    }
}

impl Granted {
    fn is_valid(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.at) <= bucket::PERMIT_LIFETIME
    }
}

impl OwnShare {
    fn take(&mut self, now: time::Instant, rate: rate::RequestRate) -> Taken {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let depth = (rate.per_second() * OWN_DEPTH.as_secs_f64()).max(OWN_DEPTH_MIN);
        let added = rate.per_second() * elapsed.as_secs_f64();
        self.permits = (self.permits + added).min(depth);
        self.filled_at = self.filled_at.max(now);
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            return Taken::Permit;
        }
        Taken::Denied {
            retry_after: bucket::time_until(1.0 - self.permits, rate),
        }
    }
}
