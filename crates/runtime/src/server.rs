//! The accept loop in front of a gotham router.
//!
//! gotham's own server can't be stopped gracefully, so the loop is here: it hands each connection
//! to hyper with gotham's handler behind it, and on shutdown lets what runs come to its end.
//!
//! [`Endpoint`] turns an async function of the application and a [`Call`] into a gotham handler.

use std::{io, net, panic, sync, time};

use bytes::Bytes;
use futures_util::FutureExt as _;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    prelude::{FromState as _, StateData, StaticResponseExtender},
    state::State,
};
use http_body_util::{BodyExt as _, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize, de};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, sync::Semaphore, task::JoinSet, time as tokio_time};

use crate::process;

const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const BODY_READ_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const CONNECTIONS_MAX: usize = 8_192;
const HEADERS_MAX: usize = 64;
const HEADER_BYTES_MAX: usize = 64 << 10;
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// A server that can't start.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}; is another process using it?"))]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// A request body that can't be used.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// It is larger than allowed.
    #[snafu(display("body is larger than {max_bytes} bytes"))]
    TooLarge {
        /// The largest allowed.
        max_bytes: usize,
    },
    /// It did not come whole in time.
    #[snafu(display("body did not come whole within {} s", BODY_READ_TIMEOUT.as_secs()))]
    Incomplete,
    /// It is not what was expected.
    #[snafu(display("body can't be read: {reason}"))]
    Malformed {
        /// Why.
        reason: String,
    },
}

impl BodyError {
    /// Returns the status that tells a client of the error.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::Malformed { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// Opens a listening socket.
///
/// # Errors
///
/// [`ServerError::Bind`] where the address is taken or not this machine's.
pub async fn bind(address: net::SocketAddr) -> Result<TcpListener, ServerError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { address })
}

/// Serves connections until `stop` is set, then until the open ones have ended.
pub async fn serve<H>(listener: TcpListener, handler: H, stop: process::StopSignal)
where
    H: NewHandler + 'static,
{
    serve_with_idle_timeout(listener, handler, stop, IDLE_TIMEOUT).await;
}

/// Like [`serve`], with the time for which a connection may be idle or take to send a head.
pub async fn serve_with_idle_timeout<H>(
    listener: TcpListener,
    handler: H,
    stop: process::StopSignal,
    idle_timeout: time::Duration,
) where
    H: NewHandler + 'static,
{
    let handler = sync::Arc::new(handler);
    let permits = sync::Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut connections = JoinSet::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            break;
        };
        tokio::select! {
            () = stop.wait() => break,
            accepted = listener.accept() => {
                let Ok((socket, peer)) = accepted else {
                    // Accepting fails while file handles are short; a pause lets some close.
                    tokio_time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                let _ = socket.set_nodelay(true);
                let connection = connection(socket, peer, handler.clone(), stop.clone(), idle_timeout);
                connections.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection<H>(
    socket: tokio::net::TcpStream,
    peer: net::SocketAddr,
    handler: sync::Arc<H>,
    stop: process::StopSignal,
    idle_timeout: time::Duration,
) where
    H: NewHandler + 'static,
{
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let state = State::from_request(request, peer);
        gotham::service::call_handler(handler.clone(), panic::AssertUnwindSafe(state))
            .map(|result| result.map_err(io::Error::other))
    });
    let serving = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEADER_BYTES_MAX)
        .serve_connection(TokioIo::new(socket), service);
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        _ = serving.as_mut() => return,
        () = stop.wait() => {}
    }
    serving.as_mut().graceful_shutdown();
    let _ = serving.await;
}

/// The name in a path such as `/v1/services/:name`.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct NamePath {
    name: String,
}

/// A request as handlers see it.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The target.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The name in the path; empty where the route has none.
    pub name: String,
    /// Where the connection comes from.
    pub peer: Option<net::SocketAddr>,
    body: Body,
}

impl Call {
    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a parameter of the query, without decoding.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// [`BodyError`] where it is too large or too slow.
    pub async fn read_body(self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let limited = http_body_util::Limited::new(self.body, max_bytes);
        match tokio_time::timeout(BODY_READ_TIMEOUT, limited.collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                TooLargeSnafu { max_bytes }.fail()
            }
            Ok(Err(_)) | Err(_) => IncompleteSnafu.fail(),
        }
    }

    /// Returns the body unread.
    #[must_use]
    pub fn into_body(self) -> Body {
        self.body
    }

    /// Reads a message of the system's own protocol.
    ///
    /// # Errors
    ///
    /// [`BodyError`] where the body is not that message.
    pub async fn read_message<T>(self, max_bytes: usize) -> Result<T, BodyError>
    where
        T: de::DeserializeOwned,
    {
        let body = self.read_body(max_bytes).await?;
        pimentohook_wire::from_bytes(&body).map_err(|error| BodyError::Malformed {
            reason: error.to_string(),
        })
    }

    /// Reads a JSON body.
    ///
    /// # Errors
    ///
    /// [`BodyError`] where the body is not that value.
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

/// A gotham handler made of an application and an async function.
pub struct Endpoint<A, F> {
    app: sync::Arc<A>,
    handle: F,
}

/// Creates an [`Endpoint`].
pub fn endpoint<A, F>(app: &sync::Arc<A>, handle: F) -> Endpoint<A, F> {
    let app = app.clone();
    Endpoint { app, handle }
}

// A handler that panics answers 500. What applications share is guarded by mutexes and atomics,
// and a poisoned mutex panics again instead of showing half a change.
impl<A, F> panic::RefUnwindSafe for Endpoint<A, F> {}

impl<A, F> Clone for Endpoint<A, F>
where
    F: Copy,
{
    fn clone(&self) -> Self {
        endpoint(&self.app, self.handle)
    }
}

impl<A, F, R> NewHandler for Endpoint<A, F>
where
    A: Send + Sync + 'static,
    F: Fn(sync::Arc<A>, Call) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<A, F, R> Handler for Endpoint<A, F>
where
    A: Send + Sync + 'static,
    F: Fn(sync::Arc<A>, Call) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    fn handle(self, mut state: State) -> std::pin::Pin<Box<HandlerFuture>> {
        let call = Call {
            method: Method::take_from(&mut state),
            uri: Uri::take_from(&mut state),
            headers: HeaderMap::take_from(&mut state),
            name: NamePath::try_take_from(&mut state).map_or_else(String::new, |path| path.name),
            peer: gotham::state::client_addr(&state),
            body: Body::take_from(&mut state),
        };
        let response = (self.handle)(self.app, call);
        response.map(move |response| Ok((state, response))).boxed()
    }
}

/// Makes a body of bytes that are at hand.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes a response with a body and its media type.
#[must_use]
pub fn respond(status: StatusCode, content_type: &str, bytes: Bytes) -> Response<Body> {
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(full(bytes));
    response.unwrap_or_else(|_| Response::new(full(Bytes::new())))
}

/// Makes a JSON response.
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

/// Makes a response with a message of the system's own protocol.
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

/// Makes a response in plain text.
#[must_use]
pub fn respond_text(status: StatusCode, text: &str) -> Response<Body> {
    respond(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(String::from(text)),
    )
}
