//! The entry's program.

use std::{path, process};

use pimentohook_entry::{self as entry, settings};
use pimentohook_runtime::{logs, process as runtime_process};

const SETTINGS_FAULT: u8 = 2;

fn main() -> process::ExitCode {
    let command = clap::Command::new("pimentohook-entry")
        .about("The entry process: callers, operators and duties")
        .version(clap::crate_version!())
        .arg(
            clap::Arg::new("settings")
                .help("Settings in YAML; see examples/entry.yaml")
                .required(true),
        );
    let matches = command.get_matches();
    let path = matches.get_one::<String>("settings").map(path::Path::new);
    let Some(path) = path else {
        return process::ExitCode::from(SETTINGS_FAULT);
    };
    let settings = match settings::EntrySettings::from_file(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::from(SETTINGS_FAULT);
        }
    };
    match run(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

#[tokio::main(worker_threads = 4)]
async fn run(settings: settings::EntrySettings) -> Result<(), Box<dyn std::error::Error>> {
    let _logs = logs::start(&settings.log_level)?;
    let running = entry::start(settings).await?;
    runtime_process::wait_for_signal().await?;
    running.drain().await;
    Ok(())
}
