//! A discovery agent, and a configuration for a dispatcher that uses it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::http::{message, plain};

/// A discovery agent with one list of servers. A call without a known revision gets the list at once. A watch, which
/// names the revision that the caller has, gets the list once it is newer, or an empty delta after the hold time. While
/// the agent has no list it answers nothing.
#[derive(Debug)]
pub struct Agent {
    /// The address that the agent listens on.
    pub address: SocketAddr,
    list: watch::Sender<Option<Value>>,
    /// See [`Agent::log`].
    log: Log,
}

type Log = Arc<Mutex<Vec<String>>>;

impl Agent {
    /// Starts an agent with this list on a free loopback port.
    ///
    /// # Panics
    /// If no port can be bound.
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

    /// Path and query of every call in the order of arrival, and `closed` for each connection that the caller closed.
    ///
    /// # Panics
    /// If another thread panicked while it held the lock.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Replaces the list and answers the watches that wait for a newer revision. With `None` the agent answers nothing
    /// until it has a list again.
    pub fn tells(&self, list: Option<Value>) {
        self.list.send_replace(list);
    }
}

/// The query of a call to the agent.
struct Call {
    /// The list revision that the caller has, `from`; -1 for the list at once.
    known_revision: i64,
    /// How long a watch waits for a newer list, `hold_ms`.
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

/// Answers the calls on a connection until the caller closes it. The connection counts as closed, too, when anything
/// arrives while a call waits for its answer.
async fn serve(mut stream: TcpStream, mut lists: watch::Receiver<Option<Value>>, log: Log) {
    let mut read = Vec::new();
    while let Some((head, _)) = message(&mut stream, &mut read).await {
        log.lock().unwrap().push(head.split(' ').nth(1).unwrap().to_owned());
        let call = Call::read(&head);
        let known = call.known_revision;
        let is_newer =
            |list: &Option<Value>| list.as_ref().is_some_and(|list| list["revision"].as_i64() > Some(known));
        let mut availability = lists.clone();
        let hold_expired = async {
            sleep(call.hold).await;
            let _ = availability.wait_for(Option::is_some).await;
        };
        let list = tokio::select! {
            biased;
            list = lists.wait_for(is_newer) => list.map(|list| list.clone()),
            () = hold_expired, if call.is_watch() => {
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

/// The list entry of a server. `kind` is `prefill` (a reader), `decode` (a writer) or `both`; `phase` is `up` or
/// `draining`.
#[must_use]
pub fn member(address: SocketAddr, id: u32, kind: &str, phase: &str) -> Value {
    json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(), "locality": "a",
        "flavor": kind, "cell": 1, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// The JSON configuration of a dispatcher that uses this agent; `known` is the list that it starts with. The unknown
/// setting `a_setting_of_tomorrow` stands for one of a later version, which must be accepted.
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
