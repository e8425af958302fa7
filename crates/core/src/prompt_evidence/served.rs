//! The responses that speak for the parts of their prompts.

use std::time;

/// How long a stream must have run after its first event to speak for the parts of its prompt.
pub const BEGUN_FOR: time::Duration = time::Duration::from_secs(1);
/// How long an engine must go on after a response for the response to speak for the parts.
pub const OUTLIVED_FOR: time::Duration = time::Duration::from_millis(500);

/// The parts on which responses were received.
#[derive(Clone, Debug, Default)]
pub struct ServedParts;

/// The responses whose engine may still end.
#[derive(Clone, Debug, Default)]
pub struct PendingResponses;
