//! The agent's program.

use std::{path, process};

use pimentohook_agent::{self as agent, settings};
use pimentohook_runtime::{logs, process as runtime_process};

const SETTINGS_FAULT: u8 = 2;

fn main() -> process::ExitCode {
    let command = clap::Command::new("pimentohook-agent")
        .about("The agent in the slot of an upstream VM")
        .version(clap::crate_version!())
        .arg(
            clap::Arg::new("settings")
                .help("Settings in YAML; see examples/agent.yaml")
                .required(true),
        );
    let matches = command.get_matches();
    let path = matches.get_one::<String>("settings").map(path::Path::new);
    let Some(path) = path else {
        return process::ExitCode::from(SETTINGS_FAULT);
    };
    let settings = match settings::AgentSettings::from_file(path) {
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

#[tokio::main(worker_threads = 2)]
async fn run(settings: settings::AgentSettings) -> Result<(), Box<dyn std::error::Error>> {
    let _logs = logs::start(&settings.log_level)?;
    let running = agent::start(settings).await?;
    runtime_process::wait_for_signal().await?;
    running.drain().await;
    Ok(())
}
