//! The instances of a cluster: carries out what [`Membership`] and [`Replica`] decide, on one UDP socket. Off unless
//! the operator's file turns it on.
//!
//! | module | contents |
//! | --- | --- |
//! | [`table`] | the table `[cluster]` of the operator's file, and its errors |
//! | `instance` | the running instance: events in, effects out |
//! | `socket` | the UDP socket |
//! | [`quorum`] | by which fronts have other instances hold a record of a request |
//! | `view` | what `GET /cluster/members` shows |

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

/// How often the state machines are told the time.
pub const TICK: Duration = Duration::from_millis(25);
/// How long nothing is received after an error of the socket.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(50);
/// What [`View`] shows is updated at least once in so many ticks.
const TICKS_PER_VIEW_UPDATE: u32 = 20;

/// Why an instance could not be set up: one plain line.
#[derive(Debug, Error)]
pub enum BindError {
    /// The table is invalid.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The address can't be listened on.
    #[error("cluster.listen: can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// What the system says.
        source: io::Error,
    },
}

/// Why an instance could not be started.
#[derive(Debug, Error)]
enum StartError {
    #[error(transparent)]
    Membership(#[from] dewladder_membership::InvalidSettings),
    #[error(transparent)]
    Replica(#[from] replica::InvalidSettings),
}

/// An instance of a cluster that does not run yet.
#[derive(Debug)]
pub struct Cluster {
    codec: Codec,
    settings: Settings,
    listen: SocketAddrV4,
    /// The operator has named the address at which others reach this instance; otherwise it is where it listens.
    is_address_given: bool,
    /// `None` where another process has the address still.
    socket: Option<UdpSocket>,
    clock: Clock,
    seed: u64,
    view: View,
    replica: Option<replica::Settings>,
    quorum: Quorum,
    requests: QuorumRequests,
}

impl Cluster {
    /// Listens where the table says; where the address is `shared` and another process of this instance still has
    /// it, [`Cluster::run`] does so once that process has gone.
    ///
    /// # Errors
    /// An invalid table, or an address that can't be listened on.
    pub fn bind(table: &Table, name: &str, shared: bool, clock: Clock, seed: u64) -> Result<Self, BindError> {
        let checked = table.check(name)?;
        let (mut settings, mut replica) = (checked.membership, checked.replica);
        if let Some(replica) = &mut replica {
            replica.incarnation = clock.now();
        }
        // Above that of the last run; where the clock was set back, it is refuted like any other.
        settings.incarnation = clock.now() / 1_000;
        let (quorum, requests) = quorum::pair();
        Ok(Self {
            codec: checked.codec,
            settings,
            listen: table.listen,
            is_address_given: table.advertise.is_some(),
            socket: bind_unless_shared(table.listen, shared)?,
            clock,
            seed,
            view: View::new(&table.cluster),
            replica,
            quorum,
            requests,
        })
    }

    /// By which fronts have other instances hold a record of a request; `None` where that is off.
    #[must_use]
    pub fn quorum(&self) -> Option<Quorum> {
        self.replica.as_ref().map(|_| self.quorum.clone())
    }

    /// What the instance knows, for others to read.
    #[must_use]
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// Runs until `leave` comes, then tells the other members. If it is dropped instead, they find it dead.
    pub async fn run(mut self, leave: oneshot::Receiver<()>) {
        let mut leave = std::pin::pin!(leave);
        let socket = match self.socket.take() {
            Some(socket) => socket,
            None => tokio::select! {
                socket = socket::bind_when_free(self.listen) => socket,
                _ = &mut leave => return,
            },
        };
        // Its sender is kept, so that the channel stays open where no front has one.
        let _quorum = self.quorum.clone();
        match self.start(socket) {
            Ok((instance, requests)) => run_instance(instance, requests, leave).await,
            Err(error) => warn!(reason:% = error; "cluster: not started"),
        }
    }

    /// Creates the state machines, on a socket.
    fn start(self, socket: UdpSocket) -> Result<(Instance, QuorumRequests), StartError> {
        let Self {
            codec, mut settings, listen, is_address_given, clock, seed, view, replica, requests, ..
        } = self;
        let own_address = socket.local_addr().unwrap_or(SocketAddr::V4(listen));
        if let (SocketAddr::V4(own_address), false) = (own_address, is_address_given) {
            settings.address = table::member_address(own_address);
        }
        info!(member = settings.name.as_str(), address:% = own_address, advertised:% = settings.address;
            "cluster: listening");
        let membership = Membership::new(settings, seed, clock.now())?;
        let replica = match replica {
            Some(settings) => Some(Replica::new(settings, clock.now())?),
            None => None,
        };
        let replica_codec = codec.on(Channel::Replica);
        let pending_offers = PendingOffers::default();
        let instance =
            Instance { codec, replica_codec, membership, replica, pending_offers, socket, clock, view };
        Ok((instance, requests))
    }
}

/// The socket of an address; `None` where it is shared and another process of this instance still has it.
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

/// Feeds an instance with the time, requests of fronts and datagrams, until it is told to leave.
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
            biased; // a flood of datagrams does not stop the clock
            _ = &mut leave => return instance.leave(),
            _ = interval.tick() => {
                instance.tick();
                ticks += 1;
                if ticks % TICKS_PER_VIEW_UPDATE == 0 {
                    instance.update_view();
                }
            }
            Some(request) = requests.recv() => instance.take_request(request),
            received = instance.socket.recv_from(&mut datagram) => match received {
                Ok((length, from)) => instance.receive(&datagram[..length], from),
                // This may be about an earlier datagram that could not be delivered.
                Err(error) => {
                    debug!(reason:% = error; "cluster: receive failed");
                    sleep(PAUSE_AFTER_ERROR).await;
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
