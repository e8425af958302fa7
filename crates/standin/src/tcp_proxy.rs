//! A TCP proxy that counts the bytes it forwards and can stall open connections.
//!
//! A stalled connection behaves as one whose state a middlebox has dropped: it stays open, but
//! carries no more data.

use std::{io, net, sync, sync::atomic};

use indexmap::IndexMap;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

use crate::lock;

const BUFFER_BYTES: usize = 64 << 10;

/// A TCP proxy that listens on loopback.
#[derive(Debug)]
pub struct TcpProxy {
    /// The address it listens on.
    pub address: net::SocketAddr,
    shared: sync::Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Incremented to stall every connection that was accepted before.
    epoch: atomic::AtomicU64,
    forwarded_bytes: atomic::AtomicU64,
    bytes_by_client: sync::Mutex<IndexMap<net::IpAddr, u64>>,
}

impl TcpProxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    ///
    /// Returns [`io::Error`] if no port can be bound.
    pub async fn start(target: net::SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(crate::ephemeral_address()).await?;
        let address = listener.local_addr()?;
        let shared = sync::Arc::new(Shared::default());
        tokio::spawn(accept(listener, target, shared.clone()));
        Ok(Self { address, shared })
    }

    /// Stalls every open connection permanently; new connections work.
    pub fn stall_open_connections(&self) {
        self.shared.epoch.fetch_add(1, atomic::Ordering::SeqCst);
    }

    /// Returns the number of bytes forwarded, the sum of both directions.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.forwarded_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of bytes that the target sent to each client, by client IP address.
    #[must_use]
    pub fn bytes_by_client(&self) -> IndexMap<net::IpAddr, u64> {
        lock(&self.shared.bytes_by_client).clone()
    }
}

async fn accept(listener: TcpListener, target: net::SocketAddr, shared: sync::Arc<Shared>) {
    while let Ok((client, peer)) = listener.accept().await {
        let accepted_epoch = shared.epoch.load(atomic::Ordering::SeqCst);
        let shared = shared.clone();
        tokio::spawn(async move {
            let Ok(upstream) = TcpStream::connect(target).await else {
                return;
            };
            let _ = client.set_nodelay(true);
            let _ = upstream.set_nodelay(true);
            let (client_read, client_write) = client.into_split();
            let (upstream_read, upstream_write) = upstream.into_split();
            let requests = copy(client_read, upstream_write, accepted_epoch, &shared, None);
            let responses = copy(
                upstream_read,
                client_write,
                accepted_epoch,
                &shared,
                Some(peer.ip()),
            );
            tokio::join!(requests, responses);
        });
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    accepted_epoch: u64,
    shared: &Shared,
    counted_client: Option<net::IpAddr>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if shared.epoch.load(atomic::Ordering::SeqCst) != accepted_epoch {
            // The sockets stay open, so neither end sees a close or a reset.
            std::future::pending::<()>().await;
        }
        let Ok(length @ 1..) = read else {
            return;
        };
        shared
            .forwarded_bytes
            .fetch_add(length as u64, atomic::Ordering::Relaxed);
        if let Some(client) = counted_client {
            *lock(&shared.bytes_by_client).entry(client).or_insert(0) += length as u64;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
