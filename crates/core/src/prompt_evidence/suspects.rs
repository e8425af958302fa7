//! The evidence against each part.

/// The parts with which engine runs ended.
#[derive(Clone, Debug, Default)]
pub struct Suspects;
