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

/// What it holds to, and what it breaks.
#[derive(Clone)]
struct Habits {
    breaks: String,
    readers: Vec<SocketAddr>,
    writers: Vec<SocketAddr>,
}

type Failure = Box<dyn std::error::Error + Send + Sync>;

impl Habits {
    fn breaks(&self, rule: &str) -> bool {
        self.breaks == rule
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
    let habits = Habits {
        breaks: std::env::var("FALSE_RULE").unwrap_or_default(),
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
    let end = sleep(Duration::from_secs(if habits.breaks("exit") { 2 } else { 3_600 }));
    tokio::pin!(end);
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            () = &mut end => return Err("it ends by itself".into()),
            caller = admin.accept() => {
                let said = if habits.breaks("not_ready") { "ERR no\n" } else { "OK ready\n" };
                if let Ok((mut caller, _)) = caller {
                    caller.write_all(said.as_bytes()).await?;
                }
            }
            client = clients.accept() => {
                if habits.breaks("leak") {
                    for _ in 0..4 {
                        leaked.push(std::fs::File::open("/dev/null")?);
                    }
                }
                if let Ok((client, _)) = client {
                    tokio::spawn(serve(client, habits.clone()));
                }
            }
        }
    }
}

/// A request comes whole within this, or its connection is closed.
const REQUEST: Duration = Duration::from_secs(2);
/// Longer than any play.
const FOR_EVER: Duration = Duration::from_secs(600);

/// Serves a client until its connection ends.
async fn serve(mut client: TcpStream, habits: Habits) {
    let mut read = Vec::new();
    loop {
        let patience = if habits.breaks("half_request") { FOR_EVER } else { REQUEST };
        let Ok(Some((head, body))) = timeout(patience, message(&mut client, &mut read)).await else { return };
        let txn = field(&head, "x-txn").unwrap_or_default();
        if habits.breaks("dropped") && txn.ends_with(['1', '5', '9', 'd']) {
            return;
        }
        if habits.breaks("sent_after_client_left") {
            sleep(Duration::from_millis(350)).await;
        }
        let answered = answer(&mut client, &habits, &head, &body, &txn).await;
        if answered.is_err() {
            return;
        }
    }
}

/// What is sent on to a server.
fn request(head: &str, body: &[u8], told: &str) -> String {
    let line = head.lines().next().unwrap_or("");
    let txn = field(head, "x-txn").unwrap_or_default();
    let body = String::from_utf8_lossy(body);
    format!(
        "{line}\r\nHost: s\r\nX-Txn: {txn}\r\nX-Remaining: {told}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn answer(
    client: &mut TcpStream,
    habits: &Habits,
    head: &str,
    body: &[u8],
    txn: &str,
) -> Result<(), Failure> {
    let told = field(head, "x-remaining").unwrap_or_default();
    let told = if habits.breaks("deadline_told") { "9.000" } else { told.as_str() };
    let text = request(head, body, told);
    let at = txn.bytes().map(usize::from).sum::<usize>();
    let mut reader = TcpStream::connect(habits.readers[at % habits.readers.len()]).await?;
    reader.write_all(text.as_bytes()).await?;
    let refused = plain(503, "", "");
    let (said, _) = message(&mut reader, &mut Vec::new()).await.ok_or("no answer of the reader")?;
    if !said.contains(" 202 ") {
        return Ok(client.write_all(refused.as_bytes()).await?);
    }
    if habits.breaks("held") {
        sleep(Duration::from_millis(1_200)).await;
    }
    let writer = habits.writers[at % habits.writers.len()];
    if habits.breaks("run_twice") {
        let mut first = TcpStream::connect(habits.writers[(at + 1) % habits.writers.len()]).await?;
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
            let mut holder = TcpStream::connect(habits.readers[0]).await?;
            holder
                .write_all(format!("DELETE /kv/leases/{txn} HTTP/1.1\r\nHost: s\r\n\r\n").as_bytes())
                .await?;
            return Ok(client.write_all(refused.as_bytes()).await?);
        }
        if !habits.breaks("stream") {
            client.write_all(&piece[..length]).await?;
        }
        if whole.ends_with(b"0\r\n\r\n") {
            if habits.breaks("stream") {
                sleep(Duration::from_millis(500)).await;
                client.write_all(&whole).await?;
            }
            return Ok(());
        }
    }
}
