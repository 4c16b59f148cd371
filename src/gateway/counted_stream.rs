use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Result of reading from a connection.
type Result<T> = io::Result<T>;

/// Maximum number of bytes that a target may send without a head or content of an answer. It exceeds what is read
/// ahead of the caller.
const MAX_EMPTY_BYTES: usize = 512 << 10;

/// Bytes that a target has sent since the last head or content of an answer.
///
/// Interim heads, chunk sizes, chunk extensions and trailers without end use little memory, but reading them takes the
/// whole processor, so that no timer of the process fires in time.
#[derive(Clone, Debug, Default)]
pub struct EmptyBytes(Arc<AtomicUsize>);

impl EmptyBytes {
    /// Starts to count anew, since a head or content has arrived.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> Result<()> {
        let before = self.0.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_EMPTY_BYTES {
            let reason = format!("no content in {MAX_EMPTY_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }
}

/// Connection to a target that fails once the target sends too many bytes without content.
pub struct CountedStream {
    stream: TcpStream,
    empty: EmptyBytes,
}

impl CountedStream {
    /// Creates a connection whose bytes are counted.
    pub fn new(stream: TcpStream, empty: EmptyBytes) -> Self {
        Self { stream, empty }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(self.empty.add(buffer.filled().len() - before)),
            other => other,
        }
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
