//! The stream of frames in which an agent sends a response to an entry.
//!
//! A frame is a message after its length, which is a 32-bit little-endian integer. The decoder
//! accepts the bytes of a stream in pieces of any size:
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

/// The maximum length of a frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 1 << 20;

const LENGTH_BYTES: usize = 4;

/// A frame of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The admission decision on the request; always the first frame.
    Admission(admission::Admission),
    /// Part of the response body.
    Data {
        /// The offset of `bytes` in the body.
        offset_bytes: u64,
        /// The data.
        bytes: Bytes,
    },
    /// The engine is working and has not produced more data yet.
    KeepAlive,
    /// The response is complete.
    End {
        /// The length of the body.
        length_bytes: u64,
        /// The digest of the body.
        digest: id::Digest,
    },
    /// The response was interrupted and will not be completed.
    Failed {
        /// The reason, which is passed on to the caller.
        reason: String,
    },
}

impl Frame {
    /// Encodes the frame, preceded by its length.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::Encode`] if the frame can't be encoded, and
    /// [`CodecError::FrameTooLong`] if it is longer than a receiver accepts.
    pub fn to_bytes(&self) -> Result<Bytes, CodecError> {
        to_framed(self)
    }
}

/// Encodes any message as a frame, preceded by its length.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] if the message can't be encoded, and
/// [`CodecError::FrameTooLong`] if it is longer than a receiver accepts.
pub fn to_framed<T>(message: &T) -> Result<Bytes, CodecError>
where
    T: Serialize,
{
    let body = crate::to_bytes(message)?;
    let (length, max) = (body.len(), FRAME_MAX_BYTES);
    ensure!(length <= max, FrameTooLongSnafu { length, max });
    let prefix = u32::try_from(length).unwrap_or(u32::MAX);
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + length);
    bytes.extend_from_slice(&prefix.to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes.freeze())
}

/// Splits a stream of bytes into frames.
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

    /// Appends bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` if it has not been received completely.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if the bytes are not a frame. The rest of the stream can't be decoded
    /// after that.
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

    /// Returns the buffered bytes after the last frame, for streams that end in raw content.
    #[must_use]
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}
