//! A dispatcher under test with simulated servers and a simulated discovery agent, on loopback ports that the system
//! picks.
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

/// The list entry of `server`. `kind` is `prefill` for a reader or `decode` for a writer; `phase` is its state, such as
/// `up` or `draining`.
pub fn member(server: &Server, id: u32, kind: &str, phase: &str) -> Value {
    dewladder_test_peers::member(server.address, id, kind, phase)
}

/// A dispatcher with both fronts and the agent check, one reader, one writer and a discovery agent.
pub struct Site {
    pub reader: Server,
    pub writer: Server,
    pub agent: Agent,
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    pub agent_check: SocketAddr,
    /// The address of the agent that the dispatcher watches; a new value moves the watch.
    pub discovery: watch::Sender<SocketAddr>,
    /// Starts the shutdown; `None` once a test has taken it.
    pub end: Option<oneshot::Sender<()>>,
    /// The dispatcher's task, which ends with the shutdown.
    pub running: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
}

/// Settings of the chat front and the agent check, on ports that the system picks.
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
    pub async fn start(reader_behavior: Behavior, writer_behavior: Behavior) -> Self {
        Self::with_sockets(reader_behavior, writer_behavior, 1_024).await
    }

    /// Starts a dispatcher whose limit of open file descriptors is `sockets`.
    pub async fn with_sockets(reader_behavior: Behavior, writer_behavior: Behavior, sockets: usize) -> Self {
        Self::with_fronts(reader_behavior, writer_behavior, sockets, FRONTS).await
    }

    /// Starts a dispatcher whose settings file for the fronts contains `fronts`.
    pub async fn with_fronts(
        reader_behavior: Behavior,
        writer_behavior: Behavior,
        sockets: usize,
        fronts: &str,
    ) -> Self {
        Self::with_servers(
            Server::start(reader_behavior).await,
            Server::start(writer_behavior).await,
            sockets,
            fronts,
        )
        .await
    }

    /// Starts a dispatcher in front of a given reader and writer.
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
        let (end, shutdown_signal) = oneshot::channel();
        let (discovery, agent_address) = watch::channel(agent.address);
        let running = tokio::spawn(dispatcher.run(agent_address, async {
            let _ = shutdown_signal.await;
        }));
        let [platform, chat, agent_check] = addresses[..] else { panic!("three listeners") };
        Self { reader, writer, agent, platform, chat, agent_check, discovery, end: Some(end), running }
    }
}

/// Waits until a condition holds; panics with `text` after 5 s.
pub async fn eventually(text: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !condition() {
        assert!(Instant::now() < end, "{text}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// A dispatcher with both fronts before a simulated fleet of readers and writers.
pub struct FleetSite {
    pub fleet: Fleet,
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    /// Starts the shutdown; `None` once a test has taken it.
    pub end: Option<oneshot::Sender<()>>,
    /// The dispatcher's task, which ends with the shutdown.
    pub running: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
    /// The address of the agent that the dispatcher watches; a new value moves the watch.
    pub discovery: watch::Sender<SocketAddr>,
}

impl FleetSite {
    /// Starts a fleet and its dispatcher; `repeats` holds the lines of the settings table `[chat.repeats]`.
    pub async fn start(shape: Shape, repeats: &str) -> Self {
        Self::with_chat(shape, "", repeats).await
    }

    /// Starts a fleet and its dispatcher; `chat` holds additional lines of the settings table `[chat]`.
    pub async fn with_chat(shape: Shape, chat: &str, repeats: &str) -> Self {
        Self::with_settings(shape, chat, repeats, |_| {}).await
    }

    /// Starts a fleet and its dispatcher, whose configuration is changed by `change`.
    pub async fn with_settings(shape: Shape, chat: &str, repeats: &str, change: impl Fn(&mut Value)) -> Self {
        let fleet = Fleet::start(shape).await.unwrap();
        let config = config(fleet.agent.address, &fleet.listing());
        let mut config: Value = serde_json::from_str(&config).unwrap();
        change(&mut config);
        let mut config = Config::parse("config", &config.to_string(), |_| None).unwrap();
        config.stall = Duration::from_millis(300);
        let fronts = format!(
            "[chat]\nenabled = true\nlisten = \"127.0.0.1:0\"\nmost_open = 400\n{chat}\
             [chat.models]\nkiln-ask = \"ask\"\nkiln-book = \"book\"\n\
             [chat.tenants]\nkey-of-clay = \"chiangmai-clay\"\nkey-of-jars = \"ratchaburi-jars\"\n\
             [chat.repeats]\n{repeats}"
        );
        let dispatcher = Dispatcher::bind(config, &Fronts::parse("fronts", &fronts).unwrap()).unwrap();
        let [platform, chat] = dispatcher.addresses()[..] else { panic!("two listeners") };
        let (end, shutdown_signal) = oneshot::channel();
        let (discovery, agent_address) = watch::channel(fleet.agent.address);
        let running = tokio::spawn(dispatcher.run(agent_address, async {
            let _ = shutdown_signal.await;
        }));
        Self { fleet, platform, chat, end: Some(end), running, discovery }
    }
}

/// A chat request to `model` with one user message, `text`, and additional header lines.
pub fn chat_request(model: &str, text: &str, stream: bool, headers: &str) -> String {
    let body = json!({"model": model, "stream": stream, "messages": [{"role": "user", "content": text}]})
        .to_string();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-of-clay\r\n{headers}\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}
