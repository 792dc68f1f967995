//! Connections to servers: opened in time, never used for a repeat, and closed beyond doubt when an attempt
//! is given up.
//!
//! Hyper's own connections, pooled here. hyper-util's client fixes a request's head before it has a connection: with
//! connects of a second, servers were told of a second more than was left. It also hands a kept connection on in the
//! moment its answer has ended: a second answer, written some milliseconds later, was the next request's.

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
use hyper_util::rt::{TokioExecutor, TokioTimer};
use log::debug;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, timeout_at, Instant};

pub use crate::edge::connections::stream::{Handle, WrittenCallback};
use crate::edge::connections::stream::{Stream, Written};
use crate::edge::core::ConnectionKind;
use crate::edge::settings::Config;
use crate::edge::transient::{self, is_transient};

/// A server's head, and what is read of its answer at once, hold this many bytes at most.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Servers close idle connections at `limits.keepalive_s` at the latest; what is written then is a reset. So
/// much of that time an idle one is kept at most.
const IDLE_SHARE_OF_KEEPALIVE: f64 = 0.6;
/// So many dispatchers may each keep idle connections for that time. More keep them for less: a server holds
/// only so many connections, and what all dispatchers leave idle there must not grow with their number.
const DISPATCHERS_AT_FULL_IDLE_TIME: f64 = 4.0;
/// Shorter than this, not even the two calls for one request would share a connection.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// A connection takes the next request once nothing has come on it for so long after its last answer: a second answer
/// may come some milliseconds late (the standing test's word), and would be taken for the next request's.
const QUIET_TIME: Duration = Duration::from_millis(50);

/// No acknowledgement is given up sooner: a machine delays it by up to 40 ms.
const MIN_ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(100);

/// How long a connection to a server is kept idle by each of so many dispatchers.
#[must_use]
pub fn idle_timeout(keepalive: Duration, dispatchers: u32) -> Duration {
    let share =
        IDLE_SHARE_OF_KEEPALIVE * (DISPATCHERS_AT_FULL_IDLE_TIME / f64::from(dispatchers.max(1))).min(1.0);
    keepalive.mul_f64(share).max(MIN_IDLE_TIME.min(keepalive.mul_f64(IDLE_SHARE_OF_KEEPALIVE)))
}

/// How long what is written to a server may stay unacknowledged: as long as the answer to a connect may take, as the same
/// machine answers; and half of the time that a state may be held, as it is sent on until that time is over and the protocol
/// page adds 300 ms.
fn acknowledgement_timeout(config: &Config) -> Duration {
    let release = Duration::from_micros(config.settings.max_hold_time);
    config.connect_timeout.min(release / 2).max(MIN_ACKNOWLEDGEMENT_TIME)
}

/// A client without any repeats of its own.
pub type Plain<B> = Client<HttpConnector, B>;

/// A client that sends each request once: hyper-util would by itself send a request again that a closed connection
/// gave back.
pub fn plain_client<B>(config: &Config, max_idle: usize) -> Plain<B>
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
        // Bounds a head that does not end.
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build(connector)
}

/// A connection that takes a request.
pub struct Connection<B> {
    /// Where requests are handed over.
    pub sender: SendRequest<B>,
    /// What is known of it.
    pub handle: Handle,
    /// Whether it has carried a request before.
    pub kind: ConnectionKind,
}

struct Idle<B> {
    ready: Connection<B>,
    number: u64,
    /// From then on it takes requests.
    quiet_at: Instant,
    /// Dropped as it is taken.
    _taken: oneshot::Sender<()>,
}

struct Shared<B> {
    /// By the servers' addresses; only those that have some.
    idle: Mutex<HashMap<String, Vec<Idle<B>>>>,
    /// Notified as a connection comes free.
    freed: Notify,
    next: AtomicU64,
    idle_timeout: Duration,
    /// What stays unacknowledged for so long breaks its connection (RFC 5482): a machine that is cut off says nothing, and
    /// the system goes on taking in all bytes for it.
    acknowledgement_timeout: Duration,
    max_idle: usize,
    written: Written,
}

/// Connections to all servers; each carries one request at a time.
pub struct Pool<B>(Arc<Shared<B>>);

impl<B> Clone for Pool<B> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Which idle connections will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleChoice {
    /// Those on which nothing has come lately.
    Quiet,
    /// Any: what its answer says is of no account.
    Any,
}

impl<B> Pool<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// An empty one. `written` is told of each request whose last byte has been written.
    pub fn new(config: &Config, written: impl Fn() + Send + Sync + 'static) -> Self {
        Self(Arc::new(Shared {
            idle: Mutex::default(),
            freed: Notify::new(),
            next: AtomicU64::new(0),
            idle_timeout: idle_timeout(config.keepalive, config.settings.dispatcher_count),
            acknowledgement_timeout: acknowledgement_timeout(config),
            max_idle: config.max_idle_per_server(),
            written: Arc::new(written),
        }))
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<Idle<B>>>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to a server: one that is idle, else whichever comes first, a new one or one that comes free.
    /// None comes up after `until`.
    ///
    /// # Errors
    /// What the system says.
    pub async fn connection(
        &self,
        address: &str,
        choice: IdleChoice,
        until: Instant,
    ) -> io::Result<Connection<B>> {
        if let Some(ready) = self.take(address, choice) {
            return Ok(ready);
        }
        tokio::select! {
            opened = self.new_connection(address, until) => opened,
            ready = self.freed(address, choice) => Ok(ready),
        }
    }

    /// A new connection to a server. None comes up after `until`.
    ///
    /// # Errors
    /// What the system says; `TimedOut` where nobody answers. Where a connect began late for want of something on this
    /// machine, that too little time was left says nothing of the server: then it is what was wanting.
    pub async fn new_connection(&self, address: &str, until: Instant) -> io::Result<Connection<B>> {
        let mut failed_here = None;
        loop {
            match timeout_at(until, self.open(address)).await {
                Err(_) => return Err(failed_here.unwrap_or_else(|| io::ErrorKind::TimedOut.into())),
                // It says nothing of the server; what this machine lacks may be there in a moment.
                Ok(Err(error)) if is_transient(&error) && Instant::now() + transient::PAUSE < until => {
                    failed_here = Some(error);
                    sleep_until(Instant::now() + transient::PAUSE).await;
                }
                Ok(opened) => return opened,
            }
        }
    }

    /// The connection that was used last: the others may expire.
    fn take(&self, address: &str, choice: IdleChoice) -> Option<Connection<B>> {
        let (mut all, now) = (self.idle(), Instant::now());
        let idle = all.get_mut(address)?;
        idle.retain(|idle| !idle.ready.sender.is_closed());
        let at = idle.iter().rposition(|idle| choice == IdleChoice::Any || idle.quiet_at <= now)?;
        Some(Connection { kind: ConnectionKind::Kept, ..idle.remove(at).ready })
    }

    async fn freed(&self, address: &str, choice: IdleChoice) -> Connection<B> {
        loop {
            self.0.freed.notified().await;
            if let Some(ready) = self.take(address, choice) {
                return ready;
            }
        }
    }

    async fn open(&self, address: &str) -> io::Result<Connection<B>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        // Where the system can't, an attempt's own time-out ends it, later.
        if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(self.0.acknowledgement_timeout))
        {
            debug!(address, reason:% = error; "connection: no time-out for acknowledgements");
        }
        let (stream, opened) = Stream::new(stream, self.0.written.clone());
        let (sender, connection) = http1::Builder::new()
            // Bounds a head that does not end.
            .max_buf_size(MAX_HEAD_BYTES)
            // A line that can't be read, a load report's say, spoils no answer that is good otherwise.
            .ignore_invalid_headers_in_responses(true)
            .handshake(stream)
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // How it ends, its requests are told.
            let _ = connection.await;
        });
        let handle = opened.handle(task.abort_handle());
        Ok(Connection { sender, handle, kind: ConnectionKind::New })
    }

    /// Keeps a connection for the next request, once its answer has come to its end.
    pub fn keep(&self, address: String, ready: Connection<B>) {
        let pool = self.clone();
        tokio::spawn(async move { pool.keep_until_taken(&address, ready).await });
    }

    async fn keep_until_taken(&self, address: &str, mut ready: Connection<B>) {
        if ready.sender.ready().await.is_err() {
            return;
        }
        let (number, now) = (self.0.next.fetch_add(1, Ordering::Relaxed), Instant::now());
        let closed = ready.handle.clone().closed();
        let (_taken, mut taken) = oneshot::channel();
        {
            let mut all = self.idle();
            let idle = all.entry(address.to_owned()).or_default();
            if idle.len() >= self.0.max_idle {
                return;
            }
            idle.push(Idle { ready, number, quiet_at: now + QUIET_TIME, _taken });
        }
        let stays = async {
            sleep_until(now + QUIET_TIME).await;
            self.0.freed.notify_waiters();
            sleep_until(now + self.0.idle_timeout.max(QUIET_TIME)).await;
        };
        tokio::select! {
            _ = &mut taken => {}
            () = closed => {}
            () = stays => {}
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
