//! What event streams say for and against the parts of their prompts.

use std::time;

use pimentohook_core::crash_evidence::BEGUN_FOR;

use super::{app, crash_evidence, open_stream, proxy};

/// The evidence that a stream gives for the parts of its prompt.
#[derive(Debug)]
pub struct StreamEvidence {
    sent_at: time::Instant,
    /// When its first event was passed on.
    begun_at: Option<time::Instant>,
    is_recorded: bool,
}

impl StreamEvidence {
    /// Creates the evidence of a stream whose request was sent at `sent_at`.
    #[must_use]
    pub const fn new(sent_at: time::Instant) -> Self {
        Self {
            sent_at,
            begun_at: None,
            is_recorded: false,
        }
    }
}

/// Records that an event has come, or that the stream is whole.
pub fn record_served(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    open: &mut open_stream::OpenStream,
    is_whole: bool,
) {
    let evidence = &mut open.evidence;
    let now = app.clock.now();
    let begun_at = *evidence.begun_at.get_or_insert(now);
    let ran_for = now.saturating_duration_since(begun_at);
    if evidence.is_recorded || (!is_whole && ran_for < BEGUN_FOR) {
        return;
    }
    evidence.is_recorded = true;
    crash_evidence::record_served(app, request, &open.candidate, evidence.sent_at);
}

/// Records that a body was cut off, unless its bytes are not valid or it has ended as its framing says.
pub fn record_cut(
    app: &app::App,
    request: &proxy::ProxiedRequest,
    open: &open_stream::OpenStream,
    progress: crash_evidence::Progress,
) {
    let is_cut_off = open.body_state != open_stream::BodyState::Incomplete;
    if is_cut_off && open.events.violation().is_none() {
        crash_evidence::record_ended(app, request, &open.candidate, progress);
    }
}
