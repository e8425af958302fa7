//! Asks other sources beside the one that is followed, once the copy grows old.
//!
//! The source that is followed may say nothing for a while, or pass on nothing new, without failing. How
//! long that may last is one bound, whatever is lost on the way: see
//! [`follow_timing`](pimentohook_core::follow_timing).

use pimentohook_core::{follow_timing, hedge, relay};
use pimentohook_platform::store;
use tokio::time as tokio_time;

use super::{Follower, fetch, sources, timing};
use crate::direct::app;

/// The share of a hedge's delay after which its need is checked again, given as a divisor.
const CHECK_DIVISOR: u32 = 20;

/// Asks other sources of a kind whenever that is needed, until the process exits.
pub(super) async fn run(follower: &Follower) {
    let Some(timing) = follower.timing().hedge else {
        return;
    };
    loop {
        tokio_time::sleep(timing.after / CHECK_DIVISOR).await;
        while let Some(reason) = reason(follower, &timing) {
            if !ask_next(follower, &timing, &reason).await {
                break;
            }
        }
    }
}

/// Returns why other sources are to be asked now; `None` if they are not.
fn reason(follower: &Follower, timing: &follow_timing::HedgeTiming) -> Option<hedge::Reason> {
    let (app, kind) = (&*follower.app, follower.kind);
    let reported = app.peer_configuration();
    let is_behind = kind == store::Kind::Configuration && app.is_newer_in_force();
    let knowledge = hedge::Knowledge {
        confirmed_at: app.cached(kind).confirmed_at(),
        transfer_since: app.store.transfer_since(kind),
        newer_at: reported.neighbour().filter(|_| is_behind),
    };
    knowledge.reason(timing, app.clock.boot_now())
}

/// Returns the sources that can help, in order of preference.
fn helpful_sources(follower: &Follower, reason: &hedge::Reason) -> Vec<relay::Source> {
    match reason {
        hedge::Reason::NewerAt(entry) => vec![relay::Source::Entry(entry.clone())],
        hedge::Reason::OldCopy => sources::order(&follower.app, follower.kind),
    }
}

/// Asks the next source; returns whether there was one.
async fn ask_next(
    follower: &Follower,
    timing: &follow_timing::HedgeTiming,
    reason: &hedge::Reason,
) -> bool {
    let (app, kind) = (&*follower.app, follower.kind);
    let order = helpful_sources(follower, reason);
    let Some(source) = follower.next_beside(&order, timing) else {
        return false;
    };
    if source == relay::Source::Store && !sources::is_relay(app) {
        let delay = timing.spread_max.mul_f64(rand::random());
        tokio_time::sleep(delay).await;
        if self::reason(follower, timing).is_none() {
            return false;
        }
    }
    log_asked(app, kind, &source, reason);
    let fetched = fetch::fetch_changes(app, kind, &source, fetch::Purpose::Hedge(*timing)).await;
    match fetched {
        Ok(is_changed) => {
            follower.expire_lost(is_changed);
            if self::reason(follower, timing).as_ref() == Some(reason) {
                follower.record_useless(&source);
            } else {
                follower.record_success(&source);
            }
        }
        Err(error) => {
            follower.record_useless(&source);
            log::info!("feed: event=hedge_failed kind={kind} source={source:?} error={error:?}");
        }
    }
    true
}

fn log_asked(app: &app::App, kind: store::Kind, source: &relay::Source, reason: &hedge::Reason) {
    app.count("hedged");
    log::info!(
        "feed: event=hedged kind={kind} source={source:?} reason={reason:?} age_ms={:?}",
        timing::age_ms(app, kind)
    );
}
