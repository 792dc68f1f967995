//! A small dispatcher that breaks one rule on purpose, as the environment variable `FALSE_RULE` names it, and keeps all
//! others. The soak's own tests show with it that each rule is seen. It is no part of the program.

use std::net::SocketAddr;
use std::time::Duration;

use dewladder_test_peers::{field, message, plain};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The rule that it breaks, and the servers that it knows.
#[derive(Clone)]
struct Behavior {
    violations: String,
    readers: Vec<SocketAddr>,
    writers: Vec<SocketAddr>,
}

type Failure = Box<dyn std::error::Error + Send + Sync>;

impl Behavior {
    fn violations(&self, rule: &str) -> bool {
        self.violations == rule
    }
}

fn servers(config: &Value, flavor: &str) -> Vec<SocketAddr> {
    let members = config["known"]["members"].as_array().cloned().unwrap_or_default();
    let of_it = members.iter().filter(|member| member["flavor"] == flavor);
    of_it.filter_map(|member| member["host_port"].as_str()?.parse().ok()).collect()
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Failure> {
    let path = std::env::args().skip_while(|argument| argument != "--config").nth(1).ok_or("no --config")?;
    let config: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let behavior = Behavior {
        violations: std::env::var("FALSE_RULE").unwrap_or_default(),
        readers: servers(&config, "prefill"),
        writers: servers(&config, "decode"),
    };
    let listen: SocketAddr = config["listen"].as_str().ok_or("no listen")?.parse()?;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&listen.into())?;
    socket.listen(256)?;
    let clients = TcpListener::from_std(socket.into())?;
    let admin = TcpListener::bind("127.0.0.1:0").await?;
    eprintln!("second address: {}", admin.local_addr()?);
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let mut leaked = Vec::new();
    let end = sleep(Duration::from_secs(if behavior.violations("exit") { 2 } else { 3_600 }));
    tokio::pin!(end);
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            () = &mut end => return Err("it ends by itself".into()),
            caller = admin.accept() => {
                let said = if behavior.violations("not_ready") { "ERR no\n" } else { "OK ready\n" };
                if let Ok((mut caller, _)) = caller {
                    caller.write_all(said.as_bytes()).await?;
                }
            }
            client = clients.accept() => {
                if behavior.violations("leak") {
                    for _ in 0..4 {
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

/// A request comes whole within this, or its connection is closed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than any play.
const FOR_EVER: Duration = Duration::from_secs(600);

/// Serves a client until its connection ends.
async fn serve(mut client: TcpStream, behavior: Behavior) {
    let mut read = Vec::new();
    loop {
        let request_timeout = if behavior.violations("half_request") { FOR_EVER } else { REQUEST_TIMEOUT };
        let Ok(Some((head, body))) = timeout(request_timeout, message(&mut client, &mut read)).await else {
            return;
        };
        let txn = field(&head, "x-txn").unwrap_or_default();
        if behavior.violations("dropped") && txn.ends_with(['1', '5', '9', 'd']) {
            return;
        }
        if behavior.violations("sent_after_client_left") {
            sleep(Duration::from_millis(350)).await;
        }
        let answered = answer(&mut client, &behavior, &head, &body, &txn).await;
        if answered.is_err() {
            return;
        }
    }
}

/// What is sent on to a server.
fn request(head: &str, body: &[u8], remaining: &str) -> String {
    let line = head.lines().next().unwrap_or("");
    let txn = field(head, "x-txn").unwrap_or_default();
    let body = String::from_utf8_lossy(body);
    format!(
        "{line}\r\nHost: s\r\nX-Txn: {txn}\r\nX-Remaining: {remaining}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn answer(
    client: &mut TcpStream,
    behavior: &Behavior,
    head: &str,
    body: &[u8],
    txn: &str,
) -> Result<(), Failure> {
    let remaining = field(head, "x-remaining").unwrap_or_default();
    let remaining = if behavior.violations("deadline_told") { "9.000" } else { remaining.as_str() };
    let text = request(head, body, remaining);
    let at = txn.bytes().map(usize::from).sum::<usize>();
    let mut reader = TcpStream::connect(behavior.readers[at % behavior.readers.len()]).await?;
    reader.write_all(text.as_bytes()).await?;
    let refused = plain(503, "", "");
    let (said, _) = message(&mut reader, &mut Vec::new()).await.ok_or("no answer of the reader")?;
    if !said.contains(" 202 ") {
        return Ok(client.write_all(refused.as_bytes()).await?);
    }
    if behavior.violations("held") {
        sleep(Duration::from_millis(1_200)).await;
    }
    let writer = behavior.writers[at % behavior.writers.len()];
    if behavior.violations("run_twice") {
        let mut first = TcpStream::connect(behavior.writers[(at + 1) % behavior.writers.len()]).await?;
        first.write_all(text.as_bytes()).await?;
        sleep(Duration::from_millis(5)).await;
    }
    let mut writer = TcpStream::connect(writer).await?;
    writer.write_all(text.as_bytes()).await?;
    let mut piece = vec![0; 4_096];
    let mut whole = Vec::new();
    loop {
        let length = writer.read(&mut piece).await?;
        if length == 0 {
            return Err("the stream broke".into());
        }
        whole.extend_from_slice(&piece[..length]);
        if whole.starts_with(b"HTTP/1.1 4") || whole.starts_with(b"HTTP/1.1 5") {
            let mut holder = TcpStream::connect(behavior.readers[0]).await?;
            holder
                .write_all(format!("DELETE /kv/leases/{txn} HTTP/1.1\r\nHost: s\r\n\r\n").as_bytes())
                .await?;
            return Ok(client.write_all(refused.as_bytes()).await?);
        }
        if !behavior.violations("stream") {
            client.write_all(&piece[..length]).await?;
        }
        if whole.ends_with(b"0\r\n\r\n") {
            if behavior.violations("stream") {
                sleep(Duration::from_millis(500)).await;
                client.write_all(&whole).await?;
            }
            return Ok(());
        }
    }
}
