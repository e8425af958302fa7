//! Heads of responses that another response's head was joined to.
//!
//! If an upstream breaks off within a head and then sends another response on the same connection,
//! the next status line becomes a part of the first head. The two are parsed as one response, with
//! the status of one and the body of the other.

use hyper::{Response, ext::ReasonPhrase};

const VERSION_PREFIX: &[u8] = b"HTTP/1.";
/// The length of a minor version, a space and a status code.
const STATUS_BYTES: usize = 5;
const STATUS_LINE_MIN_BYTES: usize = VERSION_PREFIX.len() + STATUS_BYTES;

/// Returns whether the head of a response contains another status line.
pub(super) fn is_joined<B>(response: &Response<B>) -> bool {
    let reason: Option<&ReasonPhrase> = response.extensions().get();
    let values = response.headers().values();
    reason.is_some_and(|reason| has_status_line(reason.as_bytes()))
        || values
            .into_iter()
            .any(|value| has_status_line(value.as_bytes()))
}

fn has_status_line(text: &[u8]) -> bool {
    let starts = 0..(text.len() + 1).saturating_sub(STATUS_LINE_MIN_BYTES);
    starts
        .into_iter()
        .any(|start| is_status_line(&text[start..]))
}

/// Returns whether this text starts like a status line.
fn is_status_line(text: &[u8]) -> bool {
    let Some(rest) = text.strip_prefix(VERSION_PREFIX) else {
        return false;
    };
    let [minor, b' ', code @ ..] = rest else {
        return false;
    };
    let Some((code, reason)) = code.split_first_chunk::<3>() else {
        return false;
    };
    let is_separated = reason.first().is_none_or(|byte| *byte == b' ');
    minor.is_ascii_digit() && code.iter().all(u8::is_ascii_digit) && is_separated
}
