//! Measures the control-plane overhead for fleets of several sizes, which run as processes.
//!
//! For each size it starts entries and agents, leaves them idle, and prints one line of JSON: CPU
//! time and memory per entry and per agent, heartbeat traffic, calls to the object API, and how
//! long a configuration change takes to be in force everywhere. It starts the other binaries from
//! its own directory, so the workspace has to be built in release mode first.

use std::{env, fs, net, path, process, time};

use pimentohook_core::{burst, id, intent, size};
use pimentohook_runtime::client;
use pimentohook_standin::{engine, fleet, objects, processes, store, tcp_proxy};
use serde::Serialize;

const FLEET_SIZES: [(usize, usize); 6] = [(6, 12), (6, 24), (6, 48), (6, 96), (12, 24), (24, 24)];
const WARM_UP_DURATION: time::Duration = time::Duration::from_secs(4);
const MEASUREMENT_DURATION: time::Duration = time::Duration::from_secs(10);
const READY_TIMEOUT: time::Duration = time::Duration::from_mins(1);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
const CONFIG_CHANGE_COUNT: u64 = 5;
const CPU_TICKS_PER_S: f64 = 100.0;
const PAGE_KIB: f64 = 4.0;
// Indices of the fields in /proc/PID/stat after the command name.
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
        result = measure_all() => result,
        // Dropping the fleet kills its processes.
        signal = pimentohook_runtime::process::wait_for_signal(|| {}) => Ok(signal?),
    }
}

async fn measure_all() -> Result<(), Box<dyn std::error::Error>> {
    let directory = env::temp_dir().join(format!("pimentohook-scale-{}", process::id()));
    fs::create_dir_all(&directory)?;
    for (entries, agents) in FLEET_SIZES {
        let fleet = ProcessFleet::start(entries, agents, &directory).await?;
        let line = fleet.measure().await?;
        println!("{}", serde_json::to_string(&line)?);
    }
    fs::remove_dir_all(&directory)?;
    Ok(())
}

struct ProcessFleet {
    objects: std::sync::Arc<objects::ObjectApi>,
    config: intent::Config,
    entries: Vec<processes::ChildProcess>,
    agents: Vec<processes::ChildProcess>,
    addresses: Vec<net::SocketAddr>,
    proxies: Vec<tcp_proxy::TcpProxy>,
    client: client::Client,
}

/// The total resource usage of some processes.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_s: f64,
    rss_mib: f64,
}

impl ProcessFleet {
    async fn start(
        entry_count: usize,
        agent_count: usize,
        directory: &path::Path,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let objects = objects::ObjectApi::new();
        let store = store::Store::new(size::ByteRate::new(256 << 20));
        let v1 = store.publish(&"v1".parse()?, size::ByteCount::new(1 << 20), 64 << 10, 1);
        let config = initial_config(&v1)?;
        objects.set("config", serde_json::to_value(&config)?);
        let bind_address = pimentohook_standin::ephemeral_address();
        let api = pimentohook_standin::start(bind_address, objects::router(&objects)).await?;
        let origin = pimentohook_standin::start(bind_address, store::router(&store)).await?;
        let own_path = env::current_exe()?;
        let addresses: Vec<_> = (0..entry_count)
            .map(|_| pimentohook_standin::unique_loopback_address())
            .collect();
        let mut entries = Vec::new();
        let mut proxies = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            let file = processes::EntrySettingsFile {
                index,
                entries: addresses.clone(),
                object_api: api.address,
                weight_store: origin.address,
            };
            let program = own_path.with_file_name("pimentohook-entry");
            entries.push(processes::ChildProcess::start(
                &program,
                &[file.write(directory)?],
            )?);
            proxies.push(tcp_proxy::TcpProxy::start(*address).await?);
        }
        let mut agents = Vec::new();
        for index in 0..agent_count {
            let slot_count = 8;
            let step_duration = time::Duration::from_millis(10);
            let engine = engine::Engine::new(slot_count, step_duration, Some(v1.content));
            let upstream =
                pimentohook_standin::start(bind_address, engine::router(&engine)).await?;
            let file = processes::AgentSettingsFile {
                index,
                listen: pimentohook_standin::unique_loopback_address(),
                upstream: upstream.address,
                entries: proxies.iter().map(|proxy| proxy.address).collect(),
                weight_store: origin.address,
            };
            let program = own_path.with_file_name("pimentohook-agent");
            agents.push(processes::ChildProcess::start(
                &program,
                &[file.write(directory)?],
            )?);
        }
        let fleet = Self {
            objects,
            config,
            entries,
            agents,
            addresses,
            proxies,
            client: client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED)),
        };
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while !fleet.is_in_force(fleet.config.version).await {
            if time::Instant::now() > deadline {
                return Err("the fleet did not become ready in time".into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(WARM_UP_DURATION).await;
        Ok(fleet)
    }

    /// Returns whether the configuration is in force at every entry and at every agent.
    ///
    /// The state of agents is taken from the status of each entry.
    async fn is_in_force(&self, version: id::ConfigVersion) -> bool {
        for address in &self.addresses {
            let Some(status) = fleet::fetch_status(&self.client, *address).await else {
                return false;
            };
            let replica_counts = status
                .services
                .values()
                .map(|service| service.replica_count);
            let is_complete = replica_counts.sum::<u32>() as usize == self.agents.len();
            if !is_complete || status.config_version < version || status.behind_count > 0 {
                return false;
            }
        }
        true
    }

    #[expect(clippy::cast_precision_loss, reason = "rates for people to read")]
    async fn measure(&self) -> Result<Line, Box<dyn std::error::Error>> {
        let (entries, agents) = (usage(&self.entries)?, usage(&self.agents)?);
        let (bytes, calls) = (self.forwarded_bytes(), self.objects.counts());
        let started_at = time::Instant::now();
        tokio::time::sleep(MEASUREMENT_DURATION).await;
        let elapsed_s = started_at.elapsed().as_secs_f64();
        let (entries_after, agents_after) = (usage(&self.entries)?, usage(&self.agents)?);
        let calls_after = self.objects.counts();
        let bytes_s = (self.forwarded_bytes() - bytes) as f64 / elapsed_s;
        let percent =
            |after: Usage, before: Usage| (after.cpu_s - before.cpu_s) / elapsed_s * 100.0;
        let (entry_count, agent_count) = (self.entries.len() as f64, self.agents.len() as f64);
        let in_force_ms = self.change_configuration().await?;
        Ok(Line {
            entries: self.entries.len(),
            agents: self.agents.len(),
            entry_core_percent: percent(entries_after, entries) / entry_count,
            agent_core_percent: percent(agents_after, agents) / agent_count,
            entry_rss_mib: entries_after.rss_mib / entry_count,
            agent_rss_mib: agents_after.rss_mib / agent_count,
            heartbeat_bytes_s_per_entry: bytes_s / entry_count,
            heartbeat_bytes_s_per_agent: bytes_s / agent_count,
            api_reads_s: (calls_after.read_count - calls.read_count) as f64 / elapsed_s,
            api_writes_s: (calls_after.write_count - calls.write_count) as f64 / elapsed_s,
            in_force_ms_median: in_force_ms[in_force_ms.len() / 2],
            in_force_ms_max: in_force_ms.last().copied().unwrap_or(0),
        })
    }

    fn forwarded_bytes(&self) -> u64 {
        self.proxies
            .iter()
            .map(tcp_proxy::TcpProxy::forwarded_bytes)
            .sum()
    }

    /// Changes the configuration several times.
    ///
    /// Returns the milliseconds until each change was in force, in ascending order.
    async fn change_configuration(&self) -> Result<Vec<u64>, Box<dyn std::error::Error>> {
        let mut durations_ms = Vec::new();
        let mut config = self.config.clone();
        for _ in 0..CONFIG_CHANGE_COUNT {
            config.version = config.version.next();
            let started_at = time::Instant::now();
            self.objects.set("config", serde_json::to_value(&config)?);
            while !self.is_in_force(config.version).await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            durations_ms.push(u64::try_from(started_at.elapsed().as_millis())?);
        }
        durations_ms.sort_unstable();
        Ok(durations_ms)
    }
}

fn initial_config(
    v1: &burst::manifest::Manifest,
) -> Result<intent::Config, Box<dyn std::error::Error>> {
    let service = fleet::model_service(v1, 50, burst::Policy::OriginFirst);
    Ok(intent::Config {
        version: id::ConfigVersion::new(1),
        services: [(fleet::MODEL_SERVICE.parse()?, service)]
            .into_iter()
            .collect(),
        ..intent::Config::default()
    })
}

/// Returns the total CPU time and resident memory of some processes, from `/proc`.
fn usage(children: &[processes::ChildProcess]) -> Result<Usage, Box<dyn std::error::Error>> {
    let mut usage = Usage::default();
    for child in children {
        let text = fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
        let after_name = text
            .rsplit_once(") ")
            .ok_or("/proc/PID/stat has an unexpected format")?
            .1;
        let fields: Vec<f64> = after_name
            .split_whitespace()
            .map(|field| field.parse().unwrap_or(0.0))
            .collect();
        usage.cpu_s += (fields[STAT_UTIME] + fields[STAT_STIME]) / CPU_TICKS_PER_S;
        usage.rss_mib += fields[STAT_RSS] * PAGE_KIB / 1_024.0;
    }
    Ok(usage)
}
