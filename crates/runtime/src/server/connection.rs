//! Serves one connection, and closes it when it has been idle, or has been sending a head, for too
//! long.

use std::{io, net, panic, pin, sync, task, time};

use bytes::Bytes;
use futures_util::FutureExt as _;
use gotham::{handler::NewHandler, helpers::http::Body, state::State};
use hyper::{
    Request,
    body::{self, Incoming},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use pimentohook_core::head_limits;
use tokio::{net::TcpStream, time as tokio_time};

use super::{
    activity::{Activity, ActivityGuard, OpenBodyGuard},
    connections, endpoint, refusal,
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

/// The limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// How long a connection may be idle.
    pub idle_timeout: time::Duration,
    /// The limits of a head that begins. Those without a timeout may take as long as a connection may
    /// be idle, and are not answered.
    pub head: head_limits::HeadLimits,
}

impl ConnectionLimits {
    /// Returns limits for the time in which a connection is idle, and none for heads.
    #[must_use]
    pub fn idle(idle_timeout: time::Duration) -> Self {
        Self {
            idle_timeout,
            head: head_limits::HeadLimits::default(),
        }
    }
}

/// Waits until a connection has been idle for as long as `limits` then says, has taken nothing of a
/// response for too long, or is to be refused a head.
async fn wait_until_due<L>(activity: &Activity, limits: &L) -> Option<head_limits::Refusal>
where
    L: Fn() -> ConnectionLimits,
{
    loop {
        let now = tokio_time::Instant::now();
        let idle_since = activity.idle_since();
        if idle_since.is_some() && activity.head.is_too_large() {
            return Some(head_limits::Refusal::TooLarge);
        }
        let idle_timeout = limits().idle_timeout;
        let blocked_until = activity.blocked_since().map(|since| since + UNREAD_TIMEOUT);
        let due = match (idle_since, activity.head_due()) {
            (Some(_), Some(due)) if due <= now => return Some(head_limits::Refusal::TimedOut),
            (Some(_), Some(due)) => due,
            (Some(since), None) if since + idle_timeout <= now => return None,
            (Some(since), None) => since + idle_timeout,
            (None, _) if blocked_until.is_some_and(|until| until <= now) => return None,
            (None, _) => now + check_interval(activity, idle_timeout),
        };
        tokio::select! {
            () = activity.head.until_changed() => {}
            () = tokio_time::sleep_until(due) => {}
        }
    }
}

/// Returns after which time a connection with a request under way is looked at again.
fn check_interval(activity: &Activity, idle_timeout: time::Duration) -> time::Duration {
    let is_waited_for = activity.head.is_too_large() || activity.head.limited().is_some();
    let longest = if is_waited_for {
        CHECK_INTERVAL_MIN
    } else {
        UNREAD_TIMEOUT
    };
    idle_timeout.clamp(CHECK_INTERVAL_MIN, longest)
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

/// Serves a connection until it is closed, is idle, is refused a head, or `stop` is set and its request
/// has ended.
pub(super) async fn serve<H, L>(
    socket: TcpStream,
    registered: connections::Registered,
    handler: sync::Arc<H>,
    stop: process::StopSignal,
    limits: L,
) where
    H: NewHandler + 'static,
    L: Fn() -> ConnectionLimits + Clone + Send + Sync + 'static,
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
    let of_heads = limits.clone();
    let head_limits = Box::new(move || of_heads().head);
    let socket = Socket::new(socket, activity.clone(), head_limits);
    let mut connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_headers(HEADERS_MAX)
        .max_buf_size(BUFFER_MAX_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    // The connection goes first, so that a request that has just arrived keeps it open.
    tokio::select! {
        biased;
        result = &mut connection => return log_end(peer, result),
        () = stop.wait() => {}
        refusal = wait_until_due(&activity, &limits) => {
            let socket = connection.into_parts().io.into_inner();
            return close(&registered, socket, refusal).await;
        }
        () = activity.until_closed() => return,
    }
    pin::Pin::new(&mut connection).graceful_shutdown();
    tokio::select! {
        biased;
        result = &mut connection => log_end(peer, result),
        refusal = wait_until_due(&activity, &limits) => {
            let socket = connection.into_parts().io.into_inner();
            close(&registered, socket, refusal).await;
        }
        () = activity.until_closed() => {}
    }
}

/// Closes a connection on which no request is under way, after the answer to a head that is refused.
async fn close(
    registered: &connections::Registered,
    socket: Socket,
    refusal: Option<head_limits::Refusal>,
) {
    let activity = &registered.activity;
    let Some(refusal) = refusal else {
        log::debug!("server: event=connection_idle peer={}", activity.peer);
        return;
    };
    registered.record_refusal(refusal);
    activity.record_cut();
    tokio::select! {
        () = refusal::refuse(socket, refusal) => {}
        () = activity.until_closed() => {}
    }
}

/// Writes a line if a connection has ended in any other way than by being closed.
fn log_end(peer: net::SocketAddr, result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::info!("server: event=connection_failed peer={peer} error={error:?}");
    }
}
