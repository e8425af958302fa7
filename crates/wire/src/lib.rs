//! Messages between the processes of pimentohook.
//!
//! Messages between processes are structs that `rmp-serde` encodes as `MessagePack`. Fields are
//! encoded by position, so their order is part of the protocol. New ones are appended and have a default:
//! an older process ignores them, a newer one does without them.
//!
//! * [`messages`]: requests and replies between entries and agents.
//! * [`direct`]: requests and replies of the direct mode.
//! * [`frames`]: the stream of frames that carries a response, and its decoder.
//! * [`public`]: JSON bodies and headers that callers and operators see.

pub mod direct;
pub mod frames;
mod lenient;
pub mod messages;
pub mod public;

use serde::{Serialize, de};
use snafu::{ResultExt, Snafu};

/// Media type of the messages.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// An error from encoding or decoding a message.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value can't be encoded.
    #[snafu(display("message can't be encoded: {source}"))]
    Encode {
        /// The underlying error.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not the expected message.
    #[snafu(display("message can't be decoded: {source}"))]
    Decode {
        /// The underlying error.
        source: rmp_serde::decode::Error,
    },
    /// A frame is longer than allowed.
    #[snafu(display("frame of {length} bytes is longer than {max}"))]
    FrameTooLong {
        /// The length of the frame, in bytes.
        length: usize,
        /// The maximum length, in bytes.
        max: usize,
    },
}

/// Encodes a message as `MessagePack`, with its fields by position.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] if the value can't be encoded.
pub fn to_bytes<T>(message: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    rmp_serde::to_vec(message).context(EncodeSnafu)
}

/// Decodes a message from `MessagePack`, without the fields that a newer build has appended.
///
/// # Errors
///
/// Returns [`CodecError::Decode`] if the bytes are not the expected message.
pub fn from_bytes<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: de::DeserializeOwned,
{
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    T::deserialize(lenient::Lenient(&mut deserializer)).context(DecodeSnafu)
}
