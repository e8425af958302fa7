//! Test doubles of the platform, engines and services, for tests and the demonstration.
//!
//! Each implements the protocol in `docs/PLATFORM-PROTOCOLS.md`, counts what it actually did, and
//! supports fault injection. Tests and the demonstration verify results against these counts, not
//! against what the system under test reports about itself.
//!
//! * [`engine`]: an inference engine that batches in steps, and a plain service.
//! * [`store`]: the rate-limited weight store, which is the origin of weights.
//! * [`objects`]: the object API and the list of VMs.
//! * [`tcp_proxy`]: a TCP proxy that counts bytes and can stall connections.
//! * [`processes`]: runs the binaries as child processes.
//! * [`fleet`]: a complete fleet in one process, on loopback.
//! * [`loopback`]: addresses for the servers of a test.
//! * [`caller`]: a client that sends requests and resumes interrupted responses.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod loopback;
pub mod objects;
pub mod processes;
pub mod store;
pub mod tcp_proxy;

use std::{net, sync};

use gotham::handler::NewHandler;
pub use loopback::unique_address as unique_loopback_address;
use pimentohook_runtime::{process, server};

/// A running test double.
#[derive(Debug)]
pub struct Running {
    /// The address it listens on.
    pub address: net::SocketAddr,
    /// Stops the server when set.
    pub stop: process::StopSignal,
}

/// Locks a mutex and ignores poisoning: no update in this crate leaves a value inconsistent.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Serves a router on an address; port 0 selects a free port.
///
/// # Errors
///
/// Returns [`server::ServerError`] if the address can't be bound.
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

/// Returns the loopback address with port 0, for which the system assigns an ephemeral port.
#[must_use]
pub const fn ephemeral_address() -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0)
}
