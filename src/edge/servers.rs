//! Communication with servers: attempts ([`Servers::attempt`]), the relay of their streams ([`relay`]), and the
//! release of the state that servers hold ([`release`]).
//!
//! The outcome of an attempt says whether it may have run. Only two things prove that it has not: its last byte
//! was never written, or the server itself says so ([`progress`], [`answer`]).

mod answer;
mod last_answers;
mod payload;
mod progress;
mod relay;
mod release;
mod report;
mod send_error;
mod stall_timer;
mod unanswered_releases;

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use log::debug;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::edge::connections::{Connection, ConnectionHandle, IdleChoice, Pool};
use crate::edge::servers::answer::read_answer;
pub use crate::edge::servers::answer::{AttemptOutcome, OpenedStream};
pub use crate::edge::servers::last_answers::LastAnswers;
pub use crate::edge::servers::payload::Payload;
use crate::edge::servers::progress::AttemptBody;
pub use crate::edge::servers::progress::Progress;
pub use crate::edge::servers::relay::{Cut, Relay, StreamEndListener};
use crate::edge::servers::send_error::SendError;
pub use crate::edge::servers::unanswered_releases::{UnansweredReleases, BEFORE_READ_TIMEOUT};
use crate::edge::settings::Config;
use crate::edge::stats::Figures;
use crate::edge::transient::is_transient;
use crate::interface::{Outcome, RequestId};

/// The header with the idempotency key, by which a retry is recognized; from clients and to servers.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// One attempt: a request that is sent to one server, once.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The address on which the server listens.
    pub address: String,
    /// The request to send.
    pub payload: Arc<Payload>,
    /// Whether the server is to read only. It answers a read with 202, and a write with 200 and a stream; the
    /// success status of the other one is an error.
    pub reads: bool,
    /// When the reducer cancels the attempt at the latest. The time left until then is sent to the server.
    pub attempt_deadline: Instant,
    /// Writing the request must begin before this time. If the request is only partly written at this time, the
    /// attempt fails.
    pub begin_by: Instant,
    /// Whether the attempt must open a new connection, which is closed afterwards instead of being kept.
    pub new_connection: bool,
    /// The attempt waits until these are answered, or for [`BEFORE_READ_TIMEOUT`] at most: a release that
    /// arrives after the read would free the state that the read leaves.
    pub unanswered_releases: Option<UnansweredReleases>,
}

/// Sends attempts and releases to the servers. Clones share one connection pool.
#[derive(Clone)]
pub struct Servers {
    pool: Pool<AttemptBody>,
    last_answers: LastAnswers,
    connect_timeout: Duration,
    stall: Duration,
}

impl Servers {
    /// Creates the connection pool for a configuration. `figures` count the attempts that were written whole.
    #[must_use]
    pub fn new(config: &Config, figures: Figures) -> Self {
        let written = move || figures.record().sent_whole += 1;
        Self {
            pool: Pool::new(config, written),
            last_answers: LastAnswers::default(),
            connect_timeout: config.connect_timeout,
            stall: config.stall,
        }
    }

    /// Sends a request to its server once, without retries. A message on `stop` cancels the attempt.
    pub async fn attempt(
        self,
        attempt: Attempt,
        progress: Arc<Progress>,
        stop: oneshot::Receiver<()>,
    ) -> AttemptOutcome {
        let outcome = tokio::select! {
            biased;
            Ok(()) = stop => None,
            outcome = self.send(&attempt, &progress) => Some(outcome),
        };
        match outcome {
            Some(outcome) => outcome,
            None if progress.cancel_before_write() => {
                progress.close().await;
                AttemptOutcome::Stopped { written: progress.written() }
            }
            None => AttemptOutcome::CancelledBeforeWrite,
        }
    }

    /// Sends the request of an attempt over a connection, and reads the response up to the first event of a stream.
    async fn send(&self, attempt: &Attempt, progress: &Arc<Progress>) -> AttemptOutcome {
        if let Some(unanswered_releases) = &attempt.unanswered_releases {
            // A release that no server answers must not block the read.
            let until = attempt.begin_by.min(Instant::now() + BEFORE_READ_TIMEOUT);
            let _ = timeout_at(until, unanswered_releases.clone().all_answered()).await;
        }
        let address = &attempt.address;
        let mut connection = match self.connect(attempt).await {
            Ok(connection) => connection,
            // The failure is local, so it does not count against the server.
            Err(error) if is_transient(&error) => {
                debug!(address = address.as_str(), reason:% = error; "attempt: not sent; local failure");
                return AttemptOutcome::Ended(Outcome::NotSent.into());
            }
            Err(error) => return never_executed(address, &error),
        };
        let handle = connection.handle.clone();
        progress.set_connection(handle.clone(), connection.kind);
        let request = match request(attempt, progress) {
            Ok(request) => request,
            Err(error) => return never_executed(address, &error),
        };
        match send_on(&mut connection, request, attempt.begin_by).await {
            Ok(response) => {
                self.last_answers.record(address);
                // A connection that no other request may use would only occupy a connection slot at the server.
                if !attempt.new_connection {
                    self.pool.keep(address.clone(), connection);
                }
                read_answer(response, attempt.reads, handle).await
            }
            Err(error) => not_answered(address, &error, progress, handle).await,
        }
    }

    /// Opens or reuses a connection for an attempt. An existing connection may have gone silent without any
    /// error: the local system accepts all that is written to it, and a machine in between may acknowledge it.
    /// Only waiting shows that, and held state leaves no time to wait: then the attempt asks for a new
    /// connection.
    async fn connect(&self, attempt: &Attempt) -> std::io::Result<Connection<AttemptBody>> {
        let connect_by = attempt.begin_by.min(Instant::now() + self.connect_timeout);
        if attempt.new_connection {
            self.pool.new_connection(&attempt.address, connect_by).await
        } else {
            self.pool.connection(&attempt.address, IdleChoice::Quiet, connect_by).await
        }
    }

    /// Releases all state that is held for a request. The release is sent to these servers in turn, until one
    /// has answered; returns whether one has.
    pub async fn release(&self, transaction: &str, addresses: &[String]) -> bool {
        release::release(&self.pool, &self.last_answers, transaction, addresses).await
    }

    /// The times at which servers last answered.
    #[must_use]
    pub fn last_answers(&self) -> &LastAnswers {
        &self.last_answers
    }

    /// Relays the stream of an attempt to its client; `listener` is told how the relay ends.
    #[must_use]
    pub fn relay(
        &self,
        opened: Box<OpenedStream>,
        id: RequestId,
        attempt: u32,
        listener: Box<dyn StreamEndListener>,
    ) -> Relay {
        Relay::new(opened, self.stall, id, attempt, listener)
    }
}

/// Builds the request of an attempt. It is built only once the connection is open, so that the remaining time
/// in it is up to date: a server must not wait longer than the client does.
fn request(attempt: &Attempt, progress: &Arc<Progress>) -> Result<Request<AttemptBody>, hyper::http::Error> {
    let payload = &attempt.payload;
    let body = AttemptBody::new(payload.body.clone(), attempt.begin_by, progress.clone());
    let remaining = attempt.attempt_deadline.saturating_duration_since(Instant::now());
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(payload.target.as_str())
        .header(HOST, &attempt.address)
        .header("x-txn", &payload.txn)
        .header("x-remaining", format!("{:.3}", remaining.as_secs_f64()))
        .header(CONTENT_TYPE, "application/json");
    if let Some(key) = &payload.key {
        request = request.header(IDEMPOTENCY_KEY, key);
    }
    request.body(body)
}

/// Sends a request over a connection. A request that is written in part only by `begin_by` is given up, as if
/// no connection had been established.
async fn send_on(
    connection: &mut Connection<AttemptBody>,
    request: Request<AttemptBody>,
    begin_by: Instant,
) -> Result<Response<Incoming>, SendError> {
    let handle = connection.handle.clone();
    let stuck = async {
        sleep_until(begin_by).await;
        if !handle.is_writing() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        sent = connection.sender.try_send_request(request) =>
            sent.map_err(|error| SendError::from(error.into_error())),
        () = stuck => Err(SendError::Stuck),
    }
}

/// The outcome of an attempt whose connection gave no response. The attempt may have run, unless its last byte
/// was never written.
async fn not_answered(
    address: &str,
    error: &SendError,
    progress: &Progress,
    handle: ConnectionHandle,
) -> AttemptOutcome {
    handle.close().await;
    if !progress.written() {
        return never_executed(address, error);
    }
    debug!(address, reason:% = error; "attempt: no answer; it may have been executed");
    AttemptOutcome::Ended(error.outcome().into())
}

fn never_executed(address: &str, error: &dyn std::fmt::Display) -> AttemptOutcome {
    debug!(address, reason:% = error; "attempt: not sent; never executed");
    AttemptOutcome::Ended(Outcome::ConnectFailed.into())
}

/// The text of a header without surrounding blanks, `None` if it is missing or not visible ASCII.
#[must_use]
pub fn header<'a>(headers: &'a HeaderMap<HeaderValue>, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}
