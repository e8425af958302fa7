//! Buffers of responses, which outlast their delivery for a while.
//!
//! A response is written by one task, the one that reads it from the engine. Any number of
//! connections can read it from any offset, so a reader whose connection has stalled loses nothing
//! when it continues on a new one.

use std::{sync, time};

use bytes::Bytes;
use futures_util::{Stream, stream};
use indexmap::IndexMap;
use pimentohook_core::{admission, id, size};
use pimentohook_wire::frames;
use tokio::{sync::watch, time as tokio_time};

use crate::mutex::lock;

const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_millis(200);
const PIECE_BYTES: usize = 64 << 10;

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The response is complete.
    Complete,
    /// The response was interrupted, for the given reason.
    Failed(String),
    /// The request was not run.
    Refused(admission::Refusal),
}

#[derive(Debug, Default)]
struct ResponseState {
    is_started: bool,
    bytes: Vec<u8>,
    hasher: id::Hasher,
    end: Option<End>,
    ended_at: Option<time::Instant>,
    is_delivered: bool,
    reader_count: usize,
    last_reader_left_at: Option<time::Instant>,
}

/// The buffer of one response.
#[derive(Debug)]
pub struct BufferedResponse {
    state: sync::Mutex<ResponseState>,
    changed: watch::Sender<()>,
}

impl BufferedResponse {
    fn new() -> Self {
        Self {
            state: sync::Mutex::new(ResponseState::default()),
            changed: watch::Sender::new(()),
        }
    }

    /// Records that the upstream has started to run the request.
    pub fn start(&self) {
        lock(&self.state).is_started = true;
        self.changed.send_replace(());
    }

    /// Appends bytes.
    pub fn push(&self, bytes: &[u8]) {
        let mut state = lock(&self.state);
        state.bytes.extend_from_slice(bytes);
        state.hasher.update(bytes);
        drop(state);
        self.changed.send_replace(());
    }

    /// Ends the response.
    pub fn end(&self, now: time::Instant, end: End) {
        let mut state = lock(&self.state);
        state.end = Some(end);
        state.ended_at = Some(now);
        drop(state);
        self.changed.send_replace(());
    }

    /// Records that the complete response was delivered.
    pub fn record_delivered(&self) {
        lock(&self.state).is_delivered = true;
    }

    /// Returns whether the response has had no readers for `orphan_max`.
    #[must_use]
    pub fn is_orphaned(&self, now: time::Instant, orphan_max: time::Duration) -> bool {
        let state = lock(&self.state);
        let left_at = state.last_reader_left_at;
        state.reader_count == 0 && left_at.is_some_and(|at| now.duration_since(at) >= orphan_max)
    }

    /// Returns the next frame for a reader at `offset_bytes`; `None` while there is none.
    fn next_frame(&self, admission_sent: bool, offset_bytes: usize) -> Option<frames::Frame> {
        let state = lock(&self.state);
        if let Some(End::Refused(refusal)) = state.end {
            let refused = admission::Admission::Refused(refusal);
            return Some(frames::Frame::Admission(refused));
        }
        if !admission_sent {
            let is_decided = state.is_started || state.end.is_some();
            let admitted = frames::Frame::Admission(admission::Admission::Admitted);
            return is_decided.then_some(admitted);
        }
        let end = state.bytes.len().min(offset_bytes + PIECE_BYTES);
        if offset_bytes < end {
            return Some(frames::Frame::Data {
                offset_bytes: offset_bytes as u64,
                bytes: Bytes::copy_from_slice(&state.bytes[offset_bytes..end]),
            });
        }
        match state.end.as_ref()? {
            End::Complete => Some(frames::Frame::End {
                length_bytes: state.bytes.len() as u64,
                digest: state.hasher.finish(),
            }),
            End::Failed(reason) => Some(frames::Frame::Failed {
                reason: reason.clone(),
            }),
            End::Refused(_) => None,
        }
    }

    fn add_reader(&self) {
        let mut state = lock(&self.state);
        state.reader_count += 1;
        state.last_reader_left_at = None;
    }

    fn remove_reader(&self) {
        let mut state = lock(&self.state);
        state.reader_count -= 1;
        if state.reader_count == 0 {
            state.last_reader_left_at = Some(time::Instant::now());
        }
    }
}

struct Reader {
    response: sync::Arc<BufferedResponse>,
    changed: watch::Receiver<()>,
    offset_bytes: usize,
    admission_sent: bool,
    has_ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.response.remove_reader();
    }
}

impl Reader {
    async fn next(&mut self) -> Option<frames::Frame> {
        if self.has_ended {
            return None;
        }
        loop {
            self.changed.mark_unchanged();
            if let Some(frame) = self
                .response
                .next_frame(self.admission_sent, self.offset_bytes)
            {
                self.advance(&frame);
                return Some(frame);
            }
            let changed = tokio_time::timeout(KEEP_ALIVE_INTERVAL, self.changed.changed()).await;
            if changed.is_err() {
                return Some(frames::Frame::KeepAlive);
            }
        }
    }

    fn advance(&mut self, frame: &frames::Frame) {
        match frame {
            frames::Frame::Admission(admission::Admission::Refused(_))
            | frames::Frame::End { .. }
            | frames::Frame::Failed { .. } => self.has_ended = true,
            frames::Frame::Admission(_) => self.admission_sent = true,
            frames::Frame::Data { bytes, .. } => self.offset_bytes += bytes.len(),
            frames::Frame::KeepAlive => {}
        }
    }
}

/// Returns the frames of a response from an offset on, with keep-alives while there are no
/// new ones.
pub fn read(
    response: &sync::Arc<BufferedResponse>,
    offset_bytes: usize,
) -> impl Stream<Item = frames::Frame> + use<> {
    response.add_reader();
    let reader = Reader {
        changed: response.changed.subscribe(),
        response: response.clone(),
        offset_bytes,
        admission_sent: false,
        has_ended: false,
    };
    stream::unfold(reader, |mut reader| async move {
        let frame = reader.next().await?;
        Some((frame, reader))
    })
}

/// The buffered responses of the agent.
#[derive(Debug)]
pub struct Responses {
    buffered_max: size::ByteCount,
    window: time::Duration,
    by_request: sync::Mutex<IndexMap<id::RequestId, sync::Arc<BufferedResponse>>>,
}

impl Responses {
    /// Creates an empty set of buffers. Responses that have ended are kept for `window`, and up to
    /// `buffered_max` bytes of them in total.
    #[must_use]
    pub fn new(buffered_max: size::ByteCount, window: time::Duration) -> Self {
        Self {
            buffered_max,
            window,
            by_request: sync::Mutex::new(IndexMap::new()),
        }
    }

    /// Opens a buffer for the response to a request.
    #[must_use]
    pub fn open(&self, request_id: &id::RequestId) -> sync::Arc<BufferedResponse> {
        let response = sync::Arc::new(BufferedResponse::new());
        lock(&self.by_request).insert(request_id.clone(), response.clone());
        response
    }

    /// Returns the response to a request, if it is still buffered.
    #[must_use]
    pub fn get(&self, request_id: &id::RequestId) -> Option<sync::Arc<BufferedResponse>> {
        lock(&self.by_request).get(request_id).cloned()
    }

    /// Removes the response to a request.
    pub fn remove(&self, request_id: &id::RequestId) {
        lock(&self.by_request).shift_remove(request_id);
    }

    /// Returns the number of responses that have readers and were not delivered completely.
    #[must_use]
    pub fn undelivered_count(&self) -> usize {
        let is_undelivered = |response: &&sync::Arc<BufferedResponse>| {
            let state = lock(&response.state);
            state.reader_count > 0 && !state.is_delivered
        };
        lock(&self.by_request)
            .values()
            .filter(is_undelivered)
            .count()
    }

    /// Drops responses whose window has passed, and the oldest if too many bytes are buffered.
    ///
    /// Delivered responses are dropped before undelivered ones.
    pub fn evict(&self, now: time::Instant) {
        let mut responses = lock(&self.by_request);
        responses.retain(|_, response| {
            let ended_at = lock(&response.state).ended_at;
            ended_at.is_none_or(|at| now.duration_since(at) <= self.window)
        });
        for delivered_only in [true, false] {
            let mut excess_bytes =
                buffered_bytes(&responses).saturating_sub(self.buffered_max.get());
            responses.retain(|_, response| {
                let state = lock(&response.state);
                let is_evictable =
                    state.ended_at.is_some() && (state.is_delivered || !delivered_only);
                if excess_bytes == 0 || !is_evictable {
                    return true;
                }
                excess_bytes = excess_bytes.saturating_sub(state.bytes.len() as u64);
                false
            });
        }
    }
}

fn buffered_bytes(responses: &IndexMap<id::RequestId, sync::Arc<BufferedResponse>>) -> u64 {
    let lengths = responses.values().map(|response| {
        let state = lock(&response.state);
        state.ended_at.map_or(0, |_| state.bytes.len() as u64)
    });
    lengths.sum()
}
