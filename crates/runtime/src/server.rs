//! An HTTP server for gotham routers, with graceful shutdown.
//!
//! gotham's own server does not support graceful shutdown. This module has its own accept loop,
//! which serves each connection with hyper and gotham's handlers, and waits for open connections on
//! shutdown.
//!
//! [`Endpoint`] turns an async function of the application and a [`Call`] into a gotham handler.

mod activity;
mod call;
mod connection;
mod connections;
mod endpoint;
mod head;
mod refusal;
mod response;
mod socket;

use std::{io, net, sync, time};

use gotham::handler::NewHandler;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, task::JoinSet, time as tokio_time};

pub use self::{
    call::{BodyError, Call},
    connection::ConnectionLimits,
    connections::Connections,
    endpoint::{Endpoint, NamePath, endpoint},
    response::{full, respond, respond_json, respond_message, respond_text},
};
use crate::process;

const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const CONNECTIONS_MAX: usize = 8_192;
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// An error from starting a server.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The server can't listen on the address.
    #[snafu(display("can't listen on {address}: {source}; is another process using it?"))]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
}

/// Opens a listening socket.
///
/// # Errors
///
/// Returns [`ServerError::Bind`] if the address is in use or does not belong to this host.
pub async fn bind(address: net::SocketAddr) -> Result<TcpListener, ServerError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { address })
}

/// Serves connections until `stop` is set, and then waits until the open ones have been closed.
pub async fn serve<H>(listener: TcpListener, handler: H, stop: process::StopSignal)
where
    H: NewHandler + 'static,
{
    let connections = Connections::new(CONNECTIONS_MAX);
    serve_with_limits(listener, handler, stop, connections, own_limits).await;
}

/// Like [`serve`], with a bound on the connections, and one on the bodies that are read, in bytes.
pub async fn serve_within<H>(
    listener: TcpListener,
    handler: H,
    stop: process::StopSignal,
    connections_max: usize,
    messages_bytes: usize,
) where
    H: NewHandler + 'static,
{
    let connections = Connections::with_messages(connections_max, messages_bytes);
    serve_with_limits(listener, handler, stop, connections, own_limits).await;
}

/// Returns the limits of the connections of processes, which no configuration names.
fn own_limits() -> ConnectionLimits {
    ConnectionLimits::idle(IDLE_TIMEOUT)
}

/// Like [`serve`], but connections are closed after they have been idle for as long as `limits` then
/// says, and heads that are over their limits are refused. A connection that comes when there are too
/// many takes the place of another.
pub async fn serve_with_limits<H, L>(
    listener: TcpListener,
    handler: H,
    stop: process::StopSignal,
    connections: sync::Arc<Connections>,
    limits: L,
) where
    H: NewHandler + 'static,
    L: Fn() -> ConnectionLimits + Clone + Send + Sync + 'static,
{
    let handler = sync::Arc::new(handler);
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.wait() => break,
            accepted = listener.accept() => {
                let Ok((socket, peer)) = accepted else {
                    // Accepting fails while the process has no free file descriptors. The pause
                    // gives other connections time to close.
                    tokio_time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                let _ = socket.set_nodelay(true);
                let place = tokio::select! {
                    () = stop.wait() => break,
                    place = connections.place() => place,
                };
                let connection = connection::serve(
                    socket,
                    connections.register(peer),
                    handler.clone(),
                    stop.clone(),
                    limits.clone(),
                );
                tasks.spawn(async move {
                    connection.await;
                    drop(place);
                });
            }
            Some(result) = tasks.join_next(), if !tasks.is_empty() => {
                log_panic(&result);
            }
        }
    }
    drop(listener);
    while let Some(result) = tasks.join_next().await {
        log_panic(&result);
    }
}

/// Writes a line if the task of a connection has panicked, which ends the connection.
fn log_panic(result: &Result<(), tokio::task::JoinError>) {
    if let Err(error) = result {
        log::error!("server: event=connection_task_failed error={error}");
    }
}
