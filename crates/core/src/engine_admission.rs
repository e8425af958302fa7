//! Admission at one engine whose requests come from many entries.
//!
//! The gate counts what the engine reported and what was let in since, so that a place needs no
//! giving back: those of entries that died vanish with the next report. It closes while weights
//! are loaded.

use std::{collections::VecDeque, time};

use indexmap::IndexMap;

use crate::engine;

/// A request let in counts beside the reports for this long, since it is still on its way.
const ARRIVAL_MAX: time::Duration = time::Duration::from_millis(40);

/// How much longer than until the load answers may take.
const CLOSING_SLACK: time::Duration = time::Duration::from_millis(400);

/// A report that is older than this says nothing.
const REPORT_AGE_MAX: time::Duration = time::Duration::from_millis(1_500);

/// The part of the slots that requests take which are late already, in hundredths. The rest is kept
/// for those that can still be served in time, which come all the while when engines are short.
const SPARE_PERCENT: u32 = 85;

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The model.
    pub model: &'a str,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer will have, as far as can be guessed.
    pub answer_tokens: u32,
    /// The longest that the first token may take.
    pub first_token_max: time::Duration,
    /// The oldest version of the weights that may be used.
    pub version_min: Option<u64>,
    /// Whether it may take only what others are not likely to want.
    pub spare_only: bool,
}

/// What an engine reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The versions of the models that it serves.
    pub weights: IndexMap<String, u64>,
    /// Requests that run.
    pub active_count: u32,
    /// Requests that wait.
    pub queued_count: u32,
}

/// Why a request was not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DenialReason {
    /// The engine has not reported lately.
    Unknown,
    /// Weights are being loaded.
    Loading,
    /// The engine serves no version that may be used.
    Weights,
    /// Every slot is taken.
    Full,
    /// The first token would come too late.
    Late,
    /// The answer would not end before weights are to be loaded.
    Closing,
}

/// Returns how many slots may be taken before a request is refused.
const fn places(figures: &engine::EngineProfile, ask: &AdmissionRequest<'_>) -> u32 {
    if ask.spare_only {
        figures.slot_count * SPARE_PERCENT / 100
    } else {
        figures.slot_count
    }
}

/// Admission at one engine.
#[derive(Clone, Debug)]
pub struct EngineAdmission {
    report: Option<(time::Instant, EngineReport)>,
    loading: bool,
    closes_at: Option<time::Instant>,
    let_in: VecDeque<time::Instant>,
    fill: engine::PrefillQueue,
}

impl EngineAdmission {
    /// Starts closed, until the engine reports.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self {
            report: None,
            loading: false,
            closes_at: None,
            let_in: VecDeque::new(),
            fill: engine::PrefillQueue::new(now),
        }
    }

    /// Takes in a report that was asked for at `asked_at`; returns whether the weights changed.
    pub fn record_report(&mut self, asked_at: time::Instant, report: EngineReport) -> bool {
        let before = self.report.as_ref().map(|(_, before)| &before.weights);
        let changed = before != Some(&report.weights);
        self.report = Some((asked_at, report));
        changed
    }

    /// Closes the gate while weights are loaded, or opens it again.
    pub const fn set_loading(&mut self, loading: bool) {
        self.loading = loading;
    }

    /// Sets when weights are to be loaded; until then only answers are begun that end in time, so
    /// that the engine does not wait long for the last one.
    pub const fn set_next_load_at(&mut self, closes_at: Option<time::Instant>) {
        self.closes_at = closes_at;
    }

    /// Returns whether weights are being loaded.
    #[must_use]
    pub const fn is_loading(&self) -> bool {
        self.loading
    }

    /// Returns the weights that the engine reported; none while others are loaded.
    #[must_use]
    pub fn weights(&self) -> IndexMap<String, u64> {
        let report = self.report.as_ref().filter(|_| !self.loading);
        report.map_or_else(IndexMap::new, |(_, report)| report.weights.clone())
    }

    /// Lets a request in; returns when its first token would come.
    ///
    /// # Errors
    ///
    /// [`DenialReason`] says why it is not let in.
    pub fn admit(
        &mut self,
        figures: &engine::EngineProfile,
        now: time::Instant,
        ask: &AdmissionRequest<'_>,
    ) -> Result<time::Duration, DenialReason> {
        if self.loading {
            return Err(DenialReason::Loading);
        }
        let (at, report) = self.report.as_ref().ok_or(DenialReason::Unknown)?;
        if now.duration_since(*at) > REPORT_AGE_MAX {
            return Err(DenialReason::Unknown);
        }
        let version = report.weights.get(ask.model).copied();
        if version.is_none() || version < ask.version_min {
            return Err(DenialReason::Weights);
        }
        let (at, reported) = (*at, report.active_count + report.queued_count);
        let occupied = reported + self.underway_count(at);
        if occupied >= places(figures, ask) {
            return Err(DenialReason::Full);
        }
        let first_token = self
            .fill
            .time_to_first_token(figures, now, occupied, ask.prompt_tokens);
        if first_token > ask.first_token_max {
            return Err(DenialReason::Late);
        }
        let answer = figures.decode_duration(occupied + 1, ask.answer_tokens);
        let closes_at = self.closes_at.map(|at| at + CLOSING_SLACK);
        if closes_at.is_some_and(|at| now + first_token + answer > at) {
            return Err(DenialReason::Closing);
        }
        self.fill.admit(figures, now, occupied, ask.prompt_tokens);
        self.let_in.push_back(now);
        Ok(first_token)
    }

    /// Counts requests let in that a report of `at` can't know yet.
    fn underway_count(&mut self, at: time::Instant) -> u32 {
        let unseen = |let_in: &time::Instant| *let_in + ARRIVAL_MAX > at;
        self.let_in.retain(unseen);
        u32::try_from(self.let_in.len()).unwrap_or(u32::MAX)
    }
}
