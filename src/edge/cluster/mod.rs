//! Cluster support: runs the state machines [`Membership`] and [`Replica`] on one UDP socket. Disabled unless the
//! operator's configuration file enables it.
//!
//! | module | contents |
//! | --- | --- |
//! | [`table`] | the table `[cluster]` of the operator's configuration file, and its errors |
//! | `instance` | the running instance: passes events to the state machines and carries out their effects |
//! | `socket` | the UDP socket |
//! | [`quorum`] | the interface through which fronts have other instances hold a record of a request |
//! | `view` | the document that `GET /cluster/members` returns |

mod instance;
pub mod quorum;
mod socket;
pub mod table;
mod view;

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::time::Duration;

use dewladder_membership::codec::{Channel, Codec, MAX_DATAGRAM_BYTES};
use dewladder_membership::{Membership, Settings};
use dewladder_replica::{self as replica, Replica};
use log::{debug, info, warn};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{sleep, Interval, MissedTickBehavior};

use crate::edge::clock::Clock;
use instance::Instance;
use quorum::{PendingOffers, Quorum, QuorumRequests};
pub use table::{Table, TableError};
pub use view::View;

/// The interval between two timer events of the state machines.
pub const TICK: Duration = Duration::from_millis(25);
/// How long the event loop waits after a receive error of the socket.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(50);
/// The [`View`] is updated at least once in this number of ticks.
const TICKS_PER_VIEW_UPDATE: u32 = 20;

/// Why an instance could not be set up, as one line.
#[derive(Debug, Error)]
pub enum BindError {
    /// The table is invalid.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The UDP socket can't be bound to the address.
    #[error("cluster.listen: can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The system's error.
        source: io::Error,
    },
}

/// Why the state machines could not be created.
#[derive(Debug, Error)]
enum StartError {
    #[error(transparent)]
    Membership(#[from] dewladder_membership::InvalidSettings),
    #[error(transparent)]
    Replica(#[from] replica::InvalidSettings),
}

/// An instance of a cluster that is set up and not running yet; [`Cluster::run`] runs it.
#[derive(Debug)]
pub struct Cluster {
    codec: Codec,
    settings: Settings,
    listen: SocketAddrV4,
    /// Whether the operator has set `advertise`. Otherwise the address that the socket is bound to is advertised.
    has_advertised_address: bool,
    /// `None` if another process of this instance still uses the address.
    socket: Option<UdpSocket>,
    clock: Clock,
    seed: u64,
    view: View,
    replica: Option<replica::Settings>,
    quorum: Quorum,
    requests: QuorumRequests,
}

impl Cluster {
    /// Validates the table and binds its `listen` address. With `shared`, an address that is in use is taken to be
    /// held by another process of this instance, and [`Cluster::run`] binds it once that process has released it.
    ///
    /// # Errors
    /// An invalid table, or an address that can't be bound.
    pub fn bind(table: &Table, name: &str, shared: bool, clock: Clock, seed: u64) -> Result<Self, BindError> {
        let checked_settings = table.check(name)?;
        let (mut settings, mut replica) = (checked_settings.membership, checked_settings.replica);
        if let Some(replica) = &mut replica {
            replica.incarnation = clock.now();
        }
        // Milliseconds of the wall clock, so above the incarnation of the previous run. If the clock was set back in
        // between, this instance refutes the claims about its previous run like any others.
        settings.incarnation = clock.now() / 1_000;
        let (quorum, requests) = quorum::request_channel();
        Ok(Self {
            codec: checked_settings.codec,
            settings,
            listen: table.listen,
            has_advertised_address: table.advertise.is_some(),
            socket: bind_unless_shared(table.listen, shared)?,
            clock,
            seed,
            view: View::new(&table.cluster),
            replica,
            quorum,
            requests,
        })
    }

    /// The fronts' handle for having other instances hold a record of a request; `None` if replication is disabled.
    #[must_use]
    pub fn quorum(&self) -> Option<Quorum> {
        self.replica.as_ref().map(|_| self.quorum.clone())
    }

    /// The document that `GET /cluster/members` returns.
    #[must_use]
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// Runs until `leave` resolves, and then notifies the other members. If the future is dropped instead, they
    /// detect this instance as dead.
    pub async fn run(mut self, leave: oneshot::Receiver<()>) {
        let mut leave = std::pin::pin!(leave);
        let socket = match self.socket.take() {
            Some(socket) => socket,
            None => tokio::select! {
                socket = socket::bind_when_free(self.listen) => socket,
                _ = &mut leave => return,
            },
        };
        // Keeps the channel open if no front holds a handle.
        let _quorum = self.quorum.clone();
        match self.start(socket) {
            Ok((instance, requests)) => run_instance(instance, requests, leave).await,
            Err(error) => warn!(reason:% = error; "cluster: not started"),
        }
    }

    /// Creates the state machines on a bound socket.
    fn start(self, socket: UdpSocket) -> Result<(Instance, QuorumRequests), StartError> {
        let Self {
            codec,
            mut settings,
            listen,
            has_advertised_address,
            clock,
            seed,
            view,
            replica,
            requests,
            ..
        } = self;
        let own_address = socket.local_addr().unwrap_or(SocketAddr::V4(listen));
        if let (SocketAddr::V4(own_address), false) = (own_address, has_advertised_address) {
            settings.address = table::member_address(own_address);
        }
        info!(member = settings.name.as_str(), address:% = own_address, advertised:% = settings.address;
            "cluster: listening");
        let membership = Membership::new(settings, seed, clock.now())?;
        let replica = match replica {
            Some(settings) => Some(Replica::new(settings, clock.now())?),
            None => None,
        };
        let replica_codec = codec.for_channel(Channel::Replica);
        let pending_offers = PendingOffers::default();
        let instance =
            Instance { codec, replica_codec, membership, replica, pending_offers, socket, clock, view };
        Ok((instance, requests))
    }
}

/// Binds a socket to an address; `None` if the address is shared and another process still uses it.
fn bind_unless_shared(address: SocketAddrV4, shared: bool) -> Result<Option<UdpSocket>, BindError> {
    match socket::bind(address) {
        Ok(socket) => Ok(Some(socket)),
        Err(error) if shared && error.kind() == io::ErrorKind::AddrInUse => {
            info!(address:% = address; "cluster: address in use by another process; waiting for it");
            Ok(None)
        }
        Err(source) => Err(BindError::Listen { address, source }),
    }
}

/// The event loop: passes timer ticks, messages of fronts and datagrams to an instance, until it is told to leave.
async fn run_instance(
    mut instance: Instance,
    mut requests: QuorumRequests,
    mut leave: Pin<&mut oneshot::Receiver<()>>,
) {
    let mut interval = tick_interval();
    let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
    let mut ticks = 0;
    loop {
        tokio::select! {
            biased; // a flood of datagrams does not starve the timer
            _ = &mut leave => return instance.leave(),
            _ = interval.tick() => {
                instance.tick();
                ticks += 1;
                if ticks % TICKS_PER_VIEW_UPDATE == 0 {
                    instance.update_view();
                }
            }
            Some(request) = requests.recv() => instance.handle_quorum_request(request),
            received = instance.socket.recv_from(&mut datagram) => match received {
                Ok((length, from)) => instance.receive(&datagram[..length], from),
                // The error may concern an earlier datagram that was sent and could not be delivered (an ICMP error).
                Err(error) => {
                    debug!(reason:% = error; "cluster: receive failed");
                    sleep(RECEIVE_ERROR_DELAY).await;
                }
            },
        }
    }
}

fn tick_interval() -> Interval {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
