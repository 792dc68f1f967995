//! The instances of a cluster: carries out what [`Membership`] and [`Replica`] decide, on one UDP socket. Off unless the
//! operator's file turns it on.

pub mod file;
pub mod quorum;
mod view;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use dewladder_membership::codec::{Channel, Codec, OpenError, MAX_DATAGRAM_BYTES};
use dewladder_membership::{Address, Change, Effect, Event, MemberId, MemberState, Membership, Settings};
use dewladder_replica::{self as replica, Replica};
use log::{debug, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::edge::clock::Clock;
pub use file::Table;
use quorum::{Asked, Asking, Quorum};
pub use view::View;

/// Time is told to the decisions this often.
pub const TICK: Duration = Duration::from_millis(25);
/// After a socket that failed, and between tries for an address that another process still has.
const PAUSE: Duration = Duration::from_millis(50);
/// What [`View`] shows is no older, changes or not.
const SHOWN_EVERY: u32 = 20;

/// An instance of a cluster, not yet running.
#[derive(Debug)]
pub struct Cluster {
    codec: Codec,
    settings: Settings,
    listen: SocketAddrV4,
    /// Where others reach it is where it listens.
    advertised: bool,
    socket: Option<UdpSocket>,
    clock: Clock,
    seed: u64,
    view: View,
    replica: Option<replica::Settings>,
    quorum: Quorum,
    asked: Asking,
}

impl Cluster {
    /// Listens where the table says; where the address is `shared` and another process of this instance still has
    /// it, once that one has gone.
    ///
    /// # Errors
    /// One plain line that says what can't be.
    pub fn bind(table: &Table, name: &str, shared: bool, clock: Clock, seed: u64) -> Result<Self, String> {
        let file::Checked { codec, mut settings, mut replica } = table.check(name)?;
        if let Some(replica) = &mut replica {
            replica.incarnation = clock.now();
        }
        // Above that of an earlier life, unless the clock was set back: then it is refuted as any other.
        settings.incarnation = clock.now() / 1_000;
        let socket = match bind(table.listen) {
            Ok(socket) => Some(socket),
            Err(error) if shared && error.kind() == io::ErrorKind::AddrInUse => {
                info!("cluster: {} is taken by another process; waiting for it", table.listen);
                None
            }
            Err(error) => return Err(format!("cluster.listen: can't listen on {}: {error}", table.listen)),
        };
        let view = View::new(&table.cluster);
        let (listen, advertised) = (table.listen, table.advertise.is_some());
        let (quorum, asked) = quorum::pair();
        Ok(Self { codec, settings, listen, advertised, socket, clock, seed, view, replica, quorum, asked })
    }

    /// By which fronts have others hold a record of a request; `None` where that is off.
    #[must_use]
    pub fn quorum(&self) -> Option<Quorum> {
        self.replica.as_ref().map(|_| self.quorum.clone())
    }

    /// What the instance knows, for others to read.
    #[must_use]
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// Runs until `leave` comes, then tells the others. Dropping it instead is a death.
    pub async fn run(self, leave: oneshot::Receiver<()>) {
        let Self {
            codec,
            mut settings,
            listen,
            advertised,
            socket,
            clock,
            seed,
            view,
            replica,
            quorum: _own,
            mut asked,
        } = self;
        let mut leave = std::pin::pin!(leave);
        let socket = match socket {
            Some(socket) => socket,
            None => tokio::select! {
                socket = free(listen) => socket,
                _ = &mut leave => return,
            },
        };
        let own = socket.local_addr().unwrap_or(SocketAddr::V4(listen));
        if let (SocketAddr::V4(own), false) = (own, advertised) {
            settings.address = file::place(own);
        }
        info!("cluster: {} listens on {own}, reached at {}", settings.name, settings.address);
        let membership = match Membership::new(settings, seed, clock.now()) {
            Ok(membership) => membership,
            Err(error) => return warn!("cluster: can't run: {error}"),
        };
        let replica = match replica.map(|settings| Replica::new(settings, clock.now())).transpose() {
            Ok(replica) => replica,
            Err(error) => return warn!("cluster: can't run: {error}"),
        };
        let sealed = codec.on(Channel::Replica);
        let offers = quorum::Offers::default();
        let mut member = Running { codec, sealed, membership, replica, offers, socket, clock, view };
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let mut shown = 0;
        loop {
            tokio::select! {
                biased; // a flood of datagrams does not stop the clock
                _ = &mut leave => {
                    member.step(Event::Leave);
                    return info!("cluster: the others are told that this instance leaves");
                }
                _ = ticks.tick() => {
                    member.step(Event::Tick);
                    member.replicate(replica::Event::Tick);
                    shown += 1;
                    if shown % SHOWN_EVERY == 0 {
                        member.show();
                    }
                }
                Some(what) = asked.recv() => member.asked(what),
                heard = member.socket.recv_from(&mut bytes) => match heard {
                    Ok((length, from)) => member.heard(&bytes[..length], from),
                    // An earlier datagram that could not be delivered may be told of here.
                    Err(error) => {
                        debug!("cluster: {error}");
                        tokio::time::sleep(PAUSE).await;
                    }
                },
            }
        }
    }
}

struct Running {
    codec: Codec,
    /// The same for the replicas' messages.
    sealed: Codec,
    membership: Membership,
    replica: Option<Replica>,
    offers: quorum::Offers,
    socket: UdpSocket,
    clock: Clock,
    view: View,
}

impl Running {
    fn heard(&mut self, bytes: &[u8], from: SocketAddr) {
        let refused = if self.replica.is_some() && self.sealed.is_addressed(bytes) {
            match self.sealed.open_body::<(MemberId, replica::Message)>(bytes) {
                Ok((from, message)) => {
                    return self.replicate(replica::Event::MessageReceived { from, message })
                }
                Err(why) => why,
            }
        } else {
            match self.codec.open(bytes) {
                Ok(message) => return self.step(Event::MessageReceived(message)),
                Err(why) => why,
            }
        };
        self.refuse(refused, from);
    }

    fn refuse(&self, why: OpenError, from: SocketAddr) {
        if self.view.refuse(why) {
            warn!("cluster: from {from}: {why}; more of the kind are only counted");
        }
    }

    /// What a front asks for.
    fn asked(&mut self, what: Asked) {
        let event = self.offers.take(what);
        self.replicate(event);
    }

    fn replicate(&mut self, event: replica::Event) {
        let Some(replica) = &mut self.replica else { return };
        let mut effects = Vec::new();
        replica.handle(self.clock.now(), event, &mut effects);
        for effect in effects {
            match effect {
                replica::Effect::Send { to, message } => {
                    let body = (self.membership.own_update().id, message);
                    // One that was never heard of can't be reached; what is for it is sent again.
                    if let Some(place) = self.membership.address_of(to) {
                        self.send_bytes(place, self.sealed.seal_body(&body));
                    }
                }
                replica::Effect::Granted(ticket) => self.offers.tell(ticket, Ok(())),
                replica::Effect::Denied(ticket, why) => self.offers.tell(ticket, Err(why)),
                replica::Effect::CaughtUp(range) => {
                    let behind = self.replica.as_ref().map_or(0, Replica::ranges_behind);
                    debug!("cluster: caught up with range {range}, {behind} to go");
                    if behind == 0 {
                        info!("cluster: caught up with all ranges; this instance holds records for others");
                        self.show();
                    }
                }
                replica::Effect::NoteReceived(note) => debug!("cluster: {note:?}"),
            }
        }
    }

    fn step(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.membership.handle(self.clock.now(), event, &mut effects);
        let mut changed = false;
        for effect in effects {
            changed |= !matches!(effect, Effect::Send { .. });
            match effect {
                Effect::Send { to, message } => self.send(to, &message),
                Effect::MemberChanged(change) => tell(&change, self.membership.up()),
                Effect::Refuted { claimed: said, reported_by: by, incarnation } => {
                    info!(said = said.name(), by:% = format!("{:016x}", by.0), incarnation; "cluster: refuted");
                }
                Effect::Paused(gap) => {
                    warn!(paused_ms = gap / 1_000; "cluster: this process stood still; nobody is suspected for that time");
                }
            }
        }
        if changed {
            self.replicate(replica::Event::MembersUp(self.membership.others_up().into_iter().collect()));
            self.show();
        }
    }

    fn show(&self) {
        self.view.show(&self.membership, self.replica.as_ref(), self.clock.now());
    }

    fn send(&self, to: Address, message: &dewladder_membership::Message) {
        self.send_bytes(to, self.codec.seal(message));
    }

    fn send_bytes(&self, to: Address, bytes: Option<Vec<u8>>) {
        let Some(bytes) = bytes else {
            return warn!("cluster: a message to {to} is too long and not sent");
        };
        let [a, b, c, d] = to.ip;
        let to = SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), to.port);
        // What can't be sent at once is lost, as any datagram may be.
        if let Err(error) = self.socket.try_send_to(&bytes, to.into()) {
            debug!("cluster: not sent to {to}: {error}");
        }
    }
}

fn tell(change: &Change, up: usize) {
    let (member, state) = (change.name.as_str(), change.state.name());
    let (was, incarnation) = (change.previous.map_or("unknown", MemberState::name), change.incarnation);
    let (at, by) = (change.address.to_string(), format!("{:016x}", change.reported_by.0));
    info!(member, state, was, incarnation, at:%, by:%, up; "cluster: a member changed");
}

fn bind(at: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(at)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

async fn free(at: SocketAddrV4) -> UdpSocket {
    loop {
        match bind(at) {
            Ok(socket) => return socket,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}
