//! Reads bodies, which have a bounded size, each and all together.

mod budget;

use std::{net, sync};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    Response,
    body::{Body as _, Incoming},
    header,
};

pub use self::budget::{BodyBudget, BudgetedBody};
use crate::client_error;

/// The transfer encoding with which a body marks its end.
const CHUNKED: &str = "chunked";

/// Reads the complete body of a response.
///
/// # Errors
///
/// Returns [`client_error::ClientError`] if the body was interrupted or is larger than `max_bytes`.
pub async fn read_body(
    address: net::SocketAddr,
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<Bytes, client_error::ClientError> {
    let limited = http_body_util::Limited::new(response.into_body(), max_bytes);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(client_error::ClientError::TooLarge { address, max_bytes })
        }
        Err(_) => Err(client_error::ClientError::Broken { address }),
    }
}

/// Returns whether the end of a body, none of which has been read, can be told from a connection that
/// was closed too early.
#[must_use]
pub fn has_marked_end(response: &Response<Incoming>) -> bool {
    let transfer_encodings = response.headers().get_all(header::TRANSFER_ENCODING);
    let last = transfer_encodings.iter().next_back();
    let Some(last) = last else {
        return response.body().size_hint().exact().is_some();
    };
    // A body whose last encoding is another one ends with its connection, also if it has a length.
    let last = last.to_str().unwrap_or_default().rsplit(',').next();
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case(CHUNKED))
}

/// A body has at most one piece for each so many bytes of its bound, so that one in tiny pieces costs
/// bounded time.
const BYTES_PER_PIECE: usize = 128;

/// Like [`read_body`], but fails as well when all responses that are being read with the same
/// budget exceed it together.
///
/// # Errors
///
/// Returns [`client_error::ClientError`] if the body was interrupted, is larger than `max_bytes` or than what
/// is left of the budget, or comes in more pieces than one for each 128 bytes of `max_bytes`.
pub async fn read_body_within(
    address: net::SocketAddr,
    response: Response<Incoming>,
    max_bytes: usize,
    budget: &sync::Arc<BodyBudget>,
) -> Result<Bytes, client_error::ClientError> {
    let mut body = response.into_body();
    let mut read = budget::GrowingBytes::new(budget);
    // Responses that hold a part of their room each could wait for each other.
    let announced_bytes = body.size_hint().exact().unwrap_or(0);
    let announced_bytes = usize::try_from(announced_bytes).unwrap_or(usize::MAX);
    if announced_bytes > max_bytes || !read.wait_for_room(announced_bytes).await {
        return Err(client_error::ClientError::TooLarge { address, max_bytes });
    }
    let pieces_max = max_bytes / BYTES_PER_PIECE;
    let (mut received_bytes, mut piece_count): (usize, usize) = (0, 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| client_error::ClientError::Broken { address })?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        received_bytes += bytes.len();
        piece_count += 1;
        let fits = received_bytes <= max_bytes
            && piece_count <= pieces_max
            && (read.push(&bytes, 0)
                || (read.wait_for_room(bytes.len()).await && read.push(&bytes, 0)));
        if !fits {
            return Err(client_error::ClientError::TooLarge { address, max_bytes });
        }
    }
    Ok(read.into_bytes())
}
