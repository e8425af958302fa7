//! A site of separate processes on loopback.

use std::{fs, net, path, process, time};

use pimentohook_core::{burst::manifest, id, intent, size};
use pimentohook_runtime::client;
use pimentohook_standin::{caller, engine, fleet, store};

const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL: time::Duration = time::Duration::from_millis(50);
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const WEIGHTS: size::ByteCount = size::ByteCount::new(2 << 20);
const CHUNK_BYTES: u32 = 128 << 10;

/// A child that is ended when it is dropped.
pub struct Child {
    child: process::Child,
}

impl Child {
    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = process::Command::new("kill").args([signal, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Machine {
    engine: net::SocketAddr,
    agent: Child,
    _engine: Child,
}

/// The site.
pub struct Site {
    _platform: Vec<Child>,
    entries: Vec<(net::SocketAddr, Option<Child>)>,
    machines: Vec<Machine>,
    client: client::Client,
    caller: caller::Caller,
}

fn binary(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_BIN_EXE_pimentohook-standin")).with_file_name(name)
}

fn spawn(name: &str, arguments: &[String]) -> Child {
    let child = process::Command::new(binary(name))
        .args(arguments)
        .stdout(process::Stdio::null())
        .spawn();
    let child = child.unwrap_or_else(|error| panic!("{name}: {error}; build the workspace first"));
    Child { child }
}

fn standin(arguments: &[&str]) -> Child {
    let arguments: Vec<String> = arguments.iter().map(|text| String::from(*text)).collect();
    spawn("pimentohook-standin", &arguments)
}

fn settings_file(name: &str, text: &str) -> String {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(format!(
        "{name}-{}.yaml",
        pimentohook_standin::new_address().ip()
    ));
    fs::write(&file, text).expect("settings can be written");
    file.display().to_string()
}

fn manifest_of(version: &str, seed: u64) -> manifest::Manifest {
    let store = store::Store::new(size::ByteRate::new(1 << 30));
    let version = version.parse().expect("a name");
    store.publish(&version, WEIGHTS, CHUNK_BYTES, seed)
}

impl Site {
    /// Starts entries, agents and stand-ins, and waits until all is ready.
    pub async fn start(entry_count: usize, replica_count: usize) -> Self {
        let (platform, origin) = (
            pimentohook_standin::new_address(),
            pimentohook_standin::new_address(),
        );
        let first = manifest_of("v1", 1);
        let children = vec![
            standin(&["platform", "--listen", &platform.to_string()]),
            standin(&["store", "--listen", &origin.to_string()]),
        ];
        let addresses: Vec<_> = (0..entry_count)
            .map(|_| pimentohook_standin::new_address())
            .collect();
        let entries = (0..entry_count).map(|index| {
            let text = entry_settings(index, &addresses, platform, origin);
            let file = settings_file("entry", &text);
            let child = spawn("pimentohook-entry", &[file]);
            (addresses[index], Some(child))
        });
        let entries = entries.collect();
        let machines = (0..replica_count).map(|index| {
            let (upstream, listen) = (
                pimentohook_standin::new_address(),
                pimentohook_standin::new_address(),
            );
            let content = first.content.to_string();
            let engine = standin(&[
                "engine",
                "--listen",
                &upstream.to_string(),
                "--weights",
                &content,
            ]);
            let text = agent_settings(index, listen, upstream, &addresses, origin);
            let agent = spawn("pimentohook-agent", &[settings_file("agent", &text)]);
            Machine {
                engine: upstream,
                agent,
                _engine: engine,
            }
        });
        let machines = machines.collect();
        let site = Self {
            _platform: children,
            entries,
            machines,
            client: client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED)),
            caller: caller::Caller::new(),
        };
        site.put_config(platform, &first).await;
        site.wait_ready(replica_count).await;
        site
    }

    async fn put_config(&self, platform: net::SocketAddr, first: &manifest::Manifest) {
        let weights = intent::WeightsRef {
            version: first.version.clone(),
            manifest: first.digest(),
            content: first.content,
            total_bytes: first.total_bytes,
        };
        let service = intent::ServiceConfig {
            weights: Some(weights),
            previous: None,
            idempotent: true,
            floor_percent: 50,
            policy: pimentohook_core::burst::Policy::OriginFirst,
        };
        let name = fleet::MODEL_SERVICE.parse().expect("a name");
        let config = intent::Config {
            version: id::ConfigVersion::new(1),
            services: [(name, service)].into_iter().collect(),
            ..intent::Config::default()
        };
        let path = "/objects/config?if_version=0";
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let request = client::json_request(hyper::Method::PUT, platform, path, Some(&config))
                .expect("a request");
            if self
                .client
                .exchange(platform, request, TIMEOUT)
                .await
                .is_ok()
            {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the platform does not answer");
    }

    async fn wait_ready(&self, replica_count: usize) {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let mut open = true;
            for (address, _) in &self.entries {
                let status = fleet::status(&self.client, *address).await;
                let count = status.and_then(|status| {
                    let one = status.services.values().next()?;
                    Some(one.open_count as usize)
                });
                open &= count == Some(replica_count);
            }
            if open {
                // Agents run non-idempotent requests once they are older than `join_age_ms`.
                tokio::time::sleep(time::Duration::from_millis(400)).await;
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the site did not get ready");
    }

    fn spec(name: &str, idempotent: bool, body: &str) -> caller::Spec {
        caller::Spec {
            request_id: name.parse().expect("a name"),
            attempt: 1,
            service: String::from(fleet::MODEL_SERVICE),
            organisation: String::from("roofers"),
            idempotent,
            body: String::from(body),
            deadline: time::Duration::from_secs(10),
        }
    }

    pub fn entry(&self, index: usize) -> net::SocketAddr {
        self.entries[index].0
    }

    /// Sends a request and waits for what its caller is told.
    pub async fn send(&self, name: &str, entry: usize, idempotent: bool, body: &str) -> Told {
        let sending = self.send_in_background(name, entry, idempotent, body);
        sending.await.expect("the caller ends")
    }

    /// Sends a request.
    pub fn send_in_background(
        &self,
        name: &str,
        entry: usize,
        idempotent: bool,
        body: &str,
    ) -> tokio::task::JoinHandle<Told> {
        let spec = Self::spec(name, idempotent, body);
        let caller = self.caller.clone();
        let address = self.entry(entry);
        let others: Vec<_> = self.entries.iter().map(|one| one.0).rev().collect();
        tokio::spawn(async move { caller.send(address, &others, &spec).await })
    }

    pub fn assert_whole(told: &Told, name: &str, body: &str) {
        let expected = Self::spec(name, true, body).expected(false);
        let Told::Answer { text, .. } = told else {
            panic!("{name} was told {told:?}");
        };
        assert_eq!(*text, expected);
    }

    async fn runs(&self, machine: &Machine) -> engine::Runs {
        let request = client::json_request::<()>(hyper::Method::GET, machine.engine, "/runs", None);
        let request = request.expect("a request");
        let exchange = self.client.exchange(machine.engine, request, TIMEOUT).await;
        serde_json::from_slice(&exchange.expect("the engine answers").1).expect("its runs")
    }

    /// Returns how many engines started a request, repeats included.
    pub async fn run_count(&self, name: &str) -> u32 {
        let mut count = 0;
        for machine in &self.machines {
            count += self.runs(machine).await.started.get(name).unwrap_or(&0);
        }
        count
    }

    pub async fn mixed_count(&self) -> u32 {
        let mut count = 0;
        for machine in &self.machines {
            count += self.runs(machine).await.mixed_count;
        }
        count
    }

    async fn running(&self, name: &str) -> usize {
        for (index, machine) in self.machines.iter().enumerate() {
            if self.runs(machine).await.started.contains_key(name) {
                return index;
            }
        }
        panic!("{name} runs nowhere");
    }

    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].1 = None;
    }

    pub fn terminate_entry(&self, index: usize) {
        let child = self.entries[index].1.as_ref();
        child.expect("the entry runs").signal("-TERM");
    }

    pub async fn kill_agent_running(&mut self, name: &str) {
        let index = self.running(name).await;
        let _ = self.machines[index].agent.child.kill();
    }

    pub async fn terminate_agent_running(&self, name: &str) {
        let index = self.running(name).await;
        self.machines[index].agent.signal("-TERM");
    }

    pub async fn freeze_agent_running(&self, name: &str) -> usize {
        let index = self.running(name).await;
        self.machines[index].agent.signal("-STOP");
        index
    }

    pub fn thaw(&self, index: usize) {
        self.machines[index].agent.signal("-CONT");
    }

    pub async fn listed_entries(&self, asked: usize) -> Vec<net::SocketAddr> {
        let entries = self.caller.entries(self.entry(asked)).await;
        entries.expect("the entry answers").addresses
    }

    pub async fn status_without_token(&self) -> u16 {
        let address = self.entry(0);
        let request = client::json_request::<()>(hyper::Method::GET, address, "/v1/status", None);
        let request = request.expect("a request");
        let exchange = self.client.exchange(address, request, TIMEOUT).await;
        exchange.expect("the entry answers").0.as_u16()
    }

    pub async fn plan(&self, version: &str, entry: usize) -> intent::Plan {
        let intent = intent::Intent::RollOut {
            services: vec![fleet::MODEL_SERVICE.parse().expect("a name")],
            version: version.parse().expect("a name"),
        };
        let path = "/v1/intents";
        let planned = fleet::operate(&self.client, self.entry(entry), path, Some(&intent)).await;
        let (status, body) = planned.expect("the entry answers");
        assert_eq!(status, 200, "{body:?}");
        serde_json::from_slice(&body).expect("a plan")
    }

    pub async fn confirm(&self, plan: &intent::Plan, entry: usize) -> u16 {
        let path = "/v1/confirm";
        let told = fleet::operate(&self.client, self.entry(entry), path, Some(plan)).await;
        told.expect("the entry answers").0.as_u16()
    }

    pub async fn roll_out(&self, version: &str) {
        let plan = self.plan(version, 0).await;
        assert_eq!(self.confirm(&plan, 0).await, 200);
    }

    pub async fn wait_live(&self, replica_count: u32, timeout: time::Duration) {
        let deadline = time::Instant::now() + timeout;
        while time::Instant::now() < deadline {
            let status = fleet::status(&self.client, self.entry(0)).await;
            let live = status.and_then(|status| Some(status.services.values().next()?.live_count));
            if live == Some(replica_count) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the new weights did not go into service");
    }
}

use caller::Told;

fn entry_settings(
    index: usize,
    addresses: &[net::SocketAddr],
    platform: net::SocketAddr,
    origin: net::SocketAddr,
) -> String {
    let places = addresses.iter().enumerate().map(|(index, address)| {
        format!("  entry-{index}:\n    address: {address}\n    failure_domain: domain-{index}")
    });
    let entries = places.collect::<Vec<_>>().join("\n");
    format!(
        "entry: entry-{index}\nlisten: {}\nentries:\n{entries}\nobject_api: {platform}\n\
         weight_store: {origin}\noperators:\n  demo:\n    token: {}\n\
         keep_ms: 2000\nwindow_ms: 30000\njoin_age_ms: 300\nlease_term_ms: 1000\n\
         weights_rate: 64MiB/s\nlog_level: warn\n",
        addresses[index],
        fleet::OPERATOR_TOKEN
    )
}

fn agent_settings(
    index: usize,
    listen: net::SocketAddr,
    upstream: net::SocketAddr,
    entries: &[net::SocketAddr],
    origin: net::SocketAddr,
) -> String {
    let places = entries.iter().map(|one| format!("  - {one}"));
    let entries = places.collect::<Vec<_>>().join("\n");
    format!(
        "vm: vm-{index}\nservice: {}\nfailure_domain: domain-{index}\nlisten: {listen}\n\
         kind: engine\nupstream: {upstream}\nentries:\n{entries}\nweight_store: {origin}\n\
         window_ms: 30000\nweights_rate: 64MiB/s\nlog_level: warn\n",
        fleet::MODEL_SERVICE
    )
}
