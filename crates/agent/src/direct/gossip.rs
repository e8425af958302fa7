//! What agents tell each other of a version: who holds what, the manifest, and grants.
//!
//! Each call carries what both hold. An agent has one call to another under way at most.

use std::{net, sync, time};

use gotham::helpers::http::Body;
use hyper::Response;
use pimentohook_core::{burst, burst::downloader, id};
use pimentohook_platform::origin;
use pimentohook_runtime::server;
use pimentohook_wire::direct;
use rand::seq::IndexedRandom as _;

use super::{app, grants};
use crate::app::lock;

/// How often a sample of the others is called.
pub const EVERY: time::Duration = time::Duration::from_millis(120);
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Others called in each round. Chunks come from the own failure domain as far as they can, and
/// links between failure domains are narrow.
const FANOUT_NEAR: usize = 5;
const FANOUT_FAR: usize = 2;
/// Those first in the order are told always, since one of them makes grants.
const GRANTORS: usize = 2;
const MESSAGE_MAX_BYTES: usize = 1 << 20;

/// When others were called last.
#[derive(Debug)]
pub struct Calls {
    sampled_at: time::Instant,
    grantors_at: time::Instant,
}

impl Calls {
    /// Starts with nobody called.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self {
            sampled_at: now,
            grantors_at: now,
        }
    }

    /// Calls a sample of the other agents, and those that make grants, as far as they are due.
    pub fn make_due(&mut self, app: &sync::Arc<app::App>, target: &sync::Arc<app::Target>) {
        let now = app.clock.now();
        let others = app.others.load_full();
        let mut called = indexmap::IndexMap::new();
        if now.duration_since(self.sampled_at) >= EVERY {
            self.sampled_at = now;
            let (near, far): (Vec<_>, Vec<_>) = others.iter().partition(|(_, one)| one.is_near);
            called.extend(near.sample(&mut rand::rng(), FANOUT_NEAR).copied());
            called.extend(far.sample(&mut rand::rng(), FANOUT_FAR).copied());
        }
        if now.duration_since(self.grantors_at) >= grants::call_interval(others.len()) {
            self.grantors_at = now;
            called.extend(grants::first_in_order(&others, target).take(GRANTORS));
        }
        for (vm, other) in called {
            spawn_call(app, target, vm, other.address);
        }
    }
}

/// Calls another agent, unless a call to it is under way: one whose link is full gets no more.
fn spawn_call(
    app: &sync::Arc<app::App>,
    target: &sync::Arc<app::Target>,
    vm: &id::VmId,
    address: net::SocketAddr,
) {
    if !lock(&app.calling).insert(vm.clone()) {
        return;
    }
    let (app, target, vm) = (app.clone(), target.clone(), vm.clone());
    tokio::spawn(async move {
        call(&app, &target, &vm, address).await;
        lock(&app.calling).swap_remove(&vm);
    });
}

/// Returns how far a version has come here; `None` while its manifest is not known.
#[must_use]
pub fn progress(app: &app::App, target: &app::Target) -> Option<burst::Progress> {
    let manifest = app.manifest(&(target.model.clone(), target.version))?;
    app.transfers.progress_of(manifest.digest())
}

fn request(app: &app::App, target: &app::Target) -> direct::SwarmRequest {
    direct::SwarmRequest {
        vm: app.me.to_string(),
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
    target: &app::Target,
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
        take_manifest(app, target, text);
    }
    let Some(progress) = reply.progress else {
        return;
    };
    let incarnation = id::Incarnation::new(reply.incarnation);
    record(
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

fn take_manifest(app: &app::App, target: &app::Target, text: &str) {
    let parsed: Result<origin::Manifest, _> = serde_json::from_str(text);
    match parsed {
        Ok(manifest) if manifest.check(&target.model, target.version, 0).is_ok() => {
            app.keep_manifest(manifest);
        }
        Ok(_) => log::warn!("swarm: event=manifest_unfit"),
        Err(error) => log::warn!("swarm: event=manifest_unreadable error={error:?}"),
    }
}

fn record(
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
    let heard = app::Heard {
        incarnation,
        progress,
        at: app.clock.now(),
    };
    lock(&app.heard).insert(vm.clone(), heard);
}

/// Handles another agent's call.
pub async fn answer(app: sync::Arc<app::App>, call: server::Call) -> Response<Body> {
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
        record(
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
        (Some(vm), Some(ledger)) if is_granted_for(&app, &request) => ledger
            .grants_of(&vm, incarnation)
            .map(|grant| (grant.chunk, grant.serial))
            .collect(),
        _ => Vec::new(),
    };
    server::respond_message(&direct::SwarmReply {
        incarnation: app.incarnation.get(),
        failure_domain: app.settings.failure_domain.to_string(),
        manifest: text,
        progress: manifest.and_then(|one| app.transfers.progress_of(one.digest())),
        grants,
    })
}

/// Whether the recorded grants are for the version that an agent asks about.
fn is_granted_for(app: &app::App, request: &direct::SwarmRequest) -> bool {
    let newest = app.target.load();
    let is_newest = newest
        .as_ref()
        .is_some_and(|newest| newest.version == request.version);
    is_newest && request.progress.is_some()
}
