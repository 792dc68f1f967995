//! The loop round the reducer: it takes what fronts, attempts and the list tell, steps the reducer, and
//! carries out the effects that it asks for. Nothing is decided here.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use log::{debug, info};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

use crate::edge::clock::Clock;
use crate::edge::core::{Core, Effect, Ending, Input};
use crate::edge::servers::{self, Opened, Payload, Plain, Progress, Relay, Servers};
use crate::edge::settings::Config;
use crate::interface::{Call, EngineId, Entry, Health, ListKind, Micros, Outcome, RequestId};

/// Servers that a release turns to where the holders don't answer.
const STAND_INS: usize = 4;

/// What the driver is told.
#[derive(Debug)]
pub enum Message {
    /// A client asks.
    Asked {
        /// What it asks.
        call: Call,
        /// What is sent on for it.
        payload: Arc<Payload>,
        /// Where its answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// The client has left.
    ClientGone(RequestId),
    /// News of the list: entries with their addresses.
    Listed {
        /// How to read the entries.
        how: ListKind,
        /// The entries.
        entries: Vec<(Entry, String)>,
    },
    /// An attempt's stream has begun.
    Opened {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The stream.
        opened: Box<Opened>,
    },
    /// An attempt has ended.
    Finished {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// How.
        ending: Ending,
    },
}

/// What a client gets.
#[derive(Debug)]
pub enum Reply {
    /// A server's stream.
    Stream(Relay),
    /// Refused: trying again is harmless.
    Refused {
        /// After this.
        retry_in: Micros,
    },
    /// Failed.
    Failed {
        /// Whether it may have run.
        may_have_run: bool,
    },
}

/// Where the driver is told things.
#[derive(Clone, Debug)]
pub struct Sender(mpsc::UnboundedSender<Message>);

impl Sender {
    /// Tells the driver; a driver that has ended wants to know nothing.
    pub fn send(&self, message: Message) {
        let _ = self.0.send(message);
    }

    /// Tells that an attempt has ended.
    pub fn finished(&self, id: RequestId, attempt: u32, ending: Ending) {
        self.send(Message::Finished { id, attempt, ending });
    }

    /// Tells that a client has left.
    pub fn client_gone(&self, id: RequestId) {
        self.send(Message::ClientGone(id));
    }

    /// Hands a request in and waits for its reply. Dropping the future tells that the client has left.
    pub async fn ask(&self, call: Call, payload: Arc<Payload>) -> Reply {
        let (reply, answer) = oneshot::channel();
        let mut leaving = Leaving(Some((self.clone(), call.id)));
        self.send(Message::Asked { call, payload, reply });
        let answer = answer.await;
        leaving.0 = None;
        answer.unwrap_or(Reply::Failed { may_have_run: true })
    }
}

/// Tells that the client has left when it is dropped before the reply: a front's handler is dropped when
/// its connection closes, and nothing else would say so.
struct Leaving(Option<(Sender, RequestId)>);

impl Drop for Leaving {
    fn drop(&mut self) {
        if let Some((to, id)) = self.0.take() {
            to.client_gone(id);
        }
    }
}

/// What is still to be finished before the program may end.
#[derive(Clone, Debug, Default)]
pub struct Held(Arc<[AtomicUsize; 2]>);

impl Held {
    /// Whether neither a request is open nor a release under way.
    #[must_use]
    pub fn nothing(&self) -> bool {
        self.0.iter().all(|count| count.load(Ordering::Relaxed) == 0)
    }
}

struct Waiting {
    payload: Arc<Payload>,
    reply: Option<oneshot::Sender<Reply>>,
}

struct Flying {
    task: AbortHandle,
    progress: Arc<Progress>,
    opened: Option<Box<Opened>>,
}

/// The loop. See the [module](self).
pub struct Driver {
    core: Core,
    clock: Clock,
    inbox: mpsc::UnboundedReceiver<Message>,
    to_self: Sender,
    servers: Servers,
    releases: Plain<Empty<Bytes>>,
    addresses: BTreeMap<EngineId, (String, bool)>,
    clients: HashMap<RequestId, Waiting>,
    flying: HashMap<(RequestId, u32), Flying>,
    held: Held,
}

impl Driver {
    /// A driver for a configuration, with the way to tell it things.
    #[must_use]
    pub fn new(config: &Config, clock: Clock) -> (Self, Sender) {
        let (to_self, inbox) = mpsc::unbounded_channel();
        let to_self = Sender(to_self);
        let core = Core::new(config.settings.clone(), config.seed, clock.now(), config.most_clients());
        let driver = Self {
            core,
            clock,
            inbox,
            to_self: to_self.clone(),
            servers: servers::plain_client(config),
            releases: servers::plain_client(config),
            addresses: BTreeMap::new(),
            clients: HashMap::new(),
            flying: HashMap::new(),
            held: Held::default(),
        };
        (driver, to_self)
    }

    /// What is still to be finished.
    #[must_use]
    pub fn held(&self) -> Held {
        self.held.clone()
    }

    /// Runs for ever.
    pub async fn run(mut self) {
        loop {
            let message = match self.core.next_due() {
                None => self.inbox.recv().await,
                Some(due) => match timeout_at(self.clock.instant(due), self.inbox.recv()).await {
                    Ok(message) => message,
                    Err(_) => {
                        self.step(Input::Tick);
                        continue;
                    }
                },
            };
            let Some(message) = message else { return };
            if let Some(input) = self.take(message) {
                self.step(input);
            }
        }
    }

    fn take(&mut self, message: Message) -> Option<Input> {
        Some(match message {
            Message::Asked { call, payload, reply } => {
                if self.clients.contains_key(&call.id) {
                    let _ = reply.send(Reply::Failed { may_have_run: true }); // an id that is still open
                    return None;
                }
                self.clients.insert(call.id, Waiting { payload, reply: Some(reply) });
                Input::Arrived(call)
            }
            Message::ClientGone(id) => Input::ClientGone(id),
            Message::Listed { how, entries } => {
                let entries = self.list(how, entries);
                Input::Listed { how, entries }
            }
            Message::Opened { id, attempt, opened } => {
                // One that was stopped in the meantime is no more: its stream is dropped here.
                self.flying.get_mut(&(id, attempt))?.opened = Some(opened);
                Input::Began { id, attempt }
            }
            Message::Finished { id, attempt, ending } => {
                self.flying.remove(&(id, attempt));
                Input::Finished { id, attempt, ending }
            }
        })
    }

    fn list(&mut self, how: ListKind, entries: Vec<(Entry, String)>) -> Vec<Entry> {
        if how != ListKind::Patch {
            self.addresses.clear();
        }
        let listed = entries.into_iter().map(|(entry, address)| {
            match entry.health {
                Health::Gone => self.addresses.remove(&entry.engine),
                health => self.addresses.insert(entry.engine, (address, health == Health::Ready)),
            };
            entry
        });
        listed.collect()
    }

    fn step(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.core.step(self.clock.now(), input) {
                inputs.extend(self.carry_out(effect));
            }
        }
        self.held.0[0].store(self.core.open(), Ordering::Relaxed);
    }

    fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        debug!("{effect:?}");
        match effect {
            Effect::Send { id, attempt, engine, until } => self.send(id, attempt, engine, until),
            Effect::Stop { id, attempt } => {
                let written = self.flying.remove(&(id, attempt)).is_some_and(|flying| {
                    flying.task.abort();
                    flying.progress.call_off()
                });
                Some(Input::Stopped { id, attempt, written })
            }
            Effect::Relay { id, attempt } => {
                let opened = self.flying.remove(&(id, attempt)).and_then(|flying| flying.opened);
                if let Some(opened) = opened {
                    let relay = Relay::new(*opened, id, attempt, self.to_self.clone());
                    self.reply(id, Reply::Stream(relay));
                }
                None
            }
            Effect::Refuse { id, retry_in } => {
                info!("request {:016x}: refused, back in {} ms", id.0, retry_in / 1_000);
                self.reply(id, Reply::Refused { retry_in });
                None
            }
            Effect::Fail { id, may_have_run } => {
                info!("request {:016x}: failed{}", id.0, if may_have_run { ", may have run" } else { "" });
                self.reply(id, Reply::Failed { may_have_run });
                None
            }
            Effect::Release { id, holders } => {
                self.release(id, &holders);
                None
            }
            Effect::Forget(id) => {
                self.clients.remove(&id);
                None
            }
        }
    }

    fn reply(&mut self, id: RequestId, reply: Reply) {
        // A client that has just left drops the reply; a stream that is dropped says so by itself.
        if let Some(to) = self.clients.get_mut(&id).and_then(|client| client.reply.take()) {
            let _ = to.send(reply);
        }
    }

    fn send(&mut self, id: RequestId, attempt: u32, engine: EngineId, until: Micros) -> Option<Input> {
        let (Some((address, _)), Some(client)) = (self.addresses.get(&engine), self.clients.get(&id)) else {
            return Some(Input::Finished { id, attempt, ending: Outcome::ConnectFailed.into() });
        };
        let waits = Duration::from_micros(until.saturating_sub(self.clock.now()));
        let progress = Arc::new(Progress::default());
        let (servers, payload) = (self.servers.clone(), client.payload.clone());
        let (address, marks, to) = (address.clone(), progress.clone(), self.to_self.clone());
        let task = tokio::spawn(async move {
            match servers::attempt(servers, address, payload, waits, marks).await {
                servers::Result::Opened(opened) => to.send(Message::Opened { id, attempt, opened }),
                servers::Result::Ended(ending) => to.finished(id, attempt, ending),
            }
        });
        let task = task.abort_handle();
        self.flying.insert((id, attempt), Flying { task, progress, opened: None });
        None
    }

    /// Asks each holder; where it does not answer, any other server takes the call.
    fn release(&mut self, id: RequestId, holders: &[EngineId]) {
        let Some(client) = self.clients.get(&id) else { return };
        let others = self.addresses.iter().filter(|(engine, (_, ready))| *ready && !holders.contains(engine));
        let others: Vec<&String> = others.map(|(_, (address, _))| address).take(STAND_INS).collect();
        for holder in holders {
            let first = self.addresses.get(holder).map(|(address, _)| address);
            let addresses: Vec<String> = first.into_iter().chain(others.clone()).cloned().collect();
            let (client, txn, held) = (self.releases.clone(), client.payload.txn.clone(), self.held.clone());
            held.0[1].fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                servers::release(client, txn, addresses).await;
                held.0[1].fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}
