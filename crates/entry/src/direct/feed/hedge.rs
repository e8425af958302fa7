//! Asks other sources beside the one that is followed, once the copy grows old.
//!
//! The source that is followed may say nothing for a while, or pass on nothing new, without failing. How
//! long that may last is one bound, whatever is lost on the way: see
//! [`follow_timing`](pimentohook_core::follow_timing).

use std::time;

use pimentohook_core::{follow_timing, hedge, relay};
use pimentohook_platform::store;
use tokio::time as tokio_time;

use super::{Follower, fetch, sources};
use crate::direct::app;

/// The share of a hedge's delay after which its need is checked again, given as a divisor.
const CHECK_DIVISOR: u32 = 20;

/// Why other sources are asked.
#[derive(Debug, PartialEq, Eq)]
enum Need {
    /// This neighbour has a newer version.
    NewerAt(String),
    /// The copy has not been confirmed for long.
    OldCopy,
}

impl Need {
    /// Returns the sources that can help, in order of preference.
    fn sources(&self, app: &app::App, kind: store::Kind) -> Vec<relay::Source> {
        match self {
            Self::NewerAt(entry) => vec![relay::Source::Entry(entry.clone())],
            Self::OldCopy => sources::order(app, kind),
        }
    }
}

/// Asks other sources of a kind whenever that is needed, until the process exits.
pub(super) async fn run(follower: &Follower) {
    let Some(timing) = follower.timing().hedge else {
        return;
    };
    loop {
        tokio_time::sleep(timing.after / CHECK_DIVISOR).await;
        while let Some(need) = need(follower, &timing) {
            if !ask_next(follower, &timing, &need).await {
                break;
            }
        }
    }
}

fn need(follower: &Follower, timing: &follow_timing::HedgeTiming) -> Option<Need> {
    let (app, kind) = (&*follower.app, follower.kind);
    let reported = app.peer_configuration();
    let is_behind = kind == store::Kind::Configuration && app.is_newer_in_force();
    let knowledge = hedge::Knowledge {
        confirmed_at: app.cached(kind).confirmed_at(),
        transfer_since: app.store.transfer_since(kind),
        newer_at: reported.neighbour().filter(|_| is_behind),
    };
    let reason = knowledge.reason(timing, app.clock.boot_now())?;
    Some(match reason {
        hedge::Reason::NewerAt(entry) => Need::NewerAt(String::from(entry)),
        hedge::Reason::OldCopy => Need::OldCopy,
    })
}

/// Asks the next source; returns whether there was one.
async fn ask_next(follower: &Follower, timing: &follow_timing::HedgeTiming, need: &Need) -> bool {
    let (app, kind) = (&*follower.app, follower.kind);
    let Some(source) = follower.next_beside(&need.sources(app, kind), timing) else {
        return false;
    };
    if source == relay::Source::Store && !sources::is_relay(app) {
        let delay = timing.spread_max.mul_f64(rand::random());
        tokio_time::sleep(delay).await;
        if self::need(follower, timing).is_none() {
            return false;
        }
    }
    log_asked(app, kind, &source, need);
    let fetched = fetch::fetch_changes(app, kind, &source, fetch::Purpose::Hedge(*timing)).await;
    match fetched {
        Ok(is_changed) => {
            follower.expire_lost(is_changed);
            if self::need(follower, timing).as_ref() == Some(need) {
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

fn log_asked(app: &app::App, kind: store::Kind, source: &relay::Source, need: &Need) {
    app.count("hedged");
    let age = app.cached(kind).age(app.clock.boot_now());
    log::info!(
        "feed: event=hedged kind={kind} source={source:?} need={need:?} age_ms={:?}",
        age.as_ref().map(time::Duration::as_millis)
    );
}
