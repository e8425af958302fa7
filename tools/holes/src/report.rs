//! The report that the users' bench writes of a played day, as far as it concerns holes.
//!
//! This is the one place that decodes the bench's words: `windows` are spans of two seconds by their
//! first second, `n` is what was asked in one, `in_aim` what was served in time, `not_owed` what earns
//! nothing however it ends, and `events` are faults and planned work. Other fields are ignored.

use std::{num, time};

use serde::Deserialize;
use snafu::{ResultExt as _, Snafu};

/// The length of a span of a report.
pub const SPAN_LENGTH: time::Duration = time::Duration::from_secs(2);

/// A played day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The spans in which requests were asked, in order.
    pub spans: Vec<Span>,
    /// Faults and planned work, in order of their start.
    pub events: Vec<Event>,
}

/// What callers got of the requests that they first sent in one span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// The start, since the start of traffic.
    pub start: time::Duration,
    /// The requests that were sent.
    pub asked: u32,
    /// Those that were served within their goal.
    pub in_time: u32,
    /// Those that were served later.
    pub late: u32,
    /// Those that were refused.
    pub refused: u32,
    /// Those that failed otherwise.
    pub failed: u32,
    /// Those that nobody had to serve.
    pub not_owed: u32,
}

impl Span {
    /// Returns the end, since the start of traffic.
    #[must_use]
    pub fn end(&self) -> time::Duration {
        self.start.saturating_add(SPAN_LENGTH)
    }

    /// Returns the share served in time of the requests that had to be served, or `None` if there
    /// were none.
    #[must_use]
    pub fn served(&self) -> Option<f64> {
        let owed = self.asked.saturating_sub(self.not_owed);
        (owed > 0).then(|| f64::from(self.in_time) / f64::from(owed))
    }
}

/// A fault or a piece of planned work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The kind, with its variant.
    pub kind: String,
    /// What it concerns, such as a number of upstreams; empty if nothing is said.
    pub subject: String,
    /// The start, since the start of traffic.
    pub start: time::Duration,
    /// The end; `None` if it lasts to the end of the day.
    pub end: Option<time::Duration>,
    /// Whether the operator planned it.
    pub is_planned: bool,
}

/// The error of a report that can't be read.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// The text is not JSON, or lacks a field.
    #[snafu(display("it is no report of a day: {source}"))]
    Json {
        /// The error of the decoder.
        source: serde_json::Error,
    },
    /// A span is not named by its first second.
    #[snafu(display("the window {name:?} is not named by a second"))]
    SpanName {
        /// The name.
        name: String,
        /// The error of the number.
        source: num::ParseIntError,
    },
    /// The time of an event can't be represented.
    #[snafu(display("the time of an event is out of range: {source}"))]
    Time {
        /// The error of the conversion.
        source: time::TryFromFloatSecsError,
    },
    /// A span counts more requests than were sent in it.
    #[snafu(display("the window at {start_s} s has {counted} outcomes of {asked} requests"))]
    Counts {
        /// The first second of the span.
        start_s: u64,
        /// The sum of its outcomes.
        counted: u64,
        /// The requests that were sent in it.
        asked: u32,
    },
}

#[derive(Deserialize)]
struct BenchReport {
    windows: Vec<BenchWindow>,
    events: Vec<BenchEvent>,
}

#[derive(Deserialize)]
struct BenchWindow {
    name: String,
    n: u32,
    in_aim: u32,
    late: u32,
    refused: u32,
    failed: u32,
    not_owed: u32,
}

#[derive(Deserialize)]
struct BenchEvent {
    at_s: f64,
    to_s: Option<f64>,
    kind: String,
    what: String,
    planned: bool,
}

/// Reads the report of a day.
///
/// # Errors
///
/// Returns an error if the text is no report, or if what it says of a span or of an event makes no sense.
///
/// # Examples
///
/// ```
/// use pimentohook_holes::report;
///
/// let text = r#"{
///     "windows": [{
///         "name": "4", "n": 12, "in_aim": 6, "late": 1, "refused": 3, "failed": 0, "not_owed": 2
///     }],
///     "events": []
/// }"#;
/// assert_eq!(report::decode(text).unwrap().spans[0].served(), Some(0.6));
/// ```
pub fn decode(text: &str) -> Result<Report, ReportError> {
    let report: BenchReport = serde_json::from_str(text).context(JsonSnafu)?;
    let spans = report.windows.into_iter().map(decode_span);
    let events = report.events.into_iter().map(decode_event);
    let mut events = events.collect::<Result<Vec<_>, _>>()?;
    events.sort_by_key(|event| event.start);
    Ok(Report {
        spans: spans.collect::<Result<_, _>>()?,
        events,
    })
}

fn decode_span(window: BenchWindow) -> Result<Span, ReportError> {
    let name = window.name;
    let start_s: u64 = name.parse().context(SpanNameSnafu { name })?;
    let outcomes = [
        window.in_aim,
        window.late,
        window.refused,
        window.failed,
        window.not_owed,
    ];
    let counted: u64 = outcomes.into_iter().map(u64::from).sum();
    snafu::ensure!(
        counted <= u64::from(window.n),
        CountsSnafu {
            start_s,
            counted,
            asked: window.n
        }
    );
    Ok(Span {
        start: time::Duration::from_secs(start_s),
        asked: window.n,
        in_time: window.in_aim,
        late: window.late,
        refused: window.refused,
        failed: window.failed,
        not_owed: window.not_owed,
    })
}

fn decode_event(event: BenchEvent) -> Result<Event, ReportError> {
    Ok(Event {
        kind: event.kind,
        subject: event.what,
        start: decode_time(event.at_s)?,
        end: event.to_s.map(decode_time).transpose()?,
        is_planned: event.planned,
    })
}

/// Decodes a time since the start of traffic; what came before counts as its start.
fn decode_time(seconds: f64) -> Result<time::Duration, ReportError> {
    time::Duration::try_from_secs_f64(seconds.max(0.0)).context(TimeSnafu)
}
