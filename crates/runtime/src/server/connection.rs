//! Serves one connection, and closes it when it has been idle for too long.

use std::{io, net, panic, pin, sync, task, time};

use bytes::Bytes;
use futures_util::FutureExt as _;
use gotham::{handler::NewHandler, helpers::http::Body, state::State};
use hyper::{
    Request,
    body::{self, Incoming},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, time as tokio_time};

use super::{
    activity::{Activity, ActivityGuard, OpenBodyGuard},
    connections, endpoint,
    socket::Socket,
};
use crate::process;

/// The minimum time after which a connection with a request under way is looked at again.
const CHECK_INTERVAL_MIN: time::Duration = time::Duration::from_millis(100);
const HEADERS_MAX: usize = 64;
/// The maximum size of a connection's read buffer, which also limits the size of a request head.
const BUFFER_MAX_BYTES: usize = 20 << 10;

/// A connection whose client takes nothing for this long is closed.
const UNREAD_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Waits until a connection has been idle for as long as `idle_timeout` then says, or has taken nothing
/// of a response for too long.
async fn wait_until_idle<I>(activity: &Activity, idle_timeout: &I)
where
    I: Fn() -> time::Duration,
{
    loop {
        let now = tokio_time::Instant::now();
        let blocked_until = activity.blocked_since().map(|since| since + UNREAD_TIMEOUT);
        let due = match activity.idle_since() {
            Some(since) if since + idle_timeout() <= now => return,
            Some(since) => since + idle_timeout(),
            None if blocked_until.is_some_and(|until| until <= now) => return,
            None => now + idle_timeout().clamp(CHECK_INTERVAL_MIN, UNREAD_TIMEOUT),
        };
        tokio_time::sleep_until(due).await;
    }
}

/// The body of a request, which is open until its end or until it is given up.
struct RequestBody {
    body: Incoming,
    activity: sync::Arc<Activity>,
    guard: Option<OpenBodyGuard>,
}

impl RequestBody {
    fn new(body: Incoming, activity: &sync::Arc<Activity>) -> Self {
        let is_empty = body::Body::is_end_stream(&body);
        Self {
            body,
            activity: activity.clone(),
            guard: (!is_empty).then(|| OpenBodyGuard::new(activity)),
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if self.guard.is_some() && !body::Body::is_end_stream(&self.body) {
            self.activity.record_cut();
        }
    }
}

impl body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        let poll = pin::Pin::new(&mut self.body).poll_frame(context);
        if matches!(poll, task::Poll::Ready(None)) {
            self.guard = None;
        }
        poll
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
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
    registered: connections::Registered,
    handler: sync::Arc<H>,
    stop: process::StopSignal,
    idle_timeout: I,
) where
    H: NewHandler + 'static,
    I: Fn() -> time::Duration,
{
    let activity = registered.activity.clone();
    let peer = activity.peer;
    let messages = registered.messages();
    let service_activity = activity.clone();
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let guard = ActivityGuard::new(&service_activity);
        let request = request.map(|body| RequestBody::new(body, &service_activity));
        let mut state = State::from_request(request, peer);
        state.put(endpoint::MessageRoom(messages.clone()));
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
        .serve_connection(TokioIo::new(Socket::new(socket, activity.clone())), service);
    let mut connection = std::pin::pin!(connection);
    // The connection goes first, so that a request that has just arrived keeps it open.
    tokio::select! {
        biased;
        result = connection.as_mut() => return log_end(peer, result),
        () = stop.wait() => {}
        () = wait_until_idle(&activity, &idle_timeout) => {
            log::debug!("server: event=connection_idle peer={peer}");
            return;
        }
        () = activity.until_closed() => return,
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        result = connection => log_end(peer, result),
        () = activity.until_closed() => {}
    }
}

/// Writes a line if a connection has ended in any other way than by being closed.
fn log_end(peer: net::SocketAddr, result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::info!("server: event=connection_failed peer={peer} error={error:?}");
    }
}
