//! The socket of a connection, which records what moves, and closes so that a response can be read.

use std::{io, pin, sync, task, time};

use pimentohook_core::head_limits;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time as tokio_time,
};

use super::activity::Activity;
use crate::short_reads::{self, ShortReads};

/// How long, and for how many bytes, what a client still sends is read after the last response. A
/// socket that is closed before resets the connection, and the client may lose the response.
const LINGER_TIME: time::Duration = time::Duration::from_secs(1);
const LINGER_MAX_BYTES: usize = 16 << 20;
const SCRATCH_BYTES: usize = 4 << 10;

struct Linger {
    ends: pin::Pin<Box<tokio_time::Sleep>>,
    remaining_bytes: usize,
}

/// Returns the limits of a head that begins.
pub(super) type HeadLimits = Box<dyn Fn() -> head_limits::HeadLimits + Send + Sync>;

/// The socket of a connection.
pub(super) struct Socket {
    stream: ShortReads,
    activity: sync::Arc<Activity>,
    heads: head_limits::HeadReader,
    head_limits: HeadLimits,
    linger: Option<Linger>,
}

impl Socket {
    pub(super) fn new(
        stream: TcpStream,
        activity: sync::Arc<Activity>,
        head_limits: HeadLimits,
    ) -> Self {
        Self {
            stream: ShortReads::new(stream, short_reads::SMALL_MAX_BYTES),
            activity,
            heads: head_limits::HeadReader::default(),
            head_limits,
            linger: None,
        }
    }

    /// Discards what the client sends until it closes its side.
    fn poll_linger(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            ends: Box::pin(tokio_time::sleep(LINGER_TIME)),
            remaining_bytes: LINGER_MAX_BYTES,
        });
        loop {
            let mut scratch = [0; SCRATCH_BYTES];
            let mut buffer = ReadBuf::new(&mut scratch);
            match pin::Pin::new(self.stream.stream_mut()).poll_read(context, &mut buffer) {
                task::Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    let left = linger.remaining_bytes.checked_sub(buffer.filled().len());
                    let Some(left) = left else {
                        return task::Poll::Ready(());
                    };
                    linger.remaining_bytes = left;
                }
                task::Poll::Ready(_) => return task::Poll::Ready(()),
                task::Poll::Pending => return linger.ends.as_mut().poll(context),
            }
        }
    }

    /// Follows the head that the client sends; returns whether it is too large.
    fn read_head(&mut self, bytes: &[u8]) -> bool {
        if bytes.is_empty() || self.activity.has_open_body() {
            return false;
        }
        // A request that began in between has ended the head.
        if !self.activity.head.has_begun() {
            self.heads.reset();
        }
        let progress = self.heads.read(bytes, &self.head_limits);
        self.activity.record_head(progress);
        progress == head_limits::Progress::TooLarge
    }

    fn record_write<T>(&self, poll: &task::Poll<T>) {
        self.activity.record_write(poll.is_pending());
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.activity.head.is_too_large() {
            return task::Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let poll = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        if poll.is_ready() {
            self.activity.record_read();
        }
        if self.read_head(&buffer.filled()[filled_before..]) {
            // Nobody parses it; the connection's task, which has been notified, refuses it.
            buffer.set_filled(filled_before);
            return task::Poll::Pending;
        }
        poll
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let poll = pin::Pin::new(self.stream.stream_mut()).poll_write(context, bytes);
        self.record_write(&poll);
        poll
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let poll = pin::Pin::new(self.stream.stream_mut()).poll_write_vectored(context, slices);
        self.record_write(&poll);
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.stream().is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(self.stream.stream_mut()).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.linger.is_none() {
            task::ready!(pin::Pin::new(self.stream.stream_mut()).poll_shutdown(context))?;
        }
        if !self.activity.may_still_send() {
            return task::Poll::Ready(Ok(()));
        }
        self.poll_linger(context).map(Ok)
    }
}
