//! Reads what the VM lets a process use.

use std::num;

use pimentohook_core::memory_shares;

use crate::settings;

const BYTES_PER_MB: usize = 1_000_000;
const ALLOWED: &str = "a whole number above 0";

/// Reads the limits of the VM from the settings `memory_mb` and `descriptors_max`; what is missing has a
/// default.
pub fn check(checker: &mut settings::Checker) -> memory_shares::VmLimits {
    let default = memory_shares::VmLimits::default();
    let memory_mb = checker.optional::<num::NonZeroUsize>("memory_mb", ALLOWED);
    let descriptors_max = checker.optional::<num::NonZeroUsize>("descriptors_max", ALLOWED);
    memory_shares::VmLimits {
        memory_bytes: memory_mb.map_or(default.memory_bytes, |memory_mb| {
            memory_mb.get().saturating_mul(BYTES_PER_MB)
        }),
        descriptors_max: descriptors_max.map_or(default.descriptors_max, num::NonZeroUsize::get),
    }
}
