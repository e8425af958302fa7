//! Tells whether a process accepts connections, without sending it anything.

use std::{io, net, time};

use tokio::net::{TcpSocket, TcpStream};

/// Within what time and for how long a connection must be accepted.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest time until it is established.
    pub established_max: time::Duration,
    /// For how long it must then last.
    pub kept_min: time::Duration,
}

/// Returns whether a connection from `local_address` to `address` is accepted and kept.
///
/// A process that ends may still have connections accepted for a moment, which are then reset.
pub async fn is_accepted(
    local_address: net::IpAddr,
    address: net::SocketAddr,
    bounds: &Bounds,
) -> bool {
    let connecting = connect(local_address, address);
    let connected = tokio::time::timeout(bounds.established_max, connecting).await;
    let Ok(Ok(connection)) = connected else {
        return false;
    };
    let mut byte = [0];
    let read = tokio::time::timeout(bounds.kept_min, connection.peek(&mut byte)).await;
    // A process that sends something has not ended either.
    read.map_or(true, |read| read.is_ok_and(|length| length > 0))
}

async fn connect(local_address: net::IpAddr, address: net::SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(net::SocketAddr::new(local_address, 0))?;
    socket.connect(address).await
}
