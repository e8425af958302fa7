//! The command line.

use std::{path, time};

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::hole;

/// What to list.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The reports, one of a day each.
    pub reports: Vec<path::PathBuf>,
    /// What counts as a hole.
    pub rule: hole::Rule,
}

/// Returns the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("pimentohook-holes")
        .about("List each two seconds of played days in which few requests were served in time")
        .after_help(
            "Returns 0 if there are none, 1 if there are some, 2 if a report can't be read.",
        )
        .arg(
            Arg::new("report")
                .help("A report of a day; its file's name names the day")
                .value_parser(value_parser!(path::PathBuf))
                .num_args(1..)
                .required(true),
        )
        .arg(
            Arg::new("under")
                .long("under")
                .value_name("SHARE")
                .help("The share of requests served in time under which a span is listed [0.7]")
                .value_parser(parse_share),
        )
        .arg(
            Arg::new("aftermath")
                .long("aftermath")
                .value_name("SECONDS")
                .help("How long before a span a fault that is listed may have ended [3]")
                .value_parser(value_parser!(u32)),
        )
}

fn parse_share(text: &str) -> Result<f64, String> {
    let share: f64 = text.parse().map_err(|_| String::from("it is no number"))?;
    if (0.0..=1.0).contains(&share) {
        Ok(share)
    } else {
        Err(String::from("a share is from 0 to 1"))
    }
}

impl From<&ArgMatches> for Settings {
    fn from(matches: &ArgMatches) -> Self {
        let reports = matches.get_many::<path::PathBuf>("report");
        let aftermath_s = matches.get_one::<u32>("aftermath").copied();
        let rule = hole::Rule::default();
        Self {
            reports: reports.into_iter().flatten().cloned().collect(),
            rule: hole::Rule {
                served_min: matches.get_one("under").copied().unwrap_or(rule.served_min),
                aftermath: aftermath_s
                    .map_or(rule.aftermath, |s| time::Duration::from_secs(s.into())),
            },
        }
    }
}
