//! A TCP stream that repeats calls interrupted by a signal. `recv(2)` and `send(2)` may return EINTR; tokio
//! passes that error on, and hyper treats it as a broken connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// After this many interrupted calls in a row the task yields, so that other tasks can run.
const MAX_INTERRUPTS: usize = 16;

/// A TCP stream whose calls never fail with [`io::ErrorKind::Interrupted`].
#[derive(Debug)]
pub struct UninterruptedStream(pub TcpStream);

/// Repeats a call while it is interrupted; after [`MAX_INTERRUPTS`] times it wakes the task again and yields.
fn retry_interrupted<T>(
    context: &mut Context<'_>,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..MAX_INTERRUPTS {
        match call(context) {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
    context.waker().wake_by_ref();
    Poll::Pending
}

impl AsyncRead for UninterruptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        retry_interrupted(context, |context| Pin::new(&mut self.0).poll_read(context, into))
    }
}

impl AsyncWrite for UninterruptedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted(context, |context| Pin::new(&mut self.0).poll_write(context, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted(context, |context| Pin::new(&mut self.0).poll_flush(context))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted(context, |context| Pin::new(&mut self.0).poll_shutdown(context))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted(context, |context| Pin::new(&mut self.0).poll_write_vectored(context, parts))
    }
}
