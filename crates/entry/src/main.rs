//! The `pimentohook-entry` binary.

use std::{error, process};

use pimentohook_entry::{self as entry, direct, direct::settings::Settings};
use pimentohook_runtime::{logs, process as runtime_process, program};

fn main() -> process::ExitCode {
    let command = clap::Command::new("pimentohook-entry")
        .about("The entry process: callers, operators and duties; see examples/entry.yaml")
        .version(clap::crate_version!());
    program::start(command, Settings::from_file, run)
}

#[tokio::main(worker_threads = 2)]
async fn run(settings: Settings, recheck: Box<dyn Fn()>) -> Result<(), Box<dyn error::Error>> {
    let _logs = logs::start(settings.log_level())?;
    match settings {
        Settings::Gateway(settings) => {
            let running = entry::start(*settings).await?;
            runtime_process::wait_for_signal(recheck).await?;
            running.drain().await;
        }
        Settings::Direct(settings) => {
            let running = direct::start(*settings).await?;
            runtime_process::wait_for_signal(recheck).await?;
            running.drain().await;
        }
    }
    Ok(())
}
