//! What upstreams say of themselves in their responses: that they are leaving, or that they want no
//! requests for a while.
//!
//! Both hold for one incarnation of an instance. Leaving can't be taken back, whatever the platform
//! lists afterwards. A back-off ends by itself. What another entry has heard of leaving is only a
//! hint, because it may be wrong: such an upstream is used after all others, and not for long.

use std::{net, time};

use indexmap::IndexMap;

use crate::upstreams;

/// The longest back-off that is heeded.
pub const BACK_OFF_MAX: time::Duration = time::Duration::from_mins(5);
/// How long a hint counts after the response that it reports.
pub const HINT_LIFETIME: time::Duration = time::Duration::from_secs(10);
/// How long notices of upstreams that are not listed any more are kept.
pub const UNLISTED_RETENTION: time::Duration = time::Duration::from_mins(10);
/// A back-off is extended by up to this share of it, so that entries don't return together.
const JITTER_PERCENT: u32 = 25;
const JITTER_MAX: time::Duration = time::Duration::from_secs(1);

/// What a response says of its upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Whether the upstream is leaving.
    pub is_leaving: bool,
    /// How long the upstream wants no requests from this entry, if it turned the request away.
    pub back_off: Option<time::Duration>,
    /// Values that are not valid or exceed a bound.
    pub invalid: Vec<InvalidValue>,
}

/// A value that is not valid or exceeds a bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// The name of the header.
    pub name: String,
    /// The beginning of the value.
    pub value: String,
}

/// Whether an upstream may be used, as far as it or other entries have said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Nothing is said against it.
    Available,
    /// Another entry says that it is leaving; it is used if there is no other.
    HintedLeaving,
    /// It wants no requests.
    BackingOff {
        /// When that ends.
        until: time::Instant,
    },
    /// It is leaving.
    Leaving,
}

/// Returns when the first back-off ends if all of some upstreams back off or are leaving; `None` if one
/// of them may be used, or none will come back.
#[must_use]
pub fn first_return<I>(standings: I) -> Option<time::Instant>
where
    I: IntoIterator<Item = Standing>,
{
    let mut earliest: Option<time::Instant> = None;
    for standing in standings {
        match standing {
            Standing::Leaving => {}
            Standing::BackingOff { until } => {
                earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
            }
            Standing::Available | Standing::HintedLeaving => return None,
        }
    }
    earliest
}

/// Identifies one run of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Incarnation {
    started_unix_ms: Option<u64>,
    address: net::SocketAddr,
}

impl Incarnation {
    const fn of(upstream: &upstreams::Upstream) -> Self {
        Self {
            started_unix_ms: upstream.started_unix_ms,
            address: upstream.address,
        }
    }
}

/// What is known of one incarnation of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Notice {
    incarnation: Incarnation,
    /// When a response to this entry first said that it is leaving.
    leaving_heard_at: Option<time::Instant>,
    /// When a response to another entry said that it is leaving.
    leaving_hinted_at: Option<time::Instant>,
    back_off_until: Option<time::Instant>,
    /// When it was last known to be listed.
    listed_at: time::Instant,
}

impl Notice {
    const fn new(incarnation: Incarnation, now: time::Instant) -> Self {
        Self {
            incarnation,
            leaving_heard_at: None,
            leaving_hinted_at: None,
            back_off_until: None,
            listed_at: now,
        }
    }

    fn standing(&self, now: time::Instant) -> Standing {
        if self.leaving_heard_at.is_some() {
            return Standing::Leaving;
        }
        if let Some(until) = self.back_off_until.filter(|until| *until > now) {
            return Standing::BackingOff { until };
        }
        if self.leaving_hinted_at.is_some_and(|at| is_fresh(at, now)) {
            return Standing::HintedLeaving;
        }
        Standing::Available
    }
}

fn is_fresh(hinted_at: time::Instant, now: time::Instant) -> bool {
    now.saturating_duration_since(hinted_at) < HINT_LIFETIME
}

/// An upstream that is leaving, as one entry tells another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingHint {
    /// The instance.
    pub instance: String,
    /// When it started, as in [`upstreams::Upstream::started_unix_ms`].
    pub started_unix_ms: Option<u64>,
    /// The address that it listens on.
    pub address: net::SocketAddr,
    /// When an entry received the response that said so.
    pub heard_at: time::Instant,
}

/// What is known of the upstreams that have said something of themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    /// The notices of each instance, one for each incarnation.
    by_instance: IndexMap<String, Vec<Notice>>,
}

impl Notices {
    /// Returns whether an upstream may be used.
    #[must_use]
    pub fn standing(&self, upstream: &upstreams::Upstream, now: time::Instant) -> Standing {
        self.get(upstream)
            .map_or(Standing::Available, |notice| notice.standing(now))
    }

    /// Returns the leaving upstreams to tell other entries about.
    #[must_use]
    pub fn hints(&self, now: time::Instant) -> Vec<LeavingHint> {
        let of_instance = |(instance, notices): (&String, &Vec<Notice>)| {
            let hints = notices.iter().filter_map(|notice| {
                let heard_at = notice.leaving_heard_at.or(notice.leaving_hinted_at)?;
                is_fresh(heard_at, now).then(|| LeavingHint {
                    instance: instance.clone(),
                    started_unix_ms: notice.incarnation.started_unix_ms,
                    address: notice.incarnation.address,
                    heard_at,
                })
            });
            hints.collect::<Vec<_>>()
        };
        self.by_instance.iter().flat_map(of_instance).collect()
    }

    /// Records what a response to this entry said.
    ///
    /// `draw` is a random number that is uniformly distributed between 0 and 1.
    pub fn record_statement(
        &mut self,
        upstream: &upstreams::Upstream,
        statement: &Statement,
        received_at: time::Instant,
        draw: f64,
    ) {
        if !statement.is_leaving && statement.back_off.is_none() {
            return;
        }
        let notice = self.get_or_insert(upstream, received_at);
        if statement.is_leaving {
            notice.leaving_heard_at.get_or_insert(received_at);
        }
        if let Some(back_off) = statement.back_off {
            let until = received_at + with_jitter(back_off.min(BACK_OFF_MAX), draw);
            notice.back_off_until = notice.back_off_until.max(Some(until));
        }
    }

    /// Records what another entry told of an upstream that is listed as `upstream`.
    ///
    /// A hint about another incarnation changes nothing.
    pub fn record_hint(
        &mut self,
        upstream: &upstreams::Upstream,
        hint: &LeavingHint,
        now: time::Instant,
    ) {
        let is_same = hint.instance == upstream.instance
            && hint.started_unix_ms == upstream.started_unix_ms
            && hint.address == upstream.address;
        if !is_same {
            return;
        }
        let notice = self.get_or_insert(upstream, now);
        notice.leaving_hinted_at = notice.leaving_hinted_at.max(Some(hint.heard_at));
    }

    /// Returns whether there are no notices.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Drops the notices of upstreams that have not been listed for long.
    pub fn remove_unlisted<F>(&mut self, now: time::Instant, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.by_instance.retain(|instance, notices| {
            if is_listed(instance) {
                for notice in notices.iter_mut() {
                    notice.listed_at = now;
                }
            }
            notices
                .iter()
                .any(|notice| now.saturating_duration_since(notice.listed_at) < UNLISTED_RETENTION)
        });
    }

    fn get(&self, upstream: &upstreams::Upstream) -> Option<&Notice> {
        let mut notices = self.by_instance.get(&upstream.instance)?.iter();
        notices.find(|notice| notice.incarnation == Incarnation::of(upstream))
    }

    fn get_or_insert(&mut self, upstream: &upstreams::Upstream, now: time::Instant) -> &mut Notice {
        let incarnation = Incarnation::of(upstream);
        let instance = upstream.instance.clone();
        let notices = self.by_instance.entry(instance).or_default();
        let index = notices
            .iter()
            .position(|notice| notice.incarnation == incarnation)
            .unwrap_or_else(|| {
                notices.push(Notice::new(incarnation, now));
                notices.len() - 1
            });
        let notice = &mut notices[index];
        notice.listed_at = now;
        notice
    }
}

fn with_jitter(back_off: time::Duration, draw: f64) -> time::Duration {
    let jitter_max = (back_off * JITTER_PERCENT / 100).min(JITTER_MAX);
    back_off + jitter_max.mul_f64(draw.clamp(0.0, 1.0))
}
