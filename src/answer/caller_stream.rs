use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use hyper::Version;
use socket2::SockRef;
use spdlog::prelude::*;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A caller's connection, which is reset in place of closed after an answer that was broken off if the
/// caller could not see the break otherwise.
pub struct CallerStream {
    stream: TcpStream,
    abort: StreamAbort,
}

/// Decides whether a [`CallerStream`] is reset.
#[derive(Clone, Debug, Default)]
pub struct StreamAbort {
    /// Whether the answer in progress ends with the connection.
    ends_with_connection: Arc<AtomicBool>,
    is_broken: Arc<AtomicBool>,
}

impl StreamAbort {
    /// Records the version of a request. Callers before HTTP/1.1 know no chunks, so an answer without
    /// a length ends with their connection.
    pub fn record_request(&self, version: Version) {
        let ends_with_connection = version < Version::HTTP_11;
        self.ends_with_connection
            .store(ends_with_connection, Ordering::Relaxed);
    }

    /// Records how the connection ended: a failed body means that the answer was broken off.
    pub fn record_end(&self, ended: &hyper::Result<()>) {
        let is_broken = ended.as_ref().is_err_and(hyper::Error::is_user);
        self.is_broken.store(is_broken, Ordering::Relaxed);
    }

    fn is_due(&self) -> bool {
        self.ends_with_connection.load(Ordering::Relaxed) && self.is_broken.load(Ordering::Relaxed)
    }
}

impl CallerStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream, abort: StreamAbort) -> Self {
        Self { stream, abort }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        // A linger time of zero makes the kernel send a reset.
        if self.abort.is_due()
            && let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
        {
            warn!("answer: cannot reset a caller's connection after a broken answer: {error}");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
