//! Stand-in servers: readers keep states, writers fetch them. What they do wrong, and when, the plan says.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use dewladder_test_peers::{chunk, field, plain};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until};

use crate::ledger::{Ledger, Micros, Seen};
use crate::plan::{Kind, Plan};

/// Connections that wait to be accepted; when so many do, no further one comes up.
const BACKLOG: i32 = 48;
/// Connections by which a server that is cut off fills its queue.
const FILLERS: usize = 64;
/// A read takes so long.
const READ: Duration = Duration::from_millis(15);
/// A writer takes so long to its first event, and from one to the next.
const FIRST_EVENT: Duration = Duration::from_millis(25);
const NEXT_EVENT: Duration = Duration::from_millis(12);
/// Events of an answer.
pub const EVENTS: usize = 6;
/// A second answer comes so long after the first.
const SECOND_ANSWER: Duration = Duration::from_millis(6);
/// Longer than any play.
const FOR_EVER: Duration = Duration::from_secs(600);
/// A server that will be cut off takes no more connections so long before (ms).
const CUT_AHEAD: u64 = 30;
/// The time between two looks at the plan.
const LOOK: Duration = Duration::from_millis(10);
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// All servers of a play; the first half reads.
#[derive(Clone, Debug)]
pub struct Servers {
    /// Where each listens.
    pub addresses: Vec<SocketAddr>,
}

/// What the connections of a server share.
#[derive(Clone)]
struct Shared {
    server: usize,
    reads: bool,
    plan: Arc<Plan>,
    ledger: Ledger,
    /// States that wait at readers, by request.
    kept: Arc<Mutex<HashMap<u64, usize>>>,
}

/// Why a connection is not served on.
enum Gone {
    /// It has ended, or is to be closed in good order.
    Closed,
    /// It is to be reset.
    Reset,
}

impl Servers {
    /// Starts all servers of a plan.
    ///
    /// # Errors
    /// What the system says.
    pub fn start(plan: &Arc<Plan>, ledger: &Ledger) -> std::io::Result<Self> {
        let kept = Arc::default();
        let mut addresses = Vec::new();
        for server in 0..2 * plan.servers_of_a_role {
            let listener = listen("127.0.0.1:0".parse().unwrap_or_else(|_| unreachable!()))?;
            addresses.push(listener.local_addr()?);
            let reads = server < plan.servers_of_a_role;
            let (plan, ledger) = (plan.clone(), ledger.clone());
            let shared = Shared { server, reads, plan, ledger, kept: Arc::clone(&kept) };
            tokio::spawn(accept(listener, shared));
        }
        Ok(Self { addresses })
    }
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects without waiting for it to come up.
fn filler(to: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&to.into()) {
        Err(error) if error.raw_os_error().is_none() => Err(error),
        _ => Ok(socket),
    }
}

async fn accept(listener: TcpListener, shared: Shared) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    let mut fillers = Vec::new();
    loop {
        let (cut, refuses) =
            (shared.takes_no_connection(), shared.has(|kind| matches!(kind, Kind::Refuse { .. })));
        if refuses {
            listener = None;
        } else if listener.is_none() {
            listener = listen(address).ok();
        }
        let Some(listening) = listener.as_ref().filter(|_| !cut) else {
            if cut && fillers.is_empty() {
                fillers = (0..FILLERS).filter_map(|_| filler(address).ok()).collect();
            }
            sleep(LOOK).await;
            continue;
        };
        if !fillers.is_empty() {
            reset_all(listening).await;
            fillers.clear();
        }
        tokio::select! {
            accepted = listening.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(connection(stream, shared.clone()));
            },
            () = sleep(LOOK) => {}
        }
    }
}

/// Resets all connections that wait to be accepted: those that came up as the machine was cut off are of no use any more.
async fn reset_all(listener: &TcpListener) {
    let at_once = || std::future::poll_fn(|context| Poll::Ready(listener.poll_accept(context)));
    while let Poll::Ready(Ok((stream, _))) = at_once().await {
        resets(&stream);
    }
}

/// Has the close of a stream be a reset.
fn resets(stream: &TcpStream) {
    // Where it can't be set, the close is an ordinary one.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

async fn connection(stream: TcpStream, shared: Shared) {
    let opened = shared.now();
    let planned = shared.plan.troubles.iter().filter(|trouble| {
        matches!(trouble.kind, Kind::Reset { server } if server == shared.server) && trouble.from_ms >= opened
    });
    let reset_at = planned.map(|trouble| trouble.from_ms).min().unwrap_or(shared.plan.length_ms + 60_000);
    let ledger = shared.ledger.clone();
    let mut peer = Connection { stream, read: Vec::new(), opened, shared };
    let gone = tokio::select! {
        gone = peer.serve() => gone,
        () = sleep_until(ledger.instant(reset_at)) => Gone::Reset,
    };
    if matches!(gone, Gone::Reset) {
        resets(&peer.stream);
    }
}

/// An attempt that is out until this is dropped.
struct Out {
    ledger: Ledger,
    id: u64,
    server: usize,
}

impl Drop for Out {
    fn drop(&mut self) {
        self.ledger.write(self.id, Seen::AttemptOver { server: self.server });
    }
}

impl Shared {
    fn now(&self) -> u64 {
        self.ledger.now() / 1_000
    }

    fn has(&self, is: impl Fn(&Kind) -> bool) -> bool {
        self.plan.holds(self.now(), |kind| is(kind) && server_of(kind) == Some(self.server))
    }

    fn is_cut(&self) -> bool {
        self.has(|kind| matches!(kind, Kind::Cut { .. }))
    }

    /// Whether no connection may come up: from a moment before a cut on, as its queue takes a while to fill.
    fn takes_no_connection(&self) -> bool {
        let soon = self.now() + CUT_AHEAD;
        let cut = |kind: &Kind| matches!(kind, Kind::Cut { server } if *server == self.server);
        self.is_cut() || self.plan.holds(soon, cut)
    }

    fn drains(&self) -> bool {
        let now = self.now();
        let drain = |kind: &Kind| matches!(kind, Kind::Drain { server } if *server == self.server);
        self.plan.troubles.iter().any(|trouble| trouble.from_ms <= now && drain(&trouble.kind))
    }

    /// Until when (ms) a connection that was opened then is silent, if it is.
    fn silent_until(&self, opened: u64) -> Option<u64> {
        let now = self.now();
        let silences = self.plan.troubles.iter().filter(|trouble| match trouble.kind {
            Kind::Cut { server } => server == self.server && (trouble.from_ms..trouble.to_ms).contains(&now),
            Kind::Silence { server } => {
                server == self.server && opened < trouble.from_ms && trouble.from_ms <= now
            }
            _ => false,
        });
        silences.map(|trouble| trouble.to_ms.max(now)).max()
    }

    fn kept(&self) -> MutexGuard<'_, HashMap<u64, usize>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn server_of(kind: &Kind) -> Option<usize> {
    match kind {
        Kind::Cut { server }
        | Kind::Silence { server }
        | Kind::Reset { server }
        | Kind::Refuse { server }
        | Kind::Hang { server }
        | Kind::Slow { server, .. }
        | Kind::TurnAway { server }
        | Kind::Break { server }
        | Kind::CloseOnUse { server }
        | Kind::AnswerTwice { server }
        | Kind::NeverEnd { server }
        | Kind::Drain { server } => Some(*server),
        _ => None,
    }
}

struct Connection {
    stream: TcpStream,
    read: Vec<u8>,
    opened: u64,
    shared: Shared,
}

/// A request as a server reads it.
struct Message {
    line: String,
    head: String,
    first_byte: Micros,
}

impl Connection {
    async fn serve(&mut self) -> Gone {
        loop {
            match self.exchange().await {
                Ok(()) => {}
                Err(gone) => return gone,
            }
        }
    }

    /// Where the connection is silent: until it is reset.
    async fn unless_silent(&mut self) -> Result<(), Gone> {
        let Some(until) = self.shared.silent_until(self.opened) else { return Ok(()) };
        let end = self.shared.ledger.instant(until);
        let mut lost = [0; 4_096];
        loop {
            // What comes is lost; that the other side closes is noted, by the end of what is out.
            tokio::select! {
                came = self.stream.read(&mut lost) => if matches!(came, Ok(0) | Err(_)) {
                    return Err(Gone::Reset);
                },
                () = sleep_until(end) => return Err(Gone::Reset),
            }
        }
    }

    async fn message(&mut self) -> Result<Message, Gone> {
        let mut first_byte = (!self.read.is_empty()).then(|| self.shared.ledger.now());
        loop {
            if let Some(end) = self.read.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.read[..end]).into_owned();
                let length = field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
                if self.read.len() >= end + 4 + length {
                    self.read.drain(..end + 4 + length);
                    let line = head.lines().next().unwrap_or("").to_owned();
                    let first_byte = first_byte.unwrap_or_else(|| self.shared.ledger.now());
                    return Ok(Message { line, head, first_byte });
                }
            }
            if self.stream.readable().await.is_err() {
                return Err(Gone::Closed);
            }
            self.unless_silent().await?;
            let closes = |kind: &Kind| matches!(kind, Kind::CloseOnUse { .. });
            if first_byte.is_none() && self.shared.now() > self.opened + 50 && self.shared.has(closes) {
                return Err(Gone::Closed);
            }
            match self.stream.try_read_buf(&mut self.read) {
                Ok(0) => return Err(Gone::Closed),
                Ok(_) => {
                    first_byte.get_or_insert_with(|| self.shared.ledger.now());
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(Gone::Closed),
            }
        }
    }

    async fn says(&mut self, text: &str) -> Result<(), Gone> {
        self.unless_silent().await?;
        self.stream.write_all(text.as_bytes()).await.map_err(|_| Gone::Closed)
    }

    /// Waits, unless the other side closes or sends something.
    async fn waits(&mut self, time: Duration) -> Result<(), Gone> {
        let end = tokio::time::Instant::now() + time;
        loop {
            tokio::select! {
                biased; // a close that has come stops the work, though its time is over in the same moment
                came = self.stream.read_buf(&mut self.read) => if matches!(came, Ok(0) | Err(_)) {
                    return Err(Gone::Closed);
                },
                () = sleep_until(end) => return self.unless_silent().await,
            }
        }
    }

    async fn exchange(&mut self) -> Result<(), Gone> {
        let message = self.message().await?;
        let shared = self.shared.clone();
        if let Some(rest) = message.line.strip_prefix("DELETE /kv/leases/") {
            let id = id_of(rest.split(' ').next().unwrap_or(""));
            shared.kept().remove(&id);
            shared.ledger.write(id, Seen::Released);
            self.hangs().await?;
            return self.says(&plain(204, "", "")).await;
        }
        let id = id_of(&field(&message.head, "x-txn").unwrap_or_default());
        let server = shared.server;
        shared.ledger.write_at(message.first_byte, id, Seen::AttemptBegan { server });
        let told = field(&message.head, "x-remaining").and_then(|text| text.parse::<f64>().ok());
        let told = told.map(|seconds| (seconds * 1e6) as Micros);
        shared.ledger.write(id, Seen::AttemptArrived { server, reads: shared.reads, told });
        let _out = Out { ledger: shared.ledger.clone(), id, server };
        if shared.drains() || shared.has(|kind| matches!(kind, Kind::TurnAway { .. })) {
            return self.turns_away(id, 503).await;
        }
        self.hangs().await?;
        let slow = shared.plan.troubles.iter().filter(|trouble| {
            (trouble.from_ms..trouble.to_ms).contains(&shared.now())
                && server_of(&trouble.kind) == Some(server)
        });
        let slow = slow.filter_map(|trouble| match trouble.kind {
            Kind::Slow { by_ms, .. } => Some(by_ms),
            _ => None,
        });
        let slow = Duration::from_millis(slow.max().unwrap_or(0));
        if shared.reads {
            self.waits(READ + slow).await?;
            shared.kept().insert(id, server);
            shared.ledger.write(id, Seen::ReadEnded { server });
            return self.says_read().await;
        }
        if shared.kept().remove(&id).is_none() {
            return self.turns_away(id, 410).await;
        }
        shared.ledger.write(id, Seen::WriteBegan { server });
        self.waits(FIRST_EVENT + slow).await?;
        self.streams(id).await
    }

    /// A reader's answer, spoilt where the plan says so.
    async fn says_read(&mut self) -> Result<(), Gone> {
        let answer = plain(202, "", "{\"cached_tokens\":0}");
        if self.shared.has(|kind| matches!(kind, Kind::NeverEnd { .. })) {
            self.says(&answer[..answer.len() - 2]).await?;
            return self.waits(FOR_EVER).await;
        }
        self.says(&answer).await?;
        if self.shared.has(|kind| matches!(kind, Kind::AnswerTwice { .. })) {
            self.waits(SECOND_ANSWER).await?;
            return self.says(&answer).await;
        }
        Ok(())
    }

    /// Takes what comes and answers nothing, while the plan says so and until the other side closes.
    async fn hangs(&mut self) -> Result<(), Gone> {
        while self.shared.has(|kind| matches!(kind, Kind::Hang { .. })) {
            self.waits(LOOK).await?;
        }
        Ok(())
    }

    async fn turns_away(&mut self, id: u64, status: u16) -> Result<(), Gone> {
        self.shared.ledger.write(id, Seen::TurnedAway { server: self.shared.server });
        self.says(&plain(status, "X-Turned-Away: 1\r\n", "")).await
    }

    async fn streams(&mut self, id: u64) -> Result<(), Gone> {
        self.says(STREAM_HEAD).await?;
        for event in 0..EVENTS {
            if event == 2 && self.shared.has(|kind| matches!(kind, Kind::Break { .. })) {
                return Err(Gone::Closed);
            }
            self.unless_silent().await?;
            self.shared.ledger.write(id, Seen::EventWritten(event));
            self.says(&chunk(&format!("data: {{\"event\":{event}}}\n\n"))).await?;
            self.waits(NEXT_EVENT).await?;
        }
        self.says("0\r\n\r\n").await?;
        self.shared.ledger.write(id, Seen::StreamEnded { server: self.shared.server });
        Ok(())
    }
}

/// A request's number by its `X-Txn`.
#[must_use]
pub fn id_of(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or(0)
}
