//! Errors of the client, and of reading the bodies of responses.

use std::{net, time};

use hyper::StatusCode;
use pimentohook_wire::CodecError;
use snafu::Snafu;

/// An error from sending a request or reading its response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClientError {
    /// No connection could be established, so nothing was sent.
    #[snafu(display("no connection to {address} could be made"))]
    Connect {
        /// The address.
        address: net::SocketAddr,
    },
    /// The connection was closed before the request was written to it.
    #[snafu(display("connection to {address} closed before the request was sent"))]
    Unsent {
        /// The address.
        address: net::SocketAddr,
    },
    /// The connection broke after the request may have been sent.
    #[snafu(display("connection to {address} broke"))]
    Broken {
        /// The address.
        address: net::SocketAddr,
    },
    /// The head of the response contains another status line, so it can't be told which parts of it
    /// belong to the request.
    #[snafu(display("{address} broke off within a head and sent another one"))]
    Joined {
        /// The address.
        address: net::SocketAddr,
    },
    /// The response has a status that no final response has, so it is none.
    #[snafu(display("{address} sent the status {status}, which is none of a response"))]
    OddStatus {
        /// The address.
        address: net::SocketAddr,
        /// The status code.
        status: StatusCode,
    },
    /// The timeout passed before the response was received.
    #[snafu(display("{address} did not answer within {timeout:?}"))]
    Timeout {
        /// The address.
        address: net::SocketAddr,
        /// The timeout.
        timeout: time::Duration,
    },
    /// The response has a status other than success.
    #[snafu(display("{address} answered {status}: {text}"))]
    Status {
        /// The address.
        address: net::SocketAddr,
        /// The status code.
        status: StatusCode,
        /// The beginning of the response body.
        text: String,
    },
    /// The response body is larger than allowed.
    #[snafu(display("answer of {address} is larger than {max_bytes} bytes"))]
    TooLarge {
        /// The address.
        address: net::SocketAddr,
        /// The maximum size, in bytes.
        max_bytes: usize,
    },
    /// The request can't be built.
    #[snafu(display("request can't be built: {source}"))]
    Build {
        /// The underlying error.
        source: hyper::http::Error,
    },
    /// A message can't be encoded or decoded.
    #[snafu(display("{source}"))]
    Codec {
        /// The underlying error.
        source: CodecError,
    },
    /// A JSON body can't be encoded or decoded.
    #[snafu(display("JSON of {address}: {source}"))]
    Json {
        /// The address.
        address: net::SocketAddr,
        /// The underlying error.
        source: serde_json::Error,
    },
}

impl ClientError {
    /// Returns whether it is certain that no part of the request was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::Unsent { .. } | Self::Build { .. }
        )
    }
}
