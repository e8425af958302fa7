//! Uploads of chunks to other agents.

use std::sync;

use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, StatusCode, body};
use pimentohook_core::{burst::uploader, id};
use pimentohook_runtime::server;
use pimentohook_wire::{frames, messages};

use super::{Transfers, byte_count_of};
use crate::mutex::lock;

const MESSAGE_MAX_BYTES: usize = 1 << 16;
/// Small pieces keep the send queue of the link short for the messages that share it.
const PIECE_BYTES: usize = 8 << 10;

/// Handles a peer's request for a chunk.
pub async fn upload(transfers: sync::Arc<Transfers>, call: server::Call) -> Response<Body> {
    let request: messages::ChunkRequest = match call.read_message(MESSAGE_MAX_BYTES).await {
        Ok(request) => request,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let mut sets = lock(&transfers.sets);
    let Some(set) = sets.get_mut(&request.manifest) else {
        return server::respond_text(StatusCode::NOT_FOUND, "no such manifest here");
    };
    let held = set.downloader.held().clone();
    let started = set.uploader.try_start(
        transfers.link.clock.now(),
        &held,
        request.chunk,
        request.overdraft,
    );
    let chunk = set.chunks.get(request.chunk as usize).cloned().flatten();
    let is_missing = chunk.is_none().then_some(uploader::UploadDenial::NotHeld);
    let reply = messages::ChunkReply {
        denial: started.err().or(is_missing),
        held,
        given_count: set.uploader.uploaded_count(),
    };
    drop(sets);
    let slot = started.is_ok().then(|| UploadSlot {
        transfers,
        manifest: request.manifest,
    });
    let Ok(header) = frames::to_framed(&reply) else {
        return server::respond_text(StatusCode::INTERNAL_SERVER_ERROR, "can't encode");
    };
    match (slot, chunk) {
        (Some(slot), Some(bytes)) => {
            let upload = Upload {
                slot,
                header: Some(header),
                remaining: bytes,
            };
            upload.into_response()
        }
        _ => server::respond(StatusCode::OK, pimentohook_wire::CONTENT_TYPE, header),
    }
}

/// A slot for an upload, which is released on drop.
struct UploadSlot {
    transfers: sync::Arc<Transfers>,
    manifest: id::Digest,
}

/// An upload of one chunk.
struct Upload {
    slot: UploadSlot,
    header: Option<Bytes>,
    remaining: Bytes,
}

impl Drop for UploadSlot {
    fn drop(&mut self) {
        if let Some(set) = lock(&self.transfers.sets).get_mut(&self.manifest) {
            set.uploader.release_slot();
        }
    }
}

impl Upload {
    fn into_response(self) -> Response<Body> {
        let pieces = stream::unfold(self, |mut upload| async move {
            let piece = upload.next_piece().await?;
            Some((piece, upload))
        });
        let frames = pieces.map(|piece| Ok::<_, std::io::Error>(body::Frame::data(piece)));
        Response::new(StreamBody::new(frames).boxed_unsync())
    }

    async fn next_piece(&mut self) -> Option<Bytes> {
        if let Some(header) = self.header.take() {
            return Some(header);
        }
        if self.remaining.is_empty() {
            return None;
        }
        let piece = self
            .remaining
            .split_to(self.remaining.len().min(PIECE_BYTES));
        let outgoing = &self.slot.transfers.outgoing;
        outgoing.acquire(byte_count_of(&piece)).await;
        Some(piece)
    }
}
