//! Asks an engine whose VM may stand still whether it responds. A caller's request would lie there
//! unread, and begin when the VM goes on, even if its caller has left meanwhile.

use std::{sync, time};

use pimentohook_core::engine_contact;
use pimentohook_platform::runner;
use tokio::time as tokio_time;

use super::{app, attempt, engine_silence};

const QUESTION_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// A little more, so that the silence is noticed at the first look.
const SILENCE_CHECK_DELAY: time::Duration =
    time::Duration::from_millis(engine_contact::SILENCE_MIN_MS + 10);

/// Asks an engine, unless that is under way, and returns whether it responds promptly.
pub async fn responds(app: &sync::Arc<app::App>, candidate: &app::Candidate) -> bool {
    if !candidate.state.contact.try_begin_probe(app.now_ms()) {
        return false;
    }
    app.count("engine_asked");
    let instance = &candidate.upstream.instance;
    log::info!("silence: event=engine_asked instance={instance}");
    let asking = tokio::spawn(ask(app.clone(), candidate.clone()));
    let asked = tokio_time::timeout(engine_silence::AGENT_TIMEOUT, asking).await;
    matches!(asked, Ok(Ok(true)))
}

async fn ask(app: sync::Arc<app::App>, candidate: app::Candidate) -> bool {
    let contact = &candidate.state.contact;
    contact.record_send(app.now_ms());
    let address = candidate.upstream.address;
    let question = runner::ask(&app.upstreams, address, QUESTION_TIMEOUT);
    tokio::pin!(question);
    let in_time = tokio_time::timeout(SILENCE_CHECK_DELAY, &mut question).await;
    let result = if let Ok(result) = in_time {
        result
    } else {
        engine_silence::is_silent(&app, &candidate);
        question.await
    };
    if let Err(error) = &result {
        let instance = &candidate.upstream.instance;
        log::debug!("silence: event=no_response instance={instance} error={error:?}");
    } else {
        attempt::record_sign(&app, &candidate);
    }
    contact.record_end();
    contact.end_probe();
    result.is_ok()
}
