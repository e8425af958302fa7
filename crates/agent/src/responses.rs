//! Answers, kept until they are passed on and for a while after.
//!
//! An answer is written once by the task that talks to the engine, and read by any number of
//! connections from any offset, so that a connection that fell silent costs nothing but a new one.

use std::{sync, time};

use bytes::Bytes;
use futures_util::{Stream, stream};
use indexmap::IndexMap;
use pimentohook_core::{admission, id, size};
use pimentohook_wire::frames;
use tokio::{sync::watch, time as tokio_time};

use crate::app::lock;

const KEEP_ALIVE_EVERY: time::Duration = time::Duration::from_millis(200);
const PIECE_BYTES: usize = 64 << 10;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It is whole.
    Whole,
    /// It broke off.
    Failed(String),
    /// It never started.
    Refused(admission::Refusal),
}

#[derive(Debug, Default)]
struct Content {
    started: bool,
    bytes: Vec<u8>,
    hasher: id::Hasher,
    end: Option<End>,
    ended_at: Option<time::Instant>,
    fetched: bool,
    readers: usize,
    orphaned_at: Option<time::Instant>,
}

/// One answer.
#[derive(Debug)]
pub struct Answer {
    content: sync::Mutex<Content>,
    changed: watch::Sender<()>,
}

impl Answer {
    fn new() -> Self {
        Self {
            content: sync::Mutex::new(Content::default()),
            changed: watch::Sender::new(()),
        }
    }

    /// Records that the engine has begun.
    pub fn start(&self) {
        lock(&self.content).started = true;
        self.changed.send_replace(());
    }

    /// Adds a piece.
    pub fn push(&self, bytes: &[u8]) {
        let mut content = lock(&self.content);
        content.bytes.extend_from_slice(bytes);
        content.hasher.update(bytes);
        drop(content);
        self.changed.send_replace(());
    }

    /// Ends the answer.
    pub fn end(&self, now: time::Instant, end: End) {
        let mut content = lock(&self.content);
        content.end = Some(end);
        content.ended_at = Some(now);
        drop(content);
        self.changed.send_replace(());
    }

    /// Records that the answer was passed on whole.
    pub fn record_fetched(&self) {
        lock(&self.content).fetched = true;
    }

    /// Returns whether nobody has read the answer for `orphan_max`.
    #[must_use]
    pub fn is_orphaned(&self, now: time::Instant, orphan_max: time::Duration) -> bool {
        let content = lock(&self.content);
        let since = content.orphaned_at;
        content.readers == 0 && since.is_some_and(|at| now.duration_since(at) >= orphan_max)
    }

    /// Returns the next frame for a reader at `offset`; `None` while there is nothing new.
    fn next_frame(&self, told: bool, offset: usize) -> Option<frames::Frame> {
        let content = lock(&self.content);
        if let Some(End::Refused(refusal)) = content.end {
            let refused = admission::Admission::Refused(refusal);
            return Some(frames::Frame::Admission(refused));
        }
        if !told {
            let known = content.started || content.end.is_some();
            let admitted = frames::Frame::Admission(admission::Admission::Admitted);
            return known.then_some(admitted);
        }
        let end = content.bytes.len().min(offset + PIECE_BYTES);
        if offset < end {
            return Some(frames::Frame::Data {
                offset_bytes: offset as u64,
                bytes: Bytes::copy_from_slice(&content.bytes[offset..end]),
            });
        }
        match content.end.as_ref()? {
            End::Whole => Some(frames::Frame::End {
                length_bytes: content.bytes.len() as u64,
                digest: content.hasher.finish(),
            }),
            End::Failed(reason) => Some(frames::Frame::Failed {
                reason: reason.clone(),
            }),
            End::Refused(_) => None,
        }
    }

    fn add_reader(&self) {
        let mut content = lock(&self.content);
        content.readers += 1;
        content.orphaned_at = None;
    }

    fn remove_reader(&self) {
        let mut content = lock(&self.content);
        content.readers -= 1;
        if content.readers == 0 {
            content.orphaned_at = Some(time::Instant::now());
        }
    }
}

struct Reader {
    answer: sync::Arc<Answer>,
    changed: watch::Receiver<()>,
    offset: usize,
    told: bool,
    ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.remove_reader();
    }
}

impl Reader {
    async fn next(&mut self) -> Option<frames::Frame> {
        if self.ended {
            return None;
        }
        loop {
            self.changed.mark_unchanged();
            if let Some(frame) = self.answer.next_frame(self.told, self.offset) {
                self.advance(&frame);
                return Some(frame);
            }
            let changed = tokio_time::timeout(KEEP_ALIVE_EVERY, self.changed.changed()).await;
            if changed.is_err() {
                return Some(frames::Frame::KeepAlive);
            }
        }
    }

    fn advance(&mut self, frame: &frames::Frame) {
        match frame {
            frames::Frame::Admission(admission::Admission::Refused(_))
            | frames::Frame::End { .. }
            | frames::Frame::Failed { .. } => self.ended = true,
            frames::Frame::Admission(_) => self.told = true,
            frames::Frame::Data { bytes, .. } => self.offset += bytes.len(),
            frames::Frame::KeepAlive => {}
        }
    }
}

/// Returns the frames of an answer from an offset, with keep-alives while there is nothing new.
pub fn read(
    answer: &sync::Arc<Answer>,
    offset: usize,
) -> impl Stream<Item = frames::Frame> + use<> {
    answer.add_reader();
    let reader = Reader {
        changed: answer.changed.subscribe(),
        answer: answer.clone(),
        offset,
        told: false,
        ended: false,
    };
    stream::unfold(reader, |mut reader| async move {
        let frame = reader.next().await?;
        Some((frame, reader))
    })
}

/// All answers of the agent.
#[derive(Debug)]
pub struct Answers {
    kept_max: size::ByteCount,
    window: time::Duration,
    kept: sync::Mutex<IndexMap<id::RequestId, sync::Arc<Answer>>>,
}

impl Answers {
    /// Keeps up to `kept_max` bytes of ended answers, each for `window` at the longest.
    #[must_use]
    pub fn new(kept_max: size::ByteCount, window: time::Duration) -> Self {
        Self {
            kept_max,
            window,
            kept: sync::Mutex::new(IndexMap::new()),
        }
    }

    /// Opens an answer.
    #[must_use]
    pub fn open(&self, request_id: &id::RequestId) -> sync::Arc<Answer> {
        let answer = sync::Arc::new(Answer::new());
        lock(&self.kept).insert(request_id.clone(), answer.clone());
        answer
    }

    /// Returns an answer, where it is still kept.
    #[must_use]
    pub fn get(&self, request_id: &id::RequestId) -> Option<sync::Arc<Answer>> {
        lock(&self.kept).get(request_id).cloned()
    }

    /// Drops an answer.
    pub fn forget(&self, request_id: &id::RequestId) {
        lock(&self.kept).swap_remove(request_id);
    }

    /// Returns how many ended answers nobody has fetched whole.
    #[must_use]
    pub fn unfetched_count(&self) -> usize {
        let unfetched = |answer: &&sync::Arc<Answer>| {
            let content = lock(&answer.content);
            content.readers > 0 && !content.fetched
        };
        lock(&self.kept).values().filter(unfetched).count()
    }

    /// Drops answers whose window has passed, and the oldest where too many bytes are kept.
    ///
    /// Those that were passed on go before those that were not.
    pub fn evict(&self, now: time::Instant) {
        let mut responses = lock(&self.kept);
        responses.retain(|_, answer| {
            let ended_at = lock(&answer.content).ended_at;
            ended_at.is_none_or(|at| now.duration_since(at) <= self.window)
        });
        for fetched_only in [true, false] {
            let mut excess = kept_bytes(&responses).saturating_sub(self.kept_max.get());
            responses.retain(|_, answer| {
                let content = lock(&answer.content);
                let eligible = content.ended_at.is_some() && (content.fetched || !fetched_only);
                if excess == 0 || !eligible {
                    return true;
                }
                excess = excess.saturating_sub(content.bytes.len() as u64);
                false
            });
        }
    }
}

fn kept_bytes(responses: &IndexMap<id::RequestId, sync::Arc<Answer>>) -> u64 {
    let lengths = responses.values().map(|answer| {
        let content = lock(&answer.content);
        content.ended_at.map_or(0, |_| content.bytes.len() as u64)
    });
    lengths.sum()
}
