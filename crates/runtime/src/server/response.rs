//! Creates responses.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt as _, Full};
use hyper::{Response, StatusCode, header};
use serde::Serialize;

/// Creates a body from bytes.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a response with a body of the given media type.
#[must_use]
pub fn respond(status: StatusCode, content_type: &str, bytes: Bytes) -> Response<Body> {
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(full(bytes));
    response.unwrap_or_else(|_| Response::new(full(Bytes::new())))
}

/// Creates a response with a JSON body.
#[must_use]
pub fn respond_json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(bytes) => respond(status, "application/json", Bytes::from(bytes)),
        Err(_) => respond(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            Bytes::new(),
        ),
    }
}

/// Creates a response with a `MessagePack` message as its body.
#[must_use]
pub fn respond_message<T>(value: &T) -> Response<Body>
where
    T: Serialize,
{
    match pimentohook_wire::to_bytes(value) {
        Ok(bytes) => respond(
            StatusCode::OK,
            pimentohook_wire::CONTENT_TYPE,
            Bytes::from(bytes),
        ),
        Err(_) => respond(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            Bytes::new(),
        ),
    }
}

/// Creates a response with a plain text body.
#[must_use]
pub fn respond_text(status: StatusCode, text: &str) -> Response<Body> {
    respond(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(String::from(text)),
    )
}
