//! All other dispatchers in one process: load updates of a real one are forwarded to the other real ones, and each
//! hollow one sends updates as often as the real ones do, about servers of the same list.

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

/// Updates are sent in batches so often.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// A datagram holds this many bytes at most.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The rate of the real ones is averaged over about so many intervals.
const AVERAGED_OVER_INTERVALS: f64 = 250.0;

/// Who the hollow dispatchers are, and whom they send updates to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DispatcherOptions {
    /// How many hollow ones there are.
    pub dispatchers: u32,
    /// Where the real ones listen.
    pub real: Vec<SocketAddr>,
    /// Ids of the servers, as the dispatchers number them.
    pub servers: Vec<u32>,
}

/// Datagrams of load gossip, counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipLedger {
    /// Datagrams that each real dispatcher sent.
    pub sent_by_real: Vec<u64>,
    /// Datagrams that were sent to each real dispatcher.
    pub sent_to_each: u64,
    /// Datagrams that no socket took.
    pub lost: u64,
}

/// The hollow dispatchers, see the [module](self).
#[derive(Clone, Debug)]
pub struct HollowDispatchers {
    /// What reaches all dispatchers.
    pub address: SocketAddr,
    ledger: Arc<Mutex<GossipLedger>>,
}

impl HollowDispatchers {
    /// Starts them.
    ///
    /// # Errors
    /// What the system says.
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

    /// The datagrams so far.
    #[must_use]
    pub fn ledger(&self) -> GossipLedger {
        lock(&self.ledger).clone()
    }
}

fn lock(ledger: &Mutex<GossipLedger>) -> std::sync::MutexGuard<'_, GossipLedger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Forwards updates of each real dispatcher to the other real ones.
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

/// Sends updates of the hollow ones: as often, for each, as the real ones did recently.
async fn send_updates(
    socket: Arc<UdpSocket>,
    options: Arc<DispatcherOptions>,
    ledger: Arc<Mutex<GossipLedger>>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut ticks = interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut sent_before, mut rate, mut owed) = (0u64, 0.0, 0.0);
    loop {
        ticks.tick().await;
        let sent: u64 = lock(&ledger).sent_by_real.iter().sum();
        let recent = (sent - sent_before) as f64 / options.real.len().max(1) as f64;
        sent_before = sent;
        rate += (recent - rate) / AVERAGED_OVER_INTERVALS;
        owed += rate * f64::from(options.dispatchers);
        while owed >= 1.0 && !options.servers.is_empty() {
            owed -= 1.0;
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
