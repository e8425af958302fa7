//! Metrics in the statsd format.

use std::{io, net};

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use snafu::{ResultExt, Snafu};

/// Metrics that can't be sent.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// No socket to send from.
    #[snafu(display("metrics can't be sent: {source}"))]
    Socket {
        /// The cause.
        source: io::Error,
    },
    /// The receiver can't be used.
    #[snafu(display("metrics can't be sent to {address}: {source}"))]
    Sink {
        /// The receiver.
        address: net::SocketAddr,
        /// The cause.
        source: cadence::MetricError,
    },
}

/// Starts a client that sends to `address`, or drops everything where there is none.
///
/// # Errors
///
/// [`MetricsError`] where no socket can be opened.
pub fn start(prefix: &str, address: Option<net::SocketAddr>) -> Result<StatsdClient, MetricsError> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(prefix, NopMetricSink));
    };
    let local = net::SocketAddr::new(
        if address.is_ipv4() {
            net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED)
        } else {
            net::IpAddr::V6(net::Ipv6Addr::UNSPECIFIED)
        },
        0,
    );
    let socket = net::UdpSocket::bind(local).context(SocketSnafu)?;
    socket.set_nonblocking(true).context(SocketSnafu)?;
    let sink = BufferedUdpMetricSink::from(address, socket).context(SinkSnafu { address })?;
    Ok(StatsdClient::from_sink(
        prefix,
        QueuingMetricSink::from(sink),
    ))
}
