//! The built program as processes on one address, with the servers and the discovery agent of a fleet.
#![allow(dead_code)] // each test file that includes this module uses a part of it

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use dewladder_test_peers::{config, until_close, Fleet, Shape};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::process::{Child, Command};
use tokio::time::sleep;

use crate::processes::{empty_folder, Port};

/// A fleet of test servers, an address for clients, and a folder for the program's files.
pub struct Deployment {
    pub fleet: Fleet,
    pub port: Port,
    pub folder: PathBuf,
}

impl Deployment {
    pub async fn new(name: &str, shape: Shape) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("operations-{name}"));
        empty_folder(&folder);
        empty_folder(&folder.join("shared"));
        Self { fleet: Fleet::start(shape).await.unwrap(), port: Port::new(), folder }
    }

    pub fn config(&self) -> Value {
        let text = config(self.fleet.agent.address, &self.fleet.listing());
        let mut config: Value = serde_json::from_str(&text).unwrap();
        config["listen"] = json!(self.port.address());
        config["admin_addr"] = json!("127.0.0.1:0");
        config
    }

    pub fn write(&self, config: &Value) {
        std::fs::write(self.folder.join("config.json"), config.to_string()).unwrap();
    }

    /// Starts the program on the configuration file in the deployment's folder, and on the fronts file if there is one.
    pub async fn start(&self) -> Process {
        let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
        program.args(["serve", "--config"]).arg(self.folder.join("config.json"));
        let fronts = self.folder.join("fronts.toml");
        if fronts.exists() {
            program.arg("--fronts").arg(fronts);
        }
        program.env_clear().env("TMPDIR", self.folder.join("shared")).current_dir(&self.folder);
        let mut child = program.stderr(Stdio::piped()).kill_on_drop(true).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let admin = loop {
            let line = lines
                .next_line()
                .await
                .unwrap()
                .expect("the program ended before it logged its admin address");
            if let Some((_, address)) = line.split_once("second address: ") {
                break address.parse().unwrap();
            }
        };
        // Keep reading, so that the program never blocks on a full pipe.
        let log = tokio::spawn(async move {
            let mut all = Vec::new();
            while let Ok(Some(line)) = lines.next_line().await {
                all.push(line);
            }
            all
        });
        Process { child, admin, log }
    }
}

/// A running dispatcher process.
pub struct Process {
    pub child: Child,
    pub admin: SocketAddr,
    log: tokio::task::JoinHandle<Vec<String>>,
}

impl Process {
    /// Sends one line to the admin address and returns the answer.
    pub async fn query(&self, line: &str) -> String {
        until_close(self.admin, line).await
    }

    /// Waits for up to 1,000 polls, 5 ms apart, until the process is ready.
    pub async fn until_ready(&self) {
        for _ in 0..1_000 {
            if self.query("READY\n").await.starts_with("OK") {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("never ready");
    }

    /// Returns the value of a metric, as `STATS` reports it.
    pub async fn metric(&self, name: &str) -> u64 {
        let text = self.query("STATS\n").await;
        assert!(text.ends_with("END\n"), "{text}");
        let prefix = format!("edge_router.{name}:");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
        let value = line.unwrap_or_else(|| panic!("no {name} in {text}")).split('|').next().unwrap();
        value.parse().unwrap()
    }

    /// Waits for up to 1,000 polls, 5 ms apart, until a metric has a value.
    pub async fn eventually(&self, name: &str, value: u64) {
        for _ in 0..1_000 {
            if self.metric(name).await == value {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("{name} never became {value}: {}", self.query("STATS\n").await);
    }

    /// The most memory that the process has held so far (MiB), without what it has swapped out.
    pub fn peak_memory_mb(&self) -> u64 {
        let id = self.child.id().expect("the process has ended");
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().strip_suffix(" kB").unwrap().parse::<u64>().unwrap() / 1024
    }

    pub fn send_signal(&self, signal: &str) {
        let id = self.child.id().unwrap().to_string();
        assert!(std::process::Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Waits until the process has exited; returns its exit code and its log.
    pub async fn wait_for_exit(mut self) -> (Option<i32>, Vec<String>) {
        let code = self.child.wait().await.unwrap().code();
        (code, self.log.await.unwrap())
    }
}
