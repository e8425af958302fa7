//! Messages between the processes of pimentohook.
//!
//! Each message is a typed value, encoded with `rmp-serde`. [`messages`] has the single ones,
//! [`direct`] those of the direct mode. [`frames`] has the stream of frames in which an answer
//! travels, and its decoder. [`public`] has what callers and operators see, as JSON.

pub mod direct;
pub mod frames;
pub mod messages;
pub mod public;

use serde::{Serialize, de};
use snafu::{ResultExt, Snafu};

/// Media type of the messages.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Bytes that are not the message that was expected.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// A value can't be encoded.
    #[snafu(display("message can't be encoded: {source}"))]
    Encode {
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// Bytes can't be decoded.
    #[snafu(display("message can't be decoded: {source}"))]
    Decode {
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// A frame is longer than allowed.
    #[snafu(display("frame of {length} bytes is longer than {max}"))]
    FrameTooLong {
        /// The length that it states.
        length: usize,
        /// The longest allowed.
        max: usize,
    },
}

/// Encodes a message, fields by position.
///
/// # Errors
///
/// [`CodecError::Encode`] where the value can't be encoded.
pub fn to_bytes<T>(message: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    rmp_serde::to_vec(message).context(EncodeSnafu)
}

/// Decodes a message.
///
/// # Errors
///
/// [`CodecError::Decode`] where the bytes are not this message.
pub fn from_bytes<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: de::DeserializeOwned,
{
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}
