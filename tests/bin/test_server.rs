//! A reader or writer in a separate process, which tests can pause (SIGSTOP), resume and kill. While the process is
//! paused, the kernel continues to accept connections and to receive bytes for it. For tests only.
//!
//! `dewladder-test-server reader|writer LEDGER WORK_MS [STOP]` prints the address on which it listens. LEDGER is
//! the address of the test, to which the server reports each step of a request before it acts on it. A read takes
//! WORK_MS, and so does the time until a writer's first event. With STOP, the server sends itself SIGSTOP the first
//! time that it reaches that point: `accepted`, `received`, `answering` or `answered`.

use std::net::SocketAddr;
use std::time::Duration;

use dewladder_test_peers::{chunk, event, field, message, plain, LAST_EVENTS};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Wait after SIGSTOP: the signal is delivered asynchronously, and must have taken effect before the server
/// continues.
const SIGSTOP_DELIVERY: Duration = Duration::from_millis(50);
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

#[derive(Clone)]
struct Server {
    is_reader: bool,
    /// Where steps are reported.
    ledger: SocketAddr,
    /// Duration of a read, and of a write until its first event.
    work_time: Duration,
    /// The point at which the server still has to stop itself.
    stop: Option<String>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Failure> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [role, ledger, work_ms, stop @ ..] = &arguments[..] else {
        return Err("reader|writer LEDGER WORK_MS [STOP]".into());
    };
    let mut server = Server {
        is_reader: role == "reader",
        ledger: ledger.parse()?,
        work_time: Duration::from_millis(work_ms.parse()?),
        stop: stop.first().cloned(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("{}", listener.local_addr()?);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        server.stop_at("accepted").await?;
        tokio::spawn(serve(stream, server.clone()));
    }
}

/// Serves a connection until it closes or an error occurs on it.
async fn serve(mut stream: TcpStream, mut server: Server) {
    let mut read = Vec::new();
    while let Some((head, _)) = message(&mut stream, &mut read).await {
        match server.answer(&mut stream, &mut read, &head).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

impl Server {
    /// Stops this process if STOP names this point and the server has not stopped there before.
    async fn stop_at(&mut self, point: &str) -> Result<(), Failure> {
        if self.stop.as_deref() != Some(point) {
            return Ok(());
        }
        self.stop = None;
        let own_id = std::process::id().to_string();
        std::process::Command::new("kill").args(["-STOP", &own_id]).status()?;
        sleep(SIGSTOP_DELIVERY).await;
        Ok(())
    }

    /// Reports a step of a request to the ledger. Whether the ledger allows the step: only the answer to `take`
    /// matters.
    async fn report(&self, step: &str, id: &str) -> Result<bool, Failure> {
        let mut ledger = TcpStream::connect(self.ledger).await?;
        ledger.write_all(format!("{step} {id}\n").as_bytes()).await?;
        let mut answer = String::new();
        ledger.read_to_string(&mut answer).await?;
        Ok(answer == "yes")
    }

    /// Answers a request. Whether the connection stays open.
    async fn answer(
        &mut self,
        stream: &mut TcpStream,
        read: &mut Vec<u8>,
        head: &str,
    ) -> Result<bool, Failure> {
        let line = head.lines().next().unwrap_or("");
        if let Some(rest) = line.strip_prefix("DELETE /kv/leases/") {
            self.report("release", rest.split(' ').next().unwrap_or("")).await?;
            stream.write_all(plain(204, "", "").as_bytes()).await?;
            return Ok(true);
        }
        let id = field(head, "x-txn").unwrap_or_default();
        let [started, finished] =
            if self.is_reader { ["reader_has", "reader_over"] } else { ["writer_has", "writer_over"] };
        self.report(started, &id).await?;
        self.stop_at("received").await?;
        let stays_open = self.work(stream, read, &id).await;
        self.report(finished, &id).await?;
        stays_open
    }

    /// Works on a read or write and sends its answer. Whether the connection stays open.
    async fn work(&mut self, stream: &mut TcpStream, read: &mut Vec<u8>, id: &str) -> Result<bool, Failure> {
        if is_closed_within(stream, read, self.work_time).await {
            return Ok(false);
        }
        if !self.is_reader && !self.report("take", id).await? {
            stream.write_all(plain(410, "X-Turned-Away: 1\r\n", "").as_bytes()).await?;
            return Ok(true);
        }
        let answer = if self.is_reader {
            self.report("read", id).await?;
            plain(202, "", "{\"cached_tokens\":0}")
        } else {
            format!("{STREAM_HEAD}{}{}0\r\n\r\n", chunk(&event(1)), chunk(LAST_EVENTS))
        };
        let (first, rest) = answer.as_bytes().split_at(answer.len() / 2);
        stream.write_all(first).await?;
        self.stop_at("answering").await?;
        stream.write_all(rest).await?;
        self.stop_at("answered").await?;
        Ok(true)
    }
}

/// Whether the client closes the connection within the time; the request is abandoned then. Bytes that the client
/// sends also end the wait, and are added to `read`.
async fn is_closed_within(stream: &mut TcpStream, read: &mut Vec<u8>, time: Duration) -> bool {
    tokio::select! {
        biased;
        closed = stream.read_buf(read) => matches!(closed, Ok(0) | Err(_)),
        () = sleep(time) => false,
    }
}
