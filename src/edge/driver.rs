//! The event loop around the reducer: it receives messages from clients, attempts and service discovery, steps
//! the reducer with them, and executes the effects that the reducer returns. It makes no decisions of its own.
//!
//! The driver owns what the reducer has no types for: the waiting clients ([`clients`]), the tasks of attempts
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
use tokio::sync::{mpsc, watch};
use tokio::time::timeout_at;

use crate::edge::clock::Clock;
use crate::edge::core::{Core, Effect, IdClaim, Input};
use crate::edge::driver::addresses::Addresses;
use crate::edge::driver::attempts::Attempts;
use crate::edge::driver::clients::{Client, Clients};
pub use crate::edge::driver::handle::DriverHandle;
pub use crate::edge::driver::messages::{Message, Reply};
use crate::edge::driver::releases::{ReleaseRequest, Releases};
use crate::edge::driver::summary::Summary;
use crate::edge::gossip_transport::GossipTransport;
use crate::edge::hot_restart::request_claims::{Claim, RequestClaims};
use crate::edge::servers::{Attempt, Servers};
use crate::edge::settings::Config;
use crate::edge::shutdown_times::ShutdownTimes;
use crate::edge::stats::{End, Figures};
use crate::interface::{
    Effect as ClassEffect, ListUpdateKind, Micros, Outcome, RequestId, RequestInfo, ServerEntry, ServerId,
    Settings,
};

/// Time between two counts of the avoided servers (us). A count visits all listed servers, so it does not run
/// at every step: there is a step for each event.
const AVOIDED_COUNT_INTERVAL: Micros = 100_000;
/// Maximum number of requests in one description of the open requests.
const MAX_HISTORIES: usize = 64;

/// The event loop around the reducer. See the [module](self).
pub struct Driver {
    core: Core,
    clock: Clock,
    inbox: mpsc::UnboundedReceiver<Message>,
    own_handle: DriverHandle,
    servers: Servers,
    gossip: GossipTransport,
    addresses: Addresses,
    clients: Clients,
    claims: RequestClaims,
    attempts: Attempts,
    releases: Releases,
    figures: Figures,
    /// Publishes the settings in which fronts look up classes.
    published_settings: watch::Sender<Arc<Settings>>,
    /// Publishes the schedule of the shutdown to the fronts.
    published_shutdown: watch::Sender<Option<ShutdownTimes>>,
    summary: Summary,
    /// When the avoided servers are counted next (us).
    avoided_count_due: Micros,
}

impl Driver {
    /// Creates the driver for a configuration, and the handle through which messages are sent to it.
    #[must_use]
    pub fn new(config: &Config, clock: Clock) -> (Self, DriverHandle) {
        let (messages, inbox) = mpsc::unbounded_channel();
        let (published_settings, settings) = watch::channel(Arc::new(config.settings.clone()));
        let (published_shutdown, shutdown) = watch::channel(None);
        let own_handle = DriverHandle::new(messages, settings, shutdown);
        let max_open_requests = config.max_open_requests();
        let core = Core::new(config.settings.clone(), config.seed, clock.now(), max_open_requests);
        let figures = Figures::default();
        config.settings.current().for_each(|class| figures.record().know(&class.name));
        let servers = Servers::new(config, figures.clone());
        let driver = Self {
            core,
            clock,
            inbox,
            attempts: Attempts::new(servers.clone(), own_handle.clone()),
            releases: Releases::new(servers.clone(), own_handle.clone(), figures.clone()),
            own_handle: own_handle.clone(),
            servers,
            gossip: GossipTransport::default(),
            addresses: Addresses::default(),
            clients: Clients::default(),
            claims: RequestClaims::default(),
            figures,
            published_settings,
            published_shutdown,
            summary: Summary::default(),
            avoided_count_due: 0,
        };
        (driver, own_handle)
    }

    /// The figures that this driver records, for metrics and the admin page; all clones share one record.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.figures.clone()
    }

    /// Sets the transport over which load gossip is sent. Without this call none is sent.
    pub fn set_gossip_transport(&mut self, gossip: GossipTransport) {
        self.gossip = gossip;
    }

    /// Shares the ids of open requests with other processes of this dispatcher. Without this call there can be none.
    pub fn set_request_claims(&mut self, claims: RequestClaims) {
        self.claims = claims;
    }

    /// Runs the loop. It never returns, as the driver itself holds a sender to its inbox.
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
            if let Some(input) = self.handle_message(message) {
                self.step(input);
            }
        }
    }

    /// Handles a message; returns the input that it is for the reducer, if it is one.
    fn handle_message(&mut self, message: Message) -> Option<Input> {
        match message {
            Message::RequestArrived { info, received_at, payload, reply, completed } => {
                let client = Client::new(payload, info.class, reply, completed);
                self.open_request(info, received_at, client)
            }
            Message::EndpointsUpdated { kind, entries } => Some(self.update_endpoints(kind, entries)),
            Message::StreamOpened { id, attempt, opened } => self.attempts.stream_opened(id, attempt, opened),
            // A client rejected for a duplicate id sends this message with the id of another client's open
            // request. The check protects that request: it ends only if its own client has closed the reply
            // channel.
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
            Message::ExportState(reply) => {
                let _ = reply.send(Box::new(self.core.export_state())); // the receiver may have gone
                None
            }
            Message::StateImported(learned) => Some(Input::StateImported(learned)),
            Message::LimitShareChanged { share, max_open_requests, has_peer } => {
                Some(Input::LimitShareChanged { share, max_open_requests, has_peer })
            }
            Message::SettingsReloaded(settings) => {
                self.reload_settings(settings);
                None
            }
            Message::Input(input) => {
                self.track_input(&input);
                Some(input)
            }
        }
    }

    /// Registers the client of a new request. If its id belongs to an open request of this process or another one of
    /// this dispatcher, or to one that may have run and must not run twice, the client gets [`Reply::DuplicateId`] at
    /// once, and there is no input for the reducer.
    fn open_request(&mut self, info: RequestInfo, received_at: Micros, mut client: Client) -> Option<Input> {
        let class = self.core.classes().get(&info.class);
        let is_repeatable = class.is_none_or(|class| class.effect == ClassEffect::Idempotent);
        let claim = if self.clients.contains(info.id) {
            Claim::Taken
        } else {
            self.claims.claim(info.id, is_repeatable, self.clock.now())
        };
        let id_claim = match claim {
            Claim::Taken => {
                client.reply(Reply::DuplicateId);
                return None;
            }
            Claim::Exclusive => IdClaim::Exclusive,
            Claim::Unknown => IdClaim::Unknown,
            Claim::NoRoom => IdClaim::NoRoom,
        };
        if let Some(class) = self.core.classes().get(&info.class) {
            self.figures.record().taken(&class.name);
        }
        self.clients.insert(info.id, client);
        Some(Input::RequestArrived { info, received_at, id_claim })
    }

    /// Applies an update of the list of servers to the addresses and the figures; returns it for the reducer.
    fn update_endpoints(&mut self, kind: ListUpdateKind, entries: Vec<(ServerEntry, String)>) -> Input {
        let entries = self.addresses.apply(kind, entries);
        let mut record = self.figures.record();
        record.members = self.addresses.count();
        record.members_ready = self.addresses.count_ready();
        drop(record);
        Input::EndpointsUpdated { kind, entries }
    }

    /// Passes new settings to the reducer and publishes them, in one call: the published settings and those of
    /// the reducer never come from two different files. The published classes have the numbers that the reducer
    /// gave them.
    fn reload_settings(&mut self, settings: Box<Settings>) {
        let mut published_settings = (*settings).clone();
        self.step(Input::SettingsReloaded(settings));
        published_settings.classes = self.core.classes().clone();
        published_settings.classes.retain(|_, class| !class.retired);
        let mut record = self.figures.record();
        published_settings.current().for_each(|class| record.know(&class.name));
        drop(record);
        self.published_settings.send_replace(Arc::new(published_settings));
    }

    /// Follows the inputs that attempts send to the reducer: removes attempts that are no longer in flight, and
    /// counts the requests that have ended.
    fn track_input(&mut self, input: &Input) {
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
            Input::Leaving(times) => drop(self.published_shutdown.send_replace(Some(times))),
            _ => {}
        }
    }

    /// Counts the end of a request, unless it has been counted already.
    fn count_end(&mut self, id: RequestId, end: End) {
        let Some(class) = self.clients.take_uncounted_end(id) else { return };
        if let Some(class) = self.core.classes().get(&class) {
            self.figures.record().ended(&class.name, end);
        }
    }

    /// Steps the reducer with an input, and with the inputs that follow at once from its effects.
    fn step(&mut self, input: Input) {
        if !matches!(input, Input::Tick) {
            debug!("driver: input {input:?}");
        }
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.core.step(self.clock.now(), input) {
                inputs.extend(self.execute(effect));
            }
        }
        self.publish_figures();
    }

    /// Updates the figures from the reducer, and writes the summary to the log if it is due.
    fn publish_figures(&mut self) {
        let mut record = self.figures.record();
        record.open = self.core.open();
        record.serves = self.core.serves();
        record.guard = self.core.guard().clone();
        record.transitions = *self.core.transitions();
        record.messages_dropped = self.core.gossip().dropped;
        let now = self.clock.now();
        if now >= self.avoided_count_due {
            self.avoided_count_due = now + AVOIDED_COUNT_INTERVAL;
            record.members_unavailable = self.core.avoided_server_count();
        }
        if !self.summary.is_due(now) {
            return;
        }
        let counts = record.all();
        drop(record); // readers of the figures do not wait for a log line
        self.summary.write(now, counts, self.core.gossip(), self.core.take_reports_left_out());
    }

    /// Describes the open requests or their held state, to the sender of the message or in the log.
    fn describe(&self, message: Message) {
        let now = self.clock.now();
        match message {
            // The receiver may have gone.
            Message::DescribeRequests(reply) => drop(reply.send(self.core.histories(now, MAX_HISTORIES))),
            Message::DescribeHeldState(reply) => drop(reply.send(self.core.held_state_metrics(now))),
            _ => {
                info!(open = self.core.open(); "driver: histories of open requests");
                for line in self.core.histories(now, MAX_HISTORIES).lines() {
                    info!("request: open {line}");
                }
            }
        }
    }

    /// Executes an effect; returns the input that follows from it at once, if any.
    fn execute(&mut self, effect: Effect) -> Option<Input> {
        debug!("driver: effect {effect:?}");
        match effect {
            Effect::Send { id, attempt, server, reads, attempt_deadline, begin_by, new_connection } => {
                let (Some(address), Some(payload)) = (self.addresses.get(server), self.clients.payload(id))
                else {
                    let result = Outcome::ConnectFailed.into();
                    return Some(Input::AttemptFinished { id, attempt, result });
                };
                let (address, payload) = (address.clone(), payload.clone());
                let (attempt_deadline, begin_by) =
                    (self.clock.instant(attempt_deadline), self.clock.instant(begin_by));
                let unanswered_releases = reads.then(|| self.releases.unanswered(id));
                let request = Attempt {
                    address,
                    payload,
                    reads,
                    attempt_deadline,
                    begin_by,
                    new_connection,
                    unanswered_releases,
                };
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
                // Keeps the figures consistent: a completed request has ended, however it came to its end.
                self.count_end(id, End::Failed);
                self.releases.forget(id);
                self.claims.release(id, may_have_run, self.clock.now());
                self.clients.complete(id, may_have_run);
            }
        }
        None
    }

    /// Passes the stream of an attempt on to its client.
    fn relay(&mut self, id: RequestId, attempt: u32) {
        let Some(opened) = self.attempts.take_stream(id, attempt) else { return };
        self.releases.abort(id); // once the first token is there, servers release all held state by themselves
        self.clients.start_streaming(id, attempt);
        let relay = self.servers.relay(opened, id, attempt, Box::new(self.own_handle.clone()));
        self.clients.reply(id, Reply::Stream(relay));
    }

    /// Starts the releases that the reducer has requested.
    fn release(&mut self, request: ReleaseRequest, holders: &[ServerId]) {
        let Some(payload) = self.clients.payload(request.id) else { return };
        self.releases.start(request, &payload.txn, holders, &self.addresses);
    }
}
