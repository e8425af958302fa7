//! Handles agents' messages: the state of an engine, and requests for a service's configuration.

use std::sync;

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_core::{announcement, id};
use pimentohook_runtime::server;
use pimentohook_wire::direct;

use super::{app, engine_silence, weights_versions};

const MESSAGE_MAX_BYTES: usize = 1 << 16;

/// Handles an agent's report of its engine's state.
pub async fn record_engine_state(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let engine_state: direct::EngineState = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(engine_state) => engine_state,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    log::info!(
        "placement: event=agent_notice engine={} weights={:?} open={}",
        engine_state.engine,
        engine_state.weights,
        engine_state.open
    );
    let candidates = app.candidates.load();
    let engine_state = sync::Arc::new(engine_state);
    for candidate in candidates.values().flatten() {
        if candidate.upstream.address.to_string() == engine_state.engine {
            candidate
                .state
                .engine_state
                .store(Some(engine_state.clone()));
            let change = candidate.state.contact.record_agent_reply(app.now_ms());
            engine_silence::log_change(&app, &candidate.upstream.instance, change);
        }
    }
    server::respond_text(StatusCode::OK, "noted")
}

/// Handles an agent's request for the configuration of its service.
pub async fn describe_service(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: direct::ServiceRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let now = app.clock.boot_now();
    let heard = announcement::Heard::InRequest { now };
    weights_versions::merge(&app, "agent", &request.announced, heard);
    let configuration = app.configuration_version();
    let is_newer = configuration > request.configuration;
    server::respond_message(&direct::ServiceReply {
        configuration,
        service: is_newer
            .then(|| engine_service(&app, &request.service))
            .flatten(),
        announced: app.announced.report(),
    })
}

fn engine_service(app: &app::App, name: &id::ServiceName) -> Option<direct::EngineService> {
    let table = app.table.load_full()?;
    let service = table.services.get(name)?;
    Some(direct::EngineService {
        figures: service.engine.clone()?,
        origin: table.origin(),
        cold: service.cold,
    })
}
