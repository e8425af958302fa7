//! The main function that the programs with a settings file share.

use std::{error, path, process};

use crate::settings;

const SETTINGS_FAULT: u8 = 2;

/// Reads the settings file that the command line names and runs the program with it.
///
/// Faults go to standard error. The exit code is 2 for wrong use or settings and 1 for anything
/// that ends the program before its time.
pub fn start<S, L, R>(command: clap::Command, load: L, run: R) -> process::ExitCode
where
    L: FnOnce(&path::Path) -> Result<S, settings::SettingsError>,
    R: FnOnce(S) -> Result<(), Box<dyn error::Error>>,
{
    let argument = clap::Arg::new("settings")
        .help("Settings in YAML")
        .value_parser(clap::value_parser!(path::PathBuf))
        .required(true);
    let matches = command.arg(argument).get_matches();
    let Some(file) = matches.get_one::<path::PathBuf>("settings") else {
        return process::ExitCode::from(SETTINGS_FAULT);
    };
    let settings = match load(file) {
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
