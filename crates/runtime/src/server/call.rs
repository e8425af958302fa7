//! A request as it is passed to handlers, and how its body is read.

use std::{future, net, sync, time};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::BodyExt as _;
use hyper::{HeaderMap, Method, StatusCode, Uri, header};
use serde::de;
use snafu::{OptionExt as _, Snafu, ensure};
use tokio::time as tokio_time;

use crate::body;

const BODY_READ_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// How long the next piece of a body that is discarded is waited for.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// An error from reading a request body.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[snafu(display("body is larger than {max_bytes} bytes"))]
    TooLarge {
        /// The maximum size, in bytes.
        max_bytes: usize,
    },
    /// The body was interrupted, or was not complete within the timeout.
    #[snafu(display("body did not come whole within {} s", BODY_READ_TIMEOUT.as_secs()))]
    Incomplete,
    /// There is no room for the body beside the others that are being read or handled.
    #[snafu(display("there is no room for the body"))]
    NoRoom,
    /// The body can't be decoded.
    #[snafu(display("body can't be read: {reason}"))]
    Malformed {
        /// A description of the error.
        reason: String,
    },
}

impl BodyError {
    /// Returns the status code of the response for this error.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Self::Malformed { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// A request as it is passed to handlers.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The URI.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The `:name` parameter of the path; empty if the route has none.
    pub name: String,
    /// The remote address of the connection.
    pub peer: Option<net::SocketAddr>,
    pub(super) body: Body,
    /// The room for bodies that have no budget of their own.
    pub(super) messages: sync::Arc<body::BodyBudget>,
}

impl Call {
    /// Returns the value of a header, or `None` if it is missing or not ASCII text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the value of a query parameter, without percent-decoding.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the body is larger than `max_bytes`, is interrupted or takes too
    /// long, and if there is no room beside the others that the port reads.
    pub async fn read_body(self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let room = self.messages.clone();
        self.read_body_within(max_bytes, &room, future::pending())
            .await
    }

    /// Like [`Call::read_body`], but the rest of the body is discarded in the background once `over`
    /// has completed, and if the budget has no room for it. A body whose length is announced gets its
    /// room, or is refused, before it is read.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] as [`Call::read_body`] does, if the body is not complete by then, and if
    /// there is no room.
    pub async fn read_body_within<F>(
        self,
        max_bytes: usize,
        budget: &sync::Arc<body::BodyBudget>,
        over: F,
    ) -> Result<Bytes, BodyError>
    where
        F: Future<Output = ()> + Send,
    {
        let announced = hyper::body::Body::size_hint(&self.body)
            .exact()
            .unwrap_or(0);
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        let mut limited = http_body_util::Limited::new(self.body, max_bytes);
        if announced > max_bytes {
            return TooLargeSnafu { max_bytes }.fail();
        }
        let Some(mut read) = body::BudgetedBody::reserve(budget, announced) else {
            discard(limited);
            return NoRoomSnafu.fail();
        };
        let evicted = read.until_evicted();
        let reading = read_to_end(&mut limited, &mut read, max_bytes);
        let result = tokio::select! {
            biased;
            result = tokio_time::timeout(BODY_READ_TIMEOUT, reading) => {
                result.unwrap_or_else(|_| IncompleteSnafu.fail())
            }
            // Who stopped sending is not waited for any more.
            () = evicted => return NoRoomSnafu.fail(),
            () = over => {
                discard(limited);
                return IncompleteSnafu.fail();
            }
        };
        if matches!(result, Err(BodyError::NoRoom)) {
            discard(limited);
        }
        result.and_then(|()| read.into_bytes().context(NoRoomSnafu))
    }

    /// Reads the body to its end in the background and discards it, so that the response can be sent
    /// at once and the connection is kept.
    ///
    /// A connection that is closed while its peer still sends is reset, and the peer may lose the
    /// response. A peer that waits for a status before it sends its body may never send it, so the
    /// body of such a request is not read.
    pub fn discard_body(self, max_bytes: usize) {
        let waits_for_status = self.headers.contains_key(header::EXPECT);
        if waits_for_status || hyper::body::Body::is_end_stream(&self.body) {
            return;
        }
        discard(http_body_util::Limited::new(self.body, max_bytes));
    }

    /// Returns the body without reading it.
    #[must_use]
    pub fn into_body(self) -> Body {
        self.body
    }

    /// Reads the body and decodes it as a `MessagePack` message.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the body can't be read or decoded.
    pub async fn read_message<T>(self, max_bytes: usize) -> Result<T, BodyError>
    where
        T: de::DeserializeOwned,
    {
        let body = self.read_body(max_bytes).await?;
        pimentohook_wire::from_bytes(&body).map_err(|error| BodyError::Malformed {
            reason: error.to_string(),
        })
    }

    /// Reads the body and decodes it as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if the body can't be read or decoded.
    pub async fn read_json<T>(self, max_bytes: usize) -> Result<T, BodyError>
    where
        T: de::DeserializeOwned,
    {
        let body = self.read_body(max_bytes).await?;
        serde_json::from_slice(&body).map_err(|error| BodyError::Malformed {
            reason: error.to_string(),
        })
    }
}

/// Reads a body to its end, as far as there is room.
async fn read_to_end(
    body: &mut http_body_util::Limited<Body>,
    read: &mut body::BudgetedBody,
    max_bytes: usize,
) -> Result<(), BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| body_error(&*error, max_bytes))?;
        let has_room = frame.data_ref().is_none_or(|piece| read.push(piece));
        ensure!(has_room, NoRoomSnafu);
    }
    Ok(())
}

fn body_error(error: &(dyn std::error::Error + 'static), max_bytes: usize) -> BodyError {
    if error.is::<http_body_util::LengthLimitError>() {
        BodyError::TooLarge { max_bytes }
    } else {
        BodyError::Incomplete
    }
}

/// Reads a body to its end in the background.
fn discard(mut body: http_body_util::Limited<Body>) {
    tokio::spawn(tokio_time::timeout(BODY_READ_TIMEOUT, async move {
        // A body that does not go on is given up, which closes its connection.
        while let Ok(Some(Ok(_))) = tokio_time::timeout(DISCARD_TIMEOUT, body.frame()).await {}
    }));
}
