//! A minimal dispatcher that violates one rule on purpose, named by the environment variable `FALSE_RULE`, and keeps
//! all others. The soak's own tests use it to show that the oracle detects a violation of each rule. It is not part of
//! the real dispatcher.

use std::net::SocketAddr;
use std::time::Duration;

use dewladder_test_peers::{field, message, plain};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// The rule that this dispatcher violates, and the servers that it uses.
#[derive(Clone)]
struct Behavior {
    broken_rule: String,
    readers: Vec<SocketAddr>,
    writers: Vec<SocketAddr>,
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A connection is closed if the next request is not complete within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than any run.
const FOREVER: Duration = Duration::from_secs(600);
/// The dispatcher that violates `exit` ends by itself after this time.
const EXITS_AFTER: Duration = Duration::from_secs(2);
/// All others end after this time, which is longer than any run.
const MAX_RUNTIME: Duration = Duration::from_secs(3_600);
/// State that is held for a writer that does not respond is released after this time.
const RELEASES_AFTER: Duration = Duration::from_millis(500);
/// All streams are cut after this time, but by the dispatcher that violates `endless_stream`.
const MAX_STREAM_TIME: Duration = Duration::from_secs(3);
/// Descriptors that the dispatcher that violates `leak` opens for each connection and never closes.
const LEAKED_DESCRIPTORS: usize = 4;

impl Behavior {
    fn new(config: &Value) -> Self {
        Self {
            broken_rule: std::env::var("FALSE_RULE").unwrap_or_default(),
            readers: servers(config, "prefill"),
            writers: servers(config, "decode"),
        }
    }

    /// Whether this dispatcher violates a rule on purpose.
    fn breaks(&self, rule: &str) -> bool {
        self.broken_rule == rule
    }

    /// The reader of a request, chosen by its id.
    fn reader(&self, txn: &str) -> SocketAddr {
        self.readers[sum_of_bytes(txn) % self.readers.len()]
    }

    /// The writer of a request, chosen by its id, or the one `offset` places after it.
    fn writer(&self, txn: &str, offset: usize) -> SocketAddr {
        self.writers[(sum_of_bytes(txn) + offset) % self.writers.len()]
    }
}

fn sum_of_bytes(text: &str) -> usize {
    text.bytes().map(usize::from).sum()
}

/// The servers of a flavor (`prefill` for readers, `decode` for writers) in the configuration's list.
fn servers(config: &Value, flavor: &str) -> Vec<SocketAddr> {
    let members = config["known"]["members"].as_array().cloned().unwrap_or_default();
    let wanted = members.iter().filter(|member| member["flavor"] == flavor);
    wanted.filter_map(|member| member["host_port"].as_str()?.parse().ok()).collect()
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), BoxError> {
    let path = std::env::args().skip_while(|argument| argument != "--config").nth(1).ok_or("no --config")?;
    let config: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let clients = listen(config["listen"].as_str().ok_or("no listen")?.parse()?)?;
    let admin = TcpListener::bind("127.0.0.1:0").await?;
    eprintln!("second address: {}", admin.local_addr()?);
    run(Behavior::new(&config), clients, admin).await
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(256)?;
    TcpListener::from_std(socket.into())
}

/// Serves clients and the admin address until SIGTERM.
async fn run(behavior: Behavior, clients: TcpListener, admin: TcpListener) -> Result<(), BoxError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut leaked = Vec::new();
    let end = sleep(if behavior.breaks("exit") { EXITS_AFTER } else { MAX_RUNTIME });
    tokio::pin!(end);
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            () = &mut end => return Err("ends by itself on purpose".into()),
            caller = admin.accept() => {
                let answer = if behavior.breaks("not_ready") { "ERR no\n" } else { "OK ready\n" };
                if let Ok((mut caller, _)) = caller {
                    caller.write_all(answer.as_bytes()).await?;
                }
            }
            client = clients.accept() => {
                if behavior.breaks("leak") {
                    for _ in 0..LEAKED_DESCRIPTORS {
                        leaked.push(std::fs::File::open("/dev/null")?);
                    }
                }
                if let Ok((client, _)) = client {
                    tokio::spawn(serve(client, behavior.clone()));
                }
            }
        }
    }
}

/// Serves a client's connection until it ends.
async fn serve(mut client: TcpStream, behavior: Behavior) {
    let mut read = Vec::new();
    loop {
        let request_timeout = if behavior.breaks("half_request") { FOREVER } else { REQUEST_TIMEOUT };
        let Ok(Some((head, body))) = timeout(request_timeout, message(&mut client, &mut read)).await else {
            return;
        };
        let txn = field(&head, "x-txn").unwrap_or_default();
        if behavior.breaks("dropped") && txn.ends_with(['1', '5', '9', 'd']) {
            return;
        }
        if behavior.breaks("sent_after_client_left") {
            sleep(Duration::from_millis(350)).await;
        }
        let text = forwarded(&behavior, &head, &body, &txn);
        if answer(&mut client, &behavior, &text, &txn).await.is_err() {
            return;
        }
    }
}

/// The request as it is forwarded to servers.
fn forwarded(behavior: &Behavior, head: &str, body: &[u8], txn: &str) -> String {
    let remaining = field(head, "x-remaining").unwrap_or_default();
    let remaining = if behavior.breaks("deadline_told") { "9.000" } else { remaining.as_str() };
    let line = head.lines().next().unwrap_or("");
    let body = String::from_utf8_lossy(body);
    format!(
        "{line}\r\nHost: s\r\nX-Txn: {txn}\r\nX-Remaining: {remaining}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Has a request read and written by servers, and relays the answer.
async fn answer(
    client: &mut TcpStream,
    behavior: &Behavior,
    request: &str,
    txn: &str,
) -> Result<(), BoxError> {
    if behavior.breaks("refused_idle") && txn.ends_with(['3', '7']) {
        return refuse(client).await;
    }
    if !read_prompt(behavior, request, txn).await? {
        return refuse(client).await;
    }
    if behavior.breaks("held") {
        sleep(Duration::from_millis(1_200)).await;
    }
    if behavior.breaks("run_twice") {
        let mut first = TcpStream::connect(behavior.writer(txn, 1)).await?;
        first.write_all(request.as_bytes()).await?;
        sleep(Duration::from_millis(5)).await;
    }
    let mut writer = TcpStream::connect(behavior.writer(txn, 0)).await?;
    writer.write_all(request.as_bytes()).await?;
    if !answers_in_time(behavior, &mut writer, request, txn).await? {
        drop(writer);
        return Ok(client.write_all(plain(502, "", "").as_bytes()).await?);
    }
    relay(client, behavior, &mut writer, txn).await
}

/// Whether a writer responds within the client's remaining time. State that is held for a writer that does not respond
/// is released after [`RELEASES_AFTER`].
async fn answers_in_time(
    behavior: &Behavior,
    writer: &mut TcpStream,
    request: &str,
    txn: &str,
) -> Result<bool, BoxError> {
    let remaining = field(request, "x-remaining").and_then(|text| text.parse().ok()).unwrap_or(1.0);
    let end = Instant::now() + Duration::from_secs_f64(remaining);
    let releases_at = end.min(Instant::now() + RELEASES_AFTER);
    if timeout_at(releases_at, writer.readable()).await.is_ok() {
        return Ok(true);
    }
    if !behavior.breaks("held_for_silent_writer") {
        release(behavior, txn).await?;
    }
    Ok(timeout_at(end, writer.readable()).await.is_ok())
}

/// Tells a reader to release the state of a request. Any reader will do, as the test servers share their states.
async fn release(behavior: &Behavior, txn: &str) -> Result<(), BoxError> {
    let release = format!("DELETE /kv/leases/{txn} HTTP/1.1\r\nHost: s\r\n\r\n");
    let mut holder = TcpStream::connect(behavior.readers[0]).await?;
    Ok(holder.write_all(release.as_bytes()).await?)
}

/// Has a reader read the prompt. Returns whether the reader accepted it.
async fn read_prompt(behavior: &Behavior, request: &str, txn: &str) -> Result<bool, BoxError> {
    let mut reader = TcpStream::connect(behavior.reader(txn)).await?;
    reader.write_all(request.as_bytes()).await?;
    if behavior.breaks("answer_cut_short") {
        reader.readable().await?;
        drop(reader);
        return Ok(false);
    }
    let (head, _) = message(&mut reader, &mut Vec::new()).await.ok_or("no answer of the reader")?;
    Ok(head.contains(" 202 "))
}

async fn refuse(client: &mut TcpStream) -> Result<(), BoxError> {
    Ok(client.write_all(plain(503, "", "").as_bytes()).await?)
}

/// Relays a writer's answer. If the writer rejects the request, releases the state and refuses the request.
async fn relay(
    client: &mut TcpStream,
    behavior: &Behavior,
    writer: &mut TcpStream,
    txn: &str,
) -> Result<(), BoxError> {
    let ends_at = Instant::now() + MAX_STREAM_TIME;
    let mut piece = vec![0; 4_096];
    let mut all = Vec::new();
    loop {
        let read = writer.read(&mut piece);
        let length = if behavior.breaks("endless_stream") {
            read.await?
        } else {
            timeout_at(ends_at, read).await.unwrap_or(Ok(0))?
        };
        if length == 0 {
            return Err("the stream broke".into());
        }
        all.extend_from_slice(&piece[..length]);
        if all.starts_with(b"HTTP/1.1 4") || all.starts_with(b"HTTP/1.1 5") {
            release(behavior, txn).await?;
            return refuse(client).await;
        }
        if !behavior.breaks("stream") {
            client.write_all(&piece[..length]).await?;
        }
        if all.ends_with(b"0\r\n\r\n") {
            if behavior.breaks("stream") {
                sleep(Duration::from_millis(500)).await;
                client.write_all(&all).await?;
            }
            return Ok(());
        }
    }
}
