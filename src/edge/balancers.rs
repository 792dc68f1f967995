//! Health checks for load balancers in front of the dispatcher: HTTP endpoints, and the one-line reply that
//! HAProxy's agent check reads from a plain TCP connection.

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
use crate::edge::tcp::UninterruptedStream;

/// Time a balancer has to read its agent check line; also the pause after an accept that failed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why this process can't serve. The error texts are part of the admin command `READY`'s reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReady {
    /// Another process still holds the limits; this one does not listen yet.
    #[error("not listening yet")]
    Joining,
    /// The server list has no servers that together can serve both stages of a request.
    #[error("no servers are known that can serve")]
    NoServers,
    /// This process is shutting down.
    #[error("told to end")]
    Leaving,
}

/// The state that health checks are answered from.
#[derive(Clone, Debug)]
pub struct Health {
    figures: Figures,
    phase: watch::Receiver<Phase>,
    max_open_requests: usize,
}

impl Health {
    /// Answers health checks from these statistics and this phase; `max_open_requests` open requests are a
    /// full load.
    #[must_use]
    pub fn new(figures: Figures, phase: watch::Receiver<Phase>, max_open_requests: usize) -> Self {
        Self { figures, phase, max_open_requests }
    }

    fn is_shutting_down(&self) -> bool {
        *self.phase.borrow() > Phase::Serving
    }

    /// The request statistics, as the admin interface shows them.
    #[must_use]
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Whether this process itself can serve requests now.
    ///
    /// # Errors
    /// The reason why it can't.
    pub fn ready(&self) -> Result<(), NotReady> {
        match *self.phase.borrow() {
            Phase::Joining => Err(NotReady::Joining),
            Phase::Serving if !self.figures.serves() => Err(NotReady::NoServers),
            Phase::Serving => Ok(()),
            Phase::Leaving | Phase::Yielding | Phase::Closing | Phase::Ending => Err(NotReady::Leaving),
        }
    }

    /// The line that answers an agent check: `drain` during shutdown, `down` while not
    /// [`ready`](Self::ready), else `ready up` with the percentage of `max_open_requests` that is free, at
    /// least 1%.
    #[must_use]
    pub fn agent_check_line(&self) -> String {
        if self.is_shutting_down() {
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

/// The routes `GET /health/ready` (503 while [`Health::ready`] fails) and `GET /health/live` (200 as long as
/// the process runs).
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

/// Serves agent checks one after the other; each reply is one short line.
pub async fn agent_check(listener: TcpListener, health: Health) {
    loop {
        match accept(&listener).await {
            Ok(stream) => write_line(stream, &health.agent_check_line()).await,
            Err(error) => {
                warn!(reason:% = error; "agent check: accept failed");
                tokio::time::sleep(WRITE_TIMEOUT).await;
            }
        }
    }
}

async fn write_line(stream: TcpStream, line: &str) {
    let mut stream = UninterruptedStream(stream);
    let write = async {
        stream.write_all(line.as_bytes()).await?;
        stream.shutdown().await
    };
    // A balancer that has closed its connection needs no reply.
    let _ = timeout_at(Instant::now() + WRITE_TIMEOUT, write).await;
}
