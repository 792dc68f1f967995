//! The release of the state that servers hold for a request.

use std::time::Duration;

use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use log::{debug, warn};
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

use crate::edge::connections::{IdleChoice, Pool};
use crate::edge::contiguous_body::collect;
use crate::edge::servers::answer::{DRAIN_TIME, MAX_ANSWER_BYTES};
use crate::edge::servers::last_answers::LastAnswers;
use crate::edge::servers::progress::AttemptBody;

/// Interval at which a release without an answer is sent to one more server. Held state must be released within
/// 500 ms, and in a network split several servers in a row may be silent.
const NEXT_SERVER_INTERVAL: Duration = Duration::from_millis(40);
/// How long a release waits for the answer of one server.
const TRY_TIMEOUT: Duration = Duration::from_millis(160);
/// How long a release goes on without an answer of any server.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// The kind of connection over which a release is sent to a server.
#[derive(Clone, Copy, Debug)]
enum ReleaseConnection {
    /// An idle connection, or a new one if there is none.
    Any,
    /// A new connection: all open ones may have fallen silent.
    New,
}

impl ReleaseConnection {
    /// Servers without a free connection slot can still be reached over open connections, so both kinds take
    /// turns.
    const ALTERNATION: [Self; 2] = [Self::Any, Self::New];
}

/// Why a server has not released the state.
#[derive(Debug, Error)]
enum ReleaseError {
    /// The request id or the address can't be part of an HTTP request.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// No connection could be opened.
    #[error("{0}")]
    Connect(std::io::Error),
    /// The connection broke before the response.
    #[error("{0}")]
    Send(hyper::Error),
    /// The server answered with a status other than 2xx.
    #[error("status {}", .0.as_u16())]
    Status(StatusCode),
    /// The server did not answer in time.
    #[error("no answer")]
    Timeout,
}

/// Releases all state that is held for a request. The holder, the first of the addresses, is asked first, then
/// the others, as any server accepts the call, until one has answered; returns whether one has. The first try
/// takes the connection on which the holder has just answered a read: if all connection slots of the server are
/// taken, a new connection would be refused. Every second try uses a new connection.
pub(super) async fn release(
    pool: &Pool<AttemptBody>,
    last_answers: &LastAnswers,
    transaction: &str,
    addresses: &[String],
) -> bool {
    if addresses.is_empty() {
        warn!(transaction; "release: no server address to send the release of held state to");
    }
    let give_up_at = Instant::now() + RELEASE_TIMEOUT;
    // Dropping the set at the return aborts all tries that are still in flight.
    let mut tries = JoinSet::new();
    let connections = ReleaseConnection::ALTERNATION.into_iter().cycle();
    for (address, connection) in addresses.iter().cycle().zip(connections) {
        let start = Instant::now();
        if start >= give_up_at {
            warn!(transaction; "release: no server confirmed the release of held state");
            return false;
        }
        let (pool, last_answers) = (pool.clone(), last_answers.clone());
        let (transaction, address) = (transaction.to_owned(), address.clone());
        tries.spawn(async move {
            let released = release_at(&pool, &transaction, &address, connection, start + TRY_TIMEOUT).await;
            if released {
                last_answers.record(&address);
            }
            released
        });
        // The full interval passes even if a server refuses at once: servers must not be asked in a tight loop.
        if timeout_at(start + NEXT_SERVER_INTERVAL, any_released(&mut tries)).await.is_ok() {
            return true;
        }
    }
    false
}

/// Waits until one of the tries has succeeded; forever if none does.
async fn any_released(tries: &mut JoinSet<bool>) {
    while let Some(released) = tries.join_next().await {
        if released.is_ok_and(|released| released) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Sends the release to one server; returns whether the server has confirmed it.
async fn release_at(
    pool: &Pool<AttemptBody>,
    transaction: &str,
    address: &str,
    connection: ReleaseConnection,
    until: Instant,
) -> bool {
    let answer = send_release(pool, transaction, address, connection, until);
    let released = timeout_at(until, answer).await.unwrap_or(Err(ReleaseError::Timeout));
    if let Err(error) = &released {
        debug!(transaction, address, reason:% = error; "release: server did not confirm");
    }
    released.is_ok()
}

/// Sends the release to one server, and reads the response.
async fn send_release(
    pool: &Pool<AttemptBody>,
    transaction: &str,
    address: &str,
    connection: ReleaseConnection,
    until: Instant,
) -> Result<(), ReleaseError> {
    let request = Request::builder()
        .method(Method::DELETE)
        .uri(format!("/kv/leases/{transaction}"))
        .header(HOST, address)
        .body(AttemptBody::empty())?;
    let connected = match connection {
        ReleaseConnection::Any => pool.connection(address, IdleChoice::Any, until).await,
        ReleaseConnection::New => pool.new_connection(address, until).await,
    };
    let mut ready = connected.map_err(ReleaseError::Connect)?;
    let response = ready.sender.send_request(request).await.map_err(ReleaseError::Send)?;
    pool.keep(address.to_owned(), ready);
    let status = response.status();
    // The body is read to its end, if that comes soon, so that the connection can be reused. Nothing in it matters.
    let rest = collect(response.into_body(), MAX_ANSWER_BYTES);
    tokio::spawn(timeout_at(Instant::now() + DRAIN_TIME, rest));
    if status.is_success() {
        Ok(())
    } else {
        Err(ReleaseError::Status(status))
    }
}
