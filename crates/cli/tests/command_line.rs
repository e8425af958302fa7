//! Tests the command line: validation of settings, error messages and exit codes.

use std::{path, process};

use rstest::rstest;

fn pimentohook(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pimentohook"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .env_remove("PIMENTOHOOK_TOKEN")
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
#[case("entry-empty", "entry")]
#[case("entry-typos", "entry")]
#[case("agent-wrong", "agent")]
#[case("agent-no-store", "agent")]
#[case("entry-direct-wrong", "entry")]
#[case("agent-direct-wrong", "agent")]
#[case("not-yaml", "entry")]
#[case("missing", "entry")]
fn invalid_settings_are_rejected_with_every_error(#[case] file: &str, #[case] kind: &str) {
    let path = format!("tests/bad/{file}.yaml");
    let output = pimentohook(&["check", &path, "--kind", kind]);
    insta::assert_snapshot!(file, text(&output));
}

#[rstest]
#[case("entry")]
#[case("agent")]
#[case("entry-direct")]
#[case("agent-direct")]
fn example_settings_are_valid(#[case] name: &str) {
    let examples = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let file = examples.join(format!("{name}.yaml"));
    let output = pimentohook(&["check", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
}

#[rstest]
#[case::missing_token("missing_token", &["status", "--entry", "127.0.0.1:1"])]
#[case::invalid_address("invalid_address", &["status", "--entry", "somewhere"])]
#[case::invalid_name("invalid_name", &["intent", "drain", "--vm", "a b", "--entry", "127.0.0.1:1"])]
#[case::missing_file("missing_file", &["confirm", "missing.json", "--entry", "127.0.0.1:1", "--token-file", "tests/bad/not-yaml.yaml"])]
#[case::unreachable_entry("unreachable_entry", &["status", "--entry", "127.0.0.1:1", "--token-file", "tests/bad/not-yaml.yaml"])]
fn invalid_usage_is_reported(#[case] name: &str, #[case] arguments: &[&str]) {
    insta::assert_snapshot!(name, text(&pimentohook(arguments)));
}

#[test]
fn help_lists_the_exit_codes() {
    insta::assert_snapshot!("help", text(&pimentohook(&["--help"])));
}
