//! Demonstrates a rollout of new weights under live requests, in one process on loopback.

mod load;
mod summary;
mod timeline;

use std::{net, process, time};

use pimentohook_core::{burst, id, intent, size};
use pimentohook_runtime::client;
use pimentohook_standin::fleet;

use crate::summary::millis;

const READY_TIMEOUT: time::Duration = time::Duration::from_secs(15);
const ROLLOUT_TIMEOUT: time::Duration = time::Duration::from_secs(40);
const ROLLOUT_DELAY: time::Duration = time::Duration::from_millis(1_500);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
const FLAG_REPLICAS: &str = "replicas";

fn main() -> process::ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        clap::Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(clap::value_parser!(u64))
            .help(help)
    };
    let command = clap::Command::new("pimentohook-demo")
        .about("Roll out new weights under live requests, in one process on loopback")
        .arg(number(FLAG_REPLICAS, "24", "Number of model engines"))
        .arg(number("requests", "2000", "Number of requests"))
        .arg(number(
            "seed",
            "7",
            "Seed of the pseudo-random weights and requests",
        ))
        .arg(number("weights-mib", "64", "Size of version 2 in MiB"))
        .arg(number(
            "link-mib-s",
            "16",
            "Rate limit of each link in MiB/s",
        ))
        .arg(
            clap::Arg::new("policy")
                .long("policy")
                .default_value("origin_first")
                .value_parser(["origin_first", "time_first"])
                .help("What to minimise first: bytes from the origin or the time of the rollout"),
        )
        .arg(
            clap::Arg::new("json")
                .long("json")
                .action(clap::ArgAction::SetTrue)
                .help("Print the result as a JSON object on one line"),
        );
    let matches = command.get_matches();
    match run(&matches) {
        Ok(summary) => {
            summary::print(&summary, matches.get_flag("json"));
            if summary.is_correct() {
                process::ExitCode::SUCCESS
            } else {
                process::ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("demo: {error}");
            process::ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(matches: &clap::ArgMatches) -> Result<summary::Summary, Box<dyn std::error::Error>> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    let json = matches.get_flag("json");
    let link_rate = size::ByteRate::new(number("link-mib-s") << 20);
    let policy = matches.get_one::<String>("policy");
    let policy: burst::Policy = policy.map_or("origin_first", String::as_str).parse()?;
    let options = fleet::FleetOptions {
        replica_count: usize::try_from(number(FLAG_REPLICAS))?,
        plain_count: 3,
        entry_count: 6,
        v2_bytes: size::ByteCount::new(number("weights-mib") << 20),
        chunk_bytes: 512 << 10,
        link_rate,
        origin_rate: origin_rate(link_rate, policy),
        floor_percent: 75,
        policy,
        seed: number("seed"),
        ..fleet::FleetOptions::default()
    };
    let print_progress = |text: &str| {
        if !json {
            println!("{text}");
        }
    };
    print_progress("starting the fleet");
    let fleet = fleet::Fleet::start(&options).await?;
    if !fleet.wait_ready(READY_TIMEOUT).await {
        return Err("the fleet did not become ready in time".into());
    }
    print_progress("serving version 1; sending requests");
    let load = load::RequestLoad::start(&fleet, usize::try_from(number("requests"))?, options.seed);
    tokio::time::sleep(ROLLOUT_DELAY).await;
    let link_bytes_before = fleet.link_bytes();
    let version_before = confirm_rollout(&fleet).await?;
    print_progress("version 2 confirmed");
    load.set_rolling_out(true);
    let confirmed_at = time::Instant::now();
    let mut timeline = timeline::Timeline::new(confirmed_at, version_before);
    let is_live = wait_until_live(&fleet, &mut timeline, json).await;
    let time_to_live = confirmed_at.elapsed();
    load.set_rolling_out(false);
    print_progress("waiting for the last responses");
    let calls = load.finish().await;
    let lower_bound = link_rate.duration_of(options.v2_bytes);
    let mut summary = summary::Summary::of(&fleet, &calls);
    summary.policy = policy;
    summary.time_to_live_ms = if is_live { millis(time_to_live) } else { 0 };
    summary.lower_bound_ms = millis(lower_bound);
    summary.stages = timeline.stages();
    let link_copies = fleet.link_copies_since(&link_bytes_before);
    summary.max_link_copies = link_copies.into_iter().fold(0.0, f64::max);
    Ok(summary)
}

/// Returns the rate limit of the origin.
///
/// In the time in which the link of a VM receives one copy, the origin sends one if its bytes are to be
/// minimised, and three if the time is.
fn origin_rate(link_rate: size::ByteRate, policy: burst::Policy) -> size::ByteRate {
    match policy {
        burst::Policy::OriginFirst => link_rate,
        burst::Policy::TimeFirst => size::ByteRate::new(link_rate.get() * 3),
    }
}

/// Confirms the rollout of version 2; returns the version of the configuration that was in force.
async fn confirm_rollout(
    fleet: &fleet::Fleet,
) -> Result<id::ConfigVersion, Box<dyn std::error::Error>> {
    let client = client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED));
    let entry = fleet.entry_addresses[0];
    let intent = intent::Intent::RollOut {
        services: vec![fleet::MODEL_SERVICE.parse()?],
        version: "v2".parse()?,
    };
    let response = fleet::send_operator_request(&client, entry, "/v1/intents", Some(&intent)).await;
    let (status, body) = response.ok_or("the entry did not respond to the intent")?;
    if status != hyper::StatusCode::OK {
        return Err(String::from_utf8_lossy(&body).into());
    }
    let plan: intent::Plan = serde_json::from_slice(&body)?;
    let response = fleet::send_operator_request(&client, entry, "/v1/confirm", Some(&plan)).await;
    let (status, body) = response.ok_or("the entry did not respond to the confirmation")?;
    if status != hyper::StatusCode::OK {
        return Err(String::from_utf8_lossy(&body).into());
    }
    Ok(plan.base)
}

async fn wait_until_live(
    fleet: &fleet::Fleet,
    timeline: &mut timeline::Timeline,
    json: bool,
) -> bool {
    let deadline = time::Instant::now() + ROLLOUT_TIMEOUT;
    let started_at = time::Instant::now();
    let client = client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED));
    let mut last_printed = (0, 0);
    while time::Instant::now() < deadline {
        timeline.observe(fleet);
        let live = fleet.live_count();
        if !json {
            let held = held_count(&client, fleet).await;
            if last_printed != (held, live) {
                let elapsed_ms = millis(started_at.elapsed());
                let total = fleet.engine_vms.len();
                println!("{elapsed_ms:6} ms: version 2 held by {held}, live on {live} of {total}");
            }
            last_printed = (held, live);
        }
        if live == fleet.engine_vms.len() {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Returns the number of replicas that hold version 2 completely, as an entry reports it.
async fn held_count(client: &client::Client, fleet: &fleet::Fleet) -> u32 {
    let status = fleet::fetch_status(client, fleet.entry_addresses[0]).await;
    let service = status.and_then(|status| {
        let mut services = status.services.into_iter();
        services.find(|(name, _)| name.as_str() == fleet::MODEL_SERVICE)
    });
    service.map_or(0, |(_, status)| status.holding_count)
}
