//! A stand-in discovery agent for each dispatcher. It tells of drains as the plan has them, and can be silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dewladder_test_peers::plain;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::ledger::Ledger;
use crate::plan::{Kind, Plan};

const LOOK: Duration = Duration::from_millis(5);

/// What the agents of a play go by.
#[derive(Clone)]
pub struct Registry {
    plan: Arc<Plan>,
    ledger: Ledger,
    addresses: Vec<SocketAddr>,
    /// Unix time at the start of the play (ms): when servers that start within it started.
    up_since_ms: u64,
}

impl Registry {
    /// The registry of a plan's servers; `up_since_ms` is when the last of each role started (Unix time, ms).
    #[must_use]
    pub fn new(plan: Arc<Plan>, ledger: Ledger, addresses: Vec<SocketAddr>, up_since_ms: u64) -> Self {
        Self { plan, ledger, addresses, up_since_ms }
    }

    fn drains(&self, before: u64) -> impl Iterator<Item = usize> + '_ {
        self.plan.troubles.iter().filter(move |trouble| trouble.from_ms <= before).filter_map(|trouble| {
            match trouble.kind {
                Kind::Drain { server } => Some(server),
                _ => None,
            }
        })
    }

    /// The revision at a time (ms since the start).
    fn revision(&self, now: u64) -> u64 {
        1 + self.drains(now).count() as u64
    }

    /// The whole list at a time.
    #[must_use]
    pub fn list(&self, now: u64) -> Value {
        let draining: Vec<usize> = self.drains(now).collect();
        let of_a_role = self.plan.servers_of_a_role;
        let member = |(at, address): (usize, &SocketAddr)| {
            let (flavor, phase) = (
                if at < of_a_role { "prefill" } else { "decode" },
                if draining.contains(&at) { "draining" } else { "up" },
            );
            let started = if at % of_a_role + 1 == of_a_role { self.up_since_ms } else { 0 };
            json!({"id": format!("s-{:08x}", at + 1), "host_port": address.to_string(), "locality": "a",
                "flavor": flavor, "cell": 1, "phase": phase, "size": 1.0, "up_since_ms": started})
        };
        let members: Vec<Value> = self.addresses.iter().enumerate().map(member).collect();
        json!({"revision": self.revision(now), "complete": true, "members": members})
    }

    /// Starts the agent of a dispatcher; where it listens.
    ///
    /// # Errors
    /// What the system says.
    pub async fn start(&self, dispatcher: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let registry = self.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        tokio::spawn(answers(stream, registry.clone(), dispatcher));
                    }
                    Err(_) => sleep(LOOK).await,
                }
            }
        });
        Ok(address)
    }

    fn now(&self) -> u64 {
        self.ledger.now() / 1_000
    }

    /// Whether a connection that was opened then is silent for good, or the agent is for now.
    fn silent(&self, dispatcher: usize, opened: u64) -> bool {
        let now = self.now();
        self.plan.troubles.iter().any(|trouble| match trouble.kind {
            Kind::AgentDown { dispatcher: of } => {
                of == dispatcher && (trouble.from_ms..trouble.to_ms).contains(&now)
            }
            Kind::WatchSilent { dispatcher: of } => {
                of == dispatcher && opened < trouble.from_ms && trouble.from_ms <= now
            }
            _ => false,
        })
    }
}

async fn answers(mut stream: TcpStream, registry: Registry, dispatcher: usize) {
    let opened = registry.now();
    let mut read = Vec::new();
    while let Some((head, _)) = dewladder_test_peers::message(&mut stream, &mut read).await {
        let number = |name: &str| {
            let (_, rest) = head.split_once(name)?;
            rest.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let (from, hold) = (number("from="), number("hold_ms=").unwrap_or(0));
        let until = registry.now() + hold;
        let answer = loop {
            let now = registry.now();
            if !registry.silent(dispatcher, opened) {
                match from {
                    Some(from) if registry.revision(now) <= from && now >= until => {
                        break json!({"revision": from, "complete": false, "members": []});
                    }
                    Some(from) if registry.revision(now) <= from => {}
                    _ => break registry.list(now),
                }
            }
            tokio::select! {
                () = sleep(LOOK) => {}
                came = stream.read_buf(&mut read) => if matches!(came, Ok(0) | Err(_)) {
                    return;
                },
            }
        };
        if stream.write_all(plain(200, "", &answer.to_string()).as_bytes()).await.is_err() {
            return;
        }
    }
}
