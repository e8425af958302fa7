//! Metrics: sent in the statsd format, or kept until they are read.

use std::{fmt::Write as _, future, io, net, sync};

use crate::server;
use cadence::{
    BufferedUdpMetricSink, Counted as _, NopMetricSink, QueuingMetricSink, StatsdClient,
};
use gotham::helpers::http::Body;
use hdrhistogram::Histogram;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
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

/// Handles a request for all kept values, whatever its path is.
#[expect(
    clippy::needless_pass_by_value,
    reason = "endpoints hand their application over"
)]
pub fn serve(kept: sync::Arc<Registry>, _call: server::Call) -> future::Ready<Response<Body>> {
    future::ready(server::respond_text(StatusCode::OK, &kept.to_text()))
}

/// Counters and latency histograms that are kept here until somebody reads them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    values: sync::Arc<sync::Mutex<IndexMap<String, Value>>>,
}

#[derive(Debug)]
enum Value {
    Count(u64),
    Latency(Box<Histogram<u64>>),
}

const LATENCY_MAX_MS: u64 = 600_000;
const LATENCY_DIGITS: u8 = 2;
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

impl Registry {
    /// Returns a client that records here; counters and times are kept.
    #[must_use]
    pub fn client(&self, prefix: &str) -> StatsdClient {
        StatsdClient::from_sink(prefix, self.clone())
    }

    /// Counts an event with a client of these values.
    pub fn count(client: &StatsdClient, event: &str) {
        Self::add(client, event, 1);
    }

    /// Adds to a counter with a client of these values.
    pub fn add(client: &StatsdClient, name: &str, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        if let Err(error) = client.count(name, count) {
            log::debug!("metrics: event=not_kept name={name} error={error:?}");
        }
    }

    /// Returns all values as text, one on a line.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.lock().iter() {
            match value {
                Value::Count(count) => {
                    let _ = writeln!(text, "{name} {count}");
                }
                Value::Latency(histogram) => {
                    let _ = writeln!(text, "{name}_count {}", histogram.len());
                    for quantile in QUANTILES {
                        let value_ms = histogram.value_at_quantile(quantile);
                        let _ = writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value_ms}");
                    }
                }
            }
        }
        text
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<String, Value>> {
        self.values
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes in one line such as `name:1|c` or `name:12|ms`; false where it is neither.
    fn record(&self, line: &str) -> bool {
        let Some((name, rest)) = line.split_once(':') else {
            return false;
        };
        let Some((number, kind)) = rest.split_once('|') else {
            return false;
        };
        let Ok(number) = number.parse::<u64>() else {
            return false;
        };
        let mut values = self.lock();
        let name = name.replace('.', "_");
        match kind {
            "c" => {
                let value = values.entry(name).or_insert(Value::Count(0));
                if let Value::Count(count) = value {
                    *count += number;
                }
                true
            }
            "ms" => {
                let Ok(empty) = Histogram::new_with_max(LATENCY_MAX_MS, LATENCY_DIGITS) else {
                    return false;
                };
                let value = values
                    .entry(name)
                    .or_insert(Value::Latency(Box::new(empty)));
                if let Value::Latency(histogram) = value {
                    histogram.saturating_record(number);
                }
                true
            }
            _ => false,
        }
    }
}

impl cadence::MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if self.record(metric) {
            return Ok(metric.len());
        }
        Err(io::Error::other(format!("metric {metric:?} is not kept")))
    }
}
