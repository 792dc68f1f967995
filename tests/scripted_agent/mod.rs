//! A dispatcher in this process with servers of the kind `both`, and a discovery agent whose every response the
//! test writes itself.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use dewladder::edge::balancers::Health;
use dewladder::edge::config_reload::ConfigReloader;
use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder_test_peers::{config, plain, platform, until_close, Behavior, Line, Message, Peer, Server};
use serde_json::{json, Value};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// Limit on each single wait: longer than any awaited event takes, shorter than a test may run.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The status code of an HTTP response; 0 if the text holds none.
pub fn status(http_response: &str) -> u16 {
    http_response.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// The list entry of a server of the kind `both`, which reads prompts and writes answers.
pub fn server_entry(address: SocketAddr, id: u32, phase: &str) -> Value {
    dewladder_test_peers::member(address, id, "both", phase)
}

/// A list of servers: the whole list if `complete`, else a delta with the changed entries only.
pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// The agent's 200 response with this list.
pub fn http_response(list: &Value) -> String {
    plain(200, "", &list.to_string())
}

/// A configuration with this agent and known list, and with a third kind of servers, `both`, that read and
/// write.
pub fn settings(agent: SocketAddr, known: &Value) -> Value {
    let mut config: Value = serde_json::from_str(&config(agent, known)).unwrap();
    config["settings"]["kinds"] = json!(["prefill", "decode", "both"]);
    config["settings"]["domain"]["role_by_kind"] = json!(["read", "write", "both"]);
    config["settings"]["domain"]["kind_memory_tokens"] = json!([100_000, 100_000, 100_000]);
    config
}

/// A dispatcher that runs in a task of this process until the value is dropped.
pub struct RunningDispatcher {
    pub platform: SocketAddr,
    pub health: Health,
    pub reloader: ConfigReloader,
    pub run_task: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
    _shutdown: oneshot::Sender<()>,
}

impl RunningDispatcher {
    pub fn start(config: &Value) -> Self {
        let config = Config::parse("config", &config.to_string(), |_| None).unwrap();
        let (discovery_sender, discovery) = watch::channel(config.discovery);
        let dispatcher = Dispatcher::bind(config, &Fronts::default()).unwrap();
        let (platform, health) = (dispatcher.addresses()[0], dispatcher.health());
        let reloader = dispatcher.config_reloader(discovery_sender);
        let (shutdown, shutdown_requested) = oneshot::channel();
        let run_task = tokio::spawn(dispatcher.run(discovery, async {
            let _ = shutdown_requested.await;
        }));
        Self { platform, health, reloader, run_task, _shutdown: shutdown }
    }

    /// The number of servers that accept new work according to the list that the dispatcher holds.
    pub fn ready(&self) -> usize {
        self.health.figures().servers()
    }

    /// Waits until exactly `ready` servers accept new work, and returns how long that took; an error after
    /// `within`, or once the dispatcher has ended.
    pub async fn wait_for_ready(&self, ready: usize, within: Duration) -> Result<Duration, String> {
        let start = Instant::now();
        while self.ready() != ready {
            if start.elapsed() > within {
                return Err(format!("{} servers are ready after {:?}, not {ready}", self.ready(), within));
            }
            if self.run_task.is_finished() {
                return Err("the dispatcher has ended".to_owned());
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(start.elapsed())
    }

    pub async fn request(&self, id: &str, class: &str, remaining: &str) -> String {
        until_close(self.platform, &platform(id, class, remaining)).await
    }

    /// The status code of `GET /health/ready`.
    pub async fn readiness(&self) -> u16 {
        let call = "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        status(&until_close(self.platform, call).await)
    }

    /// Writes `text` to the configuration file `name` and reloads it, as the program does on SIGHUP.
    pub fn sighup(&mut self, name: &str, text: &str) {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&path, text).unwrap();
        self.reloader.reload(path.to_str().unwrap(), |_| None);
    }
}

/// A dispatcher with two servers, and the connection to its agent on which the test answers its watch.
pub struct WatchedDispatcher {
    pub dispatcher: RunningDispatcher,
    pub servers: [Server; 2],
    pub agent: Peer,
    pub config: Value,
}

impl WatchedDispatcher {
    /// Starts with both servers known and up, serves the whole list (revision 1) to the first call, and returns
    /// the connection on which the watch from that revision waits for its response.
    pub async fn start() -> (Self, Line) {
        let dispatcher = Self::before_first_call(|_| ()).await;
        let (mut line, asked) = dispatcher.agent.asked().await;
        assert!(asked.head.starts_with("GET /registry/instances HTTP/1.1"), "{}", asked.head);
        line.says(&http_response(&dispatcher.list(1, true, "up"))).await.unwrap();
        let (line, from) = dispatcher.watch(line).await;
        assert_eq!(from, Some(1));
        (dispatcher, line)
    }

    /// Starts the same with a changed configuration, and leaves the dispatcher's first call to the agent
    /// unanswered.
    pub async fn before_first_call(change: impl FnOnce(&mut Value)) -> Self {
        let servers = [Server::start(Behavior::Stream(1)).await, Server::start(Behavior::Stream(1)).await];
        let agent = Peer::start().await;
        let entries = [server_entry(servers[0].address, 1, "up"), server_entry(servers[1].address, 2, "up")];
        let mut config = settings(agent.address, &list(1, true, &entries));
        change(&mut config);
        let dispatcher = RunningDispatcher::start(&config);
        Self { dispatcher, servers, agent, config }
    }

    /// The list with the first server in this phase and the second one up; a delta holds the first entry only.
    pub fn list(&self, revision: u64, complete: bool, phase: &str) -> Value {
        let entries =
            [server_entry(self.servers[0].address, 1, phase), server_entry(self.servers[1].address, 2, "up")];
        list(revision, complete, if complete { &entries } else { &entries[..1] })
    }

    /// The next call, on this connection or, if the dispatcher does not reuse it, on a new one; and the
    /// revision that the call asks from.
    pub async fn watch(&self, line: Line) -> (Line, Option<u64>) {
        next_call(&self.agent, line).await
    }

    /// The next call on a new connection, and the revision that it asks from; panics if none arrives within
    /// this time.
    pub async fn next_connection(&self, within: Duration) -> (Line, Option<u64>) {
        let (line, watch) = timeout(within, self.agent.asked()).await.expect("no new call within the limit");
        let from = from(&watch);
        (line, from)
    }

    /// Sends twelve requests of twelve sessions, all of which have to be served; returns the indices of the
    /// servers that received any.
    pub async fn servers_used(&self, tag: u32) -> BTreeSet<usize> {
        let before = self.servers.each_ref().map(Server::posts);
        for session in 0..12 {
            let call = platform(&format!("{tag:08x}{session:08x}"), "ask", "0.900");
            let call = call.replace("X-Entity: e", &format!("X-Entity: e{session}"));
            let reply = until_close(self.dispatcher.platform, &call).await;
            assert_eq!(status(&reply), 200, "{reply}");
        }
        (0..2).filter(|&at| self.servers[at].posts() > before[at]).collect()
    }
}

/// The revision that a call asks from (`from=`); `None` if it asks for the whole list.
pub fn from(call: &Message) -> Option<u64> {
    let (_, rest) = call.head.split_once("from=")?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

/// The next call to an agent, on this connection or, if the dispatcher does not reuse it or has given it up, on
/// a new one. A connection that was accepted is never dropped while the old one is still waited for.
pub async fn next_message(agent: &Peer, mut line: Line) -> (Line, Message) {
    loop {
        tokio::select! {
            Some(call) = line.message() => return (line, call),
            new = agent.accept() => line = new,
        }
    }
}

/// The next call like [`next_message`], and the revision that it asks from; panics after [`TEST_TIMEOUT`].
pub async fn next_call(agent: &Peer, line: Line) -> (Line, Option<u64>) {
    let (line, call) =
        timeout(TEST_TIMEOUT, next_message(agent, line)).await.expect("no call within the time limit");
    (line, from(&call))
}

/// Serves the list to the first call of the dispatcher, and returns the connection on which the following watch
/// waits for its response.
pub async fn served_list(agent: &Peer, list: &Value) -> Line {
    let (mut line, _) = timeout(TEST_TIMEOUT, agent.asked()).await.expect("no call within the time limit");
    line.says(&http_response(list)).await.unwrap();
    next_call(agent, line).await.0
}
