//! Gossip between agents about a version: the chunks that each holds, the manifest, and grants.
//!
//! Each call exchanges the progress of both agents. An agent has at most one call in flight to each
//! of its peers.

use std::{net, sync, time};

use gotham::helpers::http::Body;
use hyper::Response;
use pimentohook_core::{
    burst::{self, downloader, ledger},
    id,
};
use pimentohook_platform::origin;
use pimentohook_runtime::server;
use pimentohook_wire::direct;
use rand::seq::IndexedRandom as _;

use super::{app, grants, peer_statuses};
use crate::mutex::lock;

/// The interval at which a sample of the peers is called.
pub const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(120);
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// The number of peers called per round. More of them are in the same failure domain, where chunks
/// are downloaded from if possible: links between failure domains have low bandwidth.
const SAME_DOMAIN_FANOUT: usize = 5;
const OTHER_DOMAINS_FANOUT: usize = 2;
/// The number of peers, first by rank, that are called besides the sample: the grantor is normally
/// one of them.
const GRANTORS_CALLED: usize = 2;
/// The number of peers, first by rank, that get the manifest from the agent that fetched it.
const MANIFEST_RECEIVERS: usize = 12;
const MESSAGE_MAX_BYTES: usize = 1 << 20;

/// The times of the last calls to peers.
#[derive(Debug)]
pub struct CallSchedule {
    sampled_at: time::Instant,
    grantors_called_at: time::Instant,
}

impl CallSchedule {
    /// Creates a schedule whose first calls are due one interval after `now`.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self {
            sampled_at: now,
            grantors_called_at: now,
        }
    }

    /// Starts the calls to a sample of the peers and to possible grantors that are due.
    ///
    /// `has_news` states that a grantor waits for this agent's report; it is then called sooner.
    pub fn start_due(
        &mut self,
        app: &sync::Arc<app::App>,
        target: &sync::Arc<app::TargetVersion>,
        has_news: bool,
    ) {
        let now = app.clock.now();
        let peers = app.peers.load_full();
        let mut called = indexmap::IndexMap::new();
        if now.duration_since(self.sampled_at) >= SAMPLE_INTERVAL {
            self.sampled_at = now;
            let (same_domain, other_domains): (Vec<_>, Vec<_>) =
                peers.iter().partition(|(_, peer)| peer.is_same_domain);
            called.extend(
                same_domain
                    .sample(&mut rand::rng(), SAME_DOMAIN_FANOUT)
                    .copied(),
            );
            called.extend(
                other_domains
                    .sample(&mut rand::rng(), OTHER_DOMAINS_FANOUT)
                    .copied(),
            );
        }
        let interval = grants::call_interval(peers.len());
        if has_news || now.duration_since(self.grantors_called_at) >= interval {
            self.grantors_called_at = now;
            called.extend(grants::by_rank(&peers, target).take(GRANTORS_CALLED));
        }
        for (vm, peer) in called {
            spawn_call(app, target, vm, peer.address, Enclosed::Nothing);
        }
    }
}

/// What a call tells besides the progress of this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Enclosed {
    Nothing,
    /// The manifest, which the peer may not have yet.
    Manifest,
}

/// Tells the manifest of a version to some peers, which then take part in its first grants.
pub fn spread_manifest(app: &sync::Arc<app::App>, target: &sync::Arc<app::TargetVersion>) {
    let peers = app.peers.load();
    let told = grants::by_rank(&peers, target).take(MANIFEST_RECEIVERS);
    for (vm, peer) in told {
        spawn_call(app, target, vm, peer.address, Enclosed::Manifest);
    }
}

/// Calls the agents that got these grants, so that they use them at once.
pub fn call_receivers(
    app: &sync::Arc<app::App>,
    target: &sync::Arc<app::TargetVersion>,
    granted: &[ledger::Grant],
) {
    let peers = app.peers.load();
    let receivers: indexmap::IndexSet<&id::VmId> = granted.iter().map(|grant| &grant.vm).collect();
    for vm in receivers {
        if let Some(peer) = peers.get(vm) {
            spawn_call(app, target, vm, peer.address, Enclosed::Nothing);
        }
    }
}

/// Calls the agents that are ranked before this one as grantors of a version that others download
/// and this one doesn't, so that one of them knows that it is live.
pub fn call_earlier_grantors(app: &sync::Arc<app::App>, target: &sync::Arc<app::TargetVersion>) {
    let rank = app.rank(target);
    if rank >= GRANTORS_CALLED {
        return;
    }
    let peers = app.peers.load();
    for (vm, peer) in grants::by_rank(&peers, target).take(rank) {
        spawn_call(app, target, vm, peer.address, Enclosed::Nothing);
    }
}

/// Starts a call to every peer, which then reports its progress and the grants that it received.
pub fn call_all(app: &sync::Arc<app::App>, target: &sync::Arc<app::TargetVersion>) {
    for (vm, peer) in app.peers.load().iter() {
        spawn_call(app, target, vm, peer.address, Enclosed::Nothing);
    }
}

/// Spawns a call to a peer unless one is in flight, so that a saturated link gets no further calls.
fn spawn_call(
    app: &sync::Arc<app::App>,
    target: &sync::Arc<app::TargetVersion>,
    vm: &id::VmId,
    address: net::SocketAddr,
    enclosed: Enclosed,
) {
    if !lock(&app.calls_in_flight).insert(vm.clone()) {
        return;
    }
    let (app, target, vm) = (app.clone(), target.clone(), vm.clone());
    tokio::spawn(async move {
        call(&app, &target, &vm, address, enclosed).await;
        lock(&app.calls_in_flight).swap_remove(&vm);
    });
}

/// Returns the progress of this agent's download of a version; `None` until its manifest is known.
#[must_use]
pub fn progress(app: &app::App, target: &app::TargetVersion) -> Option<burst::Progress> {
    let manifest = app.manifest(&(target.model.clone(), target.version))?;
    app.transfers.progress_of(manifest.digest())
}

fn request(
    app: &app::App,
    target: &app::TargetVersion,
    vm: &id::VmId,
    enclosed: Enclosed,
) -> direct::SwarmRequest {
    let manifest = app.manifest(&(target.model.clone(), target.version));
    let enclosed_manifest = manifest
        .as_ref()
        .filter(|_| enclosed == Enclosed::Manifest)
        .and_then(|manifest| serde_json::to_string(manifest.as_ref()).ok());
    let digest = manifest.map(|manifest| manifest.digest());
    let receiver = digest.and_then(|digest| {
        let peer_statuses = lock(&app.peer_statuses);
        Some((digest, peer_statuses.report(vm, digest)?.incarnation))
    });
    let grants = receiver.map_or_else(Vec::new, |(digest, incarnation)| {
        grants_of(app, digest, vm, incarnation)
    });
    direct::SwarmRequest {
        manifest: enclosed_manifest,
        grants,
        granted_incarnation: receiver.map_or(0, |(_, incarnation)| incarnation.get()),
        vm: app.own_vm.to_string(),
        incarnation: app.incarnation.get(),
        address: app.settings.peers,
        failure_domain: app.settings.failure_domain.to_string(),
        model: target.model.clone(),
        version: target.version,
        progress: progress(app, target),
    }
}

/// Returns what this agent, as grantor, has granted to an incarnation of a peer.
fn grants_of(
    app: &app::App,
    manifest: id::Digest,
    vm: &id::VmId,
    incarnation: id::Incarnation,
) -> Vec<(u32, u32)> {
    let recorded = lock(&app.version_ledgers).recorded(manifest);
    recorded.map_or_else(Vec::new, |recorded| {
        let grants = recorded.grants_of(vm, incarnation);
        grants.map(|grant| (grant.chunk, grant.serial)).collect()
    })
}

async fn call(
    app: &sync::Arc<app::App>,
    target: &app::TargetVersion,
    vm: &id::VmId,
    address: net::SocketAddr,
    enclosed: Enclosed,
) {
    let request = request(app, target, vm, enclosed);
    let sent = app
        .client
        .call(address, direct::SWARM_PATH, &request, CALL_TIMEOUT);
    let reply: direct::SwarmReply = match sent.await {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!("swarm: event=no_answer vm={vm} error={error:?}");
            return;
        }
    };
    let version = (target.model.clone(), target.version);
    if let Some(text) = &reply.manifest
        && app.manifest(&version).is_none()
    {
        record_manifest(app, &target.model, target.version, text);
    }
    let Some(progress) = reply.progress else {
        return;
    };
    let incarnation = id::Incarnation::new(reply.incarnation);
    record_peer(
        app,
        vm,
        address,
        &reply.failure_domain,
        incarnation,
        progress.clone(),
    );
    for (chunk, serial) in reply.grants {
        app.transfers.record_grant(progress.manifest, chunk, serial);
    }
}

fn record_manifest(app: &app::App, model: &str, version: u64, text: &str) {
    let parsed: Result<origin::Manifest, _> = serde_json::from_str(text);
    match parsed {
        Ok(manifest) if manifest.check(model, version, 0).is_ok() => {
            app.insert_manifest(manifest);
            app.swarm_changed.notify_one();
        }
        Ok(_) => log::warn!("swarm: event=manifest_unfit"),
        Err(error) => log::warn!("swarm: event=manifest_unreadable error={error:?}"),
    }
}

fn record_peer(
    app: &app::App,
    vm: &id::VmId,
    address: net::SocketAddr,
    failure_domain: &str,
    incarnation: id::Incarnation,
    progress: burst::Progress,
) {
    let Ok(failure_domain) = failure_domain.parse() else {
        log::warn!("swarm: event=domain_unreadable vm={vm}");
        return;
    };
    let info = downloader::PeerInfo {
        address,
        failure_domain,
        held: progress.held.clone(),
        uploaded_count: progress.given_count,
    };
    app.transfers
        .record_peer(progress.manifest, vm.clone(), info);
    let report = peer_statuses::VersionReport {
        incarnation,
        progress,
        received_at: app.clock.now(),
    };
    lock(&app.peer_statuses).record(vm.clone(), report);
}

/// Handles a call of another agent.
pub async fn handle(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: direct::SwarmRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let version = (request.model.clone(), request.version);
    if let Some(text) = &request.manifest
        && app.manifest(&version).is_none()
        && is_announced(&app, &version)
    {
        record_manifest(&app, &request.model, request.version, text);
    }
    let manifest = app.manifest(&version);
    let incarnation = id::Incarnation::new(request.incarnation);
    let vm: Option<id::VmId> = request.vm.parse().ok();
    if let (Some(progress), Some(vm), Some(_)) = (&request.progress, &vm, &manifest) {
        let domain = &request.failure_domain;
        record_peer(
            &app,
            vm,
            request.address,
            domain,
            incarnation,
            progress.clone(),
        );
    }
    let text = manifest
        .as_deref()
        .filter(|_| request.progress.is_none())
        .and_then(|manifest| serde_json::to_string(manifest).ok());
    let is_granted_to = request.granted_incarnation == app.incarnation.get();
    if let Some(manifest) = manifest.as_ref().filter(|_| is_granted_to) {
        for (chunk, serial) in &request.grants {
            app.transfers
                .record_grant(manifest.digest(), *chunk, *serial);
        }
    }
    let grants = match (vm, &manifest, &request.progress) {
        (Some(vm), Some(manifest), Some(_)) => grants_of(&app, manifest.digest(), &vm, incarnation),
        _ => Vec::new(),
    };
    server::respond_message(&direct::SwarmReply {
        incarnation: app.incarnation.get(),
        failure_domain: app.settings.failure_domain.to_string(),
        manifest: text,
        progress: manifest.and_then(|manifest| app.transfers.progress_of(manifest.digest())),
        grants,
    })
}

/// Returns whether this agent knows a version from the store or an entry, so that it will want its
/// manifest.
fn is_announced(app: &app::App, (model, version): &app::ModelVersion) -> bool {
    let announced = app.announced.load();
    let mut announced = announced.iter();
    announced.any(|target| target.model == *model && target.version == *version)
}
