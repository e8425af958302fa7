//! Reads what the VM lets a process use.

use std::env;

use pimentohook_core::memory_shares;

use crate::settings;

/// The environment variable with the VM's memory in MB, used if the settings have no `memory_mb`.
pub const MEMORY_VARIABLE: &str = "PIMENTOHOOK_MEMORY_MB";
/// The environment variable with the VM's descriptors, used if the settings have no
/// `descriptors_max`.
pub const DESCRIPTORS_VARIABLE: &str = "PIMENTOHOOK_DESCRIPTORS_MAX";
const BYTES_PER_MB: usize = 1_000_000;
const ALLOWED: &str = "a whole number above 0";

/// Reads the limits of the VM from settings or the environment; what is missing has a default.
pub fn check(checker: &mut settings::Checker) -> memory_shares::VmLimits {
    let default = memory_shares::VmLimits::default();
    let memory_mb = number(checker, "memory_mb", MEMORY_VARIABLE);
    let descriptors_max = number(checker, "descriptors_max", DESCRIPTORS_VARIABLE);
    memory_shares::VmLimits {
        memory_bytes: memory_mb.map_or(default.memory_bytes, |memory_mb| {
            memory_mb.saturating_mul(BYTES_PER_MB)
        }),
        descriptors_max: descriptors_max.unwrap_or(default.descriptors_max),
    }
}

fn number(checker: &mut settings::Checker, key: &str, variable: &str) -> Option<usize> {
    if let Some(number) = checker.optional::<usize>(key, ALLOWED) {
        return Some(number);
    }
    let text = env::var(variable).unwrap_or_default();
    let text = text.trim();
    if text.is_empty() {
        return None;
    }
    let number = text.parse().ok();
    if number.is_none() {
        checker.push(variable, Some(String::from(text)), ALLOWED);
    }
    number
}
