//! A complete fleet in one process, on loopback, which runs the same code as the binaries.
//!
//! Each VM has its own loopback address and a counting TCP proxy in front of its agent, so the
//! bytes on each link are counted outside the system under test.

mod settings;

use std::{io, net, sync, time};

use indexmap::IndexMap;
use pimentohook_agent as agent;
use pimentohook_core::{burst, id, intent, size};
use pimentohook_entry as entry;
use pimentohook_runtime::{client, server};
use snafu::{ResultExt, Snafu};

use crate::{engine, objects, store, tcp_proxy};

/// An error on starting a fleet.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A name is invalid.
    #[snafu(display("fleet: {source}"))]
    Name {
        /// The underlying error.
        source: id::ParseError,
    },
    /// A test double can't listen on its address.
    #[snafu(display("fleet: {source}"))]
    Listen {
        /// The underlying error.
        source: server::ServerError,
    },
    /// A proxy can't listen on its address.
    #[snafu(display("fleet: {source}"))]
    Proxy {
        /// The underlying error.
        source: io::Error,
    },
    /// An agent can't start.
    #[snafu(display("fleet: {source}"))]
    Agent {
        /// The underlying error.
        source: agent::AgentError,
    },
    /// An entry can't start.
    #[snafu(display("fleet: {source}"))]
    Entry {
        /// The underlying error.
        source: entry::EntryError,
    },
    /// The configuration can't be encoded.
    #[snafu(display("fleet: {source}"))]
    Config {
        /// The underlying error.
        source: serde_json::Error,
    },
}

/// The size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The number of VMs with a model engine.
    pub replica_count: usize,
    /// The number of VMs with a plain service.
    pub plain_count: usize,
    /// The number of entries.
    pub entry_count: usize,
    /// The size of version 1 of the weights.
    pub v1_bytes: size::ByteCount,
    /// The size of version 2 of the weights.
    pub v2_bytes: size::ByteCount,
    /// The size of a chunk in bytes.
    pub chunk_bytes: u32,
    /// The rate limit for weights on the link of each VM, per direction.
    pub link_rate: size::ByteRate,
    /// The rate limit of the origin.
    pub origin_rate: size::ByteRate,
    /// What to minimise first: bytes from the origin or the time of the rollout.
    pub policy: burst::Policy,
    /// The minimum percentage of replicas that keep serving during a rollout.
    pub floor_percent: u8,
    /// The number of requests that an engine runs concurrently.
    pub slot_count: usize,
    /// The number of further requests that may wait for a slot.
    pub queue_max: usize,
    /// The duration of one step of an engine.
    pub step: time::Duration,
    /// How long request ids are remembered for deduplication.
    pub window: time::Duration,
    /// The minimum age of an agent that runs non-idempotent requests.
    pub join_age: time::Duration,
    /// The seed of the pseudo-random weights.
    pub seed: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            replica_count: 4,
            plain_count: 1,
            entry_count: 2,
            v1_bytes: size::ByteCount::new(1 << 20),
            v2_bytes: size::ByteCount::new(4 << 20),
            chunk_bytes: 128 << 10,
            link_rate: size::ByteRate::new(32 << 20),
            origin_rate: size::ByteRate::new(32 << 20),
            policy: burst::Policy::OriginFirst,
            floor_percent: 50,
            slot_count: 8,
            queue_max: 8,
            step: time::Duration::from_millis(10),
            window: time::Duration::from_secs(20),
            join_age: time::Duration::from_millis(300),
            seed: 1,
        }
    }
}

/// The name of the model service.
pub const MODEL_SERVICE: &str = "assistant";
/// The name of the plain service.
pub const PLAIN_SERVICE: &str = "hooks";
/// The operator's bearer token.
pub const OPERATOR_TOKEN: &str = "demonstration-token";

const FAILURE_DOMAINS: [&str; 3] = ["jylland", "sjaelland", "fyn"];

/// A VM of the fleet.
#[derive(Debug)]
pub struct FleetVm {
    /// Its loopback address.
    pub ip: net::IpAddr,
    /// Its engine or plain service.
    pub engine: sync::Arc<engine::Engine>,
    /// The HTTP server of the engine.
    pub upstream: crate::Running,
    /// The proxy in front of its agent.
    pub proxy: tcp_proxy::TcpProxy,
    /// Its agent; `None` after it has been stopped.
    pub agent: Option<agent::Running>,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The object API.
    pub objects: sync::Arc<objects::ObjectApi>,
    /// The weight store.
    pub store: sync::Arc<store::Store>,
    /// The VMs with model engines.
    pub engine_vms: Vec<FleetVm>,
    /// The VMs with plain services.
    pub plain_vms: Vec<FleetVm>,
    /// The entries; `None` after one has been stopped.
    pub entries: Vec<Option<entry::Running>>,
    /// The addresses of the entries.
    pub entry_addresses: Vec<net::SocketAddr>,
    /// The digest of the manifest of version 2 of the weights.
    pub v2_manifest: id::Digest,
    /// The content digest of version 2 of the weights.
    pub v2_content: id::Digest,
    /// The size of version 2 of the weights.
    pub v2_bytes: size::ByteCount,
}

fn parse<T>(text: &str) -> Result<T, FleetError>
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    text.parse().context(NameSnafu)
}

/// Returns the configuration of a model service that serves the given weights.
#[must_use]
pub fn model_service(
    manifest: &burst::manifest::Manifest,
    floor_percent: u8,
    policy: burst::Policy,
) -> intent::ServiceConfig {
    let weights = intent::WeightsRef {
        version: manifest.version.clone(),
        manifest: manifest.digest(),
        content: manifest.content,
        total_bytes: manifest.total_bytes,
    };
    intent::ServiceConfig {
        weights: Some(weights),
        previous: Vec::new(),
        idempotent: true,
        floor_percent,
        policy,
    }
}

impl Fleet {
    /// Starts a fleet that serves version 1 of the weights and has version 2 in its store.
    ///
    /// # Errors
    ///
    /// Returns [`FleetError`] if a part of the fleet can't be started.
    pub async fn start(options: &FleetOptions) -> Result<Self, FleetError> {
        let objects = objects::ObjectApi::new();
        let store = store::Store::new(options.origin_rate);
        let chunk_bytes = options.chunk_bytes;
        let v1 = store.publish(&parse("v1")?, options.v1_bytes, chunk_bytes, options.seed);
        let v2_seed = options.seed + 1;
        let v2 = store.publish(&parse("v2")?, options.v2_bytes, chunk_bytes, v2_seed);
        let config = settings::initial_config(options, &v1)?;
        objects.set(
            "config",
            serde_json::to_value(&config).context(ConfigSnafu)?,
        );
        let api = crate::start(crate::ephemeral_address(), objects::router(&objects)).await;
        let api = api.context(ListenSnafu)?.address;
        let origin = crate::start(crate::ephemeral_address(), store::router(&store)).await;
        let origin = origin.context(ListenSnafu)?.address;
        let addresses = (0..options.entry_count).map(|_| crate::unique_loopback_address());
        let entry_addresses: Vec<_> = addresses.collect();
        let mut entries = Vec::new();
        for index in 0..options.entry_count {
            let settings = settings::entry_settings(options, index, &entry_addresses, api, origin)?;
            let running = entry::start(settings).await.context(EntrySnafu)?;
            entries.push(Some(running));
        }
        let mut fleet = Self {
            objects,
            store,
            engine_vms: Vec::new(),
            plain_vms: Vec::new(),
            entries,
            entry_addresses,
            v2_manifest: v2.digest(),
            v2_content: v2.content,
            v2_bytes: v2.total_bytes,
        };
        for index in 0..options.replica_count {
            let vm = fleet.start_vm(options, index, Some(v1.content), origin);
            let vm = vm.await?;
            fleet.engine_vms.push(vm);
        }
        for index in 0..options.plain_count {
            let index = options.replica_count + index;
            let vm = fleet.start_vm(options, index, None, origin).await?;
            fleet.plain_vms.push(vm);
        }
        Ok(fleet)
    }

    async fn start_vm(
        &self,
        options: &FleetOptions,
        index: usize,
        weights: Option<id::Digest>,
        origin: net::SocketAddr,
    ) -> Result<FleetVm, FleetError> {
        let listen = crate::unique_loopback_address();
        let engine = engine::Engine::new(options.slot_count, options.step, weights);
        let upstream = crate::start(crate::ephemeral_address(), engine::router(&engine)).await;
        let upstream = upstream.context(ListenSnafu)?;
        let proxy = tcp_proxy::TcpProxy::start(listen)
            .await
            .context(ProxySnafu)?;
        let mut vm = FleetVm {
            ip: listen.ip(),
            engine,
            upstream,
            proxy,
            agent: None,
        };
        let settings = settings::agent_settings(self, options, index, &vm, listen, origin)?;
        let running = agent::start(settings).await.context(AgentSnafu)?;
        vm.agent = Some(running);
        Ok(vm)
    }

    /// Waits until every replica accepts requests at every entry; returns false after `timeout`.
    pub async fn wait_ready(&self, timeout: time::Duration) -> bool {
        let client = client::Client::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED));
        let deadline = time::Instant::now() + timeout;
        while time::Instant::now() < deadline {
            let mut ready = true;
            for entry in &self.entry_addresses {
                ready &= self.is_ready_at(&client, *entry).await;
            }
            if ready {
                return true;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        false
    }

    async fn is_ready_at(&self, client: &client::Client, entry: net::SocketAddr) -> bool {
        let Some(status) = fetch_status(client, entry).await else {
            return false;
        };
        let open_count = |service: &str| {
            let mut services = status.services.iter();
            let found = services.find(|(name, _)| name.as_str() == service);
            found.map_or(0, |(_, service_status)| service_status.open_count as usize)
        };
        open_count(MODEL_SERVICE) == self.engine_vms.len()
            && open_count(PLAIN_SERVICE) == self.plain_vms.len()
    }

    /// Returns the bytes of weights that each engine VM has sent and received: of any version to and
    /// from other agents, of version 2 from the origin.
    ///
    /// Bytes between agents include the overhead of their protocol.
    #[must_use]
    pub fn link_bytes(&self) -> IndexMap<net::IpAddr, u64> {
        let vm_ips: Vec<net::IpAddr> = self.engine_vms.iter().map(|vm| vm.ip).collect();
        let mut link_bytes = self.origin_bytes();
        for vm in &self.engine_vms {
            for (client_ip, bytes) in vm.proxy.bytes_by_client() {
                if vm_ips.contains(&client_ip) {
                    *link_bytes.entry(client_ip).or_insert(0) += bytes;
                    *link_bytes.entry(vm.ip).or_insert(0) += bytes;
                }
            }
        }
        link_bytes
    }

    /// Returns what each engine VM has sent and received since `before`, in copies of version 2.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a ratio for people to read")]
    pub fn link_copies_since(&self, before: &IndexMap<net::IpAddr, u64>) -> Vec<f64> {
        let copy_bytes = self.v2_bytes.get() as f64;
        let link_bytes = self.link_bytes();
        let since = link_bytes.iter().map(|(vm, bytes)| {
            let bytes_before = before.get(vm).copied().unwrap_or(0);
            bytes.saturating_sub(bytes_before) as f64 / copy_bytes
        });
        since.collect()
    }

    /// Returns the number of bytes of version 2 that the origin sent to each VM.
    #[must_use]
    pub fn origin_bytes(&self) -> IndexMap<net::IpAddr, u64> {
        match parse("v2") {
            Ok(version) => self.store.sent_bytes(&version),
            Err(_) => IndexMap::new(),
        }
    }

    /// Returns the number of engines that serve version 2 of the weights.
    #[must_use]
    pub fn live_count(&self) -> usize {
        let is_live = |vm: &&FleetVm| vm.engine.weights() == Some(self.v2_content);
        self.engine_vms.iter().filter(is_live).count()
    }
}

const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Returns the status of an entry, or `None` if the entry does not respond with one.
pub async fn fetch_status(
    client: &client::Client,
    entry: net::SocketAddr,
) -> Option<pimentohook_wire::public::Status> {
    let (status, body) = send_operator_request::<()>(client, entry, "/v1/status", None).await?;
    if status != hyper::StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

/// Sends a request with the operator's token: a POST if there is a body, otherwise a GET.
///
/// Returns the status and the body of the response, or `None` if the entry does not respond.
pub async fn send_operator_request<Q>(
    client: &client::Client,
    entry: net::SocketAddr,
    path: &str,
    body: Option<&Q>,
) -> Option<(hyper::StatusCode, bytes::Bytes)>
where
    Q: serde::Serialize,
{
    let method = if body.is_some() {
        hyper::Method::POST
    } else {
        hyper::Method::GET
    };
    let mut request = client::json_request(method, entry, path, body).ok()?;
    let token = hyper::header::HeaderValue::try_from(format!("Bearer {OPERATOR_TOKEN}")).ok()?;
    request
        .headers_mut()
        .insert(hyper::header::AUTHORIZATION, token);
    client
        .send_and_read_body(entry, request, STATUS_TIMEOUT * 5)
        .await
        .ok()
}
