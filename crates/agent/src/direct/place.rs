//! Requests of entries for a slot at the engine.

use std::{sync, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_core::{engine_admission, scheduling};
use pimentohook_runtime::server;
use pimentohook_wire::direct;

use super::{app, engine_report, starting, weights_versions};
use crate::mutex::lock;

const MESSAGE_MAX_BYTES: usize = 1 << 16;
/// How long a request for a slot waits for an engine that does not answer. Entries take an agent
/// that waits as silent too, and learn by its response that the engine has gone on.
const SILENCE_PATIENCE: time::Duration = time::Duration::from_secs(9);

/// Handles an entry's request for a slot.
pub async fn handle(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: direct::SlotRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let Some(service) = app.service.load_full() else {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    };
    let is_over_share = is_over_share(&app, &request);
    let ask = ask(&request, is_over_share);
    let admit = || admit(&app, &service, &request, ask);
    engine_report::begin_refresh(&app);
    let mut admitted = admit();
    let asked_at = app.clock.now();
    while admitted.is_err_and(engine_admission::DenialReason::may_be_outdated) {
        if admitted == Err(engine_admission::DenialReason::Silent) {
            engine_report::record_silent(&app);
        }
        let has_answered = engine_report::refresh_report(&app).await;
        admitted = admit();
        let waited = app.clock.now().duration_since(asked_at);
        if has_answered || waited > SILENCE_PATIENCE {
            break;
        }
    }
    app.count(if admitted.is_ok() {
        "placed"
    } else {
        "refused"
    });
    record(&app, &service, ask, admitted);
    record_share(&app, &request, admitted.is_ok());
    if let Err(reason) = admitted {
        log::debug!(
            "place: event=refused instance={} reason={reason}",
            request.instance
        );
    }
    let time_to_first_token = admitted.unwrap_or_default();
    server::respond_message(&direct::SlotReply {
        granted: admitted.is_ok(),
        first_token_ms: u32::try_from(time_to_first_token.as_millis()).unwrap_or(u32::MAX),
        is_over_share,
        state: app.engine_state(),
    })
}

/// Decides about a request by what holds now, as it may have waited.
fn admit(
    app: &app::App,
    service: &app::Service,
    request: &direct::SlotRequest,
    ask: Option<scheduling::Ask>,
) -> Result<time::Duration, engine_admission::DenialReason> {
    let model = &request.model;
    let version_min = weights_versions::version_min(app, model).max(request.version_min);
    let admission_request = engine_admission::AdmissionRequest {
        model,
        prompt_tokens: request.prompt_tokens,
        answer_tokens: request.answer_tokens,
        first_token_max: time::Duration::from_millis(u64::from(request.first_token_max_ms)),
        unconfirmed_first_token_max: weights_versions::estimate_max(app, model),
        version_min,
        spare_only: request.spare_only,
    };
    let now = app.clock.now();
    starting::admit(app, service, request, now, |profile| {
        let mut admission = lock(&app.admission);
        match ask {
            Some(ask) => admission.admit_ranked(profile, now, &admission_request, &ask),
            None => admission.admit(profile, now, &admission_request),
        }
    })
}

/// Records what became of a request that has a priority, so that room is kept for its kind.
fn record(
    app: &app::App,
    service: &app::Service,
    ask: Option<scheduling::Ask>,
    admitted: Result<time::Duration, engine_admission::DenialReason>,
) {
    let Some(ask) = ask else {
        return;
    };
    let mut admission = lock(&app.admission);
    admission.record_ranked(&service.figures, app.clock.now(), &ask, admitted);
    drop(admission);
    let outcome = if admitted.is_ok() {
        "placed"
    } else {
        "refused"
    };
    app.count(&format!("{outcome}_priority_{}", ask.priority.get()));
}

/// Returns whether the organisation of a request has had more than its share of the engine.
fn is_over_share(app: &app::App, request: &direct::SlotRequest) -> bool {
    let organisation = request.organisation.as_ref();
    organisation.is_some_and(|name| lock(&app.shares).is_over(name))
}

/// Records what became of a request whose organisation has a share.
fn record_share(app: &app::App, request: &direct::SlotRequest, is_served: bool) {
    let Some(organisation) = &request.organisation else {
        return;
    };
    let tokens = request.prompt_tokens.saturating_add(request.answer_tokens);
    let is_first_ask = request.is_asked_again != Some(true);
    let now = app.clock.now();
    lock(&app.shares).record(now, organisation, tokens, is_first_ask, is_served);
}

/// Returns what matters of a request for what is kept; `None` if all requests are equally urgent.
fn ask(request: &direct::SlotRequest, is_over_share: bool) -> Option<scheduling::Ask> {
    request.priority.map(|priority| scheduling::Ask {
        priority,
        is_second: request.spare_only,
        is_over_share,
        is_first_ask: request.is_asked_again != Some(true),
        prompt_tokens: request.prompt_tokens,
        first_token_max: time::Duration::from_millis(u64::from(request.first_token_max_ms)),
    })
}
