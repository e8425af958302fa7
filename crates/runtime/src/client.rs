//! An HTTP client that never sends a request twice by itself.
//!
//! The pool's own retries are off: a request that went out on a connection which then broke may
//! have been run. Errors say whether a connection was made at all, because only then it is proved
//! that nothing was sent. After a connection has fallen silent, [`Client::drop_idle_connections`] drops all idle
//! ones, since others to the same place may be silent too.

use std::{net, sync, sync::atomic, time};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use pimentohook_wire::CodecError;
use serde::{Serialize, de};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time as tokio_time;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
const POOL_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const KEEPALIVE: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const SILENCE_MAX: time::Duration = time::Duration::from_secs(3);

/// A call that did not lead to a response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection was made, so nothing was sent.
    #[snafu(display("no connection to {address} could be made"))]
    Connect {
        /// The address.
        address: net::SocketAddr,
    },
    /// The connection closed before the request was written to it.
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
    /// No response came in time.
    #[snafu(display("{address} did not answer within {timeout:?}"))]
    Timeout {
        /// The address.
        address: net::SocketAddr,
        /// The time given.
        timeout: time::Duration,
    },
    /// The response has another status than success.
    #[snafu(display("{address} answered {status}: {text}"))]
    Status {
        /// The address.
        address: net::SocketAddr,
        /// The status.
        status: StatusCode,
        /// The start of the body.
        text: String,
    },
    /// The body is larger than allowed.
    #[snafu(display("answer of {address} is larger than {max_bytes} bytes"))]
    TooLarge {
        /// The address.
        address: net::SocketAddr,
        /// The largest allowed.
        max_bytes: usize,
    },
    /// The request can't be built.
    #[snafu(display("request can't be built: {source}"))]
    Build {
        /// The cause.
        source: hyper::http::Error,
    },
    /// A message can't be encoded or decoded.
    #[snafu(display("{source}"))]
    Codec {
        /// The cause.
        source: CodecError,
    },
    /// A JSON body can't be encoded or decoded.
    #[snafu(display("JSON of {address}: {source}"))]
    Json {
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
}

impl ClientError {
    /// Returns whether it is proved that nothing of the request was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::Unsent { .. } | Self::Build { .. }
        )
    }
}

/// How long the parts of an exchange may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From the start to the head of the response.
    pub head: time::Duration,
    /// From there to the end of its body.
    pub body: time::Duration,
}

type Pool = legacy::Client<HttpConnector, Full<Bytes>>;

/// The client.
#[derive(Debug)]
pub struct Client {
    pool: ArcSwap<Pool>,
    idle_max: atomic::AtomicUsize,
    fresh: Pool,
    local: Option<net::IpAddr>,
}

fn new_pool(idle_max: usize, local: Option<net::IpAddr>) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_local_address(local);
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(KEEPALIVE));
    connector.set_keepalive_interval(Some(KEEPALIVE));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    connector.set_tcp_user_timeout(Some(SILENCE_MAX));
    legacy::Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_timer(hyper_util::rt::TokioTimer::new())
        .pool_max_idle_per_host(idle_max)
        .build(connector)
}

const IDLE_MAX: usize = 64;

impl Client {
    /// Creates a client with its own pool of connections, which leave from `local`.
    ///
    /// An unspecified address leaves the choice to the system.
    #[must_use]
    pub fn new(local: net::IpAddr) -> Self {
        Self::with_idle_max(local, IDLE_MAX)
    }

    /// Like [`Client::new`], keeping no more than `idle_max` idle connections to each address.
    #[must_use]
    pub fn with_idle_max(local: net::IpAddr, idle_max: usize) -> Self {
        let local = Some(local).filter(|address| !address.is_unspecified());
        Self {
            pool: ArcSwap::from_pointee(new_pool(idle_max, local)),
            idle_max: atomic::AtomicUsize::new(idle_max),
            fresh: new_pool(0, local),
            local,
        }
    }

    /// Drops all idle connections.
    pub fn drop_idle_connections(&self) {
        let idle_max = self.idle_max.load(atomic::Ordering::Relaxed);
        let pool = new_pool(idle_max, self.local);
        self.pool.store(sync::Arc::new(pool));
    }

    /// Changes how many idle connections are kept to each address, dropping those there are.
    pub fn set_idle_max(&self, idle_max: usize) {
        if self.idle_max.swap(idle_max, atomic::Ordering::Relaxed) != idle_max {
            self.drop_idle_connections();
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`ClientError`] says whether anything can have been sent.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        let pool = self.pool.load_full();
        send_on(&pool, address, request, timeout).await
    }

    /// Like [`Client::send`], on a connection made for this request.
    ///
    /// # Errors
    ///
    /// [`ClientError`] says whether anything can have been sent.
    pub async fn send_on_new_connection(
        &self,
        address: net::SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        send_on(&self.fresh, address, request, timeout).await
    }

    /// Exchanges messages of the system's own protocol on a pooled connection.
    ///
    /// # Errors
    ///
    /// [`ClientError`] where no message came back.
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
        let exchange = async {
            let response = self.send(address, request, timeout).await?;
            decode(address, response).await
        };
        within(address, timeout, exchange).await
    }

    /// Like [`Client::call`], for answers that take a while from their head to their end.
    ///
    /// # Errors
    ///
    /// [`ClientError`] where no message came back.
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
        within(address, timeouts.body, decode(address, response)).await
    }

    /// Like [`Client::call`], on a connection made for this call.
    ///
    /// # Errors
    ///
    /// [`ClientError`] where no message came back.
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
        let exchange = async {
            let response = self
                .send_on_new_connection(address, request, timeout)
                .await?;
            decode(address, response).await
        };
        within(address, timeout, exchange).await
    }

    /// Exchanges JSON; the status and the body are returned whatever the status is.
    ///
    /// # Errors
    ///
    /// [`ClientError`] where no whole response came.
    pub async fn send_and_read_body(
        &self,
        address: net::SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let exchange = async {
            let response = self.send(address, request, timeout).await?;
            let status = response.status();
            let body = read_body(address, response, MESSAGE_MAX_BYTES).await?;
            Ok((status, body))
        };
        within(address, timeout, exchange).await
    }
}

/// Largest message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 4 << 20;

const STATUS_TEXT_MAX: usize = 300;

async fn send_on(
    pool: &Pool,
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: time::Duration,
) -> Result<Response<Incoming>, ClientError> {
    let response = async {
        pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                ClientError::Connect { address }
            } else if is_canceled(&error) {
                ClientError::Unsent { address }
            } else {
                ClientError::Broken { address }
            }
        })
    };
    within(address, timeout, response).await
}

/// A request is canceled only while it still waits to be written.
fn is_canceled(error: &legacy::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

async fn within<F, T>(
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

async fn decode<A>(address: net::SocketAddr, response: Response<Incoming>) -> Result<A, ClientError>
where
    A: de::DeserializeOwned,
{
    let status = response.status();
    let body = read_body(address, response, MESSAGE_MAX_BYTES).await?;
    let text = || String::from_utf8_lossy(&body[..body.len().min(STATUS_TEXT_MAX)]).into_owned();
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

/// Reads a whole body.
///
/// # Errors
///
/// [`ClientError`] where it broke off or is larger than `max_bytes`.
pub async fn read_body(
    address: net::SocketAddr,
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<Bytes, ClientError> {
    let limited = http_body_util::Limited::new(response.into_body(), max_bytes);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            TooLargeSnafu { address, max_bytes }.fail()
        }
        Err(_) => BrokenSnafu { address }.fail(),
    }
}

/// Builds a request with a message of the system's own protocol.
///
/// # Errors
///
/// [`ClientError`] where the message can't be encoded.
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

/// Builds a request with a JSON body, or with none.
///
/// # Errors
///
/// [`ClientError`] where the body can't be encoded.
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
