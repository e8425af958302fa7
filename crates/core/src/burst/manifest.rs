//! Manifests: what a version of weights consists of.
//!
//! ```
//! use pimentohook_core::{burst::manifest, id};
//!
//! let version = "v2".parse()?;
//! let built = manifest::Manifest::of(version, b"some weights", 4);
//! assert_eq!(built.chunk_count(), 3);
//! assert!(built.check().is_ok());
//! # Ok::<(), id::ParseError>(())
//! ```

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{id, size};

/// A manifest that does not hold together.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ManifestError {
    /// The chunks don't add up to the size.
    #[snafu(display("manifest lists {listed} chunks where its sizes need {needed}"))]
    ChunkCount {
        /// Chunks listed.
        listed: u64,
        /// Chunks needed.
        needed: u64,
    },
    /// The manifest's content has another digest.
    #[snafu(display("manifest has digest {found} where {expected} was named"))]
    Digest {
        /// The digest of the content.
        found: id::Digest,
        /// The digest that it was asked for by.
        expected: id::Digest,
    },
}

/// The chunks of one version of weights or of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version's name.
    pub version: id::WeightsVersion,
    /// The size of all chunks together.
    pub total_bytes: size::ByteCount,
    /// The size of each chunk but the last.
    pub chunk_bytes: size::ByteCount,
    /// The digest of the whole content, as the engine reports it when read back.
    pub content: id::Digest,
    /// The digest of each chunk.
    pub chunks: Vec<id::Digest>,
}

impl Manifest {
    /// Describes `content`, cut into chunks of `chunk_bytes`.
    #[must_use]
    pub fn of(version: id::WeightsVersion, content: &[u8], chunk_bytes: u32) -> Self {
        let chunks = content.chunks(chunk_bytes.max(1) as usize);
        Self {
            version,
            total_bytes: size::ByteCount::new(content.len() as u64),
            chunk_bytes: size::ByteCount::new(u64::from(chunk_bytes.max(1))),
            content: id::Digest::of(content),
            chunks: chunks.map(id::Digest::of).collect(),
        }
    }

    /// Returns the digest of the manifest itself, by which configurations name it.
    #[must_use]
    pub fn digest(&self) -> id::Digest {
        let mut bytes = Vec::from(self.version.as_str().as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(&self.total_bytes.get().to_le_bytes());
        bytes.extend_from_slice(&self.chunk_bytes.get().to_le_bytes());
        bytes.extend_from_slice(self.content.as_bytes());
        for chunk in &self.chunks {
            bytes.extend_from_slice(chunk.as_bytes());
        }
        id::Digest::of(&bytes)
    }

    /// Returns the number of chunks.
    #[must_use]
    pub fn chunk_count(&self) -> u32 {
        u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    /// Checks that the sizes and the chunks fit together.
    ///
    /// # Errors
    ///
    /// [`ManifestError::ChunkCount`] where they don't.
    pub fn check(&self) -> Result<(), ManifestError> {
        let listed = self.chunks.len() as u64;
        let needed = self
            .total_bytes
            .get()
            .div_ceil(self.chunk_bytes.get().max(1));
        ensure!(listed == needed, ChunkCountSnafu { listed, needed });
        Ok(())
    }

    /// Checks the manifest and that it is the one that was named.
    ///
    /// # Errors
    ///
    /// [`ManifestError`] says what does not fit.
    pub fn check_digest(&self, expected: id::Digest) -> Result<(), ManifestError> {
        self.check()?;
        let found = self.digest();
        ensure!(found == expected, DigestSnafu { found, expected });
        Ok(())
    }

    /// Returns whether `bytes` are the content of a chunk.
    #[must_use]
    pub fn verifies(&self, chunk: u32, bytes: &[u8]) -> bool {
        self.chunks.get(chunk as usize) == Some(&id::Digest::of(bytes))
    }
}
