//! What all fronts share: accepting connections within bounds, and ending them in good order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::header::{CONNECTION, RETRY_AFTER};
use axum::http::{HeaderValue, Response, StatusCode};
use axum::Router;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};

/// How long a client may take to send a request's head, and how long a connection may stand idle.
const HEAD: Duration = Duration::from_secs(30);
/// A client that takes in nothing of what is sent for so long is cut.
const DEAF: Duration = Duration::from_secs(30);
const HEAD_BYTES: usize = 64 << 10;
/// Connections over the bound that are told so at once, before any more are left to wait.
const TOLD: usize = 32;
/// After an accept that failed, for want of descriptors say.
const PAUSE: Duration = Duration::from_millis(20);
const BACKLOG: u32 = 1_024;

/// How far the program has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It has been told to end: it serves on, but asks clients to leave with every answer.
    Leaving,
    /// Idle connections are closed and no new ones taken.
    Closing,
}

/// Bounds on connections, shared by all fronts.
#[derive(Clone, Debug)]
pub struct Bounds {
    served: Arc<Semaphore>,
    told: Arc<Semaphore>,
}

impl Bounds {
    /// So many connections are served at once.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { served: Arc::new(Semaphore::new(most)), told: Arc::new(Semaphore::new(TOLD)) }
    }

    /// A permit to tell a client that there is no room; waits where even that is too many.
    async fn to_tell(&self) -> Option<OwnedSemaphorePermit> {
        self.told.clone().acquire_owned().await.ok()
    }

    /// A permit to serve, if there is room.
    fn to_serve(&self) -> Option<OwnedSemaphorePermit> {
        self.served.clone().try_acquire_owned().ok()
    }
}

/// Listens on this address only.
///
/// # Errors
/// What the system says.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves a front until the phase is closing; returns once all its connections have ended.
pub async fn serve(listener: TcpListener, front: Router, bounds: Bounds, mut phase: watch::Receiver<Phase>) {
    // Every connection holds a clone: once all are dropped, all connections have ended.
    let (running, mut ended) = mpsc::channel::<()>(1);
    loop {
        let accepted = async {
            let told = bounds.to_tell().await;
            (listener.accept().await, told)
        };
        let (accepted, told) = tokio::select! {
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
            accepted = accepted => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("listener: can't accept: {error}");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        // Asked for only now: room that was found, or missed, before a client came is an old tale by then.
        let served = bounds.to_serve();
        let serves = served.is_some();
        let permit = served.or(told);
        let (front, phase, running) = (front.clone(), phase.clone(), running.clone());
        tokio::spawn(async move {
            connection(stream, front, serves, phase).await;
            drop((permit, running));
        });
    }
    drop((listener, running));
    let _ = ended.recv().await;
}

async fn connection(stream: TcpStream, front: Router, serves: bool, mut phase: watch::Receiver<Phase>) {
    // Events are passed on as they come: none may wait for more to fill a segment.
    let _ = stream.set_nodelay(true);
    // A client that vanished on a poor link, or reads no more, would hold its stream and its server for ever.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(DEAF));
    let at = phase.clone();
    let service = service_fn(move |request| {
        let (mut front, at) = (front.clone(), at.clone());
        async move {
            let mut response =
                if serves { tower_service::Service::call(&mut front, request).await? } else { crowded() };
            if !serves || *at.borrow() > Phase::Serving {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// The answer where there is no room for another connection.
fn crowded() -> Response<Body> {
    let mut response = Response::new(Body::from("too many connections\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
