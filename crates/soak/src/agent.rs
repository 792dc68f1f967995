//! Discovery agents for tests, one for each dispatcher. They serve the list of servers, with drains as the plan has
//! them, and can be made silent by the plan.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dewladder_test_peers::plain;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::event_log::EventLog;
use crate::plan::{FaultKind, Plan};

/// Interval at which an agent that has not answered yet checks the plan again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The list of servers over time, as all agents of a run report it.
#[derive(Clone)]
pub struct Registry {
    plan: Arc<Plan>,
    event_log: EventLog,
    addresses: Vec<SocketAddr>,
    /// Reported start time of the last server of each role: the start of the run (Unix time, ms). All others report 0.
    up_since_ms: u64,
}

impl Registry {
    /// The registry of a plan's servers. `up_since_ms` is the reported start time of the last server of each role (Unix
    /// time, ms).
    #[must_use]
    pub fn new(plan: Arc<Plan>, event_log: EventLog, addresses: Vec<SocketAddr>, up_since_ms: u64) -> Self {
        Self { plan, event_log, addresses, up_since_ms }
    }

    /// The servers whose drain has begun by a time.
    fn draining_servers(&self, before_ms: u64) -> impl Iterator<Item = usize> + '_ {
        self.plan.faults.iter().filter(move |fault| fault.from_ms <= before_ms).filter_map(
            |fault| match fault.kind {
                FaultKind::Drain { server } => Some(server),
                _ => None,
            },
        )
    }

    /// The list revision at a time: each drain and each start raises it by one.
    fn revision(&self, now_ms: u64) -> u64 {
        let starts = self.plan.server_starts();
        let drained =
            starts.iter().filter(|start| start.drains_at_ms < start.at_ms && start.drains_at_ms <= now_ms);
        let listed = starts.iter().filter(|start| start.listed_at_ms <= now_ms);
        1 + (self.draining_servers(now_ms).count() + drained.count() + listed.count()) as u64
    }

    /// Whether a server is reported as draining before it starts again.
    fn drains_before_start(&self, server: usize, now_ms: u64) -> bool {
        self.plan.server_starts().iter().any(|start| {
            let drains = start.drains_at_ms < start.at_ms;
            start.server == server && drains && (start.drains_at_ms..start.listed_at_ms).contains(&now_ms)
        })
    }

    /// The reported start time of a server (Unix time, ms), 0 if that is long ago.
    fn started_unix_ms(&self, server: usize, now_ms: u64) -> u64 {
        let starts = self.plan.server_starts();
        let listed = starts.iter().filter(|start| start.server == server && start.listed_at_ms <= now_ms);
        if let Some(last) = listed.max_by_key(|start| start.at_ms) {
            return self.up_since_ms + last.at_ms;
        }
        let is_last_of_role = server % self.plan.servers_per_role + 1 == self.plan.servers_per_role;
        if is_last_of_role && self.plan.slow_start.is_none() {
            self.up_since_ms
        } else {
            0
        }
    }

    /// The whole list of servers at a time (ms since the start of the run), in the format of the agent.
    #[must_use]
    pub fn list(&self, now_ms: u64) -> Value {
        let draining: Vec<usize> = self.draining_servers(now_ms).collect();
        let servers_of_role = self.plan.servers_per_role;
        let member = |(index, address): (usize, &SocketAddr)| {
            let (flavor, phase) = (
                if index < servers_of_role { "prefill" } else { "decode" },
                if draining.contains(&index) || self.drains_before_start(index, now_ms) {
                    "draining"
                } else {
                    "up"
                },
            );
            let started = self.started_unix_ms(index, now_ms);
            let size = self.plan.slow_start.map_or(1.0, |slow_start| slow_start.size(index));
            json!({"id": format!("s-{:08x}", index + 1), "host_port": address.to_string(), "locality": "a",
                "flavor": flavor, "cell": 1, "phase": phase, "size": size, "up_since_ms": started})
        };
        let members: Vec<Value> = self.addresses.iter().enumerate().map(member).collect();
        json!({"revision": self.revision(now_ms), "complete": true, "members": members})
    }

    /// Starts the agent of a dispatcher. Returns the address at which it listens.
    ///
    /// # Errors
    /// The system's error if the agent can't listen.
    pub async fn start(&self, dispatcher: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let registry = self.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        tokio::spawn(serve(stream, registry.clone(), dispatcher));
                    }
                    Err(_) => sleep(POLL_INTERVAL).await,
                }
            }
        });
        Ok(address)
    }

    fn now_ms(&self) -> u64 {
        self.event_log.now() / 1_000
    }

    /// Whether the agent is down now, or a connection that was opened at a time has been silenced for good.
    fn is_silent(&self, dispatcher: usize, opened_ms: u64) -> bool {
        let now_ms = self.now_ms();
        self.plan.faults.iter().any(|fault| match fault.kind {
            FaultKind::AgentDown { dispatcher: target } => target == dispatcher && fault.is_in_force(now_ms),
            FaultKind::WatchSilent { dispatcher: target } => {
                target == dispatcher && opened_ms < fault.from_ms && fault.from_ms <= now_ms
            }
            _ => false,
        })
    }

    /// The pause in the middle of an answer, if by the plan the agent writes slowly.
    fn slow_answer_time(&self, dispatcher: usize) -> Option<Duration> {
        self.plan.faults_at(self.now_ms()).find_map(|kind| match *kind {
            FaultKind::SlowAgent { dispatcher: target, over_ms } if target == dispatcher => {
                Some(Duration::from_millis(over_ms))
            }
            _ => None,
        })
    }

    /// The answer to a call at this moment: the list if the caller does not have this revision, or an empty change once
    /// the time that the call waits is over. `None` if the call keeps waiting.
    fn answer_now(&self, call: Call) -> Option<Value> {
        let now_ms = self.now_ms();
        match call.known_revision {
            Some(known) if self.revision(now_ms) <= known => {
                let is_over = now_ms >= call.until_ms;
                is_over.then(|| json!({"revision": known, "complete": false, "members": []}))
            }
            _ => Some(self.list(now_ms)),
        }
    }
}

/// A dispatcher's call for the list: a long poll if it names a revision.
#[derive(Clone, Copy)]
struct Call {
    /// The list revision that the caller has; `None` asks for the list at once.
    known_revision: Option<u64>,
    /// Until when the call waits for a newer revision (ms since the start of the run).
    until_ms: u64,
}

impl Call {
    fn read(head: &str, now_ms: u64) -> Self {
        let number = |name: &str| {
            let (_, rest) = head.split_once(name)?;
            rest.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        Self { known_revision: number("from="), until_ms: now_ms + number("hold_ms=").unwrap_or(0) }
    }
}

/// Writes an answer, by the plan with a pause in its middle.
async fn write_answer(stream: &mut TcpStream, text: &str, pause: Option<Duration>) -> std::io::Result<()> {
    let Some(pause) = pause else { return stream.write_all(text.as_bytes()).await };
    let (beginning, rest) = text.split_at(text.len() / 2);
    stream.write_all(beginning.as_bytes()).await?;
    sleep(pause).await;
    stream.write_all(rest.as_bytes()).await
}

/// Answers the calls on a connection until it ends.
async fn serve(mut stream: TcpStream, registry: Registry, dispatcher: usize) {
    let opened_ms = registry.now_ms();
    let mut read = Vec::new();
    while let Some((head, _)) = dewladder_test_peers::message(&mut stream, &mut read).await {
        let call = Call::read(&head, registry.now_ms());
        let answer = loop {
            if !registry.is_silent(dispatcher, opened_ms) {
                if let Some(answer) = registry.answer_now(call) {
                    break answer;
                }
            }
            tokio::select! {
                () = sleep(POLL_INTERVAL) => {}
                read = stream.read_buf(&mut read) => if matches!(read, Ok(0) | Err(_)) {
                    return;
                },
            }
        };
        let text = plain(200, "", &answer.to_string());
        if write_answer(&mut stream, &text, registry.slow_answer_time(dispatcher)).await.is_err() {
            return;
        }
    }
}
