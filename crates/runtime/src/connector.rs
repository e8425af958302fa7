//! Connects a client's connection pool, and lets requests cut off the connections that they are on.
//!
//! The task of a connection reads as much as its peer sends for as long as it runs, so dropping a
//! request ends its connection only once that task runs again. [`cut_off_after`] and
//! [`RequestConnection::cut_off`] take effect with the next read instead, and wake the task for it.

use std::{
    io, net, pin,
    sync::{self, atomic},
    task, time,
};

use futures_util::{future, task::AtomicWaker};
use hyper::{Request, Uri, http, rt};
use hyper_util::{
    client::legacy::connect::{self, Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use tower_service::Service;

use crate::{
    carriers::{Carrier, Carriers},
    short_reads::ShortReads,
};

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// The time for which sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_MAX: time::Duration = time::Duration::from_secs(3);

/// Establishes connections.
#[derive(Clone, Debug)]
pub struct Connector {
    http: HttpConnector,
    read_max_bytes: u64,
    carriers: sync::Arc<Carriers>,
}

impl Connector {
    /// Creates a connector whose connections use `local_address` as their source address, if given,
    /// and read at most so many bytes at once.
    #[must_use]
    pub(crate) fn new(
        local_address: Option<net::IpAddr>,
        read_max_bytes: u64,
        carriers: sync::Arc<Carriers>,
    ) -> Self {
        let mut http = HttpConnector::new();
        http.set_local_address(local_address);
        http.set_nodelay(true);
        http.set_connect_timeout(Some(CONNECT_TIMEOUT));
        http.set_keepalive(Some(KEEPALIVE_INTERVAL));
        http.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        http.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        http.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX));
        Self {
            http,
            read_max_bytes,
            carriers,
        }
    }
}

impl Service<Uri> for Connector {
    type Response = CutOffStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = future::BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Result<(), Self::Error>> {
        self.http.poll_ready(context)
    }

    fn call(&mut self, destination: Uri) -> Self::Future {
        let connecting = self.http.call(destination);
        let read_max_bytes = self.read_max_bytes;
        let carriers = self.carriers.clone();
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let carrier = stream.peer_addr().ok();
            let carrier = carrier.map(|address| carriers.register(address));
            let io = TokioIo::new(ShortReads::new(stream, read_max_bytes));
            Ok(CutOffStream {
                io,
                is_cut_off: CutOff::default(),
                carrier,
            })
        })
    }
}

/// Whether a connection is cut off.
#[derive(Clone, Debug, Default)]
struct CutOff {
    state: sync::Arc<CutOffState>,
}

#[derive(Debug, Default)]
struct CutOffState {
    is_set: atomic::AtomicBool,
    /// Wakes the task of the connection.
    reader: AtomicWaker,
}

impl CutOff {
    fn set(&self) {
        self.state.is_set.store(true, atomic::Ordering::Release);
        self.state.reader.wake();
    }

    fn is_set(&self) -> bool {
        self.state.is_set.load(atomic::Ordering::Acquire)
    }
}

/// A connection that can be cut off, after which reads fail.
#[derive(Debug)]
pub struct CutOffStream {
    io: TokioIo<ShortReads>,
    is_cut_off: CutOff,
    /// `None` if the connection was gone before it could be recorded.
    carrier: Option<Carrier>,
}

impl Connection for CutOffStream {
    fn connected(&self) -> Connected {
        let connected = self.io.inner().stream().connected();
        connected
            .extra(self.is_cut_off.clone())
            .extra(self.carrier.clone())
    }
}

impl rt::Read for CutOffStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.is_cut_off.state.reader.register(context.waker());
        if self.is_cut_off.is_set() {
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        pin::Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl rt::Write for CutOffStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }
}

/// The connection of a request, once it has one.
#[derive(Clone)]
pub struct RequestConnection(sync::Arc<connect::CaptureConnection>);

impl RequestConnection {
    /// Cuts off the connection, and keeps it from other requests at once: its task may not have run
    /// yet when the next one is sent.
    pub fn cut_off(&self) {
        self.retire();
        match self.extras().get::<CutOff>() {
            Some(cut_off) => cut_off.set(),
            None => log::warn!("client: event=connection_not_cut_off reason=unknown_connection"),
        }
    }

    /// Keeps the connection from further requests; what is under way on it goes on.
    pub(crate) fn retire(&self) {
        if let Some(connected) = self.0.connection_metadata().as_ref() {
            connected.poison();
        }
    }

    /// Returns what the connection has carried; `None` if it is not known.
    pub(crate) fn carrier(&self) -> Option<Carrier> {
        let extras = self.extras();
        let carrier: &Option<Carrier> = extras.get()?;
        carrier.clone()
    }

    fn extras(&self) -> http::Extensions {
        let mut extensions = http::Extensions::new();
        if let Some(connected) = self.0.connection_metadata().as_ref() {
            connected.get_extras(&mut extensions);
        }
        extensions
    }
}

/// Cuts off the connection of a request once it has got more than `informational_max` informational
/// responses, with a status below 200; returns the connection.
pub fn cut_off_after<B>(request: &mut Request<B>, informational_max: u32) -> RequestConnection {
    let connection = RequestConnection(sync::Arc::new(connect::capture_connection(request)));
    let count = atomic::AtomicU32::new(0);
    let captured = connection.clone();
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, atomic::Ordering::Relaxed) >= informational_max {
            captured.cut_off();
        }
    });
    connection
}
