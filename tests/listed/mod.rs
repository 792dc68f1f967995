//! A dispatcher between servers that take whole requests and an agent whose every step is the test's.
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

/// Longer than anything that has to come at all, shorter than a test may last.
pub const SOON: Duration = Duration::from_secs(3);

/// The status of an answer; 0 without one.
pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// A server that takes whole requests, as the list names it.
pub fn entry(address: SocketAddr, id: u32, phase: &str) -> Value {
    dewladder_test_peers::member(address, id, "both", phase)
}

/// The whole list, or what has changed in it.
pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

pub fn answer(list: &Value) -> String {
    plain(200, "", &list.to_string())
}

/// A configuration with a kind of servers that read and write.
pub fn settings(agent: SocketAddr, known: &Value) -> Value {
    let mut config: Value = serde_json::from_str(&config(agent, known)).unwrap();
    config["settings"]["kinds"] = json!(["prefill", "decode", "both"]);
    config["settings"]["domain"]["role_by_kind"] = json!(["read", "write", "both"]);
    config["settings"]["domain"]["kind_memory_tokens"] = json!([100_000, 100_000, 100_000]);
    config
}

/// A dispatcher that runs.
pub struct Running {
    pub platform: SocketAddr,
    pub health: Health,
    pub reloader: ConfigReloader,
    pub running: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
    _end: oneshot::Sender<()>,
}

impl Running {
    pub fn start(config: &Value) -> Self {
        let config = Config::parse("config", &config.to_string(), |_| None).unwrap();
        let (tell, discovery) = watch::channel(config.discovery);
        let dispatcher = Dispatcher::bind(config, &Fronts::default()).unwrap();
        let (platform, health) = (dispatcher.addresses()[0], dispatcher.health());
        let reloader = dispatcher.config_reloader(tell);
        let (end, ended) = oneshot::channel();
        let running = tokio::spawn(dispatcher.run(discovery, async {
            let _ = ended.await;
        }));
        Self { platform, health, reloader, running, _end: end }
    }

    /// Servers that take work, as it holds the list.
    pub fn ready(&self) -> usize {
        self.health.figures().servers()
    }

    /// Waits until it holds so many servers for ready, until then at the latest; how long it took.
    pub async fn holds(&self, ready: usize, within: Duration) -> Result<Duration, String> {
        let start = Instant::now();
        while self.ready() != ready {
            if start.elapsed() > within {
                return Err(format!("{} are held for ready after {:?}, not {ready}", self.ready(), within));
            }
            if self.running.is_finished() {
                return Err("the dispatcher has ended".to_owned());
            }
            sleep(Duration::from_millis(2)).await;
        }
        Ok(start.elapsed())
    }

    pub async fn ask(&self, id: &str, lane: &str, remaining: &str) -> String {
        until_close(self.platform, &platform(id, lane, remaining)).await
    }

    /// The status of `GET /health/ready`.
    pub async fn readiness(&self) -> u16 {
        let call = "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        status(&until_close(self.platform, call).await)
    }

    /// Has the file at `path` say this, and takes it over as after SIGHUP.
    pub fn hangup(&mut self, name: &str, text: &str) {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&path, text).unwrap();
        self.reloader.reload(path.to_str().unwrap(), |_| None);
    }
}

/// A dispatcher before two servers, with the agent's open watch in the test's hands.
pub struct Watched {
    pub site: Running,
    pub servers: [Server; 2],
    pub agent: Peer,
    pub config: Value,
}

impl Watched {
    /// Both are known and up; the whole list has been asked for and told, and the watch is open.
    pub async fn start() -> (Self, Line) {
        let site = Self::asking(|_| ()).await;
        let (mut line, asked) = site.agent.asked().await;
        assert!(asked.head.starts_with("GET /registry/instances HTTP/1.1"), "{}", asked.head);
        line.says(&answer(&site.list(1, true, "up"))).await.unwrap();
        let (line, from) = site.watch(line).await;
        assert_eq!(from, Some(1));
        (site, line)
    }

    /// The same before its first call is taken, with another configuration.
    pub async fn asking(change: impl FnOnce(&mut Value)) -> Self {
        let servers = [Server::start(Behavior::Stream(1)).await, Server::start(Behavior::Stream(1)).await];
        let agent = Peer::start().await;
        let entries = [entry(servers[0].address, 1, "up"), entry(servers[1].address, 2, "up")];
        let mut config = settings(agent.address, &list(1, true, &entries));
        change(&mut config);
        let site = Running::start(&config);
        Self { site, servers, agent, config }
    }

    /// The list in which the first server is in this phase; as a delta, it alone.
    pub fn list(&self, revision: u64, complete: bool, phase: &str) -> Value {
        let entries = [entry(self.servers[0].address, 1, phase), entry(self.servers[1].address, 2, "up")];
        list(revision, complete, if complete { &entries } else { &entries[..1] })
    }

    /// The next call, on this connection or, where that was not yet free again, on a new one; and from which revision.
    pub async fn watch(&self, line: Line) -> (Line, Option<u64>) {
        next_call(&self.agent, line).await
    }

    /// The next call on a new connection.
    pub async fn anew(&self, within: Duration) -> (Line, Option<u64>) {
        let (line, watch) = timeout(within, self.agent.asked()).await.expect("it asks anew in time");
        let from = from(&watch);
        (line, from)
    }

    /// Which servers of the two get something of a dozen sessions, all of which are served.
    pub async fn takers(&self, tag: u32) -> BTreeSet<usize> {
        let before = self.servers.each_ref().map(Server::posts);
        for session in 0..12 {
            let call = platform(&format!("{tag:08x}{session:08x}"), "ask", "0.900");
            let call = call.replace("X-Entity: e", &format!("X-Entity: e{session}"));
            let said = until_close(self.site.platform, &call).await;
            assert_eq!(status(&said), 200, "{said}");
        }
        (0..2).filter(|&at| self.servers[at].posts() > before[at]).collect()
    }
}

/// From which revision a call asks.
pub fn from(call: &Message) -> Option<u64> {
    let (_, rest) = call.head.split_once("from=")?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

/// The next call at an agent, on this connection or, where that was not yet free again or has been given up, on a new
/// one. A connection that is accepted is not lost, whatever else comes meanwhile.
pub async fn next_message(agent: &Peer, mut line: Line) -> (Line, Message) {
    loop {
        tokio::select! {
            Some(call) = line.message() => return (line, call),
            new = agent.accept() => line = new,
        }
    }
}

/// The same, and from which revision it asks.
pub async fn next_call(agent: &Peer, line: Line) -> (Line, Option<u64>) {
    let (line, call) = timeout(SOON, next_message(agent, line)).await.expect("a call in time");
    (line, from(&call))
}

/// The agent is asked for the whole list, tells it, and has the watch upon it open.
pub async fn told(agent: &Peer, list: &Value) -> Line {
    let (mut line, _) = timeout(SOON, agent.asked()).await.expect("asked in time");
    line.says(&answer(list)).await.unwrap();
    next_call(agent, line).await.0
}
