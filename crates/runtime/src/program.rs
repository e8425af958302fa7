//! The main function that the programs with a settings file share.

use std::{env, error, path, process};

use crate::settings;

const SETTINGS_FAULT: u8 = 2;

/// The environment variable that names the settings file where the command line does not.
pub const SETTINGS_VARIABLE: &str = "PIMENTOHOOK_SETTINGS";

/// Reads the settings file that the command line or the environment names and runs the program with it.
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
        .value_parser(clap::value_parser!(path::PathBuf));
    let mut command = command.arg(argument);
    let matches = command.get_matches_mut();
    let named = matches.get_one::<path::PathBuf>("settings").cloned();
    let Some(file) = named.or_else(|| env::var_os(SETTINGS_VARIABLE).map(path::PathBuf::from))
    else {
        eprintln!(
            "name a settings file, or set {SETTINGS_VARIABLE}\n{}",
            command.render_usage()
        );
        return process::ExitCode::from(SETTINGS_FAULT);
    };
    let settings = match load(&file) {
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
