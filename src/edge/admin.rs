//! The second address, for the staff and the platform: each connection carries one line, is answered and closed.
//! `READY` says whether this process can serve, `STATS` shows the figures, `HELD` those of state that servers hold, and
//! `REQUESTS` the histories of open requests.
//!
//! It runs on a thread of its own, so that a caller does not wait behind all that a busy dispatcher has to do.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use log::{error, warn};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{timeout_at, Instant};

use crate::edge::accept::accept;
use crate::edge::balancers::Health;
use crate::edge::cluster::View;
use crate::edge::driver::{DriverHandle, Message};
use crate::edge::tcp::UninterruptedStream;

/// Callers at once. The oldest that has not sent its line yet makes room for a new one.
const MAX_CALLERS: usize = 16;
/// But each has so long to send it, however many others come.
const MIN_LINE_TIME: Duration = Duration::from_millis(100);
/// A line that has not come by then is not waited for.
const LINE_TIMEOUT: Duration = Duration::from_secs(6);
/// A caller that does not read its answer by then is not waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// What a caller sends behind its line is read for so long: unread, it would take the answer along.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// What only the driver knows is waited for so long: a busy one is late, and callers wait for 1 s.
const DRIVER_TIMEOUT: Duration = Duration::from_millis(700);
/// A line holds so many bytes at most.
const MAX_LINE_BYTES: usize = 256;
/// After an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Descriptors of the second address: its listener, its runtime's own, its callers.
pub const DESCRIPTORS: usize = MAX_CALLERS + 6;

/// Where answers come from.
#[derive(Clone)]
pub struct Sources {
    /// Whether this process can serve, and its figures.
    pub health: Health,
    /// The members of the cluster, where there is one.
    pub cluster: Option<View>,
    /// Open requests and held state.
    pub driver: DriverHandle,
}

impl Sources {
    /// Asks the driver, and adds the line that ends its answer.
    async fn ask_driver(&self, message: impl FnOnce(oneshot::Sender<String>) -> Message) -> String {
        let (reply, replied) = oneshot::channel();
        self.driver.send(message(reply));
        match timeout_at(Instant::now() + DRIVER_TIMEOUT, replied).await {
            Ok(Ok(lines)) => format!("{lines}END\n"),
            _ => "ERR the driver is busy\n".to_owned(),
        }
    }
}

/// The thread that answers; it ends when this is dropped.
#[derive(Debug)]
pub struct Admin {
    address: SocketAddr,
    _end: oneshot::Sender<()>,
}

impl Admin {
    /// Listens at `address` and answers from then on.
    ///
    /// # Errors
    /// What the system says.
    pub fn start(address: SocketAddr, sources: Sources) -> io::Result<Self> {
        let socket = std::net::TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (end, ended) = oneshot::channel();
        let serve = move || {
            runtime.block_on(async {
                match TcpListener::from_std(socket) {
                    Ok(listener) => tokio::select! {
                        () = serve(listener, sources) => {}
                        _ = ended => {}
                    },
                    Err(what) => error!(reason:% = what; "second address: not started"),
                }
            });
        };
        std::thread::Builder::new().name("admin".to_owned()).spawn(serve)?;
        Ok(Self { address, _end: end })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Answers callers for ever.
pub async fn serve(listener: TcpListener, sources: Sources) {
    let mut callers: VecDeque<(Instant, JoinHandle<()>)> = VecDeque::new();
    loop {
        let stream = match accept(&listener).await {
            Ok(stream) => stream,
            Err(error) => {
                warn!(reason:% = error; "second address: accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        callers.retain(|(_, caller)| !caller.is_finished());
        if callers.len() >= MAX_CALLERS {
            if let Some((since, caller)) = callers.pop_front() {
                tokio::time::sleep_until(since + MIN_LINE_TIME).await;
                caller.abort();
            }
        }
        let now = Instant::now();
        let answering = tokio::spawn(answer(stream, sources.clone(), now + LINE_TIMEOUT));
        callers.push_back((now, answering));
    }
}

async fn answer(stream: TcpStream, sources: Sources, by: Instant) {
    let mut stream = UninterruptedStream(stream);
    let response = match timeout_at(by, read_line(&mut stream)).await {
        Ok(Ok(line)) => response(&line, &sources).await,
        Ok(Err(what)) => format!("ERR {what}\n"),
        Err(_) => "ERR no line came\n".to_owned(),
    };
    let write = async {
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await
    };
    // A caller that has left, or does not read, has no use for the answer.
    if let Ok(Ok(())) = timeout_at(Instant::now() + ANSWER_TIMEOUT, write).await {
        let mut nowhere = tokio::io::sink();
        let _ = timeout_at(Instant::now() + LINGER_TIME, tokio::io::copy(&mut stream, &mut nowhere)).await;
    }
}

/// Why a caller's line can't be answered; the words are part of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum LineError {
    #[error("the line is too long")]
    TooLong,
    #[error("no line came")]
    Absent,
    #[error("the line can't be read")]
    Unreadable,
}

/// The line that a caller sends, without its end; a caller that has no more to send has come to its end too.
async fn read_line(stream: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>, LineError> {
    let mut line = Vec::with_capacity(MAX_LINE_BYTES);
    loop {
        if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
            line.truncate(end);
            return Ok(line);
        }
        if line.len() >= MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        match stream.read_buf(&mut line).await {
            Ok(0) if line.is_empty() => return Err(LineError::Absent),
            Ok(0) => return Ok(line),
            Ok(_) => {}
            Err(_) => return Err(LineError::Unreadable),
        }
    }
}

async fn response(line: &[u8], sources: &Sources) -> String {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if let (Some(cluster), Some(path)) = (&sources.cluster, line.strip_prefix(b"GET ")) {
        return http(path, cluster);
    }
    match line {
        b"READY" => match sources.health.ready() {
            Ok(()) => "OK ready\n".to_owned(),
            Err(why) => format!("ERR not ready: {why}\n"),
        },
        b"STATS" => format!("{}END\n", sources.health.figures().record().lines()),
        b"HELD" => sources.ask_driver(Message::DescribeHeldState).await,
        b"REQUESTS" => sources.ask_driver(Message::DescribeRequests).await,
        b"" => "ERR the line is empty\n".to_owned(),
        _ => "ERR not known; READY, STATS, HELD and REQUESTS are\n".to_owned(),
    }
}

/// The answer to an HTTP client, where there is a cluster to tell of. The connection ends with it.
fn http(request: &[u8], cluster: &View) -> String {
    let (status, body) = if request.starts_with(b"/cluster/members HTTP/1.") {
        ("200 OK", cluster.json())
    } else {
        ("404 Not Found", serde_json::json!({"error": "not known; /cluster/members is"}))
    };
    let (body, kind) = (format!("{body}\n"), "application/json");
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
}
