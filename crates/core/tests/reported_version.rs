//! What heartbeats say of newer versions of the configuration.

use std::time::Duration;

use pimentohook_core::{clock::BootInstant, reported_version::ReportedVersion};

fn at(millis: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_millis(60_000 + millis))
}

#[test]
fn the_first_report_of_a_version_counts() {
    let reported = ReportedVersion::default()
        .after(3, at(0), None)
        .after(5, at(100), None)
        .after(5, at(200), None)
        .after(4, at(300), Some("entry-1"));
    assert_eq!(reported.version(), 5);
    assert_eq!(reported.reported_at(), Some(at(100)));
    assert_eq!(reported.neighbour(), None);
}

#[test]
fn the_last_neighbour_is_asked_and_the_first_one_counts() {
    let reported = ReportedVersion::default()
        .after(5, at(100), None)
        .after(5, at(200), Some("entry-1"))
        .after(5, at(300), Some("entry-2"))
        .after(5, at(400), None);
    let neighbour = reported.neighbour().expect("a neighbour");
    assert_eq!(neighbour.entry, "entry-2");
    assert_eq!(neighbour.since, at(200));
}

#[test]
fn a_newer_version_forgets_who_had_the_one_before() {
    let reported = ReportedVersion::default()
        .after(5, at(100), Some("entry-1"))
        .after(6, at(200), None);
    assert_eq!(reported.neighbour(), None);
    assert_eq!(reported.reported_at(), Some(at(200)));
}
