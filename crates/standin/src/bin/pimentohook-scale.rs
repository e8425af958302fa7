//! What control costs, against the size of the fleet, with the separate binaries as processes.
//!
//! For each size it starts entries and agents, lets them idle, and prints one line: processor time
//! and memory per entry and per agent, bytes of heartbeats, calls to the object API, and how long
//! a changed configuration takes until it is in force everywhere. It must stand beside the other
//! binaries: build the workspace in release first.

use std::{env, fs, net, path, process, time};

use pimentohook_core::{burst, id, intent, size};
use pimentohook_runtime::client;
use pimentohook_standin::{engine, fleet, objects, processes, store, tcp_proxy};
use serde::Serialize;

const SIZES: [(usize, usize); 6] = [(6, 12), (6, 24), (6, 48), (6, 96), (12, 24), (24, 24)];
const SETTLE: time::Duration = time::Duration::from_secs(4);
const IDLE: time::Duration = time::Duration::from_secs(10);
const READY: time::Duration = time::Duration::from_mins(1);
const POLL: time::Duration = time::Duration::from_millis(5);
const CHANGE_COUNT: u64 = 5;
const TICKS_PER_S: f64 = 100.0;
const PAGE_KIB: f64 = 4.0;
const STAT_UTIME: usize = 11;
const STAT_STIME: usize = 12;
const STAT_RSS: usize = 21;

#[derive(Debug, Serialize)]
struct Line {
    entries: usize,
    agents: usize,
    entry_core_percent: f64,
    agent_core_percent: f64,
    entry_rss_mib: f64,
    agent_rss_mib: f64,
    heartbeat_bytes_s_per_entry: f64,
    heartbeat_bytes_s_per_agent: f64,
    api_reads_s: f64,
    api_writes_s: f64,
    in_force_ms_median: u64,
    in_force_ms_max: u64,
}

fn main() -> process::ExitCode {
    match run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale: {error}");
            process::ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run() -> Result<(), Box<dyn std::error::Error>> {
    tokio::select! {
        measured = measure_all() => measured,
        // Dropping the sites ends their processes.
        stopped = pimentohook_runtime::process::wait_for_signal(|| {}) => Ok(stopped?),
    }
}

async fn measure_all() -> Result<(), Box<dyn std::error::Error>> {
    let folder = env::temp_dir().join(format!("pimentohook-scale-{}", process::id()));
    fs::create_dir_all(&folder)?;
    for (entries, agents) in SIZES {
        let site = Site::start(entries, agents, &folder).await?;
        let line = site.measure().await?;
        println!("{}", serde_json::to_string(&line)?);
    }
    fs::remove_dir_all(&folder)?;
    Ok(())
}

struct Site {
    objects: std::sync::Arc<objects::ObjectApi>,
    config: intent::Config,
    entries: Vec<processes::ChildProcess>,
    agents: Vec<processes::ChildProcess>,
    addresses: Vec<net::SocketAddr>,
    relays: Vec<tcp_proxy::TcpProxy>,
    client: client::Client,
}

/// What was used up so far.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_s: f64,
    rss_mib: f64,
}

impl Site {
    async fn start(
        entry_count: usize,
        agent_count: usize,
        folder: &path::Path,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let objects = objects::ObjectApi::new();
        let store = store::Store::new(size::ByteRate::new(256 << 20));
        let first = store.publish(&"v1".parse()?, size::ByteCount::new(1 << 20), 64 << 10, 1);
        let config = first_config(&first)?;
        objects.set("config", serde_json::to_value(&config)?);
        let any = pimentohook_standin::ephemeral_address();
        let api = pimentohook_standin::start(any, objects::router(&objects)).await?;
        let origin = pimentohook_standin::start(any, store::router(&store)).await?;
        let beside = env::current_exe()?;
        let addresses: Vec<_> = (0..entry_count)
            .map(|_| pimentohook_standin::unique_loopback_address())
            .collect();
        let mut entries = Vec::new();
        let mut relays = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            let file = processes::EntrySettingsFile {
                index,
                entries: addresses.clone(),
                object_api: api.address,
                weight_store: origin.address,
            };
            let program = beside.with_file_name("pimentohook-entry");
            entries.push(processes::ChildProcess::start(
                &program,
                &[file.write(folder)?],
            )?);
            relays.push(tcp_proxy::TcpProxy::start(*address).await?);
        }
        let mut agents = Vec::new();
        for index in 0..agent_count {
            let slots = 8;
            let step = time::Duration::from_millis(10);
            let engine = engine::Engine::new(slots, step, Some(first.content));
            let upstream = pimentohook_standin::start(any, engine::router(&engine)).await?;
            let file = processes::AgentSettingsFile {
                index,
                listen: pimentohook_standin::unique_loopback_address(),
                upstream: upstream.address,
                entries: relays.iter().map(|relay| relay.address).collect(),
                weight_store: origin.address,
            };
            let program = beside.with_file_name("pimentohook-agent");
            agents.push(processes::ChildProcess::start(
                &program,
                &[file.write(folder)?],
            )?);
        }
        let site = Self {
            objects,
            config,
            entries,
            agents,
            addresses,
            relays,
            client: client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED)),
        };
        let deadline = time::Instant::now() + READY;
        while !site.is_in_force(site.config.version).await {
            if time::Instant::now() > deadline {
                return Err("the site did not get ready".into());
            }
            tokio::time::sleep(POLL).await;
        }
        tokio::time::sleep(SETTLE).await;
        Ok(site)
    }

    /// Whether every entry has the version, and every agent as each entry sees it.
    async fn is_in_force(&self, version: id::ConfigVersion) -> bool {
        for address in &self.addresses {
            let Some(status) = fleet::fetch_status(&self.client, *address).await else {
                return false;
            };
            let replicas = status.services.values().map(|one| one.replica_count);
            let all = replicas.sum::<u32>() as usize == self.agents.len();
            if !all || status.config_version < version || status.behind_count > 0 {
                return false;
            }
        }
        true
    }

    #[expect(clippy::cast_precision_loss, reason = "rates for people to read")]
    async fn measure(&self) -> Result<Line, Box<dyn std::error::Error>> {
        let (entries, agents) = (usage(&self.entries)?, usage(&self.agents)?);
        let (bytes, calls) = (self.forwarded_bytes(), self.objects.counts());
        let begun_at = time::Instant::now();
        tokio::time::sleep(IDLE).await;
        let passed_s = begun_at.elapsed().as_secs_f64();
        let (entries_after, agents_after) = (usage(&self.entries)?, usage(&self.agents)?);
        let calls_after = self.objects.counts();
        let bytes_s = (self.forwarded_bytes() - bytes) as f64 / passed_s;
        let percent = |after: Usage, before: Usage| (after.cpu_s - before.cpu_s) / passed_s * 100.0;
        let (entry_count, agent_count) = (self.entries.len() as f64, self.agents.len() as f64);
        let in_force = self.change_configuration().await?;
        Ok(Line {
            entries: self.entries.len(),
            agents: self.agents.len(),
            entry_core_percent: percent(entries_after, entries) / entry_count,
            agent_core_percent: percent(agents_after, agents) / agent_count,
            entry_rss_mib: entries_after.rss_mib / entry_count,
            agent_rss_mib: agents_after.rss_mib / agent_count,
            heartbeat_bytes_s_per_entry: bytes_s / entry_count,
            heartbeat_bytes_s_per_agent: bytes_s / agent_count,
            api_reads_s: (calls_after.read_count - calls.read_count) as f64 / passed_s,
            api_writes_s: (calls_after.write_count - calls.write_count) as f64 / passed_s,
            in_force_ms_median: in_force[in_force.len() / 2],
            in_force_ms_max: in_force.last().copied().unwrap_or(0),
        })
    }

    fn forwarded_bytes(&self) -> u64 {
        self.relays
            .iter()
            .map(tcp_proxy::TcpProxy::forwarded_bytes)
            .sum()
    }

    /// Changes the configuration some times; returns how long each took to be in force.
    async fn change_configuration(&self) -> Result<Vec<u64>, Box<dyn std::error::Error>> {
        let mut taken_ms = Vec::new();
        let mut config = self.config.clone();
        for _ in 0..CHANGE_COUNT {
            config.version = config.version.next();
            let begun_at = time::Instant::now();
            self.objects.set("config", serde_json::to_value(&config)?);
            while !self.is_in_force(config.version).await {
                tokio::time::sleep(POLL).await;
            }
            taken_ms.push(u64::try_from(begun_at.elapsed().as_millis())?);
        }
        taken_ms.sort_unstable();
        Ok(taken_ms)
    }
}

fn first_config(
    first: &burst::manifest::Manifest,
) -> Result<intent::Config, Box<dyn std::error::Error>> {
    let service = fleet::model_service(first, 50, burst::Policy::OriginFirst);
    Ok(intent::Config {
        version: id::ConfigVersion::new(1),
        services: [(fleet::MODEL_SERVICE.parse()?, service)]
            .into_iter()
            .collect(),
        ..intent::Config::default()
    })
}

/// Reads what some processes have used up, from the operating system's account of each.
fn usage(children: &[processes::ChildProcess]) -> Result<Usage, Box<dyn std::error::Error>> {
    let mut usage = Usage::default();
    for child in children {
        let text = fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
        let after_name = text.rsplit_once(") ").ok_or("no account of a process")?.1;
        let fields: Vec<f64> = after_name
            .split_whitespace()
            .map(|field| field.parse().unwrap_or(0.0))
            .collect();
        usage.cpu_s += (fields[STAT_UTIME] + fields[STAT_STIME]) / TICKS_PER_S;
        usage.rss_mib += fields[STAT_RSS] * PAGE_KIB / 1_024.0;
    }
    Ok(usage)
}
