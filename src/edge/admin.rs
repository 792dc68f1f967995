//! The admin server, which operators and the platform query at the admin address. Each connection carries one command
//! line; the server answers it and closes the connection. `READY` tells whether this process can serve, `STATS` lists
//! the metrics, `HELD` the statistics of the state that servers hold, and `REQUESTS` the histories of open requests.
//! `GET /cluster/members` returns the members of the cluster, if there is one.
//!
//! The server runs on a thread of its own, so that a busy dispatcher does not delay its answers.

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

/// Maximum number of open connections. At the maximum, a new connection closes the oldest one.
const MAX_CONNECTIONS: usize = 16;
/// Minimum time that a connection stays open before a new one may close it.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(100);
/// How long the server waits for the line.
const LINE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long the server waits for the client to read the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long data after the line is read and dropped. Closing a socket with unread data resets the connection, and the
/// client would lose the answer.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// How long the server waits for an answer of the driver, which may be busy; clients wait 1 s.
const DRIVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum length of a line (bytes).
const MAX_LINE_BYTES: usize = 256;
/// The pause after an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of file descriptors that the admin server uses: its connections, its listener and those of its
/// runtime.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 6;

/// Where the admin server gets its answers from.
#[derive(Clone)]
pub struct Sources {
    /// For `READY` and `STATS`: whether this process can serve, and its metrics.
    pub health: Health,
    /// For `GET /cluster/members`: the members of the cluster; `None` if there is no cluster.
    pub cluster: Option<View>,
    /// For `HELD` and `REQUESTS`, which only the driver can answer.
    pub driver: DriverHandle,
}

impl Sources {
    /// Sends the driver a query and returns its lines with the end marker, or an error line if the driver does not
    /// answer within [`DRIVER_TIMEOUT`].
    async fn ask_driver(&self, message: impl FnOnce(oneshot::Sender<String>) -> Message) -> String {
        let (reply, replied) = oneshot::channel();
        self.driver.send(message(reply));
        match timeout_at(Instant::now() + DRIVER_TIMEOUT, replied).await {
            Ok(Ok(lines)) => format!("{lines}END\n"),
            _ => "ERR the driver is busy\n".to_owned(),
        }
    }
}

/// The handle of the admin server's thread, which ends when the handle is dropped.
#[derive(Debug)]
pub struct Admin {
    address: SocketAddr,
    /// Dropping the sender ends the thread.
    _end_sender: oneshot::Sender<()>,
}

impl Admin {
    /// Listens at `address` and starts the thread.
    ///
    /// # Errors
    /// The error of the system call that failed.
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
                    Err(error) => error!(reason:% = error; "second address: listener not started"),
                }
            });
        };
        std::thread::Builder::new().name("admin".to_owned()).spawn(serve)?;
        Ok(Self { address, _end_sender: end })
    }

    /// The address that the server listens at, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Accepts connections and answers each in a task of its own. Never returns.
pub async fn serve(listener: TcpListener, sources: Sources) {
    let mut connections: VecDeque<(Instant, JoinHandle<()>)> = VecDeque::new();
    loop {
        let stream = match accept(&listener).await {
            Ok(stream) => stream,
            Err(error) => {
                warn!(reason:% = error; "second address: accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        connections.retain(|(_, task)| !task.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            if let Some((accepted_at, task)) = connections.pop_front() {
                tokio::time::sleep_until(accepted_at + MIN_CONNECTION_TIME).await;
                task.abort();
            }
        }
        let now = Instant::now();
        let answer_task = tokio::spawn(answer(stream, sources.clone(), now + LINE_TIMEOUT));
        connections.push_back((now, answer_task));
    }
}

/// Answers one connection. The line must arrive before the deadline.
async fn answer(stream: TcpStream, sources: Sources, deadline: Instant) {
    let mut stream = UninterruptedStream(stream);
    let response = match timeout_at(deadline, read_line(&mut stream)).await {
        Ok(Ok(line)) => response(&line, &sources).await,
        Ok(Err(error)) => format!("ERR {error}\n"),
        Err(_) => "ERR no line came\n".to_owned(),
    };
    let write = async {
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await
    };
    // Write errors are ignored: the client has left or does not read.
    if let Ok(Ok(())) = timeout_at(Instant::now() + ANSWER_TIMEOUT, write).await {
        let mut sink = tokio::io::sink();
        let _ = timeout_at(Instant::now() + LINGER_TIME, tokio::io::copy(&mut stream, &mut sink)).await;
    }
}

/// Why a line can't be answered. The texts are part of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum LineError {
    /// The line exceeds [`MAX_LINE_BYTES`].
    #[error("the line is too long")]
    TooLong,
    /// The client closed the connection without sending anything.
    #[error("no line came")]
    Absent,
    /// Reading from the socket failed.
    #[error("the line can't be read")]
    Unreadable,
}

/// Reads one line and returns it without its newline. The end of the stream also ends the line.
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

/// The answer to a line. Only if there is a cluster, `GET` requests are answered.
async fn response(line: &[u8], sources: &Sources) -> String {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if let (Some(cluster), Some(path)) = (&sources.cluster, line.strip_prefix(b"GET ")) {
        return http_response(path, cluster);
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

/// The response to an HTTP request, whose text after `GET ` is `request`.
fn http_response(request: &[u8], cluster: &View) -> String {
    let (status, body) = if request.starts_with(b"/cluster/members HTTP/1.") {
        ("200 OK", cluster.json())
    } else {
        ("404 Not Found", serde_json::json!({"error": "not known; /cluster/members is"}))
    };
    let (body, kind) = (format!("{body}\n"), "application/json");
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
}
