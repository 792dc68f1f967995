//! Simulates all dispatchers but the real ones in one process. It forwards the load updates of each real dispatcher
//! to the other real ones, and sends them updates of its own: for each hollow dispatcher, at the average rate of
//! the real ones, about servers of the same list.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dewladder_router::interface::ServerId;
use dewladder_router::{tag, Load, LoadUpdate};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{interval, MissedTickBehavior};

/// Time between two batches of updates.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a forwarded datagram.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The rate of the real dispatchers is averaged exponentially over about this many send intervals.
const AVERAGED_OVER_INTERVALS: f64 = 250.0;

/// How many dispatchers are simulated, and where their updates go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DispatcherOptions {
    /// Number of hollow dispatchers.
    pub dispatchers: u32,
    /// Addresses at which the real dispatchers receive load gossip, and from which they send it.
    pub real: Vec<SocketAddr>,
    /// Numbers of the servers, as the dispatchers derive them from the ids in the list.
    pub servers: Vec<u32>,
}

/// Counts of load gossip datagrams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipLedger {
    /// Datagrams that each real dispatcher sent, in the order of [`DispatcherOptions::real`].
    pub sent_by_real: Vec<u64>,
    /// Datagrams that the hollow dispatchers sent to each real one; forwarded ones are not included.
    pub sent_to_each: u64,
    /// Datagrams, forwarded or own, that could not be sent.
    pub lost: u64,
}

/// Handle to the hollow dispatchers of this process, see the [module](self).
#[derive(Clone, Debug)]
pub struct HollowDispatchers {
    /// Where a real dispatcher sends its updates; stands for the broadcast address of all dispatchers.
    pub address: SocketAddr,
    ledger: Arc<Mutex<GossipLedger>>,
}

impl HollowDispatchers {
    /// Starts to forward and to send updates, in the background.
    ///
    /// # Errors
    /// The system's error, if the socket can't be bound.
    pub async fn start(options: DispatcherOptions) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let ledger = GossipLedger { sent_by_real: vec![0; options.real.len()], ..GossipLedger::default() };
        let ledger = Arc::new(Mutex::new(ledger));
        let options = Arc::new(options);
        tokio::spawn(forward_updates(socket.clone(), options.clone(), ledger.clone()));
        tokio::spawn(send_updates(socket, options, ledger.clone()));
        Ok(Self { address, ledger })
    }

    /// The datagrams counted so far.
    #[must_use]
    pub fn ledger(&self) -> GossipLedger {
        lock(&self.ledger).clone()
    }
}

fn lock(ledger: &Mutex<GossipLedger>) -> std::sync::MutexGuard<'_, GossipLedger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Forwards the updates of each real dispatcher to the other real ones.
async fn forward_updates(
    socket: Arc<UdpSocket>,
    options: Arc<DispatcherOptions>,
    ledger: Arc<Mutex<GossipLedger>>,
) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut bytes).await else { continue };
        let Some(sender) = options.real.iter().position(|real| *real == from) else { continue };
        lock(&ledger).sent_by_real[sender] += 1;
        for real in options.real.iter().filter(|real| **real != from) {
            if socket.try_send_to(&bytes[..length], *real).is_err() {
                lock(&ledger).lost += 1;
            }
        }
    }
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64)
}

/// Sends the updates of the hollow dispatchers, for each at the recent average rate of a real one.
async fn send_updates(
    socket: Arc<UdpSocket>,
    options: Arc<DispatcherOptions>,
    ledger: Arc<Mutex<GossipLedger>>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut ticks = interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut sent_before, mut rate, mut updates_due) = (0u64, 0.0, 0.0);
    loop {
        ticks.tick().await;
        let sent: u64 = lock(&ledger).sent_by_real.iter().sum();
        let sent_per_real = (sent - sent_before) as f64 / options.real.len().max(1) as f64;
        sent_before = sent;
        rate += (sent_per_real - rate) / AVERAGED_OVER_INTERVALS;
        updates_due += rate * f64::from(options.dispatchers);
        while updates_due >= 1.0 && !options.servers.is_empty() {
            updates_due -= 1.0;
            let server = options.servers[rng.next_u64() as usize % options.servers.len()];
            let load = Load::Sent(50_000 + rng.next_u64() % 350_000);
            let update = LoadUpdate { server: tag(ServerId(server)), load, at: unix_us() }.to_bytes();
            let mut lost = 0;
            for real in &options.real {
                lost += u64::from(socket.try_send_to(&update, *real).is_err());
            }
            let mut ledger = lock(&ledger);
            ledger.sent_to_each += 1;
            ledger.lost += lost;
        }
    }
}
