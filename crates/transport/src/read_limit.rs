//! A TCP stream that fails when the peer sends too much without getting on with its answer.
//!
//! hyper limits the size of a head and of the parts of a body, but skips interim answers and the
//! padding of chunk sizes without a limit.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Size limit of the head of an answer, in bytes; heads take less than a kilobyte. Also the most
/// that is read ahead of a slow reader of a body, for each connection.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// Bytes that may arrive before the head of an answer is complete, and between two parts of its
/// body: a head, and what is read ahead with it.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 2 * MAX_HEAD_BYTES;

/// Number of bytes that may still arrive over a connection; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Allows the bytes of a head, or up to the next part of a body.
    pub fn renew(&self) {
        self.0.store(MAX_BYTES_WITHOUT_PROGRESS, Ordering::Relaxed);
    }

    /// Takes `count` bytes off the allowance.
    fn take(&self, count: usize) -> io::Result<()> {
        let take = |left: usize| left.checked_sub(count);
        match self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
        {
            Err(_) => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("more than {MAX_BYTES_WITHOUT_PROGRESS} bytes without progress"),
            )),
            Ok(_) => Ok(()),
        }
    }
}

/// A TCP stream with a limit on the bytes that are read from it.
#[derive(Debug)]
pub struct ReadLimitStream {
    allowance: Allowance,
    stream: TcpStream,
}

impl ReadLimitStream {
    /// Wraps `stream` so that a read fails with [`InvalidData`](io::ErrorKind::InvalidData) once it
    /// has brought more than `allowance`.
    pub fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { allowance, stream }
    }
}

impl AsyncRead for ReadLimitStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        read.map_ok(|()| buffer.filled().len() - filled)
            .map(|read| read.and_then(|count| self.allowance.take(count)))
    }
}

impl AsyncWrite for ReadLimitStream {
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

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
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}

/// The body of an answer, which renews the allowance of its connection with each part.
#[derive(Debug)]
pub struct Body {
    allowance: Allowance,
    body: Incoming,
}

impl Body {
    /// Wraps `body`, which arrives over a connection with this allowance.
    pub fn new(body: Incoming, allowance: Allowance) -> Self {
        allowance.renew();
        Self { allowance, body }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(Some(Ok(_)))) {
            self.allowance.renew();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
