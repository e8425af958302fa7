//! Activation: verified weights come into service, whole or not at all.
//!
//! The order is fixed: no new work, the engine drained, the load ordered, the engine read back.
//! Only weights that were read back are announced, so a request is never admitted for weights
//! that the engine might not serve. Every answer of the engine is checked against them as well.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{admission, id};

/// An order that is not obeyed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// A holder with a higher fencing number has given orders since.
    #[snafu(display("order has fencing number {given} but {seen} was seen"))]
    Fenced {
        /// The number of the order.
        given: id::FencingNumber,
        /// The highest number seen.
        seen: id::FencingNumber,
    },
    /// The agent has restarted and has not yet read the present number.
    #[snafu(display("the agent has not learned the present fencing number yet"))]
    FencingUnknown,
    /// The weights have not been received and verified whole.
    #[snafu(display("weights {manifest} are not held whole"))]
    NotHeld {
        /// The manifest that was named.
        manifest: id::Digest,
    },
    /// Another activation is under way.
    #[snafu(display("another activation is under way"))]
    Busy,
}

/// Weights by the digest of their manifest and of their content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsId {
    /// The digest of the manifest, by which configurations name the weights.
    pub manifest: id::Digest,
    /// The digest of the content, by which engines name them.
    pub content: id::Digest,
}

/// Where the engine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing is known of the engine's weights.
    Unknown,
    /// The engine was read back to serve these weights.
    Serving(WeightsId),
    /// No new work; waiting for what runs.
    Draining(WeightsId),
    /// The load was ordered.
    Loading(WeightsId),
}

/// What the agent does next for the activation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// Nothing.
    Wait,
    /// Order the engine to load the weights.
    Load(WeightsId),
    /// Ask the engine what it serves.
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
    /// Starts without any knowledge of the engine.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            stage: Stage::Unknown,
            fencing_seen: None,
        }
    }

    /// Returns where the engine stands.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the highest fencing number seen.
    #[must_use]
    pub const fn fencing_seen(&self) -> Option<id::FencingNumber> {
        self.fencing_seen
    }

    /// Returns the weights that requests may be admitted for.
    #[must_use]
    pub const fn serving(&self) -> Option<WeightsId> {
        match self.stage {
            Stage::Serving(weights) => Some(weights),
            _ => None,
        }
    }

    /// Returns whether new work is refused because of the activation.
    #[must_use]
    pub const fn openness(&self) -> admission::AdmissionState {
        match self.stage {
            Stage::Serving(_) => admission::AdmissionState::Open,
            _ => admission::AdmissionState::Activating,
        }
    }

    /// Returns what is to be done, given how many requests run.
    #[must_use]
    pub const fn task(&self, running_count: usize) -> Task {
        match self.stage {
            Stage::Unknown | Stage::Loading(_) => Task::ReadBack,
            Stage::Draining(weights) if running_count == 0 => Task::Load(weights),
            Stage::Serving(_) | Stage::Draining(_) => Task::Wait,
        }
    }

    /// Takes in a fencing number; a lower one than seen changes nothing.
    pub fn record_fencing(&mut self, fencing: id::FencingNumber) {
        self.fencing_seen = self.fencing_seen.max(Some(fencing));
    }

    /// Takes an order to activate weights that are held whole.
    ///
    /// An order for weights that are served or under way already is accepted and changes nothing.
    ///
    /// # Errors
    ///
    /// [`OrderError`] says why the order is not obeyed.
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
            Stage::Serving(present) | Stage::Draining(present) | Stage::Loading(present)
                if present == weights =>
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

    /// Records that the load was ordered.
    pub fn record_load_ordered(&mut self) {
        if let Stage::Draining(weights) = self.stage {
            self.stage = Stage::Loading(weights);
        }
    }

    /// Records that the load was refused or broke off, so that it is ordered again.
    pub fn record_load_failed(&mut self) {
        if let Stage::Loading(weights) = self.stage {
            self.stage = Stage::Draining(weights);
        }
    }

    /// Records the content that the engine says it serves; `None` where it serves none whole.
    ///
    /// `known` are the weights that the agent can name. Content that it can't name is not
    /// admitted for.
    pub fn record_read_back(&mut self, content: Option<id::Digest>, known: &[WeightsId]) {
        let named = known.iter().find(|one| Some(one.content) == content);
        match (self.stage, named) {
            (Stage::Draining(_), _) => {}
            (Stage::Loading(target), Some(found)) if *found != target => {
                // The engine still serves what it served; the load is to be ordered again.
                self.stage = Stage::Draining(target);
            }
            (_, Some(found)) => self.stage = Stage::Serving(*found),
            (Stage::Loading(_), None) if content.is_none() => {}
            (Stage::Loading(target), None) => self.stage = Stage::Draining(target),
            (_, None) => self.stage = Stage::Unknown,
        }
    }

    /// Records that an answer was stamped with other weights than were read back.
    pub fn record_stamp_mismatch(&mut self) {
        if let Stage::Serving(_) = self.stage {
            self.stage = Stage::Unknown;
        }
    }
}
