//! Exit codes and error texts of the `pimentohook-agent` binary when it can't start.

use std::{net, path, process};

fn run_agent(settings: &str) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pimentohook-agent"))
        .arg(settings)
        .output()
        .expect("the agent's binary can be run")
}

#[test]
fn missing_settings_file_is_reported() {
    let output = run_agent("missing.yaml");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("missing.yaml"), "{stderr}");
}

#[test]
fn port_in_use_is_reported() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener
        .local_addr()
        .expect("the listener has an address")
        .to_string();
    let example_path =
        path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/agent.yaml");
    let settings = std::fs::read_to_string(example_path).expect("the example can be read");
    let listen_line = settings.lines().find(|line| line.starts_with("listen: "));
    let settings = settings.replace(
        listen_line.expect("the example has a listen line"),
        &format!("listen: {address}"),
    );
    let settings_path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("taken-agent.yaml");
    std::fs::write(&settings_path, settings).expect("the settings file can be written");
    let output = run_agent(&settings_path.display().to_string());
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr.contains(&format!("can't listen on {address}")),
        "{stderr}"
    );
}
