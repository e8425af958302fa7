//! Changes to the table of requests.

use std::time;

use super::{
    Admission, AdmissionConditions, AdmissionState, Dispatch, Phase, Refusal, RefusalReason,
    RequestTable, RevocationReply, ViewStamp,
};
use crate::{id, limits};

const ACTIVATION_RETRY_MS: u64 = 500;
const FULL_RETRY_MS: u64 = 200;
const ELSEWHERE_RETRY_MS: u64 = 50;

impl RequestTable {
    /// Decides on a dispatch and records the decision.
    ///
    /// A refused attempt is recorded as revoked before the refusal is returned, so the refusal is
    /// proof that the attempt does not run, unless [`Refusal::revoked`] says otherwise.
    pub fn admit(
        &mut self,
        now: time::Instant,
        dispatch: &Dispatch,
        gate: &AdmissionConditions,
    ) -> Admission {
        self.expire(now);
        match self.phases.get(&dispatch.request_id) {
            Some(Phase::Running { .. } | Phase::Finished { .. })
                if dispatch.incarnation == self.incarnation =>
            {
                return Admission::Attached;
            }
            Some(Phase::Revoked { through, .. }) if *through >= dispatch.attempt => {
                return self.refuse(now, dispatch, RefusalReason::Revoked);
            }
            _ => {}
        }
        if let Some(reason) = self.refusal(now, dispatch, gate) {
            return self.refuse(now, dispatch, reason);
        }
        let taken = self.slots.try_acquire(now, &dispatch.organisation);
        if let Err(denied) = taken {
            let reason = match denied {
                limits::SlotDenial::Full => RefusalReason::Full,
                limits::SlotDenial::OverShare => RefusalReason::OverShare,
            };
            return self.refuse(now, dispatch, reason);
        }
        let attempt = dispatch.attempt;
        self.phases
            .insert(dispatch.request_id.clone(), Phase::Running { attempt });
        self.organisations
            .insert(dispatch.request_id.clone(), dispatch.organisation.clone());
        Admission::Admitted
    }

    /// Records that a request has ended, whatever its end.
    pub fn finish(&mut self, now: time::Instant, request_id: &id::RequestId) {
        let Some(phase) = self.phases.get_mut(request_id) else {
            return;
        };
        let Phase::Running { attempt } = *phase else {
            return;
        };
        *phase = Phase::Finished { attempt, at: now };
        self.expiries.push_back((now, request_id.clone()));
        self.give_back(request_id);
    }

    /// Records that an admitted request could not be started, so that it counts as never run.
    pub fn abandon(&mut self, now: time::Instant, request_id: &id::RequestId) {
        let Some(Phase::Running { attempt }) = self.phases.get(request_id).copied() else {
            return;
        };
        self.phases.swap_remove(request_id);
        self.give_back(request_id);
        self.record_revoked(now, request_id, attempt);
    }

    fn give_back(&mut self, request_id: &id::RequestId) {
        if let Some(organisation) = self.organisations.swap_remove(request_id) {
            self.slots.release(&organisation);
        }
    }

    /// Promises that attempts up to `attempt` never run here, unless one has started already.
    ///
    /// `view_stamp` is the one that the attempt was dispatched with. Once it is older than the
    /// retention window this table may have forgotten a run, so the answer is
    /// [`RevocationReply::Unknown`].
    pub fn revoke(
        &mut self,
        now: time::Instant,
        request_id: &id::RequestId,
        attempt: id::AttemptNumber,
        view_stamp: ViewStamp,
    ) -> RevocationReply {
        self.expire(now);
        match self.phases.get_mut(request_id) {
            Some(Phase::Running { .. }) => return RevocationReply::Running,
            Some(Phase::Finished { .. }) => return RevocationReply::Finished,
            Some(Phase::Revoked { .. }) | None => {}
        }
        let forgotten = self.view_age(now, view_stamp) > self.limits.window;
        if forgotten || !self.record_revoked(now, request_id, attempt) {
            return RevocationReply::Unknown;
        }
        RevocationReply::NotRun
    }

    /// Forgets requests whose retention window has passed.
    fn expire(&mut self, now: time::Instant) {
        while let Some((at, _)) = self.expiries.front() {
            if now.duration_since(*at) <= self.limits.window {
                return;
            }
            let Some((at, request_id)) = self.expiries.pop_front() else {
                return;
            };
            // A revocation that was extended later stands in the queue again with its later time.
            if self.ended_at(&request_id) == Some(at) {
                self.phases.swap_remove(&request_id);
            }
        }
    }

    fn refusal(
        &self,
        now: time::Instant,
        dispatch: &Dispatch,
        gate: &AdmissionConditions,
    ) -> Option<RefusalReason> {
        if dispatch.incarnation != self.incarnation {
            return Some(RefusalReason::WrongIncarnation);
        }
        if self.view_age(now, dispatch.view_stamp) > self.limits.view_age_max {
            return Some(RefusalReason::StaleView);
        }
        match gate.openness {
            AdmissionState::Leaving => return Some(RefusalReason::Leaving),
            AdmissionState::Activating => return Some(RefusalReason::Activating),
            AdmissionState::Open => {}
        }
        if dispatch.weights != gate.weights {
            return Some(RefusalReason::WrongWeights);
        }
        if time::Duration::from_millis(dispatch.remaining_ms) < gate.expected_duration {
            return Some(RefusalReason::TooLate);
        }
        if self.phases.len() >= self.limits.entries_max {
            return Some(RefusalReason::TableFull);
        }
        None
    }

    fn refuse(
        &mut self,
        now: time::Instant,
        dispatch: &Dispatch,
        reason: RefusalReason,
    ) -> Admission {
        let revoked = self.record_revoked(now, &dispatch.request_id, dispatch.attempt);
        let retry_after_ms = match reason {
            RefusalReason::Activating => ACTIVATION_RETRY_MS,
            RefusalReason::Full | RefusalReason::OverShare | RefusalReason::TableFull => {
                FULL_RETRY_MS
            }
            _ => ELSEWHERE_RETRY_MS,
        };
        Admission::Refused(Refusal {
            reason,
            revoked,
            retry_after_ms,
        })
    }

    /// Records a revocation; false where the table has no room or the request has started.
    fn record_revoked(
        &mut self,
        now: time::Instant,
        request_id: &id::RequestId,
        attempt: id::AttemptNumber,
    ) -> bool {
        let earlier = match self.phases.get(request_id) {
            Some(Phase::Revoked { through, .. }) => *through,
            Some(_) => return false,
            None if self.phases.len() >= self.limits.entries_max => return false,
            None => attempt,
        };
        let phase = Phase::Revoked {
            through: attempt.max(earlier),
            at: now,
        };
        self.phases.insert(request_id.clone(), phase);
        self.expiries.push_back((now, request_id.clone()));
        true
    }
}
