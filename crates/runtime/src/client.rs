//! An HTTP client that never retries a request on its own.
//!
//! The retries of the connection pool are disabled, because a request may have been run although
//! its connection broke. It is certain that nothing was sent only if no connection was established,
//! or if the connection closed before the request was written to it. [`ClientError::is_unsent`] says
//! whether that is the case.
//!
//! After a connection has become unresponsive, the caller should call
//! [`Client::drop_idle_connections`], since other connections to the same host may be dead too.

mod joined;
mod messages;
mod opened;
mod sending;

use std::{net, sync, sync::atomic, time};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::{client::legacy, rt::TokioExecutor};
use pimentohook_core::carried_ids;
use serde::{Serialize, de};

use self::{
    messages::decode_reply,
    sending::{Pool, carrier, record_carried, send_on, send_recorded, with_timeout},
};
pub use self::{
    messages::{MESSAGE_MAX_BYTES, json_request, message_request},
    opened::OpenedConnection,
    sending::{close_connection, connection_number},
};
pub use crate::client_error::ClientError;
use crate::{body, carriers, connector, short_reads};

const POOL_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// The maximum size of the head of a response.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// The most that one read takes, so that a connection's buffer is as large as a head.
const READ_MAX_BYTES: u64 = 64 << 10;

/// The timeouts for the two phases of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// The maximum time until the head of the response.
    pub head: time::Duration,
    /// The maximum time from there until the end of its body.
    pub body: time::Duration,
}

/// A response whose head has come, and what its connection had carried.
#[derive(Debug)]
pub struct IdentifiedResponse {
    /// The response.
    pub response: Response<Incoming>,
    /// The proof that the connection had carried no request with the same id; without it the response
    /// may answer an earlier one.
    pub first_send: Option<carried_ids::FirstSend>,
}

/// An HTTP client with a connection pool.
#[derive(Debug)]
pub struct Client {
    pool: ArcSwap<Pool>,
    idle_max: atomic::AtomicUsize,
    unpooled: Pool,
    connector: connector::Connector,
    carriers: sync::Arc<carriers::Carriers>,
}

fn new_pool(idle_max: usize, connector: &connector::Connector) -> Pool {
    legacy::Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_timer(hyper_util::rt::TokioTimer::new())
        .pool_max_idle_per_host(idle_max)
        .http1_max_buf_size(HEAD_MAX_BYTES)
        .build(connector.clone())
}

const IDLE_CONNECTIONS_MAX: usize = 64;

impl Client {
    /// Creates a client with its own connection pool, whose connections use `local_address` as
    /// their source address.
    ///
    /// If the address is unspecified, the operating system chooses one.
    #[must_use]
    pub fn new(local_address: net::IpAddr) -> Self {
        Self::with_idle_max(local_address, IDLE_CONNECTIONS_MAX)
    }

    /// Like [`Client::new`], but keeps at most `idle_max` idle connections to each address.
    #[must_use]
    pub fn with_idle_max(local_address: net::IpAddr, idle_max: usize) -> Self {
        Self::with_reads(local_address, idle_max, READ_MAX_BYTES)
    }

    /// Like [`Client::new`], but with small buffers, for a client that may have many connections.
    #[must_use]
    pub fn with_small_buffers(local_address: net::IpAddr) -> Self {
        Self::with_reads(
            local_address,
            IDLE_CONNECTIONS_MAX,
            short_reads::SMALL_MAX_BYTES,
        )
    }

    fn with_reads(local_address: net::IpAddr, idle_max: usize, read_max_bytes: u64) -> Self {
        let local_address = Some(local_address).filter(|address| !address.is_unspecified());
        let carriers = sync::Arc::new(carriers::Carriers::default());
        let connector = connector::Connector::new(local_address, read_max_bytes, carriers.clone());
        Self {
            pool: ArcSwap::from_pointee(new_pool(idle_max, &connector)),
            idle_max: atomic::AtomicUsize::new(idle_max),
            unpooled: new_pool(0, &connector),
            connector,
            carriers,
        }
    }

    /// Closes all idle connections.
    pub fn drop_idle_connections(&self) {
        let idle_max = self.idle_max.load(atomic::Ordering::Relaxed);
        let pool = new_pool(idle_max, &self.connector);
        self.pool.store(sync::Arc::new(pool));
    }

    /// Sets the maximum number of idle connections to each address.
    ///
    /// If the number changes, all idle connections are closed.
    pub fn set_idle_max(&self, idle_max: usize) {
        if self.idle_max.swap(idle_max, atomic::Ordering::Relaxed) != idle_max {
            self.drop_idle_connections();
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no response was received. [`ClientError::is_unsent`] says whether
    /// it is certain that nothing was sent.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        let pool = self.pool.load_full();
        send_on(&pool, address, request, timeout).await
    }

    /// Like [`Client::send`], for a request with an id that the response has to echo.
    ///
    /// If an open connection to the address has carried a request with this id, this one is sent on a
    /// new connection, so that it can't meet a copy of the earlier response.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no response was received. [`ClientError::is_unsent`] says whether
    /// it is certain that nothing was sent.
    pub async fn send_identified(
        &self,
        address: net::SocketAddr,
        request: Request<Full<Bytes>>,
        id: &[u8],
        timeout: time::Duration,
    ) -> Result<IdentifiedResponse, ClientError> {
        let id = self.carriers.hash(id);
        let mut first_send = None;
        let record = |connection: &connector::RequestConnection| {
            let Some(carrier) = connection.carrier() else {
                return false;
            };
            first_send = record_carried(connection, &carrier, id);
            true
        };
        let pool = self.pool.load_full();
        let pool = if self.carriers.has_carried(address, id) {
            &self.unpooled
        } else {
            &*pool
        };
        let response = send_recorded(pool, address, request, timeout, record).await?;
        Ok(IdentifiedResponse {
            response,
            first_send,
        })
    }

    /// Returns whether the connection of a response has carried a request with an id.
    #[must_use]
    pub fn has_carried<B>(&self, response: &Response<B>, id: &[u8]) -> bool {
        let id = self.carriers.hash(id);
        carrier(response).is_some_and(|carrier| carrier.ids.has_carried(id))
    }

    /// Like [`Client::send`], but on a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no response was received. [`ClientError::is_unsent`] says whether
    /// it is certain that nothing was sent.
    pub async fn send_on_new_connection(
        &self,
        address: net::SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        send_on(&self.unpooled, address, request, timeout).await
    }

    /// Sends a `MessagePack` message on a pooled connection and decodes the reply.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no valid reply was received.
    pub async fn call<Q, A>(
        &self,
        address: net::SocketAddr,
        path: &str,
        message: &Q,
        timeout: time::Duration,
    ) -> Result<A, ClientError>
    where
        Q: Serialize,
        A: de::DeserializeOwned,
    {
        let request = message_request(address, path, message)?;
        let call = async {
            let response = self.send(address, request, timeout).await?;
            decode_reply(address, response).await
        };
        with_timeout(address, timeout, call).await
    }

    /// Like [`Client::call`], but with separate timeouts for the head and the body of the reply.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no valid reply was received.
    pub async fn call_with_timeouts<Q, A>(
        &self,
        address: net::SocketAddr,
        path: &str,
        message: &Q,
        timeouts: Timeouts,
    ) -> Result<A, ClientError>
    where
        Q: Serialize,
        A: de::DeserializeOwned,
    {
        let request = message_request(address, path, message)?;
        let response = self.send(address, request, timeouts.head).await?;
        with_timeout(address, timeouts.body, decode_reply(address, response)).await
    }

    /// Like [`Client::call`], but on a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no valid reply was received.
    pub async fn call_on_new_connection<Q, A>(
        &self,
        address: net::SocketAddr,
        path: &str,
        message: &Q,
        timeout: time::Duration,
    ) -> Result<A, ClientError>
    where
        Q: Serialize,
        A: de::DeserializeOwned,
    {
        let request = message_request(address, path, message)?;
        let call = async {
            let response = self
                .send_on_new_connection(address, request, timeout)
                .await?;
            decode_reply(address, response).await
        };
        with_timeout(address, timeout, call).await
    }

    /// Sends a request and returns the status and the complete body of the response.
    ///
    /// Error statuses are returned like any other.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no complete response was received.
    pub async fn send_and_read_body(
        &self,
        address: net::SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let (head, body) = self
            .send_and_read_response(address, request, timeout)
            .await?;
        Ok((head.status, body))
    }

    /// Like [`Client::send_and_read_body`], but returns the whole head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no complete response was received.
    pub async fn send_and_read_response(
        &self,
        address: net::SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<(hyper::http::response::Parts, Bytes), ClientError> {
        let call = async {
            let response = self.send(address, request, timeout).await?;
            let (head, body) = response.into_parts();
            let body = Response::new(body);
            let body = body::read_body(address, body, MESSAGE_MAX_BYTES).await?;
            Ok((head, body))
        };
        with_timeout(address, timeout, call).await
    }
}
