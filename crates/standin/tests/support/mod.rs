//! A site of separate processes on loopback.

use std::{net, path, process, time};

use pimentohook_core::{
    burst::{self, manifest},
    id, intent, size,
};
use pimentohook_runtime::client;
use pimentohook_standin::{
    caller::{self, RequestOutcome},
    engine, fleet, objects, processes, store,
};
use pimentohook_wire::public;

const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const AGENT_SILENCE_MAX: time::Duration = time::Duration::from_secs(2);
const POLL: time::Duration = time::Duration::from_millis(50);
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const WEIGHTS: size::ByteCount = size::ByteCount::new(2 << 20);
const CHUNK_BYTES: u32 = 128 << 10;

fn signal(child: &processes::ChildProcess, signal: &str) {
    let pid = child.id().to_string();
    let sent = process::Command::new("kill").args([signal, &pid]).status();
    assert!(sent.expect("kill runs").success());
}

struct VmProcesses {
    engine: net::SocketAddr,
    agent: processes::ChildProcess,
    settings: String,
    _engine: processes::ChildProcess,
}

/// The site.
pub struct Site {
    _platform: Vec<processes::ChildProcess>,
    platform: net::SocketAddr,
    entries: Vec<(net::SocketAddr, Option<processes::ChildProcess>)>,
    entry_settings: Vec<String>,
    vms: Vec<VmProcesses>,
    client: client::Client,
    caller: caller::Caller,
}

fn spawn(name: &str, arguments: &[String]) -> processes::ChildProcess {
    let standin = path::Path::new(env!("CARGO_BIN_EXE_pimentohook-standin"));
    let program = standin.with_file_name(name);
    let child = processes::ChildProcess::start(&program, arguments);
    child.unwrap_or_else(|error| panic!("{name}: {error}; build the workspace first"))
}

fn standin(arguments: &[&str]) -> processes::ChildProcess {
    let arguments: Vec<String> = arguments.iter().map(|text| String::from(*text)).collect();
    spawn("pimentohook-standin", &arguments)
}

fn folder() -> &'static path::Path {
    path::Path::new(env!("CARGO_TARGET_TMPDIR"))
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
            pimentohook_standin::unique_loopback_address(),
            pimentohook_standin::unique_loopback_address(),
        );
        let first = manifest_of("v1", 1);
        let children = vec![
            standin(&["platform", "--listen", &platform.to_string()]),
            standin(&["store", "--listen", &origin.to_string()]),
        ];
        let addresses: Vec<_> = (0..entry_count)
            .map(|_| pimentohook_standin::unique_loopback_address())
            .collect();
        let entries = (0..entry_count).map(|index| {
            let file = processes::EntrySettingsFile {
                index,
                entries: addresses.clone(),
                object_api: platform,
                weight_store: origin,
            };
            file.write(folder()).expect("settings can be written")
        });
        let entry_settings: Vec<String> = entries.collect();
        let entries = entry_settings
            .iter()
            .zip(&addresses)
            .map(|(file, address)| {
                let child = spawn("pimentohook-entry", std::slice::from_ref(file));
                (*address, Some(child))
            });
        let entries = entries.collect();
        let vms = (0..replica_count).map(|index| {
            let (upstream, listen) = (
                pimentohook_standin::unique_loopback_address(),
                pimentohook_standin::unique_loopback_address(),
            );
            let content = first.content.to_string();
            let engine = standin(&[
                "engine",
                "--listen",
                &upstream.to_string(),
                "--weights",
                &content,
            ]);
            let file = processes::AgentSettingsFile {
                index,
                listen,
                upstream,
                entries: addresses.clone(),
                weight_store: origin,
            };
            let file = file.write(folder()).expect("settings can be written");
            let agent = spawn("pimentohook-agent", std::slice::from_ref(&file));
            VmProcesses {
                engine: upstream,
                agent,
                settings: file,
                _engine: engine,
            }
        });
        let vms = vms.collect();
        let site = Self {
            _platform: children,
            platform,
            entries,
            entry_settings,
            vms,
            client: client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED)),
            caller: caller::Caller::new(),
        };
        site.put_config(platform, &first).await;
        site.wait_ready(replica_count).await;
        site
    }

    async fn put_config(&self, platform: net::SocketAddr, first: &manifest::Manifest) {
        let service = fleet::model_service(first, 50, burst::Policy::OriginFirst);
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
                .send_and_read_body(platform, request, TIMEOUT)
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
                let status = fleet::fetch_status(&self.client, *address).await;
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

    fn spec(name: &str, idempotent: bool, body: &str) -> caller::RequestSpec {
        caller::RequestSpec {
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
    pub async fn send(
        &self,
        name: &str,
        entry: usize,
        idempotent: bool,
        body: &str,
    ) -> RequestOutcome {
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
    ) -> tokio::task::JoinHandle<RequestOutcome> {
        let spec = Self::spec(name, idempotent, body);
        let caller = self.caller.clone();
        let address = self.entry(entry);
        let others: Vec<_> = self.entries.iter().map(|one| one.0).rev().collect();
        tokio::spawn(async move { caller.send(address, &others, &spec).await })
    }

    pub fn assert_whole(told: &RequestOutcome, name: &str, body: &str) {
        let expected = Self::spec(name, true, body).expected_response(false);
        let RequestOutcome::Completed { text, .. } = told else {
            panic!("{name} was told {told:?}");
        };
        assert_eq!(*text, expected);
    }

    async fn runs(&self, vm: &VmProcesses) -> engine::RunCounts {
        let request = client::json_request::<()>(hyper::Method::GET, vm.engine, "/runs", None);
        let request = request.expect("a request");
        let exchange = self
            .client
            .send_and_read_body(vm.engine, request, TIMEOUT)
            .await;
        serde_json::from_slice(&exchange.expect("the engine answers").1).expect("its runs")
    }

    /// Returns how many engines started a request, repeats included.
    pub async fn run_count(&self, name: &str) -> u32 {
        let mut count = 0;
        for vm in &self.vms {
            count += self.runs(vm).await.started.get(name).unwrap_or(&0);
        }
        count
    }

    pub async fn mixed_count(&self) -> u32 {
        let mut count = 0;
        for vm in &self.vms {
            count += self.runs(vm).await.mixed_count;
        }
        count
    }

    async fn running(&self, name: &str) -> usize {
        for (index, vm) in self.vms.iter().enumerate() {
            if self.runs(vm).await.started.contains_key(name) {
                return index;
            }
        }
        panic!("{name} runs nowhere");
    }

    /// Sends a request for another time; its caller reads no more than it is told.
    pub async fn send_again(
        &self,
        name: &str,
        entry: usize,
        attempt: u64,
        body: &str,
    ) -> RequestOutcome {
        let mut spec = Self::spec(name, false, body);
        spec.attempt = attempt;
        self.caller.send(self.entry(entry), &[], &spec).await
    }

    /// Starts another agent with the same settings, and waits until entries use it.
    pub async fn restart_agent(&mut self, index: usize) {
        let settings = std::slice::from_ref(&self.vms[index].settings);
        self.vms[index].agent = spawn("pimentohook-agent", settings);
        // The agent before it counts as open until it has been silent for this long.
        tokio::time::sleep(AGENT_SILENCE_MAX + POLL).await;
        self.wait_ready(self.vms.len()).await;
    }

    pub fn restart_entry(&mut self, index: usize) {
        let settings = std::slice::from_ref(&self.entry_settings[index]);
        self.entries[index].1 = Some(spawn("pimentohook-entry", settings));
    }

    pub async fn set_platform_down(&self, down: bool) {
        let faults = objects::Faults {
            down,
            ..objects::Faults::default()
        };
        let method = hyper::Method::POST;
        let request = client::json_request(method, self.platform, "/faults", Some(&faults));
        let request = request.expect("a request");
        let exchange = self
            .client
            .send_and_read_body(self.platform, request, TIMEOUT)
            .await;
        assert_eq!(exchange.expect("the platform answers").0, 200);
    }

    async fn status(&self, entry: usize) -> Option<public::Status> {
        fleet::fetch_status(&self.client, self.entry(entry)).await
    }

    pub async fn config_version(&self, entry: usize) -> id::ConfigVersion {
        let status = self.status(entry).await;
        status.expect("the entry answers").config_version
    }

    pub async fn wait_config_version(&self, entry: usize, version: id::ConfigVersion) {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let status = self.status(entry).await;
            let open = status.is_some_and(|status| {
                let mut services = status.services.values();
                status.config_version == version && services.all(|one| one.open_count > 0)
            });
            if open {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the configuration does not come");
    }

    pub async fn duty_holder(&self) -> usize {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let status = self.status(0).await;
            if let Some(holder) = status.and_then(|status| status.duty_holder) {
                let number = holder.as_str().trim_start_matches("entry-");
                return number.parse().expect("its number");
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("nobody holds the duties");
    }

    pub fn freeze_entry(&self, index: usize) {
        let child = self.entries[index].1.as_ref();
        signal(child.expect("the entry runs"), "-STOP");
    }

    pub fn thaw_entry(&self, index: usize) {
        let child = self.entries[index].1.as_ref();
        signal(child.expect("the entry runs"), "-CONT");
    }

    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].1 = None;
    }

    pub fn terminate_entry(&self, index: usize) {
        let child = self.entries[index].1.as_ref();
        signal(child.expect("the entry runs"), "-TERM");
    }

    pub async fn kill_agent_running(&mut self, name: &str) {
        let index = self.running(name).await;
        let _ = self.vms[index].agent.kill();
    }

    pub async fn terminate_agent_running(&self, name: &str) {
        let index = self.running(name).await;
        signal(&self.vms[index].agent, "-TERM");
    }

    pub async fn freeze_agent_running(&self, name: &str) -> usize {
        let index = self.running(name).await;
        signal(&self.vms[index].agent, "-STOP");
        index
    }

    pub fn thaw(&self, index: usize) {
        signal(&self.vms[index].agent, "-CONT");
    }

    pub async fn listed_entries(&self, asked: usize) -> Vec<net::SocketAddr> {
        let entries = self.caller.entries(self.entry(asked)).await;
        entries.expect("the entry answers").addresses
    }

    pub async fn status_without_token(&self) -> u16 {
        let address = self.entry(0);
        let request = client::json_request::<()>(hyper::Method::GET, address, "/v1/status", None);
        let request = request.expect("a request");
        let exchange = self
            .client
            .send_and_read_body(address, request, TIMEOUT)
            .await;
        exchange.expect("the entry answers").0.as_u16()
    }

    pub async fn plan(&self, version: &str, entry: usize) -> intent::Plan {
        let intent = intent::Intent::RollOut {
            services: vec![fleet::MODEL_SERVICE.parse().expect("a name")],
            version: version.parse().expect("a name"),
        };
        let path = "/v1/intents";
        let planned =
            fleet::send_operator_request(&self.client, self.entry(entry), path, Some(&intent))
                .await;
        let (status, body) = planned.expect("the entry answers");
        assert_eq!(status, 200, "{body:?}");
        serde_json::from_slice(&body).expect("a plan")
    }

    pub async fn confirm(&self, plan: &intent::Plan, entry: usize) -> u16 {
        let path = "/v1/confirm";
        let told =
            fleet::send_operator_request(&self.client, self.entry(entry), path, Some(plan)).await;
        told.expect("the entry answers").0.as_u16()
    }

    pub async fn roll_out(&self, version: &str) {
        let plan = self.plan(version, 0).await;
        assert_eq!(self.confirm(&plan, 0).await, 200);
    }

    pub async fn wait_live(&self, replica_count: u32, timeout: time::Duration) {
        let deadline = time::Instant::now() + timeout;
        while time::Instant::now() < deadline {
            let mut live = true;
            for entry in 0..self.entries.len() {
                let status = self.status(entry).await;
                let count = status.and_then(|one| Some(one.services.values().next()?.live_count));
                live &= count == Some(replica_count);
            }
            if live {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the new weights did not go into service");
    }
}
