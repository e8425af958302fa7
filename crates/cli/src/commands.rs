//! Commands that change something, or prepare a change.

use std::{fs, io::Read as _};

use clap::ArgMatches;
use pimentohook_core::{id, intent};
use pimentohook_wire::public;
use serde::de;

use crate::{CliError, UsageSnafu, remote};

/// States an intent and shows its plan.
pub fn intent(matches: &ArgMatches) -> Result<(), CliError> {
    let Some((kind, matches)) = matches.subcommand() else {
        let message = "name an intent";
        return UsageSnafu { message }.fail();
    };
    let intent = match kind {
        "roll-out" => intent::Intent::RollOut {
            services: services(matches)?,
            version: name(matches, "version")?,
        },
        "drain" => intent::Intent::Drain {
            vm: name(matches, "vm")?,
        },
        "restore" => intent::Intent::Restore {
            vm: name(matches, "vm")?,
        },
        _ => intent::Intent::Move {
            vm: name(matches, "vm")?,
            service: name(matches, "service")?,
        },
    };
    plan(matches, &intent)
}

/// Shows the plan for an intent in a file.
pub fn plan_file(matches: &ArgMatches) -> Result<(), CliError> {
    let intent: intent::Intent = read_file(matches)?;
    plan(matches, &intent)
}

/// Confirms a plan in a file.
pub fn confirm(matches: &ArgMatches) -> Result<(), CliError> {
    let remote = remote::Remote::from_matches(matches)?;
    let plan: intent::Plan = read_file(matches)?;
    let confirmed: public::Confirmed = remote.post("/v1/confirm", &plan)?;
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(confirmed));
    } else {
        println!("configuration {} is in force", confirmed.config_version);
    }
    Ok(())
}

fn plan(matches: &ArgMatches, intent: &intent::Intent) -> Result<(), CliError> {
    let remote = remote::Remote::from_matches(matches)?;
    let plan: intent::Plan = remote.post("/v1/intents", intent)?;
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
    println!("to confirm: repeat with --json and give the output to `pimentohook confirm -`");
    Ok(())
}

fn services(matches: &ArgMatches) -> Result<Vec<id::ServiceName>, CliError> {
    let given = matches.get_many::<String>("service");
    let parsed = given.into_iter().flatten().map(|text| parse(text));
    parsed.collect()
}

fn name<T>(matches: &ArgMatches, argument: &str) -> Result<T, CliError>
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    parse(
        matches
            .get_one::<String>(argument)
            .map_or("", String::as_str),
    )
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
    let text = if path == "-" {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map(|_| text)
    } else {
        fs::read_to_string(path)
    };
    let message = |error: String| format!("{path}: {error}");
    let text = text.map_err(|error| CliError::Usage {
        message: message(error.to_string()),
    })?;
    serde_json::from_str(&text).map_err(|error| CliError::Usage {
        message: message(error.to_string()),
    })
}
