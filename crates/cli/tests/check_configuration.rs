//! The check of a configuration before it is sent.

use std::process;

use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

fn check(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pimentohook"))
        .arg("check-configuration")
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/configurations"))
        .output()
        .expect("pimentohook starts")
}

fn text(output: &process::Output) -> String {
    let code = output.status.code().unwrap_or(-1);
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!("exit code {code}\n{stdout}{stderr}")
}

#[rstest]
#[case::clean("clean", &["clean.json"])]
#[case::faulty("faulty", &["faulty.json"])]
#[case::unreadable("unreadable", &["unreadable.json"])]
#[case::missing("missing_configuration", &["missing.json"])]
#[case::same("same", &["clean.json", "--against", "clean.json"])]
#[case::differs("differs", &["faulty.json", "--against", "clean.json"])]
#[case::differs_back("differs_back", &["clean.json", "--against", "faulty.json"])]
#[case::json("as_json", &["faulty.json", "--against", "clean.json", "--json"])]
fn findings_and_differences_are_told(#[case] name: &str, #[case] arguments: &[&str]) {
    insta::assert_snapshot!(name, text(&check(arguments)));
}

fn odd_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!(-1)),
        Just(json!(0.5)),
        Just(json!("text")),
        Just(json!([])),
        Just(json!([1])),
        Just(json!({})),
    ]
}

fn clean() -> Value {
    serde_json::from_str(include_str!("configurations/clean.json")).expect("it is JSON")
}

proptest! {
    /// What entries don't take, the check doesn't either, whatever field is spoilt; and what they do take, it reads.
    #[test]
    fn the_check_reads_just_what_entries_read(
        list in prop::sample::select(vec!["Routes", "Services", "Tenants"]),
        index in 0_usize..2,
        field in 0_usize..12,
        value in odd_value(),
    ) {
        let mut configuration = clean();
        let entry = configuration[list][index].as_object_mut().expect("an entry");
        let names: Vec<String> = entry.keys().cloned().collect();
        entry[&names[field % names.len()]] = value;
        let content = configuration.to_string();
        let is_taken = pimentohook_platform::decode::route_table(&content).is_ok();
        let is_read = pimentohook_platform::decode::read_configuration(&content).is_ok();
        prop_assert_eq!(is_taken, is_read);
    }
}
