//! Activation: complete and verified weights are loaded into the engine.
//!
//! The sequence is fixed: refuse new work, drain the engine, send the load order, read back which
//! weights the engine serves. Only weights that were read back are announced, so a request is never
//! admitted for weights that the engine might not serve. Every response of the engine is checked
//! against them as well.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{admission, id};

/// Why an order is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// A lease holder with a higher fencing number has sent an order since.
    #[snafu(display("order has fencing number {given} but {seen} was seen"))]
    Fenced {
        /// The fencing number of the order.
        given: id::FencingNumber,
        /// The highest fencing number seen.
        seen: id::FencingNumber,
    },
    /// The agent has restarted and has not yet read the current fencing number.
    #[snafu(display("the agent has not learned the present fencing number yet"))]
    FencingUnknown,
    /// The weights are not completely downloaded and verified.
    #[snafu(display("weights {manifest} are not held whole"))]
    NotHeld {
        /// The digest of the manifest.
        manifest: id::Digest,
    },
    /// Another activation is in progress.
    #[snafu(display("another activation is under way"))]
    Busy,
}

/// Identifies weights by the digests of their manifest and their content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsId {
    /// The digest of the manifest, by which configurations refer to the weights.
    pub manifest: id::Digest,
    /// The digest of the content, by which engines refer to them.
    pub content: id::Digest,
}

/// The stage of an engine's activation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The engine's weights are not known.
    Unknown,
    /// The engine was read back and serves these weights.
    Serving(WeightsId),
    /// New work is refused until the running requests finish; then these weights are loaded.
    Draining(WeightsId),
    /// The engine was ordered to load these weights.
    Loading(WeightsId),
}

/// The next step of an activation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Nothing to do.
    Wait,
    /// Order the engine to load the weights.
    Load(WeightsId),
    /// Read back which weights the engine serves.
    ReadBack,
}

/// The activation of one engine.
#[derive(Clone, Debug)]
pub struct Activation {
    stage: Stage,
    fencing_seen: Option<id::FencingNumber>,
}

impl Default for Activation {
    fn default() -> Self {
        Self::new()
    }
}

impl Activation {
    /// Creates the state in which nothing is known of the engine.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            stage: Stage::Unknown,
            fencing_seen: None,
        }
    }

    /// Returns the current stage.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the highest fencing number seen.
    #[must_use]
    pub const fn fencing_seen(&self) -> Option<id::FencingNumber> {
        self.fencing_seen
    }

    /// Returns the weights for which requests may be admitted.
    #[must_use]
    pub const fn serving(&self) -> Option<WeightsId> {
        match self.stage {
            Stage::Serving(weights) => Some(weights),
            _ => None,
        }
    }

    /// Returns whether new work is admitted or refused because of the activation.
    #[must_use]
    pub const fn openness(&self) -> admission::AdmissionState {
        match self.stage {
            Stage::Serving(_) => admission::AdmissionState::Open,
            _ => admission::AdmissionState::Activating,
        }
    }

    /// Returns the next step, given the number of running requests.
    #[must_use]
    pub const fn task(&self, running_count: usize) -> Task {
        match self.stage {
            Stage::Unknown | Stage::Loading(_) => Task::ReadBack,
            Stage::Draining(weights) if running_count == 0 => Task::Load(weights),
            Stage::Serving(_) | Stage::Draining(_) => Task::Wait,
        }
    }

    /// Records a fencing number; one that is lower than the highest seen is ignored.
    pub fn record_fencing(&mut self, fencing: id::FencingNumber) {
        self.fencing_seen = self.fencing_seen.max(Some(fencing));
    }

    /// Accepts or refuses an order to activate weights; `is_complete` states whether they are
    /// completely downloaded and verified.
    ///
    /// Idempotent: an order for weights that are served or being activated already is accepted and
    /// changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderError`] if the order is fenced off, another activation is in progress, or
    /// the weights are incomplete.
    pub fn order(
        &mut self,
        fencing: id::FencingNumber,
        weights: WeightsId,
        is_complete: bool,
    ) -> Result<(), OrderError> {
        let seen = self.fencing_seen.ok_or(OrderError::FencingUnknown)?;
        let given = fencing;
        ensure!(given >= seen, FencedSnafu { given, seen });
        self.fencing_seen = Some(fencing);
        match self.stage {
            Stage::Serving(current) | Stage::Draining(current) | Stage::Loading(current)
                if current == weights =>
            {
                return Ok(());
            }
            Stage::Draining(_) | Stage::Loading(_) => return BusySnafu.fail(),
            Stage::Unknown | Stage::Serving(_) => {}
        }
        let manifest = weights.manifest;
        ensure!(is_complete, NotHeldSnafu { manifest });
        self.stage = Stage::Draining(weights);
        Ok(())
    }

    /// Records that the engine was ordered to load the weights.
    pub fn record_load_ordered(&mut self) {
        if let Stage::Draining(weights) = self.stage {
            self.stage = Stage::Loading(weights);
        }
    }

    /// Records that the load was refused or interrupted, so that it is retried.
    pub fn record_load_failed(&mut self) {
        if let Stage::Loading(weights) = self.stage {
            self.stage = Stage::Draining(weights);
        }
    }

    /// Records the content that the engine reports to serve; `None` if it has none loaded
    /// completely.
    ///
    /// `known` are the weights that the agent can identify. No request is admitted for content that
    /// is not among them.
    pub fn record_read_back(&mut self, content: Option<id::Digest>, known: &[WeightsId]) {
        let matching = known
            .iter()
            .find(|weights| Some(weights.content) == content);
        match (self.stage, matching) {
            (Stage::Draining(_), _) => {}
            (Stage::Loading(target), Some(found)) if *found != target => {
                // The engine still serves other weights, so the load has to be ordered again.
                self.stage = Stage::Draining(target);
            }
            (_, Some(found)) => self.stage = Stage::Serving(*found),
            (Stage::Loading(_), None) if content.is_none() => {}
            (Stage::Loading(target), None) => self.stage = Stage::Draining(target),
            (_, None) => self.stage = Stage::Unknown,
        }
    }

    /// Records that a response came from other weights than those that were read back.
    pub fn record_stamp_mismatch(&mut self) {
        if let Stage::Serving(_) = self.stage {
            self.stage = Stage::Unknown;
        }
    }
}
