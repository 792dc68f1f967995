//! A discovery agent, and the platform configuration that names it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::wire::{message, plain};

/// A discovery agent: answers at once, watches once there is something newer or the time that was asked for has passed;
/// while muted it is silent.
#[derive(Debug)]
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    list: watch::Sender<Option<Value>>,
    /// Path and query of every call, as they came, and `closed` for a connection that the caller closed.
    log: Arc<Mutex<Vec<String>>>,
}

impl Agent {
    /// Starts on a port that the system picks.
    pub async fn start(list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (list, lists) = watch::channel(Some(list));
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (mut lists, mut muted, lines) = (lists.clone(), lists.clone(), lines.clone());
                tokio::spawn(async move {
                    let mut read = Vec::new();
                    while let Some((head, _)) = message(&mut stream, &mut read).await {
                        lines.lock().unwrap().push(head.split(' ').nth(1).unwrap().to_owned());
                        let from = head.split_once("from=").map(|(_, rest)| rest.split('&').next().unwrap());
                        let from: i64 = from.map_or(-1, |text| text.parse().unwrap());
                        let newer = |list: &Option<Value>| {
                            list.as_ref().is_some_and(|list| list["revision"].as_i64() > Some(from))
                        };
                        let hold =
                            head.split_once("hold_ms=").map(|(_, rest)| rest.split(' ').next().unwrap());
                        let hold = hold.map_or(0, |text| text.parse().unwrap());
                        let nothing_new = async {
                            tokio::time::sleep(Duration::from_millis(hold)).await;
                            let _ = muted.wait_for(Option::is_some).await;
                        };
                        let list = tokio::select! {
                            biased;
                            list = lists.wait_for(newer) => list.map(|list| list.clone()),
                            () = nothing_new, if from >= 0 => {
                                Ok(Some(json!({"revision": from, "complete": false, "members": []})))
                            }
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

    /// Path and query of every call, and `closed` where a caller closed.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// What it has from now on; `None` keeps it silent.
    pub fn tells(&self, list: Option<Value>) {
        self.list.send_replace(list);
    }
}

/// A server's entry in the list.
#[must_use]
pub fn member(address: SocketAddr, id: u32, kind: &str, phase: &str) -> Value {
    json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(), "locality": "a",
        "flavor": kind, "cell": 1, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// A platform configuration, as JSON.
#[must_use]
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
