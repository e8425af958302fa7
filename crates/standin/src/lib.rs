//! Small stand-ins of what the platform gives, for tests and the demonstration.
//!
//! Each speaks the protocol that `docs/PLATFORM-PROTOCOLS.md` gives, keeps counts of what really
//! happened, and has switches for its faults. The counts are what tests and the demonstration
//! judge by, never what the system says of itself.
//!
//! * [`engine`]: an engine that batches in steps, and a plain service.
//! * [`store`]: the rate-limited weight store and origin.
//! * [`objects`]: the object API and the list of VMs.
//! * [`tcp_proxy`]: a TCP proxy that counts bytes and can stall connections.
//! * [`processes`]: the separate binaries as processes.
//! * [`fleet`]: a whole fleet in one process, on loopback.
//! * [`caller`]: callers that check their answers.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod objects;
pub mod processes;
pub mod store;
pub mod tcp_proxy;

use std::{net, process as system, sync, sync::atomic};

use gotham::handler::NewHandler;
use pimentohook_runtime::{process, server};

/// A stand-in that listens.
#[derive(Debug)]
pub struct Running {
    /// Where.
    pub address: net::SocketAddr,
    /// Ends it.
    pub stop: process::StopSignal,
}

/// Locks a mutex; what a panicking holder left is still a whole value here.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Serves a router on an address; port 0 takes a free one.
///
/// # Errors
///
/// [`server::ServerError`] where the address can't be listened on.
pub async fn start<H>(address: net::SocketAddr, router: H) -> Result<Running, server::ServerError>
where
    H: NewHandler + 'static,
{
    let listener = server::bind(address).await?;
    let address = listener.local_addr().unwrap_or(address);
    let stop = process::StopSignal::new();
    tokio::spawn(server::serve(listener, router, stop.clone()));
    Ok(Running { address, stop })
}

static ADDRESS_COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

const PORT: u16 = 7_000;
const HOSTS_PER_NET: u32 = 254;
const NETS: u32 = 128;

/// Returns an address on loopback that nobody else in this process gets.
///
/// Its port is below those that the system hands out, so no connection takes it meanwhile.
#[must_use]
pub fn unique_loopback_address() -> net::SocketAddr {
    let count = ADDRESS_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let octet = |number: u32| u8::try_from(number % 256).unwrap_or(0);
    let ip = net::Ipv4Addr::new(
        127,
        octet(NETS / 2 + system::id() % NETS),
        octet(count / HOSTS_PER_NET),
        octet(1 + count % HOSTS_PER_NET),
    );
    net::SocketAddr::new(net::IpAddr::V4(ip), PORT)
}

/// Returns loopback with a port that the system chooses.
#[must_use]
pub const fn ephemeral_address() -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0)
}
