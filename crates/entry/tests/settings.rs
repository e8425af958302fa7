//! Settings of the direct mode as a platform fills them in.

use std::time;

use pimentohook_entry::direct::settings::DirectSettings;
use pimentohook_runtime::settings::Checker;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../examples/entry-direct.yaml");

#[rstest]
#[case::as_given("3000", 3_000)]
#[case::none("", 2_000)]
#[case::so_short_that_the_store_would_be_asked_without_a_pause("0", 500)]
fn the_grace_of_a_configuration(#[case] given: &str, #[case] expected_ms: u64) {
    let line = "configuration_grace_ms: 2000";
    assert!(EXAMPLE.contains(line));
    let text = EXAMPLE.replace(line, &format!("configuration_grace_ms: {given}"));
    let settings = DirectSettings::check(Checker::from_text("entry.yaml", &text));
    let grace = settings.expect("good settings").configuration_grace;
    assert_eq!(grace, time::Duration::from_millis(expected_ms));
}
