//! Balancers in front of the dispatcher: health checks by HTTP, and the line that HAProxy's agent check
//! reads from a plain TCP connection.

use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::Router;
use log::warn;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

use crate::edge::accept::accept;
use crate::edge::phase::Phase;
use crate::edge::stats::Figures;
use crate::edge::tcp::Uninterrupted;

/// A balancer that does not read its line by then is not waited for.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why this process can't serve; the words are part of `READY`'s answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReady {
    /// Another process still holds the limits.
    #[error("not listening yet")]
    Joining,
    /// The list has no servers that together can serve a request.
    #[error("no servers are known that can serve")]
    NoServers,
    /// It has been told to end.
    #[error("told to end")]
    Leaving,
}

/// What the dispatcher's health is told from.
#[derive(Clone, Debug)]
pub struct Health {
    figures: Figures,
    phase: watch::Receiver<Phase>,
    max_open_requests: usize,
}

impl Health {
    /// Told from these; `max_open_requests` requests are a full load.
    #[must_use]
    pub fn new(figures: Figures, phase: watch::Receiver<Phase>, max_open_requests: usize) -> Self {
        Self { figures, phase, max_open_requests }
    }

    fn is_leaving(&self) -> bool {
        *self.phase.borrow() > Phase::Serving
    }

    /// The figures.
    #[must_use]
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Whether this process itself can serve.
    ///
    /// # Errors
    /// Why it can't.
    pub fn ready(&self) -> Result<(), NotReady> {
        match *self.phase.borrow() {
            Phase::Joining => Err(NotReady::Joining),
            Phase::Serving if !self.figures.serves() => Err(NotReady::NoServers),
            Phase::Serving => Ok(()),
            Phase::Leaving | Phase::Yielding | Phase::Closing => Err(NotReady::Leaving),
        }
    }

    /// The agent check's line: `drain` once told to end, `down` without servers, else `up` with the share
    /// of requests that there still is room for, 1% at the least.
    #[must_use]
    pub fn line(&self) -> String {
        if self.is_leaving() {
            return "drain\n".to_owned();
        }
        if self.ready().is_err() {
            return "down #no servers\n".to_owned();
        }
        let open = self.figures.open().min(self.max_open_requests);
        let free_percent = 100 * (self.max_open_requests - open) / self.max_open_requests.max(1);
        format!("ready up {}%\n", free_percent.max(1))
    }
}

/// `GET /health/ready` (whether clients may come) and `GET /health/live` (whether the program runs).
pub fn routes(health: Health) -> Router {
    Router::new()
        .route("/health/ready", get(ready))
        .route("/health/live", get(|| async { StatusCode::OK }))
        .with_state(health)
}

async fn ready(State(health): State<Health>) -> StatusCode {
    match health.ready() {
        Ok(()) => StatusCode::OK,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Answers agent checks, one after the other: each is one short line.
pub async fn agent_check(listener: TcpListener, health: Health) {
    loop {
        match accept(&listener).await {
            Ok(stream) => write_line(stream, &health.line()).await,
            Err(error) => {
                warn!(reason:% = error; "agent check: accept failed");
                tokio::time::sleep(WRITE_TIMEOUT).await;
            }
        }
    }
}

async fn write_line(stream: TcpStream, line: &str) {
    let mut stream = Uninterrupted(stream);
    let write = async {
        stream.write_all(line.as_bytes()).await?;
        stream.shutdown().await
    };
    // A balancer that has left has no use for the line.
    let _ = timeout_at(Instant::now() + WRITE_TIMEOUT, write).await;
}
