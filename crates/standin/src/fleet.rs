//! A whole fleet in one process, on loopback, with the same code as the binaries.
//!
//! Each machine has a loopback address of its own and a counting relay before its agent, so the
//! bytes on each link are counted outside the system.

use std::{io, net, sync, time};

use indexmap::IndexMap;
use pimentohook_agent as agent;
use pimentohook_core::{burst, id, intent, size};
use pimentohook_entry as entry;
use pimentohook_runtime::{client, server};
use snafu::{ResultExt, Snafu};

use crate::{engine, objects, store, tcp_proxy};

/// A fleet that can't be set up.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A name is not valid.
    #[snafu(display("fleet: {source}"))]
    Name {
        /// The cause.
        source: id::ParseError,
    },
    /// A stand-in can't listen.
    #[snafu(display("fleet: {source}"))]
    Listen {
        /// The cause.
        source: server::ServerError,
    },
    /// A relay can't listen.
    #[snafu(display("fleet: {source}"))]
    Proxy {
        /// The cause.
        source: io::Error,
    },
    /// An agent can't start.
    #[snafu(display("fleet: {source}"))]
    Agent {
        /// The cause.
        source: agent::AgentError,
    },
    /// An entry can't start.
    #[snafu(display("fleet: {source}"))]
    Entry {
        /// The cause.
        source: entry::EntryError,
    },
    /// The configuration can't be encoded.
    #[snafu(display("fleet: {source}"))]
    Config {
        /// The cause.
        source: serde_json::Error,
    },
}

/// What the fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Model engines.
    pub replica_count: usize,
    /// Plain services.
    pub plain_count: usize,
    /// Entries.
    pub entry_count: usize,
    /// The size of version 1.
    pub v1_bytes: size::ByteCount,
    /// The size of version 2.
    pub v2_bytes: size::ByteCount,
    /// The size of a chunk.
    pub chunk_bytes: u32,
    /// What each machine's link carries for weights, each way.
    pub link_rate: size::ByteRate,
    /// What the origin's link carries.
    pub origin_rate: size::ByteRate,
    /// Which measure goes first.
    pub policy: burst::Policy,
    /// The share of replicas that keep serving.
    pub floor_percent: u8,
    /// How many requests an engine runs at once.
    pub slot_count: usize,
    /// How many more may wait.
    pub queue_max: usize,
    /// How long an engine's step takes.
    pub step: time::Duration,
    /// How long request ids are remembered.
    pub window: time::Duration,
    /// Age at which agents may run non-idempotent requests.
    pub join_age: time::Duration,
    /// Seeds the weights.
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

/// The model service of the fleet.
pub const MODEL_SERVICE: &str = "assistant";
/// The plain service of the fleet.
pub const PLAIN_SERVICE: &str = "hooks";
/// The token of the fleet's operator.
pub const OPERATOR_TOKEN: &str = "demonstration-token";

const DOMAINS: [&str; 3] = ["jylland", "sjaelland", "fyn"];

/// One machine.
#[derive(Debug)]
pub struct FleetVm {
    /// Its address on loopback.
    pub ip: net::IpAddr,
    /// Its engine or plain service.
    pub engine: sync::Arc<engine::Engine>,
    /// Where the engine listens.
    pub upstream: crate::Running,
    /// The relay before its agent.
    pub proxy: tcp_proxy::TcpProxy,
    /// Its agent; `None` once it was stopped.
    pub agent: Option<agent::Running>,
}

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The object API.
    pub objects: sync::Arc<objects::ObjectApi>,
    /// The weight store.
    pub store: sync::Arc<store::Store>,
    /// The machines with model engines.
    pub engine_vms: Vec<FleetVm>,
    /// The machines with plain services.
    pub plain_vms: Vec<FleetVm>,
    /// The entries; `None` once one was stopped.
    pub entries: Vec<Option<entry::Running>>,
    /// Where the entries listen.
    pub entry_addresses: Vec<net::SocketAddr>,
    /// The content of version 2.
    pub v2_content: id::Digest,
    /// The size of version 2.
    pub v2_bytes: size::ByteCount,
}

fn parse<T>(text: &str) -> Result<T, FleetError>
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    text.parse().context(NameSnafu)
}

/// Returns a model service that serves a first version of weights.
#[must_use]
pub fn model_service(
    first: &burst::manifest::Manifest,
    floor_percent: u8,
    policy: burst::Policy,
) -> intent::ServiceConfig {
    let weights = intent::WeightsRef {
        version: first.version.clone(),
        manifest: first.digest(),
        content: first.content,
        total_bytes: first.total_bytes,
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
    /// Starts a fleet that serves version 1 and has version 2 in its store.
    ///
    /// # Errors
    ///
    /// [`FleetError`] says what can't be started.
    pub async fn start(options: &FleetOptions) -> Result<Self, FleetError> {
        let objects = objects::ObjectApi::new();
        let store = store::Store::new(options.origin_rate);
        let chunk_bytes = options.chunk_bytes;
        let first = store.publish(&parse("v1")?, options.v1_bytes, chunk_bytes, options.seed);
        let second_seed = options.seed + 1;
        let second = store.publish(&parse("v2")?, options.v2_bytes, chunk_bytes, second_seed);
        let config = first_config(options, &first)?;
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
            let settings = entry_settings(options, index, &entry_addresses, api, origin)?;
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
            v2_content: second.content,
            v2_bytes: second.total_bytes,
        };
        for index in 0..options.replica_count {
            let machine = fleet.machine(options, index, Some(first.content), origin);
            let machine = machine.await?;
            fleet.engine_vms.push(machine);
        }
        for index in 0..options.plain_count {
            let index = options.replica_count + index;
            let machine = fleet.machine(options, index, None, origin).await?;
            fleet.plain_vms.push(machine);
        }
        Ok(fleet)
    }

    async fn machine(
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
        let mut machine = FleetVm {
            ip: listen.ip(),
            engine,
            upstream,
            proxy,
            agent: None,
        };
        let settings = agent_settings(self, options, index, &machine, listen, origin)?;
        let running = agent::start(settings).await.context(AgentSnafu)?;
        machine.agent = Some(running);
        Ok(machine)
    }

    /// Waits until every replica takes requests at every entry; false where that takes too long.
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
            tokio::time::sleep(READY_POLL).await;
        }
        false
    }

    async fn is_ready_at(&self, client: &client::Client, entry: net::SocketAddr) -> bool {
        let Some(status) = fetch_status(client, entry).await else {
            return false;
        };
        let open = |service: &str| {
            let mut services = status.services.iter();
            let found = services.find(|(name, _)| name.as_str() == service);
            found.map_or(0, |(_, one)| one.open_count as usize)
        };
        open(MODEL_SERVICE) == self.engine_vms.len() && open(PLAIN_SERVICE) == self.plain_vms.len()
    }

    /// Returns the bytes that went in and out of each model machine for version 2, in copies.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a ratio for people to read")]
    pub fn link_copies(&self) -> Vec<f64> {
        let machines: Vec<net::IpAddr> = self.engine_vms.iter().map(|one| one.ip).collect();
        let mut moved: IndexMap<net::IpAddr, u64> = IndexMap::new();
        for machine in &self.engine_vms {
            for (to, bytes) in machine.proxy.bytes_by_client() {
                if machines.contains(&to) {
                    *moved.entry(to).or_insert(0) += bytes;
                    *moved.entry(machine.ip).or_insert(0) += bytes;
                }
            }
        }
        for (to, bytes) in self.origin_bytes() {
            *moved.entry(to).or_insert(0) += bytes;
        }
        let total = self.v2_bytes.get() as f64;
        moved.values().map(|bytes| *bytes as f64 / total).collect()
    }

    /// Returns the bytes of version 2 that the origin sent, by machine.
    #[must_use]
    pub fn origin_bytes(&self) -> IndexMap<net::IpAddr, u64> {
        match parse("v2") {
            Ok(version) => self.store.sent_bytes(&version),
            Err(_) => IndexMap::new(),
        }
    }

    /// Returns how many engines serve version 2.
    #[must_use]
    pub fn live_count(&self) -> usize {
        let live = |machine: &&FleetVm| machine.engine.weights() == Some(self.v2_content);
        self.engine_vms.iter().filter(live).count()
    }
}

const READY_POLL: time::Duration = time::Duration::from_millis(50);
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Reads the status of an entry with the fleet's token.
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

/// Sends an operator's request with the fleet's token.
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

fn first_config(
    options: &FleetOptions,
    first: &burst::manifest::Manifest,
) -> Result<intent::Config, FleetError> {
    let model = model_service(first, options.floor_percent, options.policy);
    let plain = intent::ServiceConfig {
        weights: None,
        previous: Vec::new(),
        idempotent: false,
        floor_percent: options.floor_percent,
        policy: options.policy,
    };
    let services = [
        (parse(MODEL_SERVICE)?, model),
        (parse(PLAIN_SERVICE)?, plain),
    ];
    Ok(intent::Config {
        version: id::ConfigVersion::new(1),
        services: services.into_iter().collect(),
        ..intent::Config::default()
    })
}

fn entry_settings(
    options: &FleetOptions,
    index: usize,
    addresses: &[net::SocketAddr],
    api: net::SocketAddr,
    origin: net::SocketAddr,
) -> Result<entry::settings::EntrySettings, FleetError> {
    let mut entries = IndexMap::new();
    for (index, address) in addresses.iter().enumerate() {
        let place = entry::settings::EntryPlace {
            address: *address,
            failure_domain: parse(DOMAINS[index % DOMAINS.len()])?,
        };
        entries.insert(parse(&format!("entry-{index}"))?, place);
    }
    let token = entry::settings::Token::new(String::from(OPERATOR_TOKEN));
    let objective = pimentohook_core::report::Objective {
        availability_ppm: 999_000,
        latency_ms: 470,
        latency_ppm: 950_000,
    };
    let window_max = time::Duration::from_secs(30);
    Ok(entry::settings::EntrySettings {
        entry: parse(&format!("entry-{index}"))?,
        listen: addresses[index],
        entries,
        object_api: api,
        weight_store: origin,
        operators: IndexMap::from([(parse("demo")?, token)]),
        objectives: IndexMap::from([(parse(MODEL_SERVICE)?, objective)]),
        keep: time::Duration::from_millis(500),
        window: options.window,
        silence_max: time::Duration::from_millis(1_500),
        join_age: options.join_age,
        chain_length: 3,
        deadline_max: options.window.min(window_max),
        decide_max: time::Duration::from_millis(800),
        frame_silence_max: time::Duration::from_millis(800),
        retry_percent: 9,
        body_max: size::ByteCount::new(1 << 20),
        lease_term: time::Duration::from_secs(1),
        weights_rate: options.link_rate,
        grant_patience: time::Duration::from_secs(2),
        metrics: None,
        log_level: String::from("warn"),
    })
}

fn agent_settings(
    fleet: &Fleet,
    options: &FleetOptions,
    index: usize,
    machine: &FleetVm,
    listen: net::SocketAddr,
    origin: net::SocketAddr,
) -> Result<agent::settings::AgentSettings, FleetError> {
    let plain = index >= options.replica_count;
    let (service, kind) = if plain {
        (PLAIN_SERVICE, agent::settings::UpstreamKind::Plain)
    } else {
        (MODEL_SERVICE, agent::settings::UpstreamKind::Engine)
    };
    Ok(agent::settings::AgentSettings {
        vm: parse(&format!("vm-{index}"))?,
        service: parse(service)?,
        failure_domain: parse(DOMAINS[index % DOMAINS.len()])?,
        listen,
        advertise: Some(machine.proxy.address),
        entries: fleet.entry_addresses.clone(),
        kind,
        upstream: machine.upstream.address,
        weight_store: Some(origin),
        slot_count: options.slot_count,
        queue_max: options.queue_max,
        window: options.window,
        remembered_max: 100_000,
        answers_max: size::ByteCount::new(16 << 20),
        view_age_max: time::Duration::from_secs(3),
        heartbeat_every: time::Duration::from_millis(200),
        upstream_silence_max: time::Duration::from_secs(3),
        orphan_max: time::Duration::from_secs(2),
        weights_rate: options.link_rate,
        stall_max: time::Duration::from_secs(2),
        drain_max: time::Duration::from_secs(20),
        metrics: None,
        log_level: String::from("warn"),
    })
}
