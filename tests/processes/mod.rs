//! A cluster of dispatchers in separate processes, whose datagrams pass through a network that can lose and block
//! them.
#![allow(dead_code)] // each test file that includes this module uses a part of it

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use dewladder_test_peers::{config, until_close, FaultyNetwork, Fleet, Shape};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::process::{Child, Command};
use tokio::time::sleep;

/// The cluster key that all instances share unless a test gives one of them another.
pub const KEY: &str = "00112233445566778899aabbccddeeff";
/// Intervals that are shorter than the defaults, with a probe every 0.3 s.
pub const INTERVALS: &str = "probe_every_s = 0.3\nprobe_timeout_s = 0.15\nsync_every_s = 1.0\n";

/// The value of `name=value` in a log line.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// A running dispatcher process.
pub struct Instance {
    pub child: Child,
    /// The admin address.
    pub admin: SocketAddr,
    /// Collects the lines of standard error until the process ends.
    log: tokio::task::JoinHandle<Vec<String>>,
}

impl Instance {
    /// The answer to `GET /cluster/members`.
    pub async fn members(&self) -> Value {
        let answer = until_close(self.admin, "GET /cluster/members HTTP/1.1\r\nHost: h\r\n\r\n").await;
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_else(|| panic!("an answer: {answer:?}"));
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
        serde_json::from_str(body).unwrap_or_else(|error| panic!("{error}: {body}"))
    }

    /// Names of the other members that this instance shows in the given state.
    pub async fn members_in_state(&self, state: &str) -> Vec<String> {
        let all = self.members().await;
        let members = all["members"].as_array().cloned().unwrap_or_default();
        let names = members.iter().filter(|member| member["state"] == state);
        names.map(|member| member["name"].as_str().unwrap().to_owned()).collect()
    }

    /// Waits until a counter of this instance is not 0. The admin address has a thread of its own: just after a pause it may
    /// answer before the instance has noticed the pause.
    pub async fn wait_until_counted(&self, counter: &str) {
        let mut counts = Value::Null;
        for _ in 0..3_000 {
            counts = self.members().await["counts"].clone();
            if counts[counter].as_u64() >= Some(1) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("{counter} is never counted: {counts}");
    }

    /// Sends a signal, given as an option of `kill`, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().expect("the process runs").to_string();
        assert!(std::process::Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Kills the process if it still runs, and returns its log lines.
    pub async fn kill(mut self) -> Vec<String> {
        let _ = self.child.start_kill();
        self.log.await.unwrap()
    }
}

/// Instances `n0`, `n1` and so on, which share the model servers and the discovery agent of one fleet.
pub struct Cluster {
    pub fleet: Fleet,
    /// Carries the datagrams between the instances.
    pub net: FaultyNetwork,
    folder: PathBuf,
    /// The instances by number; `None` for one that does not run.
    pub instances: Vec<Option<Instance>>,
    /// Log lines of the instances that have ended.
    pub logs: Vec<String>,
    /// The ports of the chat fronts, by instance. A restarted instance keeps its port.
    pub ports: Vec<Port>,
    /// Lines that are appended to the fronts file of each instance; `CHAT` stands for its chat address.
    extra_fronts: String,
}

/// Reserves a loopback port until dropped, so that it is not assigned elsewhere while processes that listen on it
/// stop and start. The listening process must set `SO_REUSEPORT`.
pub struct Port(Socket);

impl Port {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_port(true).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        Self(socket)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap().as_socket().unwrap()
    }
}

/// Creates a folder, or empties it: the platform gives a dispatcher an empty `$TMPDIR` at its first start. What an earlier
/// run of a test has left there counts, as that of an earlier process does.
pub fn empty_folder(folder: &Path) {
    if folder.exists() {
        std::fs::remove_dir_all(folder).unwrap();
    }
    std::fs::create_dir_all(folder).unwrap();
}

impl Cluster {
    /// Starts `count` instances and waits until each of them sees all others alive.
    pub async fn new(name: &str, count: usize, seed: u64) -> Self {
        Self::with_fronts(name, count, seed, "").await
    }

    /// Like `new`, with lines appended to the fronts file of each instance.
    pub async fn with_fronts(name: &str, count: usize, seed: u64, extra_fronts: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("cluster-{name}"));
        empty_folder(&folder);
        let fleet = Fleet::start(Shape::default()).await.unwrap();
        let net = FaultyNetwork::start(count, seed).await.unwrap();
        let ports = (0..count).map(|_| Port::new()).collect();
        let extra_fronts = extra_fronts.to_owned();
        let mut cluster =
            Self { fleet, net, folder, instances: Vec::new(), logs: Vec::new(), ports, extra_fronts };
        for index in 0..count {
            cluster.instances.push(None);
            cluster.start(index, KEY).await;
        }
        cluster.wait_until_all_alive().await;
        cluster
    }

    /// Starts an instance with a cluster key, and returns when it has logged its admin and cluster addresses.
    pub async fn start(&mut self, index: usize, key: &str) {
        let folder = self.folder.join(index.to_string());
        std::fs::create_dir_all(folder.join("shared")).unwrap();
        let mut settings: Value =
            serde_json::from_str(&config(self.fleet.agent.address, &self.fleet.listing())).unwrap();
        settings["name"] = json!(format!("n{index}"));
        settings["admin_addr"] = json!("127.0.0.1:0");
        std::fs::write(folder.join("config.json"), settings.to_string()).unwrap();
        let (own, seed) = (self.net.address(index), self.net.address(if index == 0 { 1 } else { 0 }));
        let fronts = format!(
            "[cluster]\nenabled = true\nlisten = \"127.0.0.1:0\"\nadvertise = \"{own}\"\nkey = \"{key}\"\n\
             seeds = [\"{seed}\"]\n{INTERVALS}{}",
            self.extra_fronts.replace("CHAT", &self.ports[index].address().to_string())
        );
        std::fs::write(folder.join("fronts.toml"), fronts).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
        program.args(["serve", "--config", "config.json", "--fronts", "fronts.toml"]).env_clear();
        program.env("TMPDIR", folder.join("shared")).current_dir(&folder);
        let mut child = program.stderr(Stdio::piped()).kill_on_drop(true).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (mut admin, mut own) = (None, None);
        let mut all = Vec::new();
        while admin.is_none() || own.is_none() {
            let line = lines
                .next_line()
                .await
                .unwrap()
                .unwrap_or_else(|| panic!("the program did not start: {all:?}"));
            if let Some((_, address)) = line.split_once("second address: ") {
                admin = address.parse().ok();
            }
            if let Some((_, rest)) = line.split_once("cluster: listening ") {
                own = field(rest, "address").and_then(|address| address.parse().ok());
            }
            all.push(line);
        }
        self.net.attach(index, own.unwrap());
        let log = tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                all.push(line);
            }
            all
        });
        self.instances[index] = Some(Instance { child, admin: admin.unwrap(), log });
    }

    /// The running instances with their numbers.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Instance)> {
        self.instances
            .iter()
            .enumerate()
            .filter_map(|(index, instance)| instance.as_ref().map(|instance| (index, instance)))
    }

    /// Kills an instance if it runs, and keeps its log lines.
    pub async fn kill(&mut self, index: usize) {
        if let Some(instance) = self.instances[index].take() {
            self.logs.extend(instance.kill().await);
        }
    }

    /// Waits until each running instance shows as many other members in the state as `wanted` gives for its number.
    pub async fn wait_until(&self, condition: &str, state: &str, wanted: impl Fn(usize) -> usize) {
        let mut mismatches = Vec::new();
        for _ in 0..3_000 {
            mismatches.clear();
            for (index, instance) in self.running() {
                let members_in_state = instance.members_in_state(state).await;
                if members_in_state.len() != wanted(index) {
                    mismatches.push((index, members_in_state));
                }
            }
            if mismatches.is_empty() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("{condition}: {state} at {mismatches:?}");
    }

    /// Waits until each running instance sees all other running ones alive.
    pub async fn wait_until_all_alive(&self) {
        let others = self.running().count() - 1;
        self.wait_until("all running instances see each other alive", "alive", |_| others).await;
    }

    /// Kills all instances. Returns how many log lines of all instances declare a member dead, counting only the
    /// member with the given name if there is one.
    pub async fn kill_all_and_count_deaths(mut self, name: Option<&str>) -> usize {
        for index in 0..self.instances.len() {
            self.kill(index).await;
        }
        let dead = |line: &&String| {
            line.contains("cluster: member changed")
                && line.contains("state=dead")
                && name.is_none_or(|name| line.contains(&format!("member={name} ")))
        };
        self.logs.iter().filter(dead).count()
    }
}
