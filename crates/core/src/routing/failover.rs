//! Failover of one request from agent to agent.
//!
//! A [`Failover`] returns the next [`Step`]; the entry performs it and records the result as an
//! [`Event`]. A non-idempotent request is sent to another agent, or reported to its caller as not
//! run, only after every agent that was tried has refused it, was never connected to, or has
//! replied [`admission::RevocationReply::NotRun`].
//!
//! A request that its caller retries may have started through another entry. Its failover first
//! revokes earlier attempts at every agent that may have run one, and attaches to the run if there
//! is one. It then dispatches the request to a single agent, after all others have promised not to
//! run this attempt either. That agent's own promise covers only lower numbers, and callers that
//! don't number their attempts send several with the same one, so only a refusal by the same process
//! proves that the request did not run there.

use crate::{admission, id};

/// One agent that the request may be sent to or may have run at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The VM.
    pub vm: id::VmId,
    /// Whether the request may be dispatched to this agent.
    pub usable: bool,
    /// Whether the agent's revocation reply covers everything that ran on its VM within the
    /// retention window.
    pub complete_history: bool,
}

/// The next action to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Revoke attempts up to `through` at the agent at this position.
    Revoke {
        /// Index into the candidates.
        position: usize,
        /// The highest attempt to revoke.
        through: id::AttemptNumber,
    },
    /// Dispatch the request to the agent at this position.
    Dispatch {
        /// Index into the candidates.
        position: usize,
    },
    /// Relay the response of the agent at this position.
    Relay {
        /// Index into the candidates.
        position: usize,
    },
    /// Report the failure to the caller.
    Fail(FailureOutcome),
}

/// What the caller learns about a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureOutcome {
    /// It is proved that the request did not run.
    NotRun {
        /// When the caller may retry, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The request may or may not have run.
    Unknown,
}

/// The result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// No connection was established, so nothing was sent.
    NeverConnected,
    /// The agent refused the dispatch.
    Refused(admission::Refusal),
    /// The agent has admitted the request, or had started it before, and will send its response.
    Started,
    /// The connection broke or went silent after the dispatch was sent.
    ConnectionLost,
    /// The agent replied to a revocation.
    RevocationReply(admission::RevocationReply),
    /// The agent did not reply to a revocation.
    RevocationReplyLost,
    /// The response was interrupted for good before any of it was passed on.
    ResponseLost,
    /// The retry budget or the deadline permits no further attempt.
    RetryDenied,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Revoking earlier attempts.
    RevokingEarlier {
        position: usize,
    },
    /// Waiting for the result of a dispatch.
    Dispatching {
        position: usize,
    },
    /// Revoking a dispatch whose result was lost.
    RevokingDispatch {
        position: usize,
    },
    Relaying {
        position: usize,
    },
    Failed(FailureOutcome),
}

/// The state of one request's failover.
#[derive(Clone, Debug)]
pub struct Failover {
    candidates: Vec<Candidate>,
    attempt: id::AttemptNumber,
    idempotent: bool,
    target: Option<usize>,
    stage: Stage,
    /// Whether an agent may have run the request and could not confirm that it did not.
    may_have_run: bool,
    retry_after_ms: u64,
}

/// The retry delay of a request that was not run, unless an agent suggests a longer one.
const RETRY_AFTER_MS: u64 = 250;

impl Failover {
    /// Starts the failover of a request that no agent has received before, or that is idempotent.
    #[must_use]
    pub fn new(candidates: Vec<Candidate>, attempt: id::AttemptNumber, idempotent: bool) -> Self {
        let mut failover = Self {
            candidates,
            attempt,
            idempotent,
            target: None,
            stage: Stage::Dispatching { position: 0 },
            may_have_run: false,
            retry_after_ms: RETRY_AFTER_MS,
        };
        failover.dispatch_from(0);
        failover
    }

    /// Starts the failover of a non-idempotent request that may have been sent before.
    ///
    /// `may_have_run` states whether agents that are not among the candidates may have run it.
    #[must_use]
    pub fn after_earlier_attempts(
        candidates: Vec<Candidate>,
        attempt: id::AttemptNumber,
        may_have_run: bool,
    ) -> Self {
        let target = candidates.iter().position(|candidate| candidate.usable);
        let mut failover = Self {
            candidates,
            attempt,
            idempotent: false,
            target,
            stage: Stage::RevokingEarlier { position: 0 },
            may_have_run,
            retry_after_ms: RETRY_AFTER_MS,
        };
        failover.revoke_from(0);
        failover
    }

    /// Returns the next action to perform.
    #[must_use]
    pub fn step(&self) -> Step {
        match self.stage {
            Stage::RevokingEarlier { position } => Step::Revoke {
                position,
                through: self.highest_revoked_attempt(position),
            },
            Stage::RevokingDispatch { position } => Step::Revoke {
                position,
                through: self.attempt,
            },
            Stage::Dispatching { position } => Step::Dispatch { position },
            Stage::Relaying { position } => Step::Relay { position },
            Stage::Failed(outcome) => Step::Fail(outcome),
        }
    }

    /// Records the result of the last step.
    pub fn record(&mut self, event: Event) {
        match self.stage {
            Stage::RevokingEarlier { position } => self.record_earlier_revocation(position, event),
            Stage::Dispatching { position } => self.record_dispatch(position, event),
            Stage::RevokingDispatch { position } => self.record_revocation(position, event),
            Stage::Relaying { position } => self.record_relay(position, event),
            Stage::Failed(_) => {}
        }
    }

    /// The target has to remain able to run this attempt, so only earlier ones are revoked there;
    /// every other agent promises not to run this attempt either.
    fn highest_revoked_attempt(&self, position: usize) -> id::AttemptNumber {
        if self.target == Some(position) {
            id::AttemptNumber::new(self.attempt.get().saturating_sub(1))
        } else {
            self.attempt
        }
    }

    fn record_earlier_revocation(&mut self, position: usize, event: Event) {
        match event {
            Event::RevocationReply(
                admission::RevocationReply::Running | admission::RevocationReply::Finished,
            ) => {
                self.stage = Stage::Relaying { position };
                return;
            }
            Event::RevocationReply(admission::RevocationReply::NotRun)
                if self.candidates[position].complete_history => {}
            _ => self.may_have_run = true,
        }
        self.revoke_from(position + 1);
    }

    /// Continues revoking at the candidates from `position` on, even if an earlier one may have run
    /// the request, since a later one may have its response.
    fn revoke_from(&mut self, position: usize) {
        if position < self.candidates.len() {
            self.stage = Stage::RevokingEarlier { position };
            return;
        }
        match self.target {
            _ if self.may_have_run => self.stage = Stage::Failed(FailureOutcome::Unknown),
            Some(target) => self.stage = Stage::Dispatching { position: target },
            None => self.fail_not_run(),
        }
    }

    fn record_dispatch(&mut self, position: usize, event: Event) {
        match event {
            Event::Started => self.stage = Stage::Relaying { position },
            Event::NeverConnected => {
                self.may_have_run |= self.may_share_number();
                self.try_next(position);
            }
            Event::Refused(refusal) => self.record_refusal(position, refusal),
            Event::RetryDenied => {
                self.may_have_run |= self.may_share_number();
                self.fail();
            }
            _ => self.stage = Stage::RevokingDispatch { position },
        }
    }

    /// Returns whether another attempt with the same number may have run at the agent that this one
    /// is dispatched to.
    fn may_share_number(&self) -> bool {
        self.target.is_some()
    }

    fn record_refusal(&mut self, position: usize, refusal: admission::Refusal) {
        self.retry_after_ms = self.retry_after_ms.max(refusal.retry_after_ms);
        // Another entry has revoked this attempt on behalf of a later attempt, which may run.
        let superseded = refusal.reason == admission::RefusalReason::Revoked;
        let is_other_process = refusal.reason == admission::RefusalReason::WrongIncarnation;
        let may_have_run_before = is_other_process && self.may_share_number();
        if superseded || may_have_run_before || !refusal.revoked {
            self.may_have_run = true;
        }
        self.try_next(position);
    }

    fn record_revocation(&mut self, position: usize, event: Event) {
        match event {
            Event::RevocationReply(
                admission::RevocationReply::Running | admission::RevocationReply::Finished,
            ) => {
                self.stage = Stage::Relaying { position };
            }
            Event::RevocationReply(admission::RevocationReply::NotRun) => self.try_next(position),
            _ => {
                self.may_have_run = true;
                self.try_next(position);
            }
        }
    }

    fn record_relay(&mut self, position: usize, event: Event) {
        if event == Event::ResponseLost {
            self.may_have_run = true;
            self.try_next(position);
        }
    }

    /// Dispatches to the next usable candidate if another attempt is permitted.
    fn try_next(&mut self, position: usize) {
        let may_run_twice = self.idempotent;
        let single_target = self.target.is_some();
        if single_target || (self.may_have_run && !may_run_twice) {
            self.fail();
        } else {
            self.dispatch_from(position + 1);
        }
    }

    fn dispatch_from(&mut self, position: usize) {
        let next = (position..self.candidates.len()).find(|index| self.candidates[*index].usable);
        match next {
            Some(position) => self.stage = Stage::Dispatching { position },
            None => self.fail(),
        }
    }

    fn fail(&mut self) {
        if self.may_have_run {
            self.stage = Stage::Failed(FailureOutcome::Unknown);
        } else {
            self.fail_not_run();
        }
    }

    fn fail_not_run(&mut self) {
        self.stage = Stage::Failed(FailureOutcome::NotRun {
            retry_after_ms: self.retry_after_ms,
        });
    }
}
