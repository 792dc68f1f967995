//! Servers: attempts ([`Servers::attempt`]), the relay of their streams ([`relay`]), and the release of what they hold
//! ([`release`]).
//!
//! What an attempt comes to says whether it may have been executed: only a last byte that was never written, or a server's
//! own word, proves that it was not ([`progress`], [`answer`]).

mod answer;
mod last_answers;
mod payload;
mod progress;
mod relay;
mod release;
mod report;
mod send_error;
mod unanswered_releases;

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use log::debug;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::edge::connections::{Connection, Handle, IdleChoice, Pool};
use crate::edge::servers::answer::read_answer;
pub use crate::edge::servers::answer::{AttemptOutcome, Opened};
pub use crate::edge::servers::last_answers::LastAnswers;
pub use crate::edge::servers::payload::Payload;
use crate::edge::servers::progress::AttemptBody;
pub use crate::edge::servers::progress::Progress;
pub use crate::edge::servers::relay::{Cut, Relay, StreamEnd};
use crate::edge::servers::send_error::SendError;
pub use crate::edge::servers::unanswered_releases::{UnansweredReleases, BEFORE_READ};
use crate::edge::settings::Config;
use crate::edge::stats::Figures;
use crate::edge::transient::is_transient;
use crate::interface::{Outcome, RequestId};

/// The header by which a repeat is known, from clients and at servers.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// One sending of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where the server listens.
    pub address: String,
    /// What is sent.
    pub payload: Arc<Payload>,
    /// Whether the server is to read only: then it answers so, and any other server does not.
    pub reads: bool,
    /// How long the server may take.
    pub until: Instant,
    /// Nothing of it is written from then on.
    pub begin_by: Instant,
    /// It may go over a new connection only, which is not used again.
    pub new_connection: bool,
    /// It begins once these are answered, or have had their time: a release that comes later would let go of what it reads.
    pub after: Option<UnansweredReleases>,
}

/// The servers, as attempts reach them.
#[derive(Clone)]
pub struct Servers {
    pool: Pool<AttemptBody>,
    last_answers: LastAnswers,
    connect_timeout: Duration,
    stall: Duration,
}

impl Servers {
    /// The servers of a configuration.
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

    /// Sends a request once; `stop` gives the attempt up.
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
            None if progress.call_off() => {
                progress.close().await;
                AttemptOutcome::Stopped { written: progress.written() }
            }
            None => AttemptOutcome::CalledOff,
        }
    }

    async fn send(&self, attempt: &Attempt, progress: &Arc<Progress>) -> AttemptOutcome {
        if let Some(after) = &attempt.after {
            // One that nobody answers is not waited for.
            let until = attempt.begin_by.min(Instant::now() + BEFORE_READ);
            let _ = timeout_at(until, after.clone().answered()).await;
        }
        let address = &attempt.address;
        let mut ready = match self.connect(attempt).await {
            Ok(ready) => ready,
            // Not the server's doing: nothing is held against it.
            Err(error) if is_transient(&error) => {
                debug!(address = address.as_str(), reason:% = error; "attempt: not sent for want of something here");
                return AttemptOutcome::Ended(Outcome::NotSent.into());
            }
            Err(error) => return never_executed(address, &error),
        };
        let handle = ready.handle.clone();
        progress.set_connection(handle.clone(), ready.kind);
        let request = match request(attempt, progress) {
            Ok(request) => request,
            Err(error) => return never_executed(address, &error),
        };
        match send_on(&mut ready, request, attempt.begin_by).await {
            Ok(response) => {
                self.last_answers.record(address);
                // One that nothing else may be sent over would only take a place at the server.
                if !attempt.new_connection {
                    self.pool.keep(address.clone(), ready);
                }
                read_answer(response, attempt.reads, handle).await
            }
            Err(error) => not_answered(address, &error, progress, handle).await,
        }
    }

    /// A connection for an attempt. One that was open before may have fallen silent with no error: the system takes all
    /// that is written, and something between may acknowledge it. Nothing shows that but waiting, for which what is held
    /// has no time.
    async fn connect(&self, attempt: &Attempt) -> std::io::Result<Connection<AttemptBody>> {
        let up_by = attempt.begin_by.min(Instant::now() + self.connect_timeout);
        if attempt.new_connection {
            self.pool.new_connection(&attempt.address, up_by).await
        } else {
            self.pool.connection(&attempt.address, IdleChoice::Quiet, up_by).await
        }
    }

    /// Has everything that is held for a request released, by the first of these servers that takes the call; whether one
    /// has answered that it did.
    pub async fn release(&self, transaction: &str, addresses: &[String]) -> bool {
        release::release(&self.pool, &self.last_answers, transaction, addresses).await
    }

    /// When servers last answered.
    #[must_use]
    pub fn last_answers(&self) -> &LastAnswers {
        &self.last_answers
    }

    /// The relay of an attempt's stream; its end goes to `end`.
    #[must_use]
    pub fn relay(&self, opened: Opened, id: RequestId, attempt: u32, end: Box<dyn StreamEnd>) -> Relay {
        Relay::new(opened, self.stall, id, attempt, end)
    }
}

/// The request of an attempt. It tells what is left now, with the connection up: a server must not wait for longer than
/// the client.
fn request(attempt: &Attempt, progress: &Arc<Progress>) -> Result<Request<AttemptBody>, hyper::http::Error> {
    let payload = &attempt.payload;
    let body = AttemptBody::new(payload.body.clone(), attempt.begin_by, progress.clone());
    let remaining = attempt.until.saturating_duration_since(Instant::now());
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

/// Sends a request over a connection. One that takes only a part of it in time is as one that does not come up.
async fn send_on(
    ready: &mut Connection<AttemptBody>,
    request: Request<AttemptBody>,
    begin_by: Instant,
) -> Result<Response<Incoming>, SendError> {
    let handle = ready.handle.clone();
    let stuck = async {
        sleep_until(begin_by).await;
        if !handle.carrying() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        sent = ready.sender.try_send_request(request) => sent.map_err(|error| SendError::from(error.into_error())),
        () = stuck => Err(SendError::Stuck),
    }
}

/// What an attempt comes to whose connection gave no answer: only a last byte that was not written proves that it was
/// never executed.
async fn not_answered(
    address: &str,
    error: &SendError,
    progress: &Progress,
    handle: Handle,
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

/// A header's text, if it is there and readable.
#[must_use]
pub fn header<'a>(headers: &'a HeaderMap<HeaderValue>, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}
