//! A byte relay between two ends that counts, and can fall silent as a forgetful middlebox does.

use std::{io, net, sync, sync::atomic};

use indexmap::IndexMap;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

use crate::lock;

const BUFFER_BYTES: usize = 64 << 10;

/// The relay.
#[derive(Debug)]
pub struct TcpProxy {
    /// Where it listens.
    pub address: net::SocketAddr,
    shared: sync::Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    epoch: atomic::AtomicU64,
    forwarded_bytes: atomic::AtomicU64,
    bytes_by_client: sync::Mutex<IndexMap<net::IpAddr, u64>>,
}

impl TcpProxy {
    /// Starts a relay towards `target`.
    ///
    /// # Errors
    ///
    /// [`io::Error`] where no port can be listened on.
    pub async fn start(target: net::SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(crate::ephemeral_address()).await?;
        let address = listener.local_addr()?;
        let shared = sync::Arc::new(Shared::default());
        tokio::spawn(accept(listener, target, shared.clone()));
        Ok(Self { address, shared })
    }

    /// Silences every connection that is open now, for good; new ones work.
    pub fn stall_open_connections(&self) {
        self.shared.epoch.fetch_add(1, atomic::Ordering::SeqCst);
    }

    /// Returns how many bytes passed, both ways together.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.forwarded_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many bytes the target sent, by the addresses of those who connected.
    #[must_use]
    pub fn bytes_by_client(&self) -> IndexMap<net::IpAddr, u64> {
        lock(&self.shared.bytes_by_client).clone()
    }
}

async fn accept(listener: TcpListener, target: net::SocketAddr, shared: sync::Arc<Shared>) {
    while let Ok((near, peer)) = listener.accept().await {
        let opened_in = shared.epoch.load(atomic::Ordering::SeqCst);
        let shared = shared.clone();
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let there = copy(near_read, far_write, opened_in, &shared, None);
            let back = copy(far_read, near_write, opened_in, &shared, Some(peer.ip()));
            tokio::join!(there, back);
        });
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    opened_in: u64,
    shared: &Shared,
    counted_for: Option<net::IpAddr>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if shared.epoch.load(atomic::Ordering::SeqCst) != opened_in {
            // Neither end learns anything: the connection stays open and carries nothing.
            std::future::pending::<()>().await;
        }
        let Ok(length @ 1..) = read else {
            return;
        };
        shared
            .forwarded_bytes
            .fetch_add(length as u64, atomic::Ordering::Relaxed);
        if let Some(peer) = counted_for {
            *lock(&shared.bytes_by_client).entry(peer).or_insert(0) += length as u64;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
