//! The parts that are kept from engines, for the path of a request.

use indexmap::IndexSet;

use super::{prompt, suspect_id};

/// A snapshot of the parts that are kept from engines, those on probation too.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeptParts(pub(super) IndexSet<suspect_id::SuspectId>);

impl KeptParts {
    /// Returns the first part of a prompt that is kept from engines.
    #[must_use]
    pub fn find(&self, prompt: &prompt::Prompt) -> Option<suspect_id::SuspectId> {
        if self.0.is_empty() {
            return None;
        }
        let mut suspects = prompt.suspects().iter();
        suspects.find(|part| self.0.contains(*part)).copied()
    }

    /// Returns whether a part is kept from engines.
    #[must_use]
    pub fn contains(&self, part: suspect_id::SuspectId) -> bool {
        self.0.contains(&part)
    }

    /// Returns whether no part is kept from engines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of parts that are kept from engines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
