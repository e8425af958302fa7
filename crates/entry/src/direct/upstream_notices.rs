//! What upstreams have said of leaving and of back-offs, and who is told.

use std::{sync::atomic, time};

use arc_swap::ArcSwap;
use pimentohook_core::{upstream_notice, upstreams};
use pimentohook_wire::direct;
use rand::RngExt as _;

use super::app;

/// The shortest time between two log lines about invalid values.
const INVALID_LOG_INTERVAL_MS: u64 = 1_000;
/// A back-off that is extended by less than this is not logged again.
const EXTENSION_LOGGED_MIN: time::Duration = time::Duration::from_secs(1);

/// What upstreams have said of leaving and of back-offs.
#[derive(Debug, Default)]
pub struct UpstreamNotices {
    notices: ArcSwap<upstream_notice::Notices>,
    /// When an invalid value may be logged again, in milliseconds since the entry started.
    invalid_logged_again_at_ms: atomic::AtomicU64,
}

impl UpstreamNotices {
    /// Returns what is known against an upstream.
    #[must_use]
    pub fn standing(
        &self,
        upstream: &upstreams::Upstream,
        now: time::Instant,
    ) -> upstream_notice::Standing {
        self.notices.load().standing(upstream, now)
    }

    /// Returns whether requests may be sent to an upstream.
    #[must_use]
    pub fn allows_requests(&self, upstream: &upstreams::Upstream, now: time::Instant) -> bool {
        match self.standing(upstream, now) {
            upstream_notice::Standing::Available | upstream_notice::Standing::HintedLeaving => true,
            upstream_notice::Standing::BackingOff { .. } | upstream_notice::Standing::Leaving => {
                false
            }
        }
    }

    /// Returns the leaving upstreams in the form in which other entries are told.
    #[must_use]
    pub fn stated(&self, now: time::Instant) -> Vec<direct::StatedLeaving> {
        let hints = self.notices.load().hints(now).into_iter();
        let stated = hints.map(|hint| direct::StatedLeaving {
            instance: hint.instance,
            started_unix_ms: hint.started_unix_ms,
            address: hint.address,
            age_ms: millis(now.saturating_duration_since(hint.heard_at)),
        });
        stated.collect()
    }

    fn update<F>(&self, change: F)
    where
        F: Fn(&mut upstream_notice::Notices),
    {
        self.notices.rcu(|notices| {
            let mut notices = upstream_notice::Notices::clone(notices);
            change(&mut notices);
            notices
        });
    }

    /// Returns whether an invalid value is to be logged at `now_ms`.
    fn logs_invalid(&self, now_ms: u64) -> bool {
        let ordering = atomic::Ordering::Relaxed;
        let due = |again_at_ms| (again_at_ms <= now_ms).then(|| now_ms + INVALID_LOG_INTERVAL_MS);
        self.invalid_logged_again_at_ms
            .fetch_update(ordering, ordering, due)
            .is_ok()
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Records what the response to a request says of its upstream.
pub fn record_response(
    app: &app::App,
    request_id: &str,
    upstream: &upstreams::Upstream,
    statement: &upstream_notice::Statement,
) {
    record_invalid(app, request_id, upstream, statement);
    if !statement.is_leaving && statement.back_off.is_none() {
        return;
    }
    let now = app.clock.now();
    let before = app.upstream_notices.standing(upstream, now);
    if before == upstream_notice::Standing::Leaving {
        return;
    }
    let draw: f64 = rand::rng().random();
    app.upstream_notices
        .update(|notices| notices.record_statement(upstream, statement, now, draw));
    let after = app.upstream_notices.standing(upstream, now);
    let is_leaving = after == upstream_notice::Standing::Leaving;
    if !is_leaving && !is_logged_back_off(before, after) {
        return;
    }
    app.count(if is_leaving {
        "upstream_leaving"
    } else {
        "upstream_back_off"
    });
    let instance = &upstream.instance;
    let back_off_ms = match after {
        upstream_notice::Standing::BackingOff { until } => {
            millis(until.saturating_duration_since(now))
        }
        _ => 0,
    };
    log::info!(
        "notice: event={after} instance={instance} request={request_id} before={before} age_ms=0 \
         back_off_ms={back_off_ms} source=response"
    );
    if is_leaving {
        app.upstream_limits.changed.notify_one();
    }
}

/// Returns whether a back-off has begun or become much longer.
fn is_logged_back_off(before: upstream_notice::Standing, after: upstream_notice::Standing) -> bool {
    use upstream_notice::Standing::BackingOff;
    match (before, after) {
        (BackingOff { until: before }, BackingOff { until: after }) => {
            after.saturating_duration_since(before) >= EXTENSION_LOGGED_MIN
        }
        (_, BackingOff { .. }) => true,
        _ => false,
    }
}

fn record_invalid(
    app: &app::App,
    request_id: &str,
    upstream: &upstreams::Upstream,
    statement: &upstream_notice::Statement,
) {
    for invalid in &statement.invalid {
        app.count("upstream_notice_invalid");
        if app.upstream_notices.logs_invalid(app.now_ms()) {
            log::warn!(
                "notice: event=invalid instance={} request={request_id} header={} value={:?} \
                 back_off_ms={:?}",
                upstream.instance,
                invalid.name,
                invalid.value,
                statement.back_off.map(millis)
            );
        }
    }
}

/// Records what another entry told of a leaving upstream, if that is listed.
pub fn record_hint(app: &app::App, stated: &direct::StatedLeaving) {
    let now = app.clock.now();
    let age = time::Duration::from_millis(stated.age_ms);
    let Some(heard_at) = now.checked_sub(age) else {
        return;
    };
    let candidates = app.candidates.load();
    let mut listed = candidates.values().flatten();
    let Some(candidate) = listed.find(|candidate| candidate.upstream.instance == stated.instance)
    else {
        return;
    };
    let upstream = &candidate.upstream;
    let hint = upstream_notice::LeavingHint {
        instance: stated.instance.clone(),
        started_unix_ms: stated.started_unix_ms,
        address: stated.address,
        heard_at,
    };
    let before = app.upstream_notices.standing(upstream, now);
    if before != upstream_notice::Standing::Available {
        return;
    }
    app.upstream_notices
        .update(|notices| notices.record_hint(upstream, &hint, now));
    let after = app.upstream_notices.standing(upstream, now);
    if after != before {
        app.count("upstream_leaving_hinted");
        log::info!(
            "notice: event={after} instance={} before={before} age_ms={} source=gossip",
            stated.instance,
            stated.age_ms
        );
    }
}

/// Drops what is known of upstreams that have not been listed for long.
pub fn remove_unlisted(app: &app::App) {
    if app.upstream_notices.notices.load().is_empty() {
        return;
    }
    let now = app.clock.now();
    let candidates = app.candidates.load();
    let is_listed = |instance: &str| {
        let mut listed = candidates.values().flatten();
        listed.any(|candidate| candidate.upstream.instance == instance)
    };
    app.upstream_notices
        .update(|notices| notices.remove_unlisted(now, is_listed));
}
