//! A set of weights that is transferred, and where its chunks come from.

use std::fmt;

use bytes::Bytes;
use futures_util::future;
use pimentohook_core::burst::activation;

/// A download of a chunk from the origin.
pub type OriginDownload = future::BoxFuture<'static, Result<Bytes, OriginError>>;

/// An error of a download from the origin.
#[derive(Clone, Debug)]
pub struct OriginError {
    /// Whether the origin may have sent part of the chunk.
    pub may_have_sent: bool,
    /// The error text.
    pub reason: String,
}

/// Returns whether the bytes are the content of the chunk with the given index.
pub type Verifier = dyn Fn(u32, &[u8]) -> bool + Send + Sync;

/// The description of a set of weights, and how its chunks are verified and downloaded from the
/// origin.
pub struct Content {
    /// The digests of the manifest and of the content.
    pub weights: activation::WeightsId,
    /// The version, for logs.
    pub version: String,
    /// The number of chunks.
    pub chunk_count: u32,
    /// The size of the largest chunk in bytes.
    pub chunk_bytes: usize,
    /// The maximum number of concurrent downloads from peers.
    pub downloads_max: usize,
    /// Verifies a chunk.
    pub verify: Box<Verifier>,
    /// Starts the download of a chunk from the origin.
    pub download_from_origin: Box<dyn Fn(u32) -> OriginDownload + Send + Sync>,
}

impl fmt::Debug for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Content")
            .field("version", &self.version)
            .field("chunk_count", &self.chunk_count)
            .finish_non_exhaustive()
    }
}
