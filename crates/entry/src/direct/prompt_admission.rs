//! Holds back requests with a part in their prompts that crashes engines.

use std::{fmt, sync};

use pimentohook_core::crash_evidence::{change::Admission, prompt, suspect_id};

use super::{
    app,
    crash_evidence::{self, LoggedParts},
    proxy,
};

/// The trial of parts on probation that a request may be.
#[derive(Clone, Debug, Default)]
pub struct Trial(sync::Arc<sync::OnceLock<TrialGuard>>);

/// Marks a trial as under way until it is dropped.
struct TrialGuard {
    app: sync::Arc<app::App>,
    prompt: prompt::Prompt,
}

impl fmt::Debug for TrialGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("TrialGuard").field(&self.prompt).finish()
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut evidence = self.app.suspects.lock();
        evidence.record_trial_over(&self.prompt);
    }
}

/// Decides whether a request may be sent to an upstream, for the first time or again.
///
/// # Errors
///
/// Returns the part because of which it may not.
pub fn admit(
    app: &sync::Arc<app::App>,
    request: &proxy::ProxiedRequest,
) -> Result<(), suspect_id::SuspectId> {
    let prompt = &request.caller.prompt;
    let Some(part) = app.suspects.kept().find(prompt) else {
        return Ok(());
    };
    let now = app.clock.now();
    let peers = app.peers.load_full();
    let others = peers.keys().map(String::as_str);
    let mut evidence = app.suspects.lock();
    let admission = evidence.admission(prompt, &app.settings.entry, others, now);
    match admission {
        Admission::Send => Ok(()),
        // A trial is sent once.
        Admission::Trial if request.trial.0.get().is_none() => {
            evidence.record_trial(prompt, now);
            drop(evidence);
            begin_trial(app, request, part);
            Ok(())
        }
        Admission::Trial => Err(part),
        Admission::HoldBack(part) => {
            evidence.record_held_back(prompt, now);
            Err(part)
        }
    }
}

fn begin_trial(
    app: &sync::Arc<app::App>,
    request: &proxy::ProxiedRequest,
    part: suspect_id::SuspectId,
) {
    app.count("prompt_trial");
    log::info!("prompt: event=trial part={part} request={}", request.id());
    let guard = TrialGuard {
        app: app.clone(),
        prompt: request.caller.prompt.clone(),
    };
    if request.trial.0.set(guard).is_err() {
        log::error!(
            "prompt: event=trial_twice part={part} request={}",
            request.id()
        );
    }
}

/// Returns the part because of which a request that was admitted may not be sent any more.
#[must_use]
pub fn held_back(app: &app::App, request: &proxy::ProxiedRequest) -> Option<suspect_id::SuspectId> {
    let is_held_back = request.trial.0.get().is_none();
    let part = app.suspects.kept().find(&request.caller.prompt);
    part.filter(|_| is_held_back)
}

/// Waits until a request that was sent may not run any more; never returns for a trial.
pub async fn until_held_back(
    app: &app::App,
    request: &proxy::ProxiedRequest,
) -> suspect_id::SuspectId {
    let has_suspects = !request.caller.prompt.suspects().is_empty();
    if !has_suspects || request.trial.0.get().is_some() {
        return std::future::pending().await;
    }
    app.suspects.until_kept(&request.caller.prompt).await
}

/// Returns whether a request that may have run at an upstream that ended may be sent to another one.
///
/// If upstreams ended that may live on, they are asked.
pub async fn may_resend(app: &sync::Arc<app::App>, request: &proxy::ProxiedRequest) -> bool {
    let prompt = &request.caller.prompt;
    let is_allowed = || app.suspects.lock().may_resend(prompt);
    if is_allowed() {
        return true;
    }
    crash_evidence::settle_doubts(app, prompt).await;
    let may_resend = is_allowed();
    if !may_resend {
        app.count("prompt_not_resent");
        log::info!(
            "prompt: event=not_resent request={} parts={}",
            request.id(),
            LoggedParts(&request.caller.prompt)
        );
    }
    may_resend
}

/// Returns whether a stream may be resumed at another upstream; `is_open` says that its present one
/// has not ended.
pub async fn may_resume(
    app: &sync::Arc<app::App>,
    request: &proxy::ProxiedRequest,
    is_open: bool,
) -> bool {
    admit(app, request).is_ok() && (is_open || may_resend(app, request).await)
}
