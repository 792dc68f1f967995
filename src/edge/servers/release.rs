//! The release of what servers hold for a request.

use std::time::Duration;

use http_body_util::{BodyExt as _, Limited};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use log::{debug, warn};
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

use crate::edge::connections::{IdleChoice, Pool};
use crate::edge::servers::answer::MAX_ANSWER_BYTES;
use crate::edge::servers::last_answers::LastAnswers;
use crate::edge::servers::progress::AttemptBody;

/// A release that has no answer yet asks one more server after each such step, waits so long for each, and goes on
/// for so long. What is held is to be let go within half a second, and where the network is split several servers
/// in a row may be silent.
const STEP: Duration = Duration::from_millis(40);
const TRY_TIMEOUT: Duration = Duration::from_millis(160);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Over which connection a server is asked for a release.
#[derive(Clone, Copy, Debug)]
enum ReleaseConnection {
    /// Any that is open, else a new one.
    Any,
    /// A new one: those that are open may have fallen silent, one and all.
    New,
}

impl ReleaseConnection {
    /// Servers that have no place for a new connection still have the open ones.
    const EACH_IN_TURN: [Self; 2] = [Self::Any, Self::New];
}

/// Why a server has not released what it holds.
#[derive(Debug, Error)]
enum ReleaseError {
    /// The id or the address is no part of a request.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// No connection.
    #[error("{0}")]
    Connect(std::io::Error),
    /// The connection broke.
    #[error("{0}")]
    Send(hyper::Error),
    /// The server refused.
    #[error("status {}", .0.as_u16())]
    Status(StatusCode),
    /// No answer in time.
    #[error("no answer")]
    Timeout,
}

/// Has everything that is held for a request released: the holder is asked first, then, as any server takes the call, the
/// others, until one has answered; whether one has. It takes the connection on which the holder has just answered a read: where a server's
/// places for connections are all taken, a new one would be refused. Each second try goes over a new one.
pub(super) async fn release(
    pool: &Pool<AttemptBody>,
    last_answers: &LastAnswers,
    transaction: &str,
    addresses: &[String],
) -> bool {
    if addresses.is_empty() {
        warn!(transaction; "release: no server to ask for the release of what is held");
    }
    let end = Instant::now() + RELEASE_TIMEOUT;
    // Dropped at the return, and with it all tries that are still out.
    let mut tries = JoinSet::new();
    let connections = ReleaseConnection::EACH_IN_TURN.into_iter().cycle();
    for (address, connection) in addresses.iter().cycle().zip(connections) {
        let start = Instant::now();
        if start >= end {
            warn!(transaction; "release: no server took the release of what is held");
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
        // One that refuses at once must not be asked in a tight loop: its step is waited for all the same.
        if timeout_at(start + STEP, any_released(&mut tries)).await.is_ok() {
            return true;
        }
    }
    false
}

/// Waits until a server has released what it held.
async fn any_released(tries: &mut JoinSet<bool>) {
    while let Some(released) = tries.join_next().await {
        if released.is_ok_and(|released| released) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Asks one server to release what is held; whether it says that it has.
async fn release_at(
    pool: &Pool<AttemptBody>,
    transaction: &str,
    address: &str,
    connection: ReleaseConnection,
    until: Instant,
) -> bool {
    let answer = ask(pool, transaction, address, connection, until);
    let released = timeout_at(until, answer).await.unwrap_or(Err(ReleaseError::Timeout));
    if let Err(error) = &released {
        debug!(transaction, address, reason:% = error; "release: not taken");
    }
    released.is_ok()
}

async fn ask(
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
    // Read to its end, so that the connection can be used again; how it ends does not matter.
    let _ = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    if status.is_success() {
        Ok(())
    } else {
        Err(ReleaseError::Status(status))
    }
}
