//! Permits for requests to limited upstreams: asking the coordinator for them, and granting them.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::Response;
use pimentohook_core::upstream_limit::{bucket, pocket, rate};
use pimentohook_runtime::{client, server};
use pimentohook_wire::direct;
use rand::RngExt as _;
use snafu::{OptionExt as _, ResultExt as _, Snafu};

use super::{app, limited_upstream::LimitedUpstream, upstream_limits};

const PERMIT_TIMEOUT: time::Duration = time::Duration::from_millis(60);
const MESSAGE_MAX_BYTES: usize = 1 << 12;
/// Maximum number of coordinators that deny a permit for one request, one after the other. After
/// that, limited upstreams are passed over.
const PERMIT_DENIALS_MAX: usize = 3;

/// There is no permit for a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// When there may be one.
    pub retry_after: time::Duration,
    /// Whether the coordinator was asked for this request, which took a moment.
    pub is_asked: bool,
}

/// The coordinator of an upstream granted and denied nothing.
#[derive(Debug, Snafu)]
enum PermitError {
    #[snafu(display("no entry can be the coordinator"))]
    NoCoordinator,
    #[snafu(display("entry {name} is not known any more"))]
    Lost { name: String },
    #[snafu(display("entry {name} is not the coordinator in its own view"))]
    NotCoordinator { name: String },
    #[snafu(display("entry {name}: {source}"))]
    Call {
        name: String,
        source: client::ClientError,
    },
}

/// The permits that were denied for one request.
#[derive(Debug, Default)]
pub(super) struct PermitDenials {
    /// The number of coordinators that were asked.
    asked_count: usize,
    /// When there may be a permit; `None` if none was denied.
    retry_after: Option<time::Duration>,
}

impl PermitDenials {
    /// Acquires a permit for an upstream; returns false if it is denied.
    pub(super) async fn acquire(&mut self, app: &app::App, candidate: &app::Candidate) -> bool {
        let instance = &candidate.upstream.instance;
        let is_limited = app.upstream_limits.limited(instance).is_some();
        if is_limited && self.asked_count == PERMIT_DENIALS_MAX {
            return false;
        }
        let Err(denied) = acquire(app, instance).await else {
            return true;
        };
        self.asked_count += usize::from(denied.is_asked);
        let earliest = self.retry_after.unwrap_or(denied.retry_after);
        self.retry_after = Some(earliest.min(denied.retry_after));
        false
    }

    /// Returns when there may be a permit; `None` if none was denied.
    pub(super) const fn retry_after(&self) -> Option<time::Duration> {
        self.retry_after
    }
}

/// Acquires a permit for a request to an upstream. If the upstream has no limit, none is needed.
///
/// # Errors
///
/// Returns [`Denied`] if there is no permit now.
pub async fn acquire(app: &app::App, instance: &str) -> Result<(), Denied> {
    let Some((upstream, limit)) = app.upstream_limits.limited(instance) else {
        return Ok(());
    };
    let acquired = match take(app, &upstream, limit) {
        pocket::Taken::Ask { .. } => acquire_after_asking(app, instance, &upstream, limit).await,
        taken => settle(taken, false),
    };
    if acquired.is_err() {
        upstream.count_denial();
        app.count("limit_denied");
    }
    acquired
}

/// Gives back a permit that was not used.
pub fn give_back(app: &app::App, instance: &str) {
    if let Some((upstream, _)) = app.upstream_limits.limited(instance) {
        let now = app.clock.now();
        upstream.update_pocket(|pocket| pocket.give_back(now));
    }
}

async fn acquire_after_asking(
    app: &app::App,
    instance: &str,
    upstream: &LimitedUpstream,
    limit: rate::RequestRate,
) -> Result<(), Denied> {
    let _asking = upstream.asking.lock().await;
    // Another request may have asked in the meantime.
    let wanted = match take(app, upstream, limit) {
        pocket::Taken::Ask { wanted } => wanted,
        taken => return settle(taken, true),
    };
    let asked = ask(app, instance, upstream, limit, wanted).await;
    let now = app.clock.now();
    match asked {
        Ok(grant) => upstream.update_pocket(|pocket| pocket.record_grant(now, wanted, grant)),
        Err(error) => {
            app.count("coordinator_silent");
            log::warn!(
                "limit: event=coordinator_silent instance={instance} limit={limit} alone={:.3} \
                 error={error:?}",
                app.upstream_limits.shares().alone
            );
            let draw: f64 = rand::rng().random();
            upstream.update_pocket(|pocket| pocket.record_silence(now, draw));
        }
    }
    match upstream.limit() {
        Some(limit) => settle(take(app, upstream, limit), true),
        None => Ok(()),
    }
}

fn take(app: &app::App, upstream: &LimitedUpstream, limit: rate::RequestRate) -> pocket::Taken {
    let alone = app.upstream_limits.shares().alone;
    upstream.take(app.clock.now(), limit.target().share(alone))
}

const fn settle(taken: pocket::Taken, is_asked: bool) -> Result<(), Denied> {
    let retry_after = match taken {
        pocket::Taken::Permit => return Ok(()),
        pocket::Taken::Denied { retry_after } => retry_after,
        pocket::Taken::Ask { .. } => time::Duration::ZERO,
    };
    Err(Denied {
        retry_after,
        is_asked,
    })
}

/// Asks the coordinator of an upstream for permits.
async fn ask(
    app: &app::App,
    instance: &str,
    upstream: &LimitedUpstream,
    limit: rate::RequestRate,
    wanted: u32,
) -> Result<bucket::Grant, PermitError> {
    let coordinator = app.upstream_limits.coordinator(instance);
    let name = coordinator.context(NoCoordinatorSnafu)?;
    if let Some(before) = upstream.set_coordinator(&name) {
        log::info!("limit: event=coordinator instance={instance} before={before:?} now={name}");
    }
    if name == app.settings.entry {
        return Ok(grant(app, upstream, limit, wanted));
    }
    let reply = call(app, instance, upstream, &name, wanted).await?;
    if !reply.is_coordinator {
        return NotCoordinatorSnafu { name }.fail();
    }
    Ok(bucket::Grant {
        count: reply.granted,
        retry_after: time::Duration::from_millis(u64::from(reply.retry_after_ms)),
    })
}

async fn call(
    app: &app::App,
    instance: &str,
    upstream: &LimitedUpstream,
    name: &str,
    wanted: u32,
) -> Result<direct::PermitReply, PermitError> {
    let peers = app.peers.load_full();
    let peer = peers.get(name).context(LostSnafu { name })?;
    let stated = upstream.stated(instance, app.clock.now());
    let request = direct::PermitRequest {
        stated: stated.context(LostSnafu { name })?,
        wanted,
    };
    let call = app.internal.call(
        peer.state.peers,
        direct::PERMIT_PATH,
        &request,
        PERMIT_TIMEOUT,
    );
    let reply: direct::PermitReply = call.await.context(CallSnafu { name })?;
    upstream_limits::record_stated(app, &reply.stated, "coordinator");
    Ok(reply)
}

/// Reports a changed limit to the upstream's coordinator.
pub async fn report_limit(app: &app::App, instance: &str, upstream: &LimitedUpstream) {
    let Some(name) = app.upstream_limits.coordinator(instance) else {
        return;
    };
    if name == app.settings.entry {
        return;
    }
    if let Err(error) = call(app, instance, upstream, &name, 0).await {
        log::debug!("limit: event=not_reported instance={instance} error={error:?}");
    }
}

/// Grants permits as the coordinator.
fn grant(
    app: &app::App,
    upstream: &LimitedUpstream,
    limit: rate::RequestRate,
    wanted: u32,
) -> bucket::Grant {
    let share = app.upstream_limits.shares().as_coordinator;
    let rate = limit.target().share(share);
    let grant = upstream.grant(app.clock.now(), rate, wanted, rand::rng().random());
    app.count(if grant.count > 0 {
        "permits_granted"
    } else {
        "permits_denied"
    });
    grant
}

/// Handles another entry's request for permits.
pub async fn handle(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: direct::PermitRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    upstream_limits::record_stated(&app, &request.stated, "entry");
    let instance = &request.stated.instance;
    let limited = app.upstream_limits.limited(instance);
    let coordinator = app.upstream_limits.coordinator(instance);
    let is_coordinator = coordinator.as_ref() == Some(&app.settings.entry);
    let grant = match &limited {
        Some((upstream, limit)) if is_coordinator && request.wanted > 0 => {
            grant(&app, upstream, *limit, request.wanted)
        }
        _ => bucket::Grant::default(),
    };
    let upstream = app.upstream_limits.get(instance);
    let stated = upstream.and_then(|upstream| upstream.stated(instance, app.clock.now()));
    server::respond_message(&direct::PermitReply {
        stated: stated.unwrap_or_else(|| request.stated.clone()),
        is_coordinator,
        granted: grant.count,
        retry_after_ms: u32::try_from(grant.retry_after.as_millis()).unwrap_or(u32::MAX),
    })
}
