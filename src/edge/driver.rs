//! The loop round the reducer: it takes what fronts, attempts and the list tell, steps the reducer, and
//! carries out the effects that it asks for. Nothing is decided here.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout_at};

use crate::edge::clock::Clock;
use crate::edge::core::{AttemptResult, Core, Effect, Input, CLOSE_SEEN};
use crate::edge::peers::Peers;
use crate::edge::servers::{self, Opened, Payload, Progress, Relay, Servers, StreamEnd};
use crate::edge::settings::Config;
use crate::edge::stats::{Counts, End, Figures};
use crate::interface::{
    Class, Health, ListUpdateKind, Micros, Outcome, RequestId, RequestInfo, ServerEntry, ServerId, Settings,
};
use dewladder_router::{mix, GossipCounts, Handover};

/// Time between two lines of what clients got.
const TALLY: Micros = 10_000_000;
/// Servers that are avoided are counted so often: it goes through all of them, and a step is taken for each event.
const AVOIDED: Micros = 100_000;
/// Servers that a release turns to where the holders don't answer.
const STAND_INS: usize = 8;

/// What the driver is told.
#[derive(Debug)]
pub enum Message {
    /// A client asks.
    RequestArrived {
        /// What it asks.
        call: RequestInfo,
        /// What is sent on for it.
        payload: Arc<Payload>,
        /// Where its answer goes.
        reply: oneshot::Sender<Reply>,
        /// Is told whether it may have run, once nothing of it is out any more.
        over: oneshot::Sender<bool>,
    },
    /// News of the list: entries with their addresses.
    EndpointsUpdated {
        /// How to read the entries.
        how: ListUpdateKind,
        /// The entries.
        entries: Vec<(ServerEntry, String)>,
    },
    /// An attempt's stream has begun.
    StreamOpened {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The stream.
        opened: Box<Opened>,
    },
    /// A client has left before its reply.
    ClientDisconnected(RequestId),
    /// Settings that hold from now on.
    SettingsReloaded(Box<Settings>),
    /// Asks for what is learnt by now.
    ExportState(oneshot::Sender<Box<Handover>>),
    /// What the process whose place this one takes has learnt.
    StateImported(Box<Handover>),
    /// This process is a part of its dispatcher from now on, and holds so many requests at most.
    LimitShareChanged {
        /// Which part, of 1.
        part: f64,
        /// Requests that are open at once.
        most_open: usize,
    },
    /// Something that the reducer takes as it is.
    Input(Input),
}

/// What a client gets.
#[derive(Debug)]
pub enum Reply {
    /// A server's stream.
    Stream(Relay),
    /// Refused: trying again is harmless.
    Rejected {
        /// After this.
        retry_in: Micros,
    },
    /// Failed.
    Failed {
        /// Whether it may have run.
        may_have_run: bool,
    },
    /// Another request with this id is open: nothing was done, and that one goes on.
    DuplicateId,
}

/// Where the driver is told things.
#[derive(Clone, Debug)]
pub struct DriverHandle {
    to: mpsc::UnboundedSender<Message>,
    settings: watch::Receiver<Arc<Settings>>,
}

impl DriverHandle {
    /// The settings that hold now: their classes are those that new requests may have.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// A class by its name, with its number, if new requests may have it.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<(u32, Class)> {
        let settings = self.settings();
        let mut named = settings.classes.iter().filter(|(_, class)| class.name == name);
        named.next().map(|(&number, class)| (number, class.clone()))
    }

    /// Tells the driver; a driver that has ended wants to know nothing.
    pub fn send(&self, message: Message) {
        let _ = self.to.send(message);
    }

    /// Hands a request in and waits for its reply. Dropping the future tells that the client has left.
    pub async fn ask(&self, call: RequestInfo, payload: Arc<Payload>) -> Reply {
        self.begin(call, payload).0.await
    }

    /// Hands a request in. Besides its reply, as of [`ask`](Self::ask), there is told whether it may have run:
    /// once nothing of it is out any more, also where the client has left before.
    pub fn begin(
        &self,
        call: RequestInfo,
        payload: Arc<Payload>,
    ) -> (impl Future<Output = Reply> + use<>, oneshot::Receiver<bool>) {
        let (reply, answer) = oneshot::channel();
        let (over, told) = oneshot::channel();
        let leaving = Leaving(Some((self.clone(), call.id)));
        self.send(Message::RequestArrived { call, payload, reply, over });
        let reply = async move {
            let answer = answer.await;
            leaving.stays();
            answer.unwrap_or(Reply::Failed { may_have_run: true })
        };
        (reply, told)
    }
}

impl StreamEnd for DriverHandle {
    fn finished(&self, id: RequestId, attempt: u32, ending: AttemptResult) {
        self.send(Message::Input(Input::AttemptFinished { id, attempt, ending }));
    }

    fn client_gone(&self, id: RequestId) {
        self.send(Message::Input(Input::ClientDisconnected(id)));
    }
}

/// Tells that the client has left when it is dropped before the reply: a front's handler is dropped when
/// its connection closes, and nothing else would say so.
struct Leaving(Option<(DriverHandle, RequestId)>);

impl Leaving {
    /// It has its reply: what becomes of it from now on is told otherwise.
    fn stays(mut self) {
        self.0 = None;
    }
}

impl Drop for Leaving {
    fn drop(&mut self) {
        if let Some((to, id)) = self.0.take() {
            to.send(Message::ClientDisconnected(id));
        }
    }
}

/// What the line about what clients got was last told of.
#[derive(Default)]
struct Told {
    due: Micros,
    counts: Counts,
}

struct Waiting {
    payload: Arc<Payload>,
    reply: Option<oneshot::Sender<Reply>>,
    over: oneshot::Sender<bool>,
    class: u32,
    /// The attempt whose stream the client is given.
    streaming: Option<u32>,
    /// Its end has been counted.
    ended: bool,
}

struct Flying {
    progress: Arc<Progress>,
    /// Taken once the attempt has been told to stop.
    stop: Option<oneshot::Sender<()>>,
    opened: Option<Box<Opened>>,
}

/// Who is asked to let go of something for a request that goes on; without a task, it is still to be asked.
type Releases = Vec<(ServerId, Option<JoinHandle<()>>)>;

/// The loop. See the [module](self).
pub struct Driver {
    core: Core,
    clock: Clock,
    inbox: mpsc::UnboundedReceiver<Message>,
    to_self: DriverHandle,
    servers: Servers,
    peers: Peers,
    addresses: BTreeMap<ServerId, (String, bool)>,
    clients: HashMap<RequestId, Waiting>,
    flying: HashMap<(RequestId, u32), Flying>,
    releasing: HashMap<RequestId, Releases>,
    figures: Figures,
    /// What fronts look classes up in.
    published: watch::Sender<Arc<Settings>>,
    told: Told,
    avoided_due: Micros,
}

impl Driver {
    /// A driver for a configuration, with the way to tell it things.
    #[must_use]
    pub fn new(config: &Config, clock: Clock) -> (Self, DriverHandle) {
        let (to_self, inbox) = mpsc::unbounded_channel();
        let (published, settings) = watch::channel(Arc::new(config.settings.clone()));
        let to_self = DriverHandle { to: to_self, settings };
        let core = Core::new(config.settings.clone(), config.seed, clock.now(), config.most_open());
        let figures = Figures::default();
        config.settings.current().for_each(|class| figures.record().know(&class.name));
        let driver = Self {
            core,
            clock,
            inbox,
            to_self: to_self.clone(),
            servers: Servers::new(config, figures.clone()),
            peers: Peers::default(),
            addresses: BTreeMap::new(),
            clients: HashMap::new(),
            flying: HashMap::new(),
            releasing: HashMap::new(),
            figures,
            published,
            told: Told::default(),
            avoided_due: 0,
        };
        (driver, to_self)
    }

    /// What others may see.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.figures.clone()
    }

    /// Has messages for other dispatchers sent there.
    pub fn reaches(&mut self, peers: Peers) {
        self.peers = peers;
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
            Message::RequestArrived { call, payload, reply, over } => {
                if self.clients.contains_key(&call.id) {
                    let _ = reply.send(Reply::DuplicateId);
                    return None;
                }
                if let Some(class) = self.core.classes().get(&call.class) {
                    self.figures.record().taken(&class.name);
                }
                let (reply, class, streaming, ended) = (Some(reply), call.class, None, false);
                self.clients.insert(call.id, Waiting { payload, reply, over, class, streaming, ended });
                Input::RequestArrived(call)
            }
            Message::EndpointsUpdated { how, entries } => {
                let entries = self.list(how, entries);
                Input::EndpointsUpdated { how, entries }
            }
            Message::StreamOpened { id, attempt, opened } => {
                let flying = self.flying.get_mut(&(id, attempt))?;
                if flying.stop.is_none() {
                    self.give_up(id, attempt, opened); // it began just as it was told to stop
                    return None;
                }
                flying.opened = Some(opened);
                Input::StreamStarted { id, attempt }
            }
            // Guards the request that has this id: another client, turned away for it, may be the one that left.
            Message::ClientDisconnected(id) => {
                let waiting = self.clients.get(&id).and_then(|client| client.reply.as_ref());
                if !waiting.is_some_and(oneshot::Sender::is_closed) {
                    return None;
                }
                self.ended(id, End::Left);
                Input::ClientDisconnected(id)
            }
            Message::ExportState(to) => {
                let _ = to.send(Box::new(self.core.learnt())); // who asked may have gone
                return None;
            }
            Message::StateImported(learnt) => Input::StateImported(learnt),
            Message::LimitShareChanged { part, most_open } => Input::LimitShareChanged { part, most_open },
            // In one step: what is published and what the reducer goes by are never of two files.
            Message::SettingsReloaded(settings) => {
                let mut now = (*settings).clone();
                self.step(Input::SettingsReloaded(settings));
                now.classes = self.core.classes().clone();
                now.classes.retain(|_, class| !class.retired);
                let mut record = self.figures.record();
                now.current().for_each(|class| record.know(&class.name));
                drop(record);
                self.published.send_replace(Arc::new(now));
                return None;
            }
            Message::Input(input) => {
                match input {
                    Input::AttemptFinished { id, attempt, ending } => {
                        self.flying.remove(&(id, attempt));
                        if ending.outcome == Outcome::Read {
                            self.call_releases_off(id);
                        }
                        let streaming = self.clients.get(&id).and_then(|client| client.streaming);
                        if streaming == Some(attempt) {
                            let served = ending.outcome == Outcome::Served;
                            self.ended(id, if served { End::Completed } else { End::Failed });
                        }
                    }
                    Input::AttemptStopped { id, attempt, .. } => {
                        self.flying.remove(&(id, attempt));
                    }
                    Input::ClientDisconnected(id) => self.ended(id, End::Left),
                    _ => {}
                }
                input
            }
        })
    }

    /// Counts a request's end, once.
    fn ended(&mut self, id: RequestId, end: End) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if std::mem::replace(&mut client.ended, true) {
            return;
        }
        if let Some(class) = self.core.classes().get(&client.class) {
            self.figures.record().ended(&class.name, end);
        }
    }

    fn list(&mut self, how: ListUpdateKind, entries: Vec<(ServerEntry, String)>) -> Vec<ServerEntry> {
        if how != ListUpdateKind::Patch {
            self.addresses.clear();
        }
        let listed = entries.into_iter().map(|(entry, address)| {
            match entry.health {
                Health::Gone => self.addresses.remove(&entry.server),
                health => self.addresses.insert(entry.server, (address, health == Health::Ready)),
            };
            entry
        });
        let listed = listed.collect();
        let ready = self.addresses.values().filter(|(_, ready)| *ready).count();
        let mut record = self.figures.record();
        (record.members, record.members_ready) = (self.addresses.len(), ready);
        drop(record);
        listed
    }

    fn step(&mut self, input: Input) {
        if !matches!(input, Input::Tick) {
            debug!("{input:?}");
        }
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.core.step(self.clock.now(), input) {
                inputs.extend(self.carry_out(effect));
            }
        }
        let mut record = self.figures.record();
        record.open = self.core.open();
        record.serves = self.core.serves();
        record.guard = self.core.guard().clone();
        record.transitions = *self.core.transitions();
        record.messages_dropped = self.core.gossip().dropped;
        let now = self.clock.now();
        if now >= self.avoided_due {
            self.avoided_due = now + AVOIDED;
            record.members_unavailable = self.core.avoided();
        }
        drop(record);
        self.tell();
    }

    /// What clients got lately, for the staff; nothing while nothing happens.
    fn tell(&mut self) {
        let now = self.clock.now();
        if now < self.told.due {
            return;
        }
        let counts = self.figures.record().all();
        let Counts { taken, completed, rejected, failed, left } = counts.since(&self.told.counts);
        if counts != self.told.counts {
            let pending = counts.pending();
            let gossip = self.core.gossip();
            info!("in 10 s: {taken} asked, {completed} served, {rejected} refused, {failed} failed, {left} left; {pending} open");
            if gossip != GossipCounts::default() {
                let GossipCounts { sent: told, received: heard, dropped } = gossip;
                info!("messages between dispatchers since the start: {told} told, {heard} heard, {dropped} dropped");
            }
        }
        self.told = Told { due: now + TALLY, counts };
    }

    fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        debug!("{effect:?}");
        match effect {
            Effect::Send { id, attempt, server, reads, until, begin_by, new_connection } => {
                let (Some((address, _)), Some(client)) = (self.addresses.get(&server), self.clients.get(&id))
                else {
                    return Some(Input::AttemptFinished {
                        id,
                        attempt,
                        ending: Outcome::ConnectFailed.into(),
                    });
                };
                let (address, payload) = (address.clone(), client.payload.clone());
                let (until, begin_by) = (self.clock.instant(until), self.clock.instant(begin_by));
                let sent = servers::Attempt { address, payload, reads, until, begin_by, new_connection };
                self.send(id, attempt, sent);
                None
            }
            Effect::CancelUnwritten { id, attempt } => {
                let flying = self.flying.get(&(id, attempt))?;
                if flying.progress.call_off() {
                    return None;
                }
                self.stop(id, attempt)
            }
            Effect::CancelAttempt { id, attempt } => self.stop(id, attempt),
            Effect::Relay { id, attempt } => {
                let opened = self.flying.remove(&(id, attempt)).and_then(|flying| flying.opened);
                if let Some(opened) = opened {
                    // The prompt is not sent again: held as long as streams last, prompts would add up.
                    if let Some(client) = self.clients.get_mut(&id) {
                        client.payload = Arc::new(client.payload.without_body());
                        client.streaming = Some(attempt);
                    }
                    let end = Box::new(self.to_self.clone());
                    let relay = self.servers.relay(*opened, id, attempt, end);
                    self.reply(id, Reply::Stream(relay));
                }
                None
            }
            Effect::Reject { id, retry_in } => {
                self.ended(id, End::Rejected);
                self.reply(id, Reply::Rejected { retry_in });
                None
            }
            Effect::Fail { id, may_have_run } => {
                self.ended(id, End::Failed);
                info!("request {:016x}: failed{}", id.0, if may_have_run { ", may have run" } else { "" });
                self.reply(id, Reply::Failed { may_have_run });
                None
            }
            Effect::ReleaseHeldState { id, holders, again } => {
                self.release(id, &holders, again);
                None
            }
            Effect::PublishGossip(bytes) => {
                self.peers.tell(&bytes);
                None
            }
            Effect::Evict { id, may_have_run } => {
                // Guards the figures: a request that is over has ended, whatever way that came about.
                self.ended(id, End::Failed);
                self.releasing.remove(&id);
                if let Some(client) = self.clients.remove(&id) {
                    let _ = client.over.send(may_have_run); // few want to know
                }
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

    fn send(&mut self, id: RequestId, number: u32, attempt: servers::Attempt) {
        let progress = Arc::new(Progress::default());
        let (stop, stopped) = oneshot::channel();
        let (servers, marks, to) = (self.servers.clone(), progress.clone(), self.to_self.clone());
        tokio::spawn(async move {
            match servers.attempt(attempt, marks, stopped).await {
                servers::Result::Opened(opened) => {
                    to.send(Message::StreamOpened { id, attempt: number, opened })
                }
                servers::Result::Ended(ending) => to.finished(id, number, ending),
                servers::Result::Stopped { written } => {
                    to.send(Message::Input(Input::AttemptStopped { id, attempt: number, written }))
                }
                // Told already: by now the request may be over, and another have its id.
                servers::Result::CalledOff => {}
            }
        });
        self.flying.insert((id, number), Flying { progress, stop: Some(stop), opened: None });
    }

    /// Stops an attempt. One of which nothing has been written has stopped at once, as nothing ever will be. Of any
    /// other that is told once its connection is closed; one that has just ended tells that instead.
    fn stop(&mut self, id: RequestId, attempt: u32) -> Option<Input> {
        let flying = self.flying.get_mut(&(id, attempt))?;
        if let Some(opened) = flying.opened.take() {
            self.give_up(id, attempt, opened);
            return None;
        }
        let stop = flying.stop.take()?;
        let begun = flying.progress.call_off();
        let _ = stop.send(()); // it may just have ended
        if begun {
            return None;
        }
        self.flying.remove(&(id, attempt));
        Some(Input::AttemptStopped { id, attempt, written: false })
    }

    /// Gives up a stream that has begun and will not be passed on.
    fn give_up(&mut self, id: RequestId, attempt: u32, opened: Box<Opened>) {
        let to = self.to_self.clone();
        tokio::spawn(async move {
            opened.close().await;
            to.send(Message::Input(Input::AttemptStopped { id, attempt, written: true }));
        });
    }

    /// A release lets go of all that is held for a request: one that is still under way when something new is held would
    /// let go of that too. Who has not answered is asked again together with who holds it.
    fn call_releases_off(&mut self, id: RequestId) {
        let Some(releasing) = self.releasing.get_mut(&id) else { return };
        releasing.retain(|(_, task)| task.as_ref().is_none_or(|task| !task.is_finished()));
        let tasks = releasing.iter_mut().filter_map(|(_, task)| task.take());
        tasks.for_each(|task| task.abort());
    }

    /// Asks each holder, and once more where that is said; where it does not answer, any other server takes the call.
    fn release(&mut self, id: RequestId, holders: &[ServerId], again: bool) {
        let Some(client) = self.clients.get(&id) else { return };
        let mut releasing = self.releasing.remove(&id).unwrap_or_default();
        let mut holders = holders.to_vec();
        holders.extend(releasing.iter().filter(|(_, task)| task.is_none()).map(|&(holder, _)| holder));
        releasing.retain(|(_, task)| task.is_some());
        let others = self.addresses.iter().filter(|(server, (_, ready))| *ready && !holders.contains(server));
        let mut others: Vec<&String> = others.map(|(_, (address, _))| address).collect();
        // Not the same few for every request and every dispatcher: those would have no place left.
        let first = (mix(id.0) % others.len().max(1) as u64) as usize;
        others.rotate_left(first);
        others.truncate(STAND_INS);
        for holder in holders {
            let first = self.addresses.get(&holder).map(|(address, _)| address);
            let addresses: Vec<String> = first.into_iter().chain(others.clone()).cloned().collect();
            let (servers, txn) = (self.servers.clone(), client.payload.txn.clone());
            let held = Held::new(self.figures.clone());
            let task = tokio::spawn(async move {
                servers.release(&txn, &addresses).await;
                if again {
                    sleep(Duration::from_micros(CLOSE_SEEN)).await;
                    servers.release(&txn, &addresses).await;
                }
                drop(held);
            });
            releasing.push((holder, Some(task)));
        }
        self.releasing.insert(id, releasing);
    }
}

/// Something that is asked to be let go of, in the figures.
struct Held(Figures);

impl Held {
    fn new(figures: Figures) -> Self {
        figures.record().releases += 1;
        Self(figures)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.record().releases -= 1;
    }
}
