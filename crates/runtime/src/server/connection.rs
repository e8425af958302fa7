//! Serves one connection, and closes it when it has been idle for too long.

use std::{io, net, panic, pin, sync, sync::atomic, task, time};

use bytes::Bytes;
use futures_util::FutureExt as _;
use gotham::{handler::NewHandler, helpers::http::Body, state::State};
use hyper::{
    Request,
    body::{self, Incoming},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, time as tokio_time};

use crate::process;

/// The minimum time after which a connection with a request under way is looked at again.
const CHECK_INTERVAL_MIN: time::Duration = time::Duration::from_millis(100);
const HEADERS_MAX: usize = 64;
/// The maximum size of a connection's read buffer, which also limits the size of a request head.
const BUFFER_MAX_BYTES: usize = 64 << 10;

/// The requests that are under way on a connection, and since when there is none.
#[derive(Debug)]
struct Activity {
    opened_at: tokio_time::Instant,
    request_count: atomic::AtomicUsize,
    /// When the last request ended, from `opened_at`.
    last_end_ms: atomic::AtomicU64,
}

impl Activity {
    fn new() -> Self {
        Self {
            opened_at: tokio_time::Instant::now(),
            request_count: atomic::AtomicUsize::new(0),
            last_end_ms: atomic::AtomicU64::new(0),
        }
    }

    /// Returns since when the connection is idle; `None` while a request is under way.
    fn idle_since(&self) -> Option<tokio_time::Instant> {
        // The end is written before the count falls.
        let request_count = self.request_count.load(atomic::Ordering::Acquire);
        let last_end_ms = self.last_end_ms.load(atomic::Ordering::Relaxed);
        let last_end = self.opened_at + time::Duration::from_millis(last_end_ms);
        (request_count == 0).then_some(last_end)
    }

    fn record_end(&self) {
        let last_end_ms = u64::try_from(self.opened_at.elapsed().as_millis());
        let last_end_ms = last_end_ms.unwrap_or(u64::MAX);
        let ordering = atomic::Ordering::Relaxed;
        self.last_end_ms.store(last_end_ms, ordering);
        self.request_count.fetch_sub(1, atomic::Ordering::AcqRel);
    }

    /// Waits until the connection has been idle for as long as `idle_timeout` then says.
    async fn wait_until_idle<I>(&self, idle_timeout: &I)
    where
        I: Fn() -> time::Duration,
    {
        loop {
            let now = tokio_time::Instant::now();
            let due = match self.idle_since() {
                Some(since) if since + idle_timeout() <= now => return,
                Some(since) => since + idle_timeout(),
                None => now + idle_timeout().max(CHECK_INTERVAL_MIN),
            };
            tokio_time::sleep_until(due).await;
        }
    }
}

/// Counts a request as under way until it is dropped.
#[derive(Debug)]
struct ActivityGuard(sync::Arc<Activity>);

impl ActivityGuard {
    fn new(activity: &sync::Arc<Activity>) -> Self {
        activity
            .request_count
            .fetch_add(1, atomic::Ordering::AcqRel);
        Self(activity.clone())
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.record_end();
    }
}

/// The body of a response; its request is under way until all of it has been sent.
struct TrackedBody {
    body: Body,
    _guard: ActivityGuard,
}

impl body::Body for TrackedBody {
    type Data = Bytes;
    type Error = <Body as body::Body>::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// Serves a connection until it is closed, is idle, or `stop` is set and its request has ended.
pub(super) async fn serve<H, I>(
    socket: TcpStream,
    peer: net::SocketAddr,
    handler: sync::Arc<H>,
    stop: process::StopSignal,
    idle_timeout: I,
) where
    H: NewHandler + 'static,
    I: Fn() -> time::Duration,
{
    let activity = sync::Arc::new(Activity::new());
    let service_activity = activity.clone();
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let guard = ActivityGuard::new(&service_activity);
        let state = State::from_request(request, peer);
        gotham::service::call_handler(handler.clone(), panic::AssertUnwindSafe(state)).map(
            |result| {
                let track = |body| TrackedBody {
                    body,
                    _guard: guard,
                };
                result
                    .map(|response| response.map(track))
                    .map_err(io::Error::other)
            },
        )
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_headers(HEADERS_MAX)
        .max_buf_size(BUFFER_MAX_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    // The connection goes first, so that a request that has just arrived keeps it open.
    tokio::select! {
        biased;
        result = connection.as_mut() => return log_end(peer, result),
        () = stop.wait() => {}
        () = activity.wait_until_idle(&idle_timeout) => {
            log::debug!("server: event=connection_idle peer={peer}");
            return;
        }
    }
    connection.as_mut().graceful_shutdown();
    log_end(peer, connection.await);
}

/// Writes a line if a connection has ended in any other way than by being closed.
fn log_end(peer: net::SocketAddr, result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::info!("server: event=connection_failed peer={peer} error={error:?}");
    }
}
