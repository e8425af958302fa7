//! Splits an event stream into events and checks them, so that bytes that are no events are neither
//! forwarded nor collected without end.
//!
//! ```
//! use pimentohook_core::event_stream;
//!
//! let mut reader = event_stream::EventReader::new(None);
//! reader.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! assert_eq!(reader.take(), b"id: 1\ndata: a\n\n");
//! assert!(!reader.is_at_boundary());
//! ```

/// The maximum length of one event.
const EVENT_MAX_BYTES: usize = 256 << 10;
/// The maximum length of a stream.
const STREAM_MAX_BYTES: usize = 8 << 20;

/// The fields of an event.
const FIELDS: [&str; 4] = ["id", "data", "event", "retry"];
/// What the names of other fields begin with; they come before all of [`FIELDS`].
const EXTENSION_PREFIX: &str = "x-";

/// Why a stream is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Violation {
    /// An event is longer than allowed.
    EventTooLong,
    /// The stream is longer than allowed.
    StreamTooLong,
    /// A line is not one of an event.
    NotAnEvent,
    /// An event has no id, although earlier ones have.
    IdMissing,
    /// The id of an event is not greater than that of the event before.
    IdNotIncreasing,
}

/// The events of one stream.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    /// Bytes after the last complete event.
    partial: Vec<u8>,
    /// Complete events that have not been taken.
    complete: Vec<u8>,
    last_id: Option<u64>,
    /// Whether there was an event that is more than comments.
    has_begun: bool,
    /// Whether there was such an event without a numeric id.
    has_unnumbered: bool,
    total_bytes: usize,
    violation: Option<Violation>,
}

impl EventReader {
    /// Creates a reader of a stream that continues after the event with the id `last_id`.
    #[must_use]
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes of the stream. After a violation, all further bytes are ignored.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.violation.is_some() {
            return;
        }
        self.total_bytes = self.total_bytes.saturating_add(bytes.len());
        self.partial.extend_from_slice(bytes);
        if let Err(violation) = self.split_events() {
            self.violation = Some(violation);
            self.partial = Vec::new();
        }
    }

    fn split_events(&mut self) -> Result<(), Violation> {
        let mut start = 0;
        while let Some(length) = event_length(&self.partial[start..]) {
            let event = &self.partial[start..start + length];
            self.last_id = check_event(event, self.last_id)?;
            let is_event = !is_comment(event);
            self.has_begun |= is_event;
            self.has_unnumbered |= is_event && self.last_id.is_none();
            self.complete.extend_from_slice(event);
            start += length;
        }
        self.partial.drain(..start);
        if self.partial.len() > EVENT_MAX_BYTES {
            return Err(Violation::EventTooLong);
        }
        if self.total_bytes > STREAM_MAX_BYTES {
            return Err(Violation::StreamTooLong);
        }
        Ok(())
    }

    /// Returns whether there are complete events to take.
    #[must_use]
    pub const fn has_events(&self) -> bool {
        !self.complete.is_empty()
    }

    /// Returns whether there was an event, also if it has been taken; comments are none.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Removes the complete events and returns them.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.complete)
    }

    /// Returns whether the stream ends after a complete event so far.
    #[must_use]
    pub const fn is_at_boundary(&self) -> bool {
        self.partial.is_empty() && self.violation.is_none()
    }

    /// Returns why the stream is not valid; `None` if it is so far.
    #[must_use]
    pub const fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Returns whether [`EventReader::last_id`] says after which event the stream goes on.
    #[must_use]
    pub const fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Returns the id of the last complete event that has one.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the length of the first event, with the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    for (index, _) in line_ends {
        let next_line = index + 1;
        let rest = &bytes[next_line..];
        if rest.starts_with(b"\n") {
            return Some(next_line + 1);
        }
        if rest.starts_with(b"\r\n") {
            return Some(next_line + 2);
        }
    }
    None
}

/// Returns the id of the last event after an event.
///
/// Streams whose events have no numeric ids are not checked, nor are events that are only comments.
fn check_event(event: &[u8], last_id: Option<u64>) -> Result<Option<u64>, Violation> {
    let text = String::from_utf8_lossy(event);
    if !has_only_fields(text.lines()) {
        return Err(Violation::NotAnEvent);
    }
    let id = text.lines().find_map(|line| line.strip_prefix("id:"));
    let id: Option<u64> = id.and_then(|id| id.trim().parse().ok());
    match (id, last_id) {
        (Some(id), Some(last_id)) if id <= last_id => Err(Violation::IdNotIncreasing),
        (Some(id), _) => Ok(Some(id)),
        (None, Some(_)) if !is_comment(event) => Err(Violation::IdMissing),
        (None, last_id) => Ok(last_id),
    }
}

/// Returns whether all lines are comments or empty.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line.first(), None | Some(b':' | b'\r')))
}

/// Returns whether all lines are fields or comments, as those of the head of a response are not.
fn has_only_fields<'a, L>(lines: L) -> bool
where
    L: Iterator<Item = &'a str>,
{
    let names = lines.map(|line| line.split_once(':').map_or(line, |(name, _)| name));
    let mut fields = names
        .filter(|name| !name.is_empty())
        .skip_while(|name| name.starts_with(EXTENSION_PREFIX));
    fields.all(|name| FIELDS.contains(&name))
}
