//! The entry's program.

use std::{error, process};

use pimentohook_entry::{self as entry, settings};
use pimentohook_runtime::{logs, process as runtime_process, program};

fn main() -> process::ExitCode {
    let command = clap::Command::new("pimentohook-entry")
        .about("The entry process: callers, operators and duties; see examples/entry.yaml")
        .version(clap::crate_version!());
    program::start(command, settings::EntrySettings::from_file, run)
}

#[tokio::main(worker_threads = 4)]
async fn run(settings: settings::EntrySettings) -> Result<(), Box<dyn error::Error>> {
    let _logs = logs::start(&settings.log_level)?;
    let running = entry::start(settings).await?;
    runtime_process::wait_for_signal().await?;
    running.drain().await;
    Ok(())
}
