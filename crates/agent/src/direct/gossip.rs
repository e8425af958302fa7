//! Gossip between agents about a version: the chunks that each holds, the manifest, and grants.
//!
//! Each call exchanges the progress of both agents. An agent has at most one call in flight to each
//! of its peers.

use std::{net, sync, time};

use gotham::helpers::http::Body;
use hyper::Response;
use pimentohook_core::{burst, burst::downloader, id};
use pimentohook_platform::origin;
use pimentohook_runtime::server;
use pimentohook_wire::direct;
use rand::seq::IndexedRandom as _;

use super::{app, grants};
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
    pub fn start_due(&mut self, app: &sync::Arc<app::App>, target: &sync::Arc<app::TargetVersion>) {
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
        if now.duration_since(self.grantors_called_at) >= grants::call_interval(peers.len()) {
            self.grantors_called_at = now;
            called.extend(grants::by_rank(&peers, target).take(GRANTORS_CALLED));
        }
        for (vm, peer) in called {
            spawn_call(app, target, vm, peer.address);
        }
    }
}

/// Starts a call to every peer, which then reports its progress and the grants that it received.
pub fn call_all(app: &sync::Arc<app::App>, target: &sync::Arc<app::TargetVersion>) {
    for (vm, peer) in app.peers.load().iter() {
        spawn_call(app, target, vm, peer.address);
    }
}

/// Spawns a call to a peer unless one is in flight, so that a saturated link gets no further calls.
fn spawn_call(
    app: &sync::Arc<app::App>,
    target: &sync::Arc<app::TargetVersion>,
    vm: &id::VmId,
    address: net::SocketAddr,
) {
    if !lock(&app.calls_in_flight).insert(vm.clone()) {
        return;
    }
    let (app, target, vm) = (app.clone(), target.clone(), vm.clone());
    tokio::spawn(async move {
        call(&app, &target, &vm, address).await;
        lock(&app.calls_in_flight).swap_remove(&vm);
    });
}

/// Returns the progress of this agent's download of a version; `None` until its manifest is known.
#[must_use]
pub fn progress(app: &app::App, target: &app::TargetVersion) -> Option<burst::Progress> {
    let manifest = app.manifest(&(target.model.clone(), target.version))?;
    app.transfers.progress_of(manifest.digest())
}

fn request(app: &app::App, target: &app::TargetVersion) -> direct::SwarmRequest {
    direct::SwarmRequest {
        vm: app.own_vm.to_string(),
        incarnation: app.incarnation.get(),
        address: app.settings.peers,
        failure_domain: app.settings.failure_domain.to_string(),
        model: target.model.clone(),
        version: target.version,
        progress: progress(app, target),
    }
}

async fn call(
    app: &sync::Arc<app::App>,
    target: &app::TargetVersion,
    vm: &id::VmId,
    address: net::SocketAddr,
) {
    let request = request(app, target);
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
        record_manifest(app, target, text);
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

fn record_manifest(app: &app::App, target: &app::TargetVersion, text: &str) {
    let parsed: Result<origin::Manifest, _> = serde_json::from_str(text);
    match parsed {
        Ok(manifest) if manifest.check(&target.model, target.version, 0).is_ok() => {
            app.insert_manifest(manifest);
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
    let status = app::PeerStatus {
        incarnation,
        progress,
        last_seen_at: app.clock.now(),
    };
    lock(&app.peer_statuses).insert(vm.clone(), status);
}

/// Handles a call of another agent.
pub async fn handle(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
    let request: direct::SwarmRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let version = (request.model.clone(), request.version);
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
    let ledger = app.ledger.load();
    let grants = match (vm, ledger.as_ref()) {
        (Some(vm), Some(ledger)) if has_grants_for(&app, &request) => ledger
            .grants_of(&vm, incarnation)
            .map(|grant| (grant.chunk, grant.serial))
            .collect(),
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

/// Returns whether the recorded grants are for the version that a request is about.
fn has_grants_for(app: &app::App, request: &direct::SwarmRequest) -> bool {
    let newest = app.newest_version.load();
    let is_newest = newest
        .as_ref()
        .is_some_and(|newest| newest.version == request.version);
    is_newest && request.progress.is_some()
}
