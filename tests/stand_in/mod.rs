//! Stand-ins of this repository's own for the peers that a dispatcher speaks with, on loopback ports that
//! the system picks: servers that do what the test says, a discovery agent, and a plain client.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// What a server does with requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// 202, as a reader that has read the prompt.
    Read,
    /// So many events, the usage and the last chunk.
    Stream(usize),
    /// So many events, then the connection closes.
    Cut(usize),
    /// The same, without chunks or a length.
    Unframed(usize),
    /// So many events, then silence.
    Stall(usize),
    /// This status, with `X-Turned-Away`.
    TurnAway(u16),
    /// 500.
    Fail,
    /// The connection closes without an answer.
    Close,
    /// Silence.
    Nothing,
    /// These bytes, then silence.
    Raw(&'static str),
    /// These bytes over and over, for as long as they are taken; the first only once.
    Endless(&'static str, &'static str),
}

#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    does: Arc<Mutex<Does>>,
    /// Method, path and id of every request, as they came.
    log: Arc<Mutex<Vec<String>>>,
}

impl Server {
    pub async fn start(does: Does) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, does) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(does)));
        let log = Arc::new(Mutex::new(Vec::new()));
        let (shared, lines) = (does.clone(), log.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(connection(stream, shared.clone(), lines.clone()));
            }
        });
        Self { address, does, log }
    }

    pub fn now_does(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    pub fn posts(&self) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.starts_with("POST")).count()
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }
}

pub fn event(at: usize) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{at} \"}},\"finish_reason\":null}}]}}\n\n")
}

pub const LAST_EVENTS: &str =
    "data: {\"choices\":[],\"usage\":{\"completion_tokens\":3}}\n\ndata: [DONE]\n\n";

async fn connection(mut stream: TcpStream, does: Arc<Mutex<Does>>, log: Arc<Mutex<Vec<String>>>) {
    let mut read = Vec::new();
    while let Some((head, _)) = message(&mut stream, &mut read).await {
        let line = head.lines().next().unwrap_or("").trim_end_matches(" HTTP/1.1").to_owned();
        let id = field(&head, "x-txn").unwrap_or_default();
        log.lock().unwrap().push(format!("{line} {id}"));
        if line.starts_with("DELETE") {
            let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await;
            continue;
        }
        let doing = *does.lock().unwrap();
        let answer = match doing {
            Does::Read => plain(202, "", "{\"cached_tokens\":12}"),
            Does::TurnAway(status) => plain(status, "X-Turned-Away: 1\r\n", ""),
            Does::Fail => plain(500, "", "no"),
            Does::Close => return,
            Does::Nothing => {
                let _ = stream.read_buf(&mut read).await;
                return;
            }
            Does::Raw(text) | Does::Endless(text, _) => text.to_owned(),
            Does::Unframed(_) => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
            Does::Stream(_) | Does::Cut(_) | Does::Stall(_) => {
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .to_owned()
            }
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if let Does::Endless(_, more) = doing {
            while stream.write_all(more.as_bytes()).await.is_ok() {
                sleep(Duration::from_millis(1)).await;
            }
            return;
        }
        let (Does::Stream(events) | Does::Cut(events) | Does::Unframed(events) | Does::Stall(events)) = doing
        else {
            continue;
        };
        for at in 0..events {
            let framed = if doing == Does::Unframed(events) { event(at) } else { chunk(&event(at)) };
            if stream.write_all(framed.as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(4)).await;
        }
        match doing {
            Does::Stream(_) => {
                let _ = stream.write_all((chunk(LAST_EVENTS) + "0\r\n\r\n").as_bytes()).await;
            }
            Does::Cut(_) | Does::Unframed(_) => return,
            _ => {
                let _ = stream.read_buf(&mut read).await; // until the dispatcher closes
                return;
            }
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn plain(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// One message with its body by length; `None` at the end.
async fn message(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = read.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            let length = field(&head, "content-length").map_or(0, |text| text.parse().unwrap());
            if read.len() >= end + 4 + length {
                let body = read[end + 4..end + 4 + length].to_vec();
                read.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
}

/// A header's value.
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
}

/// A discovery agent: answers at once, watches once there is something newer; while muted it is silent.
#[derive(Debug)]
pub struct Agent {
    pub address: SocketAddr,
    list: watch::Sender<Option<Value>>,
    /// Path and query of every call, as they came, and `closed` for a connection that the caller closed.
    log: Arc<Mutex<Vec<String>>>,
}

impl Agent {
    pub async fn start(list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (list, lists) = watch::channel(Some(list));
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (mut lists, lines) = (lists.clone(), lines.clone());
                tokio::spawn(async move {
                    let mut read = Vec::new();
                    while let Some((head, _)) = message(&mut stream, &mut read).await {
                        lines.lock().unwrap().push(head.split(' ').nth(1).unwrap().to_owned());
                        let from = head.split_once("from=").map(|(_, rest)| rest.split('&').next().unwrap());
                        let from: i64 = from.map_or(-1, |text| text.parse().unwrap());
                        let newer = |list: &Option<Value>| {
                            list.as_ref().is_some_and(|list| list["revision"].as_i64() > Some(from))
                        };
                        let list = tokio::select! {
                            list = lists.wait_for(newer) => list.map(|list| list.clone()),
                            _ = stream.read_buf(&mut read) => break,
                        };
                        let Ok(Some(list)) = list else { return };
                        if stream.write_all(plain(200, "", &list.to_string()).as_bytes()).await.is_err() {
                            return;
                        }
                    }
                    lines.lock().unwrap().push("closed".to_owned());
                });
            }
        });
        Self { address, list, log }
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// What it has from now on; `None` keeps it silent.
    pub fn tells(&self, list: Option<Value>) {
        self.list.send_replace(list);
    }
}

pub fn member(server: &Server, id: u32, kind: &str, phase: &str) -> Value {
    json!({"id": format!("s-{id:08x}"), "host_port": server.address.to_string(), "locality": "a",
        "flavor": kind, "cell": 1, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// A reader, a writer, an agent and a dispatcher with both fronts.
pub struct Site {
    pub reader: Server,
    pub writer: Server,
    pub agent: Agent,
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    pub check: SocketAddr,
    pub discovery: watch::Sender<SocketAddr>,
    pub end: Option<oneshot::Sender<()>>,
    pub running: JoinHandle<Result<(), String>>,
}

pub fn config(agent: SocketAddr, known: &Value) -> String {
    let lane = |name: &str, effect: &str| json!({"name": name, "aim_s": 0.4, "give_up_s": 1.0, "effect": effect, "group": "all", "worth": 2.0});
    let settings = json!({"balancers": 1, "locality": 0, "failure_domains": ["a"], "kinds": ["prefill", "decode"],
        "domain": {"role_by_kind": ["read", "write"], "kind_memory_tokens": [100000, 100000],
            "release_within_s": 0.5, "resume": true},
        "lanes": [lane("ask", "idempotent"), lane("book", "at_most_once")],
        "limits": {"cancel": true, "connect_timeout_s": 0.25, "keepalive_s": 30.0, "max_attempts": 5,
            "max_retry_after_s": 1.0}, "resolution_s": 0.002, "a_setting_of_tomorrow": {"x": [1, {"y": null}]}});
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": agent, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings})
    .to_string()
}

pub const FRONTS: &str = r#"
[chat]
enabled = true
listen = "127.0.0.1:0"
max_tokens = 800
most_open = 2
[chat.models]
kiln-ask = "ask"
kiln-book = "book"
[chat.tenants]
key-of-clay = "chiangmai-clay"
[agent_check]
enabled = true
listen = "127.0.0.1:0"
"#;

impl Site {
    pub async fn start(reads: Does, writes: Does) -> Self {
        Self::with_sockets(reads, writes, 1_024).await
    }

    /// One whose dispatcher may have so many descriptors.
    pub async fn with_sockets(reads: Does, writes: Does, sockets: usize) -> Self {
        let (reader, writer) = (Server::start(reads).await, Server::start(writes).await);
        let members = [member(&reader, 1, "prefill", "up"), member(&writer, 2, "decode", "up")];
        let list = json!({"revision": 1, "complete": true, "members": members});
        let agent = Agent::start(list.clone()).await;
        let mut config = Config::parse("config", &config(agent.address, &list), |_| None).unwrap();
        config.stall = Duration::from_millis(300);
        config.limits.sockets = sockets;
        let fronts = Fronts::parse("fronts", FRONTS).unwrap();
        let dispatcher = Dispatcher::bind(config, &fronts).unwrap();
        let addresses = dispatcher.addresses();
        let (end, ended) = oneshot::channel();
        let (discovery, at) = watch::channel(agent.address);
        let running = tokio::spawn(dispatcher.run(at, async {
            let _ = ended.await;
        }));
        let [platform, chat, check] = addresses[..] else { panic!("three listeners") };
        Self { reader, writer, agent, platform, chat, check, discovery, end: Some(end), running }
    }
}

pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a text, and reads until the other side closes or `enough` says so; then closes.
pub async fn talk(to: SocketAddr, text: &str, enough: impl Fn(&str) -> bool) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut read = Vec::new();
    while !enough(&String::from_utf8_lossy(&read)) {
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8(read).unwrap()
}

pub async fn until_close(to: SocketAddr, text: &str) -> String {
    talk(to, text, |_| false).await
}

/// A request of the platform's.
pub fn platform(id: &str, lane: &str, remaining: &str) -> String {
    let body = "{\"stream\":true}";
    format!(
        "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Lane: {lane}\r\n\
         X-Org: acme\r\nX-Entity: e\r\nX-Remaining: {remaining}\r\nX-Labels: prompt_len=100,max_out=8\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// A request of the chat API.
pub fn chat(model: &str, stream: bool) -> String {
    let body = json!({"model": model, "stream": stream, "messages": [
        {"role": "system", "content": "You book kilns."},
        {"role": "user", "content": [{"type": "text", "text": "A glaze firing on Friday?"}]}]})
    .to_string();
    post(&body, "key-of-clay")
}

pub fn post(body: &str, key: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// The body of a chunked answer, and whether its last chunk came.
pub fn body(answer: &str) -> (String, bool) {
    let (_, mut rest) = answer.split_once("\r\n\r\n").unwrap();
    let mut whole = String::new();
    while let Some((length, after)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap();
        if length == 0 {
            return (whole, true);
        }
        whole.push_str(&after[..length]);
        rest = &after[length + 2..];
    }
    (whole, false)
}
