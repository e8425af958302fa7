//! The command-line interface for operators: validates settings, creates and confirms plans, and
//! shows the status of the fleet.
//!
//! * [`commands`]: commands that plan or confirm a change.
//! * [`queries`]: commands that read: validation of settings, status, and the burn report.
//! * [`configuration`]: the check of a configuration before it is sent.
//! * [`entry_client`]: the HTTP client for an entry.

mod commands;
mod configuration;
mod entry_client;
mod queries;

use std::process;

use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::Snafu;

/// The exit codes of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitStatus {
    Success = 0,
    Refused = 1,
    Usage = 2,
    Conflict = 3,
    Unreachable = 4,
}

impl From<ExitStatus> for process::ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// The error of a failed command.
#[derive(Debug, Snafu)]
enum CliError {
    /// The arguments, a file or the settings are invalid.
    #[snafu(display("{message}"))]
    Usage { message: String },
    /// The entry could not be reached or did not respond.
    #[snafu(display("{message}"))]
    Unreachable { message: String },
    /// The entry refused the request.
    #[snafu(display("{message}"))]
    Refused { message: String },
    /// Another operator has changed the configuration since the plan was computed.
    #[snafu(display("{message}"))]
    Conflict { message: String },
}

impl CliError {
    const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage { .. } => ExitStatus::Usage,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::Refused { .. } => ExitStatus::Refused,
            Self::Conflict { .. } => ExitStatus::Conflict,
        }
    }
}

fn main() -> process::ExitCode {
    let matches = cli().get_matches();
    match run(&matches) {
        Ok(()) => ExitStatus::Success.into(),
        Err(error) => {
            eprintln!("pimentohook: {error}");
            error.exit_status().into()
        }
    }
}

fn cli() -> Command {
    Command::new("pimentohook")
        .about("Operate a pimentohook fleet")
        .version(clap::crate_version!())
        .after_help(
            "Exit codes: 0 success, 1 refused, 2 invalid usage or settings, 3 conflict with another \
             operator's change, 4 entry unreachable.",
        )
        .subcommand_required(true)
        .subcommand(check())
        .subcommand(check_configuration())
        .subcommand(intent())
        .subcommand(
            with_entry_args(Command::new("plan").about("Show the plan for an intent written as JSON"))
                .arg(file_arg("A JSON file with the intent, or - for standard input")),
        )
        .subcommand(
            with_entry_args(
                Command::new("confirm").about("Confirm a plan that `intent --json` printed"),
            )
            .arg(file_arg("A JSON file with the plan, or - for standard input")),
        )
        .subcommand(with_entry_args(
            Command::new("status").about("Show the status of the fleet"),
        ))
        .subcommand(report())
}

fn check() -> Command {
    Command::new("check")
        .about("Validate a settings file and list every error in it")
        .arg(Arg::new("file").required(true).help("The settings file"))
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(["entry", "agent"])
                .help("The kind of process [default: agent if there is the key `vm`, otherwise entry]"),
        )
}

fn check_configuration() -> Command {
    Command::new("check-configuration")
        .about("Check a configuration for the platform before it is sent")
        .arg(file_arg(
            "A JSON file with the configuration, or - for standard input",
        ))
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .help("A JSON file with the configuration in force, to show what differs"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of text"),
        )
}

fn intent() -> Command {
    let service = || Arg::new("service").long("service").required(true);
    let vm = || Arg::new("vm").long("vm").required(true).help("The VM");
    Command::new("intent")
        .about("Show the plan for an intent; nothing changes until the plan is confirmed")
        .subcommand_required(true)
        .subcommand(
            with_entry_args(Command::new("roll-out").about("Roll out a version of weights"))
                .arg(
                    service()
                        .action(ArgAction::Append)
                        .help("A service; may be repeated"),
                )
                .arg(Arg::new("version").long("version").required(true)),
        )
        .subcommand(
            with_entry_args(Command::new("drain").about("Take a VM out of service")).arg(vm()),
        )
        .subcommand(
            with_entry_args(Command::new("restore").about("Return a drained VM to service"))
                .arg(vm()),
        )
        .subcommand(
            with_entry_args(
                Command::new("move").about("Drain a VM and move its engine to another service"),
            )
            .arg(vm())
            .arg(service().help("The service to move the engine to")),
        )
}

fn report() -> Command {
    Command::new("report")
        .about("Show a report")
        .subcommand_required(true)
        .subcommand(
            with_entry_args(
                Command::new("burn").about("Show how fast services use up their error budgets"),
            )
            .arg(
                Arg::new("html")
                    .long("html")
                    .value_name("FILE")
                    .help("Also write the report as a self-contained HTML page"),
            ),
        )
}

fn file_arg(help: &'static str) -> Arg {
    Arg::new("file").required(true).help(help)
}

/// Adds the arguments of a command that sends requests to an entry.
fn with_entry_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("entry")
                .long("entry")
                .required(true)
                .value_name("ADDRESS")
                .help("The IP address and port of an entry"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .help("A file with the operator's token [default: the environment variable PIMENTOHOOK_TOKEN]"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of text"),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("check", matches)) => queries::check(matches),
        Some(("check-configuration", matches)) => configuration::check(matches),
        Some(("intent", matches)) => commands::intent(matches),
        Some(("plan", matches)) => commands::plan_from_file(matches),
        Some(("confirm", matches)) => commands::confirm(matches),
        Some(("status", matches)) => queries::status(matches),
        Some(("report", matches)) => match matches.subcommand() {
            Some((_, matches)) => queries::burn(matches),
            None => UsageSnafu {
                message: "a report is required",
            }
            .fail(),
        },
        _ => UsageSnafu {
            message: "a command is required",
        }
        .fail(),
    }
}
