//! Answers put together again at an entry: whole, in order, and the caller's own.
//!
//! An [`ResponseAssembler`] takes pieces by their offset. Pieces that came before are dropped, a gap is an
//! error that makes the entry resume, and the end is believed only where length and digest fit.
//!
//! ```
//! use pimentohook_core::{id, response};
//!
//! let mut assembler = response::ResponseAssembler::new();
//! assert_eq!(assembler.accept(0, b"whole ")?, b"whole ");
//! assert_eq!(assembler.accept(3, b"le answer")?, b"answer");
//! assert!(assembler.check_end(12, id::Digest::of(b"whole answer")).is_ok());
//! # Ok::<(), response::ResponseError>(())
//! ```

use snafu::{Snafu, ensure};

use crate::id;

/// A piece or an end that does not fit what came before.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ResponseError {
    /// Bytes are missing before a piece.
    #[snafu(display("answer has a gap: {received} bytes came, the next piece starts at {offset}"))]
    Gap {
        /// Bytes received in order.
        received: u64,
        /// Where the piece starts.
        offset: u64,
    },
    /// The end names another length.
    #[snafu(display("answer ends at {stated} bytes but {received} came"))]
    Length {
        /// Bytes received in order.
        received: u64,
        /// Bytes that the end names.
        stated: u64,
    },
    /// The end names another digest.
    #[snafu(display("answer does not have the digest that its end names"))]
    Digest,
}

/// Puts one answer together.
#[derive(Clone, Debug, Default)]
pub struct ResponseAssembler {
    received: u64,
    hasher: id::Hasher,
}

impl ResponseAssembler {
    /// Starts an answer.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many bytes have come in order; a resumption starts there.
    #[must_use]
    pub const fn received_bytes(&self) -> u64 {
        self.received
    }

    /// Takes a piece and returns the part of it that is new.
    ///
    /// # Errors
    ///
    /// [`ResponseError::Gap`] where bytes are missing before it.
    pub fn accept<'a>(&mut self, offset: u64, bytes: &'a [u8]) -> Result<&'a [u8], ResponseError> {
        let received = self.received;
        ensure!(offset <= received, GapSnafu { received, offset });
        let known = usize::try_from(received - offset).unwrap_or(usize::MAX);
        let fresh = bytes.get(known..).unwrap_or(&[]);
        self.hasher.update(fresh);
        self.received += fresh.len() as u64;
        Ok(fresh)
    }

    /// Checks the end of the answer.
    ///
    /// # Errors
    ///
    /// [`ResponseError`] where length or digest don't fit what came.
    pub fn check_end(&self, length: u64, digest: id::Digest) -> Result<(), ResponseError> {
        let received = self.received;
        let stated = length;
        ensure!(stated == received, LengthSnafu { received, stated });
        let found = self.hasher.finish();
        ensure!(found == digest, DigestSnafu);
        Ok(())
    }
}
