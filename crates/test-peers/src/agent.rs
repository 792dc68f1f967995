//! A discovery agent, and the platform configuration that names it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::http::{message, plain};

/// A discovery agent: answers a list at once, and a watch once there is a newer list or the time that was asked for has
/// passed; while it has no list it is silent.
#[derive(Debug)]
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    list: watch::Sender<Option<Value>>,
    /// Path and query of every call, as they came, and `closed` for a connection that the caller closed.
    log: Log,
}

type Log = Arc<Mutex<Vec<String>>>;

impl Agent {
    /// Starts on a port that the system picks.
    ///
    /// # Panics
    /// Where the system gives no port.
    pub async fn start(list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (list, lists) = watch::channel(Some(list));
        let log = Log::default();
        let connection_log = log.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, lists.clone(), connection_log.clone()));
            }
        });
        Self { address, list, log }
    }

    /// Path and query of every call, and `closed` where a caller closed.
    ///
    /// # Panics
    /// Where another holder of the lock has panicked.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// What it has from now on; `None` keeps it silent.
    pub fn tells(&self, list: Option<Value>) {
        self.list.send_replace(list);
    }
}

/// What a call asks for.
struct Call {
    /// The revision that the caller has; -1 where it wants the list at once.
    known_revision: i64,
    /// How long it waits for a newer one.
    hold: Duration,
}

impl Call {
    fn read(head: &str) -> Self {
        let known = head.split_once("from=").map(|(_, rest)| rest.split('&').next().unwrap());
        let hold = head.split_once("hold_ms=").map(|(_, rest)| rest.split(' ').next().unwrap());
        Self {
            known_revision: known.map_or(-1, |text| text.parse().unwrap()),
            hold: Duration::from_millis(hold.map_or(0, |text| text.parse().unwrap())),
        }
    }

    fn is_watch(&self) -> bool {
        self.known_revision >= 0
    }
}

/// Answers the calls of a connection until it ends.
async fn serve(mut stream: TcpStream, mut lists: watch::Receiver<Option<Value>>, log: Log) {
    let mut read = Vec::new();
    while let Some((head, _)) = message(&mut stream, &mut read).await {
        log.lock().unwrap().push(head.split(' ').nth(1).unwrap().to_owned());
        let call = Call::read(&head);
        let known = call.known_revision;
        let is_newer =
            |list: &Option<Value>| list.as_ref().is_some_and(|list| list["revision"].as_i64() > Some(known));
        let mut unmuted = lists.clone();
        let nothing_new = async {
            sleep(call.hold).await;
            let _ = unmuted.wait_for(Option::is_some).await;
        };
        let list = tokio::select! {
            biased;
            list = lists.wait_for(is_newer) => list.map(|list| list.clone()),
            () = nothing_new, if call.is_watch() => {
                Ok(Some(json!({"revision": known, "complete": false, "members": []})))
            }
            _ = stream.read_buf(&mut read) => break,
        };
        let Ok(Some(list)) = list else { return };
        if stream.write_all(plain(200, "", &list.to_string()).as_bytes()).await.is_err() {
            return;
        }
    }
    log.lock().unwrap().push("closed".to_owned());
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
    let class = |name: &str, effect: &str| json!({"name": name, "aim_s": 0.4, "give_up_s": 1.0, "effect": effect, "group": "all", "worth": 2.0});
    let settings = json!({"balancers": 1, "locality": 0, "failure_domains": ["a"], "kinds": ["prefill", "decode"],
        "domain": {"role_by_kind": ["read", "write"], "kind_memory_tokens": [100000, 100000],
            "release_within_s": 0.5, "resume": true},
        "lanes": [class("ask", "idempotent"), class("book", "at_most_once")],
        "limits": {"cancel": true, "connect_timeout_s": 0.25, "keepalive_s": 30.0, "max_attempts": 5,
            "max_retry_after_s": 1.0}, "resolution_s": 0.002, "a_setting_of_tomorrow": {"x": [1, {"y": null}]}});
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": agent, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings})
    .to_string()
}
