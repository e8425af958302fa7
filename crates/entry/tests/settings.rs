//! Tests of the settings of direct mode, with values that a platform may fill in.

use std::time;

use pimentohook_entry::direct::settings::DirectSettings;
use pimentohook_runtime::settings::Checker;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../examples/entry-direct.yaml");

#[rstest]
#[case::explicit("3000", 3_000)]
#[case::default("", 2_000)]
// A grace period this short would make the entry poll the store without a pause.
#[case::clamped_to_minimum("0", 500)]
fn configuration_grace_has_a_default_and_a_minimum(
    #[case] setting: &str,
    #[case] expected_ms: u64,
) {
    let line = "configuration_grace_ms: 2000";
    assert!(EXAMPLE.contains(line));
    let text = EXAMPLE.replace(line, &format!("configuration_grace_ms: {setting}"));
    let settings = DirectSettings::check(Checker::from_text("entry.yaml", &text));
    let grace = settings.expect("good settings").configuration_grace;
    assert_eq!(grace, time::Duration::from_millis(expected_ms));
}

/// A platform that knows no regions leaves the setting empty.
#[rstest]
#[case::filled_in(r#"{"domain-1":"north","domain-2":"south"}"#, Some("south"))]
#[case::empty("", None)]
fn the_regions_of_failure_domains_may_be_filled_in(
    #[case] setting: &str,
    #[case] expected: Option<&str>,
) {
    let line = "regions: {jylland: jylland}";
    assert!(EXAMPLE.contains(line));
    let text = EXAMPLE.replace(line, &format!("regions: {setting}"));
    let settings = DirectSettings::check(Checker::from_text("entry.yaml", &text));
    let regions = settings.expect("good settings").regions;
    assert_eq!(regions.region_of("domain-2"), expected);
    assert_eq!(regions.region_of("jylland"), None);
}
