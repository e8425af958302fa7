//! Service-level burn: how fast each service uses up its error budget.
//!
//! Entries count requests per minute in [`Series`]; [`queries::burn`] merges the series of all
//! entries and computes, for several windows, which multiple of the allowed rate of bad requests
//! was seen. What is missing is said: a window without traffic, one longer than the entries have
//! lived, an entry that did not answer.

pub mod commands;
pub mod page;
pub mod queries;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id;

/// How many minutes are kept.
pub const MINUTES_MAX: usize = 360;

/// What a service promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Share of requests that are answered, in millionths.
    pub availability_ppm: u32,
    /// Time to the first byte within which an answer counts as fast.
    pub latency_ms: u64,
    /// Share of answers that are fast, in millionths.
    pub latency_ppm: u32,
}

/// What was counted in one minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinuteCount {
    /// Requests that were answered whole.
    pub answered_count: u64,
    /// Of these, those within the latency objective.
    pub fast_count: u64,
    /// Requests that were refused or failed.
    pub failed_count: u64,
}

/// The latest minutes of one service at one entry, the present one last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// The counts.
    pub minutes: Vec<MinuteCount>,
    /// The histogram of times to the first byte, as (upper bound in ms, count) pairs.
    pub latencies: Vec<(u64, u64)>,
}

/// What one entry has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryCounts {
    /// How many whole minutes it has lived, at most [`MINUTES_MAX`].
    pub lived_minutes: u64,
    /// Per service.
    pub services: IndexMap<id::ServiceName, Series>,
}

/// One service's burn in one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The length of the window.
    pub window_minutes: u64,
    /// Requests in it.
    pub request_count: u64,
    /// Multiple of the allowed rate of failures; `None` without traffic.
    pub availability_burn: Option<f64>,
    /// Multiple of the allowed rate of slow answers; `None` without answers.
    pub latency_burn: Option<f64>,
    /// Whether every entry has lived as long as the window.
    pub covered: bool,
}

/// One service's burn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: id::ServiceName,
    /// What it promises.
    pub objective: Objective,
    /// Per window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Share of the longest window's failure budget that is left, in hundredths; may be negative.
    pub budget_left_percent: Option<f64>,
    /// Half of the answers began within this time.
    pub p50_ms: Option<u64>,
    /// 99 of 100 answers began within this time.
    pub p99_ms: Option<u64>,
}

/// The burn of all services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The services.
    pub services: Vec<ServiceBurn>,
    /// Entries whose counts are in it.
    pub entries_heard: Vec<String>,
    /// Entries that did not answer.
    pub entries_missing: Vec<String>,
}
