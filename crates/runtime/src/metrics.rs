//! Metrics, which are sent in the statsd format or served over HTTP.

use std::{fmt::Write as _, future, io, net, sync};

use crate::server;
use cadence::{
    BufferedUdpMetricSink, Counted as _, Gauged as _, NopMetricSink, QueuingMetricSink,
    StatsdClient,
};
use gotham::helpers::http::Body;
use hdrhistogram::Histogram;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use snafu::{ResultExt, Snafu};

/// An error from starting to send metrics.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The socket can't be opened.
    #[snafu(display("metrics can't be sent: {source}"))]
    Socket {
        /// The underlying error.
        source: io::Error,
    },
    /// The address can't be used.
    #[snafu(display("metrics can't be sent to {address}: {source}"))]
    Sink {
        /// The address to which metrics are sent.
        address: net::SocketAddr,
        /// The underlying error.
        source: cadence::MetricError,
    },
}

/// Creates a client that sends metrics to `address`, or discards them if there is no address.
///
/// # Errors
///
/// Returns [`MetricsError`] if no socket can be opened.
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

/// Handles an HTTP request for all values of a registry; the path is ignored.
#[expect(
    clippy::needless_pass_by_value,
    reason = "endpoints pass their application by value"
)]
pub fn serve(registry: sync::Arc<Registry>, _call: server::Call) -> future::Ready<Response<Body>> {
    future::ready(server::respond_text(StatusCode::OK, &registry.to_text()))
}

/// A registry of counters, gauges and latency histograms in memory; clones share their values.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    values: sync::Arc<sync::Mutex<IndexMap<String, Value>>>,
}

#[derive(Debug)]
enum Value {
    Count(u64),
    Gauge(u64),
    Latency(Box<Histogram<u64>>),
}

const LATENCY_MAX_MS: u64 = 600_000;
const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

impl Registry {
    /// Returns a client whose counters and timers are recorded in this registry.
    #[must_use]
    pub fn client(&self, prefix: &str) -> StatsdClient {
        StatsdClient::from_sink(prefix, self.clone())
    }

    /// Increments a counter through a client of a registry.
    pub fn count(client: &StatsdClient, event: &str) {
        Self::add(client, event, 1);
    }

    /// Adds to a counter through a client of a registry.
    pub fn add(client: &StatsdClient, name: &str, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        if let Err(error) = client.count(name, count) {
            log::debug!("metrics: event=not_kept name={name} error={error:?}");
        }
    }

    /// Sets a gauge through a client of a registry.
    pub fn set(client: &StatsdClient, name: &str, value: u64) {
        if let Err(error) = client.gauge(name, value) {
            log::debug!("metrics: event=not_kept name={name} error={error:?}");
        }
    }

    /// Returns all values as text, one per line.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.lock().iter() {
            match value {
                Value::Count(value) | Value::Gauge(value) => {
                    let _ = writeln!(text, "{name} {value}");
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

    /// Records a line in the statsd format such as `name:1|c`, `name:3|g` or `name:12|ms`.
    ///
    /// Returns `false` if the line is no counter, gauge or timer, or if its value is not a
    /// non-negative integer.
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
            "g" => {
                values.insert(name, Value::Gauge(number));
                true
            }
            "ms" => {
                let Ok(histogram) =
                    Histogram::new_with_max(LATENCY_MAX_MS, LATENCY_SIGNIFICANT_DIGITS)
                else {
                    return false;
                };
                let value = values
                    .entry(name)
                    .or_insert(Value::Latency(Box::new(histogram)));
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
        Err(io::Error::other(format!(
            "metric {metric:?} can't be recorded"
        )))
    }
}
