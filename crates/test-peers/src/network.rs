//! Forwards UDP datagrams between instances, and drops, delays or blocks them.
//!
//! Each instance advertises its address in this network ([`FaultyNetwork::address`]), where the others send to it. The
//! sender of a datagram is identified by its real socket ([`FaultyNetwork::attach`]), and the datagram is forwarded
//! from the sender's address in this network. So each direction between two instances can be blocked on its own.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

#[derive(Debug)]
struct Rules {
    /// The real socket of each instance, by index.
    sockets: BTreeMap<usize, SocketAddr>,
    /// Probability that a datagram is dropped, from 0 to 1.
    loss: f64,
    delay: Duration,
    /// Pairs `(from, to)` of instances between which every datagram is dropped.
    blocked: BTreeSet<(usize, usize)>,
    forwarded: u64,
    dropped: u64,
    rng: Pcg64Mcg,
}

/// A network between instances that loses, delays and blocks datagrams; it stops when dropped. Instances are numbered
/// from 0.
#[derive(Debug)]
pub struct FaultyNetwork {
    addresses: Vec<SocketAddr>,
    rules: Arc<Mutex<Rules>>,
    tasks: Vec<JoinHandle<()>>,
}

fn lock_rules(rules: &Mutex<Rules>) -> MutexGuard<'_, Rules> {
    rules.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FaultyNetwork {
    /// Starts a network for `count` instances, without faults; `seed` is that of the random losses.
    ///
    /// # Errors
    /// If a socket can't be bound.
    pub async fn start(count: usize, seed: u64) -> std::io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in 0..count {
            sockets.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
        }
        let addresses = sockets.iter().map(|socket| socket.local_addr()).collect::<Result<Vec<_>, _>>()?;
        let rules = Arc::new(Mutex::new(Rules {
            sockets: BTreeMap::new(),
            loss: 0.0,
            delay: Duration::ZERO,
            blocked: BTreeSet::new(),
            forwarded: 0,
            dropped: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }));
        let tasks = (0..count).map(|to| tokio::spawn(forward(to, sockets.clone(), rules.clone()))).collect();
        Ok(Self { addresses, rules, tasks })
    }

    /// The address at which the others reach an instance.
    #[must_use]
    pub fn address(&self, at: usize) -> SocketAddr {
        self.addresses[at]
    }

    /// Sets the real socket of an instance: needed before its first datagram, and again after a restart.
    pub fn attach(&self, at: usize, own: SocketAddr) {
        lock_rules(&self.rules).sockets.insert(at, own);
    }

    /// Sets the share of datagrams that is dropped, from 0 to 1, in all directions.
    pub fn lose(&self, share: f64) {
        lock_rules(&self.rules).loss = share;
    }

    /// Sets the delay of each datagram.
    pub fn delay(&self, delay: Duration) {
        lock_rules(&self.rules).delay = delay;
    }

    /// Blocks or unblocks the direction from one instance to another.
    pub fn block(&self, from: usize, to: usize, blocked: bool) {
        let mut rules = lock_rules(&self.rules);
        if blocked {
            rules.blocked.insert((from, to));
        } else {
            rules.blocked.remove(&(from, to));
        }
    }

    /// Blocks or unblocks both directions between the instances in `side` and all others.
    pub fn partition(&self, side: &[usize], blocked: bool) {
        for &a in side {
            for b in (0..self.addresses.len()).filter(|b| !side.contains(b)) {
                self.block(a, b, blocked);
                self.block(b, a, blocked);
            }
        }
    }

    /// How many datagrams were forwarded, and how many were dropped: by loss or a blocked direction, or because
    /// the socket of one side was not known.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let rules = lock_rules(&self.rules);
        (rules.forwarded, rules.dropped)
    }
}

impl Drop for FaultyNetwork {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Rules {
    /// Decides about a datagram for instance `to`: returns the index of the sender and the socket to forward to, or
    /// `None` to drop it.
    fn route(&mut self, source: SocketAddr, to: usize) -> Option<(usize, SocketAddr)> {
        let from = self.sockets.iter().find(|(_, socket)| **socket == source).map(|(&from, _)| from);
        let draw = self.rng.next_u64() as f64 / u64::MAX as f64;
        let passes = from.is_some_and(|from| draw >= self.loss && !self.blocked.contains(&(from, to)));
        match (from, self.sockets.get(&to)) {
            (Some(from), Some(&socket)) if passes => {
                self.forwarded += 1;
                Some((from, socket))
            }
            _ => {
                self.dropped += 1;
                None
            }
        }
    }
}

/// Forwards the datagrams for instance `to`.
async fn forward(to: usize, sockets: Vec<Arc<UdpSocket>>, rules: Arc<Mutex<Rules>>) {
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, source)) = sockets[to].recv_from(&mut buffer).await else { continue };
        let (route, delay) = {
            let mut rules = lock_rules(&rules);
            (rules.route(source, to), rules.delay)
        };
        let Some((from, destination)) = route else { continue };
        let socket = sockets[from].clone();
        // Errors are ignored: a datagram to an instance that has died is lost, as on any network.
        if delay.is_zero() {
            let _ = socket.try_send_to(&buffer[..length], destination);
        } else {
            let datagram = buffer[..length].to_vec();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.try_send_to(&datagram, destination);
            });
        }
    }
}
