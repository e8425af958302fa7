//! The program: what it says when it can't start.

use std::{net, path, process};

fn run(settings: &str) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pimentohook-agent"))
        .arg(settings)
        .output()
        .expect("the program runs")
}

#[test]
fn missing_settings_are_told() {
    let output = run("missing.yaml");
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("missing.yaml"), "{error}");
}

#[test]
fn a_taken_port_is_told() {
    let taken = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address").to_string();
    let example = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/agent.yaml");
    let text = std::fs::read_to_string(example).expect("the example");
    let listen = text.lines().find(|line| line.starts_with("listen: "));
    let text = text.replace(
        listen.expect("a listen line"),
        &format!("listen: {address}"),
    );
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("taken-agent.yaml");
    std::fs::write(&file, text).expect("settings can be written");
    let output = run(&file.display().to_string());
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        error.contains(&format!("can't listen on {address}")),
        "{error}"
    );
}
