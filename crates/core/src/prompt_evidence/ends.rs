//! The engine runs that ended.

/// The engine runs that ended, or seemed to.
#[derive(Clone, Debug, Default)]
pub struct Ends;
