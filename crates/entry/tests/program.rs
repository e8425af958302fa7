//! Tests of the program: start-up errors and signals.

use std::{net, path, process, thread, time};

fn run_program(settings: &str) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pimentohook-entry"))
        .arg(settings)
        .output()
        .expect("the program runs")
}

#[test]
fn missing_settings_file_is_reported() {
    let output = run_program("missing.yaml");
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("missing.yaml"), "{error}");
}

#[test]
fn port_in_use_is_reported() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let example = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/entry.yaml");
    let text = std::fs::read_to_string(example).expect("the example");
    let listen = text.lines().find(|line| line.starts_with("listen: "));
    let text = text.replace(
        listen.expect("a listen line"),
        &format!("listen: {address}"),
    );
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("taken-entry.yaml");
    std::fs::write(&file, text).expect("settings can be written");
    let output = run_program(&file.display().to_string());
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        error.contains(&format!("can't listen on {address}")),
        "{error}"
    );
}

fn send_signal(signal: &str, child: &process::Child) {
    let status = process::Command::new("kill")
        .args([signal, &child.id().to_string()])
        .status();
    assert!(status.expect("kill runs").success());
}

#[test]
fn sighup_keeps_the_program_running_and_sigterm_exits_cleanly() {
    let example = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let text = std::fs::read_to_string(example.join("entry-direct.yaml")).expect("the example");
    let text = text.replace("leave_ms: 4500", "leave_ms: 10");
    let text = text.replace("127.0.0.1:720", "127.0.0.9:720");
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("hangup-entry.yaml");
    std::fs::write(&file, text).expect("settings can be written");
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_pimentohook-entry"))
        .env("PIMENTOHOOK_SETTINGS", &file)
        .stdout(process::Stdio::null())
        .spawn()
        .expect("the program runs");
    let started = time::Instant::now();
    while net::TcpStream::connect("127.0.0.9:7201").is_err() {
        assert!(started.elapsed() < time::Duration::from_secs(5));
        thread::sleep(time::Duration::from_millis(20));
    }
    send_signal("-HUP", &child);
    thread::sleep(time::Duration::from_millis(300));
    assert_eq!(child.try_wait().expect("a child"), None);
    send_signal("-TERM", &child);
    assert!(child.wait().expect("an end").success());
}
