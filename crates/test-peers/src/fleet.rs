//! A small fleet that reads and writes in two steps: readers keep states, writers fetch them, once each; what is
//! held is let go of by lease calls; servers drain, report load and fail by script. A ledger holds every request
//! that began to be answered, by id and content, so that a test can ask whether a booking ran twice.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::agent::{member, Agent};
use crate::wire::{chunk, field, message, plain};

/// How a writer fails a request, or a reader where that is said.
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

/// A request that a writer began to answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    /// Its `X-Txn`.
    pub id: String,
    /// Its body.
    pub body: String,
    /// Which writer.
    pub writer: usize,
    /// Events that were written.
    pub events: usize,
    /// Whether its last event was.
    pub whole: bool,
}

#[derive(Debug)]
struct State {
    /// Read states that wait at readers, by id.
    kept: HashMap<String, usize>,
    begun: Vec<Begun>,
    /// Faults of the next requests at writers, in order.
    script: VecDeque<Fault>,
    /// Once the script is over: faults in so many of a thousand requests, out of these.
    permille: u32,
    faults: Vec<Fault>,
    lots: Pcg64Mcg,
    releases: usize,
    reads: usize,
    whole: usize,
    draining: Vec<bool>,
    open: usize,
    most_open: usize,
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
        let state = State {
            kept: HashMap::new(),
            begun: Vec::new(),
            script: VecDeque::new(),
            permille: 0,
            faults: Vec::new(),
            lots: Pcg64Mcg::seed_from_u64(1),
            releases: 0,
            reads: 0,
            whole: 0,
            draining: vec![false; count],
            open: 0,
            most_open: 0,
        };
        let state = Arc::new(Mutex::new(state));
        let mut addresses = Vec::new();
        for server in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let state = state.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(connection(stream, server, shape, state.clone()));
                }
            });
        }
        let agent = Agent::start(json!({"revision": 0, "complete": true, "members": []})).await;
        let fleet = Self { agent, shape, addresses, state, revision: Mutex::new(0) };
        fleet.list();
        Ok(fleet)
    }

    /// The list as it stands, in discovery's form.
    #[must_use]
    pub fn listing(&self) -> Value {
        let state = lock(&self.state);
        let members: Vec<Value> = (self.addresses.iter().enumerate())
            .map(|(at, &address)| {
                let kind = if at < self.shape.readers { "prefill" } else { "decode" };
                member(address, at as u32 + 1, kind, if state.draining[at] { "draining" } else { "up" })
            })
            .collect();
        let revision = *self.revision.lock().unwrap_or_else(PoisonError::into_inner);
        json!({"revision": revision, "complete": true, "members": members})
    }

    fn list(&self) {
        *self.revision.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        self.agent.tells(Some(self.listing()));
    }

    /// Has all servers drain, or take work again, and the agent tell so.
    pub fn drain(&self, draining: bool) {
        lock(&self.state).draining.fill(draining);
        self.list();
    }

    /// Faults of the next requests at writers, in order; after them none, or those of [`fail`](Self::fail).
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        lock(&self.state).script = faults.into_iter().collect();
    }

    /// Faults in so many of a thousand requests at writers, drawn from these by the seed.
    pub fn fail(&self, permille: u32, faults: &[Fault], seed: u64) {
        let mut state = lock(&self.state);
        (state.permille, state.faults) = (permille, faults.to_vec());
        state.lots = Pcg64Mcg::seed_from_u64(seed);
    }

    /// Every request that began to be answered, in order.
    #[must_use]
    pub fn begun(&self) -> Vec<Begun> {
        lock(&self.state).begun.clone()
    }

    /// How many requests began whose body holds this text.
    #[must_use]
    pub fn runs_of(&self, text: &str) -> usize {
        lock(&self.state).begun.iter().filter(|begun| begun.body.contains(text)).count()
    }

    /// Prompts that were read.
    #[must_use]
    pub fn reads(&self) -> usize {
        lock(&self.state).reads
    }

    /// Requests that came whole, at readers and writers, whatever became of them.
    #[must_use]
    pub fn whole(&self) -> usize {
        lock(&self.state).whole
    }

    /// Read states that still wait at readers.
    #[must_use]
    pub fn kept(&self) -> usize {
        lock(&self.state).kept.len()
    }

    /// Lease calls that let something go.
    #[must_use]
    pub fn releases(&self) -> usize {
        lock(&self.state).releases
    }

    /// The most answers that were being written at once.
    #[must_use]
    pub fn most_open(&self) -> usize {
        lock(&self.state).most_open
    }
}

/// What a prompt asks for by name, as `{fault:cuts:2}`: so that who can send requests only can try failures too.
fn asked_for(body: &str) -> Option<Fault> {
    let mut words = body.split_once("{fault:")?.1.split_once('}')?.0.split(':');
    let kind = words.next()?;
    let events = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
    Some(match kind {
        "turns-away" => Fault::TurnsAway,
        "fails" => Fault::Fails,
        "vanishes" => Fault::Vanishes,
        "cuts" => Fault::Cuts(events),
        "stalls" => Fault::Stalls(events),
        _ => return None,
    })
}

impl State {
    fn fault(&mut self, body: &str) -> Fault {
        if let Some(fault) = self.script.pop_front().or_else(|| asked_for(body)) {
            return fault;
        }
        let (lot, which) = (self.lots.next_u32() % 1_000, self.lots.next_u32() as usize);
        if lot >= self.permille || self.faults.is_empty() {
            return Fault::None;
        }
        self.faults[which % self.faults.len()]
    }
}

fn report(state: &State, shape: &Shape) -> String {
    format!("TEXT x0={:.3}, x1=0.0", state.kept.len() as f64 / (64 * shape.readers.max(1)) as f64)
}

async fn connection(mut stream: TcpStream, server: usize, shape: Shape, state: Arc<Mutex<State>>) {
    let mut read = Vec::new();
    while let Some((head, body)) = message(&mut stream, &mut read).await {
        let line = head.lines().next().unwrap_or("").to_owned();
        let id = field(&head, "x-txn").unwrap_or_default();
        if line.starts_with("POST /v1/") {
            lock(&state).whole += 1;
        }
        let goes_on = if let Some(id) = line.strip_prefix("DELETE /kv/leases/") {
            let id = id.split(' ').next().unwrap_or("");
            {
                let mut state = lock(&state);
                state.releases += usize::from(state.kept.remove(id).is_some());
            }
            stream.write_all(plain(204, "", "").as_bytes()).await.is_ok()
        } else if line.starts_with("POST /kv/leases/") {
            // Places are not held ahead here, which is what a caller is told.
            stream.write_all(plain(404, "", "").as_bytes()).await.is_ok()
        } else if line.starts_with("GET ") {
            let text = report(&lock(&state), &shape);
            stream.write_all(plain(200, "", &text).as_bytes()).await.is_ok()
        } else if lock(&state).draining[server] {
            stream.write_all(plain(503, "X-Turned-Away: 1\r\n", "").as_bytes()).await.is_ok()
        } else if server < shape.readers {
            // What a read leaves whose caller has gone away meanwhile goes by itself.
            tokio::select! {
                () = sleep(shape.read) => {}
                came = stream.read_buf(&mut read) => match came {
                    Ok(0) | Err(_) => return,
                    Ok(_) => sleep(shape.read).await,
                },
            }
            let headers = {
                let mut state = lock(&state);
                state.kept.insert(id, server);
                state.reads += 1;
                format!("X-Pressure: {}\r\n", report(&state, &shape))
            };
            stream.write_all(plain(202, &headers, "{\"cached_tokens\":0}").as_bytes()).await.is_ok()
        } else {
            let body = String::from_utf8_lossy(&body).into_owned();
            write(&mut stream, &mut read, server, &shape, &state, id, body).await
        };
        if !goes_on {
            return;
        }
    }
}

/// Answers at a writer; whether the connection goes on.
async fn write(
    stream: &mut TcpStream,
    read: &mut Vec<u8>,
    server: usize,
    shape: &Shape,
    state: &Arc<Mutex<State>>,
    id: String,
    body: String,
) -> bool {
    let (fault, at) = {
        let mut state = lock(state);
        let fault = state.fault(&body);
        if fault == Fault::TurnsAway {
            (fault, usize::MAX)
        } else if fault == Fault::Forgets || state.kept.remove(&id).is_none() {
            state.kept.remove(&id);
            (Fault::Forgets, usize::MAX)
        } else {
            let begun = Begun { id, body: body.clone(), writer: server, events: 0, whole: false };
            state.begun.push(begun);
            state.open += 1;
            state.most_open = state.most_open.max(state.open);
            (fault, state.begun.len() - 1)
        }
    };
    let goes_on = match fault {
        Fault::TurnsAway => stream.write_all(plain(503, "X-Turned-Away: 1\r\n", "").as_bytes()).await.is_ok(),
        Fault::Forgets => stream.write_all(plain(410, "X-Turned-Away: 1\r\n", "").as_bytes()).await.is_ok(),
        Fault::Fails => stream.write_all(plain(500, "", "no").as_bytes()).await.is_ok(),
        Fault::Vanishes => false,
        Fault::None | Fault::Cuts(_) | Fault::Stalls(_) => {
            stream_events(stream, shape, state, at, fault, &body).await
        }
    };
    if at != usize::MAX {
        lock(state).open -= 1;
    }
    if matches!(fault, Fault::Stalls(_)) {
        let _ = stream.read_buf(read).await; // until the caller closes
        return false;
    }
    goes_on
}

/// Calls the first tool twice, the pieces of both calls in turns.
async fn stream_calls(
    stream: &mut TcpStream,
    asked: &Value,
    state: &Arc<Mutex<State>>,
    at: usize,
    until: usize,
) -> bool {
    let name = asked["tools"][0]["function"]["name"].as_str().unwrap_or("none");
    let piece = |index: usize, first: bool, text: &str| {
        let mut call = json!({"index": index, "function": {"arguments": text}});
        if first {
            (call["id"], call["type"]) = (json!(format!("call_{index}")), json!("function"));
            call["function"]["name"] = json!(name);
        }
        json!({"choices": [{"index": 0, "delta": {"tool_calls": [call]}, "finish_reason": null}]})
    };
    let events = [
        piece(0, true, ""),
        piece(1, true, "{\"day\":"),
        piece(0, false, "{\"day\":\"fri"),
        piece(1, false, "\"sat\"}"),
        piece(0, false, "\"}"),
        json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "tool_calls"}]}),
        json!({"choices": [], "usage": {"prompt_tokens": 9, "completion_tokens": 8, "total_tokens": 17}}),
    ];
    for (done, event) in events.iter().enumerate() {
        if done >= until || stream.write_all(chunk(&format!("data: {event}\n\n")).as_bytes()).await.is_err() {
            return false;
        }
        lock(state).begun[at].events = done + 1;
    }
    let whole = stream.write_all((chunk("data: [DONE]\n\n") + "0\r\n\r\n").as_bytes()).await.is_ok();
    lock(state).begun[at].whole = whole;
    whole
}

async fn stream_events(
    stream: &mut TcpStream,
    shape: &Shape,
    state: &Arc<Mutex<State>>,
    at: usize,
    fault: Fault,
    body: &str,
) -> bool {
    let asked: Value = serde_json::from_str(body).unwrap_or_default();
    let most = ["max_completion_tokens", "max_tokens"].iter().find_map(|name| asked[name].as_u64());
    let events = shape.events.min(most.unwrap_or(u64::MAX) as usize);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let until = match fault {
        Fault::Cuts(events) | Fault::Stalls(events) => events,
        _ => usize::MAX,
    };
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    if asked["tool_choice"] == "required" {
        return stream_calls(stream, &asked, state, at, until).await;
    }
    // Given its own beginning, it goes on from there, as published for `continue_final_message`.
    let last = asked["messages"].as_array().and_then(|messages| messages.last()).cloned().unwrap_or_default();
    let goes_on = asked["continue_final_message"] == true && last["role"] == "assistant";
    let from = if goes_on { last["content"].as_str().unwrap_or("").split_whitespace().count() } else { 0 };
    let events = if goes_on { shape.events.min(from + most.unwrap_or(u64::MAX) as usize) } else { events };
    for event in from..events {
        if event - from >= until {
            return false;
        }
        let finish = if event + 1 == events { "\"stop\"" } else { "null" };
        let text = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{event} \"}},\"finish_reason\":{finish}}}]}}\n\n"
        );
        if stream.write_all(chunk(&text).as_bytes()).await.is_err() {
            return false;
        }
        lock(state).begun[at].events = event + 1;
        if shape.pause > Duration::ZERO {
            sleep(shape.pause).await;
        }
    }
    let usage = json!({"choices": [], "usage": {"prompt_tokens": body.len() / 4, "completion_tokens": events,
        "total_tokens": body.len() / 4 + events, "prompt_tokens_details": {"cached_tokens": 0}}});
    let tail = {
        let state = lock(state);
        format!("data: {usage}\n\ndata: [DONE]\n\n: X-Pressure: {}\n\n", report(&state, shape))
    };
    let whole = stream.write_all((chunk(&tail) + "0\r\n\r\n").as_bytes()).await.is_ok();
    lock(state).begun[at].whole = whole;
    whole
}
