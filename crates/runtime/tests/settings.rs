//! Tests that the settings checker reports all errors together, and that no input makes it panic.

use std::net;

use pimentohook_runtime::settings::Checker;
use proptest::prelude::*;
use rstest::rstest;

fn check(text: &str) -> Result<(), String> {
    let mut checker = Checker::from_text("test.yaml", text);
    let _: Option<net::SocketAddr> = checker.required("listen", "an IP address and port");
    checker.number("count", 1, 1..=9);
    checker.list::<u16>("ports", "a port");
    checker.map::<u8>("ranks", "a rank");
    checker.sections("parts", |_, part| {
        part.number("size", 1, 1..=9);
        Some(())
    });
    checker.finish().map_err(|error| error.to_string())
}

proptest! {
    #[test]
    fn arbitrary_text_does_not_panic(text in "[a-z:\\[\\]{}\\-#&*!|>'\"%@`0-9 \n]{0,200}") {
        let _ = check(&text);
    }
}

#[test]
fn all_errors_are_reported_together() {
    let text = "listen: here\ncount: 10\nports: [1, x]\nranks: {a: b, c: [1]}\n\
                parts: {a: {size: big, sise: 1}}\nmore: 1";
    insta::assert_snapshot!(check(text).expect_err("invalid settings"), @r"
    test.yaml has 8 fault(s):
      listen: here; allowed: an IP address and port
      count: 10; allowed: a whole number from 1 to 9
      ports[1]: x; allowed: a port
      ranks.a: b; allowed: a rank
      ranks.c: - 1; allowed: a rank
      parts.a.size: big; allowed: a whole number from 1 to 9
      parts.a.sise: 1; allowed: one of the keys size
      more: 1; allowed: one of the keys listen, count, ports, ranks, parts
    ");
}

/// A platform fills in JSON, or nothing.
#[rstest]
#[case::json(r#"{"a":"1","b":2}"#, &[("a", 1), ("b", 2)])]
#[case::empty("{}", &[])]
#[case::nothing("", &[])]
fn a_mapping_may_be_filled_in(#[case] text: &str, #[case] expected: &[(&str, u8)]) {
    let mut checker = Checker::from_text("test.yaml", &format!("ranks: {text}"));
    let ranks = checker.map::<u8>("ranks", "a rank");
    checker.finish().expect("valid settings");
    let ranks: Vec<_> = ranks
        .iter()
        .map(|(name, rank)| (name.as_str(), *rank))
        .collect();
    assert_eq!(ranks, expected);
}

#[test]
fn valid_settings_are_accepted() {
    let text = "listen: 127.0.0.1:80\ncount: 9\nports: [1, 2]\nparts: {a: {size: 3}}";
    assert_eq!(check(text), Ok(()));
}

/// A file goes before variables, which hold values of any form or nothing.
#[test]
fn what_a_file_lacks_is_read_from_variables() {
    let variables = [
        ("PIMENTOHOOK_SETTING_COUNT", "3"),
        ("PIMENTOHOOK_SETTING_PORTS", "[1, 2]"),
        ("PIMENTOHOOK_SETTING_RATE", ""),
        ("COUNT", "9"),
    ];
    let variables = variables.map(|(name, text)| (String::from(name), String::from(text)));
    let mut checker = Checker::from_text("test.yaml", "ports: [7]").with_variables(variables);
    assert_eq!(checker.number("count", 1, 1..=9), 3);
    assert_eq!(checker.list::<u16>("ports", "a port"), [7]);
    assert_eq!(checker.optional::<u64>("rate", "a rate"), None);
    checker.finish().expect("valid settings");
}

#[test]
fn variables_that_are_unknown_or_no_yaml_are_errors() {
    let variables = [
        ("PIMENTOHOOK_SETTING_COUNT", "[1"),
        ("PIMENTOHOOK_SETTING_COUNTS", "3"),
    ];
    let variables = variables.map(|(name, text)| (String::from(name), String::from(text)));
    let mut checker = Checker::from_text("test.yaml", "{}").with_variables(variables);
    checker.number("count", 1, 1..=9);
    let error = checker.finish().expect_err("invalid settings");
    let faults = error.faults.iter().map(|fault| fault.key.as_str());
    assert_eq!(
        faults.collect::<Vec<_>>(),
        ["PIMENTOHOOK_SETTING_COUNT", "counts"]
    );
}
