//! Chunks on their way in, from the origin and from other agents.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{StatusCode, body};
use pimentohook_core::{
    burst::{downloader, uploader},
    id,
};
use pimentohook_runtime::client;
use pimentohook_wire::{frames, messages};

use super::{Content, Transfers};
use crate::app::lock;

/// Starts the pulls that are due.
pub fn start_due(transfers: &sync::Arc<Transfers>) {
    let mut sets = lock(&transfers.sets);
    let Some((digest, set)) = sets.last_mut() else {
        return;
    };
    let now = transfers.link.clock.now();
    while let Some(fetch) = set.receiver.start_next(now, &mut rand::rng()) {
        let address = match &fetch.source {
            downloader::Source::Origin => None,
            downloader::Source::Peer(vm) => set.receiver.peer_address(vm),
        };
        let pull = Pull {
            digest: *digest,
            content: set.content.clone(),
            fetch,
            address,
        };
        tokio::spawn(pull.run(transfers.clone()));
    }
}

/// One chunk on its way in.
struct Pull {
    digest: id::Digest,
    content: sync::Arc<Content>,
    fetch: downloader::Fetch,
    address: Option<net::SocketAddr>,
}

impl Pull {
    async fn run(self, transfers: sync::Arc<Transfers>) {
        let pulled = match (&self.fetch.source, self.address) {
            (downloader::Source::Origin, _) => self.pull_origin(&transfers).await,
            (downloader::Source::Peer(vm), Some(address)) => {
                self.pull_peer(&transfers, vm, address).await
            }
            (downloader::Source::Peer(_), None) => Err(downloader::FetchFailure::Stalled),
        };
        let verified = pulled.and_then(|bytes| {
            if (self.content.verifies)(self.fetch.chunk, &bytes) {
                Ok(bytes)
            } else {
                log::warn!("transfer: chunk {} came corrupt.", self.fetch.chunk);
                Err(downloader::FetchFailure::Corrupt)
            }
        });
        self.settle(&transfers, verified);
        transfers.changed.notify_one();
    }

    fn settle(&self, transfers: &Transfers, verified: Result<Bytes, downloader::FetchFailure>) {
        let mut sets = lock(&transfers.sets);
        // The set is gone where the configuration has moved on; the bytes are of no use then.
        let Some(set) = sets.get_mut(&self.digest) else {
            return;
        };
        if !matches!(verified, Err(downloader::FetchFailure::Denied(_))) {
            set.giver.record_downloaded();
        }
        match verified {
            Ok(bytes) => {
                if let Some(slot) = set.chunks.get_mut(self.fetch.chunk as usize) {
                    *slot = Some(bytes);
                }
                set.receiver.record_verified(&self.fetch);
                set.progressed_at = Some(transfers.link.clock.now());
                if set.receiver.is_complete() {
                    (transfers.link.on_whole)();
                    log::info!("transfer: {} is whole.", self.content.version);
                }
            }
            Err(failure) => {
                set.receiver
                    .record_failure(transfers.link.clock.now(), &self.fetch, failure);
            }
        }
    }

    async fn pull_origin(&self, transfers: &Transfers) -> Result<Bytes, downloader::FetchFailure> {
        match (self.content.pull_origin)(self.fetch.chunk).await {
            Ok(bytes) => {
                transfers.pace_incoming(&bytes).await;
                Ok(bytes)
            }
            Err(fault) => {
                log::warn!(
                    "transfer: chunk {} did not come: {}.",
                    self.fetch.chunk,
                    fault.reason
                );
                Err(if fault.reached {
                    downloader::FetchFailure::Stalled
                } else {
                    downloader::FetchFailure::Unreachable
                })
            }
        }
    }

    async fn pull_peer(
        &self,
        transfers: &Transfers,
        vm: &id::VmId,
        address: net::SocketAddr,
    ) -> Result<Bytes, downloader::FetchFailure> {
        let request = messages::ChunkRequest {
            manifest: self.digest,
            chunk: self.fetch.chunk,
            overdraft: self.fetch.overdraft,
        };
        let stalled = |_| downloader::FetchFailure::Stalled;
        let request = client::message_request(address, "/v1/chunks", &request).map_err(stalled)?;
        let stall_max = transfers.link.stall_max;
        let sent = transfers
            .link
            .client
            .send(address, request, stall_max)
            .await;
        let response = sent.map_err(stalled)?;
        if response.status() != StatusCode::OK {
            return Err(downloader::FetchFailure::Denied(
                uploader::UploadDenial::NotHeld,
            ));
        }
        let mut body = response.into_body();
        let mut decoder = frames::Decoder::new();
        let mut content = Vec::new();
        let mut reply: Option<messages::ChunkReply> = None;
        while let Some(bytes) = next_piece(&mut body, stall_max).await? {
            transfers.pace_incoming(&bytes).await;
            if reply.is_some() {
                content.extend_from_slice(&bytes);
            } else {
                decoder.push(&bytes);
                reply = decoder
                    .try_next()
                    .map_err(|_| downloader::FetchFailure::Corrupt)?;
                if reply.is_some() {
                    content.extend_from_slice(&decoder.take_rest());
                }
            }
            if content.len() > self.content.chunk_bytes {
                return Err(downloader::FetchFailure::Corrupt);
            }
        }
        let reply = reply.ok_or(downloader::FetchFailure::Stalled)?;
        self.note_giver(transfers, vm, &reply);
        match reply.denial {
            Some(denial) => Err(downloader::FetchFailure::Denied(denial)),
            None => Ok(Bytes::from(content)),
        }
    }

    /// What a giver says of itself is newer than any heartbeat.
    fn note_giver(&self, transfers: &Transfers, vm: &id::VmId, reply: &messages::ChunkReply) {
        if let Some(set) = lock(&transfers.sets).get_mut(&self.digest) {
            set.receiver
                .record_progress(vm, &reply.held, reply.given_count);
        }
    }
}

/// Returns the next piece of a body; `None` at its clean end.
async fn next_piece(
    body: &mut body::Incoming,
    stall_max: time::Duration,
) -> Result<Option<Bytes>, downloader::FetchFailure> {
    loop {
        let frame = tokio::time::timeout(stall_max, body.frame()).await;
        match frame {
            Ok(None) => return Ok(None),
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
            Ok(Some(Err(_))) | Err(_) => return Err(downloader::FetchFailure::Stalled),
        }
    }
}
