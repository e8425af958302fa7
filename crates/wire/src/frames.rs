//! Frames: an answer on its way from an agent to an entry.
//!
//! A frame is its length as four little-endian bytes and a message. Bytes come in any pieces:
//!
//! ```
//! use pimentohook_wire::frames;
//!
//! let bytes = frames::Frame::KeepAlive.to_bytes()?;
//! let mut decoder = frames::Decoder::new();
//! decoder.push(&bytes[..3]);
//! assert_eq!(decoder.try_next::<frames::Frame>()?, None);
//! decoder.push(&bytes[3..]);
//! assert_eq!(decoder.try_next()?, Some(frames::Frame::KeepAlive));
//! # Ok::<(), pimentohook_wire::CodecError>(())
//! ```

use bytes::{Buf as _, Bytes, BytesMut};
use pimentohook_core::{admission, id};
use serde::{Deserialize, Serialize, de};
use snafu::ensure;

use crate::{CodecError, FrameTooLongSnafu};

/// Longest frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 1 << 20;

const LENGTH_BYTES: usize = 4;

/// One step of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The decision on the dispatch; always the first.
    Admission(admission::Admission),
    /// A piece of the answer.
    Data {
        /// Where it starts in the answer.
        offset_bytes: u64,
        /// The piece.
        bytes: Bytes,
    },
    /// The engine works and has nothing to say yet.
    KeepAlive,
    /// The answer is whole.
    End {
        /// Its length.
        length_bytes: u64,
        /// Its digest.
        digest: id::Digest,
    },
    /// The answer broke off and will not be completed.
    Failed {
        /// Why, for the caller.
        reason: String,
    },
}

impl Frame {
    /// Encodes the frame with its length.
    ///
    /// # Errors
    ///
    /// [`CodecError::Encode`] where it can't be encoded.
    pub fn to_bytes(&self) -> Result<Bytes, CodecError> {
        to_framed(self)
    }
}

/// Encodes any message with its length.
///
/// # Errors
///
/// [`CodecError::Encode`] where it can't be encoded.
pub fn to_framed<T>(message: &T) -> Result<Bytes, CodecError>
where
    T: Serialize,
{
    let body = crate::to_bytes(message)?;
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes.freeze())
}

/// Cuts a stream of bytes into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Creates a decoder at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame; `None` where its bytes have not all come.
    ///
    /// # Errors
    ///
    /// [`CodecError`] where the bytes are no frame; the stream is of no use afterwards.
    pub fn try_next<T>(&mut self) -> Result<Option<T>, CodecError>
    where
        T: de::DeserializeOwned,
    {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        let max = FRAME_MAX_BYTES;
        ensure!(length <= max, FrameTooLongSnafu { length, max });
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        crate::from_bytes(&body).map(Some)
    }

    /// Returns the bytes that follow the last frame, for streams that end in raw content.
    #[must_use]
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}
