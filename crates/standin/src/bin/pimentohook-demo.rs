//! The demonstration: live requests while new weights roll out, in one process on loopback.

use std::{net, process, sync, sync::atomic, time};

use pimentohook_core::{burst, id, intent, size};
use pimentohook_runtime::client;
use pimentohook_standin::{caller, fleet};
use rand::{RngExt as _, SeedableRng as _};
use serde::Serialize;

const READY_TIMEOUT: time::Duration = time::Duration::from_secs(15);
const ROLLOUT_TIMEOUT: time::Duration = time::Duration::from_secs(40);
const ROLLOUT_AFTER: time::Duration = time::Duration::from_millis(1_500);
const CALL_DEADLINE: time::Duration = time::Duration::from_secs(8);
const TRIES_MAX: u64 = 40;
const ORGANISATION_COUNT: u32 = 10;
const POLL: time::Duration = time::Duration::from_millis(10);
const SPREAD: time::Duration = time::Duration::from_secs(7);
const FLAG_REPLICAS: &str = "replicas";

/// What is printed.
#[derive(Debug, Default, Serialize)]
struct Summary {
    replicas: usize,
    policy: burst::Policy,
    time_to_live_ms: u64,
    lower_bound_ms: u64,
    origin_copies: f64,
    max_link_copies: f64,
    requests_sent: usize,
    answered_whole: usize,
    refused_not_run: usize,
    outcome_unknown: usize,
    answered_wrong: usize,
    doubled: usize,
    lost: usize,
    mixed_weights: u32,
    p50_ms: u64,
    p99_ms: u64,
    first_byte_p99_before_ms: u64,
    first_byte_p99_during_ms: u64,
    not_run_told: usize,
}

impl Summary {
    fn is_right(&self) -> bool {
        let wrong = self.answered_wrong + self.doubled + self.lost;
        wrong == 0 && self.mixed_weights == 0 && self.time_to_live_ms > 0
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
        .about("Live requests while new weights roll out, in one process on loopback")
        .arg(number(FLAG_REPLICAS, "24", "Model engines"))
        .arg(number("requests", "2000", "Requests"))
        .arg(number("seed", "7", "Seeds weights and requests"))
        .arg(number("weights-mib", "64", "Size of version 2 in MiB"))
        .arg(number(
            "link-mib-s",
            "16",
            "What each link carries, in MiB/s",
        ))
        .arg(
            clap::Arg::new("policy")
                .long("policy")
                .default_value("origin_first")
                .value_parser(["origin_first", "time_first"])
                .help("Which measure goes first"),
        )
        .arg(
            clap::Arg::new("json")
                .long("json")
                .action(clap::ArgAction::SetTrue)
                .help("Print one object on one line"),
        );
    let matches = command.get_matches();
    match run(&matches) {
        Ok(outcome) => {
            print_outcome(&outcome, matches.get_flag("json"));
            if outcome.is_right() {
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

fn print_outcome(outcome: &Summary, json: bool) {
    if json {
        println!("{}", serde_json::to_string(outcome).unwrap_or_default());
        return;
    }
    println!(
        "version 2 live on {} replicas after {} ms (one copy over one link: {} ms)",
        outcome.replicas, outcome.time_to_live_ms, outcome.lower_bound_ms
    );
    println!(
        "copies: {:.2} from the origin, {:.2} over the busiest link",
        outcome.origin_copies, outcome.max_link_copies
    );
    println!(
        "requests: {} sent, {} answered whole, {} refused, {} unknown",
        outcome.requests_sent,
        outcome.answered_whole,
        outcome.refused_not_run,
        outcome.outcome_unknown
    );
    println!(
        "faults: {} wrong, {} doubled, {} lost, {} from mixed weights",
        outcome.answered_wrong, outcome.doubled, outcome.lost, outcome.mixed_weights
    );
    println!(
        "latency: p50 {} ms, p99 {} ms",
        outcome.p50_ms, outcome.p99_ms
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
    let say = |text: &str| {
        if !json {
            println!("{text}");
        }
    };
    say("starting the fleet");
    let fleet = fleet::Fleet::start(&options).await?;
    if !fleet.wait_ready(READY_TIMEOUT).await {
        return Err("the fleet did not get ready".into());
    }
    say("serving version 1; sending requests");
    let load = Load::start(&fleet, usize::try_from(number("requests"))?, options.seed);
    tokio::time::sleep(ROLLOUT_AFTER).await;
    confirm_rollout(&fleet).await?;
    say("version 2 confirmed");
    load.rolling.store(true, atomic::Ordering::Relaxed);
    let confirmed_at = time::Instant::now();
    let live = wait_live(&fleet, json).await;
    let time_to_live = confirmed_at.elapsed();
    load.rolling.store(false, atomic::Ordering::Relaxed);
    say("waiting for the last answers");
    let calls = load.finish().await;
    let lower_bound = link_rate.duration_of(options.v2_bytes);
    let mut outcome = judge(&fleet, &calls);
    outcome.policy = policy;
    outcome.time_to_live_ms = if live { millis(time_to_live) } else { 0 };
    outcome.lower_bound_ms = millis(lower_bound);
    Ok(outcome)
}

/// The origin carries about four copies in the time in which a machine's link carries one in.
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
    let planned = fleet::send_operator_request(&client, entry, "/v1/intents", Some(&intent)).await;
    let (status, body) = planned.ok_or("the intent was not answered")?;
    if status != hyper::StatusCode::OK {
        return Err(String::from_utf8_lossy(&body).into());
    }
    let plan: intent::Plan = serde_json::from_slice(&body)?;
    let confirmed = fleet::send_operator_request(&client, entry, "/v1/confirm", Some(&plan)).await;
    let (status, body) = confirmed.ok_or("the confirmation was not answered")?;
    if status != hyper::StatusCode::OK {
        return Err(String::from_utf8_lossy(&body).into());
    }
    Ok(())
}

async fn wait_live(fleet: &fleet::Fleet, json: bool) -> bool {
    let deadline = time::Instant::now() + ROLLOUT_TIMEOUT;
    let begun_at = time::Instant::now();
    let client = client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED));
    let mut shown = (0, 0);
    while time::Instant::now() < deadline {
        let live = fleet.live_count();
        if !json {
            let held = held_count(&client, fleet).await;
            if shown != (held, live) {
                let passed_ms = millis(begun_at.elapsed());
                let all = fleet.engine_vms.len();
                println!("{passed_ms:6} ms: version 2 held by {held}, live on {live} of {all}");
            }
            shown = (held, live);
        }
        if live == fleet.engine_vms.len() {
            return true;
        }
        tokio::time::sleep(POLL).await;
    }
    false
}

/// How many replicas hold version 2 whole, as an entry says.
async fn held_count(client: &client::Client, fleet: &fleet::Fleet) -> u32 {
    let status = fleet::fetch_status(client, fleet.entry_addresses[0]).await;
    let service = status.and_then(|status| {
        let mut services = status.services.into_iter();
        services.find(|(name, _)| name.as_str() == fleet::MODEL_SERVICE)
    });
    service.map_or(0, |(_, one)| one.holding_count)
}

/// What became of one request.
#[derive(Debug)]
struct CallResult {
    request_ids: Vec<id::RequestId>,
    idempotent: bool,
    told: caller::RequestOutcome,
    right: bool,
    not_run_told: usize,
    during: bool,
}

struct Load {
    rolling: sync::Arc<atomic::AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<CallResult>>,
}

impl Load {
    fn start(fleet: &fleet::Fleet, count: usize, seed: u64) -> Self {
        let rolling = sync::Arc::new(atomic::AtomicBool::new(false));
        let caller = caller::Caller::new();
        let first_entry = fleet.entry_addresses[0];
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let tasks = (0..count).map(|index| {
            let spread_ms = millis(SPREAD);
            let start_ms = spread_ms * index as u64 / count.max(1) as u64;
            let plain = rng.random_ratio(1, 5);
            let idempotent = !plain && rng.random_ratio(3, 4);
            let tokens = rng.random_range(8..24);
            let organisation = rng.random_range(0..ORGANISATION_COUNT);
            let spec = Job {
                index,
                start: time::Duration::from_millis(start_ms),
                plain,
                idempotent,
                body: format!("tokens={tokens} draft {index}"),
                organisation: format!("organisation-{organisation}"),
            };
            let (caller, rolling) = (caller.clone(), rolling.clone());
            tokio::spawn(spec.run(caller, first_entry, rolling))
        });
        let tasks = tasks.collect();
        Self { rolling, tasks }
    }

    async fn finish(self) -> Vec<Option<CallResult>> {
        let mut results = Vec::new();
        for task in self.tasks {
            results.push(task.await.ok());
        }
        results
    }
}

struct Job {
    index: usize,
    start: time::Duration,
    plain: bool,
    idempotent: bool,
    body: String,
    organisation: String,
}

impl Job {
    async fn run(
        self,
        caller: caller::Caller,
        first_entry: net::SocketAddr,
        rolling: sync::Arc<atomic::AtomicBool>,
    ) -> CallResult {
        tokio::time::sleep(self.start).await;
        let during = rolling.load(atomic::Ordering::Relaxed);
        let entries = caller.entries(first_entry).await;
        let addresses = entries.map_or_else(|| vec![first_entry], |one| one.addresses);
        let mut result = CallResult {
            request_ids: Vec::new(),
            idempotent: self.idempotent,
            told: caller::RequestOutcome::Unknown,
            right: false,
            not_run_told: 0,
            during,
        };
        for attempt in 0..TRIES_MAX {
            // After the word that it was not run, a request is sent anew under another id.
            let name = format!("demo-{}-{attempt}", self.index);
            let Ok(request_id) = name.parse::<id::RequestId>() else {
                return result;
            };
            let spec = self.spec(request_id.clone());
            let entry =
                addresses[(self.index + usize::try_from(attempt).unwrap_or(0)) % addresses.len()];
            result.request_ids.push(request_id);
            result.told = caller.send(entry, &addresses, &spec).await;
            match &result.told {
                caller::RequestOutcome::NotRun { retry_after, .. } => {
                    result.not_run_told += 1;
                    tokio::time::sleep(*retry_after).await;
                }
                caller::RequestOutcome::Completed { text, .. } => {
                    result.right = *text == spec.expected(self.plain);
                    return result;
                }
                _ => return result,
            }
        }
        result
    }

    fn spec(&self, request_id: id::RequestId) -> caller::RequestSpec {
        let service = if self.plain {
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

/// Judges by what callers got and what the stand-ins saw.
#[expect(clippy::cast_precision_loss, reason = "a ratio for people to read")]
fn judge(fleet: &fleet::Fleet, calls: &[Option<CallResult>]) -> Summary {
    let mut outcome = Summary {
        replicas: fleet.engine_vms.len(),
        requests_sent: calls.len(),
        ..Summary::default()
    };
    let mut totals = Vec::new();
    let (mut before, mut during) = (Vec::new(), Vec::new());
    for call in calls {
        let Some(call) = call else {
            outcome.lost += 1;
            continue;
        };
        outcome.not_run_told += call.not_run_told;
        match &call.told {
            caller::RequestOutcome::Completed {
                total, first_byte, ..
            } if call.right => {
                outcome.answered_whole += 1;
                totals.push(millis(*total));
                let side = if call.during {
                    &mut during
                } else {
                    &mut before
                };
                side.push(millis(*first_byte));
            }
            caller::RequestOutcome::Completed { .. } => outcome.answered_wrong += 1,
            caller::RequestOutcome::NotRun { .. } => outcome.refused_not_run += 1,
            caller::RequestOutcome::Unknown => outcome.outcome_unknown += 1,
            other => {
                eprintln!("demo: {:?} was told {other:?}", call.request_ids);
                outcome.lost += 1;
            }
        }
        outcome.doubled += usize::from(!call.idempotent && run_count(fleet, call) > 1);
    }
    let origin_bytes: u64 = fleet.origin_bytes().values().sum();
    outcome.origin_copies = origin_bytes as f64 / fleet.v2_bytes.get() as f64;
    outcome.max_link_copies = fleet.link_copies().into_iter().fold(0.0, f64::max);
    let mixed = fleet
        .engine_vms
        .iter()
        .map(|one| one.engine.runs().mixed_count);
    outcome.mixed_weights = mixed.sum();
    outcome.p50_ms = quantile(&mut totals, 50);
    outcome.p99_ms = quantile(&mut totals, 99);
    outcome.first_byte_p99_before_ms = quantile(&mut before, 99);
    outcome.first_byte_p99_during_ms = quantile(&mut during, 99);
    outcome
}

fn run_count(fleet: &fleet::Fleet, call: &CallResult) -> u32 {
    let machines = fleet.engine_vms.iter().chain(&fleet.plain_vms);
    let started = machines.map(|machine| {
        let runs = machine.engine.runs();
        let mine = call.request_ids.iter();
        let counts = mine.filter_map(|request_id| runs.started.get(request_id.as_str()).copied());
        counts.sum::<u32>()
    });
    started.sum()
}

fn quantile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let rank = values.len() * percent / 100;
    let last = values.len().saturating_sub(1);
    values.get(rank.min(last)).copied().unwrap_or(0)
}
