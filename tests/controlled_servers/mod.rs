//! Servers whose responses the test controls, and a dispatcher in this process that uses them, with settings
//! that the test may change.
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

/// Limit on each single wait, far longer than any awaited event takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The protocol allows an attempt to begin at most this long after its client's close.
pub const MAX_START_AFTER_CLOSE: Duration = Duration::from_millis(100);
/// Time after which a message that is sent wrongly would have arrived.
pub const SETTLE_TIME: Duration = Duration::from_millis(300);

pub const READ_RESPONSE: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":12}";
pub const REJECTED_RESPONSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A server that holds back its responses to requests until the test sets one, and its responses to releases
/// (`DELETE`) while the test blocks them.
#[derive(Debug)]
pub struct ControlledServer {
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    response_sender: watch::Sender<Option<String>>,
    release_switch: watch::Sender<bool>,
}

impl ControlledServer {
    pub async fn start() -> Self {
        Self::on_peer(Peer::start().await)
    }

    /// Starts a server that gives this response to every request at once.
    pub async fn responding(text: &str) -> Self {
        let server = Self::start().await;
        server.says(text);
        server
    }

    /// Starts a server that listens with this peer.
    pub fn on_peer(peer: Peer) -> Self {
        let (address, log) = (peer.address, Arc::new(Mutex::new(Vec::new())));
        let (response_sender, responses) = watch::channel(None);
        let (release_switch, release_allowed) = watch::channel(true);
        let lines = log.clone();
        tokio::spawn(async move {
            loop {
                let line = peer.accept().await;
                tokio::spawn(serve_connection(
                    line,
                    lines.clone(),
                    responses.clone(),
                    release_allowed.clone(),
                ));
            }
        });
        Self { address, log, response_sender, release_switch }
    }

    /// Sets the response to all requests, those that wait for one and those to come.
    pub fn says(&self, text: &str) {
        self.response_sender.send_replace(Some(text.to_owned()));
    }

    /// Allows or blocks the responses to releases (`DELETE`); they are allowed at the start.
    pub fn answers_releases(&self, answers: bool) {
        self.release_switch.send_replace(answers);
    }

    /// The method of each message in order of arrival, `closed` for each request on which the dispatcher closed
    /// the connection, and `left` for each connection that it closed between requests.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// The number of log entries that equal this label.
    pub fn count(&self, label: &str) -> usize {
        self.log().iter().filter(|line| *line == label).count()
    }
}

async fn serve_connection(
    mut line: Line,
    log: Arc<Mutex<Vec<String>>>,
    mut responses: watch::Receiver<Option<String>>,
    mut release_allowed: watch::Receiver<bool>,
) {
    let note = |label: &str| log.lock().unwrap().push(label.to_owned());
    while let Some(message) = line.message().await {
        let method = message.head.split(' ').next().unwrap().to_owned();
        note(&method);
        if method == "DELETE" {
            tokio::select! {
                _ = release_allowed.wait_for(|answers| *answers) => {}
                _ = line.rest() => return,
            }
            let _ = line.says("HTTP/1.1 204 No Content\r\n\r\n").await;
            continue;
        }
        let text = tokio::select! {
            text = responses.wait_for(Option::is_some) => text.ok().and_then(|text| text.clone()),
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

pub const FRONTS_CONFIG: &str = r#"
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

/// Addition to [`FRONTS_CONFIG`] that deduplicates repeated chat requests: a request then runs in a task of its
/// own.
pub const REPEATS_CONFIG: &str = "[chat.repeats]\nenabled = true\nafter_start_s = 0.0\n";

/// A dispatcher with both fronts, the platform and the chat API, and its discovery agent.
pub struct TestDispatcher {
    pub agent: Agent,
    pub platform: SocketAddr,
    pub chat: SocketAddr,
    pub shutdown: Option<oneshot::Sender<()>>,
    pub run_task: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
    discovery: watch::Sender<SocketAddr>,
}

/// Sets time limits so long that no read, write or connect is given up because of them.
pub fn with_long_timeouts(config: &mut Value) {
    for class in 0..2 {
        config["settings"]["lanes"][class]["aim_s"] = json!(9.0);
        config["settings"]["lanes"][class]["give_up_s"] = json!(9.0);
    }
    config["settings"]["limits"]["connect_timeout_s"] = json!(9.0);
    config["settings"]["domain"]["release_within_s"] = json!(6.0);
}

/// Sets the same time limits, and turns off that attempts in flight are cancelled when their client has gone.
pub fn with_long_timeouts_and_no_cancel(config: &mut Value) {
    with_long_timeouts(config);
    config["settings"]["limits"]["cancel"] = json!(false);
}

impl TestDispatcher {
    /// Starts a dispatcher with these servers, this configuration of the fronts and these changes of the
    /// settings.
    pub async fn start(members: Vec<Value>, fronts: &str, change: impl FnOnce(&mut Value)) -> Self {
        let list = json!({"revision": 1, "complete": true, "members": members});
        let agent = Agent::start(list.clone()).await;
        let mut settings: Value = serde_json::from_str(&config(agent.address, &list)).unwrap();
        change(&mut settings);
        let mut config = Config::parse("config", &settings.to_string(), |_| None).unwrap();
        config.stall = Duration::from_secs(4);
        let dispatcher = Dispatcher::bind(config, &Fronts::parse("fronts", fronts).unwrap()).unwrap();
        let [platform, chat] = dispatcher.addresses()[..] else { panic!("not two listeners") };
        let (shutdown, ended) = oneshot::channel();
        let (discovery, at) = watch::channel(agent.address);
        let run_task = tokio::spawn(dispatcher.run(at, async {
            let _ = ended.await;
        }));
        Self { agent, platform, chat, shutdown: Some(shutdown), run_task, discovery }
    }

    /// Starts a dispatcher with one reader and one writer.
    pub async fn with_reader_and_writer(
        reader: &ControlledServer,
        writer: &ControlledServer,
        fronts: &str,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        Self::start(vec![read(reader.address, "up"), write(writer.address, "up")], fronts, change).await
    }

    /// The addresses of both fronts, each with a request for it that keeps the connection open.
    pub fn fronts(&self) -> [(SocketAddr, String); 2] {
        [(self.platform, request("9b1f03aa5c7e2d41", "8.000")), (self.chat, chat_request())]
    }

    /// Starts the shutdown, as the program does on SIGTERM.
    pub fn begin_shutdown(&mut self) {
        self.shutdown.take().unwrap().send(()).unwrap();
    }

    /// Waits until the dispatcher has ended by itself, without an error.
    pub async fn ended(self) {
        let ended = timeout(TEST_TIMEOUT, self.run_task)
            .await
            .expect("the dispatcher did not end within the time limit");
        assert_eq!(ended.unwrap(), Ok(()));
    }
}

/// The list entry of the reader.
pub fn read(at: SocketAddr, phase: &str) -> Value {
    member(at, 1, "prefill", phase)
}

/// The list entry of the writer.
pub fn write(at: SocketAddr, phase: &str) -> Value {
    member(at, 2, "decode", phase)
}

/// A platform request of the class `book`, which must not run twice, that keeps the connection open.
pub fn request(id: &str, remaining: &str) -> String {
    dewladder_test_peers::platform(id, "book", remaining).replace("Connection: close\r\n", "")
}

/// A streamed chat request for the model of the same class, that keeps the connection open.
pub fn chat_request() -> String {
    dewladder_test_peers::chat("kiln-book", true).replace("Connection: close\r\n", "")
}

/// The status code of an HTTP response; 0 if the text holds none.
pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Waits until the condition holds; panics with this label if it does not within 4 s.
pub async fn eventually(label: &str, condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(timeout(Duration::from_secs(4), polling).await.is_ok(), "never happened: {label}");
}

/// A chunk with one event of this content, in the format that the chat front passes on too.
pub fn event(text: &str) -> String {
    dewladder_test_peers::chunk(&format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
    ))
}

/// The chunks with the last two events, and the last chunk.
pub fn stream_end() -> String {
    dewladder_test_peers::chunk(
        "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
    ) + &dewladder_test_peers::chunk("data: [DONE]\n\n")
        + "0\r\n\r\n"
}

/// A complete streamed response with this content.
pub fn stream(text: &str) -> String {
    STREAM_HEAD.to_owned() + &event(text) + &stream_end()
}
