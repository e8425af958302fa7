//! The path of one request from agent to agent.
//!
//! A [`Failover`] says the next [`Step`] and is told what came of it as an [`Event`]. It enforces the
//! proof rule: a non-idempotent request is sent to a second agent, and a caller is told that a
//! request was not run, only after each agent that was tried has refused it, was never connected
//! to, or has given a [`admission::RevocationReply::NotRun`].
//!
//! A request that its caller sends again may have started through another entry. Such a walk
//! first collects receipts from every agent that may have run an earlier attempt, and attaches to
//! the run where there is one. It then dispatches to a single agent, after all others have
//! promised not to run this attempt either.

use crate::{admission, id};

/// One agent on the path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The VM.
    pub vm: id::VmId,
    /// Whether new work may be sent there.
    pub usable: bool,
    /// Whether its receipt covers all that ran at its VM within the window.
    pub complete_history: bool,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the agent at this position to promise that attempts up to `through` never run.
    Revoke {
        /// Index into the candidates.
        position: usize,
        /// The highest attempt to revoke.
        through: id::AttemptNumber,
    },
    /// Send the request to the agent at this position.
    Dispatch {
        /// Index into the candidates.
        position: usize,
    },
    /// Relay the answer of the agent at this position.
    Relay {
        /// Index into the candidates.
        position: usize,
    },
    /// Tell the caller.
    Fail(FailureOutcome),
}

/// What a caller is told when there is no answer to relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureOutcome {
    /// The request was not run; proved.
    NotRun {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// Whether the request ran can't be told.
    Unknown,
}

/// What came of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// No connection was made, so nothing was sent.
    NeverConnected,
    /// The agent refused the dispatch.
    Refused(admission::Refusal),
    /// The agent has the request and will answer it.
    Started,
    /// The connection broke or fell silent after the dispatch was sent.
    ConnectionLost,
    /// The agent answered a revocation.
    RevocationReply(admission::RevocationReply),
    /// The agent did not answer a revocation.
    RevocationReplyLost,
    /// The answer broke off for good before any of it was passed on.
    ResponseLost,
    /// The retry budget or the deadline allows no further try.
    RetryDenied,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Collecting receipts for earlier attempts.
    Clearing {
        position: usize,
    },
    /// Waiting for the outcome of a dispatch.
    Dispatching {
        position: usize,
    },
    /// Settling a lost dispatch.
    Settling {
        position: usize,
    },
    Relaying {
        position: usize,
    },
    Failed(FailureOutcome),
}

/// The walk of one request.
#[derive(Clone, Debug)]
pub struct Failover {
    candidates: Vec<Candidate>,
    attempt: id::AttemptNumber,
    idempotent: bool,
    target: Option<usize>,
    stage: Stage,
    /// Whether some agent may have run the request without our knowing.
    doubtful: bool,
    retry_after_ms: u64,
}

const RETRY_AFTER_MS: u64 = 250;

impl Failover {
    /// Starts the walk of a request that no agent can have seen, or that may run repeatedly.
    #[must_use]
    pub fn new(candidates: Vec<Candidate>, attempt: id::AttemptNumber, idempotent: bool) -> Self {
        let mut walk = Self {
            candidates,
            attempt,
            idempotent,
            target: None,
            stage: Stage::Dispatching { position: 0 },
            doubtful: false,
            retry_after_ms: RETRY_AFTER_MS,
        };
        walk.dispatch_from(0);
        walk
    }

    /// Starts the walk of a non-idempotent request that may have been sent before.
    ///
    /// `doubtful` says that agents may have run it that are not among the candidates.
    #[must_use]
    pub fn after_earlier_attempts(
        candidates: Vec<Candidate>,
        attempt: id::AttemptNumber,
        doubtful: bool,
    ) -> Self {
        let target = candidates.iter().position(|stop| stop.usable);
        let mut walk = Self {
            candidates,
            attempt,
            idempotent: false,
            target,
            stage: Stage::Clearing { position: 0 },
            doubtful,
            retry_after_ms: RETRY_AFTER_MS,
        };
        walk.clear_from(0);
        walk
    }

    /// Returns what is to be done next.
    #[must_use]
    pub fn step(&self) -> Step {
        match self.stage {
            Stage::Clearing { position } => Step::Revoke {
                position,
                through: self.clearing_attempt(position),
            },
            Stage::Settling { position } => Step::Revoke {
                position,
                through: self.attempt,
            },
            Stage::Dispatching { position } => Step::Dispatch { position },
            Stage::Relaying { position } => Step::Relay { position },
            Stage::Failed(verdict) => Step::Fail(verdict),
        }
    }

    /// Records what came of the last step.
    pub fn record(&mut self, event: Event) {
        match self.stage {
            Stage::Clearing { position } => self.record_clearing(position, event),
            Stage::Dispatching { position } => self.record_dispatch(position, event),
            Stage::Settling { position } => self.record_settling(position, event),
            Stage::Relaying { position } => self.record_relay(position, event),
            Stage::Failed(_) => {}
        }
    }

    /// The target must stay free to run this attempt; every other agent gives it up.
    fn clearing_attempt(&self, position: usize) -> id::AttemptNumber {
        if self.target == Some(position) {
            id::AttemptNumber::new(self.attempt.get().saturating_sub(1))
        } else {
            self.attempt
        }
    }

    fn record_clearing(&mut self, position: usize, event: Event) {
        match event {
            Event::RevocationReply(
                admission::RevocationReply::Running | admission::RevocationReply::Finished,
            ) => {
                self.stage = Stage::Relaying { position };
                return;
            }
            Event::RevocationReply(admission::RevocationReply::NotRun)
                if self.candidates[position].complete_history => {}
            _ => self.doubtful = true,
        }
        self.clear_from(position + 1);
    }

    /// Goes on collecting; a doubt does not end it, since a later agent may have the answer.
    fn clear_from(&mut self, position: usize) {
        if position < self.candidates.len() {
            self.stage = Stage::Clearing { position };
            return;
        }
        match self.target {
            _ if self.doubtful => self.stage = Stage::Failed(FailureOutcome::Unknown),
            Some(target) => self.stage = Stage::Dispatching { position: target },
            None => self.tell_not_run(),
        }
    }

    fn record_dispatch(&mut self, position: usize, event: Event) {
        match event {
            Event::Started => self.stage = Stage::Relaying { position },
            Event::NeverConnected => self.go_on(position),
            Event::Refused(refusal) => self.record_refusal(position, refusal),
            Event::RetryDenied => self.end(),
            _ => self.stage = Stage::Settling { position },
        }
    }

    fn record_refusal(&mut self, position: usize, refusal: admission::Refusal) {
        self.retry_after_ms = self.retry_after_ms.max(refusal.retry_after_ms);
        // Another entry has revoked this attempt on behalf of a later one, which may run.
        let superseded = refusal.reason == admission::RefusalReason::Revoked;
        if superseded || !refusal.revoked {
            self.doubtful = true;
        }
        self.go_on(position);
    }

    fn record_settling(&mut self, position: usize, event: Event) {
        match event {
            Event::RevocationReply(
                admission::RevocationReply::Running | admission::RevocationReply::Finished,
            ) => {
                self.stage = Stage::Relaying { position };
            }
            Event::RevocationReply(admission::RevocationReply::NotRun) => self.go_on(position),
            _ => {
                self.doubtful = true;
                self.go_on(position);
            }
        }
    }

    fn record_relay(&mut self, position: usize, event: Event) {
        if event == Event::ResponseLost {
            self.doubtful = true;
            self.go_on(position);
        }
    }

    /// Tries the next agent where the rules allow it.
    fn go_on(&mut self, position: usize) {
        let may_run_twice = self.idempotent;
        let single_target = self.target.is_some();
        if single_target || (self.doubtful && !may_run_twice) {
            self.end();
        } else {
            self.dispatch_from(position + 1);
        }
    }

    fn dispatch_from(&mut self, position: usize) {
        let next = (position..self.candidates.len()).find(|index| self.candidates[*index].usable);
        match next {
            Some(position) => self.stage = Stage::Dispatching { position },
            None => self.end(),
        }
    }

    fn end(&mut self) {
        if self.doubtful {
            self.stage = Stage::Failed(FailureOutcome::Unknown);
        } else {
            self.tell_not_run();
        }
    }

    fn tell_not_run(&mut self) {
        self.stage = Stage::Failed(FailureOutcome::NotRun {
            retry_after_ms: self.retry_after_ms,
        });
    }
}
