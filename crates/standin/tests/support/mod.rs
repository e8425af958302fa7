//! A fleet of separate processes on loopback.

mod operators;

use std::{net, path, process, time};

use pimentohook_core::{
    burst::{self, manifest},
    id, intent, size,
};
use pimentohook_runtime::client;
use pimentohook_standin::{
    caller::{self, Outcome},
    engine, fleet, objects, processes, store,
};

const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const AGENT_SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const WEIGHTS_BYTES: size::ByteCount = size::ByteCount::new(2 << 20);
const CHUNK_BYTES: u32 = 128 << 10;

fn send_signal(child: &processes::ChildProcess, signal: &str) {
    let pid = child.id().to_string();
    let status = process::Command::new("kill").args([signal, &pid]).status();
    assert!(status.expect("kill runs").success());
}

struct VmProcesses {
    engine_address: net::SocketAddr,
    agent: processes::ChildProcess,
    settings_path: String,
    _engine_process: processes::ChildProcess,
}

/// A running fleet of processes.
pub struct ProcessFleet {
    _platform_processes: Vec<processes::ChildProcess>,
    platform_address: net::SocketAddr,
    entries: Vec<(net::SocketAddr, Option<processes::ChildProcess>)>,
    entry_settings_paths: Vec<String>,
    vms: Vec<VmProcesses>,
    client: client::Client,
    caller: caller::Caller,
}

fn spawn(name: &str, arguments: &[String]) -> processes::ChildProcess {
    let own_path = path::Path::new(env!("CARGO_BIN_EXE_pimentohook-standin"));
    let program = own_path.with_file_name(name);
    let child = processes::ChildProcess::start(&program, arguments);
    child.unwrap_or_else(|error| panic!("{name}: {error}; build the workspace first"))
}

fn spawn_standin(arguments: &[&str]) -> processes::ChildProcess {
    let arguments: Vec<String> = arguments.iter().map(|text| String::from(*text)).collect();
    spawn("pimentohook-standin", &arguments)
}

fn settings_directory() -> &'static path::Path {
    path::Path::new(env!("CARGO_TARGET_TMPDIR"))
}

fn generate_manifest(version: &str, seed: u64) -> manifest::Manifest {
    let store = store::Store::new(size::ByteRate::new(1 << 30));
    let version = version.parse().expect("a valid name");
    store.publish(&version, WEIGHTS_BYTES, CHUNK_BYTES, seed)
}

impl ProcessFleet {
    /// Starts entries, agents and test doubles, and waits until all are ready.
    pub async fn start(entry_count: usize, replica_count: usize) -> Self {
        let (platform_address, weight_store_address) = (
            pimentohook_standin::unique_loopback_address(),
            pimentohook_standin::unique_loopback_address(),
        );
        let v1 = generate_manifest("v1", 1);
        let children = vec![
            spawn_standin(&["platform", "--listen", &platform_address.to_string()]),
            spawn_standin(&["store", "--listen", &weight_store_address.to_string()]),
        ];
        let addresses: Vec<_> = (0..entry_count)
            .map(|_| pimentohook_standin::unique_loopback_address())
            .collect();
        let settings_paths = (0..entry_count).map(|index| {
            let file = processes::EntrySettingsFile {
                index,
                entries: addresses.clone(),
                object_api: platform_address,
                weight_store: weight_store_address,
            };
            file.write(settings_directory())
                .expect("settings can be written")
        });
        let entry_settings_paths: Vec<String> = settings_paths.collect();
        let entries = entry_settings_paths
            .iter()
            .zip(&addresses)
            .map(|(path, address)| {
                let child = spawn("pimentohook-entry", std::slice::from_ref(path));
                (*address, Some(child))
            });
        let entries = entries.collect();
        let vms = (0..replica_count).map(|index| {
            let (upstream, listen) = (
                pimentohook_standin::unique_loopback_address(),
                pimentohook_standin::unique_loopback_address(),
            );
            let content = v1.content.to_string();
            let engine = spawn_standin(&[
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
                weight_store: weight_store_address,
            };
            let path = file
                .write(settings_directory())
                .expect("settings can be written");
            let agent = spawn("pimentohook-agent", std::slice::from_ref(&path));
            VmProcesses {
                engine_address: upstream,
                agent,
                settings_path: path,
                _engine_process: engine,
            }
        });
        let vms = vms.collect();
        let fleet = Self {
            _platform_processes: children,
            platform_address,
            entries,
            entry_settings_paths,
            vms,
            client: client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED)),
            caller: caller::Caller::new(),
        };
        fleet.put_config(platform_address, &v1).await;
        fleet.wait_until_ready(replica_count).await;
        fleet
    }

    async fn put_config(&self, platform_address: net::SocketAddr, v1: &manifest::Manifest) {
        let service = fleet::model_service(v1, 50, burst::Policy::OriginFirst);
        let name = fleet::MODEL_SERVICE.parse().expect("a valid name");
        let config = intent::Config {
            version: id::ConfigVersion::new(1),
            services: [(name, service)].into_iter().collect(),
            ..intent::Config::default()
        };
        let path = "/objects/config?if_version=0";
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let request =
                client::json_request(hyper::Method::PUT, platform_address, path, Some(&config))
                    .expect("a valid request");
            if self
                .client
                .send_and_read_body(platform_address, request, REQUEST_TIMEOUT)
                .await
                .is_ok()
            {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the platform does not respond");
    }

    async fn wait_until_ready(&self, replica_count: usize) {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let mut is_ready = true;
            for (address, _) in &self.entries {
                let status = fleet::fetch_status(&self.client, *address).await;
                let count = status.and_then(|status| {
                    let service = status.services.values().next()?;
                    Some(service.open_count as usize)
                });
                is_ready &= count == Some(replica_count);
            }
            if is_ready {
                // Agents run non-idempotent requests once they are older than `join_age_ms`.
                tokio::time::sleep(time::Duration::from_millis(400)).await;
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the fleet did not become ready in time");
    }

    fn spec(name: &str, idempotent: bool, body: &str) -> caller::RequestSpec {
        caller::RequestSpec {
            request_id: name.parse().expect("a valid name"),
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

    /// Sends a request and waits for its outcome.
    pub async fn send(&self, name: &str, entry: usize, idempotent: bool, body: &str) -> Outcome {
        let pending = self.send_in_background(name, entry, idempotent, body);
        pending.await.expect("the task completes")
    }

    /// Sends a request in a background task, whose handle yields the outcome.
    pub fn send_in_background(
        &self,
        name: &str,
        entry: usize,
        idempotent: bool,
        body: &str,
    ) -> tokio::task::JoinHandle<Outcome> {
        let spec = Self::spec(name, idempotent, body);
        let caller = self.caller.clone();
        let address = self.entry(entry);
        let others: Vec<_> = self.entries.iter().map(|entry| entry.0).rev().collect();
        tokio::spawn(async move { caller.send(address, &others, &spec).await })
    }

    pub fn assert_completed(outcome: &Outcome, name: &str, body: &str) {
        let expected = Self::spec(name, true, body).expected_response(false);
        let Outcome::Completed { text, .. } = outcome else {
            panic!("{name} ended with {outcome:?}");
        };
        assert_eq!(*text, expected);
    }

    async fn runs(&self, vm: &VmProcesses) -> engine::RunCounts {
        let request =
            client::json_request::<()>(hyper::Method::GET, vm.engine_address, "/runs", None);
        let request = request.expect("a valid request");
        let response = self
            .client
            .send_and_read_body(vm.engine_address, request, REQUEST_TIMEOUT)
            .await;
        serde_json::from_slice(&response.expect("the engine responds").1)
            .expect("the runs can be decoded")
    }

    /// Returns how many times engines started a request, repeated runs included.
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

    async fn vm_index_running(&self, name: &str) -> usize {
        for (index, vm) in self.vms.iter().enumerate() {
            if self.runs(vm).await.started.contains_key(name) {
                return index;
            }
        }
        panic!("{name} does not run on any engine");
    }

    /// Retries a request with the given attempt number, without resuming an interrupted response.
    pub async fn retry(&self, name: &str, entry: usize, attempt: u64, body: &str) -> Outcome {
        let mut spec = Self::spec(name, false, body);
        spec.attempt = attempt;
        self.caller.send(self.entry(entry), &[], &spec).await
    }

    /// Starts a new agent with the same settings and waits until the entries use it.
    pub async fn restart_agent(&mut self, index: usize) {
        let arguments = std::slice::from_ref(&self.vms[index].settings_path);
        self.vms[index].agent = spawn("pimentohook-agent", arguments);
        // The previous agent counts as open until it has been silent for this long.
        tokio::time::sleep(AGENT_SILENCE_TIMEOUT + POLL_INTERVAL).await;
        self.wait_until_ready(self.vms.len()).await;
    }

    pub fn restart_entry(&mut self, index: usize) {
        let arguments = std::slice::from_ref(&self.entry_settings_paths[index]);
        self.entries[index].1 = Some(spawn("pimentohook-entry", arguments));
    }

    pub async fn set_platform_down(&self, down: bool) {
        let faults = objects::Faults {
            down,
            ..objects::Faults::default()
        };
        let method = hyper::Method::POST;
        let request = client::json_request(method, self.platform_address, "/faults", Some(&faults));
        let request = request.expect("a valid request");
        let response = self
            .client
            .send_and_read_body(self.platform_address, request, REQUEST_TIMEOUT)
            .await;
        assert_eq!(response.expect("the platform responds").0, 200);
    }

    pub fn suspend_entry(&self, index: usize) {
        let child = self.entries[index].1.as_ref();
        send_signal(child.expect("the entry runs"), "-STOP");
    }

    pub fn resume_entry(&self, index: usize) {
        let child = self.entries[index].1.as_ref();
        send_signal(child.expect("the entry runs"), "-CONT");
    }

    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].1 = None;
    }

    pub fn terminate_entry(&self, index: usize) {
        let child = self.entries[index].1.as_ref();
        send_signal(child.expect("the entry runs"), "-TERM");
    }

    pub async fn kill_agent_running(&mut self, name: &str) {
        let index = self.vm_index_running(name).await;
        let _ = self.vms[index].agent.kill();
    }

    pub async fn terminate_agent_running(&self, name: &str) {
        let index = self.vm_index_running(name).await;
        send_signal(&self.vms[index].agent, "-TERM");
    }

    pub async fn suspend_agent_running(&self, name: &str) -> usize {
        let index = self.vm_index_running(name).await;
        send_signal(&self.vms[index].agent, "-STOP");
        index
    }

    pub fn resume_agent(&self, index: usize) {
        send_signal(&self.vms[index].agent, "-CONT");
    }

    pub async fn listed_entries(&self, entry: usize) -> Vec<net::SocketAddr> {
        let entries = self.caller.entries(self.entry(entry)).await;
        entries.expect("the entry responds").addresses
    }
}
