//! Addresses on the loopback network for the servers of a test.

use std::{
    net, process as system,
    sync::{self, atomic},
};

static ADDRESS_COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
static SUBNET: sync::OnceLock<Option<Subnet>> = sync::OnceLock::new();

const PORT: u16 = 7_000;
const HOSTS_PER_SUBNET: u32 = 254;
const SUBNET_COUNT: u32 = 128;

/// A part of the loopback network that no other process takes while this is kept.
#[derive(Debug)]
pub struct Subnet {
    number: u32,
    _claim: net::TcpListener,
}

impl Subnet {
    /// Claims the first free subnet from number `first` on; returns `None` if none is free.
    #[must_use]
    pub fn claim(first: u32) -> Option<Self> {
        (0..SUBNET_COUNT).find_map(|offset| {
            let number = (first % SUBNET_COUNT + offset) % SUBNET_COUNT;
            let claim = net::TcpListener::bind(address(number, u8::MAX, u8::MAX)).ok()?;
            Some(Self {
                number,
                _claim: claim,
            })
        })
    }

    /// Returns the number of the subnet.
    #[must_use]
    pub const fn number(&self) -> u32 {
        self.number
    }
}

fn address(subnet: u32, third: u8, fourth: u8) -> net::SocketAddr {
    let second = octet(SUBNET_COUNT + subnet);
    let ip = net::Ipv4Addr::new(127, second, third, fourth);
    net::SocketAddr::new(net::IpAddr::V4(ip), PORT)
}

fn octet(number: u32) -> u8 {
    u8::try_from(number % 256).unwrap_or(0)
}

/// Returns a loopback address that is unique within this process, and among all processes as long
/// as no more than 128 of them take such addresses.
///
/// Its port is below the system's ephemeral range, so no outgoing connection can occupy it.
#[must_use]
pub fn unique_address() -> net::SocketAddr {
    let own = SUBNET.get_or_init(|| Subnet::claim(system::id()));
    let subnet = own
        .as_ref()
        .map_or(system::id() % SUBNET_COUNT, Subnet::number);
    let count = ADDRESS_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let third = octet(count / HOSTS_PER_SUBNET);
    address(subnet, third, octet(1 + count % HOSTS_PER_SUBNET))
}
