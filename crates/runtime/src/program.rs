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
///
/// `run` gets the settings and a function that reads the file anew and says in the log whether a
/// restart would take it; what runs keeps the settings that it started with.
pub fn start<S, L, R>(command: clap::Command, load: L, run: R) -> process::ExitCode
where
    L: Fn(&path::Path) -> Result<S, settings::SettingsError> + 'static,
    R: FnOnce(S, Box<dyn Fn()>) -> Result<(), Box<dyn error::Error>>,
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
    let recheck = Box::new(move || match load(&file) {
        Ok(_) => {
            log::info!("program: event=settings_checked outcome=good in_force=at_next_start");
        }
        Err(error) => {
            log::error!("program: event=settings_checked outcome=refused error={error}");
        }
    });
    match run(settings, recheck) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}
