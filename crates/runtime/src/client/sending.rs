//! Sends a request on a connection of a pool, and checks the head of its response.

use std::{future, net, ops, pin, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use hyper_util::client::legacy;
use pimentohook_core::carried_ids;
use tokio::time as tokio_time;

use super::joined;
use crate::{
    carriers,
    client_error::{ClientError, JoinedSnafu, OddStatusSnafu, TimeoutSnafu},
    connector,
};

/// The maximum number of informational responses, with a status below 200, before a response.
pub(super) const INFORMATIONAL_MAX: u32 = 16;
/// The statuses of final responses. 101 is none, as no request asks for another protocol.
pub(super) const FINAL_STATUSES: ops::RangeInclusive<u16> = 200..=599;

/// A pool of connections.
pub(super) type Pool = legacy::Client<connector::Connector, Full<Bytes>>;

/// Sends a request.
pub(super) async fn send_on(
    pool: &Pool,
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: time::Duration,
) -> Result<Response<Incoming>, ClientError> {
    send_recorded(pool, address, request, timeout, |_| true).await
}

/// Sends a request, and calls `record` until it returns true with the connection that the request is
/// handed to. That is before its response can come and before another request gets the connection.
pub(super) async fn send_recorded<R>(
    pool: &Pool,
    address: net::SocketAddr,
    mut request: Request<Full<Bytes>>,
    timeout: time::Duration,
    mut record: R,
) -> Result<Response<Incoming>, ClientError>
where
    R: FnMut(&connector::RequestConnection) -> bool,
{
    let connection = connector::cut_off_after(&mut request, INFORMATIONAL_MAX);
    let call = async {
        let mut sending = pin::pin!(pool.request(request));
        let mut is_recorded = false;
        let recorded = future::poll_fn(|context| {
            let polled = sending.as_mut().poll(context);
            is_recorded = is_recorded || record(&connection);
            polled
        });
        let response = recorded.await;
        response.map_err(|error| {
            if error.is_connect() {
                ClientError::Connect { address }
            } else if is_canceled(&error) {
                ClientError::Unsent { address }
            } else {
                ClientError::Broken { address }
            }
        })
    };
    let mut response = with_timeout(address, timeout, call).await?;
    response.extensions_mut().insert(connection);
    if joined::is_joined(&response) {
        close_connection(&response);
        return JoinedSnafu { address }.fail();
    }
    let status = response.status();
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        close_connection(&response);
        return OddStatusSnafu { address, status }.fail();
    }
    Ok(response)
}

/// Closes the connection on which a response came, so that no other request is sent on it.
pub fn close_connection<B>(response: &Response<B>) {
    let connection: Option<&connector::RequestConnection> = response.extensions().get();
    if let Some(connection) = connection {
        connection.cut_off();
    }
}

/// Returns the number that tells the connection of a response from the others of its client; `None` if
/// it is not known.
#[must_use]
pub fn connection_number<B>(response: &Response<B>) -> Option<u64> {
    Some(carrier(response)?.number)
}

pub(super) fn carrier<B>(response: &Response<B>) -> Option<carriers::Carrier> {
    let connection: &connector::RequestConnection = response.extensions().get()?;
    connection.carrier()
}

/// Records that a connection carries a request; a connection that carries as many as it may gets no
/// more.
pub(super) fn record_carried(
    connection: &connector::RequestConnection,
    carrier: &carriers::Carrier,
    id: carried_ids::IdHash,
) -> Option<carried_ids::FirstSend> {
    let first_send = carrier.ids.record(id);
    if carrier.ids.is_full() {
        connection.retire();
    }
    first_send
}

/// Returns whether the request was canceled, which happens only before it has been written.
fn is_canceled(error: &legacy::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

pub(super) async fn with_timeout<F, T>(
    address: net::SocketAddr,
    timeout: time::Duration,
    future: F,
) -> Result<T, ClientError>
where
    F: Future<Output = Result<T, ClientError>>,
{
    match tokio_time::timeout(timeout, future).await {
        Ok(result) => result,
        Err(_) => TimeoutSnafu { address, timeout }.fail(),
    }
}
