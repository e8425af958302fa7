//! When a grantor may grant again after the store was restored from a copy.

use std::time::{Duration, Instant};

use pimentohook_agent::direct::ledger_recovery::Recovery;
use pimentohook_core::{
    burst::{Policy, ledger},
    id,
};

const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

const fn era(number: u64) -> id::StoreEra {
    id::StoreEra::new(number)
}

#[test]
fn the_first_era_that_is_named_delays_no_grants() {
    let now = Instant::now();
    let mut recovery = Recovery::default();
    assert!(recovery.is_ready(era(0), now, REPORT_TIMEOUT));
    recovery.note_era(era(4), now);
    assert!(recovery.is_ready(era(4), now, REPORT_TIMEOUT));
}

#[test]
fn nothing_is_granted_until_every_agent_could_report() {
    let now = Instant::now();
    let mut recovery = Recovery::default();
    recovery.note_era(era(1), now);
    assert!(
        !recovery.is_ready(era(2), now, REPORT_TIMEOUT),
        "not noticed yet"
    );
    recovery.note_era(era(2), now);
    let early = now + REPORT_TIMEOUT / 2;
    assert!(!recovery.is_ready(era(2), early, REPORT_TIMEOUT));
    assert!(recovery.is_ready(era(2), now + REPORT_TIMEOUT, REPORT_TIMEOUT));
    recovery.note_era(era(3), now + REPORT_TIMEOUT);
    assert!(!recovery.is_ready(era(3), now + REPORT_TIMEOUT, REPORT_TIMEOUT));
}

#[test]
fn a_ledger_is_complete_for_its_manifest_and_era_only() {
    let (first, second) = (id::Digest::of(b"first"), id::Digest::of(b"second"));
    let mut recovery = Recovery::default();
    recovery.record(first, era(1), &ledger::Ledger::new(4, Policy::OriginFirst));
    assert!(recovery.is_complete(first, era(1)));
    assert!(!recovery.is_complete(first, era(2)));
    assert!(!recovery.is_complete(second, era(1)));
}
