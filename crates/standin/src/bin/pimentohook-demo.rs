//! Demonstrates a rollout of new weights under live requests, in one process on loopback.

use std::{net, process, sync, sync::atomic, time};

use pimentohook_core::{burst, id, intent, size};
use pimentohook_runtime::client;
use pimentohook_standin::{caller, fleet};
use rand::{RngExt as _, SeedableRng as _};
use serde::Serialize;

const READY_TIMEOUT: time::Duration = time::Duration::from_secs(15);
const ROLLOUT_TIMEOUT: time::Duration = time::Duration::from_secs(40);
const ROLLOUT_DELAY: time::Duration = time::Duration::from_millis(1_500);
const CALL_DEADLINE: time::Duration = time::Duration::from_secs(8);
const ATTEMPTS_MAX: u64 = 40;
const ORGANISATION_COUNT: u32 = 10;
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
const LOAD_DURATION: time::Duration = time::Duration::from_secs(7);
const FLAG_REPLICAS: &str = "replicas";

/// The result of the demonstration; its fields are the keys of the JSON output.
#[derive(Debug, Default, Serialize)]
struct Summary {
    replicas: usize,
    policy: burst::Policy,
    /// The time from the confirmation until every replica serves version 2; 0 after a timeout.
    time_to_live_ms: u64,
    /// The time in which one link carries one copy of version 2.
    lower_bound_ms: u64,
    origin_copies: f64,
    max_link_copies: f64,
    requests_sent: usize,
    /// The number of requests with a complete and correct response.
    answered_whole: usize,
    refused_not_run: usize,
    outcome_unknown: usize,
    answered_wrong: usize,
    /// The number of non-idempotent requests that ran more than once.
    doubled: usize,
    /// The number of requests that ended in any other way, such as an interrupted response.
    lost: usize,
    mixed_weights: u32,
    p50_ms: u64,
    p99_ms: u64,
    /// For requests that were not sent during the rollout, so also for those sent after it.
    first_byte_p99_before_ms: u64,
    first_byte_p99_during_ms: u64,
    /// The number of refusals, which includes those of requests that a retry completed.
    not_run_told: usize,
}

impl Summary {
    fn is_correct(&self) -> bool {
        let error_count = self.answered_wrong + self.doubled + self.lost;
        error_count == 0 && self.mixed_weights == 0 && self.time_to_live_ms > 0
    }
}

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
            print_summary(&summary, matches.get_flag("json"));
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

fn print_summary(summary: &Summary, json: bool) {
    if json {
        println!("{}", serde_json::to_string(summary).unwrap_or_default());
        return;
    }
    println!(
        "version 2 live on {} replicas after {} ms (one copy over one link: {} ms)",
        summary.replicas, summary.time_to_live_ms, summary.lower_bound_ms
    );
    println!(
        "copies: {:.2} from the origin, {:.2} over the busiest link",
        summary.origin_copies, summary.max_link_copies
    );
    println!(
        "requests: {} sent, {} completed, {} refused, {} with unknown outcome",
        summary.requests_sent,
        summary.answered_whole,
        summary.refused_not_run,
        summary.outcome_unknown
    );
    println!(
        "errors: {} wrong responses, {} run twice, {} lost, {} with mixed weights",
        summary.answered_wrong, summary.doubled, summary.lost, summary.mixed_weights
    );
    println!(
        "latency: p50 {} ms, p99 {} ms",
        summary.p50_ms, summary.p99_ms
    );
}

#[tokio::main]
async fn run(matches: &clap::ArgMatches) -> Result<Summary, Box<dyn std::error::Error>> {
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
    let load = RequestLoad::start(&fleet, usize::try_from(number("requests"))?, options.seed);
    tokio::time::sleep(ROLLOUT_DELAY).await;
    confirm_rollout(&fleet).await?;
    print_progress("version 2 confirmed");
    load.is_rolling_out.store(true, atomic::Ordering::Relaxed);
    let confirmed_at = time::Instant::now();
    let is_live = wait_until_live(&fleet, json).await;
    let time_to_live = confirmed_at.elapsed();
    load.is_rolling_out.store(false, atomic::Ordering::Relaxed);
    print_progress("waiting for the last responses");
    let calls = load.finish().await;
    let lower_bound = link_rate.duration_of(options.v2_bytes);
    let mut summary = summarise(&fleet, &calls);
    summary.policy = policy;
    summary.time_to_live_ms = if is_live { millis(time_to_live) } else { 0 };
    summary.lower_bound_ms = millis(lower_bound);
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

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

async fn confirm_rollout(fleet: &fleet::Fleet) -> Result<(), Box<dyn std::error::Error>> {
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
    Ok(())
}

async fn wait_until_live(fleet: &fleet::Fleet, json: bool) -> bool {
    let deadline = time::Instant::now() + ROLLOUT_TIMEOUT;
    let started_at = time::Instant::now();
    let client = client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED));
    let mut last_printed = (0, 0);
    while time::Instant::now() < deadline {
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

/// The result of one request, retries included.
#[derive(Debug)]
struct CallResult {
    request_ids: Vec<id::RequestId>,
    idempotent: bool,
    outcome: caller::Outcome,
    is_correct: bool,
    refusal_count: usize,
    sent_during_rollout: bool,
}

struct RequestLoad {
    is_rolling_out: sync::Arc<atomic::AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<CallResult>>,
}

impl RequestLoad {
    fn start(fleet: &fleet::Fleet, count: usize, seed: u64) -> Self {
        let is_rolling_out = sync::Arc::new(atomic::AtomicBool::new(false));
        let caller = caller::Caller::new();
        let first_entry = fleet.entry_addresses[0];
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let tasks = (0..count).map(|index| {
            let load_duration_ms = millis(LOAD_DURATION);
            let start_ms = load_duration_ms * index as u64 / count.max(1) as u64;
            let is_plain = rng.random_ratio(1, 5);
            let idempotent = !is_plain && rng.random_ratio(3, 4);
            let tokens = rng.random_range(8..24);
            let organisation = rng.random_range(0..ORGANISATION_COUNT);
            let request = LoadRequest {
                index,
                start_delay: time::Duration::from_millis(start_ms),
                is_plain,
                idempotent,
                body: format!("tokens={tokens} draft {index}"),
                organisation: format!("organisation-{organisation}"),
            };
            let (caller, is_rolling_out) = (caller.clone(), is_rolling_out.clone());
            tokio::spawn(request.run(caller, first_entry, is_rolling_out))
        });
        let tasks = tasks.collect();
        Self {
            is_rolling_out,
            tasks,
        }
    }

    async fn finish(self) -> Vec<Option<CallResult>> {
        let mut results = Vec::new();
        for task in self.tasks {
            results.push(task.await.ok());
        }
        results
    }
}

struct LoadRequest {
    index: usize,
    start_delay: time::Duration,
    is_plain: bool,
    idempotent: bool,
    body: String,
    organisation: String,
}

impl LoadRequest {
    async fn run(
        self,
        caller: caller::Caller,
        first_entry: net::SocketAddr,
        is_rolling_out: sync::Arc<atomic::AtomicBool>,
    ) -> CallResult {
        tokio::time::sleep(self.start_delay).await;
        let sent_during_rollout = is_rolling_out.load(atomic::Ordering::Relaxed);
        let entries = caller.entries(first_entry).await;
        let addresses = entries.map_or_else(|| vec![first_entry], |entries| entries.addresses);
        let mut result = CallResult {
            request_ids: Vec::new(),
            idempotent: self.idempotent,
            outcome: caller::Outcome::Unknown,
            is_correct: false,
            refusal_count: 0,
            sent_during_rollout,
        };
        for attempt in 0..ATTEMPTS_MAX {
            // A request that was refused as not run is retried as a new request with a new id.
            let name = format!("demo-{}-{attempt}", self.index);
            let Ok(request_id) = name.parse::<id::RequestId>() else {
                return result;
            };
            let spec = self.spec(request_id.clone());
            let entry =
                addresses[(self.index + usize::try_from(attempt).unwrap_or(0)) % addresses.len()];
            result.request_ids.push(request_id);
            result.outcome = caller.send(entry, &addresses, &spec).await;
            match &result.outcome {
                caller::Outcome::NotRun { retry_after, .. } => {
                    result.refusal_count += 1;
                    tokio::time::sleep(*retry_after).await;
                }
                caller::Outcome::Completed { text, .. } => {
                    result.is_correct = *text == spec.expected_response(self.is_plain);
                    return result;
                }
                _ => return result,
            }
        }
        result
    }

    fn spec(&self, request_id: id::RequestId) -> caller::RequestSpec {
        let service = if self.is_plain {
            fleet::PLAIN_SERVICE
        } else {
            fleet::MODEL_SERVICE
        };
        caller::RequestSpec {
            request_id,
            attempt: 1,
            service: String::from(service),
            organisation: self.organisation.clone(),
            idempotent: self.idempotent,
            body: self.body.clone(),
            deadline: CALL_DEADLINE,
        }
    }
}

/// Summarises the responses that callers received and the counts of the test doubles.
#[expect(clippy::cast_precision_loss, reason = "a ratio for people to read")]
fn summarise(fleet: &fleet::Fleet, calls: &[Option<CallResult>]) -> Summary {
    let mut summary = Summary {
        replicas: fleet.engine_vms.len(),
        requests_sent: calls.len(),
        ..Summary::default()
    };
    let mut durations_ms = Vec::new();
    let (mut first_byte_before_ms, mut first_byte_during_ms) = (Vec::new(), Vec::new());
    for call in calls {
        let Some(call) = call else {
            summary.lost += 1;
            continue;
        };
        summary.not_run_told += call.refusal_count;
        match &call.outcome {
            caller::Outcome::Completed {
                total_duration,
                time_to_first_byte,
                ..
            } if call.is_correct => {
                summary.answered_whole += 1;
                durations_ms.push(millis(*total_duration));
                let first_byte_ms = if call.sent_during_rollout {
                    &mut first_byte_during_ms
                } else {
                    &mut first_byte_before_ms
                };
                first_byte_ms.push(millis(*time_to_first_byte));
            }
            caller::Outcome::Completed { .. } => summary.answered_wrong += 1,
            caller::Outcome::NotRun { .. } => summary.refused_not_run += 1,
            caller::Outcome::Unknown => summary.outcome_unknown += 1,
            other => {
                eprintln!("demo: requests {:?} failed: {other:?}", call.request_ids);
                summary.lost += 1;
            }
        }
        summary.doubled += usize::from(!call.idempotent && run_count(fleet, call) > 1);
    }
    let origin_bytes: u64 = fleet.origin_bytes().values().sum();
    summary.origin_copies = origin_bytes as f64 / fleet.v2_bytes.get() as f64;
    summary.max_link_copies = fleet.link_copies().into_iter().fold(0.0, f64::max);
    let mixed_counts = fleet
        .engine_vms
        .iter()
        .map(|vm| vm.engine.runs().mixed_count);
    summary.mixed_weights = mixed_counts.sum();
    summary.p50_ms = percentile(&mut durations_ms, 50);
    summary.p99_ms = percentile(&mut durations_ms, 99);
    summary.first_byte_p99_before_ms = percentile(&mut first_byte_before_ms, 99);
    summary.first_byte_p99_during_ms = percentile(&mut first_byte_during_ms, 99);
    summary
}

fn run_count(fleet: &fleet::Fleet, call: &CallResult) -> u32 {
    let vms = fleet.engine_vms.iter().chain(&fleet.plain_vms);
    let run_counts = vms.map(|vm| {
        let runs = vm.engine.runs();
        let request_ids = call.request_ids.iter();
        let counts =
            request_ids.filter_map(|request_id| runs.started.get(request_id.as_str()).copied());
        counts.sum::<u32>()
    });
    run_counts.sum()
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let rank = values.len() * percent / 100;
    let last = values.len().saturating_sub(1);
    values.get(rank.min(last)).copied().unwrap_or(0)
}
