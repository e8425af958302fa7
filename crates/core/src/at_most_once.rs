//! Where a caller's request may have run, which decides whether it may be sent again and whether its
//! caller may be told that it has not run.
//!
//! A [`RunRecord`] is the only maker of a [`Permit`], which one send consumes, and of a
//! [`NotRunPromise`], without which no caller is told so. A record is followed through one request:
//!
//! ```
//! use pimentohook_core::{at_most_once, carried_ids, routes};
//!
//! let connection = carried_ids::CarriedIds::default();
//! let first_send = connection.record(carried_ids::IdHash::new(7)).unwrap();
//! let once = at_most_once::RepeatRule {
//!     policy: routes::RepeatPolicy::AtMostOnce,
//!     attempts_max: 1,
//! };
//! let mut record = at_most_once::RunRecord::begin();
//! let under_way = record.permit("runner-1", once).unwrap().send();
//! let refusal = at_most_once::Refusal::Marked;
//! let _ = under_way.not_run(at_most_once::NotRunProof::refused(refusal, first_send));
//! let under_way = record.permit("runner-2", once).unwrap().send();
//! // The connection breaks, or the caller leaves.
//! drop(under_way);
//! assert_eq!(record.permit("runner-3", once).unwrap_err(), at_most_once::NoPermit::Once);
//! assert!(record.settle().is_err());
//! ```
//!
//! What could send or promise without it doesn't compile. A permit is used once:
//!
//! ```compile_fail,E0382
//! # use pimentohook_core::{at_most_once, routes};
//! # let policy = routes::RepeatPolicy::Idempotent;
//! # let rule = at_most_once::RepeatRule { policy, attempts_max: 2 };
//! let mut record = at_most_once::RunRecord::begin();
//! let permit = record.permit("runner-1", rule).unwrap();
//! let first = permit.send();
//! let second = permit.send();
//! ```
//!
//! Nobody else makes one:
//!
//! ```compile_fail,E0451
//! # use pimentohook_core::{at_most_once, routes};
//! # let policy = routes::RepeatPolicy::Idempotent;
//! # let rule = at_most_once::RepeatRule { policy, attempts_max: 2 };
//! let mut record = at_most_once::RunRecord::begin();
//! let permit = record.permit("runner-1", rule).unwrap();
//! let other = at_most_once::Permit { ..permit };
//! ```
//!
//! There is one permit at a time, so nothing is sent while a send is under way:
//!
//! ```compile_fail,E0499
//! # use pimentohook_core::{at_most_once, routes};
//! # let policy = routes::RepeatPolicy::Idempotent;
//! # let rule = at_most_once::RepeatRule { policy, attempts_max: 2 };
//! let mut record = at_most_once::RunRecord::begin();
//! let under_way = record.permit("runner-1", rule).unwrap().send();
//! let other = record.permit("runner-2", rule).unwrap().send();
//! drop(under_way);
//! ```
//!
//! Nothing is promised while a send is under way:
//!
//! ```compile_fail,E0505
//! # use pimentohook_core::{at_most_once, routes};
//! # let policy = routes::RepeatPolicy::Idempotent;
//! # let rule = at_most_once::RepeatRule { policy, attempts_max: 2 };
//! let mut record = at_most_once::RunRecord::begin();
//! let under_way = record.permit("runner-1", rule).unwrap().send();
//! let promise = record.settle();
//! drop(under_way);
//! ```
//!
//! Nothing is sent after a promise:
//!
//! ```compile_fail,E0382
//! # use pimentohook_core::{at_most_once, routes};
//! # let policy = routes::RepeatPolicy::Idempotent;
//! # let rule = at_most_once::RepeatRule { policy, attempts_max: 2 };
//! let mut record = at_most_once::RunRecord::begin();
//! let promise = record.settle();
//! let under_way = record.permit("runner-1", rule).unwrap().send();
//! ```
//!
//! A record is neither copied nor emptied, and a promise is not made by hand:
//!
//! ```compile_fail,E0277
//! # use pimentohook_core::at_most_once;
//! let mut record = at_most_once::RunRecord::begin();
//! let emptied = std::mem::take(&mut record);
//! ```
//!
//! ```compile_fail,E0599
//! # use pimentohook_core::at_most_once;
//! let record = at_most_once::RunRecord::begin();
//! let copy = record.clone();
//! ```
//!
//! ```compile_fail,E0451
//! # use pimentohook_core::at_most_once;
//! let promise = at_most_once::NotRunPromise { sent_to: Vec::new() };
//! ```
//!
//! A refusal proves nothing without the proof that its connection had not carried the request:
//!
//! ```compile_fail,E0061
//! # use pimentohook_core::at_most_once;
//! let proof = at_most_once::NotRunProof::refused(at_most_once::Refusal::Marked);
//! ```
//!
//! ```compile_fail,E0451
//! # use pimentohook_core::at_most_once;
//! let evidence = at_most_once::NotRunEvidence::Marked;
//! let proof = at_most_once::NotRunProof { evidence };
//! ```

mod evidence;

use snafu::Snafu;

pub use self::evidence::{Fault, NotRunEvidence, NotRunProof, Refusal, Unsent};
use crate::routes;

/// What is known of a request, over all upstreams that it was sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It was not sent.
    #[default]
    NotSent,
    /// It is under way at an upstream, and may run there.
    UnderWay,
    /// It was sent, or was to be sent, and certainly did not run; the evidence is that of the last send.
    NotRun(NotRunEvidence),
    /// It may be running or may have run.
    MayHaveRun,
    /// It has its response.
    Answered,
}

/// Whether a request that may have run may run again, as of the moment of the repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatRule {
    /// Whether it may run more than once.
    pub policy: routes::RepeatPolicy,
    /// Maximum number of upstreams that may run it.
    pub attempts_max: u32,
}

impl RepeatRule {
    /// Checks whether a request may be sent again that `run_count` upstreams may have run.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn check(self, run_count: u32) -> Result<(), NoPermit> {
        if run_count == 0 {
            return Ok(());
        }
        match self.policy {
            routes::RepeatPolicy::AtMostOnce => OnceSnafu.fail(),
            routes::RepeatPolicy::Idempotent => {
                snafu::ensure!(run_count < self.attempts_max, AttemptsSpentSnafu);
                Ok(())
            }
        }
    }
}

/// Why a request may not be sent to a further upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum NoPermit {
    /// It has its response.
    #[snafu(display("answered"))]
    Answered,
    /// It may have run, and may run once only.
    #[snafu(display("once"))]
    Once,
    /// As many upstreams as allowed may have run it.
    #[snafu(display("attempts_spent"))]
    AttemptsSpent,
}

#[derive(Debug, Default)]
struct Runs {
    state: State,
    /// The number of upstreams that may have run the request, with the one where it is under way.
    count: u32,
}

/// Where a caller's request was sent and may have run.
#[derive(Debug)]
pub struct RunRecord {
    sent_to: Vec<String>,
    runs: Runs,
}

impl RunRecord {
    /// Begins the record of a request that was not sent yet. Each request has one record.
    #[must_use]
    pub fn begin() -> Self {
        Self {
            sent_to: Vec::new(),
            runs: Runs::default(),
        }
    }

    /// Returns what is known of the request.
    #[must_use]
    pub const fn state(&self) -> State {
        self.runs.state
    }

    /// Returns whether the request is under way, may have run or has its response.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self.runs.state, State::NotSent | State::NotRun(_))
    }

    /// Returns the number of upstreams that may have run the request.
    #[must_use]
    pub const fn run_count(&self) -> u32 {
        self.runs.count
    }

    /// Returns the instances that a permit was given for, in their order.
    #[must_use]
    pub fn sent_to(&self) -> &[String] {
        &self.sent_to
    }

    /// Checks whether a permit would be given.
    ///
    /// # Errors
    ///
    /// Returns why it would not.
    pub fn check(&self, rule: RepeatRule) -> Result<(), NoPermit> {
        snafu::ensure!(self.runs.state != State::Answered, AnsweredSnafu);
        rule.check(self.runs.count)
    }

    /// Gives a permit to send the request to an instance; `rule` is the one in force now.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be sent.
    pub fn permit(&mut self, instance: &str, rule: RepeatRule) -> Result<Permit<'_>, NoPermit> {
        self.check(rule)?;
        self.sent_to.push(String::from(instance));
        Ok(Permit {
            sent_to: &self.sent_to,
            runs: &mut self.runs,
        })
    }

    /// Ends the request without a response of an upstream.
    ///
    /// # Errors
    ///
    /// Returns a [`Doubt`] if it may have run.
    pub fn settle(self) -> Result<NotRunPromise, Doubt> {
        if self.may_have_run() {
            return Err(Doubt {
                sent_to: self.sent_to,
            });
        }
        Ok(NotRunPromise {
            sent_to: self.sent_to,
        })
    }
}

/// The permission to send a request once.
#[derive(Debug)]
#[must_use]
pub struct Permit<'a> {
    sent_to: &'a [String],
    runs: &'a mut Runs,
}

impl<'a> Permit<'a> {
    /// Returns the instances that a permit was given for, with that of this permit as the last.
    #[must_use]
    pub const fn sent_to(&self) -> &'a [String] {
        self.sent_to
    }

    /// Returns the number of upstreams that may have run the request once it is sent.
    #[must_use]
    pub const fn run_count(&self) -> u32 {
        self.runs.count + 1
    }

    /// Begins the send. Unless its end is recorded otherwise, the request may have run.
    pub const fn send(self) -> UnderWay<'a> {
        self.runs.count += 1;
        self.runs.state = State::UnderWay;
        UnderWay {
            runs: self.runs,
            end: End::InDoubt,
        }
    }

    /// Records that the request could not be built.
    #[must_use]
    pub fn not_built(self) -> Fault {
        self.send()
            .not_run(NotRunProof::local(NotRunEvidence::NotBuilt))
    }

    /// Records that the request is not sent after all.
    #[must_use]
    pub fn withdraw(self) -> Fault {
        self.send()
            .not_run(NotRunProof::local(NotRunEvidence::Withdrawn))
    }
}

#[derive(Clone, Copy, Debug)]
enum End {
    InDoubt,
    NotRun(NotRunEvidence),
    Answered,
}

/// A request that is under way at an upstream. If this is dropped, by a cancellation too, the
/// request may have run.
#[derive(Debug)]
#[must_use]
pub struct UnderWay<'a> {
    runs: &'a mut Runs,
    end: End,
}

impl UnderWay<'_> {
    /// Records that the upstream certainly does not run the request.
    #[must_use]
    pub fn not_run(mut self, proof: NotRunProof) -> Fault {
        let evidence = proof.into_evidence();
        self.end = End::NotRun(evidence);
        Fault::NotRun(evidence)
    }

    /// Records that the upstream may have run the request, which may be sent again if it may repeat.
    #[must_use]
    pub fn in_doubt(self) -> Fault {
        Fault::MayHaveRun
    }

    /// Records that the request has its response, after which it is not sent again.
    pub fn answered(mut self) {
        self.end = End::Answered;
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.runs.state = match self.end {
            End::InDoubt => State::MayHaveRun,
            End::Answered => State::Answered,
            End::NotRun(evidence) => {
                self.runs.count -= 1;
                if self.runs.count == 0 {
                    State::NotRun(evidence)
                } else {
                    State::MayHaveRun
                }
            }
        };
    }
}

/// The promise that a request has not run and never will.
#[derive(Debug)]
#[must_use]
pub struct NotRunPromise {
    sent_to: Vec<String>,
}

impl NotRunPromise {
    /// Returns the instances that a permit was given for.
    #[must_use]
    pub fn sent_to(&self) -> &[String] {
        &self.sent_to
    }
}

/// A request that may have run, so that nothing is promised of it.
#[derive(Debug)]
#[must_use]
pub struct Doubt {
    sent_to: Vec<String>,
}

impl Doubt {
    /// Returns the instances that a permit was given for.
    #[must_use]
    pub fn sent_to(&self) -> &[String] {
        &self.sent_to
    }
}
