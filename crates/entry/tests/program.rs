//! Exit codes and error texts of the `pimentohook-entry` binary when it can't start, and its
//! reaction to signals.

use std::{net, path, process, thread, time};

fn run_entry(settings: &str) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pimentohook-entry"))
        .arg(settings)
        .output()
        .expect("the entry's binary can be run")
}

#[test]
fn missing_settings_file_is_reported() {
    let output = run_entry("missing.yaml");
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
        path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/entry.yaml");
    let settings = std::fs::read_to_string(example_path).expect("the example can be read");
    let listen_line = settings.lines().find(|line| line.starts_with("listen: "));
    let settings = settings.replace(
        listen_line.expect("the example has a listen line"),
        &format!("listen: {address}"),
    );
    let settings_path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("taken-entry.yaml");
    std::fs::write(&settings_path, settings).expect("the settings file can be written");
    let output = run_entry(&settings_path.display().to_string());
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr.contains(&format!("can't listen on {address}")),
        "{stderr}"
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
    let examples = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let settings = std::fs::read_to_string(examples.join("entry-direct.yaml"))
        .expect("the example can be read");
    let settings = settings.replace("leave_ms: 4500", "leave_ms: 10");
    let settings = settings.replace("127.0.0.1:720", "127.0.0.9:720");
    let settings_path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("hangup-entry.yaml");
    std::fs::write(&settings_path, settings).expect("the settings file can be written");
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_pimentohook-entry"))
        .env("PIMENTOHOOK_SETTINGS", &settings_path)
        .stdout(process::Stdio::null())
        .spawn()
        .expect("the entry's binary can be run");
    let started = time::Instant::now();
    while net::TcpStream::connect("127.0.0.9:7201").is_err() {
        assert!(started.elapsed() < time::Duration::from_secs(5));
        thread::sleep(time::Duration::from_millis(20));
    }
    send_signal("-HUP", &child);
    thread::sleep(time::Duration::from_millis(300));
    assert_eq!(child.try_wait().expect("the child can be polled"), None);
    send_signal("-TERM", &child);
    assert!(child.wait().expect("the child exits").success());
}
