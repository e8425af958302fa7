//! Commands that read without changing the fleet.

use std::{fs, path};

use clap::ArgMatches;
use pimentohook_agent::direct::settings as agent_settings;
use pimentohook_core::report;
use pimentohook_entry::direct::settings as entry_settings;
use pimentohook_runtime::settings;
use pimentohook_wire::public;

use crate::{CliError, UsageSnafu, entry_client};

/// Validates a settings file and prints the result.
pub fn check(matches: &ArgMatches) -> Result<(), CliError> {
    let file = matches.get_one::<String>("file").map_or("", String::as_str);
    let checker = settings::Checker::from_file(path::Path::new(file));
    let kind = matches.get_one::<String>("kind").map(String::as_str);
    let kind = kind.unwrap_or_else(|| if checker.has("vm") { "agent" } else { "entry" });
    let result = if kind == "agent" {
        agent_settings::Settings::check(checker).map(|_| ())
    } else {
        entry_settings::Settings::check(checker).map(|_| ())
    };
    match result {
        Ok(()) => {
            println!("{file}: valid settings for an {kind}");
            Ok(())
        }
        Err(error) => {
            let message = error.to_string();
            UsageSnafu { message }.fail()
        }
    }
}

/// Prints the status of the fleet.
pub fn status(matches: &ArgMatches) -> Result<(), CliError> {
    let client = entry_client::EntryClient::from_matches(matches)?;
    let status: public::Status = client.get("/v1/status")?;
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(status));
        return Ok(());
    }
    let platform = if status.platform_reachable {
        "reachable"
    } else {
        "not reachable: serving on, accepting nothing"
    };
    println!(
        "{}: configuration {}, platform {platform}",
        status.entry, status.config_version
    );
    if status.behind_count > 0 {
        println!(
            "  {} agents have an older configuration",
            status.behind_count
        );
    }
    for (service, service_status) in &status.services {
        let version = service_status
            .version
            .as_ref()
            .map_or("plain", |text| text.as_str());
        println!(
            "  {service}: {version} live on {} of {}, {} take work",
            service_status.live_count, service_status.replica_count, service_status.open_count
        );
    }
    for vm in &status.draining {
        println!("  draining: {vm}");
    }
    Ok(())
}

/// Prints the error budget burn report, and writes it as an HTML page if requested.
pub fn burn(matches: &ArgMatches) -> Result<(), CliError> {
    let client = entry_client::EntryClient::from_matches(matches)?;
    let report: report::BurnReport = client.get("/v1/burn")?;
    if let Some(file) = matches.get_one::<String>("html") {
        let written = fs::write(file, report::page::to_html(&report));
        written.map_err(|error| CliError::Usage {
            message: format!("{file}: {error}"),
        })?;
    }
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(report));
    } else {
        print!("{}", report::page::to_text(&report));
    }
    Ok(())
}
