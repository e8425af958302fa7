//! The main function of programs with a settings file.

use std::{env, error, path, process};

use crate::settings;

const EXIT_INVALID_SETTINGS: u8 = 2;

/// The environment variable with the path of the settings file, used if the command line has none.
pub const SETTINGS_VARIABLE: &str = "PIMENTOHOOK_SETTINGS";

/// Runs a program with the settings file that the command line or the environment specifies.
///
/// Errors are written to standard error. The exit code is 2 for wrong arguments or settings, and 1
/// if the program fails later.
///
/// `run` receives the settings and a function that reads the file again and logs whether it is
/// valid. The running program keeps the settings with which it started; a changed file takes effect
/// at the next start.
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
    let argument = matches.get_one::<path::PathBuf>("settings").cloned();
    let Some(file) = argument.or_else(|| env::var_os(SETTINGS_VARIABLE).map(path::PathBuf::from))
    else {
        eprintln!(
            "name a settings file, or set {SETTINGS_VARIABLE}\n{}",
            command.render_usage()
        );
        return process::ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match load(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::from(EXIT_INVALID_SETTINGS);
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
