//! Requests with messages as their bodies, and the replies to them.

use std::net;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming, header};
use serde::{Serialize, de};
use snafu::{ResultExt, ensure};

use crate::{
    body,
    client_error::{BuildSnafu, ClientError, CodecSnafu, JsonSnafu, StatusSnafu},
};

/// The maximum size of a message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 4 << 20;

const STATUS_TEXT_MAX_BYTES: usize = 300;

/// Decodes the `MessagePack` message in a response.
pub(super) async fn decode_reply<A>(
    address: net::SocketAddr,
    response: Response<Incoming>,
) -> Result<A, ClientError>
where
    A: de::DeserializeOwned,
{
    let status = response.status();
    let body = body::read_body(address, response, MESSAGE_MAX_BYTES).await?;
    let text =
        || String::from_utf8_lossy(&body[..body.len().min(STATUS_TEXT_MAX_BYTES)]).into_owned();
    ensure!(
        status.is_success(),
        StatusSnafu {
            address,
            status,
            text: text(),
        }
    );
    pimentohook_wire::from_bytes(&body).context(CodecSnafu)
}

/// Builds a request with a `MessagePack` message as its body.
///
/// # Errors
///
/// Returns [`ClientError`] if the message can't be encoded.
pub fn message_request<Q>(
    address: net::SocketAddr,
    path: &str,
    message: &Q,
) -> Result<Request<Full<Bytes>>, ClientError>
where
    Q: Serialize,
{
    let body = pimentohook_wire::to_bytes(message).context(CodecSnafu)?;
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, pimentohook_wire::CONTENT_TYPE)
        .body(Full::new(Bytes::from(body)))
        .context(BuildSnafu)
}

/// Builds a request with a JSON body, or without a body.
///
/// # Errors
///
/// Returns [`ClientError`] if the body can't be encoded.
pub fn json_request<Q>(
    method: Method,
    address: net::SocketAddr,
    path: &str,
    body: Option<&Q>,
) -> Result<Request<Full<Bytes>>, ClientError>
where
    Q: Serialize,
{
    let bytes = match body {
        Some(body) => serde_json::to_vec(body).context(JsonSnafu { address })?,
        None => Vec::new(),
    };
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .context(BuildSnafu)
}
