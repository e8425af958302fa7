//! Which parts of prompts crash engines: what this entry sees of engines that end under requests.

use std::{fmt, sync::atomic};

use pimentohook_core::prompt_evidence::prompt;
use pimentohook_runtime::client;

use super::{app, proxy};

/// The number of a prompt's parts in a log line.
const LOGGED_PARTS_MAX: usize = 8;
/// The shortest time between two log lines about lists of parts that can't be read.
const INVALID_LOG_INTERVAL_MS: u64 = 1_000;

/// What this entry knows of parts of prompts.
#[derive(Debug, Default)]
pub struct PromptParts {
    /// When an invalid list may be logged again, in milliseconds since the entry started.
    invalid_logged_again_at_ms: atomic::AtomicU64,
}

/// How far a response had come when its upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Progress {
    /// Nothing had arrived.
    NoResponse,
    /// The head had arrived, but not the whole body or the first event.
    Begun,
    /// Events had arrived.
    Events,
}

/// Formats the first parts of a prompt for a log line.
struct LoggedParts<'a>(&'a prompt::Prompt);

impl fmt::Display for LoggedParts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = self.0.parts();
        for (index, part) in parts.iter().take(LOGGED_PARTS_MAX).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        write!(f, " part_count={}", parts.len())
    }
}

/// Records that the connection to an upstream broke while a request was under way there.
pub fn record_ended(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    candidate: &app::Candidate,
    progress: Progress,
) {
    app.count("upstream_ended");
    log::warn!(
        "prompt: event=upstream_ended request={} instance={} started_unix_ms={:?} \
         progress={progress} after_ms={} parts={}",
        request.id(),
        candidate.upstream.instance,
        candidate.upstream.started_unix_ms,
        request.arrived_at.elapsed().as_millis(),
        LoggedParts(&request.caller.prompt)
    );
}

/// Like [`record_ended`], if a request failed because its connection broke.
pub fn record_failure(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    candidate: &app::Candidate,
    error: &client::ClientError,
    progress: Progress,
) {
    if matches!(error, client::ClientError::Broken { .. }) {
        record_ended(app, request, candidate, progress);
    }
}

/// Logs that the list of a request's parts can't be read.
pub fn record_invalid(app: &app::App, request: &proxy::ProxiedRequest) {
    let Some(invalid) = &request.caller.invalid_prompt else {
        return;
    };
    app.count("prompt_invalid");
    let ordering = atomic::Ordering::Relaxed;
    let now_ms = app.now_ms();
    let due = |again_at_ms| (again_at_ms <= now_ms).then(|| now_ms + INVALID_LOG_INTERVAL_MS);
    let again_at_ms = &app.prompt_parts.invalid_logged_again_at_ms;
    if again_at_ms.fetch_update(ordering, ordering, due).is_ok() {
        log::warn!(
            "prompt: event=invalid request={} reason=\"{invalid}\"",
            request.id()
        );
    }
}
