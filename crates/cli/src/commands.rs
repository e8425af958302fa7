//! Commands that plan or confirm a change.

use std::{fs, io::Read as _};

use clap::ArgMatches;
use pimentohook_core::{id, intent};
use pimentohook_wire::public;
use serde::de;

use crate::{CliError, UsageSnafu, entry_client};

/// Creates the plan for an intent and prints it.
pub fn intent(matches: &ArgMatches) -> Result<(), CliError> {
    let Some((kind, matches)) = matches.subcommand() else {
        let message = "an intent is required";
        return UsageSnafu { message }.fail();
    };
    let intent = match kind {
        "roll-out" => intent::Intent::RollOut {
            services: parse_services(matches)?,
            version: parse_argument(matches, "version")?,
        },
        "drain" => intent::Intent::Drain {
            vm: parse_argument(matches, "vm")?,
        },
        "restore" => intent::Intent::Restore {
            vm: parse_argument(matches, "vm")?,
        },
        _ => intent::Intent::Move {
            vm: parse_argument(matches, "vm")?,
            service: parse_argument(matches, "service")?,
        },
    };
    print_plan(matches, &intent)
}

/// Creates the plan for an intent in a JSON file and prints it.
pub fn plan_from_file(matches: &ArgMatches) -> Result<(), CliError> {
    let intent: intent::Intent = read_file(matches)?;
    print_plan(matches, &intent)
}

/// Confirms the plan in a JSON file.
pub fn confirm(matches: &ArgMatches) -> Result<(), CliError> {
    let client = entry_client::EntryClient::from_matches(matches)?;
    let plan: intent::Plan = read_file(matches)?;
    let confirmed: public::Confirmed = client.post("/v1/confirm", &plan)?;
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(confirmed));
    } else {
        println!("configuration {} is in force", confirmed.config_version);
    }
    Ok(())
}

fn print_plan(matches: &ArgMatches, intent: &intent::Intent) -> Result<(), CliError> {
    let client = entry_client::EntryClient::from_matches(matches)?;
    let plan: intent::Plan = client.post("/v1/intents", intent)?;
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(plan));
        return Ok(());
    }
    println!("plan {} against configuration {}", plan.id, plan.base);
    for step in &plan.steps {
        println!("  {} ({} replicas)", step.action, step.replica_count);
    }
    println!(
        "  at most {} from the origin, about {} ms, {} replicas keep serving",
        plan.origin_bytes, plan.estimated_ms, plan.serving_floor
    );
    println!(
        "to confirm: run this again with --json and pipe the output to `pimentohook confirm -`"
    );
    Ok(())
}

fn parse_services(matches: &ArgMatches) -> Result<Vec<id::ServiceName>, CliError> {
    let values = matches.get_many::<String>("service");
    let services = values.into_iter().flatten().map(|text| parse(text));
    services.collect()
}

fn parse_argument<T>(matches: &ArgMatches, id: &str) -> Result<T, CliError>
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    parse(matches.get_one::<String>(id).map_or("", String::as_str))
}

fn parse<T>(text: &str) -> Result<T, CliError>
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    text.parse()
        .map_err(|error: id::ParseError| CliError::Usage {
            message: error.to_string(),
        })
}

fn read_file<T>(matches: &ArgMatches) -> Result<T, CliError>
where
    T: de::DeserializeOwned,
{
    let path = matches.get_one::<String>("file").map_or("", String::as_str);
    let text = read_text(path)?;
    serde_json::from_str(&text).map_err(|error| CliError::Usage {
        message: format!("{path}: {error}"),
    })
}

/// Reads a file, or standard input if its path is `-`.
pub fn read_text(path: &str) -> Result<String, CliError> {
    let text = if path == "-" {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map(|_| text)
    } else {
        fs::read_to_string(path)
    };
    text.map_err(|error| CliError::Usage {
        message: format!("{path}: {error}"),
    })
}
