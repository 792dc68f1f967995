//! TCP streams as the system may treat them: a call that a signal interrupts is made again (`recv(2)`, `send(2)`: EINTR),
//! where tokio hands the error on and hyper takes it for a broken connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Interrupted calls in a row, after which other tasks get their turn first.
const MAX_INTERRUPTS: usize = 16;

/// A stream of which no call ends as interrupted.
#[derive(Debug)]
pub struct Uninterrupted(pub TcpStream);

/// Makes a call again for as long as it is interrupted.
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

impl AsyncRead for Uninterrupted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        retry_interrupted(context, |context| Pin::new(&mut self.0).poll_read(context, into))
    }
}

impl AsyncWrite for Uninterrupted {
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
