//! Connections to servers: opened in time, never used for a repeat, and closed beyond doubt when an attempt
//! is given up.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use http_body::Body;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::edge::settings::Config;

/// A server's head, and what is read of its answer at once, hold this many bytes at most.
const MOST_HEAD: usize = 32 << 10;

/// Servers close idle connections at `limits.keepalive_s` at the latest; what is written then is a reset. So
/// much of that time an idle one is kept at most.
const KEPT_SHARE: f64 = 0.6;
/// So many dispatchers may each keep idle connections for that time. More keep them for less: a server holds
/// only so many connections, and what all dispatchers leave idle there must not grow with their number.
const KEEPERS: f64 = 4.0;
/// Shorter than this, not even the two calls for one request would share a connection.
const LEAST_KEPT: Duration = Duration::from_millis(100);

/// How long a connection to a server is kept idle by each of so many dispatchers.
#[must_use]
pub fn kept_idle(keepalive: Duration, dispatchers: u32) -> Duration {
    let share = KEPT_SHARE * (KEEPERS / f64::from(dispatchers.max(1))).min(1.0);
    keepalive.mul_f64(share).max(LEAST_KEPT.min(keepalive.mul_f64(KEPT_SHARE)))
}

/// A client without any repeats of its own.
pub type Plain<B> = Client<Connector, B>;

/// A client that sends each request once, and tells `written` of each whose last byte has been written: hyper-util would by itself send a request again that a closed
/// connection gave back, which could book a slot twice.
pub fn plain_client<B>(
    config: &Config,
    most_idle: usize,
    written: impl Fn() + Send + Sync + 'static,
) -> Plain<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(config.connect_timeout));
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        .timer(TokioTimer::new())
        .pool_idle_timeout(kept_idle(config.keepalive, config.settings.balancers))
        .pool_max_idle_per_host(most_idle)
        // Bounds a head that does not end.
        .http1_max_buf_size(MOST_HEAD)
        // A line that can't be read, a load report's say, spoils no answer that is good otherwise.
        .http1_ignore_invalid_headers_in_responses(true)
        .build(Connector { connector, written: Arc::new(written) })
}

type Written = Arc<dyn Fn() + Send + Sync>;

/// Opens connections that tell when a request has been written and when they have been closed.
#[derive(Clone)]
pub struct Connector {
    connector: HttpConnector,
    written: Written,
}

type Opening = Pin<Box<dyn Future<Output = Result<Told, Box<dyn std::error::Error + Send + Sync>>> + Send>>;

impl tower_service::Service<Uri> for Connector {
    type Response = Told;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Opening;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let opening = tower_service::Service::call(&mut self.connector, uri);
        let (written, carries) = (self.written.clone(), Arc::new(AtomicBool::new(false)));
        Box::pin(async move { Ok(Told { io: opening.await?, written, carries, open: watch::channel(()).0 }) })
    }
}

/// A connection; `open` is dropped once it has been closed, so the fields must stay in this order.
pub struct Told {
    io: TokioIo<TcpStream>,
    written: Written,
    /// A request's body has been taken in hand, and its last byte is not written yet.
    carries: Arc<AtomicBool>,
    open: watch::Sender<()>,
}

/// A connection as seen by the attempt that goes over it. It travels with what hyper-util says of the connection.
#[derive(Clone)]
pub struct Line {
    carries: Arc<AtomicBool>,
    open: watch::Receiver<()>,
}

impl Line {
    /// An attempt's last bytes are handed over to be written.
    pub fn carries(&self) {
        self.carries.store(true, Ordering::Relaxed);
    }

    /// Waits until the connection has been closed.
    pub async fn closed(mut self) {
        while self.open.changed().await.is_ok() {}
    }
}

impl Connection for Told {
    fn connected(&self) -> Connected {
        let line = Line { carries: self.carries.clone(), open: self.open.subscribe() };
        self.io.inner().connected().extra(line)
    }
}

impl Read for Told {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, into)
    }
}

impl Write for Told {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(context))?;
        // Nothing is left to be written: hyper flushes once all that it has is out.
        if self.carries.swap(false, Ordering::Relaxed) {
            (self.written)();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, parts)
    }
}
