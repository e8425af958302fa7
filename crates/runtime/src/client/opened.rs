//! A connection that is opened before it is decided whether a request is sent on it.
//!
//! To open a connection takes a while, in which what a request is based on may have changed. Between the
//! decision and the writing of the request there is nothing here that waits.

use std::{
    net, pin,
    sync::{self, atomic},
    time,
};

use bytes::Bytes;
use futures_util::future::{self, Either};
use http_body_util::Full;
use hyper::{
    Request, Response, Uri,
    body::Incoming,
    client::conn::http1,
    header::{self, HeaderValue},
    http::response,
};
use tokio::sync::Notify;
use tower_service::Service as _;

use super::{
    Client, HEAD_MAX_BYTES, MESSAGE_MAX_BYTES, joined,
    sending::{FINAL_STATUSES, INFORMATIONAL_MAX, with_timeout},
};
use crate::{
    body,
    client_error::{ClientError, JoinedSnafu, OddStatusSnafu},
    connector,
};

type Driver = http1::Connection<connector::CutOffStream, Full<Bytes>>;

/// A connection that has carried nothing yet.
pub struct OpenedConnection {
    address: net::SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
}

impl std::fmt::Debug for OpenedConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut debug = f.debug_struct("OpenedConnection");
        debug.field("address", &self.address);
        debug.finish_non_exhaustive()
    }
}

impl Client {
    /// Opens a connection that no other request gets.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no connection is open within `timeout`; nothing was sent then.
    pub async fn open(
        &self,
        address: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<OpenedConnection, ClientError> {
        let destination = Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query("/")
            .build()
            .map_err(|_| ClientError::Connect { address })?;
        let mut connector = self.connector.clone();
        let open = async {
            let ready = future::poll_fn(|context| connector.poll_ready(context)).await;
            ready.map_err(|_| ClientError::Connect { address })?;
            let stream = connector.call(destination).await;
            let stream = stream.map_err(|_| ClientError::Connect { address })?;
            let handshake = http1::Builder::new()
                .max_buf_size(HEAD_MAX_BYTES)
                .handshake(stream);
            let (sender, driver) = handshake
                .await
                .map_err(|_| ClientError::Connect { address })?;
            Ok(OpenedConnection {
                address,
                sender,
                driver,
            })
        };
        with_timeout(address, timeout, open).await
    }
}

impl OpenedConnection {
    /// Sends a request if `may_send` allows it, reads the whole response, and closes the connection;
    /// returns `None` if nothing was sent.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if no complete response was received within `timeout`.
    pub async fn send_if<F>(
        mut self,
        mut request: Request<Full<Bytes>>,
        timeout: time::Duration,
        may_send: F,
    ) -> Result<Option<(response::Parts, Bytes)>, ClientError>
    where
        F: FnOnce() -> bool + Send,
    {
        let address = self.address;
        use_origin_form(&mut request, address);
        let flooded = notify_of_flood(&mut request);
        let exchange = async {
            if !may_send() {
                return Ok(None);
            }
            let response = self.sender.send_request(request);
            let exchange = async {
                let response = response
                    .await
                    .map_err(|_| ClientError::Broken { address })?;
                read(address, response).await.map(Some)
            };
            let exchange = pin::pin!(drive(self.driver, exchange));
            match future::select(exchange, pin::pin!(flooded.notified())).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(ClientError::Broken { address }),
            }
        };
        with_timeout(address, timeout, exchange).await
    }
}

/// Names the target of a request as on a connection to its origin: by its path, and by its host.
fn use_origin_form(request: &mut Request<Full<Bytes>>, address: net::SocketAddr) {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    let host = HeaderValue::from_str(&address.to_string());
    if let Ok(host) = host {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
}

/// Returns what is notified once more informational responses than allowed have come.
fn notify_of_flood(request: &mut Request<Full<Bytes>>) -> sync::Arc<Notify> {
    let flooded = sync::Arc::new(Notify::new());
    let notified = flooded.clone();
    let count = atomic::AtomicU32::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, atomic::Ordering::Relaxed) >= INFORMATIONAL_MAX {
            notified.notify_one();
        }
    });
    flooded
}

/// Runs an exchange together with the connection that it is on.
async fn drive<F, T>(driver: Driver, exchange: F) -> T
where
    F: Future<Output = T>,
{
    let exchange = pin::pin!(exchange);
    match future::select(exchange, pin::pin!(driver)).await {
        Either::Left((result, _)) => result,
        // What was received before the connection ended is still read.
        Either::Right((_, exchange)) => exchange.await,
    }
}

async fn read(
    address: net::SocketAddr,
    response: Response<Incoming>,
) -> Result<(response::Parts, Bytes), ClientError> {
    if joined::is_joined(&response) {
        return JoinedSnafu { address }.fail();
    }
    let status = response.status();
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return OddStatusSnafu { address, status }.fail();
    }
    let (head, body) = response.into_parts();
    let body = body::read_body(address, Response::new(body), MESSAGE_MAX_BYTES).await?;
    Ok((head, body))
}
