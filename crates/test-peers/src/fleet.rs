//! A small fleet that reads and writes in two steps: readers keep states, writers fetch them, once each; what is held is
//! released by lease calls; servers drain, report load and fail by script. The fleet records every request that a writer
//! started to answer, by id and content, so that a test can ask whether a booking ran twice.

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

/// How a writer fails a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    None,
    /// It turns the request away: it never ran.
    TurnsAway,
    /// It answers 500 after having begun.
    Fails,
    /// It begins, and closes the connection without an answer.
    Vanishes,
    /// It closes the connection after so many events.
    Cuts(usize),
    /// It falls silent after so many events, until the caller closes.
    Stalls(usize),
    /// It forgets the state: the request is turned away with 410.
    Forgets,
}

/// What a fleet is like.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Servers that read.
    pub readers: usize,
    /// Servers that write.
    pub writers: usize,
    /// A read takes so long.
    pub read: Duration,
    /// Events of an answer.
    pub events: usize,
    /// Time between two events.
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
    /// Its `X-Txn`.
    pub id: String,
    /// Its body.
    pub body: String,
    /// Which writer.
    pub writer: usize,
    /// Events that were written.
    pub events: usize,
    /// Whether its last event was written.
    pub complete: bool,
}

/// What all servers of a fleet share.
#[derive(Debug)]
struct State {
    /// Ids of requests whose states are held by readers.
    held: HashSet<String>,
    started: Vec<StartedRequest>,
    /// Faults of the next requests at writers, in order.
    script: VecDeque<Fault>,
    /// Faults once the script is over.
    random: RandomFaults,
    releases: usize,
    reads: usize,
    /// Requests that came whole.
    received: usize,
    /// Of each server.
    draining: Vec<bool>,
    /// Answers that are being written.
    open: usize,
    max_open: usize,
}

/// Faults that are drawn.
#[derive(Debug)]
struct RandomFaults {
    /// In so many of a thousand requests.
    permille: u32,
    /// Out of these.
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

    /// The fault of the next request at a writer.
    fn next_fault(&mut self, body: &str) -> Fault {
        if let Some(fault) = self.script.pop_front().or_else(|| requested_fault(body)) {
            return fault;
        }
        self.random.draw()
    }

    /// Takes a request's read state and records that a writer starts to answer it, at which position; `None` where
    /// there is no such state.
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

/// The fault that a prompt asks for by name, as `{fault:cuts:2}`, so that one who can only send requests can try
/// failures too.
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

/// The fleet with its discovery agent; it ends with the runtime.
#[derive(Debug)]
pub struct Fleet {
    /// The agent that lists it.
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
    /// Starts servers and agent on ports that the system picks.
    ///
    /// # Errors
    /// What the system says.
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

    /// The present list, in discovery's form.
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

    /// Has all servers drain, or take work again, and the agent report so.
    pub fn drain(&self, draining: bool) {
        lock(&self.state).draining.fill(draining);
        self.publish_list();
    }

    /// Faults of the next requests at writers, in order; after them none, or those of [`fail`](Self::fail).
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        lock(&self.state).script = faults.into_iter().collect();
    }

    /// Faults in so many of a thousand requests at writers, drawn from these by the seed.
    pub fn fail(&self, permille: u32, faults: &[Fault], seed: u64) {
        lock(&self.state).random = RandomFaults::new(permille, faults, seed);
    }

    /// Every request that a writer started to answer, in order.
    #[must_use]
    pub fn started(&self) -> Vec<StartedRequest> {
        lock(&self.state).started.clone()
    }

    /// How many requests were started whose body holds this text.
    #[must_use]
    pub fn runs_of(&self, text: &str) -> usize {
        lock(&self.state).started.iter().filter(|request| request.body.contains(text)).count()
    }

    /// Prompts that were read.
    #[must_use]
    pub fn reads(&self) -> usize {
        lock(&self.state).reads
    }

    /// Requests that came whole, at readers and writers, whatever became of them.
    #[must_use]
    pub fn received(&self) -> usize {
        lock(&self.state).received
    }

    /// Read states that readers still hold.
    #[must_use]
    pub fn held_states(&self) -> usize {
        lock(&self.state).held.len()
    }

    /// Lease calls that released something.
    #[must_use]
    pub fn releases(&self) -> usize {
        lock(&self.state).releases
    }

    /// The most answers that were being written at once.
    #[must_use]
    pub fn max_open(&self) -> usize {
        lock(&self.state).max_open
    }
}
