//! Servers whose answers the test gives, and a dispatcher before them whose settings the test may change.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder_test_peers::{config, member, Agent, Line, Peer};
use serde_json::{json, Value};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Far longer than anything here takes.
pub const LONG: Duration = Duration::from_secs(8);
/// The protocol allows an attempt to begin so long after its client's close.
pub const AFTER_CLOSE: Duration = Duration::from_millis(100);
/// In this time whatever is wrongly sent would have come.
pub const SOON: Duration = Duration::from_millis(300);

pub const READ: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":12}";
pub const TURNED_AWAY: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
pub const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A server that answers a request only once the test says what, and a release only where the test lets it.
#[derive(Debug)]
pub struct Stepped {
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    say: watch::Sender<Option<String>>,
    releases: watch::Sender<bool>,
}

impl Stepped {
    pub async fn start() -> Self {
        Self::on(Peer::start().await)
    }

    /// One that answers all requests alike at once.
    pub async fn saying(text: &str) -> Self {
        let server = Self::start().await;
        server.says(text);
        server
    }

    pub fn on(peer: Peer) -> Self {
        let (address, log) = (peer.address, Arc::new(Mutex::new(Vec::new())));
        let (say, said) = watch::channel(None);
        let (releases, released) = watch::channel(true);
        let lines = log.clone();
        tokio::spawn(async move {
            loop {
                let line = peer.accept().await;
                tokio::spawn(served(line, lines.clone(), said.clone(), released.clone()));
            }
        });
        Self { address, log, say, releases }
    }

    /// What all requests that wait, and all that come, are answered from now on.
    pub fn says(&self, text: &str) {
        self.say.send_replace(Some(text.to_owned()));
    }

    /// Whether releases are answered.
    pub fn answers_releases(&self, answers: bool) {
        self.releases.send_replace(answers);
    }

    /// Method of each message as it came, and `closed` where the dispatcher closed on a request.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    pub fn count(&self, what: &str) -> usize {
        self.log().iter().filter(|line| *line == what).count()
    }
}

async fn served(
    mut line: Line,
    log: Arc<Mutex<Vec<String>>>,
    mut said: watch::Receiver<Option<String>>,
    mut released: watch::Receiver<bool>,
) {
    let note = |what: &str| log.lock().unwrap().push(what.to_owned());
    while let Some(message) = line.message().await {
        let method = message.head.split(' ').next().unwrap().to_owned();
        note(&method);
        if method == "DELETE" {
            tokio::select! {
                _ = released.wait_for(|answers| *answers) => {}
                _ = line.rest() => return,
            }
            let _ = line.says("HTTP/1.1 204 No Content\r\n\r\n").await;
            continue;
        }
        let text = tokio::select! {
            text = said.wait_for(Option::is_some) => text.ok().and_then(|text| text.clone()),
            _ = line.rest() => {
                note("closed");
                return;
            }
        };
        let Some(text) = text else { return };
        if line.says(&text).await.is_err() {
            note("closed");
            return;
        }
    }
    note("left");
}

pub const FRONTS: &str = r#"
[chat]
enabled = true
listen = "127.0.0.1:0"
max_tokens = 800
most_open = 64
[chat.models]
kiln-ask = "ask"
kiln-book = "book"
[chat.tenants]
key-of-clay = "chiangmai-clay"
"#;

/// The same, with repeats known: a request then runs in a task of its own.
pub const REPEATS: &str = "[chat.repeats]\nenabled = true\nafter_start_s = 0.0\n";

/// A dispatcher with both fronts.
pub struct Crossing {
    pub agent: Agent,
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    pub end: Option<oneshot::Sender<()>>,
    pub running: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
    discovery: watch::Sender<SocketAddr>,
}

/// So long that no read, write or connect is given up for want of patience.
pub fn patient(config: &mut Value) {
    for lane in 0..2 {
        config["settings"]["lanes"][lane]["aim_s"] = json!(9.0);
        config["settings"]["lanes"][lane]["give_up_s"] = json!(9.0);
    }
    config["settings"]["limits"]["connect_timeout_s"] = json!(9.0);
    config["settings"]["domain"]["release_within_s"] = json!(6.0);
}

/// The same, where what has begun is not called off.
pub fn without_cancel(config: &mut Value) {
    patient(config);
    config["settings"]["limits"]["cancel"] = json!(false);
}

impl Crossing {
    /// One before these servers.
    pub async fn start(members: Vec<Value>, fronts: &str, change: impl FnOnce(&mut Value)) -> Self {
        let list = json!({"revision": 1, "complete": true, "members": members});
        let agent = Agent::start(list.clone()).await;
        let mut settings: Value = serde_json::from_str(&config(agent.address, &list)).unwrap();
        change(&mut settings);
        let mut config = Config::parse("config", &settings.to_string(), |_| None).unwrap();
        config.stall = Duration::from_secs(4);
        let dispatcher = Dispatcher::bind(config, &Fronts::parse("fronts", fronts).unwrap()).unwrap();
        let [platform, chat] = dispatcher.addresses()[..] else { panic!("two listeners") };
        let (end, ended) = oneshot::channel();
        let (discovery, at) = watch::channel(agent.address);
        let running = tokio::spawn(dispatcher.run(at, async {
            let _ = ended.await;
        }));
        Self { agent, platform, chat, end: Some(end), running, discovery }
    }

    /// One before one reader and one writer.
    pub async fn between(
        reader: &Stepped,
        writer: &Stepped,
        fronts: &str,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        Self::start(vec![read(reader.address, "up"), write(writer.address, "up")], fronts, change).await
    }

    /// Both fronts, with a text that asks there; the client keeps its connection.
    pub fn fronts(&self) -> [(SocketAddr, String); 2] {
        [(self.platform, asks("9b1f03aa5c7e2d41", "8.000")), (self.chat, chats())]
    }

    /// SIGTERM, as far as the dispatcher is told of it.
    pub fn told_to_end(&mut self) {
        self.end.take().unwrap().send(()).unwrap();
    }

    /// Waits until it has ended by itself.
    pub async fn ended(self) {
        let ended = timeout(LONG, self.running).await.expect("it ends by itself");
        assert_eq!(ended.unwrap(), Ok(()));
    }
}

pub fn read(at: SocketAddr, phase: &str) -> Value {
    member(at, 1, "prefill", phase)
}

pub fn write(at: SocketAddr, phase: &str) -> Value {
    member(at, 2, "decode", phase)
}

/// A platform's request of the class that must not run twice, on a connection that is kept.
pub fn asks(id: &str, remaining: &str) -> String {
    dewladder_test_peers::platform(id, "book", remaining).replace("Connection: close\r\n", "")
}

/// The same of the chat API.
pub fn chats() -> String {
    dewladder_test_peers::chat("kiln-book", true).replace("Connection: close\r\n", "")
}

pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Waits until it holds, and fails where it never does.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let holding = async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(timeout(Duration::from_secs(4), holding).await.is_ok(), "never: {what}");
}

/// An event that the chat front passes on too, as a chunk.
pub fn event(text: &str) -> String {
    dewladder_test_peers::chunk(&format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
    ))
}

/// The last events and the last chunk.
pub fn last() -> String {
    dewladder_test_peers::chunk(
        "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
    ) + &dewladder_test_peers::chunk("data: [DONE]\n\n")
        + "0\r\n\r\n"
}

/// A whole answer.
pub fn stream(text: &str) -> String {
    STREAM.to_owned() + &event(text) + &last()
}
