//! A stream whose reads are bounded, so that buffers that grow with what a read fills stay small.

use std::{io, pin, task};

use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf, Take},
    net::TcpStream,
};

/// The most that one read takes where there may be many connections. It is less than hyper's first
/// buffer, which grows when a read fills it, and of which each piece of a body that waits keeps one.
pub(crate) const SMALL_MAX_BYTES: u64 = (8 << 10) - 1;

/// A stream that reads at most so many bytes at once.
#[derive(Debug)]
pub(crate) struct ShortReads {
    stream: Take<TcpStream>,
    read_max_bytes: u64,
}

impl ShortReads {
    pub(crate) fn new(stream: TcpStream, read_max_bytes: u64) -> Self {
        Self {
            stream: stream.take(read_max_bytes),
            read_max_bytes,
        }
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// Returns the stream, whose reads have no bound.
    pub(crate) fn stream_mut(&mut self) -> &mut TcpStream {
        self.stream.get_mut()
    }
}

impl AsyncRead for ShortReads {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let read_max_bytes = self.read_max_bytes;
        self.stream.set_limit(read_max_bytes);
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ShortReads {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(self.stream_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(self.stream_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream().is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(self.stream_mut()).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(self.stream_mut()).poll_shutdown(context)
    }
}
