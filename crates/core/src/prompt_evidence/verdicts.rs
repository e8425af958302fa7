//! Which parts are kept from engines.

/// Why a part is kept from engines.
#[derive(Clone, Debug, Default)]
pub struct Verdict;
