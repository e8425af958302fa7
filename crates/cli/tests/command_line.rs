//! The command line: settings checked, wrong use refused, exit codes.

use std::{path, process};

use rstest::rstest;

fn pimentohook(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pimentohook"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .env_remove("PIMENTOHOOK_TOKEN")
        .output()
        .expect("the command line runs")
}

fn text(output: &process::Output) -> String {
    let code = output.status.code().unwrap_or(-1);
    let out = String::from_utf8_lossy(&output.stdout);
    let error = String::from_utf8_lossy(&output.stderr);
    format!("exit code {code}\n{out}{error}")
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
fn bad_settings_are_refused_with_every_fault(#[case] file: &str, #[case] kind: &str) {
    let path = format!("tests/bad/{file}.yaml");
    let output = pimentohook(&["check", &path, "--kind", kind]);
    insta::assert_snapshot!(file, text(&output));
}

#[rstest]
#[case("entry")]
#[case("agent")]
#[case("entry-direct")]
#[case("agent-direct")]
fn the_examples_are_good_settings(#[case] name: &str) {
    let examples = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let file = examples.join(format!("{name}.yaml"));
    let output = pimentohook(&["check", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
}

#[rstest]
#[case::no_token("no_token", &["status", "--entry", "127.0.0.1:1"])]
#[case::no_address("no_address", &["status", "--entry", "somewhere"])]
#[case::bad_name("bad_name", &["intent", "drain", "--vm", "a b", "--entry", "127.0.0.1:1"])]
#[case::no_file("no_file", &["confirm", "missing.json", "--entry", "127.0.0.1:1", "--token-file", "tests/bad/not-yaml.yaml"])]
#[case::nobody("nobody", &["status", "--entry", "127.0.0.1:1", "--token-file", "tests/bad/not-yaml.yaml"])]
fn wrong_use_is_told(#[case] name: &str, #[case] arguments: &[&str]) {
    insta::assert_snapshot!(name, text(&pimentohook(arguments)));
}

#[test]
fn help_names_the_exit_codes() {
    insta::assert_snapshot!("help", text(&pimentohook(&["--help"])));
}
