//! A reader or a writer in a process of its own, so that a test can stop it, let it go on and kill it: its machine goes on
//! taking connections and bytes while the process stands still. For the tests only.
//!
//! `dewladder-test-server reader|writer LEDGER WORK_MS [STOP]`: it prints the address on which it listens, and reports each
//! step to the ledger before it acts on it. A read, and the time until a writer's first event, take WORK_MS. With STOP it
//! stops itself (SIGSTOP) the first time that it comes to that moment: `accepted`, `received`, `answering` or `answered`.

use std::net::SocketAddr;
use std::time::Duration;

use dewladder_test_peers::{chunk, event, field, message, plain, LAST_EVENTS};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Stops and goes on are seen by then.
const STOPPED_AFTER: Duration = Duration::from_millis(50);
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

#[derive(Clone)]
struct Server {
    is_reader: bool,
    ledger: SocketAddr,
    work_time: Duration,
    stop: Option<String>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Failure> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [role, ledger, work_ms, stop @ ..] = &words[..] else {
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

/// Serves a connection until it ends; what goes wrong on it ends it.
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
    /// Stops this process here, the first time.
    async fn stop_at(&mut self, moment: &str) -> Result<(), Failure> {
        if self.stop.as_deref() != Some(moment) {
            return Ok(());
        }
        self.stop = None;
        let own_id = std::process::id().to_string();
        std::process::Command::new("kill").args(["-STOP", &own_id]).status()?;
        sleep(STOPPED_AFTER).await;
        Ok(())
    }

    /// Reports a step; the ledger's word on it.
    async fn report(&self, step: &str, id: &str) -> Result<bool, Failure> {
        let mut ledger = TcpStream::connect(self.ledger).await?;
        ledger.write_all(format!("{step} {id}\n").as_bytes()).await?;
        let mut word = String::new();
        ledger.read_to_string(&mut word).await?;
        Ok(word == "yes")
    }

    /// Answers a request; whether the connection goes on.
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
        let [has, over] =
            if self.is_reader { ["reader_has", "reader_over"] } else { ["writer_has", "writer_over"] };
        self.report(has, &id).await?;
        self.stop_at("received").await?;
        let goes_on = self.work(stream, read, &id).await;
        self.report(over, &id).await?;
        goes_on
    }

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

/// Whether the other side closes within a time: then the work is given up.
async fn is_closed_within(stream: &mut TcpStream, read: &mut Vec<u8>, time: Duration) -> bool {
    tokio::select! {
        biased;
        closed = stream.read_buf(read) => matches!(closed, Ok(0) | Err(_)),
        () = sleep(time) => false,
    }
}
