//! Instances of the program as they are started, talking through a network that harms what passes.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use dewladder_test_peers::{config, until_close, FaultyNetwork, Fleet, Shape};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::process::{Child, Command};
use tokio::time::sleep;

pub const KEY: &str = "00112233445566778899aabbccddeeff";
/// A probe each 0.3 s.
pub const TIMES: &str = "probe_every_s = 0.3\nprobe_timeout_s = 0.15\nsync_every_s = 1.0\n";

/// The value of a log line's field.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

pub struct Instance {
    pub child: Child,
    pub admin: SocketAddr,
    log: tokio::task::JoinHandle<Vec<String>>,
}

impl Instance {
    pub async fn members(&self) -> Value {
        let answer = until_close(self.admin, "GET /cluster/members HTTP/1.1\r\nHost: h\r\n\r\n").await;
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_else(|| panic!("an answer: {answer:?}"));
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
        serde_json::from_str(body).unwrap_or_else(|error| panic!("{error}: {body}"))
    }

    /// Names of the others that it holds in a state.
    pub async fn holds(&self, state: &str) -> Vec<String> {
        let all = self.members().await;
        let members = all["members"].as_array().cloned().unwrap_or_default();
        let names = members.iter().filter(|member| member["state"] == state);
        names.map(|member| member["name"].as_str().unwrap().to_owned()).collect()
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().expect("it runs").to_string();
        assert!(std::process::Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Kills it where it still runs; its log.
    pub async fn end(mut self) -> Vec<String> {
        let _ = self.child.start_kill();
        self.log.await.unwrap()
    }
}

pub struct Cluster {
    pub fleet: Fleet,
    pub net: FaultyNetwork,
    folder: PathBuf,
    pub instances: Vec<Option<Instance>>,
    pub logs: Vec<String>,
    /// Where the chat fronts are, and what else their file has.
    pub ports: Vec<Port>,
    more: String,
}

/// An address that a process may listen at; it stays taken while this lives, whoever ends and starts.
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

impl Cluster {
    /// So many instances that all hold each other for alive.
    pub async fn formed(name: &str, count: usize, seed: u64) -> Self {
        Self::with(name, count, seed, "").await
    }

    /// With more lines of the operator's file.
    pub async fn with(name: &str, count: usize, seed: u64, more: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("cluster-{name}"));
        let fleet = Fleet::start(Shape::default()).await.unwrap();
        let net = FaultyNetwork::start(count, seed).await.unwrap();
        let ports = (0..count).map(|_| Port::new()).collect();
        let more = more.to_owned();
        let mut cluster = Self { fleet, net, folder, instances: Vec::new(), logs: Vec::new(), ports, more };
        for at in 0..count {
            cluster.instances.push(None);
            cluster.start(at, KEY).await;
        }
        cluster.all_alive().await;
        cluster
    }

    pub async fn start(&mut self, at: usize, key: &str) {
        let folder = self.folder.join(at.to_string());
        std::fs::create_dir_all(folder.join("shared")).unwrap();
        let mut settings: Value =
            serde_json::from_str(&config(self.fleet.agent.address, &self.fleet.listing())).unwrap();
        settings["name"] = json!(format!("n{at}"));
        settings["admin_addr"] = json!("127.0.0.1:0");
        std::fs::write(folder.join("config.json"), settings.to_string()).unwrap();
        let (own, seed) = (self.net.address(at), self.net.address(if at == 0 { 1 } else { 0 }));
        let fronts = format!(
            "[cluster]\nenabled = true\nlisten = \"127.0.0.1:0\"\nadvertise = \"{own}\"\nkey = \"{key}\"\n\
             seeds = [\"{seed}\"]\n{TIMES}{}",
            self.more.replace("CHAT", &self.ports[at].address().to_string())
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
            let line = lines.next_line().await.unwrap().unwrap_or_else(|| panic!("it starts: {all:?}"));
            if let Some((_, address)) = line.split_once("second address: ") {
                admin = address.parse().ok();
            }
            if let Some((_, rest)) = line.split_once("cluster: listening ") {
                own = field(rest, "address").and_then(|address| address.parse().ok());
            }
            all.push(line);
        }
        self.net.attach(at, own.unwrap());
        let log = tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                all.push(line);
            }
            all
        });
        self.instances[at] = Some(Instance { child, admin: admin.unwrap(), log });
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Instance)> {
        self.instances.iter().enumerate().filter_map(|(at, one)| one.as_ref().map(|one| (at, one)))
    }

    pub async fn end(&mut self, at: usize) {
        if let Some(instance) = self.instances[at].take() {
            self.logs.extend(instance.end().await);
        }
    }

    /// Waits until each that runs holds so many others in a state.
    pub async fn until(&self, what: &str, state: &str, wanted: impl Fn(usize) -> usize) {
        let mut seen = Vec::new();
        for _ in 0..3_000 {
            seen.clear();
            for (at, instance) in self.running() {
                let holds = instance.holds(state).await;
                if holds.len() != wanted(at) {
                    seen.push((at, holds));
                }
            }
            if seen.is_empty() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("{what}: {state} at {seen:?}");
    }

    pub async fn all_alive(&self) {
        let others = self.running().count() - 1;
        self.until("all that run hold each other for alive", "alive", |_| others).await;
    }

    /// Ends all; how often an instance's log says that a member of that name, or any, is dead.
    pub async fn deaths(mut self, name: Option<&str>) -> usize {
        for at in 0..self.instances.len() {
            self.end(at).await;
        }
        let dead = |line: &&String| {
            line.contains("cluster: member changed")
                && line.contains("state=dead")
                && name.is_none_or(|name| line.contains(&format!("member={name} ")))
        };
        self.logs.iter().filter(dead).count()
    }
}
