//! Error budget burn rates of services.
//!
//! Entries count requests per minute in [`Series`]; [`queries::burn`] merges the series of all
//! entries and computes the burn rate for several windows: the observed rate of bad requests as a
//! multiple of the allowed one. Incomplete data is reported as such: a window without traffic, a
//! window that is longer than the uptime of an entry, and an entry that did not respond.

pub mod commands;
pub mod page;
pub mod queries;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id;

/// The number of recorded minutes.
pub const MINUTES_MAX: usize = 360;

/// The service-level objective of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// The target share of successful requests, in parts per million.
    pub availability_ppm: u32,
    /// The time to the first byte up to which a response counts as fast, in milliseconds.
    pub latency_ms: u64,
    /// The target share of fast responses, in parts per million.
    pub latency_ppm: u32,
}

/// The request counts of one minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinuteCount {
    /// Requests with a complete response.
    pub answered_count: u64,
    /// Requests with a complete response within the latency objective.
    pub fast_count: u64,
    /// Requests that were refused or failed.
    pub failed_count: u64,
}

/// The latest minutes of one service at one entry, ending with the current minute.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// The counts per minute.
    pub minutes: Vec<MinuteCount>,
    /// The histogram of times to the first byte, as pairs of an upper bound in milliseconds and a
    /// count.
    pub latencies: Vec<(u64, u64)>,
}

/// The counts of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryCounts {
    /// The uptime of the entry in full minutes, at most [`MINUTES_MAX`].
    pub lived_minutes: u64,
    /// The series per service.
    pub services: IndexMap<id::ServiceName, Series>,
}

/// The burn rates of one service in one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The length of the window in minutes.
    pub window_minutes: u64,
    /// The number of requests in the window.
    pub request_count: u64,
    /// The rate of failures as a multiple of the allowed rate; `None` without traffic.
    pub availability_burn: Option<f64>,
    /// The rate of slow responses as a multiple of the allowed rate; `None` without responses.
    pub latency_burn: Option<f64>,
    /// Whether the uptime of every entry covers the window.
    pub covered: bool,
}

/// The burn rates of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: id::ServiceName,
    /// The objective of the service.
    pub objective: Objective,
    /// The burn rates per window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// The remaining share of the failure budget in the longest window, in percent; may be
    /// negative.
    pub budget_left_percent: Option<f64>,
    /// The median time to the first byte in milliseconds.
    pub p50_ms: Option<u64>,
    /// The 99th percentile of the time to the first byte in milliseconds.
    pub p99_ms: Option<u64>,
}

/// The burn rates of all services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The burn rates per service.
    pub services: Vec<ServiceBurn>,
    /// The entries whose counts are included.
    pub entries_heard: Vec<String>,
    /// The entries that did not respond.
    pub entries_missing: Vec<String>,
}
