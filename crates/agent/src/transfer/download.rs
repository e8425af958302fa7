//! Downloads of chunks from the origin and from other agents.

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
use crate::mutex::lock;

/// Starts the downloads that are due.
pub fn start_due(transfers: &sync::Arc<Transfers>) {
    let mut sets = lock(&transfers.sets);
    let Some((manifest, set)) = sets.last_mut() else {
        return;
    };
    let now = transfers.link.clock.now();
    while let Some(fetch) = set.downloader.start_next(now, &mut rand::rng()) {
        let address = match &fetch.source {
            downloader::Source::Origin => None,
            downloader::Source::Peer(vm) => set.downloader.peer_address(vm),
        };
        let download = Download {
            manifest: *manifest,
            content: set.content.clone(),
            fetch,
            address,
        };
        tokio::spawn(download.run(transfers.clone()));
    }
}

/// A download of one chunk.
struct Download {
    manifest: id::Digest,
    content: sync::Arc<Content>,
    fetch: downloader::Fetch,
    address: Option<net::SocketAddr>,
}

impl Download {
    async fn run(self, transfers: sync::Arc<Transfers>) {
        // What is not sent yet of a version that was given up would delay the next one.
        let downloaded = tokio::select! {
            biased;
            downloaded = self.download(&transfers) => downloaded,
            () = transfers.wait_until_replaced(self.manifest) => {
                Err(downloader::FetchFailure::Cancelled)
            }
        };
        let verified = downloaded.and_then(|bytes| {
            if (self.content.verify)(self.fetch.chunk, &bytes) {
                Ok(bytes)
            } else {
                log::warn!("transfer: chunk {} came corrupt.", self.fetch.chunk);
                Err(downloader::FetchFailure::Corrupt)
            }
        });
        self.record_outcome(&transfers, verified);
        if self.fetch.source == downloader::Source::Origin {
            (transfers.link.on_grant_used)();
        }
        transfers.changed.notify_one();
    }

    async fn download(&self, transfers: &Transfers) -> Result<Bytes, downloader::FetchFailure> {
        match (&self.fetch.source, self.address) {
            (downloader::Source::Origin, _) => self.download_from_origin(transfers).await,
            (downloader::Source::Peer(vm), Some(address)) => {
                self.download_from_peer(transfers, vm, address).await
            }
            (downloader::Source::Peer(_), None) => Err(downloader::FetchFailure::Stalled),
        }
    }

    fn record_outcome(
        &self,
        transfers: &Transfers,
        verified: Result<Bytes, downloader::FetchFailure>,
    ) {
        let mut sets = lock(&transfers.sets);
        // The set is dropped when newer versions supersede it; the bytes are of no use then.
        let Some(set) = sets.get_mut(&self.manifest) else {
            return;
        };
        if !matches!(verified, Err(downloader::FetchFailure::Denied(_))) {
            set.uploader.record_downloaded();
        }
        match verified {
            Ok(bytes) => {
                if let Some(slot) = set.chunks.get_mut(self.fetch.chunk as usize) {
                    *slot = Some(bytes);
                }
                if self.fetch.source == downloader::Source::Origin {
                    set.uploader.record_introduced(self.fetch.chunk);
                }
                set.downloader.record_verified(&self.fetch);
                set.last_chunk_at = Some(transfers.link.clock.now());
                if set.downloader.is_complete() {
                    (transfers.link.on_complete)();
                    log::info!("transfer: {} is complete.", self.content.version);
                }
            }
            Err(failure) => {
                set.downloader
                    .record_failure(transfers.link.clock.now(), &self.fetch, failure);
            }
        }
    }

    async fn download_from_origin(
        &self,
        transfers: &Transfers,
    ) -> Result<Bytes, downloader::FetchFailure> {
        match (self.content.download_from_origin)(self.fetch.chunk).await {
            Ok(bytes) => {
                transfers.limit_incoming(&bytes).await;
                Ok(bytes)
            }
            Err(error) => {
                log::warn!(
                    "transfer: can't download chunk {} from the origin: {}.",
                    self.fetch.chunk,
                    error.reason
                );
                Err(if error.may_have_sent {
                    downloader::FetchFailure::Stalled
                } else {
                    downloader::FetchFailure::Unreachable
                })
            }
        }
    }

    async fn download_from_peer(
        &self,
        transfers: &Transfers,
        vm: &id::VmId,
        address: net::SocketAddr,
    ) -> Result<Bytes, downloader::FetchFailure> {
        let request = messages::ChunkRequest {
            manifest: self.manifest,
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
        // Exact, as the chunk is kept for as long as the version is.
        let mut content = Vec::with_capacity(self.content.chunk_bytes);
        let mut reply: Option<messages::ChunkReply> = None;
        while let Some(bytes) = next_piece(&mut body, stall_max).await? {
            transfers.limit_incoming(&bytes).await;
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
        self.record_uploader(transfers, vm, &reply);
        match reply.denial {
            Some(denial) => Err(downloader::FetchFailure::Denied(denial)),
            None => Ok(Bytes::from(content)),
        }
    }

    /// Records the uploader's progress, which is newer in its reply than in any heartbeat.
    fn record_uploader(&self, transfers: &Transfers, vm: &id::VmId, reply: &messages::ChunkReply) {
        if let Some(set) = lock(&transfers.sets).get_mut(&self.manifest) {
            set.downloader
                .record_progress(vm, &reply.held, reply.given_count);
        }
    }
}

/// Returns the next piece of a body; `None` if it has ended without an error.
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
