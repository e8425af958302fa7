//! Admission control for one engine that receives requests from many entries.
//!
//! The number of occupied slots is the engine's last report plus the requests admitted since then.
//! Slots are therefore never released explicitly: those of entries that crashed disappear with the
//! next report. No request is admitted while weights are being loaded.

use std::{collections::VecDeque, time};

use indexmap::IndexMap;

use crate::{engine, engine_answers, latest_start, scheduling, unconfirmed_queue};

/// The usual time from admission until the request reaches the engine. Reports requested earlier
/// than this after an admission may not include the request, so it is counted in addition to them.
/// Where a request must start in time, [`latest_start::DELIVERY_TIME_MAX`] counts.
const ARRIVAL_DELAY_MAX: time::Duration = time::Duration::from_millis(40);

/// How long after the next load is due an admitted request may still end.
const LOAD_SLACK: time::Duration = time::Duration::from_millis(400);

/// The longest time between two questions for a report. Reports that are older than this, and than
/// an answer may take in addition, are ignored.
const REPORT_INTERVAL_MAX: time::Duration = time::Duration::from_millis(400);

/// Share of the slots that requests which are already late may occupy, in percent. The rest stays
/// free for requests that can still be served in time, which keep arriving while engines are short.
const SPARE_ONLY_SLOTS_PERCENT: u32 = 85;

/// What a request needs from an engine.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The model.
    pub model: &'a str,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Estimated length of the response in tokens.
    pub answer_tokens: u32,
    /// The longest acceptable time to first token.
    pub first_token_max: time::Duration,
    /// The longest acceptable time to first token if the engine has prefilled nothing since its last
    /// report, because the time of its weights ends; `None` if there is no bound.
    pub unconfirmed_first_token_max: Option<time::Duration>,
    /// The oldest acceptable version of the weights.
    pub version_min: Option<u64>,
    /// Whether the request may only occupy slots that other requests are unlikely to need.
    pub spare_only: bool,
}

/// The state of an engine as it reported it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The served version of each model.
    pub weights: IndexMap<String, u64>,
    /// Number of running requests.
    pub active_count: u32,
    /// Number of queued requests.
    pub queued_count: u32,
    /// The pace of the engine.
    pub pace: engine::Pace,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DenialReason {
    /// The engine has not reported recently.
    Unknown,
    /// The engine does not answer its agent.
    Silent,
    /// The engine is leaving.
    Leaving,
    /// The engine is cold and has got as many requests as it bears.
    Cold,
    /// Weights are being loaded.
    Loading,
    /// The engine serves no acceptable version of the model.
    Weights,
    /// No slot is free for this request.
    Full,
    /// The first token would come too late.
    Late,
    /// The request would not end before the next weights are loaded.
    Closing,
}

impl DenialReason {
    /// Returns whether a newer report of the engine may change the decision, because requests may
    /// have ended since the last one.
    #[must_use]
    pub const fn may_be_outdated(self) -> bool {
        matches!(
            self,
            Self::Unknown | Self::Silent | Self::Full | Self::Late | Self::Closing
        )
    }
}

/// Returns the number of occupied slots from which on a request is refused.
const fn slot_limit(profile: &engine::EngineProfile, request: &AdmissionRequest<'_>) -> u32 {
    if request.spare_only {
        profile.slot_count / 100 * SPARE_ONLY_SLOTS_PERCENT
            + profile.slot_count % 100 * SPARE_ONLY_SLOTS_PERCENT / 100
    } else {
        profile.slot_count
    }
}

/// Admission control for one engine.
#[derive(Clone, Debug)]
pub struct EngineAdmission {
    /// The questions for reports.
    pub answers: engine_answers::EngineAnswers,
    /// What is kept for more urgent requests.
    pub scheduler: scheduling::Scheduler,
    report: Option<(time::Instant, EngineReport)>,
    leaving: bool,
    loading: bool,
    next_load_at: Option<time::Instant>,
    admitted_at: VecDeque<time::Instant>,
    prefill_queue: engine::PrefillQueue,
    unconfirmed_queue: unconfirmed_queue::UnconfirmedQueue,
}

impl EngineAdmission {
    /// Creates the state of an engine that has not reported yet; no request is admitted.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            answers: engine_answers::EngineAnswers::new(),
            scheduler: scheduling::Scheduler::new(now),
            report: None,
            leaving: false,
            loading: false,
            next_load_at: None,
            admitted_at: VecDeque::new(),
            prefill_queue: engine::PrefillQueue::new(now),
            unconfirmed_queue: unconfirmed_queue::UnconfirmedQueue::new(now),
        }
    }

    /// Records a report that was requested at `requested_at` and returns whether the served
    /// weights have changed. One that was requested before the last recorded one changes nothing.
    pub fn record_report(&mut self, requested_at: time::Instant, report: EngineReport) -> bool {
        if self.report_requested_at() > Some(requested_at) {
            return false;
        }
        let before = self.report.as_ref().map(|(_, before)| &before.weights);
        let changed = before != Some(&report.weights);
        self.report = Some((requested_at, report));
        changed
    }

    /// Sets whether the engine is leaving; no request is admitted meanwhile.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets whether weights are being loaded; no request is admitted meanwhile.
    pub const fn set_loading(&mut self, loading: bool) {
        self.loading = loading;
    }

    /// Sets when the next weights are due to be loaded. Until then only requests that are expected
    /// to end in time are admitted, so that the load does not wait long for the last one.
    pub const fn set_next_load_at(&mut self, next_load_at: Option<time::Instant>) {
        self.next_load_at = next_load_at;
    }

    /// Returns when the last report was requested; `None` before the first one.
    #[must_use]
    pub fn report_requested_at(&self) -> Option<time::Instant> {
        self.report.as_ref().map(|(requested_at, _)| *requested_at)
    }

    /// Returns whether weights are being loaded.
    #[must_use]
    pub const fn is_loading(&self) -> bool {
        self.loading
    }

    /// Returns the reported version of each model; empty while weights are being loaded.
    #[must_use]
    pub fn weights(&self) -> IndexMap<String, u64> {
        let report = self.report.as_ref().filter(|_| !self.loading);
        report.map_or_else(IndexMap::new, |(_, report)| report.weights.clone())
    }

    /// Admits a request and returns its estimated time to first token.
    ///
    /// # Errors
    ///
    /// Returns a [`DenialReason`] if the request is not admitted.
    pub fn admit(
        &mut self,
        profile: &engine::EngineProfile,
        now: time::Instant,
        request: &AdmissionRequest<'_>,
    ) -> Result<time::Duration, DenialReason> {
        let reserved = scheduling::Reserved::default();
        self.admit_beside(profile, now, request, &reserved)
    }

    /// Admits a request that has a priority, if it leaves to more urgent ones what is kept for them;
    /// returns its estimated time to first token.
    ///
    /// # Errors
    ///
    /// Returns a [`DenialReason`] if the request is not admitted.
    pub fn admit_ranked(
        &mut self,
        profile: &engine::EngineProfile,
        now: time::Instant,
        request: &AdmissionRequest<'_>,
        ask: &scheduling::Ask,
    ) -> Result<time::Duration, DenialReason> {
        let reserved = self.scheduler.reserved(now, ask, profile.slot_count);
        // The reserves keep room from late requests, as much as others need.
        let request = AdmissionRequest {
            spare_only: false,
            ..*request
        };
        self.admit_beside(profile, now, &request, &reserved)
    }

    /// Records what became of a request that has a priority, once for each.
    pub fn record_ranked(
        &mut self,
        profile: &engine::EngineProfile,
        now: time::Instant,
        ask: &scheduling::Ask,
        admitted: Result<time::Duration, DenialReason>,
    ) {
        let outcome = match admitted {
            Ok(_) => scheduling::Outcome::Admitted,
            Err(DenialReason::Full | DenialReason::Late) if self.could_serve(profile, now, ask) => {
                scheduling::Outcome::NoRoom
            }
            Err(_) => scheduling::Outcome::Refused,
        };
        self.scheduler.record(now, ask, outcome);
    }

    /// Returns whether the engine could serve a request in time if it had no others.
    fn could_serve(
        &self,
        profile: &engine::EngineProfile,
        now: time::Instant,
        ask: &scheduling::Ask,
    ) -> bool {
        let pace = self.report.as_ref().map(|(_, report)| report.pace);
        let profile = &*profile.at_pace(pace.unwrap_or_default());
        let idle = engine::PrefillQueue::new(now);
        idle.time_to_first_token(profile, now, 1, ask.prompt_tokens) <= ask.first_token_max
    }

    fn admit_beside(
        &mut self,
        profile: &engine::EngineProfile,
        now: time::Instant,
        request: &AdmissionRequest<'_>,
        reserved: &scheduling::Reserved,
    ) -> Result<time::Duration, DenialReason> {
        if self.leaving {
            return Err(DenialReason::Leaving);
        }
        if self.loading {
            return Err(DenialReason::Loading);
        }
        let (requested_at, report) = self.report.as_ref().ok_or(DenialReason::Unknown)?;
        let profile = &*profile.at_pace(report.pace);
        if self.answers.silent_for(profile, now).is_some() {
            return Err(DenialReason::Silent);
        }
        let age_max = REPORT_INTERVAL_MAX + self.answers.answer_time_max(profile);
        if now.duration_since(*requested_at) > age_max {
            return Err(DenialReason::Unknown);
        }
        let version = report.weights.get(request.model).copied();
        if version.is_none() || version < request.version_min {
            return Err(DenialReason::Weights);
        }
        let (requested_at, reported) = (*requested_at, report.active_count + report.queued_count);
        let occupied = reported + self.unreported_count(requested_at);
        if occupied + reserved.slot_count >= slot_limit(profile, request) {
            return Err(DenialReason::Full);
        }
        // A request that waits for a slot starts when another ends, which no estimate foresees.
        let occupied_max = reported + self.undelivered_count(requested_at);
        let is_bounded = request.unconfirmed_first_token_max.is_some();
        if is_bounded && occupied_max >= profile.slot_count {
            return Err(DenialReason::Full);
        }
        let first_token =
            self.prefill_queue
                .time_to_first_token(profile, now, occupied, request.prompt_tokens);
        if first_token > request.first_token_max {
            return Err(DenialReason::Late);
        }
        if let Some(first_token_max) = reserved.first_token_max {
            let prompt_tokens = request.prompt_tokens.saturating_add(reserved.prompt_tokens);
            let queue = &self.prefill_queue;
            if queue.time_to_first_token(profile, now, occupied + 1, prompt_tokens)
                > first_token_max
            {
                return Err(DenialReason::Late);
            }
        }
        self.unconfirmed_queue
            .confirm(profile, occupied, requested_at);
        let latest =
            self.unconfirmed_queue
                .time_to_first_token(profile, occupied, request.prompt_tokens);
        let latest_max = request.unconfirmed_first_token_max;
        if latest_max.is_some_and(|max| latest > max) {
            return Err(DenialReason::Late);
        }
        let decode = profile.decode_duration(occupied + 1, request.answer_tokens);
        let ends_by = self.next_load_at.map(|at| at + LOAD_SLACK);
        if ends_by.is_some_and(|at| now + first_token + decode > at) {
            return Err(DenialReason::Closing);
        }
        self.prefill_queue
            .admit(profile, now, occupied, request.prompt_tokens);
        self.unconfirmed_queue.admit(now, request.prompt_tokens);
        self.admitted_at.push_back(now);
        Ok(first_token)
    }

    /// Counts the admitted requests that a report requested at `requested_at` may not include.
    fn unreported_count(&mut self, requested_at: time::Instant) -> u32 {
        let is_undelivered = |admitted_at: &time::Instant| {
            *admitted_at + latest_start::DELIVERY_TIME_MAX > requested_at
        };
        self.admitted_at.retain(is_undelivered);
        self.admitted_after(requested_at, ARRIVAL_DELAY_MAX)
    }

    /// Counts the admitted requests that a report requested at `requested_at` may not include, however
    /// slow their delivery was.
    fn undelivered_count(&self, requested_at: time::Instant) -> u32 {
        self.admitted_after(requested_at, latest_start::DELIVERY_TIME_MAX)
    }

    /// Counts the admitted requests that may reach the engine after `requested_at` if each takes
    /// `delay_max`.
    fn admitted_after(&self, requested_at: time::Instant, delay_max: time::Duration) -> u32 {
        let is_counted = |admitted_at: &&time::Instant| **admitted_at + delay_max > requested_at;
        let count = self.admitted_at.iter().filter(is_counted).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
