//! The check of a configuration before it is sent.

use clap::ArgMatches;
use pimentohook_core::configuration_check::{self, Difference, Finding, ReadConfiguration};
use pimentohook_platform::decode;
use serde_json::json;

use crate::{CliError, RefusedSnafu, commands};

/// Checks a configuration, and prints what is wrong with it and what it would change.
pub fn check(matches: &ArgMatches) -> Result<(), CliError> {
    let file = matches.get_one::<String>("file").map_or("", String::as_str);
    let read = read(file)?;
    let findings = configuration_check::findings(&read);
    let in_force = matches.get_one::<String>("against");
    let in_force = in_force.map(|file| self::read(file)).transpose()?;
    let differences = in_force.map(|in_force| configuration_check::differences(&in_force, &read));
    if matches.get_flag("json") {
        print_json(&findings, differences.as_deref());
    } else {
        print_text(file, &findings, differences.as_deref());
    }
    if findings.is_empty() {
        return Ok(());
    }
    let message = format!("{file}: {} findings", findings.len());
    RefusedSnafu { message }.fail()
}

fn read(file: &str) -> Result<ReadConfiguration, CliError> {
    let content = commands::read_text(file)?;
    decode::read_configuration(&content).map_err(|error| CliError::Usage {
        message: format!("{file}: entries can't read this configuration: {error}"),
    })
}

fn print_text(file: &str, findings: &[Finding], differences: Option<&[Difference]>) {
    for finding in findings {
        println!("{finding}");
    }
    if findings.is_empty() {
        println!("{file}: no findings");
    }
    for difference in differences.unwrap_or_default() {
        println!("{difference}");
    }
    if differences.is_some_and(<[Difference]>::is_empty) {
        println!("{file}: nothing differs for callers");
    }
}

fn print_json(findings: &[Finding], differences: Option<&[Difference]>) {
    let findings = findings.iter().map(|finding| {
        let problem: &str = (&finding.problem).into();
        let text = finding.problem.to_string();
        json!({"path": finding.path, "problem": problem, "text": text})
    });
    let findings: Vec<_> = findings.collect();
    let differences = differences.map(|differences| {
        let differences = differences.iter().map(|difference| {
            let change: &str = difference.change.into();
            json!({"change": change, "part": difference.part, "effect": difference.effect})
        });
        differences.collect::<Vec<_>>()
    });
    println!(
        "{}",
        json!({"findings": findings, "differences": differences})
    );
}
