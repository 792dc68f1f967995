//! A fleet of readers and writers. A reader holds the state of each prompt that it has read; a writer takes the state,
//! once, and streams the answer; `DELETE /kv/leases/ID` releases a held state. The servers drain, report their load and
//! fail as the test asks. The fleet records the id and body of every request that a writer started to answer, so that a
//! test can check whether an at-most-once request ran twice.

mod answer;
mod connection;

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::agent::{member, Agent};

/// How a writer fails a request. The request counts as started, except with [`Fault::TurnsAway`] and
/// [`Fault::Forgets`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request does not fail.
    None,
    /// Rejects the request with 503 and `X-Turned-Away`: it did not run, and its state stays held.
    TurnsAway,
    /// Starts the request, then answers 500.
    Fails,
    /// Starts the request, then closes the connection without an answer.
    Vanishes,
    /// Closes the connection after this many events.
    Cuts(usize),
    /// Sends nothing more after this many events, until the caller closes.
    Stalls(usize),
    /// Drops the held state and rejects the request with 410 and `X-Turned-Away`: it did not run.
    Forgets,
}

/// Size and speed of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of readers.
    pub readers: usize,
    /// Number of writers.
    pub writers: usize,
    /// How long a reader takes to read a prompt.
    pub read: Duration,
    /// Content events of an answer, unless the request limits its tokens.
    pub events: usize,
    /// Pause after each event; none if zero.
    pub pause: Duration,
}

impl Default for Shape {
    fn default() -> Self {
        let (read, pause) = (Duration::from_millis(3), Duration::from_millis(2));
        Self { readers: 2, writers: 2, read, events: 6, pause }
    }
}

/// A request that a writer started to answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRequest {
    /// The request's id, `X-Txn`.
    pub id: String,
    /// The request's body.
    pub body: String,
    /// Index of the writer among all servers; readers come first.
    pub writer: usize,
    /// How far the answer was written: the position after its last event. If the answer continues a given text, the
    /// events of that text count too.
    pub events: usize,
    /// Whether the end of the answer was written.
    pub complete: bool,
}

/// State that all servers of a fleet share.
#[derive(Debug)]
struct State {
    /// Ids of the requests whose state a reader holds.
    held: HashSet<String>,
    started: Vec<StartedRequest>,
    /// Faults for the next requests at writers, in order.
    script: VecDeque<Fault>,
    /// Faults after the script, for requests whose prompt asks for none.
    random: RandomFaults,
    releases: usize,
    reads: usize,
    /// `POST /v1/...` requests that were received completely.
    received: usize,
    /// Whether each server drains, by index.
    draining: Vec<bool>,
    /// Answers that writers are writing; stalled ones are not counted.
    open: usize,
    /// Highest value of `open` so far.
    max_open: usize,
}

/// Faults drawn at random, reproducible by seed.
#[derive(Debug)]
struct RandomFaults {
    /// How many of a thousand requests fail.
    permille: u32,
    /// The faults to choose from, with equal probability; none if empty.
    faults: Vec<Fault>,
    rng: Pcg64Mcg,
}

impl RandomFaults {
    fn new(permille: u32, faults: &[Fault], seed: u64) -> Self {
        Self { permille, faults: faults.to_vec(), rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    fn draw(&mut self) -> Fault {
        let (draw, which) = (self.rng.next_u32() % 1_000, self.rng.next_u32() as usize);
        if draw >= self.permille || self.faults.is_empty() {
            return Fault::None;
        }
        self.faults[which % self.faults.len()]
    }
}

impl State {
    fn new(servers: usize) -> Self {
        Self {
            held: HashSet::new(),
            started: Vec::new(),
            script: VecDeque::new(),
            random: RandomFaults::new(0, &[], 1),
            releases: 0,
            reads: 0,
            received: 0,
            draining: vec![false; servers],
            open: 0,
            max_open: 0,
        }
    }

    /// The fault for the next request at a writer: from the script, else the one that its prompt asks for, else a
    /// random one.
    fn next_fault(&mut self, body: &str) -> Fault {
        if let Some(fault) = self.script.pop_front().or_else(|| requested_fault(body)) {
            return fault;
        }
        self.random.draw()
    }

    /// Takes the held state of a request and records that a writer starts to answer it. Returns the position in
    /// `started`, or `None` if no reader holds the state or the fault is [`Fault::Forgets`].
    fn start_answer(&mut self, id: String, body: &str, writer: usize, fault: Fault) -> Option<usize> {
        let has_state = self.held.remove(&id);
        if fault == Fault::Forgets || !has_state {
            return None;
        }
        let request = StartedRequest { id, body: body.to_owned(), writer, events: 0, complete: false };
        self.started.push(request);
        self.open += 1;
        self.max_open = self.max_open.max(self.open);
        Some(self.started.len() - 1)
    }
}

/// The fault that a prompt asks for by name, such as `{fault:cuts:2}`, so that a test which can only send requests,
/// like the conformance suite, can cause failures too.
fn requested_fault(body: &str) -> Option<Fault> {
    let mut words = body.split_once("{fault:")?.1.split_once('}')?.0.split(':');
    let kind = words.next()?;
    let events = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
    match kind {
        "turns-away" => Some(Fault::TurnsAway),
        "fails" => Some(Fault::Fails),
        "vanishes" => Some(Fault::Vanishes),
        "cuts" => Some(Fault::Cuts(events)),
        "stalls" => Some(Fault::Stalls(events)),
        _ => None,
    }
}

/// A fleet and its discovery agent. Its servers run until the Tokio runtime ends.
#[derive(Debug)]
pub struct Fleet {
    /// The agent that serves the list of this fleet's servers.
    pub agent: Agent,
    shape: Shape,
    addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    revision: Mutex<u64>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    /// Starts the servers and the agent on free loopback ports.
    ///
    /// # Errors
    /// If a server's port can't be bound.
    pub async fn start(shape: Shape) -> std::io::Result<Self> {
        let count = shape.readers + shape.writers;
        let state = Arc::new(Mutex::new(State::new(count)));
        let mut addresses = Vec::new();
        for server in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let state = state.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(connection::serve(stream, server, shape, state.clone()));
                }
            });
        }
        let agent = Agent::start(json!({"revision": 0, "complete": true, "members": []})).await;
        let fleet = Self { agent, shape, addresses, state, revision: Mutex::new(0) };
        fleet.publish_list();
        Ok(fleet)
    }

    /// The current list of servers, as the agent sends it.
    #[must_use]
    pub fn listing(&self) -> Value {
        let state = lock(&self.state);
        let mut members = Vec::new();
        for (server, &address) in self.addresses.iter().enumerate() {
            let kind = if server < self.shape.readers { "prefill" } else { "decode" };
            let phase = if state.draining[server] { "draining" } else { "up" };
            members.push(member(address, server as u32 + 1, kind, phase));
        }
        let revision = *self.revision.lock().unwrap_or_else(PoisonError::into_inner);
        json!({"revision": revision, "complete": true, "members": members})
    }

    fn publish_list(&self) {
        *self.revision.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        self.agent.tells(Some(self.listing()));
    }

    /// Makes all servers drain, or accept requests again, and publishes a list that says so.
    pub fn drain(&self, draining: bool) {
        lock(&self.state).draining.fill(draining);
        self.publish_list();
    }

    /// Sets the faults for the next requests at writers, in order. Later requests get those that their prompt or
    /// [`fail`](Self::fail) asks for.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        lock(&self.state).script = faults.into_iter().collect();
    }

    /// Makes on average `permille` of a thousand requests at writers fail, each with one of these faults, drawn with
    /// this seed.
    pub fn fail(&self, permille: u32, faults: &[Fault], seed: u64) {
        lock(&self.state).random = RandomFaults::new(permille, faults, seed);
    }

    /// Every request that a writer started to answer, in the order of the starts.
    #[must_use]
    pub fn started(&self) -> Vec<StartedRequest> {
        lock(&self.state).started.clone()
    }

    /// Number of started requests whose body contains this text.
    #[must_use]
    pub fn runs_of(&self, text: &str) -> usize {
        lock(&self.state).started.iter().filter(|request| request.body.contains(text)).count()
    }

    /// Number of prompts that were read.
    #[must_use]
    pub fn reads(&self) -> usize {
        lock(&self.state).reads
    }

    /// Number of `POST /v1/...` requests that readers and writers received completely, rejected ones included.
    #[must_use]
    pub fn received(&self) -> usize {
        lock(&self.state).received
    }

    /// Number of states that readers hold.
    #[must_use]
    pub fn held_states(&self) -> usize {
        lock(&self.state).held.len()
    }

    /// Number of release calls that released a held state.
    #[must_use]
    pub fn releases(&self) -> usize {
        lock(&self.state).releases
    }

    /// Most answers that writers were writing at the same time.
    #[must_use]
    pub fn max_open(&self) -> usize {
        lock(&self.state).max_open
    }
}
