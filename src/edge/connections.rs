//! Connections to servers: opened within a time limit, never used to resend a request by themselves, and closed
//! for certain when an attempt is cancelled.
//!
//! This module pools hyper's plain connections. The client of hyper-util is not used for attempts, for two
//! reasons. It fixes the head of a request before it has a connection: where a connect took a second, servers
//! were told that a second more was left than really was. And it reuses a connection the moment a response has
//! ended: a second response, written some milliseconds later, was taken for that of the next request.

mod response_framing;
mod stream;

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use log::debug;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::edge::connections::response_framing::MAX_HEAD_BYTES;
pub use crate::edge::connections::stream::{ConnectionHandle, WrittenCallback};
use crate::edge::connections::stream::{Stream, WriteObserver};
use crate::edge::core::ConnectionKind;
use crate::edge::settings::Config;
use crate::edge::transient::{self, is_transient};

/// Servers close idle connections after `limits.keepalive_s` at the latest, and a request that is written then
/// is reset. An idle connection is kept for this share of that time at most.
const IDLE_SHARE_OF_KEEPALIVE: f64 = 0.6;
/// Up to this many dispatchers each keep idle connections for the full time. If there are more, each keeps them
/// for less: a server holds a limited number of connections, and the idle ones of all dispatchers together must
/// not grow with the number of dispatchers.
const DISPATCHERS_AT_FULL_IDLE_TIME: f64 = 4.0;
/// With less idle time, not even the two calls for one request would share a connection.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// A connection takes the next request only once nothing has arrived on it for this long after its last
/// response. A server of the platform may send a second response some milliseconds late, which would be taken
/// for that of the next request.
const QUIET_TIME: Duration = Duration::from_millis(50);

/// Lower limit of the acknowledgement timeout: a machine delays acknowledgements by up to 40 ms.
const MIN_ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(100);

/// How long each of `dispatchers` dispatchers keeps an idle connection to a server that closes idle connections
/// after `keepalive`.
#[must_use]
pub fn idle_timeout(keepalive: Duration, dispatchers: u32) -> Duration {
    let share =
        IDLE_SHARE_OF_KEEPALIVE * (DISPATCHERS_AT_FULL_IDLE_TIME / f64::from(dispatchers.max(1))).min(1.0);
    keepalive.mul_f64(share).max(MIN_IDLE_TIME.min(keepalive.mul_f64(IDLE_SHARE_OF_KEEPALIVE)))
}

/// How long bytes written to a server may stay unacknowledged. At most as long as a connect may take, as the
/// same machine answers both; and at most half of the time that state may be held, as held state is sent on
/// until that time is over, and the platform's protocol allows 300 ms more over sockets.
fn acknowledgement_timeout(config: &Config) -> Duration {
    let max_hold_time = Duration::from_micros(config.settings.max_hold_time);
    config.connect_timeout.min(max_hold_time / 2).max(MIN_ACKNOWLEDGEMENT_TIME)
}

/// An HTTP client that never resends a request by itself.
pub type NoRetryClient<B> = Client<HttpConnector, B>;

/// Creates a client that sends each request once. By default, hyper-util resends a request that a closing
/// connection has returned unsent.
pub fn no_retry_client<B>(config: &Config, max_idle: usize) -> NoRetryClient<B>
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
        .pool_idle_timeout(idle_timeout(config.keepalive, config.settings.dispatcher_count))
        .pool_max_idle_per_host(max_idle)
        // Limits a response head that does not end.
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build(connector)
}

/// A connection that is ready for a request.
pub struct Connection<B> {
    /// Sends requests over the connection.
    pub sender: SendRequest<B>,
    /// Observes and closes the connection.
    pub handle: ConnectionHandle,
    /// Whether the connection was opened for this request or has carried one before.
    pub kind: ConnectionKind,
}

struct IdleConnection<B> {
    ready: Connection<B>,
    number: u64,
    /// From when on requests with [`IdleChoice::Quiet`] may take the connection.
    quiet_at: Instant,
    /// Dropped when the connection is taken, which ends the task that expires it.
    _taken: oneshot::Sender<()>,
}

struct Shared<B> {
    /// Idle connections by server address; servers without any have no entry.
    idle: Mutex<HashMap<String, Vec<IdleConnection<B>>>>,
    /// Notified when connections may be taken.
    freed: Notify,
    next_number: AtomicU64,
    idle_timeout: Duration,
    /// The TCP user timeout (RFC 5482): a connection breaks if written bytes stay unacknowledged for this long.
    /// Otherwise a machine that is cut off causes no error, and the system goes on accepting bytes for it.
    acknowledgement_timeout: Duration,
    max_idle: usize,
    write_observer: WriteObserver,
}

/// A pool of connections to all servers. Each connection carries one request at a time. Clones share one pool.
pub struct Pool<B>(Arc<Shared<B>>);

impl<B> Clone for Pool<B> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Which idle connections a request may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleChoice {
    /// Only those on which nothing has arrived for [`QUIET_TIME`] since their last response.
    Quiet,
    /// Any, where it does no harm to take a late response for that of this request.
    Any,
}

impl<B> Pool<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Creates an empty pool. `write_observer` is called for each request whose last byte has been written.
    pub fn new(config: &Config, write_observer: impl Fn() + Send + Sync + 'static) -> Self {
        Self(Arc::new(Shared {
            idle: Mutex::default(),
            freed: Notify::new(),
            next_number: AtomicU64::new(0),
            idle_timeout: idle_timeout(config.keepalive, config.settings.dispatcher_count),
            acknowledgement_timeout: acknowledgement_timeout(config),
            max_idle: config.max_idle_per_server(),
            write_observer: Arc::new(write_observer),
        }))
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<IdleConnection<B>>>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a connection to a server: an idle one, or else whichever comes first of a new one and one that
    /// becomes idle. No new connection is opened after `until`.
    ///
    /// # Errors
    /// The error of the system, as for [`new_connection`](Self::new_connection).
    pub async fn connection(
        &self,
        address: &str,
        choice: IdleChoice,
        until: Instant,
    ) -> io::Result<Connection<B>> {
        if let Some(ready) = self.take_idle(address, choice) {
            return Ok(ready);
        }
        tokio::select! {
            opened = self.new_connection(address, until) => opened,
            ready = self.freed(address, choice) => Ok(ready),
        }
    }

    /// Opens a new connection to a server, by `until` at the latest.
    ///
    /// # Errors
    /// The error of the system; `TimedOut` if the server's machine does not answer. If local failures, such as a
    /// lack of descriptors, delayed the connect, too little time was left to say anything about the server: then
    /// the error is the last local failure.
    pub async fn new_connection(&self, address: &str, until: Instant) -> io::Result<Connection<B>> {
        let mut local_failure = None;
        loop {
            match timeout_at(until, self.open(address)).await {
                Err(_) => return Err(local_failure.unwrap_or_else(|| io::ErrorKind::TimedOut.into())),
                // A local failure says nothing about the server, and the missing resource may be free in a
                // moment.
                Ok(Err(error))
                    if is_transient(&error) && Instant::now() + transient::RETRY_INTERVAL < until =>
                {
                    local_failure = Some(error);
                    sleep_until(Instant::now() + transient::RETRY_INTERVAL).await;
                }
                Ok(opened) => return opened,
            }
        }
    }

    /// Takes the connection that was used last, so that the others may expire.
    fn take_idle(&self, address: &str, choice: IdleChoice) -> Option<Connection<B>> {
        let (mut all, now) = (self.idle(), Instant::now());
        let idle = all.get_mut(address)?;
        idle.retain(|idle| !idle.ready.sender.is_closed());
        let at = idle.iter().rposition(|idle| choice == IdleChoice::Any || idle.quiet_at <= now)?;
        Some(Connection { kind: ConnectionKind::Kept, ..idle.remove(at).ready })
    }

    /// Waits until an idle connection can be taken.
    async fn freed(&self, address: &str, choice: IdleChoice) -> Connection<B> {
        loop {
            self.0.freed.notified().await;
            if let Some(ready) = self.take_idle(address, choice) {
                return ready;
            }
        }
    }

    /// Connects to a server, and spawns the task of the connection.
    async fn open(&self, address: &str) -> io::Result<Connection<B>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        // Without this timeout, the timeout of the attempt still applies, later.
        if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(self.0.acknowledgement_timeout))
        {
            debug!(address, reason:% = error; "connection: the timeout for acknowledgements could not be set");
        }
        let (stream, opened) = Stream::new(stream, self.0.write_observer.clone());
        let (sender, connection) = http1::Builder::new()
            // Limits a response head that does not end, and how much of a response is read at once.
            .max_buf_size(MAX_HEAD_BYTES)
            // An unreadable header line, for example of a load report, must not spoil a response that is good
            // otherwise.
            .ignore_invalid_headers_in_responses(true)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // The requests of the connection get its errors, so the result is not needed here.
            let _ = connection.await;
        });
        let handle = opened.handle(task.abort_handle());
        Ok(Connection { sender, handle, kind: ConnectionKind::New })
    }

    /// Keeps a connection for later requests, once its current response has ended.
    pub fn keep(&self, address: String, ready: Connection<B>) {
        let pool = self.clone();
        tokio::spawn(async move { pool.keep_until_taken(&address, ready).await });
    }

    /// Keeps an idle connection in the pool until it is taken, it is closed, or its idle time is over.
    async fn keep_until_taken(&self, address: &str, mut ready: Connection<B>) {
        if ready.sender.ready().await.is_err() {
            return;
        }
        let (number, now) = (self.0.next_number.fetch_add(1, Ordering::Relaxed), Instant::now());
        let closed = ready.handle.clone().closed();
        let (_taken, mut taken) = oneshot::channel();
        {
            let mut all = self.idle();
            let idle = all.entry(address.to_owned()).or_default();
            if idle.len() >= self.0.max_idle {
                return;
            }
            idle.push(IdleConnection { ready, number, quiet_at: now + QUIET_TIME, _taken });
        }
        let idle_time = async {
            sleep_until(now + QUIET_TIME).await;
            self.0.freed.notify_waiters();
            sleep_until(now + self.0.idle_timeout.max(QUIET_TIME)).await;
        };
        tokio::select! {
            _ = &mut taken => {}
            () = closed => {}
            () = idle_time => {}
        }
        let mut all = self.idle();
        if let Some(idle) = all.get_mut(address) {
            idle.retain(|idle| idle.number != number);
            if idle.is_empty() {
                all.remove(address);
            }
        }
    }
}
