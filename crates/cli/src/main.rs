//! The command line for operators: check settings, state intents, confirm plans, see how it goes.
//!
//! * [`commands`] changes something: an intent stated, a plan confirmed.
//! * [`queries`] reads something: settings checked, status, the burn report.
//! * [`remote`] talks to an entry.

mod commands;
mod queries;
mod remote;

use std::process;

use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::Snafu;

/// How a command ends, by its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exit {
    Success = 0,
    Refused = 1,
    Usage = 2,
    Conflict = 3,
    Unreachable = 4,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// A command that failed.
#[derive(Debug, Snafu)]
enum CliError {
    /// What was given can't be used.
    #[snafu(display("{message}"))]
    Usage { message: String },
    /// The entry did not answer.
    #[snafu(display("{message}"))]
    Unreachable { message: String },
    /// The entry refused.
    #[snafu(display("{message}"))]
    Refused { message: String },
    /// Another operator was faster.
    #[snafu(display("{message}"))]
    Conflict { message: String },
}

impl CliError {
    const fn exit(&self) -> Exit {
        match self {
            Self::Usage { .. } => Exit::Usage,
            Self::Unreachable { .. } => Exit::Unreachable,
            Self::Refused { .. } => Exit::Refused,
            Self::Conflict { .. } => Exit::Conflict,
        }
    }
}

fn main() -> process::ExitCode {
    let matches = cli().get_matches();
    match run(&matches) {
        Ok(()) => Exit::Success.into(),
        Err(error) => {
            eprintln!("pimentohook: {error}");
            error.exit().into()
        }
    }
}

fn cli() -> Command {
    Command::new("pimentohook")
        .about("Operate a pimentohook fleet")
        .version(clap::crate_version!())
        .after_help(
            "Exit codes: 0 done, 1 refused, 2 wrong use or settings, 3 another operator was \
             faster, 4 no entry answered.",
        )
        .subcommand_required(true)
        .subcommand(check())
        .subcommand(intent())
        .subcommand(
            with_entry(Command::new("plan").about("Show the plan for an intent written as JSON"))
                .arg(file("A file with the intent, or - for standard input")),
        )
        .subcommand(
            with_entry(
                Command::new("confirm").about("Confirm a plan that `intent --json` printed"),
            )
            .arg(file("A file with the plan, or - for standard input")),
        )
        .subcommand(with_entry(
            Command::new("status").about("Show how the fleet stands"),
        ))
        .subcommand(report())
}

fn check() -> Command {
    Command::new("check")
        .about("Check a settings file and name every fault in it")
        .arg(Arg::new("file").required(true).help("The settings file"))
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(["entry", "agent"])
                .help("What the settings are for [default: by the key `vm` or `entry`]"),
        )
}

fn intent() -> Command {
    let service = || Arg::new("service").long("service").required(true);
    let vm = || Arg::new("vm").long("vm").required(true).help("The VM");
    Command::new("intent")
        .about("State an intent and show its plan; nothing changes until it is confirmed")
        .subcommand_required(true)
        .subcommand(
            with_entry(Command::new("roll-out").about("Bring a version of weights into service"))
                .arg(
                    service()
                        .action(ArgAction::Append)
                        .help("A service; may be given again"),
                )
                .arg(Arg::new("version").long("version").required(true)),
        )
        .subcommand(with_entry(Command::new("drain").about("Take a VM out of service")).arg(vm()))
        .subcommand(with_entry(Command::new("restore").about("Take a drained VM back")).arg(vm()))
        .subcommand(
            with_entry(Command::new("move").about("Let an engine serve another service"))
                .arg(vm())
                .arg(service().help("The service that it is to serve")),
        )
}

fn report() -> Command {
    Command::new("report")
        .about("Reports")
        .subcommand_required(true)
        .subcommand(
            with_entry(Command::new("burn").about("How fast services use up their error budgets"))
                .arg(
                    Arg::new("html")
                        .long("html")
                        .value_name("FILE")
                        .help("Write a page that needs nothing else"),
                ),
        )
}

fn file(help: &'static str) -> Arg {
    Arg::new("file").required(true).help(help)
}

/// Adds the arguments of a command that talks to an entry.
fn with_entry(command: Command) -> Command {
    command
        .arg(
            Arg::new("entry")
                .long("entry")
                .required(true)
                .value_name("ADDRESS")
                .help("An entry's IP address and port"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .help("A file with the token [default: the variable PIMENTOHOOK_TOKEN]"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON for scripts"),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("check", matches)) => queries::check(matches),
        Some(("intent", matches)) => commands::intent(matches),
        Some(("plan", matches)) => commands::plan_file(matches),
        Some(("confirm", matches)) => commands::confirm(matches),
        Some(("status", matches)) => queries::status(matches),
        Some(("report", matches)) => match matches.subcommand() {
            Some((_, matches)) => queries::burn(matches),
            None => UsageSnafu {
                message: "name a report",
            }
            .fail(),
        },
        _ => UsageSnafu {
            message: "name a command",
        }
        .fail(),
    }
}
