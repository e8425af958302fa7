//! Reassembly of a response at an entry, so that it is complete, in order and the caller's own.
//!
//! A [`ResponseAssembler`] accepts pieces by their offset. Bytes that were received before are
//! dropped, and a gap is an error, after which the entry resumes the response. The end is accepted
//! only if its length and digest match the received bytes, so that the end of another response is
//! rejected.
//!
//! ```
//! use pimentohook_core::{id, response};
//!
//! let mut assembler = response::ResponseAssembler::new();
//! assert_eq!(assembler.accept(0, b"first ")?, b"first ");
//! assert_eq!(assembler.accept(3, b"st second")?, b"second");
//! assert!(assembler.check_end(12, id::Digest::of(b"first second")).is_ok());
//! # Ok::<(), response::ResponseError>(())
//! ```

use snafu::{Snafu, ensure};

use crate::id;

/// A piece or an end that is inconsistent with the bytes received before.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ResponseError {
    /// Bytes are missing before a piece.
    #[snafu(display("answer has a gap: {received} bytes came, the next piece starts at {offset}"))]
    Gap {
        /// Number of bytes received in order.
        received: u64,
        /// Offset at which the piece starts, in bytes.
        offset: u64,
    },
    /// The end states another length.
    #[snafu(display("answer ends at {stated} bytes but {received} came"))]
    Length {
        /// Number of bytes received in order.
        received: u64,
        /// Number of bytes that the end states.
        stated: u64,
    },
    /// The end states another digest.
    #[snafu(display("answer does not have the digest that its end names"))]
    Digest,
}

/// Reassembles one response.
#[derive(Clone, Debug, Default)]
pub struct ResponseAssembler {
    received: u64,
    hasher: id::Hasher,
}

impl ResponseAssembler {
    /// Creates an assembler that has received nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many bytes were received in order, which is the offset to resume from.
    #[must_use]
    pub const fn received_bytes(&self) -> u64 {
        self.received
    }

    /// Accepts a piece and returns the part of it that was not received before.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseError::Gap`] if bytes are missing before the piece.
    pub fn accept<'a>(&mut self, offset: u64, bytes: &'a [u8]) -> Result<&'a [u8], ResponseError> {
        let received = self.received;
        ensure!(offset <= received, GapSnafu { received, offset });
        let repeated = usize::try_from(received - offset).unwrap_or(usize::MAX);
        let new_bytes = bytes.get(repeated..).unwrap_or(&[]);
        self.hasher.update(new_bytes);
        self.received += new_bytes.len() as u64;
        Ok(new_bytes)
    }

    /// Checks the length in bytes and the digest that the end of the response states.
    ///
    /// # Errors
    ///
    /// Returns a [`ResponseError`] if the length or the digest does not match the received bytes.
    pub fn check_end(&self, length: u64, digest: id::Digest) -> Result<(), ResponseError> {
        let received = self.received;
        let stated = length;
        ensure!(stated == received, LengthSnafu { received, stated });
        let found = self.hasher.finish();
        ensure!(found == digest, DigestSnafu);
        Ok(())
    }
}
