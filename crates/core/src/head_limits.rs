//! How long the head of a request may take, and how large it may be.
//!
//! ```
//! use std::time::Duration;
//!
//! use pimentohook_core::head_limits;
//!
//! let limits = head_limits::HeadLimits {
//!     timeout: Some(Duration::from_secs(5)),
//!     max_bytes: Some(16 << 10),
//! };
//! let mut reader = head_limits::HeadReader::default();
//! let progress = reader.read(b"GET / HTTP/1.1\r\n", || limits);
//! assert_eq!(progress, head_limits::Progress::Partial(limits.timeout));
//! let progress = reader.read(b"\r\n", || limits);
//! assert_eq!(progress, head_limits::Progress::Between);
//! ```

use std::time;

/// The limits of a head; `None` is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadLimits {
    /// How long a head may take, from its first byte on.
    pub timeout: Option<time::Duration>,
    /// Maximum size of the header lines together, with their line endings, in bytes. Neither the first
    /// line of the request nor the empty line that ends the head counts.
    pub max_bytes: Option<usize>,
}

/// Why a head is refused; its request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It was not whole in time.
    TimedOut,
    /// It has more bytes than it may have.
    TooLarge,
}

/// How far a connection has come with a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The last head is whole, and the next one has not begun.
    Between,
    /// A head has begun, which may take so long from its first byte on.
    Partial(Option<time::Duration>),
    /// A head has more bytes than it may have.
    TooLarge,
}

#[derive(Clone, Copy, Debug)]
struct Head {
    limits: HeadLimits,
    /// Whether the first line has ended.
    is_past_first_line: bool,
    header_bytes: usize,
    line_bytes: usize,
}

/// Follows the heads of the requests of one connection.
#[derive(Clone, Debug, Default)]
pub struct HeadReader {
    head: Option<Head>,
}

impl HeadReader {
    /// Reads bytes that come while no body does. What follows the end of the head in the same bytes is passed over.
    ///
    /// `limits` returns the limits for a head that begins. Empty lines before a head are no part of it.
    pub fn read<L>(&mut self, bytes: &[u8], limits: L) -> Progress
    where
        L: FnOnce() -> HeadLimits,
    {
        let (mut head, bytes) = match self.head {
            Some(head) => (head, bytes),
            None => match begin(bytes) {
                [] => return Progress::Between,
                bytes => (Head::new(limits()), bytes),
            },
        };
        let progress = head.read(bytes);
        self.head = (progress != Progress::Between).then_some(head);
        progress
    }

    /// Forgets a head that has begun.
    pub fn reset(&mut self) {
        self.head = None;
    }
}

/// Returns the bytes from the first one of a head on.
fn begin(bytes: &[u8]) -> &[u8] {
    let is_part = |byte: &u8| !matches!(byte, b'\r' | b'\n');
    let first = bytes.iter().position(is_part);
    &bytes[first.unwrap_or(bytes.len())..]
}

impl Head {
    const fn new(limits: HeadLimits) -> Self {
        Self {
            limits,
            is_past_first_line: false,
            header_bytes: 0,
            line_bytes: 0,
        }
    }

    fn read(&mut self, bytes: &[u8]) -> Progress {
        let max_bytes = self.limits.max_bytes.unwrap_or(usize::MAX);
        for byte in bytes {
            self.header_bytes += usize::from(self.is_past_first_line);
            match byte {
                b'\n' if self.line_bytes == 0 => return Progress::Between,
                b'\n' => self.end_line(),
                b'\r' => {}
                _ if self.header_bytes > max_bytes => return Progress::TooLarge,
                _ => self.line_bytes += 1,
            }
        }
        Progress::Partial(self.limits.timeout)
    }

    fn end_line(&mut self) {
        self.is_past_first_line = true;
        self.line_bytes = 0;
    }
}

/// Returns when a head is refused that began at `began_at`. One that began behind another request
/// counts from the end of that request.
#[must_use]
pub fn due(
    began_at: time::Instant,
    last_end: time::Instant,
    timeout: time::Duration,
) -> Option<time::Instant> {
    began_at.max(last_end).checked_add(timeout)
}
