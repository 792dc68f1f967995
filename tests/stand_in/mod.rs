//! A dispatcher with stand-ins for its peers, on loopback ports that the system picks.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
#[allow(unused_imports)]
pub use dewladder_test_peers::{
    body, chat, config, event, field, platform, post, talk, until_close, Agent, Behavior, Fault, Fleet,
    Server, Shape, LAST_EVENTS,
};
use serde_json::{json, Value};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep;

pub fn member(server: &Server, id: u32, kind: &str, phase: &str) -> Value {
    dewladder_test_peers::member(server.address, id, kind, phase)
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
    pub running: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
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
    pub async fn start(reads: Behavior, writes: Behavior) -> Self {
        Self::with_sockets(reads, writes, 1_024).await
    }

    /// One whose dispatcher may have so many descriptors.
    pub async fn with_sockets(reads: Behavior, writes: Behavior, sockets: usize) -> Self {
        Self::with_fronts(reads, writes, sockets, FRONTS).await
    }

    /// One with other fronts, as their file would say.
    pub async fn with_fronts(reads: Behavior, writes: Behavior, sockets: usize, fronts: &str) -> Self {
        Self::with_servers(Server::start(reads).await, Server::start(writes).await, sockets, fronts).await
    }

    /// One with these servers.
    pub async fn with_servers(reader: Server, writer: Server, sockets: usize, fronts: &str) -> Self {
        let members = [member(&reader, 1, "prefill", "up"), member(&writer, 2, "decode", "up")];
        let list = json!({"revision": 1, "complete": true, "members": members});
        let agent = Agent::start(list.clone()).await;
        let mut config = Config::parse("config", &config(agent.address, &list), |_| None).unwrap();
        config.stall = Duration::from_millis(300);
        config.limits.sockets = sockets;
        let fronts = Fronts::parse("fronts", fronts).unwrap();
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

/// A dispatcher with both fronts before a fleet that reads and writes in two steps.
pub struct FleetSite {
    pub fleet: Fleet,
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    pub end: Option<oneshot::Sender<()>>,
    pub running: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
    pub discovery: watch::Sender<SocketAddr>,
}

impl FleetSite {
    /// `repeats` are lines of the table `[chat.repeats]`.
    pub async fn start(shape: Shape, repeats: &str) -> Self {
        Self::with_chat(shape, "", repeats).await
    }

    /// `chat` are lines of the table `[chat]`.
    pub async fn with_chat(shape: Shape, chat: &str, repeats: &str) -> Self {
        let fleet = Fleet::start(shape).await.unwrap();
        let config = config(fleet.agent.address, &fleet.listing());
        let mut config = Config::parse("config", &config, |_| None).unwrap();
        config.stall = Duration::from_millis(300);
        let fronts = format!(
            "[chat]\nenabled = true\nlisten = \"127.0.0.1:0\"\nmost_open = 400\n{chat}\
             [chat.models]\nkiln-ask = \"ask\"\nkiln-book = \"book\"\n\
             [chat.tenants]\nkey-of-clay = \"chiangmai-clay\"\nkey-of-jars = \"ratchaburi-jars\"\n\
             [chat.repeats]\n{repeats}"
        );
        let dispatcher = Dispatcher::bind(config, &Fronts::parse("fronts", &fronts).unwrap()).unwrap();
        let [platform, chat] = dispatcher.addresses()[..] else { panic!("two listeners") };
        let (end, ended) = oneshot::channel();
        let (discovery, at) = watch::channel(fleet.agent.address);
        let running = tokio::spawn(dispatcher.run(at, async {
            let _ = ended.await;
        }));
        Self { fleet, platform, chat, end: Some(end), running, discovery }
    }
}

/// A request of the chat API that names a booking, with header lines of the caller's own.
pub fn booking(model: &str, what: &str, stream: bool, headers: &str) -> String {
    let body = json!({"model": model, "stream": stream, "messages": [{"role": "user", "content": what}]})
        .to_string();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-of-clay\r\n{headers}\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}
