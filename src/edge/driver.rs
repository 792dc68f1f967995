//! The loop round the reducer: it takes what clients, attempts and the list tell, steps the reducer, and carries out the
//! effects that it asks for. Nothing is decided here.
//!
//! The driver owns what the reducer has no words for: the clients that wait ([`clients`]), the tasks of attempts
//! ([`attempts`]) and of releases ([`releases`]), and the addresses of servers ([`addresses`]).

mod addresses;
mod attempts;
mod clients;
mod handle;
mod messages;
mod releases;
mod summary;

use std::collections::VecDeque;
use std::sync::Arc;

use log::{debug, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout_at;

use crate::edge::clock::Clock;
use crate::edge::core::{Core, Effect, Input};
use crate::edge::driver::addresses::Addresses;
use crate::edge::driver::attempts::Attempts;
use crate::edge::driver::clients::{Client, Clients};
pub use crate::edge::driver::handle::DriverHandle;
pub use crate::edge::driver::messages::{Message, Reply};
use crate::edge::driver::releases::{ReleaseRequest, Releases};
use crate::edge::driver::summary::Summary;
use crate::edge::gossip_transport::GossipTransport;
use crate::edge::servers::{Attempt, Payload, Servers};
use crate::edge::settings::Config;
use crate::edge::stats::{End, Figures};
use crate::interface::{
    ListUpdateKind, Micros, Outcome, RequestId, RequestInfo, ServerEntry, ServerId, Settings,
};

/// Servers that are avoided are counted so often (us): it goes through all of them, and a step is taken for each event.
const AVOIDED_SERVERS_INTERVAL: Micros = 100_000;
/// Histories of open requests that are shown at once.
const MAX_HISTORIES: usize = 64;

/// The loop. See the [module](self).
pub struct Driver {
    core: Core,
    clock: Clock,
    inbox: mpsc::UnboundedReceiver<Message>,
    to_self: DriverHandle,
    servers: Servers,
    gossip: GossipTransport,
    addresses: Addresses,
    clients: Clients,
    attempts: Attempts,
    releases: Releases,
    figures: Figures,
    /// The settings in which fronts look classes up.
    published: watch::Sender<Arc<Settings>>,
    summary: Summary,
    /// When the servers that are avoided are counted next (us).
    avoided_due: Micros,
}

impl Driver {
    /// A driver for a configuration, with the way to send it messages.
    #[must_use]
    pub fn new(config: &Config, clock: Clock) -> (Self, DriverHandle) {
        let (messages, inbox) = mpsc::unbounded_channel();
        let (published, settings) = watch::channel(Arc::new(config.settings.clone()));
        let to_self = DriverHandle::new(messages, settings);
        let max_open_requests = config.max_open_requests();
        let core = Core::new(config.settings.clone(), config.seed, clock.now(), max_open_requests);
        let figures = Figures::default();
        config.settings.current().for_each(|class| figures.record().know(&class.name));
        let servers = Servers::new(config, figures.clone());
        let driver = Self {
            core,
            clock,
            inbox,
            attempts: Attempts::new(servers.clone(), to_self.clone()),
            releases: Releases::new(servers.clone(), to_self.clone(), figures.clone()),
            to_self: to_self.clone(),
            servers,
            gossip: GossipTransport::default(),
            addresses: Addresses::default(),
            clients: Clients::default(),
            figures,
            published,
            summary: Summary::default(),
            avoided_due: 0,
        };
        (driver, to_self)
    }

    /// What others may see.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.figures.clone()
    }

    /// Has load gossip sent there.
    pub fn set_gossip_transport(&mut self, gossip: GossipTransport) {
        self.gossip = gossip;
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
            if let Some(input) = self.receive(message) {
                self.step(input);
            }
        }
    }

    /// What a message is to the reducer, if it is anything.
    fn receive(&mut self, message: Message) -> Option<Input> {
        match message {
            Message::RequestArrived { info, payload, reply, completed } => {
                self.open_request(info, payload, reply, completed)
            }
            Message::EndpointsUpdated { how, entries } => Some(self.update_endpoints(how, entries)),
            Message::StreamOpened { id, attempt, opened } => self.attempts.stream_opened(id, attempt, opened),
            // Guards the request that has this id: another client, rejected for it, may be the one that disconnected.
            Message::ClientDisconnected(id) => {
                if !self.clients.has_disconnected(id) {
                    return None;
                }
                self.count_end(id, End::Left);
                Some(Input::ClientDisconnected(id))
            }
            Message::DescribeRequests(_) | Message::DescribeHeldState(_) | Message::LogRequests => {
                self.describe(message);
                None
            }
            Message::ExportState(to) => {
                let _ = to.send(Box::new(self.core.export_state())); // who asked may have gone
                None
            }
            Message::StateImported(learned) => Some(Input::StateImported(learned)),
            Message::LimitShareChanged { part, max_open_requests } => {
                Some(Input::LimitShareChanged { part, max_open_requests })
            }
            Message::SettingsReloaded(settings) => {
                self.reload_settings(settings);
                None
            }
            Message::Input(input) => {
                self.note_input(&input);
                Some(input)
            }
        }
    }

    /// Keeps the client of a request; one whose id is open already gets its reply at once.
    fn open_request(
        &mut self,
        info: RequestInfo,
        payload: Arc<Payload>,
        reply: oneshot::Sender<Reply>,
        completed: oneshot::Sender<bool>,
    ) -> Option<Input> {
        if self.clients.contains(info.id) {
            let _ = reply.send(Reply::DuplicateId); // the client may have gone
            return None;
        }
        if let Some(class) = self.core.classes().get(&info.class) {
            self.figures.record().taken(&class.name);
        }
        self.clients.insert(info.id, Client::new(payload, info.class, reply, completed));
        Some(Input::RequestArrived(info))
    }

    fn update_endpoints(&mut self, how: ListUpdateKind, entries: Vec<(ServerEntry, String)>) -> Input {
        let entries = self.addresses.apply(how, entries);
        let mut record = self.figures.record();
        record.members = self.addresses.count();
        record.members_ready = self.addresses.count_ready();
        drop(record);
        Input::EndpointsUpdated { how, entries }
    }

    /// In one step: what is published and what the reducer goes by are never of two files.
    fn reload_settings(&mut self, settings: Box<Settings>) {
        let mut published = (*settings).clone();
        self.step(Input::SettingsReloaded(settings));
        published.classes = self.core.classes().clone();
        published.classes.retain(|_, class| !class.retired);
        let mut record = self.figures.record();
        published.current().for_each(|class| record.know(&class.name));
        drop(record);
        self.published.send_replace(Arc::new(published));
    }

    /// Follows what attempts tell the reducer: which are in flight, and which requests have ended.
    fn note_input(&mut self, input: &Input) {
        match *input {
            Input::AttemptFinished { id, attempt, result } => {
                self.attempts.remove(id, attempt);
                if result.outcome == Outcome::Read {
                    self.releases.abort(id);
                }
                if self.clients.is_streaming(id, attempt) {
                    let served = result.outcome == Outcome::Served;
                    self.count_end(id, if served { End::Completed } else { End::Failed });
                }
            }
            Input::AttemptStopped { id, attempt, .. } => self.attempts.remove(id, attempt),
            Input::ClientDisconnected(id) => self.count_end(id, End::Left),
            _ => {}
        }
    }

    /// Counts a request's end, once.
    fn count_end(&mut self, id: RequestId, end: End) {
        let Some(class) = self.clients.take_uncounted_end(id) else { return };
        if let Some(class) = self.core.classes().get(&class) {
            self.figures.record().ended(&class.name, end);
        }
    }

    fn step(&mut self, input: Input) {
        if !matches!(input, Input::Tick) {
            debug!("driver: input {input:?}");
        }
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.core.step(self.clock.now(), input) {
                inputs.extend(self.carry_out(effect));
            }
        }
        self.publish_figures();
    }

    fn publish_figures(&mut self) {
        let mut record = self.figures.record();
        record.open = self.core.open();
        record.serves = self.core.serves();
        record.guard = self.core.guard().clone();
        record.transitions = *self.core.transitions();
        record.messages_dropped = self.core.gossip().dropped;
        let now = self.clock.now();
        if now >= self.avoided_due {
            self.avoided_due = now + AVOIDED_SERVERS_INTERVAL;
            record.members_unavailable = self.core.avoided();
        }
        if !self.summary.is_due(now) {
            return;
        }
        let counts = record.all();
        drop(record); // who asks for the figures does not wait for a log line
        self.summary.write(now, counts, self.core.gossip(), self.core.take_reports_left_out());
    }

    /// Shows what open requests and their held state are like to who asks, or writes it to the log.
    fn describe(&self, message: Message) {
        let now = self.clock.now();
        match message {
            // Who asked may have gone.
            Message::DescribeRequests(reply) => drop(reply.send(self.core.histories(now, MAX_HISTORIES))),
            Message::DescribeHeldState(reply) => drop(reply.send(self.core.held_figures(now))),
            _ => {
                info!(open = self.core.open(); "driver: histories of open requests");
                for line in self.core.histories(now, MAX_HISTORIES).lines() {
                    info!("request: open {line}");
                }
            }
        }
    }

    /// Carries an effect out; what comes of it at once is the next input.
    fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        debug!("driver: effect {effect:?}");
        match effect {
            Effect::Send { id, attempt, server, reads, until, begin_by, new_connection } => {
                let (Some(address), Some(payload)) = (self.addresses.get(server), self.clients.payload(id))
                else {
                    let result = Outcome::ConnectFailed.into();
                    return Some(Input::AttemptFinished { id, attempt, result });
                };
                let (address, payload) = (address.clone(), payload.clone());
                let (until, begin_by) = (self.clock.instant(until), self.clock.instant(begin_by));
                let after = reads.then(|| self.releases.unanswered(id));
                let request = Attempt { address, payload, reads, until, begin_by, new_connection, after };
                self.attempts.send(id, attempt, request);
            }
            Effect::CancelUnwritten { id, attempt } => return self.attempts.cancel_unwritten(id, attempt),
            Effect::CancelAttempt { id, attempt } => return self.attempts.cancel(id, attempt),
            Effect::Relay { id, attempt } => self.relay(id, attempt),
            Effect::Reject { id, retry_in } => {
                self.count_end(id, End::Rejected);
                self.clients.reply(id, Reply::Rejected { retry_in });
            }
            Effect::Fail { id, may_have_run } => {
                self.count_end(id, End::Failed);
                info!(request_id:% = id, may_have_run; "driver: request failed");
                self.clients.reply(id, Reply::Failed { may_have_run });
            }
            Effect::ReleaseHeldState { id, number, holders, again, before_read } => {
                self.release(ReleaseRequest { id, number, again, before_read }, &holders);
            }
            Effect::PublishGossip(bytes) => self.gossip.publish(&bytes),
            Effect::Evict { id, may_have_run } => {
                // Guards the figures: a request that is completed has ended, whatever way that came about.
                self.count_end(id, End::Failed);
                self.releases.forget(id);
                self.clients.complete(id, may_have_run);
            }
        }
        None
    }

    /// Passes the stream of an attempt on to its client.
    fn relay(&mut self, id: RequestId, attempt: u32) {
        let Some(opened) = self.attempts.take_stream(id, attempt) else { return };
        self.releases.abort(id); // with the first token all that is held is let go of by itself
        self.clients.start_streaming(id, attempt);
        let relay = self.servers.relay(*opened, id, attempt, Box::new(self.to_self.clone()));
        self.clients.reply(id, Reply::Stream(relay));
    }

    fn release(&mut self, request: ReleaseRequest, holders: &[ServerId]) {
        let Some(payload) = self.clients.payload(request.id) else { return };
        self.releases.start(request, &payload.txn, holders, &self.addresses);
    }
}
